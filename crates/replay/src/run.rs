//! Replays traces with a range of seeds and prints the results.

use std::path::{Path, PathBuf};
use std::str::FromStr;

use rayon::prelude::*;
use thiserror::Error;

use crate::ablation::Ablation;
use crate::checker::{self, Violation};
use crate::history::History;
use crate::simulation;
use crate::summary::Summary;
use crate::trace::{Trace, TraceError};

/// Maximum number of violations that are printed for a failed trace.
const MAX_PRINTED_VIOLATIONS: usize = 5;
/// Maximum number of log events that are printed before the first violation.
const MAX_PRINTED_EVENTS: usize = 15;

/// Seeds from `first` up to but not including `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRange {
    /// The first seed.
    pub first: u64,
    /// The seed after the last one.
    pub end: u64,
}

/// Error for a text that is not a range of seeds.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a range of seeds: expected A..B with A less than B")]
pub struct SeedRangeError(String);

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || SeedRangeError(text.to_owned());
        let (first, end) = text.split_once("..").ok_or_else(invalid)?;
        let first: u64 = first.parse().map_err(|_| invalid())?;
        let end: u64 = end.parse().map_err(|_| invalid())?;
        if first >= end {
            return Err(invalid());
        }
        Ok(SeedRange { first, end })
    }
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seeds with which each trace is replayed.
    pub seeds: SeedRange,
    /// Mechanism that is disabled.
    pub without: Option<Ablation>,
    /// Whether the summary of the first seed is printed for passed traces too.
    pub print_summary: bool,
    /// Traces, or directories of traces.
    pub paths: Vec<PathBuf>,
}

/// Result of a trace with one seed.
#[derive(Clone, Debug)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// Violations of the rules and of the stated outcomes.
    pub violations: Vec<Violation>,
    /// Log events up to the first violation; empty if there is no violation.
    pub events: Vec<(u64, String)>,
    /// Summary of the history.
    pub summary: Summary,
}

/// Replays one trace with one seed.
pub fn run_seed(trace: &Trace, seed: u64, without: Option<Ablation>) -> SeedResult {
    let history = simulation::simulate(trace, seed, without);
    let violations = checker::check(&history, &trace.outcomes);
    let events = if violations.is_empty() {
        Vec::new()
    } else {
        events_before(&history, violations[0].at)
    };
    SeedResult {
        seed,
        violations,
        events,
        summary: Summary::of(&history),
    }
}

/// Returns the last log events up to the time `at`.
fn events_before(history: &History, at: u64) -> Vec<(u64, String)> {
    let before: Vec<(u64, String)> = history
        .log
        .iter()
        .filter(|(time, _)| *time <= at)
        .cloned()
        .collect();
    let skipped = before.len().saturating_sub(MAX_PRINTED_EVENTS);
    before.into_iter().skip(skipped).collect()
}

/// Replays all traces and prints the results. Returns whether all passed.
pub fn run(options: &RunOptions) -> Result<bool, TraceError> {
    let traces = read_traces(&options.paths)?;
    let (mut passed, mut failed) = (0, 0);
    for trace in &traces {
        let results: Vec<SeedResult> = (options.seeds.first..options.seeds.end)
            .into_par_iter()
            .map(|seed| run_seed(trace, seed, options.without))
            .collect();
        let failures: Vec<&SeedResult> = results
            .iter()
            .filter(|result| !result.violations.is_empty())
            .collect();
        if failures.is_empty() {
            passed += 1;
            println!("ok     {} ({} seeds)", trace.header.trace, results.len());
            if options.print_summary {
                println!("  seed {}: {}", results[0].seed, results[0].summary);
            }
        } else {
            failed += 1;
            print_failure(trace, &failures, results.len());
        }
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

fn print_failure(trace: &Trace, failures: &[&SeedResult], seed_count: usize) {
    println!(
        "FAILED {} ({} of {seed_count} seeds)",
        trace.header.trace,
        failures.len()
    );
    let first = failures[0];
    println!("  seed {}: {}", first.seed, first.summary);
    for (at, event) in &first.events {
        println!("    {:9.3} s  {event}", *at as f64 / 1e6);
    }
    for violation in first.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("    {violation}");
    }
    let seeds: Vec<u64> = failures.iter().map(|result| result.seed).collect();
    println!("  failed seeds: {seeds:?}");
}

/// Reads all traces under `paths`, sorted by path.
pub fn read_traces(paths: &[PathBuf]) -> Result<Vec<Trace>, TraceError> {
    let mut files = Vec::new();
    for path in paths {
        collect_files(path, &mut files)?;
    }
    files.sort();
    files.iter().map(|file| Trace::read(file)).collect()
}

fn collect_files(path: &Path, files: &mut Vec<PathBuf>) -> Result<(), TraceError> {
    let unreadable = |error| TraceError::Read {
        path: path.to_owned(),
        error,
    };
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in std::fs::read_dir(path).map_err(unreadable)? {
        let entry = entry.map_err(unreadable)?.path();
        let is_trace = entry.extension().is_some_and(|kind| kind == "jsonl");
        if is_trace || entry.is_dir() {
            collect_files(&entry, files)?;
        }
    }
    Ok(())
}
