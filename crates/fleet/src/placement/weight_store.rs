//! What the weight store of a service is given to do: how often loads begin there, how many
//! are under way at once, and which models engines do not bear.
//!
//! Every event of a load goes to both bounds, so that they speak of the same loads.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{BackEndId, ModelId, ServiceId};
use serde::{Deserialize, Serialize};

use super::load_ends::{EndedLoads, LoadEnds};
use super::load_window::{FoundLimit, LoadWindow};
use super::pace::{LoadBound, LoadPace, RecentLoad};
use super::{Obstacle, OrderResult};
use crate::back_end::EngineReport;
use crate::incarnation::Born;

/// What a holder tells the next one of each service's weight store.
pub type StoreRecords = BTreeMap<ServiceId, StoreRecord>;

/// What is known of one weight store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// Loads that were ordered not long ago.
    pub recent: Vec<RecentLoad>,
    /// Loads that it makes at once.
    pub limit: FoundLimit,
    /// Models under whose loads engines ended.
    #[serde(default)]
    pub ended: Vec<EndedLoads>,
}

/// One weight store as the holder uses it.
#[derive(Debug)]
pub struct WeightStore {
    pace: LoadPace,
    window: LoadWindow,
    ends: LoadEnds,
}

impl WeightStore {
    /// A holder begins at `now`, with what those before it knew.
    pub fn new(now: Timestamp, bound: LoadBound, former: &StoreRecord) -> Self {
        WeightStore {
            pace: LoadPace::new(now, bound, &former.recent),
            window: LoadWindow::new(former.limit),
            ends: LoadEnds::new(now, &former.ended),
        }
    }

    /// Whether another load may begin beside `reserved` that are still to be ordered.
    pub fn allows(
        &self,
        now: Timestamp,
        loads_per_second: f64,
        reserved: usize,
    ) -> Result<(), Obstacle> {
        if !self.window.allows(now, reserved) {
            return Err(Obstacle::StoreCrowded);
        }
        if !self.pace.allows(now, loads_per_second) {
            return Err(Obstacle::Pace);
        }
        Ok(())
    }

    /// Whether engines ended under loads of the model, so that it is not loaded now.
    pub fn puts_off(&self, now: Timestamp, model: &ModelId) -> bool {
        self.ends.puts_off(now, model)
    }

    /// An engine was gone while it loaded a model, and no request was there.
    pub fn engine_ended(&mut self, now: Timestamp, model: &ModelId) {
        self.ends.ended(now, model);
    }

    /// An engine has started again under its name: its load is over, and orders that its former
    /// life did not answer may still be carried out.
    pub fn engine_restarted(&mut self, now: Timestamp, engine: &BackEndId) {
        self.pace.engine_restarted(now, engine);
        self.window.forget(engine);
    }

    /// Such an engine is there after all.
    pub fn engine_is_back(&mut self, model: &ModelId) {
        self.ends.is_back(model);
    }

    /// Whether a load that was ordered under this sequence number may be ordered again
    /// without another load.
    pub fn is_open(&self, now: Timestamp, engine: &BackEndId, sequence: u64) -> bool {
        self.pace.is_open(now, engine, sequence)
    }

    /// A load that takes this long alone is about to be ordered.
    pub fn begin(&mut self, now: Timestamp, engine: &BackEndId, sequence: u64, alone: Duration) {
        self.pace.note(now, engine, sequence);
        self.window.begin(now, engine, sequence, alone);
    }

    /// What came of the order of a load.
    pub fn ordered(&mut self, now: Timestamp, engine: &BackEndId, result: OrderResult) {
        self.pace.ordered(now, engine, result);
        match result {
            OrderResult::Accepted => {}
            OrderResult::Unanswered => self.window.uncertain(engine),
            _ => self.window.dropped(engine),
        }
    }

    /// The order of a load was not sent.
    pub fn unsent(&mut self, engine: &BackEndId) {
        self.pace.unsent(engine);
        self.window.dropped(engine);
    }

    /// An engine answered the question for its state, or did not; `loading` is what it was
    /// ordered to load.
    pub fn reported(
        &mut self,
        now: Timestamp,
        engine: &BackEndId,
        loading: Option<&ModelId>,
        report: Option<&EngineReport>,
    ) {
        let Some(report) = report else {
            return self.window.forget(engine);
        };
        if let Some(model) = loading.filter(|model| report.holdings.contains_key(*model)) {
            self.ends.done(model);
        }
        self.pace.taken(now, engine, report.sequence);
        if !report.busy {
            self.window.idle(now, engine, report.sequence);
        }
    }

    /// A former holder's row tells of a load at an engine.
    pub fn inherit(&mut self, now: Timestamp, engine: &BackEndId) {
        self.pace.note_unless_known(now, engine);
        self.window.inherit(now, engine);
    }

    /// Loads at engines that are gone are over.
    pub fn retain(&mut self, known: impl Fn(&BackEndId) -> bool) {
        self.window.retain(known);
    }

    /// For the next holder. `born` tells when engines started.
    pub fn record(&self, now: Timestamp, born: impl Fn(&BackEndId) -> Option<Born>) -> StoreRecord {
        StoreRecord {
            recent: self.pace.recent(now, born),
            limit: self.window.found(),
            ended: self.ends.record(now),
        }
    }
}
