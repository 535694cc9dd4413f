//! Demand of all gateways together, for one service.

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_world::{AdapterId, ModelId, ServiceId};

use crate::demand::{DemandRow, ModelDemand};

/// A request that can wait for a load counts for so much of one that cannot.
const PATIENT_WEIGHT: f64 = 0.6;

/// Sums over gateways, by model.
#[derive(Debug, Default)]
pub struct Totals {
    models: BTreeMap<ModelId, ModelDemand>,
}

impl Totals {
    /// Sums the rows for one service.
    pub fn new(service: &ServiceId, rows: &[DemandRow]) -> Self {
        let mut totals = Totals::default();
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
    }

    /// Models with any demand.
    pub fn models(&self) -> impl Iterator<Item = (&ModelId, &ModelDemand)> {
        self.models.iter()
    }

    /// What it costs to be without a model, in urgent requests a second. A
    /// patient request waits for a load and loses little.
    pub fn absence_cost(&self, model: &ModelId) -> f64 {
        self.models.get(model).map_or(0.0, |demand| {
            let patient = demand.rate - demand.urgent_rate;
            demand.urgent_rate + PATIENT_WEIGHT * patient.max(0.0)
        })
    }

    /// Requests a second for a model.
    pub fn rate(&self, model: &ModelId) -> f64 {
        self.models.get(model).map_or(0.0, |demand| demand.rate)
    }

    /// Requests that run on a model.
    pub fn running(&self, model: &ModelId) -> u32 {
        self.models.get(model).map_or(0, |demand| demand.running)
    }

    /// Requests that wait for a model, by the weight of their rank.
    pub fn waiting(&self, model: &ModelId) -> f64 {
        let demand = self.models.get(model);
        demand.map_or(0.0, |demand| demand.waiting_weight)
    }

    /// Requests a second for any adapter of a model.
    pub fn adapters_rate(&self, model: &ModelId) -> f64 {
        let demand = self.models.get(model);
        demand.map_or(0.0, |demand| demand.adapters.values().sum())
    }

    /// Requests a second for an adapter.
    pub fn adapter_rate(&self, model: &ModelId, adapter: &AdapterId) -> f64 {
        let demand = self.models.get(model);
        let rate = demand.and_then(|demand| demand.adapters.get(adapter));
        rate.copied().unwrap_or(0.0)
    }

    /// Adapters of a model that requests wait for.
    pub fn missing_adapters(&self, model: &ModelId) -> Option<&BTreeSet<AdapterId>> {
        let demand = self.models.get(model)?;
        (!demand.missing_adapters.is_empty()).then_some(&demand.missing_adapters)
    }
}
