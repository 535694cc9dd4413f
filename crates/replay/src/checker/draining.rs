//! Checks that a draining back end gets no new requests after a fixed time.

use crate::checker::{Rule, Violation};
use crate::history::History;

/// Time after which a draining back end gets no new requests, in microseconds
/// from the moment at which the machine list shows the drain. It covers a poll
/// of the list, its distribution to all nodes, and the validity of a grant.
const DRAIN_BOUND_US: u64 = 5_000_000;

/// Returns the violations of [`Rule::Leaving`] in the history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for drain in &history.drains {
        let late = history.executions.iter().find(|execution| {
            execution.back_end == drain.back_end && execution.at > drain.visible + DRAIN_BOUND_US
        });
        if let Some(execution) = late {
            violations.push(Violation {
                rule: Rule::Leaving,
                at: execution.at,
                what: format!(
                    "{} got a request {} ms after the machine list showed its drain",
                    drain.back_end,
                    (execution.at - drain.visible) / 1_000
                ),
            });
        }
    }
    violations
}
