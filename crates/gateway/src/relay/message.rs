//! Requests and responses between gateways: calls of the table, requests for updates, demand,
//! quotas, crash records for the quarantine, and origins of streams.

use gorsebank_contract::{Transaction, TransactionResult};
use gorsebank_fleet::quarantine::{IncarnationHash, OutcomeNotice};
use gorsebank_fleet::running::Counts;
use gorsebank_fleet::{DemandRow, OriginRecord};
use gorsebank_world::{BackEndId, NodeId};
use serde::{Deserialize, Serialize};

use crate::feed::{FeedRequest, FeedResponse};
use crate::ports::{TableChanges, TableError, TableSnapshot};
use crate::stream_origins::{OriginAnswer, OriginRequest};
use crate::tenant_quotas::{QuotaRequest, QuotaResponse};

/// The demand that the callers of one gateway cause.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayDemand {
    /// The gateway whose callers cause the demand.
    pub from: NodeId,
    /// The demand.
    pub row: DemandRow,
    /// Whether the receiver should forward the demand, since the sender does not reach the
    /// placement holder. A forwarded message is not forwarded again.
    #[serde(rename = "hand_on")]
    pub should_forward: bool,
}

/// The requests that a root and all gateways below it have running at back ends. The counts carry
/// the name of the root both in requests and in responses, so that each root is counted once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootCounts {
    /// The root that sends the counts.
    pub from: NodeId,
    /// The number of running requests per back end.
    pub counts: Counts,
}

/// Asks a gateway to connect to a back end over its own link and to copy bytes both ways from then
/// on. The sender uses the connection as if it were its own. A tunnel takes one hop at most.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// The back end.
    pub back_end: BackEndId,
    /// The incarnation that the sender knows.
    pub incarnation: IncarnationHash,
    /// Whether the sender only asks whether the receiver reaches the back end. The receiver then
    /// tries even if it suspects its own links.
    pub is_exit_check: bool,
    /// Whether the sender accepts the responses in frames. An earlier build does not send the field
    /// and receives bare bytes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub accepts_frames: bool,
}

/// The response to a [`TunnelRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelResponse {
    /// The connection to the back end is open, and bytes are copied from now on.
    Opened,
    /// The same, with the back end's bytes in [`crate::relay::tunnel`] frames. Sent only to gateways
    /// that accept frames.
    OpenedFramed,
    /// There is no connection to the back end.
    Refused(TunnelRefusal),
}

/// Why a gateway opens no tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRefusal {
    /// The gateway does not know this incarnation, or it is draining.
    UnknownBackEnd,
    /// The gateway needs its capacity for its own callers.
    Overloaded,
    /// The gateway is stopping.
    Stopping,
    /// The gateway suspects its own links to the back ends.
    CutOff,
    /// The back end did not accept the connection.
    NotConnected {
        /// Whether its address refused the connection; otherwise there was no reply.
        is_refused: bool,
        /// Whether the gateway reaches another back end at the same time.
        reaches_others: bool,
    },
}

impl TunnelRefusal {
    /// Value for log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            TunnelRefusal::UnknownBackEnd => "unknown_back_end",
            TunnelRefusal::Overloaded => "overloaded",
            TunnelRefusal::Stopping => "stopping",
            TunnelRefusal::CutOff => "cut_off",
            TunnelRefusal::NotConnected { .. } => "not_connected",
        }
    }

    /// Whether the gateway tried to reach the back end.
    pub fn is_observation(self) -> bool {
        matches!(self, TunnelRefusal::NotConnected { .. })
    }

    /// Whether the gateway observed that the back end does not listen, while it reached others.
    pub fn shows_exit(self) -> bool {
        matches!(
            self,
            TunnelRefusal::NotConnected {
                is_refused: true,
                reaches_others: true
            }
        )
    }
}

/// A request from one gateway to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayRequest {
    /// Read all rows of a table.
    Read {
        /// The table.
        table: String,
    },
    /// Read the changes of a table.
    Changes {
        /// The table.
        table: String,
        /// The version after which changes are requested.
        version: u64,
        /// Maximum wait for the first change, in milliseconds.
        #[serde(rename = "wait")]
        wait_ms: u64,
    },
    /// Request updates of tables from a parent.
    #[serde(rename = "News")]
    Updates(FeedRequest),
    /// Exchange the counts of running requests between roots.
    #[serde(rename = "Running")]
    RunningCounts(RootCounts),
    /// Send the demand of a gateway to the placement holder.
    Demand(GatewayDemand),
    /// Charge a request to its tenant's quota, or reserve a send time at a back end.
    #[serde(rename = "Allowance")]
    Quota(QuotaRequest),
    /// Send the outcomes that the sender and its children observed for requests under which back
    /// ends crashed.
    Quarantine(Vec<OutcomeNotice>),
    /// Keep records of the software versions that began streams.
    RecordOrigins(Vec<OriginRecord>),
    /// Ask for the software version that began a stream.
    FindOrigin(OriginRequest),
    /// Open a tunnel to a back end. No further request or response follows on the connection.
    Tunnel(TunnelRequest),
    /// Execute a transaction on the table.
    Transact(Transaction),
    /// Remove a row from the table.
    Remove {
        /// The key of the row.
        key: String,
        /// The version that last wrote the row. The row is kept if its version differs.
        version: u64,
    },
}

impl RelayRequest {
    /// Whether the request changes the table.
    pub fn is_write(&self) -> bool {
        matches!(
            self,
            RelayRequest::Transact(_) | RelayRequest::Remove { .. }
        )
    }
}

/// The response to a [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayResponse {
    /// The rows, in response to a read.
    Rows(TableSnapshot),
    /// The changes, in response to a request for changes.
    Changes(TableChanges),
    /// The updates, in response to a request for updates.
    #[serde(rename = "News")]
    Updates(FeedResponse),
    /// The counts of the responding root, in response to the counts of another root.
    #[serde(rename = "Running")]
    RunningCounts(RootCounts),
    /// The response to a message with demand.
    #[serde(rename = "Heard")]
    DemandReceived {
        /// Whether the demand reached the placement holder.
        by_holder: bool,
    },
    /// The response to a charge or to a request for a send time.
    #[serde(rename = "Allowance")]
    Quota(QuotaResponse),
    /// The acknowledgement of outcomes of requests under which back ends crashed.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// What the gateway knows of the software version that began a stream.
    Origin(OriginAnswer),
    /// The response to a request for a tunnel.
    Tunnel(TunnelResponse),
    /// The result of a transaction or a removal.
    Transacted(TransactionResult),
    /// The table did not respond, or the responding gateway does not reach it either.
    Failed(TableError),
}
