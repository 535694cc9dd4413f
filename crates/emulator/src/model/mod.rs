//! Behaviour of stand-ins without I/O: time is passed in, in milliseconds.

pub mod engine;
pub mod store;
pub mod table;
