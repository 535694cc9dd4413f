//! What gateways say to each other of limits.

use gorsebank_coordination::Timestamp;
use gorsebank_world::TenantId;
use serde::{Deserialize, Serialize};

/// A request that was counted and is known not to have run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Returned {
    /// Whose it was.
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// What it counted for.
    #[serde(rename = "c")]
    pub cost: f64,
    /// The lease under which it was counted: another ledger does not know of it.
    #[serde(rename = "f")]
    pub fence: u64,
    /// When that was, by the clock of whoever counted it.
    #[serde(rename = "g")]
    pub granted: Timestamp,
}

/// A question for one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The seat.
    #[serde(rename = "s")]
    pub seat: usize,
    /// Whose it is.
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// What it counts for.
    #[serde(rename = "c")]
    pub cost: f64,
    /// What is given back, of tenants of the same seat.
    #[serde(rename = "r", default)]
    pub returned: Vec<Returned>,
}

/// The answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AskAnswer {
    /// It is within the limit, and was counted.
    Granted {
        /// The lease under which it was counted.
        fence: u64,
        /// When, by the clock of whoever counted it.
        at: Timestamp,
    },
    /// It is beyond the limit; there is room for it after so many milliseconds.
    Beyond {
        /// Milliseconds.
        wait: u64,
    },
    /// Who counts has just begun and does not know what was granted before; there is room
    /// after so many milliseconds.
    NotYet {
        /// Milliseconds.
        wait: u64,
    },
    /// This gateway does not count for the tenant.
    NotHere,
}
