//! HTTP servers of the emulated systems, which speak the protocols of the real ones.

pub mod application;
pub mod clock;
pub mod engine;
pub mod machine_list;
pub mod serve;
pub mod store;
pub mod stream;
pub mod table;
