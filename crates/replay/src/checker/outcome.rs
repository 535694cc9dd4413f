//! Checks the outcomes that a trace states in addition to the rules.

use gorsebank_contract::PriorityClass;
use gorsebank_emulator::model::engine::EngineEvent;

use crate::checker::{Rule, Violation};
use crate::history::{CallerOutcome, CallerRecord, History};
use crate::trace::format::Outcome;

/// Returns a violation for every stated outcome that the history does not have.
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
        Outcome::Answered { of, class, share } => {
            check_answered(history, of.as_deref(), *class, *share)
        }
        Outcome::FirstToken {
            class,
            quantile,
            below,
        } => check_first_token(history, *class, *quantile, below.as_micros() as u64),
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
        Outcome::RetryAfterStated { refused } => check_retry_after(history, *refused),
        Outcome::RefusedEarly { ahead, share } => {
            check_refused_early(history, ahead.as_micros() as u64, *share)
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
        .attempts
        .iter()
        .any(|attempt| matches!(attempt.end, Some((_, CallerOutcome::Answered { .. }))))
}

fn check_answered(
    history: &History,
    of: Option<&str>,
    class: Option<PriorityClass>,
    share: f64,
) -> Option<String> {
    let callers: Vec<&CallerRecord> = history
        .callers
        .iter()
        .filter(|caller| of.is_none_or(|of| caller.target == of))
        .filter(|caller| class.is_none_or(|class| caller.class == class))
        .collect();
    let count = callers.iter().filter(|caller| is_answered(caller)).count();
    let required = callers.len() as f64 * share;
    ((count as f64) < required).then(|| {
        format!(
            "{count} of {} requests were answered, a fraction of {share} was stated",
            callers.len()
        )
    })
}

/// Returns the sorted times to the first token of the attempts that got one, in
/// microseconds.
pub fn first_token_times(history: &History, class: Option<PriorityClass>) -> Vec<u64> {
    let mut times: Vec<u64> = history
        .callers
        .iter()
        .filter(|caller| class.is_none_or(|class| caller.class == class))
        .flat_map(|caller| caller.attempts.iter())
        .filter_map(|attempt| Some(attempt.first_event? - attempt.at))
        .collect();
    times.sort_unstable();
    times
}

/// Returns the smallest value that at least the fraction `quantile` of the sorted
/// values does not exceed, or `u64::MAX` if there are no values.
pub fn quantile_of(sorted: &[u64], quantile: f64) -> u64 {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or(u64::MAX)
}

fn check_first_token(
    history: &History,
    class: Option<PriorityClass>,
    quantile: f64,
    below: u64,
) -> Option<String> {
    let times = first_token_times(history, class);
    let time = quantile_of(&times, quantile);
    (time >= below).then(|| {
        format!(
            "quantile {quantile} of the time to the first token is {} ms, below {} ms was stated",
            time / 1_000,
            below / 1_000
        )
    })
}

/// Returns the number of loads that engines started.
pub fn load_count(history: &History) -> u32 {
    history
        .engines
        .values()
        .flat_map(|engine| &engine.records)
        .filter(|record| matches!(record.event, EngineEvent::LoadStarted { .. }))
        .count() as u32
}

fn check_refused_early(history: &History, ahead: u64, share: f64) -> Option<String> {
    let is_early: Vec<bool> = history
        .callers
        .iter()
        .flat_map(|caller| caller.attempts.iter().map(move |attempt| (caller, attempt)))
        .filter_map(|(caller, attempt)| match &attempt.end {
            Some((at, CallerOutcome::Refused { .. })) => Some(at + ahead <= caller.deadline),
            _ => None,
        })
        .collect();
    let early = is_early.iter().filter(|early| **early).count();
    ((early as f64) < is_early.len() as f64 * share).then(|| {
        format!(
            "{early} of {} refusals came early, a fraction of {share} was stated",
            is_early.len()
        )
    })
}

fn check_retry_after(history: &History, min_refusals: u32) -> Option<String> {
    let refusals: Vec<Option<u64>> = history
        .callers
        .iter()
        .flat_map(|caller| &caller.attempts)
        .filter_map(|attempt| match &attempt.end {
            Some((_, CallerOutcome::Refused { retry_after, .. })) => Some(*retry_after),
            _ => None,
        })
        .collect();
    if refusals.contains(&None) {
        return Some("a refusal did not state when to retry".to_owned());
    }
    let count = refusals.len() as u32;
    (count < min_refusals)
        .then(|| format!("{count} requests were refused, at least {min_refusals} were stated"))
}
