//! Checks that a planned stop of a node interrupts no request.
//!
//! No connection of a caller breaks at a node that was asked to stop.

use crate::checker::{Rule, Violation};
use crate::history::{CallerOutcome, History};

/// Time after the request to stop within which a broken connection counts as
/// caused by the stop, in microseconds.
const STOP_WINDOW_US: u64 = 125_000_000;

/// Returns the violations of [`Rule::PlannedStop`] in the history.
///
/// A node that is killed while it stops breaks connections through no fault of
/// its own, so traces that kill nodes at random should not stop nodes as well.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (node, asked) in &history.planned_stops {
        let interrupted = history
            .callers
            .iter()
            .flat_map(|caller| caller.attempts.iter().map(move |attempt| (caller, attempt)))
            .filter(|(_, attempt)| attempt.node == *node)
            .find_map(|(caller, attempt)| match &attempt.end {
                Some((at, CallerOutcome::NodeDied))
                    if (*asked..*asked + STOP_WINDOW_US).contains(at) =>
                {
                    Some((*at, caller.target.clone()))
                }
                _ => None,
            });
        if let Some((at, of)) = interrupted {
            violations.push(Violation {
                rule: Rule::PlannedStop,
                at,
                what: format!("the planned stop of {node} interrupted a request for {of}"),
            });
        }
    }
    violations
}
