//! Stand-ins for what surrounds gorsebank: engines, application services, the
//! table service, the weight store and the machine list.
//!
//! `model` holds their behaviour without I/O, as the replay tool uses it;
//! `server` puts it behind the published protocols.

pub mod model;
pub mod server;
