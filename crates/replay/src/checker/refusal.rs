//! Checks that a request that is refused as not run did not run.

use std::collections::HashSet;

use gorsebank_contract::{ExecutionStatus, RequestId};

use crate::checker::{Rule, Violation};
use crate::history::{CallerOutcome, History};

/// Returns the violations of [`Rule::Refusal`] in the history.
pub fn check(history: &History) -> Vec<Violation> {
    let ran: HashSet<RequestId> = history
        .executions
        .iter()
        .map(|execution| execution.request)
        .collect();
    history
        .callers
        .iter()
        .flat_map(|caller| caller.attempts.iter().map(move |attempt| (caller, attempt)))
        .filter_map(|(caller, attempt)| {
            let (
                at,
                CallerOutcome::Refused {
                    ran: stated,
                    reason,
                    ..
                },
            ) = attempt.end.as_ref()?
            else {
                return None;
            };
            let is_false = *stated == ExecutionStatus::No && ran.contains(&attempt.request?);
            is_false.then(|| Violation {
                rule: Rule::Refusal,
                at: *at,
                what: format!(
                    "a request for {} was refused ({reason:?}) as not run, but ran",
                    caller.target
                ),
            })
        })
        .collect()
}
