//! Checks that every request is served or refused by its deadline and never dropped.
//!
//! A connection that breaks because its node died counts as an outcome, since
//! the caller sees it. The time for which a node is paused is added to the
//! deadline, since a paused node cannot respond.

use crate::checker::{Rule, Violation};
use crate::history::{CallerAttempt, CallerRecord, History};

/// Time after the deadline by which an outcome may still arrive, in microseconds:
/// a tick of the node and the network delay to the caller.
const DEADLINE_SLACK_US: u64 = 250_000;

/// Returns the violations of [`Rule::Served`] in the history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for caller in &history.callers {
        for attempt in &caller.attempts {
            if let Some(what) = describe_lateness(history, caller, attempt) {
                violations.push(Violation {
                    rule: Rule::Served,
                    at: caller.deadline,
                    what,
                });
            }
        }
    }
    violations
}

/// Describes how the attempt missed the deadline, if it did.
fn describe_lateness(
    history: &History,
    caller: &CallerRecord,
    attempt: &CallerAttempt,
) -> Option<String> {
    let latest = caller.deadline + DEADLINE_SLACK_US + paused_time(history, attempt);
    let has_begun = attempt.first_event.is_some_and(|at| at <= latest);
    match &attempt.end {
        Some((at, _)) if *at <= latest || has_begun => None,
        Some((at, end)) => Some(format!(
            "a request for {} at {} ended {} ms late: {end:?}",
            caller.target,
            attempt.node,
            (at - caller.deadline) / 1_000
        )),
        None if history.end < latest || has_begun => None,
        None => Some(format!(
            "a request for {} at {} never ended",
            caller.target, attempt.node
        )),
    }
}

/// Returns the total duration of the node's pauses that ended after the attempt
/// began, in microseconds.
fn paused_time(history: &History, attempt: &CallerAttempt) -> u64 {
    history
        .pauses
        .iter()
        .filter(|pause| pause.node == attempt.node && pause.until > attempt.at)
        .map(|pause| pause.until - pause.from)
        .sum()
}
