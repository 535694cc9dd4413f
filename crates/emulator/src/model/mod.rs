//! Behaviour of the emulated systems without I/O. The caller passes the time in
//! milliseconds.

pub mod engine;
pub mod store;
pub mod table;
