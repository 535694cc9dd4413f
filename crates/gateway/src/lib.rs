//! A gateway forwards requests of callers to a fleet of back ends, byte for byte, and takes part in
//! placing models on these back ends.
//!
//! All gateways run the same process. Persistent state, and state that gateways share with each
//! other, is kept in rows of a table service. [`ports::Platform`] hides the differences between
//! platforms, and [`restorable_table`] orders the states of a table service that is restored from an
//! older copy.
//!
//! A request passes through these modules:
//!
//! - [`server`] manages connections of callers.
//! - [`request`] reads one request and finds its route.
//! - `tenancy` identifies the tenant and charges the request to its quota in [`tenant_quotas`].
//! - [`admission`] queues the request until a back end is available, or refuses it.
//! - [`candidates`] chooses between several back ends.
//! - [`engine_queues`] holds the queues for engines that are full.
//! - [`back_end_limits`] enforces the limits that overloaded back ends state.
//! - [`links`] connects to the back end, directly or through another gateway.
//! - [`attempt`] sends the request once.
//! - `take_up` fixes the software version of a stream that the caller takes up.
//! - [`request_memory`], [`response_memory`] and [`stream_memory`] bound the memory of bodies and events.
//! - [`single_response`] and [`stream`] combine attempts into one response.
//!
//! These modules run in the background:
//!
//! - [`feed`] receives updates of the tables from the table service or from other gateways.
//! - [`call_pacer`] limits the calls of a slow table in a large fleet.
//! - [`table_followers`] applies these updates.
//! - [`members`] registers this gateway.
//! - [`stream_origins`] records the software versions that began streams.
//! - [`demand_sender`] sends this gateway's demand to the placement holder.
//! - [`holder`] maintains the placement lease.
//! - [`placement`] places models while this process holds the lease.

pub mod adaptive_client;
pub mod adaptive_timeout;
pub mod admission;
pub mod attempt;
pub mod attempts;
pub mod back_end;
pub mod back_end_limits;
pub mod backoff;
mod body_progress;
pub mod call_pacer;
pub mod candidates;
pub mod clock;
pub mod collected_body;
pub mod demand_rows;
pub mod demand_sender;
pub mod directory;
pub mod engine_queues;
pub mod event_log;
pub mod failure;
pub mod feed;
pub mod holder;
pub mod http_connection;
mod lease_session;
pub mod links;
pub mod listener;
mod lost_connection;
pub mod members;
pub mod memory_ledger;
pub mod metrics;
pub mod orders;
mod placed_rows;
pub mod placement;
mod placement_log;
pub mod ports;
pub mod prefill_pacing;
pub mod prefill_speed_rows;
pub mod process;
pub mod quarantine;
mod quarantine_row;
pub mod refused_rows;
pub mod relay;
pub mod request;
pub mod request_memory;
mod response_head;
pub mod response_memory;
pub mod restorable_table;
pub mod server;
pub mod settings;
pub mod shared;
pub mod signals;
pub mod single_response;
pub mod stream;
pub mod stream_memory;
mod stream_origin_rows;
pub mod stream_origins;
mod suspension;
pub mod sweeper;
mod table_era;
pub mod table_followers;
mod take_up;
mod tenancy;
pub mod tenant_quotas;
pub mod timer_lag;
mod unread_body;
mod version_history_row;

pub use clock::{Clock, TimeSource};
pub use process::{Gateway, run};
pub use settings::GatewaySettings;
