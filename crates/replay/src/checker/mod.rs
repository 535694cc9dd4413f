//! Checks a history against the system's guarantees and a trace's stated outcomes.
//!
//! The input is a [`History`], the output a list of violations. Each rule has a
//! module of its own. The checker uses only what back ends, callers, operators
//! and the platform observed, never counters of the system itself.

pub mod complete_response;
pub mod configuration;
pub mod draining;
pub mod memory;
pub mod once;
pub mod outcome;
pub mod planned_stop;
pub mod refusal;
pub mod replicas;
pub mod served;

use std::fmt;

use crate::history::History;
use crate::trace::format::Outcome;

/// A guarantee that must hold in every history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Engines load no replica that the table's plans do not permit.
    Replicas,
    /// Accelerator memory is never overcommitted.
    Memory,
    /// Requests are served or refused by their deadline.
    Served,
    /// A request gets the complete response to it and nothing else.
    WholeAnswer,
    /// A request that is refused as not run did not run.
    Refusal,
    /// A request that may not be repeated runs at most once.
    Once,
    /// A draining back end gets no new requests after a fixed time.
    Leaving,
    /// A planned stop of a node interrupts no request.
    PlannedStop,
    /// Accepted configuration reaches all nodes in time and is never reverted.
    Configuration,
    /// The outcomes that the trace states.
    Stated,
}

/// An observation that breaks a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule that is broken.
    pub rule: Rule,
    /// Time in microseconds from the start of the replay.
    pub at: u64,
    /// Description of the observation.
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

/// Returns the violations of the rules that do not depend on timing, for live
/// replays.
pub fn check_untimed(history: &History) -> Vec<Violation> {
    let rules = [
        memory::check(history),
        complete_response::check(history),
        refusal::check(history),
        once::check(history),
        planned_stop::check(history),
    ];
    rules.into_iter().flatten().collect()
}

/// Returns all violations of the rules and of the stated outcomes.
pub fn check(history: &History, outcomes: &[Outcome]) -> Vec<Violation> {
    let rules = [
        replicas::check(history),
        memory::check(history),
        served::check(history),
        complete_response::check(history),
        refusal::check(history),
        once::check(history),
        draining::check(history),
        planned_stop::check(history),
        configuration::check(history),
        outcome::check(history, outcomes),
    ];
    rules.into_iter().flatten().collect()
}
