//! Demand of the kinds of requests among which a tenant's room is divided.
//!
//! Input: the requests of a kind. Output: the kind's weight, and what it will ask for if it goes on.

use gorsebank_coordination::Timestamp;

/// Time constant of the mean of a kind's demand.
const DECAY_MS: f64 = 1_000.0;

/// Recent demand of one kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindDemand {
    /// Weight in the division of room.
    pub weight: f64,
    /// Time of the last request.
    pub last_asked: Timestamp,
    /// Units asked for, in a sum that decays with [`DECAY_MS`].
    asked: f64,
}

impl KindDemand {
    /// The demand after a request of this priority rank (0 is the most urgent) and cost.
    pub fn continued(before: Option<&KindDemand>, now: Timestamp, priority: u8, cost: f64) -> Self {
        KindDemand {
            weight: 1.0 / (1.0 + f64::from(priority)),
            last_asked: now,
            asked: before.map_or(0.0, |kind| kind.decayed(now)) + cost,
        }
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let age = now.since(self.last_asked) as f64;
        self.asked * (-age / DECAY_MS).exp()
    }

    /// Units that the kind will ask for within this time.
    pub fn expected(&self, now: Timestamp, within_ms: u64) -> f64 {
        self.decayed(now) * within_ms as f64 / DECAY_MS
    }
}
