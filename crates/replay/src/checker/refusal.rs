//! A refusal that says a request did not run is true.

use std::collections::HashSet;

use gorsebank_contract::{Ran, RequestId};

use crate::checker::{Rule, Violation};
use crate::history::{CallerEnd, History};

/// Checks the rule.
pub fn check(history: &History) -> Vec<Violation> {
    let ran: HashSet<RequestId> = history
        .executions
        .iter()
        .map(|execution| execution.request)
        .collect();
    history
        .callers
        .iter()
        .flat_map(|caller| caller.tries.iter().map(move |attempt| (caller, attempt)))
        .filter_map(|(caller, attempt)| {
            let (
                at,
                CallerEnd::Refused {
                    ran: said, reason, ..
                },
            ) = attempt.end.as_ref()?
            else {
                return None;
            };
            let is_lie = *said == Ran::No && ran.contains(&attempt.request?);
            is_lie.then(|| Violation {
                rule: Rule::Refusal,
                at: *at,
                what: format!(
                    "a request for {} was refused ({reason:?}) as not run, but ran",
                    caller.of
                ),
            })
        })
        .collect()
}
