//! Summarises a history in a few metrics.

use std::collections::BTreeMap;
use std::fmt;

use crate::checker::outcome::{first_token_times, load_count, quantile_of};
use crate::history::{CallerOutcome, History};

/// Metrics of one history. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Number of attempts of callers by the name of their outcome.
    pub outcome_counts: BTreeMap<String, u32>,
    /// Number of loads that engines started.
    pub loads: u32,
    /// Median of the time to the first token.
    pub first_token_p50: u64,
    /// 99th percentile of the time to the first token.
    pub first_token_p99: u64,
    /// Number of executions at back outcome_counts.
    pub executions: usize,
}

impl Summary {
    /// Computes the summary of a history.
    pub fn of(history: &History) -> Self {
        let mut outcome_counts: BTreeMap<String, u32> = BTreeMap::new();
        for attempt in history.callers.iter().flat_map(|caller| &caller.attempts) {
            let name = match &attempt.end {
                Some((_, CallerOutcome::Answered { .. })) => "answered".to_owned(),
                Some((_, CallerOutcome::Refused { reason, ran, .. })) => {
                    format!("refused {reason:?} ran {ran:?}")
                }
                Some((_, CallerOutcome::Interrupted)) => "interrupted".to_owned(),
                Some((_, CallerOutcome::NodeDied)) => "node died".to_owned(),
                None => "open".to_owned(),
            };
            *outcome_counts.entry(name).or_default() += 1;
        }
        let times = first_token_times(history, None);
        Summary {
            outcome_counts,
            loads: load_count(history),
            first_token_p50: quantile_of(&times, 0.5) / 1_000,
            first_token_p99: quantile_of(&times, 0.99) / 1_000,
            executions: history.executions.len(),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome_counts: Vec<String> = self
            .outcome_counts
            .iter()
            .map(|(name, count)| format!("{name}: {count}"))
            .collect();
        write!(
            formatter,
            "{}; loads: {}; executions: {}; first token p50 {} ms, p99 {} ms",
            outcome_counts.join(", "),
            self.loads,
            self.executions,
            self.first_token_p50,
            self.first_token_p99
        )
    }
}
