//! Demand of one gateway's callers by model, as input for the placement holder.
//!
//! Input: arrivals, starts, ends and waits of requests. Output: the row that the gateway sends to
//! the placement holder.

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_coordination::Timestamp;
use gorsebank_world::{AdapterId, ModelId, ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};

use crate::prefill_speed::PrefillSpeedSample;

/// Time constant of the moving average of the request rate.
pub(crate) const RATE_TIME_CONSTANT_MS: f64 = 8_000.0;
/// Rate below which a model has no demand.
const MIN_RATE_PER_SECOND: f64 = 0.005;
/// Time after which unmet demand that was not recorded again is dropped.
const UNMET_LIFETIME_MS: u64 = 6_000;

/// Demand for one model.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Requests per second.
    pub rate: f64,
    /// Requests per second whose objective is shorter than a load, so that they miss it unless the
    /// model is already loaded.
    #[serde(default)]
    pub urgent_rate: f64,
    /// Running requests.
    pub running: u32,
    /// Requests that wait for the model, or that were rejected with a hint to retry later.
    pub waiting: u32,
    /// Sum of the waiting requests' weights, which depend on the priority ranks of their routes.
    #[serde(default)]
    pub waiting_weight: f64,
    /// Requests per second by adapter.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub adapters: BTreeMap<AdapterId, f64>,
    /// Adapters that waiting requests need.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub missing_adapters: BTreeSet<AdapterId>,
    /// Software versions at which streams cannot go on, because only engines of other versions hold the
    /// model.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub missing_versions: BTreeSet<SoftwareVersion>,
}

/// Demand of one gateway, and its measurements of engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandRow {
    /// Demand by service and model.
    pub services: BTreeMap<ServiceId, BTreeMap<ModelId, ModelDemand>>,
    /// Speed of engines as measured by this gateway, by service.
    #[serde(
        rename = "reading",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub prefill_speed: BTreeMap<ServiceId, PrefillSpeedSample>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    updated: Timestamp,
}

impl Rate {
    fn value_at(&self, now: Timestamp) -> f64 {
        decayed_rate(self.value, now.since(self.updated))
    }

    fn record_arrival(&mut self, now: Timestamp) {
        self.value = self.value_at(now) + 1_000.0 / RATE_TIME_CONSTANT_MS;
        self.updated = now;
    }
}

#[derive(Debug, Default)]
struct ModelEntry {
    rate: Rate,
    urgent_rate: Rate,
    running: u32,
    waiting: u32,
    waiting_weight: f64,
    /// When the model was last recorded as unmet.
    unmet_at: Option<Timestamp>,
    adapters: BTreeMap<AdapterId, Rate>,
    /// When each adapter was last recorded as unmet.
    unmet_adapters: BTreeMap<AdapterId, Timestamp>,
    /// When each software version was last recorded as unmet.
    unmet_versions: BTreeMap<SoftwareVersion, Timestamp>,
}

/// Demand at one gateway.
#[derive(Debug, Default)]
pub struct Demand {
    entries: BTreeMap<(ServiceId, ModelId), ModelEntry>,
}

impl Demand {
    /// Records the arrival of a request. It is urgent if its objective is shorter than a load.
    pub fn record_arrival(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        urgent: bool,
    ) {
        let entry = self.entry(service, model);
        entry.rate.record_arrival(now);
        if urgent {
            entry.urgent_rate.record_arrival(now);
        }
        if let Some(adapter) = adapter {
            let rate = entry.adapters.entry(adapter.clone()).or_default();
            rate.record_arrival(now);
        }
    }

    /// Records the start (`change` 1) or the end (`change` -1) of a request's execution.
    pub fn record_running(&mut self, service: &ServiceId, model: &ModelId, change: i32) {
        let entry = self.entry(service, model);
        entry.running = entry.running.saturating_add_signed(change);
    }

    /// Records that a request of a route with this priority rank starts to wait for the model.
    pub fn begin_waiting(&mut self, service: &ServiceId, model: &ModelId, priority: u8) {
        let entry = self.entry(service, model);
        entry.waiting += 1;
        entry.waiting_weight += priority_weight(priority);
    }

    /// Records that such a request no longer waits.
    pub fn end_waiting(&mut self, service: &ServiceId, model: &ModelId, priority: u8) {
        let entry = self.entry(service, model);
        entry.waiting = entry.waiting.saturating_sub(1);
        let remaining = entry.waiting_weight - priority_weight(priority);
        entry.waiting_weight = if entry.waiting == 0 {
            0.0
        } else {
            remaining.max(0.0)
        };
    }

    /// Records that no back end holds the model, or the given adapter of it. Returns true if the
    /// demand was not recorded as unmet before.
    pub fn record_unmet(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        model: &ModelId,
        adapter: Option<&AdapterId>,
    ) -> bool {
        let entry = self.entry(service, model);
        let previous = match adapter {
            None => entry.unmet_at.replace(now),
            Some(adapter) => entry.unmet_adapters.insert(adapter.clone(), now),
        };
        previous.is_none()
    }

    /// Records that only engines of other software versions hold the model, and a stream cannot go on.
    /// Returns true if that was not recorded before.
    pub fn record_unmet_version(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        model: &ModelId,
        version: &SoftwareVersion,
    ) -> bool {
        let entry = self.entry(service, model);
        let previous = entry.unmet_versions.insert(version.clone(), now);
        previous.is_none()
    }

    /// Clears the unmet demand: a back end holds the model, or the given adapter of it.
    pub fn clear_unmet(
        &mut self,
        service: &ServiceId,
        model: &ModelId,
        adapter: Option<&AdapterId>,
    ) {
        let entry = self.entry(service, model);
        entry.unmet_at = None;
        if let Some(adapter) = adapter {
            entry.unmet_adapters.remove(adapter);
        }
    }

    /// The gateway's demand at `now`.
    pub fn row(&mut self, now: Timestamp) -> DemandRow {
        let mut row = DemandRow::default();
        for ((service, model), entry) in &mut self.entries {
            let demand = entry.demand(now);
            let is_used =
                demand.rate >= MIN_RATE_PER_SECOND || demand.running > 0 || demand.waiting > 0;
            if is_used || !demand.missing_versions.is_empty() {
                let models = row.services.entry(service.clone()).or_default();
                models.insert(model.clone(), demand);
            }
        }
        row
    }

    fn entry(&mut self, service: &ServiceId, model: &ModelId) -> &mut ModelEntry {
        let key = (service.clone(), model.clone());
        self.entries.entry(key).or_default()
    }
}

impl ModelEntry {
    fn demand(&mut self, now: Timestamp) -> ModelDemand {
        let is_fresh = |time: Timestamp| now.since(time) < UNMET_LIFETIME_MS;
        self.unmet_at = self.unmet_at.filter(|time| is_fresh(*time));
        self.unmet_adapters.retain(|_, time| is_fresh(*time));
        self.unmet_versions.retain(|_, time| is_fresh(*time));
        let adapters = self.adapters.iter();
        let adapters = adapters
            .map(|(adapter, rate)| (adapter.clone(), round_to_thousandths(rate.value_at(now))))
            .filter(|(_, rate)| *rate >= MIN_RATE_PER_SECOND)
            .collect();
        ModelDemand {
            rate: round_to_thousandths(self.rate.value_at(now)),
            urgent_rate: round_to_thousandths(self.urgent_rate.value_at(now)),
            running: self.running,
            waiting: self.waiting.max(u32::from(self.unmet_at.is_some())),
            waiting_weight: if self.waiting == 0 && self.unmet_at.is_some() {
                1.0
            } else {
                round_to_thousandths(self.waiting_weight)
            },
            adapters,
            missing_adapters: self.unmet_adapters.keys().cloned().collect(),
            missing_versions: self.unmet_versions.keys().cloned().collect(),
        }
    }
}

/// Weight of a waiting request by the priority rank of its route; 0 is the most urgent.
pub fn priority_weight(priority: u8) -> f64 {
    match priority {
        0 => 2.0,
        1 => 1.5,
        _ => 1.0,
    }
}

/// A rate after `age_ms` milliseconds without arrivals.
pub(crate) fn decayed_rate(rate: f64, age_ms: u64) -> f64 {
    rate * (-(age_ms as f64) / RATE_TIME_CONSTANT_MS).exp()
}

/// Rounds to three decimal places.
pub(crate) fn round_to_thousandths(rate: f64) -> f64 {
    (rate * 1_000.0).round() / 1_000.0
}
