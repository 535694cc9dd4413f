//! Checks that a request that may not be repeated runs at most once.
//!
//! Executions belong to the same request if they have the same idempotency key
//! or, without a key, the same request id.

use std::collections::HashMap;

use crate::checker::{Rule, Violation};
use crate::history::{Execution, History};

/// Returns the violations of [`Rule::Once`] in the history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut runs: HashMap<String, Vec<&Execution>> = HashMap::new();
    for execution in &history.executions {
        if execution.repeatable {
            continue;
        }
        let name = match &execution.key {
            Some(key) => format!("key {key}"),
            None => format!("request {}", execution.request),
        };
        runs.entry(name).or_default().push(execution);
    }
    let mut violations: Vec<Violation> = runs
        .into_iter()
        .filter(|(_, runs)| runs.len() > 1)
        .map(|(name, runs)| Violation {
            rule: Rule::Once,
            at: runs[1].at,
            what: format!(
                "{name} ran {} times: {:?}",
                runs.len(),
                runs.iter()
                    .map(|run| (run.at / 1_000, run.back_end.to_string()))
                    .collect::<Vec<_>>()
            ),
        })
        .collect();
    violations.sort_by_key(|violation| violation.at);
    violations
}
