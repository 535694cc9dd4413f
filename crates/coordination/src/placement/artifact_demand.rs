//! The placement holder's record of the demand for an artifact.
//!
//! In: demand reports of queue owners. Out: whether an artifact is demanded or
//! idle, and the replica set that its owner last got.

use gorsebank_contract::ReplicaOffer;
use gorsebank_world::NodeId;

use crate::time::Timestamp;

/// Time without a demand report from the owner after which an artifact counts as
/// idle, in milliseconds.
const DEMAND_TIMEOUT_MS: u64 = 25_000;

/// Demand for an artifact, as its queue owner last reported it.
#[derive(Debug)]
pub struct ArtifactDemand {
    pub owner: NodeId,
    pub waiting: u32,
    pub running: u32,
    pub deadline: Timestamp,
    pub received_at: Timestamp,
    pub idle_since: Option<Timestamp>,
    pub last_scale_up: Timestamp,
    /// The replica set that was last sent to the owner, with its version.
    pub announced: Option<(u64, AnnouncedReplicas)>,
}

/// A replica set as it was last sent to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedReplicas {
    pub owner: NodeId,
    pub ready: Vec<ReplicaOffer>,
    pub expected: Option<Timestamp>,
    pub no_place: bool,
}

impl ArtifactDemand {
    /// Creates a record without demand.
    pub fn new(now: Timestamp, owner: NodeId) -> Self {
        ArtifactDemand {
            owner,
            waiting: 0,
            running: 0,
            deadline: now,
            received_at: now,
            idle_since: None,
            last_scale_up: Timestamp(0),
            announced: None,
        }
    }

    /// Whether requests wait for the artifact.
    pub fn has_waiting_requests(&self) -> bool {
        self.waiting > 0
    }

    /// Milliseconds for which the artifact has been idle; `None` while it is in
    /// use.
    pub fn idle_time(&self, now: Timestamp) -> Option<u64> {
        if let Some(since) = self.idle_since {
            return Some(now.since(since));
        }
        let silence = now.since(self.received_at);
        (silence >= DEMAND_TIMEOUT_MS).then_some(silence)
    }
}
