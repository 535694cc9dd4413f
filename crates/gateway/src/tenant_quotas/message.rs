//! Messages between gateways about tenants' quotas and the rate limits that back ends state.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::PlaceRequest;
use gorsebank_fleet::quarantine::IncarnationHash;
use gorsebank_world::TenantId;
use serde::{Deserialize, Serialize};

/// The refund of a request that was charged and is known not to have run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refund {
    /// The tenant that sent the request.
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// The cost that was charged.
    #[serde(rename = "c")]
    pub cost: f64,
    /// The fencing token of the lease under which the request was charged. Only the ledger
    /// under that lease knows of the charge.
    #[serde(rename = "f")]
    pub fence: u64,
    /// When the request was charged, by the clock of the shard holder.
    #[serde(rename = "g")]
    pub granted_at: Timestamp,
}

/// Asks a shard holder to charge one request to its tenant's quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The quota shard.
    #[serde(rename = "s")]
    pub shard: usize,
    /// The tenant that sent the request.
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// The cost to charge.
    #[serde(rename = "c")]
    pub cost: f64,
    /// What the holder needs to give the request a place; `None` if the sender cannot use one.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub place: Option<PlaceRequest>,
    /// Refunds for tenants of the same shard.
    #[serde(rename = "r", default)]
    pub refunds: Vec<Refund>,
    /// Number of the message that carries the refunds, so that they are applied once.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub refund_message: Option<u64>,
    /// Refunds of a message that had no response. Gateways that do not know numbers of messages
    /// ignore this field, and so cannot apply them twice.
    #[serde(rename = "rr", default, skip_serializing_if = "Vec::is_empty")]
    pub repeated_refunds: Vec<Refund>,
    /// If set, the message asks for a send time at a back end and charges no tenant.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub send_time: Option<SendTimeRequest>,
}

impl QuotaRequest {
    /// A request that charges nothing. Every gateway responds to the request, whether or not the
    /// gateway holds the shard.
    pub fn without_charge() -> Self {
        QuotaRequest {
            shard: 0,
            tenant: TenantId::from(""),
            cost: 0.0,
            place: None,
            refunds: Vec::new(),
            refund_message: None,
            repeated_refunds: Vec::new(),
            send_time: None,
        }
    }

    /// A message with refunds, which charges nothing. The holder responds that it does not hold
    /// the shard, as for any tenant that it does not know.
    pub fn for_refunds(shard: usize, number: u64, refunds: Vec<Refund>) -> Self {
        QuotaRequest {
            shard,
            refunds,
            refund_message: Some(number),
            ..QuotaRequest::without_charge()
        }
    }

    /// The same message for a second attempt.
    pub fn repeated(mut self) -> Self {
        self.repeated_refunds.append(&mut self.refunds);
        self
    }

    /// A request for a send time at a back end. A gateway of an earlier build reads it as a
    /// charge to a tenant with an empty name, and responds that it does not hold the shard.
    pub fn for_send_time(send_time: SendTimeRequest) -> Self {
        QuotaRequest {
            send_time: Some(send_time),
            ..QuotaRequest::without_charge()
        }
    }
}

/// Asks for a time at which a request may be sent to a back end that states a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SendTimeRequest {
    /// Identifies one incarnation of the back end.
    #[serde(rename = "h")]
    pub back_end: IncarnationHash,
    /// The back end's rate limit as the sender knows it, in requests per second.
    #[serde(rename = "r")]
    pub rate: f64,
    /// Maximum time that the request can wait, in milliseconds.
    #[serde(rename = "w")]
    pub max_wait_ms: u64,
}

/// The response to a [`QuotaRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaResponse {
    /// The request is within the quota and was charged.
    Granted {
        /// The fencing token of the lease under which the request was charged.
        fence: u64,
        /// When the request was charged, by the clock of the shard holder.
        #[serde(rename = "at")]
        granted_at: Timestamp,
        /// How much later than first stated the request's place was used, in milliseconds; `None`
        /// if it had none.
        #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
        place_error_ms: Option<i64>,
    },
    /// The request would exceed the quota now, and has a place. Only the response to a request
    /// that asks for a place has this value.
    Placed {
        /// Time until the place, in milliseconds.
        #[serde(rename = "wait")]
        wait_ms: u64,
    },
    /// The request would exceed the quota or, for a send time, wait longer than it can.
    #[serde(rename = "Beyond")]
    OverLimit {
        /// Time after which there is capacity for the request, in milliseconds.
        #[serde(rename = "wait")]
        wait_ms: u64,
    },
    /// The shard holder has just started, does not know the earlier grants, and cannot grant
    /// the request yet.
    #[serde(rename = "NotYet")]
    NotReady {
        /// Time after which a retry can succeed, in milliseconds.
        #[serde(rename = "wait")]
        wait_ms: u64,
    },
    /// This gateway does not hold the tenant's shard, or does not assign send times.
    #[serde(rename = "NotHere")]
    NotHolder,
    /// A send time at the back end was reserved. Only the response to a request for a send
    /// time has this value.
    Reserved {
        /// Time after which the request may be sent, in milliseconds.
        #[serde(rename = "wait")]
        wait_ms: u64,
    },
}
