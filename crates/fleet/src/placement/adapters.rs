//! Chooses which adapters are wanted where.
//!
//! An adapter that requests wait for is wanted where its model has most room.
//! Places that are free are filled ahead of demand with adapters of models that
//! are asked for often.

use gorsebank_world::{AdapterId, ModelId};

use super::engine::EngineState;
use super::forecast::Forecast;
use super::totals::Totals;
use crate::configuration::Engine;

/// A model with this many requests a second gets its adapters before they are asked for.
const PREFETCH_RATE: f64 = 0.4;
/// Adapter places of an engine that are not filled ahead of demand.
const PLACES_KEPT_BACK: usize = 1;

/// Gives each adapter that requests wait for to the engine with most room.
pub fn assign(
    spec: &Engine,
    totals: &Totals,
    forecast: &Forecast,
    engines: &mut [&mut EngineState],
) {
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
    let busy = totals
        .models()
        .filter(|(_, demand)| demand.rate >= PREFETCH_RATE);
    let busy = busy.map(|(model, _)| model);
    for model in busy.chain(forecast.model()) {
        prefetch_adapters(spec, model, engines);
    }
}

/// Fills free places with adapters of a model in demand, before they are asked
/// for. Places are kept back for those that are asked for.
fn prefetch_adapters(spec: &Engine, model: &ModelId, engines: &mut [&mut EngineState]) {
    let places = spec.adapter_slots.saturating_sub(PLACES_KEPT_BACK);
    let known = spec.models.get(model);
    for adapter in known.iter().flat_map(|known| &known.adapters) {
        assign_adapter(spec, engines, model, adapter, places);
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
    // An adapter at an engine that states a limit is out of reach for most requests.
    if holders.iter().any(|engine| engine.limit().is_none()) {
        holders.retain(|engine| engine.limit().is_none());
    }
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
