//! A planned stop cuts no request: nobody's connection breaks at a node that
//! was asked to stop.

use crate::checker::{Rule, Violation};
use crate::history::{CallerEnd, History};

/// A cut so long after the stop was asked for belongs to it, in microseconds.
const WINDOW: u64 = 125_000_000;

/// Checks the rule. A node that is killed while it stops is not at fault, so
/// traces that kill nodes at random should not stop them too.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (node, asked) in &history.planned_stops {
        let cut = history
            .callers
            .iter()
            .flat_map(|caller| caller.tries.iter().map(move |attempt| (caller, attempt)))
            .filter(|(_, attempt)| attempt.node == *node)
            .find_map(|(caller, attempt)| match &attempt.end {
                Some((at, CallerEnd::NodeDied)) if (*asked..*asked + WINDOW).contains(at) => {
                    Some((*at, caller.of.clone()))
                }
                _ => None,
            });
        if let Some((at, of)) = cut {
            violations.push(Violation {
                rule: Rule::PlannedStop,
                at,
                what: format!("the stop of {node} cut a request for {of}"),
            });
        }
    }
    violations
}
