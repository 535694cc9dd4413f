//! Limits on repeating attempts: a budget over all requests, and back-off.

use rand::{Rng, RngExt};

use crate::settings::RoutingSettings;

/// A budget that grows with the requests served and shrinks with each retry,
/// so that retries stay a fixed share of the load when everything fails.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    reserve: f64,
    balance: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: &RoutingSettings) -> Self {
        RetryBudget {
            ratio: settings.retry_ratio,
            reserve: settings.retry_reserve,
            balance: settings.retry_reserve,
        }
    }

    /// Counts a request that arrived.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.reserve);
    }

    /// Takes one retry out, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// The pause before attempt `attempt + 1`: exponential, with full jitter.
pub fn backoff(settings: &RoutingSettings, attempt: u32, random: &mut impl Rng) -> u64 {
    let doublings = attempt.saturating_sub(1).min(16);
    let ceiling = (settings.backoff << doublings).min(settings.backoff_limit);
    random.random_range(0..=ceiling)
}
