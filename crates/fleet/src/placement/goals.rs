//! Chooses which models are wanted where.
//!
//! A load pays when the demand it serves is worth more than what has to leave
//! for it. The value of a model is its rate of requests; of one replica among
//! several, its share of that rate.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::ModelId;

use super::engine::EngineState;
use super::forecast::Forecast;
use super::totals::Totals;
use super::weight_store::WeightStore;
use crate::configuration::{Engine, ModelSpec};
use crate::demand::ModelDemand;

/// Worth of one waiting request of low rank, in requests a second.
const WAITING_WORTH: f64 = 0.3;
/// A running request makes a model this much dearer to lose.
const RUNNING_WORTH: f64 = 0.6;
/// A load must be worth this much more than what leaves for it.
const ADVANTAGE: f64 = 1.3;
/// Part of an engine's slots that one model's replica should fill at most.
const REPLICA_LOAD: f64 = 0.2;
/// A model with this many urgent requests a second ...
const SAFE_RATE: f64 = 0.8;
/// ... is kept at so many engines, so that the loss of one does not end service.
const SAFE_REPLICAS: usize = 2;
/// Worth of a further replica against its share of the rate, while those that are there
/// have room.
const REPLICA_WORTH: f64 = 0.5;
/// From this part of the slots in use on a further replica is worth more ...
const FILLING: f64 = 0.5;
/// ... and from this part on its whole share: requests are being turned away.
const FULL: f64 = 0.9;
/// As many replicas come at once as bring what runs down to this part of the slots.
const COMFORTABLE: f64 = 0.6;
/// Part of the requests for adapters that a load at their engine delays.
const BLOCKING_COST: f64 = 0.1;
/// A further replica is loaded when this part of the adapter places is in demand.
const ADAPTER_CROWD: f64 = 0.6;
/// Worth of the operator's first model while nobody asks for it, in requests a second.
const PRIOR_WORTH: f64 = 0.1;
/// A load from the weight store costs so much, in requests a second.
const STORE_LOAD_COST: f64 = 0.02;
/// Time over which what leaves is weighed against what comes: a load that ends
/// a part of it later is worth that part less.
const HORIZON: Duration = Duration::from_secs(10);
/// A load occupies its engine for so long at least, with what is around it.
const LEAST_LOAD: Duration = Duration::from_millis(700);
/// An unload of a model with runs waits for their ends, so long as a rule.
const RUNS_TIME: Duration = Duration::from_millis(2_500);
/// An unload of a model without runs is seen to be done after this time.
const UNLOAD_TIME: Duration = Duration::from_millis(300);

/// Replicas by model, counted once a plan.
struct Replicas(BTreeMap<ModelId, usize>);

impl Replicas {
    /// An engine that states a limit has a replica of a model only if no engine without one has,
    /// and if it takes all that is asked of such models of it. Otherwise requests for them would
    /// be turned away while other engines have room.
    fn count(totals: &Totals, engines: &[&mut EngineState]) -> Self {
        let mut replicas = Replicas(BTreeMap::new());
        let (limited, others): (Vec<_>, Vec<_>) =
            engines.iter().partition(|engine| engine.limit().is_some());
        for engine in others {
            kept(engine).for_each(|model| replicas.add(model));
        }
        let mut sufficient = Vec::new();
        for engine in limited {
            let alone = kept(engine).filter(|model| replicas.of(model) == 0);
            let alone: Vec<&ModelId> = alone.collect();
            let asked: f64 = alone.iter().map(|model| totals.rate(model)).sum();
            if engine.limit().is_some_and(|limit| asked <= limit) {
                sufficient.extend(alone);
            }
        }
        sufficient.into_iter().for_each(|model| replicas.add(model));
        replicas
    }

    fn add(&mut self, model: &ModelId) {
        *self.0.entry(model.clone()).or_default() += 1;
    }

    fn of(&self, model: &ModelId) -> usize {
        self.0.get(model).copied().unwrap_or(0)
    }
}

/// Models that an engine holds and goes on holding.
fn kept(engine: &EngineState) -> impl Iterator<Item = &ModelId> {
    let models = engine.holdings().keys();
    models.filter(|model| engine.keeps(model))
}

/// Why a model that is wanted is not loaded now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Obstacle {
    /// The weight store's rate is used up.
    Pace,
    /// As many loads are under way as the weight store makes at full speed.
    StoreCrowded,
    /// Engines ended under its loads, and none was done since.
    EndsEngines,
    /// No engine is free to take an order.
    NoFreeEngine,
    /// Engines with a copy are occupied, and will have the model sooner than the weight
    /// store would.
    CopyOccupied,
    /// More would leave than it is worth, in requests a second.
    TooDear {
        /// What would leave at the best engine.
        loss: f64,
    },
}

/// A model that is wanted and not loaded now.
#[derive(Clone, Debug, PartialEq)]
pub struct UnmetWish {
    /// The model.
    pub model: ModelId,
    /// Its worth in requests a second.
    pub worth: f64,
    /// Why it is not loaded.
    pub obstacle: Obstacle,
}

/// A model that should be loaded once more.
struct Wish {
    model: ModelId,
    worth: f64,
}

/// What goals are chosen by.
struct View<'a> {
    now: Timestamp,
    spec: &'a Engine,
    totals: &'a Totals,
    forecast: &'a Forecast,
    store: &'a WeightStore,
    replicas: Replicas,
}

/// Sets goals at engines that have none. Out: what cannot be had now.
pub fn choose(
    now: Timestamp,
    spec: &Engine,
    totals: &Totals,
    forecast: &Forecast,
    engines: &mut [&mut EngineState],
    store: &WeightStore,
) -> Vec<UnmetWish> {
    doubt_silent_engines(now, totals, engines);
    let view = View {
        now,
        spec,
        totals,
        forecast,
        store,
        replicas: Replicas::count(totals, engines),
    };
    let mut unmet = Vec::new();
    let mut from_store = view.may_use_store(engines);
    for wish in view.wishes(engines) {
        match view.place(engines, &wish, from_store) {
            // The new goal may be a load from the weight store.
            Ok(()) => from_store = view.may_use_store(engines),
            Err(obstacle) => unmet.push(UnmetWish {
                model: wish.model,
                worth: wish.worth,
                obstacle,
            }),
        }
    }
    unmet
}

/// A model that is waited for although engines hold it: do they still answer?
fn doubt_silent_engines(now: Timestamp, totals: &Totals, engines: &mut [&mut EngineState]) {
    for (model, demand) in totals.models() {
        if demand.waiting > 0 {
            engines
                .iter_mut()
                .for_each(|engine| engine.doubt(now, model));
        }
    }
}

impl View<'_> {
    /// Whether another load from the weight store may begin, beside the goals that will.
    fn may_use_store(&self, engines: &[&mut EngineState]) -> Result<(), Obstacle> {
        let reserved = engines.iter().filter(|engine| engine.will_use_store());
        let rate = self.spec.loads_per_second;
        self.store.allows(self.now, rate, reserved.count())
    }

    /// Models that should be loaded once more. An engine loads one at a time, so those
    /// come first that are worth most for each second of it.
    fn wishes(&self, engines: &[&mut EngineState]) -> Vec<Wish> {
        let known = |model: &ModelId| self.spec.models.contains_key(model);
        let mut wishes: Vec<Wish> = self
            .totals
            .models()
            .filter(|(model, _)| known(model))
            .filter_map(|(model, demand)| {
                let worth = self.worth(engines, model, demand)?;
                let model = model.clone();
                Some(Wish { model, worth })
            })
            .collect();
        wishes.extend(self.forecast_wish(engines));
        let density = |wish: &Wish| wish.worth / self.shortest_load(engines, &wish.model);
        let mut by_density: Vec<(f64, Wish)> = wishes
            .into_iter()
            .map(|wish| (density(&wish), wish))
            .collect();
        by_density.sort_by(|one, other| other.0.total_cmp(&one.0));
        by_density.into_iter().map(|(_, wish)| wish).collect()
    }

    /// Seconds that the shortest load of a model takes an engine that is free.
    fn shortest_load(&self, engines: &[&mut EngineState], model: &ModelId) -> f64 {
        let Some(spec) = self.spec.models.get(model) else {
            return LEAST_LOAD.as_secs_f64();
        };
        let free = engines.iter().filter(|engine| engine.is_free());
        let loads = free.map(|engine| engine.load_time(model, spec));
        let shortest = loads.min().unwrap_or(spec.load);
        shortest.max(LEAST_LOAD).as_secs_f64()
    }

    /// The model that is expected next, if nobody asks for it yet.
    fn forecast_wish(&self, engines: &[&mut EngineState]) -> Option<Wish> {
        let model = self.forecast.model()?;
        let is_here = self.replicas.of(model) + coming(self.now, engines, model) > 0;
        let is_asked_for = self.totals.models().any(|(asked, _)| asked == model);
        (!is_here && !is_asked_for).then(|| Wish {
            model: model.clone(),
            worth: self.forecast.worth(model),
        })
    }

    /// What another replica of a model is worth; none if it needs none.
    fn worth(
        &self,
        engines: &[&mut EngineState],
        model: &ModelId,
        demand: &ModelDemand,
    ) -> Option<f64> {
        let replicas = self.replicas.of(model);
        let coming = coming(self.now, engines, model);
        if coming > 0 && replicas + coming >= needed(self.spec, demand, replicas) {
            return None;
        }
        if replicas == 0 {
            let waiting = WAITING_WORTH * demand.waiting_weight;
            return Some(demand.rate + waiting + self.forecast.worth(model));
        }
        let wants_more = replicas < SAFE_REPLICAS && demand.urgent_rate > SAFE_RATE;
        let wants_more = wants_more || is_crowded(self.spec, demand, replicas);
        let share = demand.rate / (replicas + coming + 1) as f64;
        wants_more.then(|| part_of_share(self.spec, demand, replicas) * share)
    }

    /// Sets a goal for the wish at the engine where it costs least.
    fn place(
        &self,
        engines: &mut [&mut EngineState],
        wish: &Wish,
        from_store: Result<(), Obstacle>,
    ) -> Result<(), Obstacle> {
        let Some(wanted) = self.spec.models.get(&wish.model) else {
            return Ok(());
        };
        if self.store.puts_off(self.now, &wish.model) {
            return Err(Obstacle::EndsEngines);
        }
        let all_limited = engines.iter().all(|engine| engine.limit().is_some());
        let is_free = |engine: &EngineState| {
            let takes_more = all_limited || engine.limit().is_none();
            takes_more && engine.is_free() && !engine.keeps(&wish.model)
        };
        if !engines.iter().any(|engine| is_free(engine)) {
            return Err(Obstacle::NoFreeEngine);
        }
        let from_store = if self.copy_is_sooner(engines, &wish.model, wanted) {
            Err(Obstacle::CopyOccupied)
        } else {
            from_store
        };
        let (index, room) = (0..engines.len())
            .filter(|index| is_free(engines[*index]))
            .filter(|index| from_store.is_ok() || engines[*index].has_copy(&wish.model))
            .map(|index| (index, self.make_room(engines[index], wish, wanted)))
            .min_by(|one, other| one.1.cost(wish).total_cmp(&other.1.cost(wish)))
            .ok_or_else(|| from_store.err().unwrap_or(Obstacle::NoFreeEngine))?;
        if wish.worth <= room.loss * ADVANTAGE {
            return Err(Obstacle::TooDear { loss: room.loss });
        }
        for engine in engines.iter_mut() {
            engine.leave_to_another(self.now, &wish.model);
        }
        engines[index].aim(self.now, wish.model.clone(), room.delay, room.victims);
        Ok(())
    }

    /// Whether an engine with a copy of the model, once it is free, loads it no later
    /// than another one would from the weight store. Such a load also occupies its
    /// engine for a much shorter time.
    fn copy_is_sooner(
        &self,
        engines: &[&mut EngineState],
        model: &ModelId,
        spec: &ModelSpec,
    ) -> bool {
        let loaded_in = |engine: &&mut EngineState| {
            let may_load = engine.has_copy(model) && !engine.keeps(model);
            let free_in = engine.free_in(self.now).filter(|_| may_load)?;
            Some(free_in + engine.load_time(model, spec))
        };
        let soonest = engines.iter().filter_map(loaded_in).min();
        soonest.is_some_and(|soonest| soonest <= spec.load)
    }

    /// What would have to leave the engine for the wish.
    fn make_room(&self, engine: &EngineState, wish: &Wish, wanted: &ModelSpec) -> Room {
        let mut missing = wanted.memory_mb - engine.free_memory(self.spec);
        let mut costs: Vec<(f64, &ModelId)> = engine
            .holdings()
            .keys()
            .map(|model| (self.value(model), model))
            .collect();
        costs.sort_by(|one, other| one.0.total_cmp(&other.0));
        let load = engine.load_time(&wish.model, wanted);
        let mut room = Room {
            loss: self.cost_of_blocking(engine, load),
            delay: load,
            victims: Vec::new(),
        };
        if !engine.has_copy(&wish.model) {
            room.loss += STORE_LOAD_COST;
        }
        for (cost, model) in costs {
            if missing <= 0.0 {
                break;
            }
            missing -= self.memory(model);
            room.loss += cost;
            room.delay += self.unload_time(model);
            room.victims.push(model.clone());
        }
        if missing > 0.0 {
            room.loss = f64::INFINITY;
        }
        room
    }

    fn memory(&self, model: &ModelId) -> f64 {
        let known = self.spec.models.get(model);
        known.map_or(0.0, |known| known.memory_mb)
    }

    fn unload_time(&self, model: &ModelId) -> Duration {
        if self.totals.running(model) > 0 {
            RUNS_TIME
        } else {
            UNLOAD_TIME
        }
    }

    /// An engine that loads a model takes no adapters meanwhile.
    fn cost_of_blocking(&self, engine: &EngineState, load: Duration) -> f64 {
        let rate = |model: &ModelId| {
            self.totals.adapters_rate(model) / self.replicas.of(model).max(1) as f64
        };
        let adapter_rate: f64 = engine.holdings().keys().map(rate).sum();
        BLOCKING_COST * adapter_rate * load.as_secs_f64()
    }

    /// What one replica of a model is worth, in requests a second.
    fn value(&self, model: &ModelId) -> f64 {
        let shares = self.replicas.of(model).max(1) as f64;
        let running = RUNNING_WORTH * f64::from(self.totals.running(model));
        let waiting = WAITING_WORTH * self.totals.waiting(model);
        let asked = self.totals.absence_cost(model) + running + waiting;
        let lost = asked + self.forecast.worth(model);
        lost / shares + prior(self.spec, model)
    }
}

/// Whether a model's replicas run too much, or have too few places for its adapters.
fn is_crowded(spec: &Engine, demand: &ModelDemand, replicas: usize) -> bool {
    let running = f64::from(demand.running);
    let slots = f64::from(spec.slots) * replicas as f64;
    let places = (spec.adapter_slots * replicas) as f64;
    let adapters = demand.adapters.len() as f64;
    running > REPLICA_LOAD * slots || adapters > ADAPTER_CROWD * places
}

/// Replicas that would run what runs now without being full. A model that is nowhere is
/// loaded once: how much will run is not known.
fn needed(spec: &Engine, demand: &ModelDemand, replicas: usize) -> usize {
    if replicas == 0 {
        return 1;
    }
    let comfortable = f64::from(spec.slots) * COMFORTABLE;
    (f64::from(demand.running) / comfortable.max(1.0)).ceil() as usize
}

/// What a further replica is worth against its share of the rate.
fn part_of_share(spec: &Engine, demand: &ModelDemand, replicas: usize) -> f64 {
    let slots = f64::from(spec.slots) * replicas as f64;
    let filled = f64::from(demand.running) / slots.max(1.0);
    let urgency = ((filled - FILLING) / (FULL - FILLING)).clamp(0.0, 1.0);
    REPLICA_WORTH + (1.0 - REPLICA_WORTH) * urgency
}

/// Engines that will soon have the model. One where it is late does not count.
fn coming(now: Timestamp, engines: &[&mut EngineState], model: &ModelId) -> usize {
    let expects = |engine: &&&mut EngineState| engine.expects(now, model) && !engine.keeps(model);
    engines.iter().filter(expects).count()
}

/// What has to leave an engine, and what that costs in requests a second.
struct Room {
    loss: f64,
    delay: Duration,
    victims: Vec<ModelId>,
}

impl Room {
    /// What leaves, and what the wish loses until it is fulfilled here.
    fn cost(&self, wish: &Wish) -> f64 {
        self.loss + wish.worth * self.delay.as_secs_f64() / HORIZON.as_secs_f64()
    }
}

/// What a model without demand is worth: the operator's first models most. It
/// decides only between models that nobody asks for.
fn prior(spec: &Engine, model: &ModelId) -> f64 {
    let rank = spec
        .models
        .get(model)
        .map_or(spec.models.len(), |spec| spec.rank);
    PRIOR_WORTH / (rank + 1) as f64
}
