//! Chooses the engines that load adapters.
//!
//! An adapter that requests wait for is assigned to the engine that holds its model and has the
//! fewest adapters. Free adapter slots are filled ahead of demand with adapters of models that have
//! a high request rate or are forecast to be requested.
//!
//! The input is the total demand, the demand forecast and the engine states. The output is the set
//! of wanted adapters of each engine state.

use gorsebank_world::{AdapterId, ModelId};

use super::engine::EngineState;
use super::forecast::Forecast;
use super::totals::DemandTotals;
use crate::configuration::Engine;

/// Minimum request rate of a model, in requests per second, for which adapters are loaded before a
/// request needs them.
const PREFETCH_RATE_PER_SECOND: f64 = 0.4;
/// Adapter slots of each engine that prefetching leaves free for adapters that requests wait for.
const RESERVED_ADAPTER_SLOTS: usize = 1;

/// Recomputes the wanted adapters of all engines: first the adapters that requests wait for, then
/// the adapters to prefetch.
pub fn assign(
    spec: &Engine,
    totals: &DemandTotals,
    forecast: &Forecast,
    engines: &mut [&mut EngineState],
) {
    for engine in engines.iter_mut() {
        engine.clear_wanted_adapters();
    }
    for (model, _) in totals.models() {
        let Some(missing) = totals.missing_adapters(model) else {
            continue;
        };
        for adapter in missing {
            assign_adapter(spec, engines, model, adapter, spec.adapter_slots);
        }
    }
    let busy = totals
        .models()
        .filter(|(_, demand)| demand.rate >= PREFETCH_RATE_PER_SECOND);
    let busy = busy.map(|(model, _)| model);
    for model in busy.chain(forecast.model()) {
        prefetch_adapters(spec, model, engines);
    }
}

/// Fills free adapter slots with adapters of a model before requests ask for them. Some slots stay
/// free for adapters that requests wait for.
fn prefetch_adapters(spec: &Engine, model: &ModelId, engines: &mut [&mut EngineState]) {
    let slot_limit = spec.adapter_slots.saturating_sub(RESERVED_ADAPTER_SLOTS);
    let known = spec.models.get(model);
    for adapter in known.iter().flat_map(|known| &known.adapters) {
        assign_adapter(spec, engines, model, adapter, slot_limit);
    }
}

fn assign_adapter(
    spec: &Engine,
    engines: &mut [&mut EngineState],
    model: &ModelId,
    adapter: &AdapterId,
    slot_limit: usize,
) {
    if !spec.models.contains_key(model) {
        return;
    }
    let candidates = engines.iter_mut().filter(|engine| engine.retains(model));
    let mut candidates: Vec<&mut &mut EngineState> = candidates.collect();
    // Most requests cannot reach an engine that states a rate limit, so an engine without a limit
    // is preferred.
    if candidates.iter().any(|engine| engine.limit().is_none()) {
        candidates.retain(|engine| engine.limit().is_none());
    }
    if candidates
        .iter()
        .any(|engine| engine.has_adapter(model, adapter))
    {
        return;
    }
    let least_loaded = candidates
        .iter_mut()
        .min_by_key(|engine| (!engine.is_free(), engine.adapter_count()));
    // An engine without a free slot evicts an adapter only for one that requests wait for.
    let may_evict = slot_limit == spec.adapter_slots;
    if let Some(engine) =
        least_loaded.filter(|engine| may_evict || engine.adapter_count() < slot_limit)
    {
        engine.add_wanted_adapter(model.clone(), adapter.clone());
    }
}
