//! A model that the holder wants on an engine, until it is there.

use gorsebank_coordination::Timestamp;
use gorsebank_world::ModelId;

/// A goal that has waited so long for an unload to end is late, in milliseconds.
const ROOM_PATIENCE: u64 = 1_000;
/// A load that lasts so much longer than expected is late, in milliseconds.
const LOAD_PATIENCE: u64 = 2_000;

/// A model that the holder wants on an engine.
#[derive(Clone, Debug)]
pub struct Goal {
    /// The model.
    pub model: ModelId,
    /// Since when.
    pub since: Timestamp,
    /// When it is expected to serve.
    pub ready_at: Timestamp,
    /// Models that may leave for it, the cheapest first.
    pub victims: Vec<ModelId>,
    /// Whether its load was ordered.
    pub loading: bool,
}

impl Goal {
    /// Whether nothing speaks for it being reached soon: the room for it is long
    /// in coming, since an unload waits for its runs, or the load does not end.
    pub fn is_late(&self, now: Timestamp) -> bool {
        if self.loading {
            return now.since(self.ready_at) > LOAD_PATIENCE;
        }
        now.since(self.since) > ROOM_PATIENCE
    }
}
