//! The need of a loaded model for further replicas.
//!
//! The input is the model's demand and the number of its replicas. The output is the number of
//! replicas that the demand needs, and the value of one more: its share of the request rate, and
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

/// The demand for a loaded model compared to the capacity of its replicas.
pub struct ReplicaNeed<'a> {
    spec: &'a Engine,
    counts_queued_requests: bool,
    demand: &'a ModelDemand,
    replicas: usize,
    expected_replicas: usize,
}

impl<'a> ReplicaNeed<'a> {
    /// Compares the demand to `replicas` that hold the model and `expected_replicas` that will hold
    /// it soon. Requests that queue at full engines count only if `has_long_loads`: loads from the
    /// weight store outlast the callers of the service.
    pub fn new(
        spec: &'a Engine,
        has_long_loads: bool,
        demand: &'a ModelDemand,
        replicas: usize,
        expected_replicas: usize,
    ) -> Self {
        ReplicaNeed {
            spec,
            counts_queued_requests: has_long_loads,
            demand,
            replicas,
            expected_replicas,
        }
    }

    /// Whether the expected replicas meet the need.
    pub fn is_met(&self) -> bool {
        let provided = self.replicas + self.expected_replicas;
        self.expected_replicas > 0 && provided >= self.needed_replicas()
    }

    /// Value of an additional replica, in requests per second; `None` if it is not needed.
    pub fn value(&self) -> Option<f64> {
        let is_redundant = self.replicas >= REDUNDANT_REPLICAS;
        let wants_redundancy =
            !is_redundant && self.demand.urgent_rate > REDUNDANCY_RATE_PER_SECOND;
        if !wants_redundancy && !self.is_saturated() {
            return None;
        }
        let share = self.demand.rate / (self.replicas + self.expected_replicas + 1) as f64;
        let relieved = self
            .queued_beyond_expected()
            .min(f64::from(self.spec.slots));
        Some(self.share_fraction() * share + WAITING_REQUEST_VALUE * relieved)
    }

    /// Number of replicas that can serve the present requests at the target fraction of their
    /// slots. A model without a replica is loaded once, because the number of its running requests
    /// is not known yet.
    fn needed_replicas(&self) -> usize {
        if self.replicas == 0 {
            return 1;
        }
        let target = f64::from(self.spec.slots) * TARGET_SLOT_FRACTION;
        (self.present_requests() / target.max(1.0)).ceil() as usize
    }

    /// Whether the replicas serve too many requests, or have too few adapter slots.
    fn is_saturated(&self) -> bool {
        let adapter_slots = (self.spec.adapter_slots * self.replicas) as f64;
        let adapters = self.demand.adapters.len() as f64;
        self.present_requests() > SATURATED_SLOT_FRACTION * self.slots()
            || adapters > SATURATED_ADAPTER_FRACTION * adapter_slots
    }

    /// Value of an additional replica as a fraction of its share of the request rate.
    fn share_fraction(&self) -> f64 {
        let urgency = (self.used_fraction() - FILLING_SLOT_FRACTION)
            / (FULL_SLOT_FRACTION - FILLING_SLOT_FRACTION);
        let urgency = urgency.clamp(0.0, 1.0);
        EXTRA_REPLICA_VALUE_FRACTION + (1.0 - EXTRA_REPLICA_VALUE_FRACTION) * urgency
    }

    /// Running requests, and those that wait because the replicas are full.
    fn present_requests(&self) -> f64 {
        f64::from(self.demand.running) + self.waiting_for_slots()
    }

    /// Weight of the requests that wait although the model is loaded. While most slots are free,
    /// the demand is older than the load that the requests waited for.
    fn waiting_for_slots(&self) -> f64 {
        if !self.counts_queued_requests || self.used_fraction() < FILLING_SLOT_FRACTION {
            return 0.0;
        }
        self.demand.waiting_weight
    }

    /// Requests that neither the slots of the replicas nor those of the expected ones take.
    fn queued_beyond_expected(&self) -> f64 {
        if !self.counts_queued_requests {
            return 0.0;
        }
        let expected_slots = f64::from(self.spec.slots) * self.expected_replicas as f64;
        (self.present_requests() - self.slots() - expected_slots).max(0.0)
    }

    fn used_fraction(&self) -> f64 {
        f64::from(self.demand.running) / self.slots().max(1.0)
    }

    fn slots(&self) -> f64 {
        f64::from(self.spec.slots) * self.replicas as f64
    }
}
