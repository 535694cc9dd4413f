//! Judges a history: one file a rule, and one for stated outcomes.
//!
//! The checker looks at nothing but what back ends, callers, operators and the
//! platform saw, never at counters of the system itself.

pub mod configuration;
pub mod leaving;
pub mod memory;
pub mod once;
pub mod outcome;
pub mod planned_stop;
pub mod refusal;
pub mod replicas;
pub mod served;
pub mod whole_answer;

use std::fmt;

use crate::history::History;
use crate::trace::format::Outcome;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No more replicas are loaded than decided.
    Replicas,
    /// Accelerator memory is never overcommitted.
    Memory,
    /// Requests are served or refused in time.
    Served,
    /// The whole answer goes to its own request.
    WholeAnswer,
    /// A refusal that says it did not run is true.
    Refusal,
    /// What may not be repeated runs at most once.
    Once,
    /// A leaving back end gets no new work after a few seconds.
    Leaving,
    /// A planned stop cuts no request.
    PlannedStop,
    /// Accepted configuration is everywhere in seconds and never reverts.
    Configuration,
    /// An outcome that the trace states.
    Stated,
}

/// Something that must not be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in microseconds.
    pub at: u64,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at as f64 / 1e6;
        write!(
            formatter,
            "{:?} at {seconds:.3} s: {}",
            self.rule, self.what
        )
    }
}

/// Violations of the rules that cannot depend on timing, for live replays.
pub fn check_untimed(history: &History) -> Vec<Violation> {
    let rules = [
        memory::check(history),
        whole_answer::check(history),
        refusal::check(history),
        once::check(history),
        planned_stop::check(history),
    ];
    rules.into_iter().flatten().collect()
}

/// All violations of the rules and of the stated outcomes.
pub fn check(history: &History, outcomes: &[Outcome]) -> Vec<Violation> {
    let rules = [
        replicas::check(history),
        memory::check(history),
        served::check(history),
        whole_answer::check(history),
        refusal::check(history),
        once::check(history),
        leaving::check(history),
        planned_stop::check(history),
        configuration::check(history),
        outcome::check(history, outcomes),
    ];
    rules.into_iter().flatten().collect()
}
