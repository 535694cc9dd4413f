//! The gorsebank node: the tokio process that runs the coordination logic.
//!
//! In: requests of callers and changes of operators over HTTP, and messages of
//! other nodes over TCP. Out: requests to back ends, messages to other nodes, and
//! transactions to the table service. [`gorsebank_coordination::Node`] makes all
//! decisions.

pub mod admin;
pub mod caller;
pub mod host;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod peer_connections;
pub mod process;
pub mod settings;
pub mod state_log;

pub use host::Host;
pub use process::{NodeProcess, ProcessError};
pub use settings::{NodeSettings, SettingsError};
