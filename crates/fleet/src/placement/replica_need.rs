//! The need of a model for further replicas.
//!
//! The input is the model's demand, the number of engines that hold the model, and the number of
//! those that are expected to hold it soon because they load it or make room for it. The output is
//! whether these engines are enough, and the value of one more: its share of the request rate, and
//! the requests that queue because the slots of all replicas are in use.

use crate::configuration::Engine;
use crate::demand::ModelDemand;

/// Value of one waiting request of low priority, in requests per second.
pub const WAITING_REQUEST_VALUE: f64 = 0.3;
/// Fraction of the slots of a model's engines above which the running requests of the model call
/// for another replica.
const SATURATED_SLOT_FRACTION: f64 = 0.2;
/// Rate of urgent requests for a model, in requests per second, above which the model is kept on
/// several engines.
const REDUNDANCY_RATE_PER_SECOND: f64 = 0.8;
/// Number of engines that keep a model with a high urgent rate, so that the loss of one engine does
/// not interrupt service.
const REDUNDANT_REPLICAS: usize = 2;
/// Value of an additional replica as a fraction of its share of the request rate, while the present
/// replicas have free slots.
const EXTRA_REPLICA_VALUE_FRACTION: f64 = 0.5;
/// Fraction of slots in use above which the value of an additional replica rises.
const FILLING_SLOT_FRACTION: f64 = 0.5;
/// Fraction of slots in use from which an additional replica has the full value of its share,
/// because requests are being rejected.
const FULL_SLOT_FRACTION: f64 = 0.9;
/// Target fraction of slots in use. As many replicas are loaded at the same time as the running
/// requests need to reach it.
const TARGET_SLOT_FRACTION: f64 = 0.6;
/// Fraction of the adapter slots above which the number of requested adapters calls for another
/// replica.
const SATURATED_ADAPTER_FRACTION: f64 = 0.6;

/// The demand for a model compared to the capacity of its replicas.
pub struct ReplicaNeed<'a> {
    spec: &'a Engine,
    counts_queued_requests: bool,
    demand: &'a ModelDemand,
    replica_count: usize,
    expected_replica_count: usize,
}

impl<'a> ReplicaNeed<'a> {
    /// Compares the demand to `replica_count` engines that hold the model and
    /// `expected_replica_count` others that will hold it soon. Requests that queue at full engines
    /// count only if `has_long_loads`: loads from the weight store outlast the callers of the
    /// service.
    pub fn new(
        spec: &'a Engine,
        has_long_loads: bool,
        demand: &'a ModelDemand,
        replica_count: usize,
        expected_replica_count: usize,
    ) -> Self {
        ReplicaNeed {
            spec,
            counts_queued_requests: has_long_loads,
            demand,
            replica_count,
            expected_replica_count,
        }
    }

    /// Whether the expected replicas meet the need.
    pub fn is_met(&self) -> bool {
        let provided = self.replica_count + self.expected_replica_count;
        self.expected_replica_count > 0 && provided >= self.needed_replica_count()
    }

    /// Value of an additional replica of a loaded model, in requests per second; `None` if it is
    /// not needed.
    pub fn additional_replica_value(&self) -> Option<f64> {
        let is_redundant = self.replica_count >= REDUNDANT_REPLICAS;
        let wants_redundancy =
            !is_redundant && self.demand.urgent_rate > REDUNDANCY_RATE_PER_SECOND;
        if !wants_redundancy && !self.is_saturated() {
            return None;
        }
        let sharing_replica_count = self.replica_count + self.expected_replica_count + 1;
        let rate_share_per_second = self.demand.rate / sharing_replica_count as f64;
        let relieved_request_count = self.queued_request_count().min(self.spec.slots);
        let queue_value = WAITING_REQUEST_VALUE * f64::from(relieved_request_count);
        Some(self.share_fraction() * rate_share_per_second + queue_value)
    }

    /// Number of replicas that can serve the running requests at the target fraction of their
    /// slots. A model without a replica is loaded once, because the number of its running requests
    /// is not known yet.
    fn needed_replica_count(&self) -> usize {
        if self.replica_count == 0 {
            return 1;
        }
        let target_slot_count = f64::from(self.spec.slots) * TARGET_SLOT_FRACTION;
        (f64::from(self.demand.running) / target_slot_count.max(1.0)).ceil() as usize
    }

    /// Whether the replicas serve too many requests, or have too few adapter slots.
    fn is_saturated(&self) -> bool {
        let running = f64::from(self.demand.running);
        let adapter_slot_count = (self.spec.adapter_slots * self.replica_count) as f64;
        let adapter_count = self.demand.adapters.len() as f64;
        running > SATURATED_SLOT_FRACTION * self.slot_count()
            || adapter_count > SATURATED_ADAPTER_FRACTION * adapter_slot_count
    }

    /// Value of an additional replica as a fraction of its share of the request rate.
    fn share_fraction(&self) -> f64 {
        let used_slot_fraction = f64::from(self.demand.running) / self.slot_count().max(1.0);
        let urgency = (used_slot_fraction - FILLING_SLOT_FRACTION)
            / (FULL_SLOT_FRACTION - FILLING_SLOT_FRACTION);
        let urgency = urgency.clamp(0.0, 1.0);
        EXTRA_REPLICA_VALUE_FRACTION + (1.0 - EXTRA_REPLICA_VALUE_FRACTION) * urgency
    }

    /// Requests for which neither the replicas nor the expected ones have a slot. A stream counts as
    /// running from its arrival at a gateway, so those that wait for a slot are among the running
    /// ones and the waiting ones must not be added.
    fn queued_request_count(&self) -> u32 {
        if !self.counts_queued_requests {
            return 0;
        }
        let replica_count = self.replica_count + self.expected_replica_count;
        let slot_count = self.spec.slots.saturating_mul(replica_count as u32);
        self.demand.running.saturating_sub(slot_count)
    }

    /// Slots of the engines that hold the model.
    fn slot_count(&self) -> f64 {
        f64::from(self.spec.slots) * self.replica_count as f64
    }
}
