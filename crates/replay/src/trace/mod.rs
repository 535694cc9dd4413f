//! The format of traces, and their parser.
//!
//! A trace is a file of JSON Lines with a deployment, timed events and stated
//! outcomes. `docs/TRACES.md` describes the format for authors of traces.

pub mod format;
pub mod parse;

pub use format::{
    BackEndEntry, ChangeEvent, FaultEvent, Header, Outcome, RequestEvent, TableMode, TimedEvent,
    TraceEvent, TraceNode,
};
pub use parse::{Trace, TraceError};
