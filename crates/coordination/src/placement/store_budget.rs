//! The budget for loads from the rate-limited weight store, shared by all
//! engines of the cell.
//!
//! In: the limits of the weight store, the number of running loads, time. Out:
//! whether a load may start, and the delay of queued loads.

use crate::settings::PlacementSettings;
use crate::time::Timestamp;

/// Limits the starts of loads per second and the concurrent loads of the cell.
#[derive(Clone, Debug)]
pub struct StoreBudget {
    starts_per_second: f64,
    concurrency: u32,
    tokens: f64,
    updated: Timestamp,
}

impl StoreBudget {
    /// Creates a full budget.
    pub fn new(settings: &PlacementSettings) -> Self {
        StoreBudget {
            starts_per_second: settings.store_starts_per_second,
            concurrency: settings.store_concurrency,
            tokens: settings.store_starts_per_second.max(1.0),
            updated: Timestamp(0),
        }
    }

    /// Consumes one start if the limits permit it beside `running` loads, and
    /// returns whether they do.
    pub fn try_start(&mut self, now: Timestamp, running: u32) -> bool {
        self.refill(now);
        if running >= self.concurrency || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Milliseconds until `queued` loads have started.
    pub fn delay(&self, queued: u32) -> u64 {
        (f64::from(queued) * 1_000.0 / self.starts_per_second) as u64
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated) as f64 / 1_000.0;
        let capacity = self.starts_per_second.max(1.0);
        self.tokens = (self.tokens + elapsed * self.starts_per_second).min(capacity);
        self.updated = now;
    }
}
