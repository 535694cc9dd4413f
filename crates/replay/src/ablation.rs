//! Disables one mechanism of the system, to show that a trace fails without it.
//!
//! The simulation disables a mechanism by changing the inputs of the decision
//! logic or the way in which its outputs are carried out. The decision logic
//! itself has no switches for ablations.

use serde::{Deserialize, Serialize};

/// A mechanism that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Ablation {
    /// Engines execute orders without checking the fencing token, the sequence
    /// number and the incarnation.
    Fences,
    /// The table commits transactions without checking their conditions.
    Conditions,
    /// Every claim gets the response that it is recorded.
    Claims,
    /// Stream events are forwarded without checks.
    StreamChecks,
    /// An attempt whose connection broke after the request was sent is reported
    /// as never sent.
    HonestOutcomes,
    /// Deadlines are not enforced: final refusals are lost.
    Refusals,
    /// Nodes receive no update of the machine list after the first one.
    MachineList,
    /// A planned stop kills the node without a drain.
    Drain,
    /// Batch requests have the priority of interactive requests.
    Priorities,
    /// Rows of the configuration are sent only when they are written, and never
    /// sent again to nodes that missed them.
    ConfigurationRepair,
}
