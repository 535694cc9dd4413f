//! The clairvoyant bound: a plan that knows the trace.
//!
//! It has all the memory it wants and loads each model from the fastest cache
//! that any engine has, one load for each burst, begun when the first request
//! asks. Between two uses of a model it knows the gap, and keeps the model loaded
//! if the gap is at most `keep`. No policy that begins loads on request has
//! shorter cold starts with fewer idle hours.

use std::collections::BTreeMap;

use gorsebank_contract::{PriorityClass, SourceTier};
use gorsebank_world::{Artifact, MachineRole, Spec};

use crate::compare::figures::{Figures, milliseconds};
use crate::simulation::caller::plans;
use crate::trace::Trace;
use crate::trace::format::{BackEndEntry, Header, TraceEvent};

/// Bytes a second from disk and main memory, as the simulator has them.
const DISK_BANDWIDTH: u64 = 4_000_000_000;
const MEMORY_BANDWIDTH: u64 = 20_000_000_000;
/// Microseconds in an hour.
const HOUR: f64 = 3.6e9;

/// One use of a model, in microseconds.
struct Use {
    at: u64,
    until: u64,
    is_interactive: bool,
}

/// The figures of the bound; gaps of at most `keep` microseconds are kept.
pub fn figures(trace: &Trace, keep: u64) -> Figures {
    let mut cold = Vec::new();
    let mut all = Vec::new();
    let mut result = Figures::default();
    for (model, uses) in uses(trace) {
        let Some(load) = fastest_load(&trace.header, &model) else {
            continue;
        };
        let mut loaded_until: Option<u64> = None;
        let mut ready_at = 0;
        for usage in &uses {
            let is_kept = loaded_until.is_some_and(|until| usage.at <= until.saturating_add(keep));
            if is_kept {
                let idle = usage.at.saturating_sub(loaded_until.unwrap_or(usage.at));
                result.idle_hours += idle as f64 / HOUR * load.share;
            } else {
                let time = if loaded_until.is_some() {
                    load.again
                } else {
                    load.time
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
    result.cold_p50 = milliseconds(&cold, 0.5);
    result.cold_p99 = milliseconds(&cold, 0.99);
    result.cold_max = milliseconds(&cold, 1.0);
    result.all_p99 = milliseconds(&all, 0.99);
    result
}

fn uses(trace: &Trace) -> BTreeMap<String, Vec<Use>> {
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
        for (at, plan) in plans(&nodes, 0, event.at, request) {
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

fn service_time(engine: &BackEndEntry, tokens: u32) -> u64 {
    engine.prefill.as_micros() as u64 + engine.token.as_micros() as u64 * u64::from(tokens)
}

struct FastestLoad {
    /// The first load, in microseconds.
    time: u64,
    /// Any later one: the checkpoint is in an engine's main memory.
    again: u64,
    prefill: u64,
    share: f64,
}

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
                Some(SourceTier::Memory) => MEMORY_BANDWIDTH,
                Some(SourceTier::Disk) => DISK_BANDWIDTH,
                Some(SourceTier::Remote) | None => header.store.bandwidth.as_u64(),
            };
            FastestLoad {
                time: bytes * 1_000 / (bandwidth / 1_000).max(1),
                again: bytes * 1_000 / (MEMORY_BANDWIDTH / 1_000),
                prefill: engine.prefill.as_micros() as u64,
                share: bytes as f64 / engine.memory.as_u64().max(1) as f64,
            }
        })
        .min_by_key(|load| load.time)
}
