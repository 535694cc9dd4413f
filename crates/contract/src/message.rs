//! Messages between nodes.
//!
//! A node has several roles. The front of a request is the node that received the request from its
//! caller. The owner of a queue decides which of the waiting requests are sent. The placement holder
//! of a cell decides which engine loads which artifact. A watcher polls engines for their reports. A
//! claim member stores claims of idempotency keys.
//!
//! Names of variants and of frequently sent fields are abbreviated on the wire, because each name
//! adds its length to every message.

use std::collections::BTreeMap;
use std::sync::Arc;

use gorsebank_world::{Artifact, BackEndId, CellId, MachineList, QueueKey, Row, ZoneId};
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimGroup, ClaimRecord, ClaimResponse};
use crate::fence::{Epoch, Fence, Incarnation, Revision};
use crate::order::EngineReport;
use crate::outcome::Refusal;
use crate::request::{Grant, RequestId, Ticket, TicketId};

/// Whether a node accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// The node accepts requests.
    #[serde(rename = "a")]
    Active,
    /// The node is draining: it finishes its open requests and accepts no new ones.
    #[serde(rename = "l")]
    Draining,
}

/// A periodic message by which a node announces that it is alive, and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The incarnation of the node.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The cell of the node.
    #[serde(rename = "c")]
    pub cell: CellId,
    /// The failure zone of the node.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Whether the node is active or draining.
    #[serde(rename = "s")]
    pub state: NodeState,
    /// The configuration revision up to which the node has every row.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The highest fence that the node knows in its cell.
    #[serde(rename = "f")]
    pub fence: Fence,
    /// Whether the node holds the placement lease of the cell under that fence.
    #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
    pub holder: bool,
    /// The epoch of the claim group that the node knows.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// The version of the machine list that the node has.
    #[serde(rename = "m")]
    pub machine_list_version: u64,
}

/// A replica to which requests may be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaOffer {
    /// The back end.
    #[serde(rename = "b")]
    pub back_end: BackEndId,
    /// Number of requests that the back end may run concurrently for this artifact: its fraction
    /// of the slots of the back end, which all artifacts in use there share.
    #[serde(rename = "n")]
    pub slots: u32,
}

/// Slots of one back end that a front holds for one queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueKey,
    /// The back end.
    #[serde(rename = "b")]
    pub back_end: BackEndId,
    /// Number of slots.
    #[serde(rename = "n")]
    pub slots: u32,
}

/// The replicas of an artifact as the placement holder knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// The artifact.
    #[serde(rename = "a")]
    pub artifact: Artifact,
    /// The fence of the placement holder.
    #[serde(rename = "f")]
    pub fence: Fence,
    /// Version of the set, which increases under one fence. A receiver discards a set that is
    /// older than its own.
    #[serde(rename = "v")]
    pub version: u64,
    /// Back ends that have loaded the artifact and to which requests may be sent.
    #[serde(rename = "b")]
    pub ready: Vec<ReplicaOffer>,
    /// Time in milliseconds until another replica is expected to be ready.
    #[serde(rename = "x")]
    pub expected: Option<u64>,
    /// Set if the artifact cannot be placed at present: the time in milliseconds after which a
    /// retry makes sense.
    #[serde(rename = "n")]
    pub retry_after_ms: Option<u64>,
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The state of the sender, sent in every heartbeat interval.
    #[serde(rename = "hb")]
    Heartbeat(Heartbeat),
    /// Front to owner: waiting requests.
    #[serde(rename = "tk")]
    Tickets(Vec<Ticket>),
    /// Owner to front: requests that may be sent.
    #[serde(rename = "gr")]
    Grants(Vec<Grant>),
    /// Owner to front: the request is rejected.
    #[serde(rename = "rf")]
    Refused {
        /// The ticket.
        id: TicketId,
        /// The reason and its details.
        refusal: Refusal,
    },
    /// Owner to front: this node no longer owns the queue of these tickets, so the front has to send
    /// them to the new owner.
    #[serde(rename = "rt")]
    Returned(Vec<TicketId>),
    /// Owner to front: other requests are waiting, so the front should release unused slots.
    #[serde(rename = "rc")]
    Recall(QueueKey),
    /// Front to owner: the request no longer waits.
    #[serde(rename = "cx")]
    Cancel {
        /// The queue.
        queue: QueueKey,
        /// The ticket.
        id: TicketId,
    },
    /// Front to owner: released slots, each of a request that ended or of an unused credit.
    #[serde(rename = "us")]
    Released {
        /// The queue.
        #[serde(rename = "q")]
        queue: QueueKey,
        /// The back end.
        #[serde(rename = "b")]
        back_end: BackEndId,
        /// Number of released slots.
        #[serde(rename = "n")]
        slots: u32,
        /// Mean service time in milliseconds of the requests that ended; `None` if none did.
        #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
        service_time: Option<u64>,
        /// Whether the back end rejected a request, could not be reached or failed before it
        /// responded.
        #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
        has_failure: bool,
    },
    /// Front to owner, periodically: all slots that the front holds from this owner. The owner
    /// corrects its counts by this message, because a lost grant or release would otherwise occupy
    /// a slot permanently.
    #[serde(rename = "hs")]
    Held(Vec<HeldSlots>),
    /// Owner to holder: requests are waiting for an artifact or use it.
    #[serde(rename = "dm")]
    Demand {
        /// The artifact.
        #[serde(rename = "a")]
        artifact: Artifact,
        /// Number of waiting requests.
        #[serde(rename = "w")]
        waiting: u32,
        /// Number of running requests.
        #[serde(rename = "r")]
        running: u32,
        /// Time in milliseconds until the earliest deadline among the requests.
        #[serde(rename = "d")]
        remaining: u64,
        /// Fence and version of the replica set that the owner has, so that the holder sends the
        /// current set again if the owner missed it.
        #[serde(rename = "k")]
        known: (Fence, u64),
    },
    /// Holder to owner: the replicas of an artifact.
    #[serde(rename = "rs")]
    Replicas(ReplicaSet),
    /// Owner to holder: fronts reported failures of this engine.
    #[serde(rename = "sp")]
    Suspect {
        /// The engine.
        #[serde(rename = "b")]
        back_end: BackEndId,
    },
    /// Watcher to holder: the report of an engine changed, or the engine does not respond.
    #[serde(rename = "rp")]
    Report {
        /// The engine.
        #[serde(rename = "b")]
        back_end: BackEndId,
        /// The report of the engine; `None` if the engine did not respond.
        #[serde(rename = "r")]
        report: Option<EngineReport>,
    },
    /// The machine list, distributed by the nodes that read it from the platform.
    #[serde(rename = "ml")]
    Machines {
        /// Version of the list, which increases with every change that its reader observed.
        #[serde(rename = "v")]
        version: u64,
        /// The nodes and back ends in the list.
        #[serde(rename = "m")]
        machines: MachineList,
    },
    /// Requests the machine list.
    #[serde(rename = "mq")]
    MachineListRequest,
    /// Requests the configuration rows above a revision.
    #[serde(rename = "cq")]
    ConfigurationRequest {
        /// The revision up to which the sender has every row.
        above: Revision,
    },
    /// All configuration rows written after revision `above`, up to revision `complete`.
    #[serde(rename = "cf")]
    Configuration {
        /// The lower bound, exclusive.
        above: Revision,
        /// The upper bound, inclusive.
        complete: Revision,
        /// The rows. A row that was written several times appears once.
        rows: Vec<Arc<Row>>,
    },
    /// Front to claim member: asks the member to record the key for the request.
    #[serde(rename = "cl")]
    Claim {
        /// The epoch under which the key is claimed.
        epoch: Epoch,
        /// The idempotency key together with its scope.
        key: String,
        /// The request.
        request: RequestId,
    },
    /// Claim member to front: the response to a claim.
    #[serde(rename = "ca")]
    ClaimResponse {
        /// The epoch.
        epoch: Epoch,
        /// The request.
        request: RequestId,
        /// The response.
        #[serde(rename = "answer")]
        response: ClaimResponse,
    },
    /// Front to claim member: the request ran to completion, or (if `withdrawn`) the request was
    /// never sent and the key is free again.
    #[serde(rename = "ce")]
    ClaimEnded {
        /// The key.
        key: String,
        /// The request.
        request: RequestId,
        /// Whether the request was never sent.
        withdrawn: bool,
    },
    /// Holder to claim member: the member must record no more claims under epochs below `next` and
    /// must send its records.
    #[serde(rename = "cs")]
    ClaimSeal {
        /// The current epoch according to the table.
        current: Epoch,
        /// The epoch that is to follow.
        next: Epoch,
    },
    /// Claim member to holder: the records of the member at the time of the seal.
    #[serde(rename = "cd")]
    ClaimSealed {
        /// The epoch that is to follow.
        next: Epoch,
        /// The claims under the current epoch, by key; `None` if the member lost them.
        records: Option<BTreeMap<String, ClaimRecord>>,
    },
    /// Holder to claim member: the claims with which a new group starts.
    #[serde(rename = "ci")]
    ClaimInstall {
        /// The new group.
        group: ClaimGroup,
        /// The claims of previous groups, by key.
        records: BTreeMap<String, ClaimRecord>,
        /// Time in milliseconds for which the member rejects claims of unknown keys, because claims
        /// of previous groups may be missing.
        quarantine: u64,
    },
    /// Claim member to holder: the group is installed.
    #[serde(rename = "cj")]
    ClaimInstalled {
        /// The epoch.
        epoch: Epoch,
    },
    /// Holder to all nodes: the group is written to the table and in force.
    #[serde(rename = "cg")]
    ClaimGroupChanged(ClaimGroup),
    /// Requests the claim group.
    #[serde(rename = "cw")]
    ClaimGroupRequest,
}

impl PeerMessage {
    /// The name of the kind of message, as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Heartbeat(_) => "heartbeat",
            PeerMessage::Tickets(_) => "tickets",
            PeerMessage::Grants(_) => "grants",
            PeerMessage::Refused { .. } => "refused",
            PeerMessage::Returned(_) => "returned",
            PeerMessage::Recall(_) => "recall",
            PeerMessage::Cancel { .. } => "cancel",
            PeerMessage::Released { .. } => "released",
            PeerMessage::Held(_) => "held",
            PeerMessage::Demand { .. } => "demand",
            PeerMessage::Replicas(_) => "replicas",
            PeerMessage::Report { .. } => "report",
            PeerMessage::Suspect { .. } => "suspect",
            PeerMessage::Machines { .. } => "machines",
            PeerMessage::MachineListRequest => "machines_wanted",
            PeerMessage::ConfigurationRequest { .. } => "configuration_wanted",
            PeerMessage::Configuration { .. } => "configuration",
            PeerMessage::Claim { .. } => "claim",
            PeerMessage::ClaimResponse { .. } => "claim_answered",
            PeerMessage::ClaimEnded { .. } => "claim_ended",
            PeerMessage::ClaimSeal { .. } => "claim_seal",
            PeerMessage::ClaimSealed { .. } => "claim_sealed",
            PeerMessage::ClaimInstall { .. } => "claim_install",
            PeerMessage::ClaimInstalled { .. } => "claim_installed",
            PeerMessage::ClaimGroupChanged(_) => "claim_group_changed",
            PeerMessage::ClaimGroupRequest => "claim_group_wanted",
        }
    }
}
