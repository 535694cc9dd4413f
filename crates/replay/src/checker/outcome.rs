//! Outcomes that a trace states beside the rules.

use gorsebank_contract::PriorityClass;
use gorsebank_emulator::model::engine::EngineEvent;

use crate::checker::{Rule, Violation};
use crate::history::{CallerEnd, CallerRecord, History};
use crate::trace::format::Outcome;

/// Checks every stated outcome.
pub fn check(history: &History, outcomes: &[Outcome]) -> Vec<Violation> {
    outcomes
        .iter()
        .filter_map(|outcome| check_one(history, outcome))
        .map(|what| Violation {
            rule: Rule::Stated,
            at: history.end,
            what,
        })
        .collect()
}

fn check_one(history: &History, outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Answered { of, class, share } => answered(history, of.as_deref(), *class, *share),
        Outcome::FirstToken {
            class,
            quantile,
            below,
        } => first_token(history, *class, *quantile, below.as_micros() as u64),
        Outcome::Loads { at_most } => {
            let loads = load_count(history);
            (loads > *at_most).then(|| format!("{loads} loads, at most {at_most} were stated"))
        }
        Outcome::Accepted { changes } => {
            let accepted = history
                .changes
                .iter()
                .filter(|change| change.accepted.is_some())
                .count() as u32;
            (accepted != *changes).then(|| {
                let errors: Vec<&str> = history
                    .changes
                    .iter()
                    .filter_map(|change| change.error.as_deref())
                    .collect();
                format!("{accepted} changes were accepted, not {changes}: {errors:?}")
            })
        }
        Outcome::RetryAfterStated { refused } => retry_after(history, *refused),
        Outcome::RefusedEarly { ahead, share } => {
            refused_early(history, ahead.as_micros() as u64, *share)
        }
        Outcome::Executions { at_least } => {
            let executions = history.executions.len() as u32;
            (executions < *at_least)
                .then(|| format!("{executions} executions, at least {at_least} were stated"))
        }
    }
}

fn is_answered(caller: &CallerRecord) -> bool {
    caller
        .tries
        .iter()
        .any(|attempt| matches!(attempt.end, Some((_, CallerEnd::Answered { .. }))))
}

fn answered(
    history: &History,
    of: Option<&str>,
    class: Option<PriorityClass>,
    share: f64,
) -> Option<String> {
    let callers: Vec<&CallerRecord> = history
        .callers
        .iter()
        .filter(|caller| of.is_none_or(|of| caller.of == of))
        .filter(|caller| class.is_none_or(|class| caller.class == class))
        .collect();
    let count = callers.iter().filter(|caller| is_answered(caller)).count();
    let wanted = callers.len() as f64 * share;
    ((count as f64) < wanted).then(|| {
        format!(
            "{count} of {} requests were answered, {share} of them were stated",
            callers.len()
        )
    })
}

/// Times to the first token of answered requests, in microseconds, sorted.
pub fn first_token_times(history: &History, class: Option<PriorityClass>) -> Vec<u64> {
    let mut times: Vec<u64> = history
        .callers
        .iter()
        .filter(|caller| class.is_none_or(|class| caller.class == class))
        .flat_map(|caller| caller.tries.iter())
        .filter_map(|attempt| Some(attempt.first_event? - attempt.at))
        .collect();
    times.sort_unstable();
    times
}

/// The value that `quantile` of the sorted values do not exceed.
pub fn quantile_of(sorted: &[u64], quantile: f64) -> u64 {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or(u64::MAX)
}

fn first_token(
    history: &History,
    class: Option<PriorityClass>,
    quantile: f64,
    below: u64,
) -> Option<String> {
    let times = first_token_times(history, class);
    let time = quantile_of(&times, quantile);
    (time >= below).then(|| {
        format!(
            "quantile {quantile} of the time to the first token is {} ms, below {} was stated",
            time / 1_000,
            below / 1_000
        )
    })
}

/// Loads that engines started.
pub fn load_count(history: &History) -> u32 {
    history
        .engines
        .values()
        .flat_map(|engine| &engine.records)
        .filter(|record| matches!(record.event, EngineEvent::LoadStarted { .. }))
        .count() as u32
}

fn refused_early(history: &History, ahead: u64, share: f64) -> Option<String> {
    let times: Vec<bool> = history
        .callers
        .iter()
        .flat_map(|caller| caller.tries.iter().map(move |attempt| (caller, attempt)))
        .filter_map(|(caller, attempt)| match &attempt.end {
            Some((at, CallerEnd::Refused { .. })) => Some(at + ahead <= caller.deadline),
            _ => None,
        })
        .collect();
    let early = times.iter().filter(|early| **early).count();
    ((early as f64) < times.len() as f64 * share).then(|| {
        format!(
            "{early} of {} refusals came early, {share} were stated",
            times.len()
        )
    })
}

fn retry_after(history: &History, least: u32) -> Option<String> {
    let refusals: Vec<Option<u64>> = history
        .callers
        .iter()
        .flat_map(|caller| &caller.tries)
        .filter_map(|attempt| match &attempt.end {
            Some((_, CallerEnd::Refused { retry_after, .. })) => Some(*retry_after),
            _ => None,
        })
        .collect();
    if refusals.contains(&None) {
        return Some("a refused request was not told when to come back".to_owned());
    }
    let count = refusals.len() as u32;
    (count < least).then(|| format!("{count} requests were refused, {least} were stated"))
}
