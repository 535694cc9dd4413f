//! Replays a trace in virtual time against the decision logic that nodes run in production.
//!
//! The simulation takes a trace, a seed and optionally a mechanism to disable, and returns a
//! history. Everything that takes time is an event in one queue. The same seed gives the same
//! history.

pub mod back_end;
mod back_end_events;
pub mod caller;
mod caller_events;
mod faults;
pub mod network;
mod node_events;
pub mod node_host;
pub mod operator;
pub mod platform;
pub mod queue;
pub mod world;

pub use world::{Simulation, simulate};
