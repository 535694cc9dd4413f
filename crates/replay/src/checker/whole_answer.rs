//! A caller gets the whole answer to its own request: an answer that ends well
//! has every event of that request's stream, in order and once.

use crate::checker::{Rule, Violation};
use crate::history::{CallerEnd, CallerTry, History};

/// Checks the rule.
pub fn check(history: &History) -> Vec<Violation> {
    history
        .callers
        .iter()
        .flat_map(|caller| caller.tries.iter())
        .filter_map(|attempt| {
            let (at, CallerEnd::Answered { whole }) = attempt.end.as_ref()? else {
                return foreign(attempt).map(|what| (attempt.at, what));
            };
            foreign(attempt)
                .or_else(|| incomplete(attempt, *whole))
                .map(|what| (*at, what))
        })
        .map(|(at, what)| Violation {
            rule: Rule::WholeAnswer,
            at,
            what,
        })
        .collect()
}

/// Events of another request, in an answer of whatever end.
fn foreign(attempt: &CallerTry) -> Option<String> {
    let own = format!("{}-", attempt.request?);
    let (stream, _) = attempt
        .received
        .iter()
        .find(|(stream, _)| !stream.starts_with(&own))?;
    Some(format!("the answer to {own} has an event of {stream}"))
}

fn incomplete(attempt: &CallerTry, whole: u64) -> Option<String> {
    let numbers: Vec<u64> = attempt.received.iter().map(|(_, number)| *number).collect();
    let expected: Vec<u64> = (0..whole).collect();
    (numbers != expected).then(|| format!("an answer of {whole} events came as {numbers:?}"))
}
