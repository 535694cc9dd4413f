//! A soak: real gateways under faults from outside, and promises checked on what callers
//! and back ends saw.
//!
//! Each run follows a seed: which faults strike when, and what callers send. By itself the
//! test plays a few seeds for some seconds each; `GORSEBANK_SOAK_SEEDS` (how many, from a
//! drawn one on, or `FIRST..LAST`) and `GORSEBANK_SOAK_SECONDS` make it longer,
//! `GORSEBANK_SOAK_GATEWAYS` larger; `GORSEBANK_SOAK_REPORT` names a folder for reports and
//! for the lines of each gateway's process. A run has three gateways, two callers for each, six back
//! ends, on loopback; it ends only processes that it started. Its line tells requests, faults
//! by kind and findings.

#[path = "../../../../platform/tests/support/mod.rs"]
mod platform;

mod broken;
mod callers;
mod gateways;
mod history;
mod plan;
mod promises;
mod report;
mod run;
mod statements;

use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use plan::plan;
use report::Report;
use run::{Beside, Play};

/// Seeds that are always played.
const SEEDS: Range<u64> = 1..4;
/// Seeds that showed a fault; they stay as they are.
const SEEDS_WITH_A_FAULT: [u64; 1] = [557];
/// Length of a run's faults, in seconds.
const SECONDS: u64 = 12;
/// Gateways.
const GATEWAYS: u64 = 3;
/// A run has so many gateways at most: each is a process.
const MOST_GATEWAYS: u64 = 60;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_under_faults_from_outside() {
    let gateways = number("GORSEBANK_SOAK_GATEWAYS").unwrap_or(GATEWAYS);
    let gateways = gateways.clamp(1, MOST_GATEWAYS) as usize;
    hold(seeds(), run_length(), gateways, Beside::Nothing).await;
}

/// The same, where back ends also say for a while how few requests they take.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_where_back_ends_state_limits() {
    hold(seeds(), run_length(), GATEWAYS as usize, Beside::Limits).await;
}

/// The same, where rows of back ends are spoiled for a while, and back ends start again under
/// the names that they had.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_where_rows_are_spoiled_and_names_come_back() {
    hold(seeds(), run_length(), GATEWAYS as usize, Beside::Rows).await;
}

/// The same, where back ends also say in their answers that they leave, or turn requests away and
/// ask for pauses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_where_back_ends_leave_by_answers_or_ask_for_pauses() {
    hold(seeds(), run_length(), GATEWAYS as usize, Beside::Statements).await;
}

/// Orders of a former holder followed those of a newer one, one at each of two engines, once in
/// five plays of this seed: the former one was asked to stop while the table lost its answers,
/// and ordered on after its hand-back, which the table had made.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_with_seeds_that_showed_a_fault() {
    let length = Duration::from_secs(SECONDS);
    hold(
        SEEDS_WITH_A_FAULT,
        length,
        GATEWAYS as usize,
        Beside::Nothing,
    )
    .await;
}

/// A request that had ended three back ends was sent to five others later than the bound, three
/// are allowed, in one of four plays of this seed. It kills all gateways at once, twice, while the
/// request comes again, the second time when the table has just been throttled and lost its answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_ending_request_is_kept_away_though_all_gateways_are_killed_twice() {
    let length = Duration::from_secs(SECONDS);
    hold([5102], length, GATEWAYS as usize, Beside::Nothing).await;
}

/// Plays seeds, and fails if any promise was broken.
async fn hold(
    seeds: impl IntoIterator<Item = u64>,
    length: Duration,
    gateways: usize,
    beside: Beside,
) {
    let mut broken = Vec::new();
    for seed in seeds {
        let folder = std::env::var_os("GORSEBANK_SOAK_REPORT").map(PathBuf::from);
        let logs = folder
            .as_ref()
            .map(|folder| folder.join(format!("seed-{seed}")));
        let play = Play {
            seed,
            length,
            gateways,
            beside,
            logs,
        };
        let history = run::play(play).await;
        let findings = promises::check(&history);
        let plan = plan(seed, length);
        let report = Report::new(seed, &plan, &history, &findings);
        println!("{}", account(&report, history.tries.len()));
        if let Some(folder) = folder {
            let written = report.write(&folder, &plan);
            written.expect("GORSEBANK_SOAK_REPORT: a folder to write to");
        }
        for finding in &findings {
            println!("  seed {seed}: {:?}: {}", finding.promise, finding.what);
        }
        if !findings.is_empty() {
            broken.push(seed);
        }
    }
    assert!(
        broken.is_empty(),
        "promises were broken with seeds {broken:?}"
    );
}

/// Length of a run's faults: `GORSEBANK_SOAK_SECONDS`, or else `SECONDS`. Regression seeds ignore
/// the variable.
fn run_length() -> Duration {
    Duration::from_secs(number("GORSEBANK_SOAK_SECONDS").unwrap_or(SECONDS))
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn seeds() -> Range<u64> {
    let Ok(asked) = std::env::var("GORSEBANK_SOAK_SEEDS") else {
        return SEEDS;
    };
    let bounds = asked.split_once("..");
    let bounds = bounds.and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
    if let Some((first, last)) = bounds {
        return first..last;
    }
    let count: u64 = asked
        .parse()
        .expect("GORSEBANK_SOAK_SEEDS: a count, or FIRST..LAST");
    let first = rand::random::<u32>().into();
    first..first + count
}

/// One line on a run.
fn account(report: &Report, requests: usize) -> String {
    let (seed, findings) = (report.seed, report.findings.len());
    let (ends, faults) = (&report.ends, &report.faults);
    format!("seed {seed}: {requests} requests {ends:?}, faults {faults:?}, {findings} findings")
}
