//! The gorsebank node: a tokio shell around the coordination logic.
//!
//! Callers' requests and operators' changes flow in over HTTP, messages of
//! other nodes over TCP; requests flow out to back ends, transactions to the
//! table service. Every decision is made by [`gorsebank_coordination::Node`].

pub mod admin;
pub mod caller;
pub mod host;
pub mod links;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod state_log;

pub use host::Host;
pub use process::{NodeProcess, ProcessError};
pub use settings::{NodeSettings, SettingsError};
