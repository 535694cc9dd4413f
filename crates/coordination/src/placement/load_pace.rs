//! How much longer loads take than their size says.
//!
//! In: loads that ended, and loads that run late. Out: a factor for expected
//! times, so that requests that cannot be served in time are refused early
//! while the weight store is slow.

use crate::time::Timestamp;

/// Weight of the newest load in the running mean.
const NEWEST_WEIGHT: f64 = 0.4;
/// The factor stays within these bounds.
const BOUNDS: (f64, f64) = (1.0, 50.0);
/// Loads that take less than so long say nothing, in milliseconds.
const LEAST_EXPECTED: u64 = 50;
/// Without news the factor halves its way to 1 in so long, in milliseconds.
const HALF_LIFE: f64 = 15_000.0;

/// A running mean of actual to expected load times.
#[derive(Clone, Copy, Debug)]
pub struct LoadPace {
    factor: f64,
    updated: Timestamp,
}

impl Default for LoadPace {
    fn default() -> Self {
        LoadPace {
            factor: BOUNDS.0,
            updated: Timestamp(0),
        }
    }
}

impl LoadPace {
    /// By what expected times are to be multiplied.
    pub fn factor(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated) as f64;
        let excess = self.factor - BOUNDS.0;
        BOUNDS.0 + excess * (-age / HALF_LIFE).exp2()
    }

    /// A load ended that was expected to take `expected` milliseconds.
    pub fn note(&mut self, now: Timestamp, expected: u64, elapsed: u64) {
        if expected < LEAST_EXPECTED {
            return;
        }
        let newest = elapsed as f64 / expected as f64;
        let former = self.factor(now);
        self.set(now, former + NEWEST_WEIGHT * (newest - former));
    }

    /// A load runs since `elapsed` milliseconds: the factor is at least that.
    pub fn note_running(&mut self, now: Timestamp, expected: u64, elapsed: u64) {
        if expected < LEAST_EXPECTED {
            return;
        }
        let least = elapsed as f64 / expected as f64;
        if least > self.factor(now) {
            self.set(now, least);
        }
    }

    fn set(&mut self, now: Timestamp, factor: f64) {
        self.factor = factor.clamp(BOUNDS.0, BOUNDS.1);
        self.updated = now;
    }
}
