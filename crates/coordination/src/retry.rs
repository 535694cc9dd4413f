//! Limits retries of attempts by a budget over all requests and by exponential
//! back-off. The inputs are arriving requests and retries; the outputs are retry
//! permits and delays.

use rand::{Rng, RngExt};

use crate::settings::RoutingSettings;

/// Retry budget that grows with each arriving request and shrinks with each
/// retry, so that retries stay a fixed fraction of the load even when every
/// attempt fails.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    reserve: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: &RoutingSettings) -> Self {
        RetryBudget {
            ratio: settings.retry_ratio,
            reserve: settings.retry_reserve,
            balance: settings.retry_reserve,
        }
    }

    /// Credits the budget for an arriving request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.reserve);
    }

    /// Takes one retry out of the budget. Returns `false` if the budget is used up.
    pub fn take_permit(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Returns the delay before attempt `attempt + 1` in milliseconds: exponential
/// back-off with full jitter.
pub fn backoff(settings: &RoutingSettings, attempt: u32, random: &mut impl Rng) -> u64 {
    let doublings = attempt.saturating_sub(1).min(16);
    let ceiling = (settings.backoff << doublings).min(settings.backoff_limit);
    random.random_range(0..=ceiling)
}
