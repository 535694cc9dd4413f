//! Which model will be asked for next.
//!
//! Demand moves on through the operator's list: models at its head fall silent,
//! and those behind the busiest rise. A load lasts longer than urgent requests
//! can wait, so the model behind the last busy one is loaded before anybody asks
//! for it. Where a list says nothing of the kind, that costs the room of one model.

use gorsebank_world::ModelId;

use super::totals::Totals;
use crate::configuration::Engine;

/// A model with this part of the highest rate of urgent requests is busy.
const BUSY_PART: f64 = 0.25;
/// Below this rate of urgent requests nothing is forecast, in requests a second.
const LEAST_RATE: f64 = 0.5;
/// Worth of the forecast model against the mean rate of the busy ones.
const FORECAST_WORTH: f64 = 0.25;

/// A model that is expected to be asked for soon.
#[derive(Debug, Default)]
pub struct Forecast {
    next: Option<(ModelId, f64)>,
}

impl Forecast {
    /// What the present demand lets expect.
    pub fn new(spec: &Engine, totals: &Totals) -> Self {
        Forecast {
            next: next_model(spec, totals),
        }
    }

    /// What the model is worth ahead of demand, in requests a second.
    pub fn worth(&self, model: &ModelId) -> f64 {
        match &self.next {
            Some((next, worth)) if next == model => *worth,
            _ => 0.0,
        }
    }

    /// The model that is expected, if there is one.
    pub fn model(&self) -> Option<&ModelId> {
        self.next.as_ref().map(|(model, _)| model)
    }
}

fn next_model(spec: &Engine, totals: &Totals) -> Option<(ModelId, f64)> {
    let urgent: Vec<(usize, f64)> = totals
        .models()
        .filter_map(|(model, demand)| Some((spec.models.get(model)?.rank, demand.urgent_rate)))
        .collect();
    let highest = urgent.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
    if highest < LEAST_RATE {
        return None;
    }
    let is_busy = |(_, rate): &&(usize, f64)| *rate >= BUSY_PART * highest;
    let busy: Vec<&(usize, f64)> = urgent.iter().filter(is_busy).collect();
    let last = busy.iter().map(|(rank, _)| *rank).max()?;
    let mean = busy.iter().map(|(_, rate)| rate).sum::<f64>() / busy.len() as f64;
    let (model, _) = spec
        .models
        .iter()
        .find(|(_, model)| model.rank == last + 1)?;
    Some((model.clone(), FORECAST_WORTH * mean))
}
