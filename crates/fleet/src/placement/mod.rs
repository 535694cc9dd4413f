//! Placement of models and adapters by the placement holder: decides which engine loads, unloads or
//! keeps which model and adapter.
//!
//! The input is engine reports, the demand at all gateways, the results of orders and the time. The
//! output is actions, at most one at a time for each engine.
//!
//! Invariant: memory and adapter slots for an order are computed from holdings that are known for a
//! sequence number of the engine, and the order is sent on the condition of exactly that number. An
//! order that is executed late, or one of another holder, changes the sequence number. Therefore
//! memory and adapter slots are never overcommitted, whichever messages were lost.

mod adapters;
mod engine;
mod first_loads;
mod forecast;
mod goal;
mod load_concurrency;
mod load_crashes;
mod load_rate_limiter;
mod load_selection;
mod replica_need;
mod totals;
mod weight_store;

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_coordination::Timestamp;
use gorsebank_world::{AdapterId, BackEndId, ModelId, ServiceId};

use crate::back_end::{BackEndReport, EngineReport, PlacedRow};
use crate::configuration::{Configuration, Engine};
use crate::demand::DemandRow;
use crate::incarnation::{Born, IncarnationMatch};

use engine::{EngineState, PossibleOrders};
pub use first_loads::DemandRecord;
use forecast::Forecast;
pub use load_concurrency::{EndedLoad, LoadConcurrency, LoadConcurrencyEstimate};
pub use load_crashes::LoadCrashRecord;
pub use load_rate_limiter::{LoadRateLimit, LoadRateLimiter, RecentLoad};
pub use load_selection::{ChosenLoad, DeferredLoad, MemoryReservation, Obstacle};
use load_selection::{LoadDecisions, PlanInputs};
use totals::DemandTotals;
use weight_store::WeightStore;
pub use weight_store::{StoreRecord, StoreRecords};

/// The operation that an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    LoadModel(ModelId),
    /// Unload a model and its adapters.
    UnloadModel(ModelId),
    /// Load an adapter of a model that is loaded.
    LoadAdapter(ModelId, AdapterId),
    UnloadAdapter(ModelId, AdapterId),
}

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine is executing the order.
    Accepted,
    /// The engine already has the state that the order asks for.
    InForce,
    /// Another order is in progress, or the sequence number does not match.
    Conflict,
    /// The engine has accepted a higher fencing token.
    Fenced,
    /// The engine refused the order permanently.
    Refused,
    /// The order had no response, so it may have been executed or may still be.
    Unanswered,
    /// The order was not sent.
    NotSent,
}

/// The kind of an action at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActionKind {
    /// Poll the engine for its state.
    Report,
    /// Send an order, on the condition that the engine has accepted `sequence` orders.
    Order {
        order: OrderKind,
        /// Number of orders that the engine must have accepted.
        sequence: u64,
    },
}

/// An action to be carried out at one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    pub engine: BackEndId,
    pub kind: ActionKind,
    /// The reason for the action, for log lines.
    pub reason: &'static str,
    /// The start time of the incarnation that the action is for; `None` if the engine does not
    /// report start times.
    pub born: Option<Born>,
}

/// The placement holder's knowledge of all engines and weight stores, and its plans.
#[derive(Debug, Default)]
pub struct Planner {
    engines: BTreeMap<BackEndId, EngineState>,
    stores: BTreeMap<ServiceId, WeightStore>,
    rate_limit: LoadRateLimit,
    previous_records: StoreRecords,
    /// Orders to engines that are not in discovery.
    orders_to_absent_engines: BTreeMap<BackEndId, PossibleOrders>,
    /// Loads that rows of previous holders name.
    restored_loads: Vec<RestoredLoad>,
    started_at: Timestamp,
    /// The decisions of the last plan.
    decisions: LoadDecisions,
    /// Loads during which engines disappeared from discovery.
    interrupted_loads: BTreeMap<BackEndId, InterruptedLoad>,
}

/// A load that the row of a previous holder names.
#[derive(Clone, Debug)]
struct RestoredLoad {
    engine: BackEndId,
    /// The start time of the incarnation that the row is about.
    born: Option<Born>,
    model: ModelId,
}

/// A load during which the engine disappeared from discovery.
#[derive(Clone, Debug)]
struct InterruptedLoad {
    service: ServiceId,
    model: ModelId,
    /// The start time of the incarnation that disappeared.
    born: Option<Born>,
}

impl Planner {
    /// Creates the planner of a holder that starts at `now`. `previous_records` contains the weight
    /// store records of previous holders.
    pub fn new(now: Timestamp, rate_limit: LoadRateLimit, previous_records: StoreRecords) -> Self {
        Planner {
            rate_limit,
            previous_records,
            started_at: now,
            ..Planner::default()
        }
    }

    /// The knowledge of this holder and of previous ones about weight stores, for the next holder.
    pub fn store_records(&self, now: Timestamp) -> StoreRecords {
        let born = |id: &BackEndId| self.engines.get(id).and_then(EngineState::born);
        let stores = self.stores.iter();
        stores
            .map(|(service, store)| (service.clone(), store.record(now, born)))
            .collect()
    }

    /// Applies the back ends that discovery shows. `crashed` contains those whose process crashed
    /// while it ran requests; the discovery row of each remains for some heartbeats.
    pub fn observe(
        &mut self,
        now: Timestamp,
        reports: &[BackEndReport],
        crashed: &BTreeSet<BackEndId>,
    ) {
        let has_not_crashed = |id: &BackEndId| !crashed.contains(id);
        let present = reports.iter().filter(|report| has_not_crashed(&report.id));
        let present: BTreeMap<&BackEndId, &BackEndReport> =
            present.map(|report| (&report.id, report)).collect();
        let is_present = |id: &BackEndId| present.contains_key(id);
        self.record_missing_engines(now, |id| has_not_crashed(id) && !is_present(id));
        self.retract_returned_engines(&present);
        self.remove_absent_engines(now, is_present);
        for store in self.stores.values_mut() {
            store.retain(|id| self.engines.contains_key(id));
        }
        for (id, report) in present {
            match self.engines.get_mut(id) {
                Some(engine) => {
                    if engine.observe(now, report) == IncarnationMatch::Other {
                        self.begin_incarnation(now, report.clone());
                    }
                }
                None => {
                    let mut engine = EngineState::new(now, report.clone());
                    if let Some(orders) = self.orders_to_absent_engines.remove(id) {
                        engine.add_possible_orders(orders);
                    }
                    // The load that a row names counts as in progress until the engine responds.
                    if self.restored_loads.iter().any(|load| load.engine == *id) {
                        engine.schedule_poll();
                    }
                    self.engines.insert(id.clone(), engine);
                }
            }
        }
    }

    /// Removes engines that discovery no longer shows. They may return under their names, while orders
    /// that were sent to them may still be executed.
    fn remove_absent_engines(&mut self, now: Timestamp, is_present: impl Fn(&BackEndId) -> bool) {
        let orders_to_absent = &mut self.orders_to_absent_engines;
        self.engines.retain(|id, engine| {
            let is_present = is_present(id);
            if !is_present {
                orders_to_absent.insert(id.clone(), engine.possible_orders());
            }
            is_present
        });
        orders_to_absent.retain(|_, orders| !orders.are_expired(now));
    }

    /// Sets the rate limits that engines state, in requests per second. Engines that are not in
    /// `limits` state none.
    pub fn set_limits(&mut self, limits: &BTreeMap<BackEndId, f64>) {
        for (id, engine) in &mut self.engines {
            engine.set_limit(limits.get(id).copied());
        }
    }

    /// Handles the restart of an engine under its name: nothing that was ordered before is loaded,
    /// and a load in progress has ended with the process.
    fn begin_incarnation(&mut self, now: Timestamp, report: BackEndReport) {
        let Some(engine) = self.engines.get_mut(&report.id) else {
            return;
        };
        if let Some(store) = self.stores.get_mut(engine.service()) {
            if let Some(model) = engine.model_being_loaded() {
                store.record_exit(now, model);
            }
            store.record_restart(now, &report.id);
        }
        engine.begin_incarnation(now, report);
    }

    /// Whether this start time may be that of the incarnation that the planner knows.
    pub fn plans_for(&self, id: &BackEndId, born: Option<Born>) -> bool {
        self.engines
            .get(id)
            .is_some_and(|engine| engine.may_be_incarnation(born))
    }

    /// Records loads of engines that disappeared from discovery and did not crash because of a
    /// request, since the load may be the cause.
    fn record_missing_engines(&mut self, now: Timestamp, is_missing: impl Fn(&BackEndId) -> bool) {
        for (id, engine) in self.engines.iter().filter(|(id, _)| is_missing(id)) {
            let Some(model) = engine.model_being_loaded() else {
                continue;
            };
            if let Some(store) = self.stores.get_mut(engine.service()) {
                store.record_exit(now, model);
                let interrupted = InterruptedLoad {
                    service: engine.service().clone(),
                    model: model.clone(),
                    born: engine.born(),
                };
                self.interrupted_loads.insert(id.clone(), interrupted);
            }
        }
    }

    /// Corrects the records of engines that are in discovery again: rows expire while the table is
    /// unavailable. An engine with another start time has exited nevertheless.
    fn retract_returned_engines(&mut self, present: &BTreeMap<&BackEndId, &BackEndReport>) {
        self.interrupted_loads.retain(|id, interrupted| {
            let Some(report) = present.get(id) else {
                return true;
            };
            if report.born == interrupted.born
                && let Some(store) = self.stores.get_mut(&interrupted.service)
            {
                store.retract_exit(&interrupted.model);
            }
            false
        });
    }

    /// Restores the row of a previous holder. The engine is polled before any order is sent to it.
    pub fn restore(&mut self, id: &BackEndId, row: &PlacedRow) {
        if let Some(load) = &row.loading {
            self.restored_loads.push(RestoredLoad {
                engine: id.clone(),
                born: row.born,
                model: load.model.clone(),
            });
        }
        let orders = PossibleOrders::from_row(self.started_at, row);
        let Some(engine) = self.engines.get_mut(id) else {
            self.orders_to_absent_engines.insert(id.clone(), orders);
            return;
        };
        engine.add_possible_orders(orders);
        engine.resume(row);
    }

    /// Computes the actions to start now.
    pub fn plan(
        &mut self,
        now: Timestamp,
        configuration: &Configuration,
        rows: &[DemandRow],
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.decisions = LoadDecisions::default();
        for (service, spec) in configuration.engine_services() {
            let totals = DemandTotals::new(service, rows);
            let has_long_loads = configuration.longest_load_outlasts_callers(service);
            self.plan_service(now, service, spec, has_long_loads, totals, &mut actions);
        }
        actions
    }

    fn plan_service(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        spec: &Engine,
        has_long_loads: bool,
        mut totals: DemandTotals,
        actions: &mut Vec<Action>,
    ) {
        let mut engines: Vec<&mut EngineState> = self
            .engines
            .values_mut()
            .filter(|engine| engine.serves(service))
            .collect();
        let store = self.stores.entry(service.clone()).or_insert_with(|| {
            let previous = self.previous_records.remove(service);
            let record = StoreRecord::for_next_holder(previous, spec, has_long_loads);
            let mut store =
                WeightStore::new(self.started_at, self.rate_limit, &record, has_long_loads);
            // A load without a matching start time may belong to a previous incarnation, and so may
            // that of an engine that is not in discovery.
            let is_present_incarnation = |id: &BackEndId, born: Option<Born>| {
                let known = engines.iter().find(|engine| engine.id() == id);
                known.is_some_and(|engine| engine.born() == born)
            };
            for load in &record.recent {
                if !is_present_incarnation(&load.engine, load.born) {
                    store.record_restart(self.started_at, &load.engine);
                }
            }
            for load in &self.restored_loads {
                store.restore(self.started_at, &load.engine, &load.model);
                if !is_present_incarnation(&load.engine, load.born) {
                    store.record_restart(self.started_at, &load.engine);
                }
            }
            store
        });
        let store_obstacle = store.review_first_loads(now, &mut totals, &mut engines);
        let totals = &totals;
        let forecast = Forecast::new(spec, totals);
        let inputs = PlanInputs {
            now,
            spec,
            has_long_loads,
            totals,
            forecast: &forecast,
            store,
            store_obstacle,
        };
        let decisions = load_selection::set_goals(inputs, &mut engines);
        self.decisions.chosen.extend(decisions.chosen);
        self.decisions.deferred.extend(decisions.deferred);
        let reservations = engines.iter();
        let reservations = reservations.filter_map(|engine| engine.reservation(now, spec));
        self.decisions.reservations.extend(reservations);
        adapters::assign(spec, totals, &forecast, &mut engines);
        for engine in engines {
            if let Some(action) = engine.next_action(now, spec, totals, store) {
                actions.push(action);
            }
        }
    }

    /// Returns the loads from weight stores that have ended since the last call, by service.
    pub fn take_ended_loads(&mut self) -> Vec<(ServiceId, EndedLoad)> {
        let stores = self.stores.iter_mut();
        let ended = stores.flat_map(|(service, store)| {
            let loads = store.take_ended_loads().into_iter();
            loads.map(|load| (service.clone(), load))
        });
        ended.collect()
    }

    /// Loads that the last plan deferred, with the reasons.
    pub fn deferred_loads(&self) -> &[DeferredLoad] {
        &self.decisions.deferred
    }

    /// Loads that the last plan decided on.
    pub fn chosen_loads(&self) -> &[ChosenLoad] {
        &self.decisions.chosen
    }

    /// Memory that engines kept free for orders to previous processes in the last plan.
    pub fn reservations(&self) -> &[MemoryReservation] {
        &self.decisions.reservations
    }

    /// Applies the response of an engine to a poll; `None` if the engine did not respond.
    pub fn apply_report(&mut self, now: Timestamp, id: &BackEndId, report: Option<EngineReport>) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let start_time = report.as_ref().and_then(|report| report.born);
        let report = match engine.match_incarnation(now, start_time) {
            IncarnationMatch::Same => report,
            // The response came over a connection to a process that has exited.
            IncarnationMatch::Outdated => None,
            IncarnationMatch::Other => {
                let observed = engine.restarted_as(start_time);
                self.begin_incarnation(now, observed);
                report
            }
        };
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if let Some(store) = self.stores.get_mut(engine.service()) {
            store.apply_report(now, id, engine.model_being_loaded(), report.as_ref());
        }
        engine.apply_report(now, report);
    }

    /// Applies the result of an order.
    pub fn apply_order_result(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        order: &OrderKind,
        result: OrderResult,
    ) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let store = self.stores.get_mut(engine.service());
        if let (OrderKind::LoadModel(_), Some(store)) = (order, store) {
            store.apply_order_result(now, id, result);
        }
        engine.apply_order_result(now, order, result);
    }

    /// Records that an action could not be started.
    pub fn cancel_action(&mut self, now: Timestamp, id: &BackEndId) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if let Some(store) = self.stores.get_mut(engine.service()) {
            store.cancel_order(id);
        }
        engine.cancel_action(now);
    }

    /// The rows for gateways, one for each engine whose state differs from discovery.
    pub fn rows(&self, now: Timestamp, fence: u64) -> Vec<(BackEndId, PlacedRow)> {
        self.engines
            .iter()
            .filter_map(|(id, engine)| Some((id.clone(), engine.row(now, fence)?)))
            .collect()
    }
}
