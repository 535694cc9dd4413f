//! What a policy cost: cold starts, idle accelerator hours, refusals, loads.

use std::collections::BTreeMap;

use gorsebank_contract::PriorityClass;
use gorsebank_emulator::model::engine::EngineEvent;
use gorsebank_world::{Artifact, BackEndId};
use serde::Serialize;

use crate::checker::outcome::{load_count, quantile_of};
use crate::history::{CallerEnd, History};

/// Microseconds in an hour.
const HOUR: f64 = 3.6e9;
/// Version of the artifacts of generated traces.
const VERSION: &str = "1";

/// Figures of one policy on one trace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Interactive requests that came while their model was loaded nowhere.
    pub cold_requests: usize,
    /// Their median time to the first token, in milliseconds.
    pub cold_p50: u64,
    /// The 99th percentile.
    pub cold_p99: u64,
    /// The longest.
    pub cold_max: u64,
    /// The 99th percentile over all interactive requests.
    pub all_p99: u64,
    /// Accelerator hours that artifacts held memory without running anything:
    /// hours times the share of an engine's memory.
    pub idle_hours: f64,
    /// Requests that were refused.
    pub refusals: usize,
    /// Requests that ended without a whole answer in another way.
    pub failures: usize,
    /// Loads.
    pub loads: u32,
}

/// A time during which an artifact was loaded on an engine.
struct Residence {
    back_end: BackEndId,
    artifact: Artifact,
    from: u64,
    until: u64,
    share: f64,
}

impl Figures {
    /// The figures of a history.
    pub fn of(history: &History) -> Self {
        let residences = residences(history);
        let (cold, all) = first_tokens(history, &residences);
        let ends = history
            .callers
            .iter()
            .filter_map(|caller| caller.tries.last())
            .map(|attempt| attempt.end.as_ref().map(|(_, end)| end));
        let mut refusals = 0;
        let mut failures = 0;
        for end in ends {
            match end {
                Some(CallerEnd::Answered { .. }) => {}
                Some(CallerEnd::Refused { .. }) => refusals += 1,
                _ => failures += 1,
            }
        }
        Figures {
            cold_requests: cold.len(),
            cold_p50: milliseconds(&cold, 0.5),
            cold_p99: milliseconds(&cold, 0.99),
            cold_max: milliseconds(&cold, 1.0),
            all_p99: milliseconds(&all, 0.99),
            idle_hours: idle_hours(history, &residences),
            refusals,
            failures,
            loads: load_count(history),
        }
    }
}

/// A quantile of sorted microseconds, in milliseconds; 0 if there are none.
pub fn milliseconds(sorted: &[u64], quantile: f64) -> u64 {
    if sorted.is_empty() {
        return 0;
    }
    quantile_of(sorted, quantile) / 1_000
}

/// Sorted times to the first token of interactive requests: those that came
/// while their model was loaded nowhere, and all.
fn first_tokens(history: &History, residences: &[Residence]) -> (Vec<u64>, Vec<u64>) {
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
        let loaded = by_model.get(&format!("{}@{VERSION}", caller.of));
        for attempt in &caller.tries {
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

fn residences(history: &History) -> Vec<Residence> {
    let mut residences = Vec::new();
    for (back_end, engine) in &history.engines {
        let mut held: BTreeMap<&Artifact, (u64, u64)> = BTreeMap::new();
        let mut close = |artifact: &Artifact, (from, bytes): (u64, u64), until: u64| {
            residences.push(Residence {
                back_end: back_end.clone(),
                artifact: artifact.clone(),
                from,
                until,
                share: bytes as f64 / engine.memory.max(1) as f64,
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

fn idle_hours(history: &History, residences: &[Residence]) -> f64 {
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
            let busy = runs
                .get(&key)
                .map_or(0, |runs| covered(runs, residence.from, residence.until));
            let idle = (residence.until - residence.from).saturating_sub(busy);
            idle as f64 / HOUR * residence.share
        })
        .sum()
}

/// Time between `from` and `until` that the runs, in order of their beginnings,
/// cover.
fn covered(runs: &[(u64, u64)], from: u64, until: u64) -> u64 {
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
