//! What the placement holder knows of artifacts that were asked for.

use gorsebank_contract::ReplicaOffer;
use gorsebank_world::NodeId;

use crate::time::Timestamp;

/// An artifact without a word from its owner for so long counts as idle.
const SILENT_DEMAND: u64 = 25_000;

/// What the holder knows of an artifact that was asked for.
#[derive(Debug)]
pub struct Need {
    pub owner: NodeId,
    pub waiting: u32,
    pub running: u32,
    pub deadline: Timestamp,
    pub heard: Timestamp,
    pub idle_since: Option<Timestamp>,
    pub scaled: Timestamp,
    /// What the owner was told last, and under which version.
    pub announced: Option<(u64, Announced)>,
}

/// The replica set as last announced to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announced {
    pub owner: NodeId,
    pub ready: Vec<ReplicaOffer>,
    pub expected: Option<Timestamp>,
    pub no_place: bool,
}

impl Need {
    /// Nothing is wanted yet.
    pub fn new(now: Timestamp, owner: NodeId) -> Self {
        Need {
            owner,
            waiting: 0,
            running: 0,
            deadline: now,
            heard: now,
            idle_since: None,
            scaled: Timestamp(0),
            announced: None,
        }
    }

    /// Whether requests wait.
    pub fn is_wanted(&self) -> bool {
        self.waiting > 0
    }

    /// How long it has been idle; `None` while it is in use.
    pub fn idle_time(&self, now: Timestamp) -> Option<u64> {
        if let Some(since) = self.idle_since {
            return Some(now.since(since));
        }
        let silence = now.since(self.heard);
        (silence >= SILENT_DEMAND).then_some(silence)
    }
}
