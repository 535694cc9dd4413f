//! Defers loads of models during which engines have exited. Without it, a model that is too large,
//! or weights or an adapter that crash an engine, would be loaded on one engine after the other.
//!
//! The input is loads that were in progress when their engine exited, and loads that completed. The
//! output is whether a model is deferred at a given time, and a record for the next holder.

use std::collections::BTreeMap;

use gorsebank_coordination::Timestamp;
use gorsebank_world::ModelId;
use serde::{Deserialize, Serialize};

/// Number of engines that exit during loads of a model, without a completed load in between, before
/// the model is deferred. Engines also exit for other reasons.
const EXITS_BEFORE_DEFERRAL: u32 = 3;
/// Time for which a model is deferred at first, in milliseconds; then one load is tried. Each
/// further exit doubles this time.
const MIN_BACKOFF_MS: u64 = 30_000;
/// Maximum time for which a model is deferred, in milliseconds.
const MAX_BACKOFF_MS: u64 = 600_000;

/// Exits of engines during loads of one model since the last completed load.
#[derive(Clone, Copy, Debug)]
struct LoadExits {
    count: u32,
    last: Timestamp,
}

/// Exits of engines during loads of one model, as recorded for the next holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCrashRecord {
    pub model: ModelId,
    /// Number of engines that exited during a load of the model since the last completed load.
    pub count: u32,
    /// Time since the last exit, in milliseconds.
    #[serde(rename = "age")]
    pub age_ms: u64,
}

/// Exits of engines during loads, for all models of a service.
#[derive(Debug, Default)]
pub struct LoadCrashes(BTreeMap<ModelId, LoadExits>);

impl LoadCrashes {
    /// Restores the records of a previous holder at `now`.
    pub fn new(now: Timestamp, previous: &[LoadCrashRecord]) -> Self {
        let known = previous.iter().map(|known| {
            let last = now - known.age_ms;
            let count = known.count;
            (known.model.clone(), LoadExits { count, last })
        });
        LoadCrashes(known.collect())
    }

    /// Records that an engine exited while it loaded the model.
    pub fn record_exit(&mut self, now: Timestamp, model: &ModelId) {
        let exits = self.0.entry(model.clone()).or_insert(LoadExits {
            count: 0,
            last: now,
        });
        exits.count = exits.count.saturating_add(1);
        exits.last = now;
    }

    /// Retracts an exit: the engine that seemed to have exited during its load still runs, and only
    /// its discovery row had expired.
    pub fn retract_exit(&mut self, model: &ModelId) {
        if let Some(exits) = self.0.get_mut(model) {
            exits.count = exits.count.saturating_sub(1);
        }
    }

    /// Records that an engine has loaded the model and still runs.
    pub fn clear(&mut self, model: &ModelId) {
        self.0.remove(model);
    }

    /// Whether loads of the model are deferred.
    pub fn is_deferred(&self, now: Timestamp, model: &ModelId) -> bool {
        let exits = self.0.get(model);
        exits.is_some_and(|exits| now.since(exits.last) < exits.backoff_ms())
    }

    /// The records for the next holder.
    pub fn records(&self, now: Timestamp) -> Vec<LoadCrashRecord> {
        let to_record = |(model, exits): (&ModelId, &LoadExits)| LoadCrashRecord {
            model: model.clone(),
            count: exits.count,
            age_ms: now.since(exits.last),
        };
        self.0.iter().map(to_record).collect()
    }
}

impl LoadExits {
    fn backoff_ms(&self) -> u64 {
        let Some(further) = self.count.checked_sub(EXITS_BEFORE_DEFERRAL) else {
            return 0;
        };
        let times = 1_u64.checked_shl(further).unwrap_or(u64::MAX);
        MIN_BACKOFF_MS.saturating_mul(times).min(MAX_BACKOFF_MS)
    }
}
