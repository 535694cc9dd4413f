//! The goal of an engine: a model that the placement holder wants to have loaded there.
//!
//! A goal exists from the decision until the engine holds the model, or until the goal is dropped.

use gorsebank_coordination::Timestamp;
use gorsebank_world::ModelId;

/// A goal whose load has not been ordered for this time, because an unload has not finished, is
/// late, in milliseconds.
const MAX_UNLOAD_WAIT_MS: u64 = 1_000;
/// A goal whose load takes this much longer than expected is late, in milliseconds.
const MAX_LOAD_DELAY_MS: u64 = 2_000;

/// A model that the placement holder wants to have loaded on an engine.
#[derive(Clone, Debug)]
pub struct Goal {
    pub model: ModelId,
    /// Time at which the goal was set.
    pub set_at: Timestamp,
    /// Time at which the model is expected to serve requests.
    pub ready_at: Timestamp,
    /// Models that may be unloaded for the goal, the least valuable first.
    pub victims: Vec<ModelId>,
    /// Whether the load of the model was ordered.
    pub is_load_ordered: bool,
}

impl Goal {
    /// Whether the goal is not expected to be reached soon: either the memory for the model is not
    /// freed, since an unload waits for running requests, or the load does not end.
    pub fn is_late(&self, now: Timestamp) -> bool {
        if self.is_load_ordered {
            return now.since(self.ready_at) > MAX_LOAD_DELAY_MS;
        }
        now.since(self.set_at) > MAX_UNLOAD_WAIT_MS
    }
}
