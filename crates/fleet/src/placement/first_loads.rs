//! Holds back the first loads from a weight store until the models in demand are known.
//!
//! Long loads outlast their callers, few of them run at the same time, and none can be cancelled, so
//! the first ones should be of the models in most demand. A holder that starts after engines have lost
//! their models knows few requests, and rows may name engines that no longer exist: the models in most
//! demand then count as loaded, and a load of any other would be chosen.
//!
//! The demand before such a loss is known from the record of the previous holder. It decays like the
//! rates of gateways that have not restarted, and counts for models that are asked for again.
//!
//! The input is the total demand, the recorded demand and the engine states. The output is whether
//! loads from the store have to wait, polls of the engines that are thought to hold models in demand,
//! and the demand for the next holder.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::ModelId;

use super::Obstacle;
use super::engine::EngineState;
use super::totals::DemandTotals;
use crate::demand::{decayed_rate, round_to_thousandths};

/// Number of recent requests that tell the models in most demand from those that were asked for by
/// chance.
const MIN_OBSERVED_REQUESTS: f64 = 100.0;
/// Maximum time from the first request until loads may start.
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Number of models whose demand is recorded for the next holder. Few loads run at the same time.
const MAX_RECORDED_MODELS: usize = 16;

/// The models in most demand, with their requests per second.
pub type DemandRecord = BTreeMap<ModelId, f64>;

/// The first loads of one service under one holder.
#[derive(Debug)]
pub struct FirstLoads {
    started_at: Timestamp,
    /// Demand under the previous holder.
    previous_demand: DemandRecord,
    /// Demand for the next holder.
    demand: DemandRecord,
    /// When requests were first observed while an engine lacked all models.
    waiting_since: Option<Timestamp>,
    has_wait_ended: bool,
}

impl FirstLoads {
    /// Creates the state for a holder that starts at `now`.
    pub fn new(now: Timestamp, previous_demand: DemandRecord) -> Self {
        FirstLoads {
            started_at: now,
            demand: previous_demand.clone(),
            previous_demand,
            waiting_since: None,
            has_wait_ended: false,
        }
    }

    /// The demand for the next holder.
    pub fn demand_record(&self) -> DemandRecord {
        self.demand.clone()
    }

    /// Returns what keeps loads from the weight store from being chosen now. Nothing does as long as
    /// every engine holds a model or has a copy of one, and once the wait has ended. Until the first
    /// choice, raises `totals` to the recorded demand and schedules polls of engines.
    pub fn review(
        &mut self,
        now: Timestamp,
        totals: &mut DemandTotals,
        engines: &mut [&mut EngineState],
    ) -> Option<Obstacle> {
        let previous_demand = self.decayed_previous_demand(now);
        self.demand = demand_record(&previous_demand, totals);
        let has_empty_engine = engines.iter().any(|engine| engine.has_no_models());
        let observed_requests = totals.observed_requests();
        if self.has_wait_ended || !has_empty_engine || observed_requests == 0.0 {
            return None;
        }
        for (model, rate) in &previous_demand {
            totals.raise_rate(model, *rate);
        }
        let waiting_since = *self.waiting_since.get_or_insert(now);
        let unverified_engines = poll_unverified_engines(totals, engines);
        let is_demand_known = unverified_engines == 0 && observed_requests >= MIN_OBSERVED_REQUESTS;
        self.has_wait_ended =
            is_demand_known || now.since(waiting_since) >= MAX_WAIT.as_millis() as u64;
        (!self.has_wait_ended).then_some(Obstacle::DemandUnknown {
            observed_requests: observed_requests as u64,
            unverified_engines,
        })
    }

    fn decayed_previous_demand(&self, now: Timestamp) -> DemandRecord {
        let age_ms = now.since(self.started_at);
        let rates = self.previous_demand.iter();
        rates
            .map(|(model, rate)| (model.clone(), decayed_rate(*rate, age_ms)))
            .collect()
    }
}

/// The models in most demand, by the present or the previous demand, whichever is larger.
fn demand_record(previous: &DemandRecord, totals: &DemandTotals) -> DemandRecord {
    let mut rates = previous.clone();
    for (model, demand) in totals.models() {
        let rate = rates.entry(model.clone()).or_default();
        *rate = rate.max(demand.rate);
    }
    let mut ranked: Vec<(ModelId, f64)> = rates
        .into_iter()
        .map(|(model, rate)| (model, round_to_thousandths(rate)))
        .filter(|(_, rate)| *rate > 0.0)
        .collect();
    ranked.sort_by(|one, other| other.1.total_cmp(&one.1));
    ranked.into_iter().take(MAX_RECORDED_MODELS).collect()
}

/// Schedules polls of engines that are thought to hold models in demand and have not responded to this
/// holder yet. Returns their number.
fn poll_unverified_engines(totals: &DemandTotals, engines: &mut [&mut EngineState]) -> usize {
    let holds_model_in_demand = |engine: &EngineState| {
        let mut models = totals.models();
        models.any(|(model, _)| engine.retains(model))
    };
    let unverified = engines
        .iter_mut()
        .filter(|engine| engine.is_unverified() && holds_model_in_demand(engine));
    unverified.map(|engine| engine.schedule_poll()).count()
}
