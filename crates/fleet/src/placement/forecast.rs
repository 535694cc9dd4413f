//! Forecasts the model that will be requested next.
//!
//! Demand moves through the operator's list of models: models at its head lose their requests, and
//! models behind the busiest ones gain them. A load takes longer than urgent requests can wait, so
//! the model after the last busy one is loaded before it is requested. Where demand does not follow
//! the list, the forecast only costs the memory of one model.
//!
//! The input is the list of models and the total demand. The output is at most one model with its
//! value.

use gorsebank_world::ModelId;

use super::totals::DemandTotals;
use crate::configuration::Engine;

/// A model is busy if its rate of urgent requests is at least this fraction of the highest one.
const BUSY_FRACTION: f64 = 0.25;
/// Minimum rate of urgent requests at which a model is forecast, in requests per second.
const MIN_URGENT_RATE_PER_SECOND: f64 = 0.5;
/// Value of the forecast model as a fraction of the mean urgent request rate of the busy models.
const FORECAST_VALUE_FRACTION: f64 = 0.25;

/// The model that is expected to be requested soon.
#[derive(Debug, Default)]
pub struct Forecast {
    next: Option<(ModelId, f64)>,
}

impl Forecast {
    /// Forecasts from the present demand.
    pub fn new(spec: &Engine, totals: &DemandTotals) -> Self {
        Forecast {
            next: next_model(spec, totals),
        }
    }

    /// Value of loading the model ahead of demand, in requests per second.
    pub fn value(&self, model: &ModelId) -> f64 {
        match &self.next {
            Some((next, value)) if next == model => *value,
            _ => 0.0,
        }
    }

    /// The forecast model, if there is one.
    pub fn model(&self) -> Option<&ModelId> {
        self.next.as_ref().map(|(model, _)| model)
    }
}

fn next_model(spec: &Engine, totals: &DemandTotals) -> Option<(ModelId, f64)> {
    let urgent: Vec<(usize, f64)> = totals
        .models()
        .filter_map(|(model, demand)| Some((spec.models.get(model)?.rank, demand.urgent_rate)))
        .collect();
    let highest = urgent.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
    if highest < MIN_URGENT_RATE_PER_SECOND {
        return None;
    }
    let is_busy = |(_, rate): &&(usize, f64)| *rate >= BUSY_FRACTION * highest;
    let busy: Vec<&(usize, f64)> = urgent.iter().filter(is_busy).collect();
    let last = busy.iter().map(|(rank, _)| *rank).max()?;
    let mean = busy.iter().map(|(_, rate)| rate).sum::<f64>() / busy.len() as f64;
    let (model, _) = spec
        .models
        .iter()
        .find(|(_, model)| model.rank == last + 1)?;
    Some((model.clone(), FORECAST_VALUE_FRACTION * mean))
}
