//! Emulators of the systems that gorsebank works with: engines, application
//! services, the table service, the weight store and the machine list.
//!
//! [`model`] contains their behaviour without I/O, for the replay tool. [`server`]
//! offers them over the same protocols as the real systems.

pub mod model;
pub mod server;
