//! Log lines of the placement holder.
//!
//! The input is the decisions of a plan, and the results of polls and orders. The output is log
//! lines, at most one in some seconds on the same deferred model, and the counter of orders.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::EngineReport;
use gorsebank_fleet::placement::{
    Action, ChosenLoad, DeferredLoad, EndedLoad, MemoryReservation, OrderKind, OrderResult,
    StoreRecords,
};
use gorsebank_world::{BackEndId, ModelId, ServiceId};

use crate::event_log::{self, LogPriority};
use crate::shared::Shared;

/// Minimum interval between two log lines on the same deferred model, in milliseconds.
const DEFERRED_LOG_INTERVAL_MS: u64 = 3_000;

/// What was logged on models and weight stores.
#[derive(Debug, Default)]
pub struct PlacementLog {
    deferred_logged_at: BTreeMap<ModelId, Timestamp>,
    /// Engines of which reserved memory was logged, with its amount.
    reservations: BTreeMap<BackEndId, f64>,
    /// The window of concurrent loads that was last logged, by service.
    load_windows: BTreeMap<ServiceId, usize>,
}

impl PlacementLog {
    /// Logs each deferred load when it is first deferred and at intervals while it remains
    /// deferred.
    pub fn write_deferred(&mut self, now: Timestamp, deferred: &[DeferredLoad]) {
        self.deferred_logged_at
            .retain(|model, _| deferred.iter().any(|load| load.model == *model));
        for load in deferred {
            let logged_at = self.deferred_logged_at.get(&load.model);
            if logged_at.is_some_and(|at| now.since(*at) < DEFERRED_LOG_INTERVAL_MS) {
                continue;
            }
            self.deferred_logged_at.insert(load.model.clone(), now);
            let fields = format_args!(
                "model={} worth={:.2} obstacle=\"{:?}\"",
                load.model, load.value, load.obstacle
            );
            event_log::write(LogPriority::Decision, "load_put_off", fields);
        }
    }

    /// Logs each load that a plan decided on, with its value and its cost.
    pub fn write_chosen(&self, chosen: &[ChosenLoad]) {
        for load in chosen {
            let fields = format_args!(
                "model={} engine={} worth={:.2} loss={:.2} from_store={} observed_requests={:.0} unverified_engines={}",
                load.model,
                load.engine,
                load.value,
                load.loss,
                load.is_from_store,
                load.observed_requests,
                load.unverified_engines,
            );
            event_log::write(LogPriority::Decision, "load_chosen", fields);
        }
    }

    /// Logs the memory that each engine keeps free for orders to its previous processes, when it
    /// changes and when it is free again.
    pub fn write_reservations(&mut self, reservations: &[MemoryReservation]) {
        let current = reservations.iter();
        let current =
            current.map(|reservation| (reservation.engine.clone(), reservation.memory_mb));
        let previous = std::mem::replace(&mut self.reservations, current.collect());
        let is_new = |reservation: &&MemoryReservation| {
            previous.get(&reservation.engine) != Some(&reservation.memory_mb)
        };
        for reservation in reservations.iter().filter(is_new) {
            let fields = format_args!(
                "engine={} memory_mb={} for_ms={} has_unlisted_orders={}",
                reservation.engine,
                reservation.memory_mb,
                reservation.for_ms,
                reservation.has_unlisted_orders,
            );
            event_log::write(LogPriority::Decision, "memory_reserved", fields);
        }
        let is_over = |engine: &&BackEndId| !self.reservations.contains_key(*engine);
        for engine in previous.keys().filter(is_over) {
            let fields = format_args!("engine={engine}");
            event_log::write(LogPriority::Decision, "memory_released", fields);
        }
    }

    /// Logs the number of concurrent loads that each weight store is thought to perform at full
    /// speed, when it changes.
    pub fn write_load_windows(&mut self, records: &StoreRecords) {
        for (service, record) in records {
            let max_loads = record.concurrency.max_loads as usize;
            let previous = self.load_windows.insert(service.clone(), max_loads);
            if previous != Some(max_loads) {
                let fields = format_args!(
                    "service={service} max_loads={max_loads} has_been_saturated={} confirmed_loads={}",
                    record.concurrency.has_been_saturated,
                    record.concurrency.confirmed_loads.unwrap_or(0),
                );
                event_log::write(LogPriority::Decision, "load_window", fields);
            }
        }
    }
}

/// Logs loads from weight stores that have ended, and counts them.
pub fn write_ended_loads(shared: &Shared, ended: &[(ServiceId, EndedLoad)]) {
    for (service, load) in ended {
        let speed = if load.is_slow() { "slow" } else { "full" };
        shared.metrics.store_loads.with_label_values(&[speed]).inc();
        let fields = format_args!(
            "service={service} engine={} took_ms={} uncontended_ms={} concurrent_loads={} speed={speed}",
            load.engine,
            load.duration_ms,
            load.uncontended_duration.as_millis(),
            load.concurrent_loads,
        );
        event_log::write(LogPriority::Decision, "store_load_ended", fields);
    }
}

/// What a new holder knows when it makes its first plan.
pub struct PlacementStart {
    /// Number of rows that previous holders wrote.
    pub rows: usize,
    /// Number of back ends in discovery.
    pub back_ends: usize,
    /// Number of gateways that have sent their demand.
    pub reporting_gateways: usize,
    /// Number of gateways that have a row.
    pub known_gateways: usize,
    /// Time since the lease was taken.
    pub waited: Duration,
}

/// Logs what a new holder knows when it makes its first plan.
pub fn write_start(start: &PlacementStart) {
    let fields = format_args!(
        "rows={} back_ends={} reporting_gateways={} known_gateways={} waited_ms={}",
        start.rows,
        start.back_ends,
        start.reporting_gateways,
        start.known_gateways,
        start.waited.as_millis(),
    );
    event_log::write(LogPriority::Decision, "placement_started", fields);
}

/// Logs the response of an engine to a poll.
pub fn write_report(action: &Action, report: Option<&EngineReport>) {
    let fields = format_args!(
        "engine={} reason=\"{}\" report={report:?}",
        action.engine, action.reason
    );
    event_log::write(LogPriority::Decision, "engine_report", fields);
}

/// Logs an order with its result, and counts it.
pub fn write_order(
    shared: &Shared,
    action: &Action,
    order: &OrderKind,
    sequence: u64,
    fence: u64,
    result: OrderResult,
) {
    let label = format!("{result:?}");
    shared.metrics.orders.with_label_values(&[&label]).inc();
    let fields = format_args!(
        "engine={} order={order:?} sequence={sequence} fence={fence} reason=\"{}\" result={label}",
        action.engine, action.reason
    );
    event_log::write(LogPriority::Decision, "order", fields);
}
