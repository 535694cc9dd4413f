//! Plays a trace over real processes on loopback.
//!
//! Processes are killed and paused by signals, links are cut and slowed by
//! relays between them, and stand-ins bring about outages of the platform. Only
//! rules that cannot depend on timing are judged.

pub mod callers;
pub mod deployment;
pub mod player;
pub mod process;
pub mod relay;

pub use deployment::{Binaries, LinkKind, LiveDeployment, free_address};
pub use player::play_live;
