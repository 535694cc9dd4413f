//! Access to the table through other gateways.
//!
//! The table may throttle one gateway, or be cut off from it, while it serves the others. Such a
//! gateway sends its calls to another gateway, which executes them on its own connection to the
//! table and returns the response. The table alone decides on conditions, order and history, so a
//! relayed call has the same semantics as a direct one.
//!
//! The same connections carry the other requests between gateways: for updates of the tables
//! ([`crate::feed`]), for quotas ([`crate::tenant_quotas`]), and to send demand to the placement
//! holder. A gateway whose links to the back ends are cut reaches them by [`tunnel`]s.
//!
//! In: calls of this gateway and of other gateways. Out: the responses.

mod client;
mod message;
mod server;
mod table;
pub mod tunnel;

pub use client::RelayClient;
pub use message::{
    GatewayDemand, RelayRequest, RelayResponse, RootCounts, TunnelRefusal, TunnelRequest,
    TunnelResponse,
};
pub use server::serve;
pub use table::RelayedTable;
