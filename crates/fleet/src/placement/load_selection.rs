//! Chooses the models to load and the engines that load them.
//!
//! A load is worthwhile when the demand that it serves has a higher value than the models that are
//! evicted for it. The value of a model is its request rate; the value of one of several replicas
//! is its share of that rate.
//!
//! The input is the total demand, the demand forecast, the engine states and the limits of the
//! weight store. The output is goals for engines that have none, and the loads that are
//! chosen or deferred.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{BackEndId, ModelId, SoftwareVersion};

use super::engine::EngineState;
use super::forecast::Forecast;
use super::replica_need::{ReplicaNeed, WAITING_REQUEST_VALUE};
use super::totals::DemandTotals;
use super::weight_store::WeightStore;
use crate::configuration::{Engine, ModelSpec};
use crate::demand::ModelDemand;

/// Value that one running request adds to a loaded model, in requests per second.
const RUNNING_REQUEST_VALUE: f64 = 0.6;
/// Minimum ratio between the value of a load and its cost, most of which is the value of the
/// evicted models.
const MIN_VALUE_RATIO: f64 = 1.3;
/// Fraction of the requests for adapters on an engine that a model load on the engine delays.
const DELAYED_ADAPTER_FRACTION: f64 = 0.1;
/// Value of the first model in the operator's list while it has no requests, in requests per
/// second.
const FIRST_RANK_VALUE: f64 = 0.1;
/// Cost of a load from the weight store, in requests per second.
const STORE_LOAD_COST: f64 = 0.02;
/// Period over which evicted and loaded models are compared. A load that completes later by a
/// fraction of this period loses that fraction of its value.
const VALUE_HORIZON: Duration = Duration::from_secs(10);
/// Minimum time for which a load is assumed to occupy its engine, including the time before and
/// after the load itself.
const MIN_LOAD_DURATION: Duration = Duration::from_millis(700);
/// Typical duration of an unload that has to wait for the running requests of the model.
const BUSY_UNLOAD_DURATION: Duration = Duration::from_millis(2_500);
/// Time after which an unload of a model without running requests is known to be complete.
const IDLE_UNLOAD_DURATION: Duration = Duration::from_millis(300);

/// Number of replicas by model, counted once per plan.
struct Replicas(BTreeMap<ModelId, usize>);

impl Replicas {
    /// Counts replicas. An engine that states a rate limit counts as a replica of a model only if
    /// no engine without a limit holds the model, and if the limit covers the whole demand for such
    /// models on the engine. Otherwise requests for these models would be rejected while other
    /// engines have free capacity.
    fn count(totals: &DemandTotals, engines: &[&mut EngineState]) -> Self {
        let mut replicas = Replicas(BTreeMap::new());
        let (limited, others): (Vec<_>, Vec<_>) =
            engines.iter().partition(|engine| engine.limit().is_some());
        for engine in others {
            retained_models(engine).for_each(|model| replicas.add(model));
        }
        let mut covered = Vec::new();
        for engine in limited {
            let exclusive = retained_models(engine).filter(|model| replicas.count_of(model) == 0);
            let exclusive: Vec<&ModelId> = exclusive.collect();
            let requested_rate: f64 = exclusive.iter().map(|model| totals.rate(model)).sum();
            if engine.limit().is_some_and(|limit| requested_rate <= limit) {
                covered.extend(exclusive);
            }
        }
        covered.into_iter().for_each(|model| replicas.add(model));
        replicas
    }

    fn add(&mut self, model: &ModelId) {
        *self.0.entry(model.clone()).or_default() += 1;
    }

    fn count_of(&self, model: &ModelId) -> usize {
        self.0.get(model).copied().unwrap_or(0)
    }
}

/// Models that an engine holds and is not unloading.
fn retained_models(engine: &EngineState) -> impl Iterator<Item = &ModelId> {
    let models = engine.holdings().keys();
    models.filter(|model| engine.retains(model))
}

/// The reason why a load is deferred.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Obstacle {
    /// The rate limit of the weight store is used up.
    Pace,
    /// The weight store is already performing as many loads as it can at full speed.
    StoreCrowded {
        /// Number of loads that count as in progress.
        loads: usize,
        /// Number of those that a previous holder ordered and no report has shown yet.
        unconfirmed: usize,
        /// Number of loads that the weight store performs at full speed.
        max_loads: usize,
    },
    /// The models in most demand are not known yet, and an engine lacks all models.
    DemandUnknown {
        /// Number of recent requests for any model of the service.
        observed_requests: u64,
        /// Number of engines that are thought to hold models in demand and have not responded yet.
        unverified_engines: usize,
    },
    /// Engines exited during loads of the model, and no load of it has completed since.
    EndsEngines,
    /// No engine is free to accept an order.
    NoFreeEngine,
    /// Engines with a local copy are occupied, but will complete the load sooner than a load from
    /// the weight store would.
    CopyOccupied,
    /// The cost of the load on the best engine is too high. `loss` is that cost, in requests per
    /// second.
    TooDear { loss: f64 },
    /// No free engine has enough memory, whatever it evicts.
    NoMemory {
        /// Milliseconds until the first of these engines no longer reserves memory for orders to
        /// its previous processes; `None` if none does.
        reserved_for_ms: Option<u64>,
    },
}

/// Memory of an engine that is kept free for orders to its previous processes.
#[derive(Clone, Debug, PartialEq)]
pub struct MemoryReservation {
    /// The engine.
    pub engine: BackEndId,
    /// Reserved memory in megabytes.
    pub memory_mb: f64,
    /// Time until the last of these orders has expired, in milliseconds.
    pub for_ms: u64,
    /// Whether orders are assumed that no row lists.
    pub has_unlisted_orders: bool,
}

/// A load that would be useful and is not ordered now.
#[derive(Clone, Debug, PartialEq)]
pub struct DeferredLoad {
    /// The model to load.
    pub model: ModelId,
    /// Value of the load, in requests per second.
    pub value: f64,
    /// The reason why the load is not ordered.
    pub obstacle: Obstacle,
}

/// A load that was decided on.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenLoad {
    /// The model to load.
    pub model: ModelId,
    /// The engine that loads it.
    pub engine: BackEndId,
    /// Value of the load, in requests per second.
    pub value: f64,
    /// Cost of the load, in requests per second.
    pub loss: f64,
    /// Whether the weights come from the weight store.
    pub is_from_store: bool,
    /// Number of recent requests for any model of the service that the holder knew of.
    pub observed_requests: f64,
    /// Number of engines that counted as holding models and had not responded to this holder.
    pub unverified_engines: usize,
}

/// The loads that a plan decided on, and those that it deferred.
#[derive(Debug, Default)]
pub struct LoadDecisions {
    /// Loads that became goals of engines.
    pub chosen: Vec<ChosenLoad>,
    /// Loads that would be useful and that no engine got as a goal.
    pub deferred: Vec<DeferredLoad>,
    /// Memory that engines keep free for orders to previous processes.
    pub reservations: Vec<MemoryReservation>,
}

/// A model that another engine should load.
struct LoadCandidate {
    model: ModelId,
    value: f64,
    /// The only software version whose engines may load it; `None` for any.
    version: Option<SoftwareVersion>,
}

impl LoadCandidate {
    fn may_load_at(&self, engine: &EngineState) -> bool {
        let version = self.version.as_ref();
        version.is_none_or(|version| version == engine.software_version())
    }
}

/// The inputs of a plan for one service, besides its engines.
pub struct PlanInputs<'a> {
    pub now: Timestamp,
    pub spec: &'a Engine,
    /// Whether loads from the weight store outlast the callers of the service.
    pub has_long_loads: bool,
    pub totals: &'a DemandTotals,
    pub forecast: &'a Forecast,
    pub store: &'a WeightStore,
    /// What keeps all loads from the weight store from being chosen.
    pub store_obstacle: Option<Obstacle>,
}

/// The inputs of a plan with what is computed from them once.
struct PlanContext<'a> {
    now: Timestamp,
    spec: &'a Engine,
    has_long_loads: bool,
    totals: &'a DemandTotals,
    forecast: &'a Forecast,
    store: &'a WeightStore,
    store_obstacle: Option<Obstacle>,
    replicas: Replicas,
}

/// Sets goals on engines that have none. Returns the loads that became goals, and those that were
/// deferred.
pub fn set_goals(inputs: PlanInputs<'_>, engines: &mut [&mut EngineState]) -> LoadDecisions {
    poll_silent_engines(inputs.now, inputs.totals, engines);
    let context = PlanContext {
        replicas: Replicas::count(inputs.totals, engines),
        now: inputs.now,
        spec: inputs.spec,
        has_long_loads: inputs.has_long_loads,
        totals: inputs.totals,
        forecast: inputs.forecast,
        store: inputs.store,
        store_obstacle: inputs.store_obstacle,
    };
    let mut decisions = LoadDecisions::default();
    let mut store_check = context.check_store_limits(engines);
    for candidate in context.candidates(engines) {
        match context.assign_goal(engines, &candidate, store_check) {
            Ok(chosen) => {
                decisions.chosen.extend(chosen);
                // The new goal may be a load from the weight store.
                store_check = context.check_store_limits(engines);
            }
            Err(obstacle) => decisions.deferred.push(DeferredLoad {
                model: candidate.model,
                value: candidate.value,
                obstacle,
            }),
        }
    }
    decisions
}

/// Schedules polls of engines that hold a model for which requests are waiting, to find out whether
/// the engines still respond.
fn poll_silent_engines(now: Timestamp, totals: &DemandTotals, engines: &mut [&mut EngineState]) {
    for (model, demand) in totals.models() {
        if demand.waiting > 0 {
            engines
                .iter_mut()
                .for_each(|engine| engine.poll_if_silent(now, model));
        }
    }
}

impl PlanContext<'_> {
    /// Checks whether the limits of the weight store admit another load besides the goals that will
    /// load from it.
    fn check_store_limits(&self, engines: &[&mut EngineState]) -> Result<(), Obstacle> {
        if let Some(obstacle) = self.store_obstacle {
            return Err(obstacle);
        }
        let reserved = engines
            .iter()
            .filter(|engine| engine.will_load_from_store());
        let rate = self.spec.loads_per_second;
        self.store.check_limits(self.now, rate, reserved.count())
    }

    /// Models that should be loaded on another engine, ordered by value per second of load time
    /// because an engine loads only one model at a time.
    fn candidates(&self, engines: &[&mut EngineState]) -> Vec<LoadCandidate> {
        let known = |model: &ModelId| self.spec.models.contains_key(model);
        let mut candidates: Vec<LoadCandidate> = self
            .totals
            .models()
            .filter(|(model, _)| known(model))
            .filter_map(|(model, demand)| {
                let value = self.load_value(engines, model, demand)?;
                Some(LoadCandidate {
                    model: model.clone(),
                    value,
                    version: None,
                })
            })
            .collect();
        candidates.extend(self.forecast_candidate(engines));
        candidates.extend(self.version_candidates(engines));
        let value_per_second = |candidate: &LoadCandidate| {
            candidate.value / self.shortest_load(engines, &candidate.model)
        };
        let mut ranked: Vec<(f64, LoadCandidate)> = candidates
            .into_iter()
            .map(|candidate| (value_per_second(&candidate), candidate))
            .collect();
        ranked.sort_by(|one, other| other.0.total_cmp(&one.0));
        ranked.into_iter().map(|(_, candidate)| candidate).collect()
    }

    /// Duration of the shortest load of a model among the free engines that do not hold it, in seconds.
    fn shortest_load(&self, engines: &[&mut EngineState], model: &ModelId) -> f64 {
        let Some(spec) = self.spec.models.get(model) else {
            return MIN_LOAD_DURATION.as_secs_f64();
        };
        let free = engines
            .iter()
            .filter(|engine| engine.is_free() && !engine.retains(model));
        let loads = free.map(|engine| engine.load_time(model, spec));
        let shortest = loads.min().unwrap_or(spec.load);
        shortest.max(MIN_LOAD_DURATION).as_secs_f64()
    }

    /// The forecast model, if it has no requests yet and is neither loaded nor expected on any
    /// engine.
    fn forecast_candidate(&self, engines: &[&mut EngineState]) -> Option<LoadCandidate> {
        let model = self.forecast.model()?;
        let is_provided =
            self.replicas.count_of(model) + expected_replicas(self.now, engines, model) > 0;
        let has_demand = self
            .totals
            .models()
            .any(|(requested, _)| requested == model);
        (!is_provided && !has_demand).then(|| LoadCandidate {
            model: model.clone(),
            value: self.forecast.value(model),
            version: None,
        })
    }

    /// Models that streams need at a software version of which no engine holds or expects them.
    fn version_candidates(&self, engines: &[&mut EngineState]) -> Vec<LoadCandidate> {
        let is_provided = |model: &ModelId, version: &SoftwareVersion| {
            let mut same = engines.iter().filter(|it| it.software_version() == version);
            same.any(|engine| engine.retains(model) || engine.expects(self.now, model))
        };
        let needed = self.totals.models().flat_map(|(model, demand)| {
            let versions = demand.missing_versions.iter();
            versions.map(move |version| (model, demand, version))
        });
        needed
            .filter(|(model, _, version)| !is_provided(model, version))
            .map(|(model, demand, version)| LoadCandidate {
                model: model.clone(),
                value: WAITING_REQUEST_VALUE * demand.waiting_weight.max(1.0),
                version: Some(version.clone()),
            })
            .collect()
    }

    /// Value of an additional replica of a model; `None` if no further replica is needed.
    fn load_value(
        &self,
        engines: &[&mut EngineState],
        model: &ModelId,
        demand: &ModelDemand,
    ) -> Option<f64> {
        let replicas = self.replicas.count_of(model);
        let expected_replicas = expected_replicas(self.now, engines, model);
        let need = ReplicaNeed::new(
            self.spec,
            self.has_long_loads,
            demand,
            replicas,
            expected_replicas,
        );
        if need.is_met() {
            return None;
        }
        if replicas == 0 {
            let waiting = WAITING_REQUEST_VALUE * demand.waiting_weight;
            return Some(demand.rate + waiting + self.forecast.value(model));
        }
        need.additional_replica_value()
    }

    /// Sets a goal for the candidate on the engine with the lowest cost.
    fn assign_goal(
        &self,
        engines: &mut [&mut EngineState],
        candidate: &LoadCandidate,
        store_check: Result<(), Obstacle>,
    ) -> Result<Option<ChosenLoad>, Obstacle> {
        let Some(model_spec) = self.spec.models.get(&candidate.model) else {
            return Ok(None);
        };
        if self.store.is_deferred(self.now, &candidate.model) {
            return Err(Obstacle::EndsEngines);
        }
        let all_limited = engines.iter().all(|engine| engine.limit().is_some());
        let is_free = |engine: &EngineState| {
            let takes_more = all_limited || engine.limit().is_none();
            let is_eligible = candidate.may_load_at(engine) && !engine.retains(&candidate.model);
            takes_more && engine.is_free() && is_eligible
        };
        if !engines.iter().any(|engine| is_free(engine)) {
            return Err(Obstacle::NoFreeEngine);
        }
        let store_check = if self.copy_is_sooner(engines, &candidate.model, model_spec) {
            Err(Obstacle::CopyOccupied)
        } else {
            store_check
        };
        let (index, evictions) = (0..engines.len())
            .filter(|index| is_free(engines[*index]))
            .filter(|index| store_check.is_ok() || engines[*index].has_local_copy(&candidate.model))
            .map(|index| {
                (
                    index,
                    self.plan_evictions(engines[index], candidate, model_spec),
                )
            })
            .min_by(|one, other| one.1.cost(candidate).total_cmp(&other.1.cost(candidate)))
            .ok_or_else(|| store_check.err().unwrap_or(Obstacle::NoFreeEngine))?;
        if evictions.loss.is_infinite() {
            let free = engines.iter().filter(|engine| is_free(engine));
            let reserved = free.filter_map(|engine| engine.reservation(self.now, self.spec));
            return Err(Obstacle::NoMemory {
                reserved_for_ms: reserved.map(|reservation| reservation.for_ms).min(),
            });
        }
        if candidate.value <= evictions.loss * MIN_VALUE_RATIO {
            return Err(Obstacle::TooDear {
                loss: evictions.loss,
            });
        }
        for engine in engines.iter_mut() {
            engine.drop_late_goal(self.now, &candidate.model);
        }
        let chosen = ChosenLoad {
            model: candidate.model.clone(),
            engine: engines[index].id().clone(),
            value: candidate.value,
            loss: evictions.loss,
            is_from_store: !engines[index].has_local_copy(&candidate.model),
            observed_requests: self.totals.observed_requests(),
            unverified_engines: engines.iter().filter(|it| it.is_unverified()).count(),
        };
        engines[index].set_goal(
            self.now,
            candidate.model.clone(),
            evictions.delay,
            evictions.victims,
        );
        Ok(Some(chosen))
    }

    /// Whether an engine with a local copy, once it is free, completes a load of the model no later
    /// than another engine would from the weight store. Such a load also occupies its engine for a
    /// much shorter time.
    fn copy_is_sooner(
        &self,
        engines: &[&mut EngineState],
        model: &ModelId,
        spec: &ModelSpec,
    ) -> bool {
        let loaded_in = |engine: &&mut EngineState| {
            let may_load = engine.has_local_copy(model) && !engine.retains(model);
            let time_until_free = engine.time_until_free(self.now).filter(|_| may_load)?;
            Some(time_until_free + engine.load_time(model, spec))
        };
        let soonest = engines.iter().filter_map(loaded_in).min();
        soonest.is_some_and(|soonest| soonest <= spec.load)
    }

    /// Chooses the models that the engine would have to evict for the candidate.
    fn plan_evictions(
        &self,
        engine: &EngineState,
        candidate: &LoadCandidate,
        model_spec: &ModelSpec,
    ) -> EvictionPlan {
        let free_mb = engine.free_memory(self.spec, Some(&candidate.model));
        let mut missing_mb = model_spec.memory_mb - free_mb;
        let mut costs: Vec<(f64, &ModelId)> = engine
            .holdings()
            .keys()
            .filter(|model| !engine.may_be_loaded_again(model))
            .map(|model| (self.replica_value(model), model))
            .collect();
        costs.sort_by(|one, other| one.0.total_cmp(&other.0));
        let load = engine.load_time(&candidate.model, model_spec);
        let mut evictions = EvictionPlan {
            loss: self.adapter_delay_cost(engine, load),
            delay: load,
            victims: Vec::new(),
        };
        if !engine.has_local_copy(&candidate.model) {
            evictions.loss += STORE_LOAD_COST;
        }
        for (cost, model) in costs {
            if missing_mb <= 0.0 {
                break;
            }
            missing_mb -= self.memory_mb(model);
            evictions.loss += cost;
            evictions.delay += self.unload_time(model);
            evictions.victims.push(model.clone());
        }
        if missing_mb > 0.0 {
            evictions.loss = f64::INFINITY;
        }
        evictions
    }

    fn memory_mb(&self, model: &ModelId) -> f64 {
        let known = self.spec.models.get(model);
        known.map_or(0.0, |known| known.memory_mb)
    }

    fn unload_time(&self, model: &ModelId) -> Duration {
        if self.totals.running(model) > 0 {
            BUSY_UNLOAD_DURATION
        } else {
            IDLE_UNLOAD_DURATION
        }
    }

    /// Cost of the adapter loads that a model load delays: while an engine loads a model, it
    /// accepts no adapters.
    fn adapter_delay_cost(&self, engine: &EngineState, load: Duration) -> f64 {
        let rate = |model: &ModelId| {
            self.totals.adapters_rate(model) / self.replicas.count_of(model).max(1) as f64
        };
        let adapter_rate: f64 = engine.holdings().keys().map(rate).sum();
        DELAYED_ADAPTER_FRACTION * adapter_rate * load.as_secs_f64()
    }

    /// Value of one replica of a model, in requests per second.
    fn replica_value(&self, model: &ModelId) -> f64 {
        let shares = self.replicas.count_of(model).max(1) as f64;
        let running = RUNNING_REQUEST_VALUE * f64::from(self.totals.running(model));
        let waiting = WAITING_REQUEST_VALUE * self.totals.waiting(model);
        let demand_value = self.totals.absence_cost(model) + running + waiting;
        let lost = demand_value + self.forecast.value(model);
        lost / shares + rank_value(self.spec, model)
    }
}

/// Number of engines that are expected to have the model soon. An engine with a late goal does not
/// count.
fn expected_replicas(now: Timestamp, engines: &[&mut EngineState], model: &ModelId) -> usize {
    let expects = |engine: &&&mut EngineState| engine.expects(now, model) && !engine.retains(model);
    engines.iter().filter(expects).count()
}

/// Models that an engine would have to evict for a load, with the cost of the load in requests per
/// second and the delay until the load is complete.
struct EvictionPlan {
    loss: f64,
    delay: Duration,
    victims: Vec<ModelId>,
}

impl EvictionPlan {
    /// Cost of the load on this engine plus the value that the candidate loses until the load is
    /// complete.
    fn cost(&self, candidate: &LoadCandidate) -> f64 {
        self.loss + candidate.value * self.delay.as_secs_f64() / VALUE_HORIZON.as_secs_f64()
    }
}

/// Value of a model without demand by its position in the operator's list. This value matters only
/// between models without requests.
fn rank_value(spec: &Engine, model: &ModelId) -> f64 {
    let rank = spec
        .models
        .get(model)
        .map_or(spec.models.len(), |spec| spec.rank);
    FIRST_RANK_VALUE / (rank + 1) as f64
}
