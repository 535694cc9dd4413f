//! Traces: a world, timed events, and stated outcomes, as JSON Lines.
//!
//! `docs/TRACES.md` describes the format for those who write traces.

pub mod format;
pub mod parse;

pub use format::{
    BackEndEntry, ChangeEvent, FaultEvent, Header, NodePlace, Outcome, RequestEvent, TableMode,
    TimedEvent, TraceEvent,
};
pub use parse::{Trace, TraceError};
