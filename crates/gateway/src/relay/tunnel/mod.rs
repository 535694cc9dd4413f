//! Tunnels: connections to back ends that one gateway opens for another, whose own links are cut.
//!
//! ```text
//! origin --requests, bare------------------> carrier --> back end
//! origin <--frames with responses, then end-- carrier <-- back end
//! ```
//!
//! The connection between the gateways may end for reasons that have nothing to do with the back end:
//! the carrier may be killed, or a proxy may close it. Therefore the carrier states in a frame how the
//! back end's connection ended, and without this statement a response that ends with its connection
//! is not complete.
//!
//! The origin ([`origin`]) owns the HTTP exchange and alone knows whether a tunnel carries a request.
//! A stopping carrier ([`carrier`]) says so and waits until the origin has closed the tunnel.

mod carrier;
mod frames;
mod origin;

pub(in crate::relay) use carrier::serve;
pub use frames::TunnelEnd;
pub use origin::{Tunnel, TunnelError, TunnelEvent, TunnelStatus, TunnelStream, open};

/// Size of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;
