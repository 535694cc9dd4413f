//! Checks that a caller gets the complete response to its own request.
//!
//! A response that ends successfully has every event of that request's stream
//! exactly once and in order.

use crate::checker::{Rule, Violation};
use crate::history::{CallerAttempt, CallerOutcome, History};

/// Returns the violations of [`Rule::WholeAnswer`] in the history.
pub fn check(history: &History) -> Vec<Violation> {
    history
        .callers
        .iter()
        .flat_map(|caller| caller.attempts.iter())
        .filter_map(|attempt| {
            let (at, CallerOutcome::Answered { whole }) = attempt.end.as_ref()? else {
                return find_foreign_event(attempt).map(|what| (attempt.at, what));
            };
            find_foreign_event(attempt)
                .or_else(|| describe_incomplete(attempt, *whole))
                .map(|what| (*at, what))
        })
        .map(|(at, what)| Violation {
            rule: Rule::WholeAnswer,
            at,
            what,
        })
        .collect()
}

/// Describes the first event of another request in the response, however the
/// response ended.
fn find_foreign_event(attempt: &CallerAttempt) -> Option<String> {
    let own = format!("{}-", attempt.request?);
    let (stream, _) = attempt
        .received
        .iter()
        .find(|(stream, _)| !stream.starts_with(&own))?;
    Some(format!("the response to {own} has an event of {stream}"))
}

/// Describes the received events if they are not the `event_count` events of the
/// complete response in order.
fn describe_incomplete(attempt: &CallerAttempt, event_count: u64) -> Option<String> {
    let numbers: Vec<u64> = attempt.received.iter().map(|(_, number)| *number).collect();
    let expected: Vec<u64> = (0..event_count).collect();
    (numbers != expected)
        .then(|| format!("a response of {event_count} events arrived as {numbers:?}"))
}
