//! Models under whose loads engines ended: a load that is too large, or weights or an adapter
//! that an engine cannot bear, would be ordered at one engine after the other.
//!
//! In: loads that were under way when their engine was gone, and loads that were done. Out:
//! which models are put off, and until when; for the next holder, what is known.

use std::collections::BTreeMap;

use gorsebank_coordination::Timestamp;
use gorsebank_world::ModelId;
use serde::{Deserialize, Serialize};

/// So many engines end under loads of a model, none of which is done, before it is put off:
/// engines also end by themselves.
const ENDS_TO_PUT_OFF: u32 = 3;
/// A model is put off for so long at first, in milliseconds; then one load is tried. Each
/// further end doubles it ...
const FIRST_PAUSE: u64 = 30_000;
/// ... up to this.
const LONGEST_PAUSE: u64 = 600_000;

/// Ends under loads of one model since one was done.
#[derive(Clone, Copy, Debug)]
struct Ends {
    count: u32,
    last: Timestamp,
}

/// The same for the next holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedLoads {
    /// The model.
    pub model: ModelId,
    /// Engines that ended under a load of it since one was done.
    pub count: u32,
    /// Time since the last of them ended, in milliseconds.
    pub age: u64,
}

/// What is known of loads of all models of a service.
#[derive(Debug, Default)]
pub struct LoadEnds(BTreeMap<ModelId, Ends>);

impl LoadEnds {
    /// What a former holder knew, at `now`.
    pub fn new(now: Timestamp, former: &[EndedLoads]) -> Self {
        let known = former.iter().map(|known| {
            let last = now - known.age;
            let count = known.count;
            (known.model.clone(), Ends { count, last })
        });
        LoadEnds(known.collect())
    }

    /// An engine was gone while it loaded the model.
    pub fn ended(&mut self, now: Timestamp, model: &ModelId) {
        let ends = self.0.entry(model.clone()).or_insert(Ends {
            count: 0,
            last: now,
        });
        ends.count += 1;
        ends.last = now;
    }

    /// An engine that seemed to be gone while it loaded the model is there: its row had lapsed.
    pub fn is_back(&mut self, model: &ModelId) {
        if let Some(ends) = self.0.get_mut(model) {
            ends.count = ends.count.saturating_sub(1);
        }
    }

    /// An engine has loaded the model, and lives.
    pub fn done(&mut self, model: &ModelId) {
        self.0.remove(model);
    }

    /// Whether the model is not loaded now.
    pub fn puts_off(&self, now: Timestamp, model: &ModelId) -> bool {
        let ends = self.0.get(model);
        ends.is_some_and(|ends| now.since(ends.last) < ends.pause())
    }

    /// For the next holder.
    pub fn record(&self, now: Timestamp) -> Vec<EndedLoads> {
        let record = |(model, ends): (&ModelId, &Ends)| EndedLoads {
            model: model.clone(),
            count: ends.count,
            age: now.since(ends.last),
        };
        self.0.iter().map(record).collect()
    }
}

impl Ends {
    fn pause(&self) -> u64 {
        let Some(further) = self.count.checked_sub(ENDS_TO_PUT_OFF) else {
            return 0;
        };
        let times = 1_u64.checked_shl(further).unwrap_or(u64::MAX);
        FIRST_PAUSE.saturating_mul(times).min(LONGEST_PAUSE)
    }
}
