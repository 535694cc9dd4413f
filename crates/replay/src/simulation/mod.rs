//! A world in virtual time around the decision logic that the node runs.
//!
//! One event queue; everything that takes time is an event. The same seed gives
//! the same history.

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

pub use world::{Simulation, play};
