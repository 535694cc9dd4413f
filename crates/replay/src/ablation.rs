//! Takes one mechanism away, to show that a trace fails without it.
//!
//! Each works from outside, on what the decision logic is told or on what is
//! done with its words; the decision logic has no switches for it.

use serde::{Deserialize, Serialize};

/// A mechanism that is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Ablation {
    /// Engines carry out orders whatever their fence, sequence and incarnation.
    Fences,
    /// The table carries out transactions whatever their conditions.
    Conditions,
    /// Every claim is answered as recorded.
    Claims,
    /// Stream events are passed on unchecked.
    StreamChecks,
    /// An attempt that broke after it was sent is reported as never sent.
    HonestOutcomes,
    /// Deadlines are not kept: final refusals are lost.
    Refusals,
    /// Nodes hear nothing of the machine list after the first reading.
    MachineList,
    /// A planned stop is a kill.
    Drain,
    /// Batch requests have the priority of interactive ones.
    Priorities,
    /// Rows of the configuration travel only when they are written.
    ConfigurationRepair,
}
