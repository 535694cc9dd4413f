//! Gateways reach the table for each other.
//!
//! The table may turn one gateway away, or be cut off from it, while it serves
//! the others. Such a gateway hands its calls to another one, which makes them on
//! its own connection and hands back the answer. The table still decides
//! everything: conditions, order and history are its own, so a relayed call means
//! what a direct one means.
//!
//! Few gateways follow the table for the others, so that its calls do not grow with the
//! gateways (`fed`): these tell what the table has confirmed not long ago.
//!
//! In: calls of this gateway, calls of others. Out: their answers.

mod cache;
mod client;
mod fed;
mod message;
mod server;
mod table;

pub use cache::TableCache;
pub use fed::{FEED_WAIT, Member};
pub use message::{RelayAnswer, RelayRequest};
pub use server::serve;
pub use table::RelayedTable;
