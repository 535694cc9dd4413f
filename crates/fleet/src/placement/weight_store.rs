//! The use of one service's weight store: limits the rate of loads and the number of concurrent
//! loads, and defers models during whose loads engines have exited.
//!
//! Each event of a load is passed to both limits, so that they count the same loads. The input is
//! load orders, their results and engine reports. The output is whether another load may start, and
//! a record for the next holder.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{BackEndId, ModelId, ServiceId};
use serde::{Deserialize, Serialize};

use super::engine::EngineState;
use super::first_loads::{DemandRecord, FirstLoads};
use super::load_concurrency::{EndedLoad, LoadConcurrency, LoadConcurrencyEstimate};
use super::load_crashes::{LoadCrashRecord, LoadCrashes};
use super::load_rate_limiter::{LoadRateLimit, LoadRateLimiter, RecentLoad};
use super::totals::DemandTotals;
use super::{Obstacle, OrderResult};
use crate::back_end::EngineReport;
use crate::configuration::Engine;
use crate::incarnation::Born;

/// The records of weight stores that one holder leaves for the next, by service.
pub type StoreRecords = BTreeMap<ServiceId, StoreRecord>;

/// The state of one weight store that one holder leaves for the next.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// Loads that were ordered recently.
    pub recent: Vec<RecentLoad>,
    /// The estimated number of loads that the store performs at full speed at the same time.
    #[serde(rename = "limit")]
    pub concurrency: LoadConcurrencyEstimate,
    /// Models during whose loads engines exited.
    #[serde(rename = "ended", default)]
    pub load_crashes: Vec<LoadCrashRecord>,
    /// The models in most demand, where loads outlast the callers of the service.
    #[serde(default, skip_serializing_if = "DemandRecord::is_empty")]
    pub demand: DemandRecord,
}

impl StoreRecord {
    /// The record that a holder starts with, given the one of previous holders. Where loads are long,
    /// the holder takes over only as much of the estimate as loads have confirmed: it may start right
    /// after all engines have lost their models.
    pub fn for_next_holder(previous: Option<Self>, spec: &Engine, has_long_loads: bool) -> Self {
        let initial = StoreRecord::initial(spec, has_long_loads);
        match previous {
            Some(previous) if has_long_loads => StoreRecord {
                concurrency: previous.concurrency.confirmed(initial.concurrency),
                ..previous
            },
            Some(previous) => previous,
            None => initial,
        }
    }

    /// The record of a weight store that no holder has used yet. `has_long_loads` tells whether
    /// loads outlast the callers of the service.
    fn initial(spec: &Engine, has_long_loads: bool) -> Self {
        let long_load = spec.longest_load().filter(|_| has_long_loads);
        StoreRecord {
            concurrency: long_load.map_or_else(
                LoadConcurrencyEstimate::default,
                LoadConcurrencyEstimate::for_load_duration,
            ),
            ..StoreRecord::default()
        }
    }
}

/// One weight store as the placement holder uses it.
#[derive(Debug)]
pub struct WeightStore {
    rate_limiter: LoadRateLimiter,
    concurrency: LoadConcurrency,
    crashes: LoadCrashes,
    first_loads: Option<FirstLoads>,
}

impl WeightStore {
    /// Creates the state for a holder that starts at `now`, from the record of previous holders.
    /// `has_long_loads` tells whether loads outlast the callers of the service.
    pub fn new(
        now: Timestamp,
        rate_limit: LoadRateLimit,
        previous: &StoreRecord,
        has_long_loads: bool,
    ) -> Self {
        WeightStore {
            rate_limiter: LoadRateLimiter::new(now, rate_limit, &previous.recent),
            concurrency: LoadConcurrency::new(previous.concurrency, has_long_loads),
            crashes: LoadCrashes::new(now, &previous.load_crashes),
            first_loads: has_long_loads.then(|| FirstLoads::new(now, previous.demand.clone())),
        }
    }

    /// Reviews the first loads of the holder, if loads are long: [`FirstLoads::review`].
    pub fn review_first_loads(
        &mut self,
        now: Timestamp,
        totals: &mut DemandTotals,
        engines: &mut [&mut EngineState],
    ) -> Option<Obstacle> {
        let first_loads = self.first_loads.as_mut()?;
        first_loads.review(now, totals, engines)
    }

    /// Checks whether another load may start besides `reserved` loads that are still to be ordered.
    pub fn check_limits(
        &self,
        now: Timestamp,
        loads_per_second: f64,
        reserved: usize,
    ) -> Result<(), Obstacle> {
        if !self.concurrency.allows(now, reserved) {
            return Err(Obstacle::StoreCrowded {
                loads: self.concurrency.active_loads(now) + reserved,
                unconfirmed: self.concurrency.unconfirmed_loads(now),
                max_loads: self.concurrency.max_loads(),
            });
        }
        if !self.rate_limiter.allows(now, loads_per_second) {
            return Err(Obstacle::Pace);
        }
        Ok(())
    }

    /// Whether loads of the model are deferred, because engines exited during earlier ones.
    pub fn is_deferred(&self, now: Timestamp, model: &ModelId) -> bool {
        self.crashes.is_deferred(now, model)
    }

    /// Records that an engine that was loading a model has disappeared, without a request as the
    /// likely cause.
    pub fn record_exit(&mut self, now: Timestamp, model: &ModelId) {
        self.crashes.record_exit(now, model);
    }

    /// Records that an engine has restarted under its name. Its load has ended, and orders to the
    /// previous incarnation that had no response may still be executed.
    pub fn record_restart(&mut self, now: Timestamp, engine: &BackEndId) {
        self.rate_limiter.record_restart(now, engine);
        self.concurrency.remove(engine);
    }

    /// Retracts the exit of an engine that is in discovery again.
    pub fn retract_exit(&mut self, model: &ModelId) {
        self.crashes.retract_exit(model);
    }

    /// Whether a load order with this sequence number may be repeated without counting another
    /// load.
    pub fn is_unresolved(&self, now: Timestamp, engine: &BackEndId, sequence: u64) -> bool {
        self.rate_limiter.is_unresolved(now, engine, sequence)
    }

    /// Records a load of a model that is about to be ordered. `uncontended_duration` is the duration of the
    /// load without other loads.
    pub fn record_order(
        &mut self,
        now: Timestamp,
        engine: &BackEndId,
        sequence: u64,
        model: &ModelId,
        uncontended_duration: Duration,
    ) {
        self.rate_limiter.record_order(now, engine, sequence, model);
        self.concurrency
            .record_order(now, engine, sequence, uncontended_duration);
    }

    /// Applies the result of a load order.
    pub fn apply_order_result(&mut self, now: Timestamp, engine: &BackEndId, result: OrderResult) {
        self.rate_limiter.apply_order_result(now, engine, result);
        match result {
            OrderResult::Accepted => {}
            OrderResult::Unanswered => self.concurrency.record_no_response(engine),
            _ => self.concurrency.cancel_order(engine),
        }
    }

    /// Records that a load order was not sent.
    pub fn cancel_order(&mut self, engine: &BackEndId) {
        self.rate_limiter.cancel_order(engine);
        self.concurrency.cancel_order(engine);
    }

    /// Applies the response of an engine to a poll; `report` is `None` if the engine did not
    /// respond. `loading` is the model that the engine was ordered to load.
    pub fn apply_report(
        &mut self,
        now: Timestamp,
        engine: &BackEndId,
        loading: Option<&ModelId>,
        report: Option<&EngineReport>,
    ) {
        let Some(report) = report else {
            return self.concurrency.remove(engine);
        };
        if let Some(model) = loading.filter(|model| report.holdings.contains_key(*model)) {
            self.crashes.clear(model);
        }
        self.rate_limiter
            .apply_sequence(now, engine, report.sequence);
        if !report.busy {
            self.concurrency.record_idle(now, engine, report.sequence);
        }
    }

    /// Restores a load from the row of a previous holder.
    pub fn restore(&mut self, now: Timestamp, engine: &BackEndId, model: &ModelId) {
        self.rate_limiter.record_restored_load(now, engine, model);
        self.concurrency.restore(now, engine);
    }

    /// Removes the concurrent loads of engines for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(&BackEndId) -> bool) {
        self.concurrency.retain(known);
    }

    /// Returns the loads that have ended since the last call.
    pub fn take_ended_loads(&mut self) -> Vec<EndedLoad> {
        self.concurrency.take_ended_loads()
    }

    /// The record for the next holder. `born` returns the start times of engines.
    pub fn record(&self, now: Timestamp, born: impl Fn(&BackEndId) -> Option<Born>) -> StoreRecord {
        StoreRecord {
            recent: self.rate_limiter.recent_loads(now, born),
            concurrency: self.concurrency.estimate(),
            load_crashes: self.crashes.records(now),
            demand: self
                .first_loads
                .as_ref()
                .map(FirstLoads::demand_record)
                .unwrap_or_default(),
        }
    }
}
