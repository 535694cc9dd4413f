//! A gateway: forwards callers' requests to a fleet of back ends, byte for
//! byte, and takes part in placing models on them.
//!
//! Every process is the same. What must last, and what gateways tell each
//! other, is rows of a table; what differs between platforms is behind
//! [`ports::Platform`]. Layers, from the caller inwards: [`server`] keeps
//! connections, [`request`] reads one request and finds its route, `tenancy` finds its tenant
//! and has it counted by [`allowance`],
//! [`admission`] waits for a back end or refuses, [`candidates`] chooses
//! between several, [`back_end_limits`] keeps to what those in need say they take, [`attempt`]
//! sends once,
//! [`plain`] and [`stream`] turn attempts into one answer. Beside them
//! [`feed`] learns what is new of the tables, from the table or from other gateways, and
//! [`watch`] takes it in; [`members`] makes this gateway known, [`demand_teller`] tells
//! what is asked for,
//! [`holder`] keeps the placement lease, and [`placement`] places models while
//! this process has it.

pub mod admission;
pub mod allowance;
pub mod attempt;
pub mod attempts;
pub mod back_end;
pub mod back_end_limits;
pub mod backoff;
pub mod candidates;
pub mod clock;
pub mod demand_rows;
pub mod demand_teller;
pub mod directory;
pub mod failure;
pub mod feed;
pub mod holder;
pub mod http_connection;
pub mod lateness;
mod lease_seat;
pub mod lines;
mod lost_connection;
pub mod members;
pub mod metrics;
pub mod orders;
pub mod patience;
pub mod patient_calls;
mod placed_rows;
pub mod placement;
pub mod plain;
pub mod ports;
pub mod process;
pub mod quarantine;
mod quarantine_row;
pub mod reading_rows;
pub mod refused_rows;
pub mod relay;
pub mod request;
pub mod server;
pub mod settings;
pub mod shared;
pub mod stream;
mod suspension;
pub mod sweeper;
mod tenancy;
mod unread_body;
pub mod watch;

pub use clock::{Clock, TimeSource};
pub use process::{Gateway, run};
pub use settings::GatewaySettings;
