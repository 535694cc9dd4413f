//! Holds back the first loads from a weight store until the models in demand are known.
//!
//! Long loads outlast their callers, few of them run at the same time, and none can be cancelled, so
//! the first ones should be of the models in most demand. A holder that starts after engines have lost
//! their models knows few requests, and rows may name engines that no longer exist: the models in most
//! demand then count as loaded, and a load of any other would be chosen.
//!
//! The input is the total demand and the engine states. The output is whether loads from the store
//! have to wait, and polls of the engines that are thought to hold models in demand.

use std::time::Duration;

use gorsebank_coordination::Timestamp;

use super::Obstacle;
use super::engine::EngineState;
use super::totals::DemandTotals;

/// Number of recent requests that tell the models in most demand from those that were asked for by
/// chance.
const MIN_OBSERVED_REQUESTS: f64 = 100.0;
/// Maximum time from the first request until loads may start.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// The first loads of one service under one holder.
#[derive(Debug, Default)]
pub struct FirstLoads {
    /// When requests were first observed while an engine lacked all models.
    waiting_since: Option<Timestamp>,
    has_wait_ended: bool,
}

impl FirstLoads {
    /// What keeps loads from the weight store from being chosen now. Nothing does as long as every
    /// engine holds a model or has a copy of one.
    pub fn obstacle(
        &mut self,
        now: Timestamp,
        totals: &DemandTotals,
        engines: &mut [&mut EngineState],
    ) -> Option<Obstacle> {
        let observed_requests = totals.observed_requests();
        let has_empty_engine = engines.iter().any(|engine| engine.has_no_models());
        if self.has_wait_ended || !has_empty_engine || observed_requests == 0.0 {
            return None;
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
