//! Computes the clairvoyant bound: the metrics of a plan that knows the trace.
//!
//! The plan has unlimited memory and loads each model from the fastest cache that
//! any engine has, once per burst, beginning with the first request of the burst.
//! The plan knows the gap between two uses of a model, and keeps the model loaded
//! if the gap is at most a given keep-alive time. No policy that begins loads on
//! request has shorter cold starts with fewer idle hours.

use std::collections::BTreeMap;

use gorsebank_contract::{PriorityClass, SourceTier};
use gorsebank_world::{Artifact, MachineRole, Spec};

use crate::compare::metrics::{PolicyMetrics, quantile_ms};
use crate::simulation::caller::plan_callers;
use crate::trace::Trace;
use crate::trace::format::{BackEndEntry, Header, TraceEvent};

/// Load bandwidths from disk and from main memory, equal to those of the simulator.
const DISK_BYTES_PER_SECOND: u64 = 4_000_000_000;
const MEMORY_BYTES_PER_SECOND: u64 = 20_000_000_000;
/// Microseconds in an hour.
const MICROS_PER_HOUR: f64 = 3.6e9;

/// One request for a model. Times are in microseconds from the start.
struct Use {
    at: u64,
    until: u64,
    is_interactive: bool,
}

/// Computes the metrics of the bound. The plan keeps a model loaded over gaps of
/// at most `keep_us` microseconds.
pub fn compute_metrics(trace: &Trace, keep_us: u64) -> PolicyMetrics {
    let mut cold = Vec::new();
    let mut all = Vec::new();
    let mut result = PolicyMetrics::default();
    for (model, uses) in uses_by_model(trace) {
        let Some(load) = fastest_load(&trace.header, &model) else {
            continue;
        };
        let mut loaded_until: Option<u64> = None;
        let mut ready_at = 0;
        for usage in &uses {
            let is_kept =
                loaded_until.is_some_and(|until| usage.at <= until.saturating_add(keep_us));
            if is_kept {
                let idle = usage.at.saturating_sub(loaded_until.unwrap_or(usage.at));
                result.idle_hours += idle as f64 / MICROS_PER_HOUR * load.memory_fraction;
            } else {
                let time = if loaded_until.is_some() {
                    load.repeat_time
                } else {
                    load.first_time
                };
                ready_at = usage.at + time;
                result.loads += 1;
            }
            let start = usage.at.max(ready_at);
            let first = start - usage.at + load.prefill;
            let until = usage.until + (start - usage.at);
            loaded_until = Some(loaded_until.unwrap_or(0).max(until));
            if usage.is_interactive {
                all.push(first);
                if start > usage.at {
                    cold.push(first);
                }
            }
        }
    }
    cold.sort_unstable();
    all.sort_unstable();
    result.cold_requests = cold.len();
    result.cold_p50 = quantile_ms(&cold, 0.5);
    result.cold_p99 = quantile_ms(&cold, 0.99);
    result.cold_max = quantile_ms(&cold, 1.0);
    result.all_p99 = quantile_ms(&all, 0.99);
    result
}

/// Returns the uses of each model, sorted by time.
fn uses_by_model(trace: &Trace) -> BTreeMap<String, Vec<Use>> {
    let engine = trace
        .header
        .back_ends
        .iter()
        .find(|entry| entry.role == MachineRole::Engine);
    let Some(engine) = engine else {
        return BTreeMap::new();
    };
    let nodes: Vec<_> = trace
        .header
        .nodes
        .iter()
        .map(|place| place.id.as_str().into())
        .collect();
    let mut uses: BTreeMap<String, Vec<Use>> = BTreeMap::new();
    for event in &trace.events {
        let TraceEvent::Request(request) = &event.event else {
            continue;
        };
        for (at, plan) in plan_callers(&nodes, 0, event.at, request) {
            let service = service_time(engine, plan.tokens);
            uses.entry(plan.of).or_default().push(Use {
                at,
                until: at + service,
                is_interactive: plan.class == PriorityClass::Interactive,
            });
        }
    }
    for of_model in uses.values_mut() {
        of_model.sort_by_key(|usage| usage.at);
    }
    uses
}

/// Returns the time for which an engine runs a request that produces `tokens` tokens,
/// in microseconds.
fn service_time(engine: &BackEndEntry, tokens: u32) -> u64 {
    engine.prefill.as_micros() as u64 + engine.token_interval.as_micros() as u64 * u64::from(tokens)
}

/// Load times of a model at the engine that loads it fastest, in microseconds.
struct FastestLoad {
    /// Duration of the first load.
    first_time: u64,
    /// Duration of any later load, with the checkpoint in the engine's main memory.
    repeat_time: u64,
    /// Time to the first token once the model is loaded.
    prefill: u64,
    /// Fraction of the engine's memory that the model occupies.
    memory_fraction: f64,
}

/// Returns the fastest load of a model, or `None` if the model has no row or there
/// is no engine.
fn fastest_load(header: &Header, model: &str) -> Option<FastestLoad> {
    let bytes = header.rows.iter().find_map(|row| match &row.spec {
        Spec::Model(spec) if row.name == model => Some(spec.memory.as_u64()),
        _ => None,
    })?;
    let artifact: Artifact = format!("{model}@1").parse().ok()?;
    let engines = header
        .back_ends
        .iter()
        .filter(|entry| entry.role == MachineRole::Engine);
    engines
        .map(|engine| {
            let bandwidth = match engine.cached.get(&artifact) {
                Some(SourceTier::Memory) => MEMORY_BYTES_PER_SECOND,
                Some(SourceTier::Disk) => DISK_BYTES_PER_SECOND,
                Some(SourceTier::Remote) | None => header.store.bandwidth.as_u64(),
            };
            FastestLoad {
                first_time: bytes * 1_000 / (bandwidth / 1_000).max(1),
                repeat_time: bytes * 1_000 / (MEMORY_BYTES_PER_SECOND / 1_000),
                prefill: engine.prefill.as_micros() as u64,
                memory_fraction: bytes as f64 / engine.memory.as_u64().max(1) as f64,
            }
        })
        .min_by_key(|load| load.first_time)
}
