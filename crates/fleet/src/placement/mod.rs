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
use crate::incarnation::{Born, Heard};

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
    /// The start of the engine's life that is meant; none if it does not tell it.
    pub born: Option<Born>,
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
    /// Loads under which engines were gone.
    gone_loading: BTreeMap<BackEndId, GoneLoad>,
}

/// A load under which an engine was gone.
#[derive(Clone, Debug)]
struct GoneLoad {
    service: ServiceId,
    model: ModelId,
    /// The start of the engine's life that was gone.
    born: Option<Born>,
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
        let born = |id: &BackEndId| self.engines.get(id).and_then(EngineState::born);
        let stores = self.stores.iter();
        stores
            .map(|(service, store)| (service.clone(), store.record(now, born)))
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
        let there = reports.iter().filter(|report| lives(&report.id));
        let there: BTreeMap<&BackEndId, &BackEndReport> =
            there.map(|report| (&report.id, report)).collect();
        let is_there = |id: &BackEndId| there.contains_key(id);
        self.note_gone(now, |id| lives(id) && !is_there(id));
        self.note_back(&there);
        self.engines.retain(|id, _| is_there(id));
        for store in self.stores.values_mut() {
            store.retain(|id| self.engines.contains_key(id));
        }
        for (id, report) in there {
            match self.engines.get_mut(id) {
                Some(engine) => {
                    if engine.observe(now, report) == Heard::Other {
                        self.begin_life(now, report.clone());
                    }
                }
                None => {
                    let engine = EngineState::new(now, report.clone());
                    self.engines.insert(id.clone(), engine);
                }
            }
        }
    }

    /// Engines that state limits, with the requests a second that each takes, and no others.
    pub fn set_limits(&mut self, limits: &BTreeMap<BackEndId, f64>) {
        for (id, engine) in &mut self.engines {
            engine.set_limit(limits.get(id).copied());
        }
    }

    /// An engine has started again under its name: it holds nothing that was ordered before,
    /// and a load that was under way there has ended with its process.
    fn begin_life(&mut self, now: Timestamp, report: BackEndReport) {
        let Some(engine) = self.engines.get_mut(&report.id) else {
            return;
        };
        if let Some(store) = self.stores.get_mut(engine.service()) {
            if let Some(model) = engine.loading() {
                store.engine_ended(now, model);
            }
            store.engine_restarted(now, &report.id);
        }
        engine.begin_life(now, report, self.begun + engine::ORDER_LIFETIME);
    }

    /// Whether this start is that of the engine's life that is planned for.
    pub fn plans_for(&self, id: &BackEndId, born: Option<Born>) -> bool {
        self.engines
            .get(id)
            .is_some_and(|engine| engine.may_be(born))
    }

    /// Engines are gone that no request ended: if one was loading, its load may have.
    fn note_gone(&mut self, now: Timestamp, is_gone: impl Fn(&BackEndId) -> bool) {
        for (id, engine) in self.engines.iter().filter(|(id, _)| is_gone(id)) {
            let Some(model) = engine.loading() else {
                continue;
            };
            if let Some(store) = self.stores.get_mut(engine.service()) {
                store.engine_ended(now, model);
                let gone = GoneLoad {
                    service: engine.service().clone(),
                    model: model.clone(),
                    born: engine.born(),
                };
                self.gone_loading.insert(id.clone(), gone);
            }
        }
    }

    /// Rows lapse while the table is away, and engines that were gone are there again. One that
    /// has started again had ended all the same.
    fn note_back(&mut self, there: &BTreeMap<&BackEndId, &BackEndReport>) {
        self.gone_loading.retain(|id, gone| {
            let Some(report) = there.get(id) else {
                return true;
            };
            if report.born == gone.born
                && let Some(store) = self.stores.get_mut(&gone.service)
            {
                store.engine_is_back(&gone.model);
            }
            false
        });
    }

    /// A former holder's row: the engine is asked before anything else is done there.
    pub fn inherit(&mut self, id: &BackEndId, row: &PlacedRow) {
        if row.loading.is_some() {
            self.inherited.push(id.clone());
        }
        if let Some(engine) = self.engines.get_mut(id) {
            engine.inherit(self.begun, row);
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
            // What is not known to be of an engine's present life may be of a former one.
            for load in &former.recent {
                let known = engines.iter().find(|engine| *engine.id() == load.engine);
                if known.is_some_and(|engine| engine.born() != load.born) {
                    store.engine_restarted(self.begun, &load.engine);
                }
            }
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
        let told = report.as_ref().and_then(|report| report.born);
        let report = match engine.hear(now, told) {
            Heard::Same => report,
            // The answer came by a connection to a process that is over.
            Heard::Outdated => None,
            Heard::Other => {
                let observed = engine.restarted_as(told);
                self.begin_life(now, observed);
                report
            }
        };
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
