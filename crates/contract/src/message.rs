//! Messages between nodes.
//!
//! Field names are shortened on the wire, where each costs bytes in every
//! message; the names in the code are whole.

use std::collections::BTreeMap;
use std::sync::Arc;

use gorsebank_world::{Artifact, BackEndId, CellId, MachineList, QueueKey, Row, ZoneId};
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimAnswer, ClaimGroup, ClaimRecord};
use crate::fence::{Epoch, Fence, Incarnation, Revision};
use crate::order::EngineReport;
use crate::outcome::Refusal;
use crate::request::{Grant, RequestId, Ticket, TicketId};

/// Whether a node takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// Takes work.
    #[serde(rename = "a")]
    Active,
    /// Finishes what it has and takes nothing new.
    #[serde(rename = "l")]
    Leaving,
}

/// A node's sign of life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its life.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Its cell.
    #[serde(rename = "c")]
    pub cell: CellId,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Active or leaving.
    #[serde(rename = "s")]
    pub state: NodeState,
    /// The configuration revision it is complete to.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The highest fence it knows of in its cell.
    #[serde(rename = "f")]
    pub fence: Fence,
    /// Whether it holds the cell's placement lease under that fence.
    #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
    pub holder: bool,
    /// The claim epoch it knows of.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// The version of the machine list it has.
    #[serde(rename = "m")]
    pub machines: u64,
}

/// A replica that may be given work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaOffer {
    /// The back end.
    #[serde(rename = "b")]
    pub back_end: BackEndId,
    /// Requests that it runs at once for this artifact: its slots, shared with
    /// the other artifacts that are in use on it.
    #[serde(rename = "n")]
    pub slots: u32,
}

/// Slots that a front holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueKey,
    /// The back end.
    #[serde(rename = "b")]
    pub back_end: BackEndId,
    /// How many.
    #[serde(rename = "n")]
    pub slots: u32,
}

/// The replicas of an artifact as the placement holder knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// The artifact.
    #[serde(rename = "a")]
    pub artifact: Artifact,
    /// The holder's fence.
    #[serde(rename = "f")]
    pub fence: Fence,
    /// Grows within a fence; older sets are dropped.
    #[serde(rename = "v")]
    pub version: u64,
    /// Back ends that have it loaded and may be given work.
    #[serde(rename = "b")]
    pub ready: Vec<ReplicaOffer>,
    /// When another replica is expected, in milliseconds from now.
    #[serde(rename = "x")]
    pub expected: Option<u64>,
    /// The artifact cannot be placed now: come back after so many milliseconds.
    #[serde(rename = "n")]
    pub no_place: Option<u64>,
}

/// What one node tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sign of life, every heartbeat interval.
    #[serde(rename = "hb")]
    Heartbeat(Heartbeat),
    /// Front to queue owner: requests that wait.
    #[serde(rename = "tk")]
    Tickets(Vec<Ticket>),
    /// Owner to front: requests that may be sent.
    #[serde(rename = "gr")]
    Grants(Vec<Grant>),
    /// Owner to front: the request is refused.
    #[serde(rename = "rf")]
    Refused {
        /// The ticket.
        id: TicketId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Owner to front: offer these again, this node owns the queue no more.
    #[serde(rename = "rt")]
    Returned(Vec<TicketId>),
    /// Owner to front: requests wait; give back slots that are not in use.
    #[serde(rename = "rc")]
    Recall(QueueKey),
    /// Front to owner: the request waits no more.
    #[serde(rename = "cx")]
    Cancel {
        /// The queue.
        queue: QueueKey,
        /// The ticket.
        id: TicketId,
    },
    /// Front to owner: slots given back, each by a request that ended or a
    /// credit that was not used.
    #[serde(rename = "us")]
    Released {
        /// The queue.
        #[serde(rename = "q")]
        queue: QueueKey,
        /// The back end.
        #[serde(rename = "b")]
        back_end: BackEndId,
        /// How many slots.
        #[serde(rename = "n")]
        slots: u32,
        /// Mean service time of requests that ended, in milliseconds, if any did.
        #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
        service_time: Option<u64>,
        /// The back end turned a request away or could not be reached.
        #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
        troubled: bool,
    },
    /// Front to owner, now and then: all slots that it holds of that owner, so
    /// that a lost grant or release does not take a slot for good.
    #[serde(rename = "hs")]
    Held(Vec<HeldSlots>),
    /// Owner to holder: requests wait for an artifact, or keep using it.
    #[serde(rename = "dm")]
    Demand {
        /// The artifact.
        #[serde(rename = "a")]
        artifact: Artifact,
        /// Requests that wait.
        #[serde(rename = "w")]
        waiting: u32,
        /// Requests that run.
        #[serde(rename = "r")]
        running: u32,
        /// Time left of the most urgent, in milliseconds.
        #[serde(rename = "d")]
        remaining: u64,
        /// Fence and version of the replica set that the owner has, so that it
        /// is told again if it has lost one.
        #[serde(rename = "k")]
        known: (Fence, u64),
    },
    /// Holder to owner: the artifact's replicas.
    #[serde(rename = "rs")]
    Replicas(ReplicaSet),
    /// Owner to holder: fronts have trouble with this engine.
    #[serde(rename = "sp")]
    Suspect {
        /// The engine.
        #[serde(rename = "b")]
        back_end: BackEndId,
    },
    /// Watcher to holder: an engine's report changed, or it does not answer.
    #[serde(rename = "rp")]
    Report {
        /// The engine.
        #[serde(rename = "b")]
        back_end: BackEndId,
        /// Its report, or `None` if it did not answer.
        #[serde(rename = "r")]
        report: Option<EngineReport>,
    },
    /// The machine list, spread by those that read it.
    #[serde(rename = "ml")]
    Machines {
        /// Grows with every change the reader saw.
        #[serde(rename = "v")]
        version: u64,
        /// Nodes and back ends.
        #[serde(rename = "m")]
        machines: MachineList,
    },
    /// Ask for the machine list.
    #[serde(rename = "mq")]
    MachinesWanted,
    /// Ask for configuration rows above a revision.
    #[serde(rename = "cq")]
    ConfigurationWanted {
        /// The revision that the asker is complete to.
        above: Revision,
    },
    /// Configuration rows: everything above `above`, up to `complete`.
    #[serde(rename = "cf")]
    Configuration {
        /// Lower end, exclusive.
        above: Revision,
        /// Upper end, inclusive.
        complete: Revision,
        /// The rows; a row written several times appears once.
        rows: Vec<Arc<Row>>,
    },
    /// Front to claim member: record this key for this request.
    #[serde(rename = "cl")]
    Claim {
        /// The epoch under which it is claimed.
        epoch: Epoch,
        /// The idempotency key with its scope.
        key: String,
        /// The request.
        request: RequestId,
    },
    /// Claim member to front.
    #[serde(rename = "ca")]
    ClaimAnswered {
        /// The epoch.
        epoch: Epoch,
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Front to claim member: the request ran to its end, or (if `withdrawn`)
    /// the claim was never used and the key is free again.
    #[serde(rename = "ce")]
    ClaimEnded {
        /// The key.
        key: String,
        /// The request.
        request: RequestId,
        /// Whether the request was never sent.
        withdrawn: bool,
    },
    /// Holder to claim member: record nothing more under epochs below this
    /// one and send what you have.
    #[serde(rename = "cs")]
    ClaimSeal {
        /// The epoch in force, as the table has it.
        current: Epoch,
        /// The epoch that shall follow.
        next: Epoch,
    },
    /// Claim member to holder: what it had when it was sealed.
    #[serde(rename = "cd")]
    ClaimSealed {
        /// The epoch that shall follow.
        next: Epoch,
        /// Its claims under the epoch in force, or `None` if it lost them.
        records: Option<BTreeMap<String, ClaimRecord>>,
    },
    /// Holder to claim member: these are the claims at the start of a group.
    #[serde(rename = "ci")]
    ClaimInstall {
        /// The new group.
        group: ClaimGroup,
        /// Claims of the former groups.
        records: BTreeMap<String, ClaimRecord>,
        /// Claims of former groups may be missing: refuse for that long, in
        /// milliseconds.
        quarantine: u64,
    },
    /// Claim member to holder: installed.
    #[serde(rename = "cj")]
    ClaimInstalled {
        /// The epoch.
        epoch: Epoch,
    },
    /// Holder to everyone: the group is in the table and in force.
    #[serde(rename = "cg")]
    ClaimGroupChanged(ClaimGroup),
    /// Ask for the claim group.
    #[serde(rename = "cw")]
    ClaimGroupWanted,
}

impl PeerMessage {
    /// A short name for counters.
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
            PeerMessage::MachinesWanted => "machines_wanted",
            PeerMessage::ConfigurationWanted { .. } => "configuration_wanted",
            PeerMessage::Configuration { .. } => "configuration",
            PeerMessage::Claim { .. } => "claim",
            PeerMessage::ClaimAnswered { .. } => "claim_answered",
            PeerMessage::ClaimEnded { .. } => "claim_ended",
            PeerMessage::ClaimSeal { .. } => "claim_seal",
            PeerMessage::ClaimSealed { .. } => "claim_sealed",
            PeerMessage::ClaimInstall { .. } => "claim_install",
            PeerMessage::ClaimInstalled { .. } => "claim_installed",
            PeerMessage::ClaimGroupChanged(_) => "claim_group_changed",
            PeerMessage::ClaimGroupWanted => "claim_group_wanted",
        }
    }
}
