//! Computes the cost of a policy from a history: cold starts, idle accelerator
//! hours, refusals and loads.

use std::collections::BTreeMap;

use gorsebank_contract::PriorityClass;
use gorsebank_emulator::model::engine::EngineEvent;
use gorsebank_world::{Artifact, BackEndId};
use serde::Serialize;

use crate::checker::outcome::{load_count, quantile_of};
use crate::history::{CallerOutcome, History};

/// Microseconds in an hour.
const MICROS_PER_HOUR: f64 = 3.6e9;
/// Version of the artifacts of generated traces.
const VERSION: &str = "1";

/// Metrics of one policy on one trace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PolicyMetrics {
    /// Number of interactive attempts that began while no engine had their model
    /// loaded (cold requests).
    pub cold_requests: usize,
    /// Median time to the first token of cold requests, in milliseconds.
    pub cold_p50: u64,
    /// 99th percentile of the time to the first token of cold requests, in
    /// milliseconds.
    pub cold_p99: u64,
    /// Longest time to the first token of a cold request, in milliseconds.
    pub cold_max: u64,
    /// 99th percentile of the time to the first token of all interactive requests,
    /// in milliseconds.
    pub all_p99: u64,
    /// Accelerator hours for which artifacts occupied memory without running a
    /// request: hours times the fraction of the engine's memory.
    pub idle_hours: f64,
    /// Number of requests that were refused.
    pub refusals: usize,
    /// Number of requests that got neither a complete response nor a refusal.
    pub failures: usize,
    /// Number of loads that engines started.
    pub loads: u32,
}

/// A period during which an artifact was loaded on an engine, in microseconds.
struct Residence {
    back_end: BackEndId,
    artifact: Artifact,
    from: u64,
    until: u64,
    /// Fraction of the engine's memory that the artifact occupies.
    memory_fraction: f64,
}

impl PolicyMetrics {
    /// Computes the metrics of a history.
    pub fn of(history: &History) -> Self {
        let residences = collect_residences(history);
        let (cold, all) = first_token_times(history, &residences);
        let outcomes = history
            .callers
            .iter()
            .filter_map(|caller| caller.attempts.last())
            .map(|attempt| attempt.end.as_ref().map(|(_, end)| end));
        let mut refusals = 0;
        let mut failures = 0;
        for outcome in outcomes {
            match outcome {
                Some(CallerOutcome::Answered { .. }) => {}
                Some(CallerOutcome::Refused { .. }) => refusals += 1,
                _ => failures += 1,
            }
        }
        PolicyMetrics {
            cold_requests: cold.len(),
            cold_p50: quantile_ms(&cold, 0.5),
            cold_p99: quantile_ms(&cold, 0.99),
            cold_max: quantile_ms(&cold, 1.0),
            all_p99: quantile_ms(&all, 0.99),
            idle_hours: compute_idle_hours(history, &residences),
            refusals,
            failures,
            loads: load_count(history),
        }
    }
}

/// Returns a quantile of sorted times in microseconds, converted to milliseconds;
/// 0 if there are no times.
pub fn quantile_ms(sorted: &[u64], quantile: f64) -> u64 {
    if sorted.is_empty() {
        return 0;
    }
    quantile_of(sorted, quantile) / 1_000
}

/// Returns the sorted times to the first token of interactive requests, in
/// microseconds: of cold requests, and of all.
fn first_token_times(history: &History, residences: &[Residence]) -> (Vec<u64>, Vec<u64>) {
    let mut by_model: BTreeMap<String, Vec<(u64, u64)>> = BTreeMap::new();
    for residence in residences {
        by_model
            .entry(residence.artifact.to_string())
            .or_default()
            .push((residence.from, residence.until));
    }
    let (mut cold, mut all) = (Vec::new(), Vec::new());
    for caller in &history.callers {
        if caller.class != PriorityClass::Interactive {
            continue;
        }
        let loaded = by_model.get(&format!("{}@{VERSION}", caller.target));
        for attempt in &caller.attempts {
            let Some(first) = attempt.first_event else {
                continue;
            };
            let time = first.saturating_sub(attempt.at);
            let is_warm = loaded.is_some_and(|times| {
                times
                    .iter()
                    .any(|(from, until)| (*from..*until).contains(&attempt.at))
            });
            all.push(time);
            if !is_warm {
                cold.push(time);
            }
        }
    }
    cold.sort_unstable();
    all.sort_unstable();
    (cold, all)
}

/// Returns the periods during which artifacts were loaded on engines.
fn collect_residences(history: &History) -> Vec<Residence> {
    let mut residences = Vec::new();
    for (back_end, engine) in &history.engines {
        let mut held: BTreeMap<&Artifact, (u64, u64)> = BTreeMap::new();
        let mut close = |artifact: &Artifact, (from, bytes): (u64, u64), until: u64| {
            residences.push(Residence {
                back_end: back_end.clone(),
                artifact: artifact.clone(),
                from,
                until,
                memory_fraction: bytes as f64 / engine.memory.max(1) as f64,
            });
        };
        let mut loading: BTreeMap<&Artifact, u64> = BTreeMap::new();
        for record in &engine.records {
            let at = record.at * 1_000;
            match &record.event {
                EngineEvent::LoadStarted { artifact, bytes } => {
                    loading.insert(artifact, *bytes);
                }
                EngineEvent::Loaded { artifact } => {
                    let bytes = loading.remove(artifact).unwrap_or(0);
                    held.insert(artifact, (at, bytes));
                }
                EngineEvent::Unloaded { artifact } => {
                    if let Some(times) = held.remove(artifact) {
                        close(artifact, times, at);
                    }
                }
                EngineEvent::Started => {
                    for (artifact, times) in std::mem::take(&mut held) {
                        close(artifact, times, at);
                    }
                }
                _ => {}
            }
        }
        for (artifact, times) in held {
            close(artifact, times, history.end);
        }
    }
    residences
}

/// Returns the accelerator hours for which loaded artifacts ran no request,
/// weighted by the fraction of memory that the artifacts occupied.
fn compute_idle_hours(history: &History, residences: &[Residence]) -> f64 {
    let mut runs: BTreeMap<(&BackEndId, &Artifact), Vec<(u64, u64)>> = BTreeMap::new();
    for execution in &history.executions {
        if let Some(artifact) = &execution.artifact {
            runs.entry((&execution.back_end, artifact))
                .or_default()
                .push((execution.at, execution.until));
        }
    }
    residences
        .iter()
        .map(|residence| {
            let key = (&residence.back_end, &residence.artifact);
            let busy = runs.get(&key).map_or(0, |runs| {
                covered_time(runs, residence.from, residence.until)
            });
            let idle = (residence.until - residence.from).saturating_sub(busy);
            idle as f64 / MICROS_PER_HOUR * residence.memory_fraction
        })
        .sum()
}

/// Returns the time between `from` and `until` that the runs cover. The runs are
/// sorted by their start.
fn covered_time(runs: &[(u64, u64)], from: u64, until: u64) -> u64 {
    let mut sum = 0;
    let mut reached = from;
    for (start, end) in runs {
        let start = (*start).max(reached);
        let end = (*end).min(until);
        if end > start {
            sum += end - start;
            reached = end;
        }
    }
    sum
}
