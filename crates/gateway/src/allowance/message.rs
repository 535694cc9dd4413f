//! What gateways say to each other of limits.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::BackEndHash;
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
    /// A time for a request to a back end is asked for, and nothing of a tenant.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub send_time: Option<SendTimeAsk>,
}

impl Ask {
    /// A question that counts nothing: whoever holds the seat of no tenant answers it, too.
    pub fn nothing() -> Self {
        Ask {
            seat: 0,
            tenant: TenantId::from(""),
            cost: 0.0,
            returned: Vec::new(),
            send_time: None,
        }
    }

    /// A question for a time at a back end. A gateway of an earlier build takes it for one of a
    /// tenant without a name, and answers that it does not count there.
    pub fn for_send_time(send_time: SendTimeAsk) -> Self {
        Ask {
            send_time: Some(send_time),
            ..Ask::nothing()
        }
    }
}

/// A question for a time at which a request may be sent to a back end that states a limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SendTimeAsk {
    /// The back end, in its present life.
    #[serde(rename = "h")]
    pub back_end: BackEndHash,
    /// Requests a second that it takes, as the asker knows.
    #[serde(rename = "r")]
    pub rate: f64,
    /// How long the request can wait, in milliseconds.
    #[serde(rename = "w")]
    pub most_wait: u64,
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
    /// This gateway does not count for the tenant, or not for back ends.
    NotHere,
    /// The request may be sent to the back end after so many milliseconds. Only a question for
    /// that is answered so.
    Reserved {
        /// Milliseconds.
        wait: u64,
    },
}
