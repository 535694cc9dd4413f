//! Gateways reach the table for each other.
//!
//! The table may turn one gateway away, or be cut off from it, while it serves
//! the others. Such a gateway hands its calls to another one, which makes them on
//! its own connection and hands back the answer. The table still decides
//! everything: conditions, order and history are its own, so a relayed call means
//! what a direct one means.
//!
//! The same connections carry questions for news of the tables ([`crate::feed`]) and what
//! gateways tell the placement holder of their demand.
//!
//! In: calls of this gateway, calls of others. Out: their answers.

mod client;
mod message;
mod server;
mod table;

pub use client::RelayClient;
pub use message::{RelayAnswer, RelayRequest, RootCounts, ToldDemand};
pub use server::serve;
pub use table::RelayedTable;
