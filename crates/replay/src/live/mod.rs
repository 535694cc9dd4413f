//! Replays a trace against processes on loopback, in real time.
//!
//! Signals kill and suspend processes, relays block and delay the links between processes, and
//! emulators simulate outages of the platform. The result is the history of the run and the
//! violations of those rules that do not depend on timing.

pub mod callers;
pub mod deployment;
pub mod player;
pub mod process;
pub mod relay;

pub use deployment::{Binaries, LinkKind, LiveDeployment, free_address};
pub use player::replay_live;
