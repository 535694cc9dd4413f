//! A waiting request is served or refused in time and is never dropped. A
//! connection that broke since its node died is an end that the caller sees;
//! a node that stands still cannot answer while it does.

use crate::checker::{Rule, Violation};
use crate::history::{CallerRecord, CallerTry, History};

/// An end so long after the deadline is in time, in microseconds: a tick of
/// the node and the way back.
const SLACK: u64 = 250_000;

/// Checks the rule.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for caller in &history.callers {
        for attempt in &caller.tries {
            if let Some(what) = lateness(history, caller, attempt) {
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

fn lateness(history: &History, caller: &CallerRecord, attempt: &CallerTry) -> Option<String> {
    let latest = caller.deadline + SLACK + standstill(history, attempt);
    let began = attempt.first_event.is_some_and(|at| at <= latest);
    match &attempt.end {
        Some((at, _)) if *at <= latest || began => None,
        Some((at, end)) => Some(format!(
            "a request for {} at {} ended {} ms late: {end:?}",
            caller.of,
            attempt.node,
            (at - caller.deadline) / 1_000
        )),
        None if history.end < latest || began => None,
        None => Some(format!(
            "a request for {} at {} never ended",
            caller.of, attempt.node
        )),
    }
}

/// How long the node stood still while it had the request.
fn standstill(history: &History, attempt: &CallerTry) -> u64 {
    history
        .pauses
        .iter()
        .filter(|pause| pause.node == attempt.node && pause.until > attempt.at)
        .map(|pause| pause.until - pause.from)
        .sum()
}
