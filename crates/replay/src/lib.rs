//! Replays recorded traces against stated outcomes.
//!
//! A trace describes a deployment, timed events and stated outcomes. The
//! simulation replays a trace in virtual time with a seed and runs the same
//! decision logic as the node. The checker judges the resulting history of back
//! ends and callers. Traces can also be replayed live, over real processes.

pub mod ablation;
pub mod checker;
pub mod compare;
pub mod generate;
pub mod history;
pub mod live;
pub mod record;
pub mod run;
pub mod simulation;
pub mod summary;
pub mod trace;
