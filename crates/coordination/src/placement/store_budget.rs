//! The one budget for loads from the rate-limited weight store.

use crate::settings::PlacementSettings;
use crate::time::Timestamp;

/// Starts a second and loads at once, over all engines of the cell.
#[derive(Clone, Debug)]
pub struct StoreBudget {
    starts_per_second: f64,
    concurrency: u32,
    tokens: f64,
    updated: Timestamp,
}

impl StoreBudget {
    /// A full budget.
    pub fn new(settings: &PlacementSettings) -> Self {
        StoreBudget {
            starts_per_second: settings.store_starts_per_second,
            concurrency: settings.store_concurrency,
            tokens: settings.store_starts_per_second.max(1.0),
            updated: Timestamp(0),
        }
    }

    /// Takes one start, if the store can take it beside `running` loads.
    pub fn take(&mut self, now: Timestamp, running: u32) -> bool {
        self.refill(now);
        if running >= self.concurrency || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Milliseconds until `ahead` further loads have started.
    pub fn delay(&self, ahead: u32) -> u64 {
        (f64::from(ahead) * 1_000.0 / self.starts_per_second) as u64
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated) as f64 / 1_000.0;
        let capacity = self.starts_per_second.max(1.0);
        self.tokens = (self.tokens + elapsed * self.starts_per_second).min(capacity);
        self.updated = now;
    }
}
