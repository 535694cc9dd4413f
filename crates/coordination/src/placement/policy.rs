//! Keep-alive policy: decides how long an idle artifact stays loaded.
//!
//! In: the times at which an artifact was requested again after it had been
//! idle. Out: a keep-alive time. An artifact should stay loaded as long as the
//! value of the avoided cold starts exceeds the cost of the accelerator time
//! that it occupies:
//!
//! `rate * value of a cold start > fraction of the engine's memory`
//!
//! The rate is estimated from the artifact's returns, with lower weights for
//! older returns, and falls while the artifact stays idle. Artifacts that return
//! often therefore stay loaded, and rare or large artifacts are unloaded early,
//! whereas a fixed time would treat all alike. The `cold_start_weight` of a
//! deployment sets the value of a cold start.

use crate::collections::HashMap;

use gorsebank_world::Artifact;

use crate::settings::PlacementSettings;
use crate::time::Timestamp;

/// Milliseconds in an hour.
const HOUR_MS: f64 = 3_600_000.0;
/// Half-life of the weight of a return, in hours.
const HALF_LIFE_HOURS: f64 = 4.0;
/// Prior estimate for an artifact without recorded returns: a number of returns
/// and the hours in which they occur, as for a rarely used model.
const PRIOR_RETURNS: f64 = 0.3;
const PRIOR_HOURS: f64 = 1.0;
/// Value of an avoided cold start at a weight of one half, in accelerator hours.
const COLD_START_VALUE: f64 = 0.15;
/// Upper limit of the odds of the weight, with which the value grows.
const MAX_ODDS: f64 = 50.0;

/// Returns of one artifact, with lower weights for older returns.
#[derive(Clone, Copy, Debug)]
struct Returns {
    count: f64,
    first: Timestamp,
    updated: Timestamp,
}

impl Returns {
    fn count_at(&self, now: Timestamp) -> f64 {
        let hours = now.since(self.updated) as f64 / HOUR_MS;
        self.count * (-hours / HALF_LIFE_HOURS).exp2()
    }

    /// The effective length of the time over which returns were counted, in hours.
    fn window_at(&self, now: Timestamp) -> f64 {
        let hours = now.since(self.first) as f64 / HOUR_MS;
        let max_window = HALF_LIFE_HOURS / std::f64::consts::LN_2;
        max_window * (1.0 - (-hours / max_window).exp())
    }
}

/// Computes keep-alive times from the recorded returns of each artifact.
#[derive(Debug, Default)]
pub struct KeepAlivePolicy {
    returns: HashMap<Artifact, Returns>,
}

impl KeepAlivePolicy {
    /// Records that an artifact was requested after it had been idle, or for the
    /// first time.
    pub fn record_return(&mut self, now: Timestamp, artifact: &Artifact) {
        let returns = self.returns.entry(artifact.clone()).or_insert(Returns {
            count: 0.0,
            first: now,
            updated: now,
        });
        returns.count = returns.count_at(now) + 1.0;
        returns.updated = now;
    }

    /// How long an artifact that has been idle since `idle_since` stays loaded,
    /// in milliseconds. `memory_fraction` is its fraction of the engine's memory.
    pub fn keep_alive(
        &self,
        idle_since: Timestamp,
        artifact: &Artifact,
        memory_fraction: f64,
        cold_start_weight: f64,
        settings: &PlacementSettings,
    ) -> u64 {
        let (count, window) = match self.returns.get(artifact) {
            Some(returns) => (returns.count_at(idle_since), returns.window_at(idle_since)),
            None => (0.0, 0.0),
        };
        let odds = cold_start_weight / (1.0 - cold_start_weight).max(1.0 / MAX_ODDS);
        let value = COLD_START_VALUE * odds;
        // The estimated rate falls while the artifact is idle. At the end of
        // this window, the rate no longer justifies the fraction of memory.
        let justified_window = value * (count + PRIOR_RETURNS) / memory_fraction.max(f64::EPSILON);
        let hours = (justified_window - window - PRIOR_HOURS).max(0.0);
        ((hours * HOUR_MS) as u64).clamp(settings.keep_alive_min, settings.keep_alive_max)
    }
}
