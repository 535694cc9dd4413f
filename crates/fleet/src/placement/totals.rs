//! Total demand at all gateways for one service.
//!
//! The input is the demand row of each gateway. The output is sums by model and by adapter.

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_world::{AdapterId, ModelId, ServiceId};

use crate::demand::{DemandRow, ModelDemand, RATE_TIME_CONSTANT_MS};

/// Weight of a request that can wait for a load, relative to an urgent one, which cannot.
const NON_URGENT_WEIGHT: f64 = 0.6;

/// Demand summed over gateways, by model.
#[derive(Debug, Default)]
pub struct DemandTotals {
    models: BTreeMap<ModelId, ModelDemand>,
}

impl DemandTotals {
    /// Sums the rows for one service.
    pub fn new(service: &ServiceId, rows: &[DemandRow]) -> Self {
        let mut totals = DemandTotals::default();
        let services = rows.iter().filter_map(|row| row.services.get(service));
        for (model, demand) in services.flatten() {
            totals.add(model, demand);
        }
        totals
    }

    fn add(&mut self, model: &ModelId, demand: &ModelDemand) {
        let total = self.models.entry(model.clone()).or_default();
        total.rate += demand.rate;
        total.urgent_rate += demand.urgent_rate;
        total.running += demand.running;
        total.waiting += demand.waiting;
        total.waiting_weight += demand.waiting_weight;
        for (adapter, rate) in &demand.adapters {
            *total.adapters.entry(adapter.clone()).or_default() += rate;
        }
        let missing = demand.missing_adapters.iter().cloned();
        total.missing_adapters.extend(missing);
        let missing = demand.missing_versions.iter().cloned();
        total.missing_versions.extend(missing);
    }

    /// Raises the request rate of a model that has requests to at least `rate`.
    pub fn raise_rate(&mut self, model: &ModelId, rate: f64) {
        if let Some(demand) = self.models.get_mut(model) {
            demand.rate = demand.rate.max(rate);
        }
    }

    /// Models with any demand, each with its total.
    pub fn models(&self) -> impl Iterator<Item = (&ModelId, &ModelDemand)> {
        self.models.iter()
    }

    /// Cost of not having a model loaded, in urgent requests per second. Requests that can wait
    /// count for less, because they lose little by waiting for a load.
    pub fn absence_cost(&self, model: &ModelId) -> f64 {
        self.models.get(model).map_or(0.0, |demand| {
            let non_urgent_rate = demand.rate - demand.urgent_rate;
            demand.urgent_rate + NON_URGENT_WEIGHT * non_urgent_rate.max(0.0)
        })
    }

    /// Request rate of a model, in requests per second.
    pub fn rate(&self, model: &ModelId) -> f64 {
        self.models.get(model).map_or(0.0, |demand| demand.rate)
    }

    /// Number of requests that the rates are computed from, of which older ones count for less.
    pub fn observed_requests(&self) -> f64 {
        let rates = self.models.values().map(|demand| demand.rate);
        rates.sum::<f64>() * RATE_TIME_CONSTANT_MS / 1_000.0
    }

    /// Number of running requests on a model.
    pub fn running(&self, model: &ModelId) -> u32 {
        self.models.get(model).map_or(0, |demand| demand.running)
    }

    /// Number of requests that wait for a model, each weighted by the priority of its route.
    pub fn waiting(&self, model: &ModelId) -> f64 {
        let demand = self.models.get(model);
        demand.map_or(0.0, |demand| demand.waiting_weight)
    }

    /// Request rate of all adapters of a model together, in requests per second.
    pub fn adapters_rate(&self, model: &ModelId) -> f64 {
        let demand = self.models.get(model);
        demand.map_or(0.0, |demand| demand.adapters.values().sum())
    }

    /// Request rate of an adapter, in requests per second.
    pub fn adapter_rate(&self, model: &ModelId, adapter: &AdapterId) -> f64 {
        let demand = self.models.get(model);
        let rate = demand.and_then(|demand| demand.adapters.get(adapter));
        rate.copied().unwrap_or(0.0)
    }

    /// Adapters of a model that requests wait for; `None` if there are none.
    pub fn missing_adapters(&self, model: &ModelId) -> Option<&BTreeSet<AdapterId>> {
        let demand = self.models.get(model)?;
        (!demand.missing_adapters.is_empty()).then_some(&demand.missing_adapters)
    }
}
