//! What a gateway tells the others of itself: one row, written when it starts, and removed
//! when it stops as planned.

use std::net::SocketAddr;

use gorsebank_world::ZoneId;
use serde::{Deserialize, Serialize};

/// A gateway's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Where the gateway answers other gateways; none if it does not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// Capacity of its machine's link in megabits a second; 0 if it is not known.
    #[serde(default)]
    pub link_megabits: u32,
    /// Processor that it has, in thousandths of a core; 0 if it is not known.
    #[serde(default)]
    pub millicores: u32,
    /// Its zone; none in rows of gateways that do not tell it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
}
