//! A gateway's entry in the table of members: the gateway writes the row at its start and removes
//! it at a planned stop. Other gateways read from it where to reach the gateway and what its
//! machine can carry.

use std::net::SocketAddr;

use gorsebank_world::ZoneId;
use serde::{Deserialize, Serialize};

/// A gateway's row in the table of members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Address on which the gateway serves other gateways; `None` if it does not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// Capacity of the machine's network link, in megabits per second; 0 if unknown.
    #[serde(default)]
    pub link_megabits: u32,
    /// Processor capacity of the gateway, in thousandths of a core; 0 if unknown.
    #[serde(default)]
    pub millicores: u32,
    /// The gateway's zone; `None` in rows of gateways that predate this field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
}
