//! Estimates by how much loads are slower than their size suggests.
//!
//! In: durations of completed loads, and of running loads that are late. Out: a
//! factor for expected load times. With this factor, requests that cannot be
//! served in time are refused early while the weight store is slow.

use crate::time::Timestamp;

/// Weight of the newest load in the moving average.
const NEWEST_WEIGHT: f64 = 0.4;
/// Lower and upper limit of the factor.
const FACTOR_LIMITS: (f64, f64) = (1.0, 50.0);
/// Loads with a shorter expected duration are ignored, in milliseconds.
const MIN_EXPECTED_MS: u64 = 50;
/// Half-life with which the factor decays to 1 without new samples, in
/// milliseconds.
const HALF_LIFE_MS: f64 = 15_000.0;

/// A moving average of the ratio of actual to expected load times.
#[derive(Clone, Copy, Debug)]
pub struct LoadSlowdown {
    factor: f64,
    updated: Timestamp,
}

impl Default for LoadSlowdown {
    fn default() -> Self {
        LoadSlowdown {
            factor: FACTOR_LIMITS.0,
            updated: Timestamp(0),
        }
    }
}

impl LoadSlowdown {
    /// The factor by which expected load times must be multiplied.
    pub fn factor(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated) as f64;
        let excess = self.factor - FACTOR_LIMITS.0;
        FACTOR_LIMITS.0 + excess * (-age / HALF_LIFE_MS).exp2()
    }

    /// Records a completed load. Both durations are in milliseconds.
    pub fn record_completed(&mut self, now: Timestamp, expected: u64, elapsed: u64) {
        if expected < MIN_EXPECTED_MS {
            return;
        }
        let newest = elapsed as f64 / expected as f64;
        let previous = self.factor(now);
        self.set(now, previous + NEWEST_WEIGHT * (newest - previous));
    }

    /// Raises the factor if a load has already run for longer than the factor
    /// predicts. Both durations are in milliseconds.
    pub fn record_running(&mut self, now: Timestamp, expected: u64, elapsed: u64) {
        if expected < MIN_EXPECTED_MS {
            return;
        }
        let min_factor = elapsed as f64 / expected as f64;
        if min_factor > self.factor(now) {
            self.set(now, min_factor);
        }
    }

    fn set(&mut self, now: Timestamp, factor: f64) {
        self.factor = factor.clamp(FACTOR_LIMITS.0, FACTOR_LIMITS.1);
        self.updated = now;
    }
}
