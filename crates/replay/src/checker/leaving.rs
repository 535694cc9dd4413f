//! A back end that is leaving gets no new work after a few seconds.

use crate::checker::{Rule, Violation};
use crate::history::History;

/// From the moment at which the machine list shows it, in microseconds: a
/// reading of the list, its way to all nodes, and the life of a grant.
const FEW_SECONDS: u64 = 5_000_000;

/// Checks the rule.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for leave in &history.leaves {
        let late = history.executions.iter().find(|execution| {
            execution.back_end == leave.back_end && execution.at > leave.visible + FEW_SECONDS
        });
        if let Some(execution) = late {
            violations.push(Violation {
                rule: Rule::Leaving,
                at: execution.at,
                what: format!(
                    "{} got work {} ms after it was listed as leaving",
                    leave.back_end,
                    (execution.at - leave.visible) / 1_000
                ),
            });
        }
    }
    violations
}
