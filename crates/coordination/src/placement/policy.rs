//! How long an idle artifact stays loaded.
//!
//! In: when each artifact was wanted again after it had been idle. Out: a
//! keep-alive time. An artifact is worth its memory as long as the cold starts
//! it saves are worth more than the accelerator time it holds:
//!
//! `rate * value of a cold start > share of the engine's memory`
//!
//! The rate is estimated from the artifact's returns, older ones counting
//! less, and falls while it stays idle. So artifacts that return often stay,
//! and rare or large ones go at once, where a fixed time treats all alike. A
//! deployment's `cold_start_weight` sets the value of a cold start.

use crate::collections::HashMap;

use gorsebank_world::Artifact;

use crate::settings::PlacementSettings;
use crate::time::Timestamp;

/// Milliseconds in an hour.
const HOUR: f64 = 3_600_000.0;
/// A return counts half after so many hours.
const HALF_LIFE_HOURS: f64 = 4.0;
/// Returns that an artifact is credited with before any was seen, and the hours
/// in which they would have been: what rare models do.
const PRIOR_RETURNS: f64 = 0.3;
const PRIOR_HOURS: f64 = 1.0;
/// Accelerator hours that a cold start is worth at a weight of one half.
const COLD_START_VALUE: f64 = 0.15;
/// The value grows with the odds of the weight, up to so many times.
const MAX_ODDS: f64 = 50.0;

/// Returns of one artifact, older ones counting less.
#[derive(Clone, Copy, Debug)]
struct Returns {
    count: f64,
    first: Timestamp,
    updated: Timestamp,
}

impl Returns {
    fn count_at(&self, now: Timestamp) -> f64 {
        let hours = now.since(self.updated) as f64 / HOUR;
        self.count * (-hours / HALF_LIFE_HOURS).exp2()
    }

    /// The hours over which the count extends.
    fn window_at(&self, now: Timestamp) -> f64 {
        let hours = now.since(self.first) as f64 / HOUR;
        let longest = HALF_LIFE_HOURS / std::f64::consts::LN_2;
        longest * (1.0 - (-hours / longest).exp())
    }
}

/// Keep-alive times from what was seen of each artifact.
#[derive(Debug, Default)]
pub struct KeepAlivePolicy {
    returns: HashMap<Artifact, Returns>,
}

impl KeepAlivePolicy {
    /// Notes that an artifact was wanted after it had been idle, or for the
    /// first time.
    pub fn returned(&mut self, now: Timestamp, artifact: &Artifact) {
        let returns = self.returns.entry(artifact.clone()).or_insert(Returns {
            count: 0.0,
            first: now,
            updated: now,
        });
        returns.count = returns.count_at(now) + 1.0;
        returns.updated = now;
    }

    /// How long an artifact that has been idle since `idle_since` stays loaded,
    /// in milliseconds. `share` is its part of an engine's memory.
    pub fn keep_alive(
        &self,
        idle_since: Timestamp,
        artifact: &Artifact,
        share: f64,
        cold_start_weight: f64,
        settings: &PlacementSettings,
    ) -> u64 {
        let (count, window) = match self.returns.get(artifact) {
            Some(returns) => (returns.count_at(idle_since), returns.window_at(idle_since)),
            None => (0.0, 0.0),
        };
        let odds = cold_start_weight / (1.0 - cold_start_weight).max(1.0 / MAX_ODDS);
        let value = COLD_START_VALUE * odds;
        // The time at which the estimated rate, which falls while the artifact
        // is idle, is worth its share no more.
        let worth = value * (count + PRIOR_RETURNS) / share.max(f64::EPSILON);
        let hours = (worth - window - PRIOR_HOURS).max(0.0);
        ((hours * HOUR) as u64).clamp(settings.keep_alive_min, settings.keep_alive_max)
    }
}
