//! Replays every committed trace, with all mechanisms and without the one that the
//! trace needs.

use std::path::PathBuf;

use gorsebank_replay::run::{read_traces, run_seed};
use gorsebank_replay::trace::Trace;
use rayon::prelude::*;

/// Seeds with which every trace must pass.
const SEEDS: std::ops::Range<u64> = 0..8;
/// Seeds of which at least one must fail without the mechanism that the trace needs.
const ABLATION_SEEDS: std::ops::Range<u64> = 0..200;

fn traces() -> Vec<Trace> {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let traces = read_traces(&[directory]).expect("the committed traces can be read");
    assert!(traces.len() >= 30, "traces are missing");
    traces
}

#[test]
fn every_trace_passes_with_all_seeds() {
    let failures: Vec<String> = traces()
        .par_iter()
        .flat_map(|trace| {
            SEEDS.into_par_iter().filter_map(move |seed| {
                let result = run_seed(trace, seed, None);
                let first = result.violations.first()?;
                Some(format!("{} with seed {seed}: {first}", trace.header.trace))
            })
        })
        .collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn every_trace_fails_without_the_mechanism_that_it_needs() {
    let passed: Vec<String> = traces()
        .par_iter()
        .filter(|trace| trace.header.must_fail_without.is_some())
        .filter(|trace| {
            !ABLATION_SEEDS.into_par_iter().any(|seed| {
                let result = run_seed(trace, seed, trace.header.must_fail_without);
                !result.violations.is_empty()
            })
        })
        .map(|trace| trace.header.trace.clone())
        .collect();
    assert!(
        passed.is_empty(),
        "passed without their mechanism: {passed:?}"
    );
}

#[test]
fn replays_with_the_same_seed_have_the_same_history() {
    let traces = traces();
    let mixed = traces
        .iter()
        .find(|trace| trace.header.trace == "four-kinds-of-faults")
        .expect("the mixed trace is there");
    let first = gorsebank_replay::simulation::simulate(mixed, 7, None);
    let second = gorsebank_replay::simulation::simulate(mixed, 7, None);
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}
