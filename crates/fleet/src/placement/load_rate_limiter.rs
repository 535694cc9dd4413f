//! Limits the rate of loads from the weight store.
//!
//! The limit holds for every time window and for all holders together, and counts a load at the
//! moment at which it starts. A load whose order was acknowledged started no later than the
//! acknowledgement. A load whose order had no response may start at any time until the engine is
//! seen to have accepted another order or until the order has expired, and counts for that whole
//! time. Orders to one engine are sent on the condition of its sequence number, so only one of
//! several orders for the same number can start a load.
//!
//! A holder starts with the loads of previous holders: the row that is written with the lease lists
//! them, and the row of an engine names each load before the load is ordered.
//!
//! The input is load orders and their results. The output is whether another load may start.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{BackEndId, ModelId};
use serde::{Deserialize, Serialize};

use super::OrderResult;
use crate::incarnation::Born;

/// Number of loads per window that are left unused for loads that a holder cannot know of.
const RESERVED_LOADS: f64 = 2.0;
/// Allowance for the time from an order until its acknowledgement and for the age of the report
/// from which a previous holder knew of the load, in milliseconds.
const ORDER_DELAY_MS: u64 = 500;
/// An order without a response is executed within this time or never, in milliseconds.
const UNRESOLVED_ORDER_LIFETIME_MS: u64 = 13_000;

/// The rate limit of loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadRateLimit {
    /// Time window over which loads are counted.
    pub window: Duration,
    /// Fraction of the weight store's rate that may be used; 1 for the whole rate.
    pub overage: f64,
    /// Number of additional loads in each window.
    pub extra: f64,
}

impl Default for LoadRateLimit {
    fn default() -> Self {
        LoadRateLimit {
            window: Duration::from_secs(5),
            overage: 1.0,
            extra: 0.0,
        }
    }
}

/// A load that was ordered recently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentLoad {
    pub engine: BackEndId,
    /// Time since the order, in milliseconds.
    #[serde(rename = "age")]
    pub age_ms: u64,
    /// The sequence number of the order, if the load may not have started yet.
    #[serde(rename = "open", default, skip_serializing_if = "Option::is_none")]
    pub unresolved_sequence: Option<u64>,
    /// The start time of the incarnation that was ordered to load; `None` if it is not known, or if
    /// that incarnation has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Born>,
    /// The model; `None` in records of gateways that predate this field.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
}

#[derive(Debug)]
struct OrderedLoad {
    /// The model, if it is known.
    model: Option<ModelId>,
    ordered_at: Timestamp,
    /// The sequence number of the order, while the load may not have started yet.
    unresolved_sequence: Option<u64>,
    /// Whether an order with that sequence number had no response.
    had_no_response: bool,
    /// Whether the engine has restarted since, so that its sequence numbers started again.
    is_of_previous_incarnation: bool,
    /// Whether the load is known from a row only, so that its order may have had no response.
    is_restored: bool,
}

impl OrderedLoad {
    /// Whether the load was ordered from the present incarnation with this sequence number and may
    /// not have started yet.
    fn is_unresolved_order(&self, sequence: u64) -> bool {
        self.unresolved_sequence == Some(sequence) && !self.is_of_previous_incarnation
    }

    fn is_counted(&self, now: Timestamp, counting_window_ms: u64) -> bool {
        let lifetime = match self.unresolved_sequence {
            Some(_) => UNRESOLVED_ORDER_LIFETIME_MS + counting_window_ms,
            None => counting_window_ms,
        };
        now.since(self.ordered_at) <= lifetime
    }
}

/// The recent loads of one weight store and their rate limit.
#[derive(Debug)]
pub struct LoadRateLimiter {
    rate_limit: LoadRateLimit,
    loads: BTreeMap<BackEndId, Vec<OrderedLoad>>,
}

impl LoadRateLimiter {
    /// Creates the limiter of a holder that starts at `now` and knows the recent loads of previous
    /// holders.
    pub fn new(now: Timestamp, rate_limit: LoadRateLimit, previous: &[RecentLoad]) -> Self {
        let mut limiter = LoadRateLimiter {
            rate_limit,
            loads: BTreeMap::new(),
        };
        for load in previous {
            let ordered_load = OrderedLoad {
                model: load.model.clone(),
                ordered_at: now - load.age_ms,
                unresolved_sequence: load.unresolved_sequence,
                had_no_response: load.unresolved_sequence.is_some(),
                is_of_previous_incarnation: false,
                is_restored: false,
            };
            let loads = limiter.loads.entry(load.engine.clone()).or_default();
            loads.push(ordered_load);
        }
        limiter
    }

    /// Whether another load may start now.
    pub fn allows(&self, now: Timestamp, loads_per_second: f64) -> bool {
        let counting_window_ms = self.counting_window_ms();
        let loads = self.loads.values().flatten();
        let count = loads
            .filter(|load| load.is_counted(now, counting_window_ms))
            .count();
        let rated_loads =
            loads_per_second * self.rate_limit.window.as_secs_f64() * self.rate_limit.overage;
        let max_loads = (rated_loads + self.rate_limit.extra - RESERVED_LOADS).floor();
        (count as f64) < max_loads.max(1.0)
    }

    /// Whether a load that was ordered from an engine with this sequence number still counts. The
    /// order may then be repeated without counting another load.
    pub fn is_unresolved(&self, now: Timestamp, engine: &BackEndId, sequence: u64) -> bool {
        let counting_window_ms = self.counting_window_ms();
        let mut loads = self.loads.get(engine).into_iter().flatten();
        loads.any(|load| {
            load.is_unresolved_order(sequence) && load.is_counted(now, counting_window_ms)
        })
    }

    /// Records a load of a model that is about to be ordered from an engine with this sequence number.
    pub fn record_order(
        &mut self,
        now: Timestamp,
        engine: &BackEndId,
        sequence: u64,
        model: &ModelId,
    ) {
        self.forget_old(now);
        let loads = self.loads.entry(engine.clone()).or_default();
        let existing = loads
            .iter_mut()
            .find(|load| load.is_unresolved_order(sequence));
        match existing {
            Some(load) => load.ordered_at = now,
            None => loads.push(OrderedLoad {
                model: Some(model.clone()),
                ordered_at: now,
                unresolved_sequence: Some(sequence),
                had_no_response: false,
                is_of_previous_incarnation: false,
                is_restored: false,
            }),
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        let counting_window_ms = self.counting_window_ms();
        for loads in self.loads.values_mut() {
            loads.retain(|load| load.is_counted(now, counting_window_ms));
        }
        self.loads.retain(|_, loads| !loads.is_empty());
    }

    /// Applies the result of a load order.
    pub fn apply_order_result(&mut self, now: Timestamp, engine: &BackEndId, result: OrderResult) {
        let Some(loads) = self.loads.get_mut(engine) else {
            return;
        };
        let Some(index) = loads
            .iter()
            .rposition(|load| load.unresolved_sequence.is_some())
        else {
            return;
        };
        match result {
            OrderResult::Unanswered => loads[index].had_no_response = true,
            OrderResult::NotSent if loads[index].had_no_response => {}
            // An earlier order without a response may be the reason why this one was refused.
            _ if result == OrderResult::Accepted || loads[index].had_no_response => {
                loads[index].ordered_at = now;
                loads[index].unresolved_sequence = None;
            }
            _ => {
                loads.remove(index);
            }
        }
    }

    /// Records that an engine has restarted under its name and counts its orders from zero. A load
    /// that was ordered before without a response may still start.
    pub fn record_restart(&mut self, now: Timestamp, engine: &BackEndId) {
        for load in self.loads.get_mut(engine).into_iter().flatten() {
            load.is_of_previous_incarnation = true;
            if load.is_restored {
                load.unresolved_sequence.get_or_insert(0);
            }
            if load.unresolved_sequence.is_some() {
                load.ordered_at = now;
                load.had_no_response = true;
            }
        }
    }

    /// Records that a load order was not sent.
    pub fn cancel_order(&mut self, engine: &BackEndId) {
        if let Some(loads) = self.loads.get_mut(engine) {
            loads.retain(|load| load.unresolved_sequence.is_none() || load.had_no_response);
        }
    }

    /// Records that an engine has accepted `sequence` orders. A load that was ordered with a lower
    /// sequence number has started by now, or never will.
    pub fn apply_sequence(&mut self, now: Timestamp, engine: &BackEndId, sequence: u64) {
        let loads = self.loads.get_mut(engine).into_iter().flatten();
        for load in loads {
            let is_resolved = load
                .unresolved_sequence
                .is_some_and(|ordered| ordered < sequence);
            if load.had_no_response && is_resolved && !load.is_of_previous_incarnation {
                load.ordered_at = now;
                load.unresolved_sequence = None;
            }
        }
    }

    /// Records a load from the row of a previous holder, unless that load is already known. It may
    /// have been ordered just now.
    pub fn record_restored_load(&mut self, now: Timestamp, engine: &BackEndId, model: &ModelId) {
        let loads = self.loads.entry(engine.clone()).or_default();
        let is_other = |load: &OrderedLoad| {
            let has_other_model = load.model.as_ref().is_some_and(|known| known != model);
            load.is_of_previous_incarnation || has_other_model
        };
        if loads.iter().all(is_other) {
            loads.push(OrderedLoad {
                model: Some(model.clone()),
                ordered_at: now,
                unresolved_sequence: None,
                had_no_response: false,
                is_of_previous_incarnation: false,
                is_restored: true,
            });
        }
    }

    /// The recent loads, for the next holder. `born` returns the start times of engines.
    pub fn recent_loads(
        &self,
        now: Timestamp,
        born: impl Fn(&BackEndId) -> Option<Born>,
    ) -> Vec<RecentLoad> {
        let counting_window_ms = self.counting_window_ms();
        let mut recent = Vec::new();
        for (engine, loads) in &self.loads {
            for load in loads
                .iter()
                .filter(|load| load.is_counted(now, counting_window_ms))
            {
                recent.push(RecentLoad {
                    engine: engine.clone(),
                    age_ms: now.since(load.ordered_at),
                    unresolved_sequence: load.unresolved_sequence,
                    born: born(engine).filter(|_| !load.is_of_previous_incarnation),
                    model: load.model.clone(),
                });
            }
        }
        recent
    }

    fn counting_window_ms(&self) -> u64 {
        self.rate_limit.window.as_millis() as u64 + ORDER_DELAY_MS
    }
}
