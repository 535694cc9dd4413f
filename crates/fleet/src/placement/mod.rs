//! Placement by the holder: which engine loads, unloads or keeps which model
//! and adapter.
//!
//! In: reports of engines, demand of all gateways, outcomes of orders, time.
//! Out: actions, at most one at a time for each engine.
//!
//! Invariant: an order is sized by holdings that are known for a sequence
//! number of the engine, and is sent on the condition of just that number. An
//! order that is carried out late, or another holder's, changes the number; so
//! memory and adapter places are never overcommitted, whatever was lost.

mod adapters;
mod engine;
mod forecast;
mod goal;
mod goals;
mod load_ends;
mod load_window;
mod pace;
mod totals;
mod weight_store;

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_coordination::Timestamp;
use gorsebank_world::{AdapterId, BackEndId, ModelId, ServiceId};

use crate::back_end::{BackEndReport, EngineReport, PlacedRow};
use crate::configuration::{Configuration, Engine};
use crate::demand::DemandRow;

use engine::EngineState;
use forecast::Forecast;
pub use goals::{Obstacle, UnmetWish};
pub use load_ends::EndedLoads;
pub use load_window::{FoundLimit, LoadWindow};
pub use pace::{LoadBound, LoadPace, RecentLoad};
use totals::Totals;
use weight_store::WeightStore;
pub use weight_store::{StoreRecord, StoreRecords};

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model.
    LoadModel(ModelId),
    /// Unload a model with its adapters.
    UnloadModel(ModelId),
    /// Load an adapter of a model that is there.
    LoadAdapter(ModelId, AdapterId),
    /// Unload an adapter.
    UnloadAdapter(ModelId, AdapterId),
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// It is under way.
    Accepted,
    /// It is in force already.
    InForce,
    /// Another order is under way, or the sequence number differs.
    Conflict,
    /// The engine has seen a higher fence.
    Fenced,
    /// It was refused for good.
    Refused,
    /// No answer: it may be carried out, even later.
    Unanswered,
    /// Nothing was sent.
    NotSent,
}

/// What to do at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActionKind {
    /// Ask what it holds.
    Report,
    /// Give an order, on the condition that it has taken `sequence` orders.
    Order {
        /// The order.
        order: OrderKind,
        /// Orders that the engine must have taken.
        sequence: u64,
    },
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// The engine.
    pub engine: BackEndId,
    /// What to do there.
    pub kind: ActionKind,
    /// Why, for the logs.
    pub reason: &'static str,
}

/// The holder's view and plans.
#[derive(Debug, Default)]
pub struct Planner {
    engines: BTreeMap<BackEndId, EngineState>,
    stores: BTreeMap<ServiceId, WeightStore>,
    bound: LoadBound,
    former: StoreRecords,
    inherited: Vec<BackEndId>,
    begun: Timestamp,
    unmet: Vec<UnmetWish>,
    /// Engines that were gone while they loaded this.
    gone_loading: BTreeMap<BackEndId, (ServiceId, ModelId)>,
}

impl Planner {
    /// A holder that begins at `now`. `former` is what those before it told of weight stores.
    pub fn new(now: Timestamp, bound: LoadBound, former: StoreRecords) -> Self {
        Planner {
            bound,
            former,
            begun: now,
            ..Planner::default()
        }
    }

    /// What this holder and those before it know of weight stores, for the next one.
    pub fn store_records(&self, now: Timestamp) -> StoreRecords {
        let stores = self.stores.iter();
        stores
            .map(|(service, store)| (service.clone(), store.record(now)))
            .collect()
    }

    /// Takes in the back ends that discovery shows. `ended` are those whose process ended
    /// while requests were there: the row of each stands for some heartbeats yet.
    pub fn observe(
        &mut self,
        now: Timestamp,
        reports: &[BackEndReport],
        ended: &BTreeSet<BackEndId>,
    ) {
        let lives = |id: &BackEndId| !ended.contains(id);
        let is_there = |id: &BackEndId| lives(id) && reports.iter().any(|it| it.id == *id);
        self.note_gone(now, |id| lives(id) && !is_there(id));
        self.note_back(is_there);
        self.engines.retain(|id, _| is_there(id));
        for store in self.stores.values_mut() {
            store.retain(|id| self.engines.contains_key(id));
        }
        for report in reports.iter().filter(|report| lives(&report.id)) {
            match self.engines.get_mut(&report.id) {
                Some(engine) => engine.observe(report),
                None => {
                    let engine = EngineState::new(now, report.clone());
                    self.engines.insert(report.id.clone(), engine);
                }
            }
        }
    }

    /// Engines are gone that no request ended: if one was loading, its load may have.
    fn note_gone(&mut self, now: Timestamp, is_gone: impl Fn(&BackEndId) -> bool) {
        for (id, engine) in self.engines.iter().filter(|(id, _)| is_gone(id)) {
            let Some(model) = engine.loading() else {
                continue;
            };
            if let Some(store) = self.stores.get_mut(engine.service()) {
                store.engine_ended(now, model);
                let gone = (engine.service().clone(), model.clone());
                self.gone_loading.insert(id.clone(), gone);
            }
        }
    }

    /// Rows lapse while the table is away, and engines that were gone are there again under
    /// the same name.
    fn note_back(&mut self, is_there: impl Fn(&BackEndId) -> bool) {
        self.gone_loading.retain(|id, (service, model)| {
            let is_back = is_there(id);
            if is_back && let Some(store) = self.stores.get_mut(service) {
                store.engine_is_back(model);
            }
            !is_back
        });
    }

    /// A former holder's row: the engine is asked before anything else is done there.
    pub fn inherit(&mut self, id: &BackEndId, row: &PlacedRow) {
        if row.loading.is_some() {
            self.inherited.push(id.clone());
        }
        if let Some(engine) = self.engines.get_mut(id) {
            engine.inherit(row);
        }
    }

    /// What to do now.
    pub fn plan(
        &mut self,
        now: Timestamp,
        configuration: &Configuration,
        rows: &[DemandRow],
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.unmet.clear();
        for (service, spec) in configuration.engine_services() {
            let totals = Totals::new(service, rows);
            self.plan_service(now, service, spec, &totals, &mut actions);
        }
        actions
    }

    fn plan_service(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        spec: &Engine,
        totals: &Totals,
        actions: &mut Vec<Action>,
    ) {
        let mut engines: Vec<&mut EngineState> = self
            .engines
            .values_mut()
            .filter(|engine| engine.serves(service))
            .collect();
        let store = self.stores.entry(service.clone()).or_insert_with(|| {
            let former = self.former.remove(service).unwrap_or_default();
            let mut store = WeightStore::new(self.begun, self.bound, &former);
            // An engine that is gone by now may have begun its load all the same.
            for engine in &self.inherited {
                store.inherit(self.begun, engine);
            }
            store
        });
        let forecast = Forecast::new(spec, totals);
        let unmet = goals::choose(now, spec, totals, &forecast, &mut engines, store);
        self.unmet.extend(unmet);
        adapters::assign(spec, totals, &forecast, &mut engines);
        for engine in engines {
            if let Some(action) = engine.next_action(now, spec, totals, store) {
                actions.push(action);
            }
        }
    }

    /// Models that the last plan could not load, and why.
    pub fn unmet_wishes(&self) -> &[UnmetWish] {
        &self.unmet
    }

    /// An engine answered the question for its state.
    pub fn reported(&mut self, now: Timestamp, id: &BackEndId, report: Option<EngineReport>) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if let Some(store) = self.stores.get_mut(engine.service()) {
            store.reported(now, id, engine.loading(), report.as_ref());
        }
        engine.reported(now, report);
    }

    /// An order had this result.
    pub fn ordered(
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
            store.ordered(now, id, result);
        }
        engine.ordered(now, order, result);
    }

    /// An action could not be begun.
    pub fn abandoned(&mut self, now: Timestamp, id: &BackEndId) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if let Some(store) = self.stores.get_mut(engine.service()) {
            store.unsent(id);
        }
        engine.abandoned(now);
    }

    /// The rows that gateways should know, for engines with anything to say.
    pub fn rows(&self, now: Timestamp, fence: u64) -> Vec<(BackEndId, PlacedRow)> {
        self.engines
            .iter()
            .filter_map(|(id, engine)| Some((id.clone(), engine.row(now, fence)?)))
            .collect()
    }
}
