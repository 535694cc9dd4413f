//! Plays traces on many seeds and prints what came of each.

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

/// Violations that are printed of one failed run.
const VIOLATIONS_SHOWN: usize = 5;
/// Events of the history that are printed before a violation.
const EVENTS_SHOWN: usize = 15;

/// Seeds from `first` up to but not including `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRange {
    /// The first.
    pub first: u64,
    /// One after the last.
    pub end: u64,
}

/// A text that is no range of seeds.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{0}` is no range of seeds: expected A..B with A below B")]
pub struct SeedRangeError(String);

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refuse = || SeedRangeError(text.to_owned());
        let (first, end) = text.split_once("..").ok_or_else(refuse)?;
        let first: u64 = first.parse().map_err(|_| refuse())?;
        let end: u64 = end.parse().map_err(|_| refuse())?;
        if first >= end {
            return Err(refuse());
        }
        Ok(SeedRange { first, end })
    }
}

/// What to play.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seeds.
    pub seeds: SeedRange,
    /// A mechanism that is taken away.
    pub without: Option<Ablation>,
    /// Print figures of the first seed also of traces that passed.
    pub figures: bool,
    /// Traces, or directories of traces.
    pub paths: Vec<PathBuf>,
}

/// A trace on one seed.
#[derive(Clone, Debug)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// What must not be.
    pub violations: Vec<Violation>,
    /// What led to it; empty if all was well.
    pub history: Vec<(u64, String)>,
    /// Figures.
    pub summary: Summary,
}

/// Plays one trace on one seed.
pub fn play_seed(trace: &Trace, seed: u64, without: Option<Ablation>) -> SeedResult {
    let history = simulation::play(trace, seed, without);
    let violations = checker::check(&history, &trace.outcomes);
    let log = if violations.is_empty() {
        Vec::new()
    } else {
        events_before(&history, violations[0].at)
    };
    SeedResult {
        seed,
        violations,
        history: log,
        summary: Summary::of(&history),
    }
}

fn events_before(history: &History, at: u64) -> Vec<(u64, String)> {
    let before: Vec<(u64, String)> = history
        .log
        .iter()
        .filter(|(time, _)| *time <= at)
        .cloned()
        .collect();
    let skipped = before.len().saturating_sub(EVENTS_SHOWN);
    before.into_iter().skip(skipped).collect()
}

/// Plays all traces and prints their outcomes; says whether all passed.
pub fn run(options: &RunOptions) -> Result<bool, TraceError> {
    let traces = read_all(&options.paths)?;
    let (mut passed, mut failed) = (0, 0);
    for trace in &traces {
        let results: Vec<SeedResult> = (options.seeds.first..options.seeds.end)
            .into_par_iter()
            .map(|seed| play_seed(trace, seed, options.without))
            .collect();
        let bad: Vec<&SeedResult> = results
            .iter()
            .filter(|result| !result.violations.is_empty())
            .collect();
        if bad.is_empty() {
            passed += 1;
            println!("ok     {} ({} seeds)", trace.header.trace, results.len());
            if options.figures {
                println!("  seed {}: {}", results[0].seed, results[0].summary);
            }
        } else {
            failed += 1;
            print_failure(trace, &bad, results.len());
        }
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

fn print_failure(trace: &Trace, bad: &[&SeedResult], seeds: usize) {
    println!(
        "FAILED {} ({} of {seeds} seeds)",
        trace.header.trace,
        bad.len()
    );
    let first = bad[0];
    println!("  seed {}: {}", first.seed, first.summary);
    for (at, event) in &first.history {
        println!("    {:9.3} s  {event}", *at as f64 / 1e6);
    }
    for violation in first.violations.iter().take(VIOLATIONS_SHOWN) {
        println!("    {violation}");
    }
    let seeds: Vec<u64> = bad.iter().map(|result| result.seed).collect();
    println!("  failed seeds: {seeds:?}");
}

/// All traces under `paths`, by name.
pub fn read_all(paths: &[PathBuf]) -> Result<Vec<Trace>, TraceError> {
    let mut files = Vec::new();
    for path in paths {
        collect(path, &mut files)?;
    }
    files.sort();
    files.iter().map(|file| Trace::read(file)).collect()
}

fn collect(path: &Path, files: &mut Vec<PathBuf>) -> Result<(), TraceError> {
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
            collect(&entry, files)?;
        }
    }
    Ok(())
}
