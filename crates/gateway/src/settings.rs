//! Settings of a gateway. The platform's adapter fills them from its own file.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use gorsebank_fleet::placement::LoadBound;
use gorsebank_fleet::{KeyBounds, LimitBound, RetryShare};
use gorsebank_world::{NodeId, ZoneId};

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The process's name; the same after a restart.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub listen_callers: SocketAddr,
    /// Address at which readiness is asked.
    pub listen_readiness: SocketAddr,
    /// Address and path of the figures.
    pub metrics: Option<MetricsAddress>,
    /// Where calls of the table are relayed for other gateways.
    pub relay: Option<SocketAddr>,
    /// Capacity of the machine's link in megabits a second; 0 if it is not known.
    pub link_megabits: u32,
    /// Processor that this process has, in thousandths of a core; 0 if it is not known.
    pub millicores: u32,
    /// Whether all gateways start together, for the first time.
    pub starts_with_all: bool,
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
}

/// Where figures are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsAddress {
    /// Address.
    pub listen: SocketAddr,
    /// Path.
    pub path: String,
}

impl MetricsAddress {
    /// `PORT/PATH` on a machine with this address; none if the text is something else.
    pub fn parse(machine: IpAddr, text: &str) -> Option<Self> {
        let (port, path) = text.split_once('/')?;
        Some(MetricsAddress {
            listen: SocketAddr::new(machine, port.parse().ok()?),
            path: format!("/{path}"),
        })
    }
}

/// Bounds that the deployment sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The retry budget of all gateways.
    pub retries: RetryShare,
    /// The bound on loads from the weight store.
    pub loads: LoadBound,
    /// Length of the placement lease.
    pub lease: Duration,
    /// Within this time after the table took it, a leaving back end and a new
    /// configuration are known to every gateway.
    pub news: Duration,
    /// What is known of keys.
    pub keys: KeyBounds,
    /// How far all gateways together may be over a tenant's limit.
    pub limits: LimitBound,
    /// Whether a cold back end falls over when it is sent much: others come first.
    pub spares_cold: bool,
    /// From a planned stop until the process is killed.
    pub grace: Duration,
    /// Reading calls of the table a second, of all gateways together.
    pub table_reads: f64,
    /// Writing calls of the table a second, of all gateways together.
    pub table_writes: f64,
}

/// Where a gateway answers others: the first of the ports from the first to the last one that are
/// free for that, but for the one of its figures. None if there is none.
pub fn relay_address(
    address: IpAddr,
    ports: Option<(u16, u16)>,
    metrics: Option<&MetricsAddress>,
) -> Option<SocketAddr> {
    let (first, last) = ports?;
    let taken = metrics.map(|metrics| metrics.listen.port());
    let port = (first..=last).find(|port| Some(*port) != taken)?;
    Some(SocketAddr::new(address, port))
}
