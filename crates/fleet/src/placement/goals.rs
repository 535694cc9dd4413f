//! Chooses which models are wanted where.
//!
//! A load pays when the demand it serves is worth more than what has to leave
//! for it. The value of a model is its rate of requests; of one replica among
//! several, its share of that rate.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{AdapterId, ModelId};

use super::engine::EngineState;
use super::pace::LoadPace;
use super::totals::Totals;
use crate::configuration::{Engine, ModelSpec};
use crate::demand::ModelDemand;

/// Worth of one waiting request, in requests a second.
const WAITING_WORTH: f64 = 0.3;
/// A running request makes a model this much dearer to lose.
const RUNNING_WORTH: f64 = 0.25;
/// A load must be worth this much more than what leaves for it.
const ADVANTAGE: f64 = 1.3;
/// Part of an engine's slots that one model's replica should fill at most.
const REPLICA_LOAD: f64 = 0.12;
/// Worth of a further replica against its share of the rate.
const REPLICA_WORTH: f64 = 0.5;
/// A model with this many requests a second gets its adapters before they are asked for.
const PREFETCH_RATE: f64 = 0.4;
/// Adapter places of an engine that are not filled ahead of demand.
const PLACES_KEPT_BACK: usize = 1;
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
/// An unload of a model with runs waits for their ends, so long as a rule.
const RUNS_TIME: Duration = Duration::from_millis(2_500);
/// An unload of a model without runs is seen to be done after this time.
const UNLOAD_TIME: Duration = Duration::from_millis(300);

/// Replicas by model, counted once a plan.
struct Replicas(BTreeMap<ModelId, usize>);

impl Replicas {
    fn count(engines: &[&mut EngineState]) -> Self {
        let mut counts = BTreeMap::new();
        for engine in engines {
            for model in engine.holdings().keys().filter(|model| engine.keeps(model)) {
                *counts.entry(model.clone()).or_default() += 1;
            }
        }
        Replicas(counts)
    }

    fn of(&self, model: &ModelId) -> usize {
        self.0.get(model).copied().unwrap_or(0)
    }
}

/// Why a model that is wanted is not loaded now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Obstacle {
    /// The weight store's rate is used up.
    Pace,
    /// No engine is free to take an order.
    NoFreeEngine,
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

/// Sets goals at engines that have none. Out: what cannot be had now.
pub fn choose(
    now: Timestamp,
    spec: &Engine,
    totals: &Totals,
    engines: &mut [&mut EngineState],
    pace: &mut LoadPace,
) -> Vec<UnmetWish> {
    doubt_silent_engines(now, totals, engines);
    let replicas = Replicas::count(engines);
    let mut unmet = Vec::new();
    for wish in wishes(now, spec, totals, engines, &replicas) {
        let placed = if pace.allows(now, spec.loads_per_second) {
            place(now, spec, totals, engines, &replicas, &wish)
        } else {
            Err(Obstacle::Pace)
        };
        if let Err(obstacle) = placed {
            unmet.push(UnmetWish {
                model: wish.model,
                worth: wish.worth,
                obstacle,
            });
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

fn wishes(
    now: Timestamp,
    spec: &Engine,
    totals: &Totals,
    engines: &[&mut EngineState],
    replicas: &Replicas,
) -> Vec<Wish> {
    let mut wishes: Vec<Wish> = totals
        .models()
        .filter(|(model, _)| spec.models.contains_key(model))
        .filter_map(|(model, demand)| {
            let replicas = replicas.of(model);
            let coming = coming(now, engines, model);
            let worth = if replicas + coming == 0 {
                demand.rate + WAITING_WORTH * f64::from(demand.waiting)
            } else if coming == 0 && is_crowded(spec, demand, replicas) {
                REPLICA_WORTH * demand.rate / (replicas + 1) as f64
            } else {
                return None;
            };
            let model = model.clone();
            Some(Wish { model, worth })
        })
        .collect();
    wishes.sort_by(|one, other| other.worth.total_cmp(&one.worth));
    wishes
}

/// Whether a model's replicas run too much, or have too few places for its adapters.
fn is_crowded(spec: &Engine, demand: &ModelDemand, replicas: usize) -> bool {
    let running = f64::from(demand.running);
    let slots = f64::from(spec.slots) * replicas as f64;
    let places = (spec.adapter_slots * replicas) as f64;
    let adapters = demand.adapters.len() as f64;
    running > REPLICA_LOAD * slots || adapters > ADAPTER_CROWD * places
}

/// Engines that will soon have the model. One where it is late does not count.
fn coming(now: Timestamp, engines: &[&mut EngineState], model: &ModelId) -> usize {
    let expects = |engine: &&&mut EngineState| engine.expects(now, model) && !engine.keeps(model);
    engines.iter().filter(expects).count()
}

fn place(
    now: Timestamp,
    spec: &Engine,
    totals: &Totals,
    engines: &mut [&mut EngineState],
    replicas: &Replicas,
    wish: &Wish,
) -> Result<(), Obstacle> {
    let Some(wanted) = spec.models.get(&wish.model) else {
        return Ok(());
    };
    let (index, room) = (0..engines.len())
        .filter(|index| engines[*index].is_free() && !engines[*index].keeps(&wish.model))
        .map(|index| {
            let room = make_room(spec, totals, engines[index], replicas, wish, wanted);
            (index, room)
        })
        .min_by(|one, other| one.1.cost(wish).total_cmp(&other.1.cost(wish)))
        .ok_or(Obstacle::NoFreeEngine)?;
    if wish.worth <= room.loss * ADVANTAGE {
        return Err(Obstacle::TooDear { loss: room.loss });
    }
    engines
        .iter_mut()
        .for_each(|engine| engine.leave_to_another(now, &wish.model));
    engines[index].aim(now, wish.model.clone(), room.delay, room.victims);
    Ok(())
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

fn make_room(
    spec: &Engine,
    totals: &Totals,
    engine: &EngineState,
    replicas: &Replicas,
    wish: &Wish,
    wanted: &ModelSpec,
) -> Room {
    let mut missing = wanted.memory_mb - engine.free_memory(spec);
    let mut costs: Vec<(f64, f64, &ModelId)> = engine
        .holdings()
        .keys()
        .map(|model| {
            let memory = spec.models.get(model).map_or(0.0, |spec| spec.memory_mb);
            (value(spec, totals, replicas, model), memory, model)
        })
        .collect();
    costs.sort_by(|one, other| one.0.total_cmp(&other.0));
    let from_store = !engine.has_copy(&wish.model);
    let mut loss = if from_store { STORE_LOAD_COST } else { 0.0 };
    let load = engine.load_time(&wish.model, wanted);
    loss += cost_of_blocking(totals, engine, replicas, load);
    let mut victims = Vec::new();
    let mut delay = load;
    for (cost, memory, model) in costs {
        if missing <= 0.0 {
            break;
        }
        loss += cost;
        missing -= memory;
        delay += unload_time(totals, model);
        victims.push(model.clone());
    }
    if missing > 0.0 {
        loss = f64::INFINITY;
    }
    Room {
        loss,
        delay,
        victims,
    }
}

fn unload_time(totals: &Totals, model: &ModelId) -> Duration {
    if totals.running(model) > 0 {
        RUNS_TIME
    } else {
        UNLOAD_TIME
    }
}

/// An engine that loads a model takes no adapters meanwhile.
fn cost_of_blocking(
    totals: &Totals,
    engine: &EngineState,
    replicas: &Replicas,
    load: Duration,
) -> f64 {
    let adapter_rate: f64 = engine
        .holdings()
        .keys()
        .map(|model| totals.adapters_rate(model) / replicas.of(model).max(1) as f64)
        .sum();
    BLOCKING_COST * adapter_rate * load.as_secs_f64()
}

/// What one replica of a model is worth, in requests a second.
fn value(spec: &Engine, totals: &Totals, replicas: &Replicas, model: &ModelId) -> f64 {
    let shares = replicas.of(model).max(1) as f64;
    let running = RUNNING_WORTH * f64::from(totals.running(model));
    let waiting = WAITING_WORTH * f64::from(totals.waiting(model));
    (totals.absence_cost(model) + running + waiting) / shares + prior(spec, model)
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

/// Gives each adapter that requests wait for to the engine with most room.
pub fn assign_adapters(spec: &Engine, totals: &Totals, engines: &mut [&mut EngineState]) {
    for engine in engines.iter_mut() {
        engine.clear_adapters();
    }
    for (model, _) in totals.models() {
        let Some(missing) = totals.missing_adapters(model) else {
            continue;
        };
        for adapter in missing {
            assign_adapter(spec, engines, model, adapter, spec.adapter_slots);
        }
    }
    prefetch_adapters(spec, totals, engines);
}

/// Fills free places with adapters of models in demand, before they are asked
/// for. Places are kept back for those that are asked for.
fn prefetch_adapters(spec: &Engine, totals: &Totals, engines: &mut [&mut EngineState]) {
    let places = spec.adapter_slots.saturating_sub(PLACES_KEPT_BACK);
    for (model, demand) in totals.models() {
        let Some(known) = spec.models.get(model) else {
            continue;
        };
        if demand.rate < PREFETCH_RATE {
            continue;
        }
        for adapter in &known.adapters {
            assign_adapter(spec, engines, model, adapter, places);
        }
    }
}

fn assign_adapter(
    spec: &Engine,
    engines: &mut [&mut EngineState],
    model: &ModelId,
    adapter: &AdapterId,
    places: usize,
) {
    if !spec.models.contains_key(model) {
        return;
    }
    let holders = engines.iter_mut().filter(|engine| engine.keeps(model));
    let mut holders: Vec<&mut &mut EngineState> = holders.collect();
    if holders
        .iter()
        .any(|engine| engine.has_adapter(model, adapter))
    {
        return;
    }
    let roomiest = holders
        .iter_mut()
        .min_by_key(|engine| (!engine.is_free(), engine.adapter_count()));
    // A full engine makes room only for an adapter that is asked for.
    let may_evict = places == spec.adapter_slots;
    if let Some(engine) = roomiest.filter(|engine| may_evict || engine.adapter_count() < places) {
        engine.want_adapter(model.clone(), adapter.clone());
    }
}
