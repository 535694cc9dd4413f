//! Settings of a gateway. The platform crate fills them from its own settings file.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use gorsebank_fleet::placement::LoadRateLimit;
use gorsebank_fleet::{KeyBounds, LimitBound, RetryShare};
use gorsebank_world::{NodeId, ZoneId};

/// Largest value of a duration, in the unit of its field; larger ones do not fit into a deadline.
const MAX_DURATION: f64 = 1e12;

/// The range of a number in a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueRange {
    /// A duration above 0.
    Duration,
    /// A number above 0.
    Positive,
    /// A number of at least 0.
    NonNegative,
}

impl ValueRange {
    /// Why a value is outside the range; `None` if it is inside.
    pub fn violation(self, value: f64) -> Option<&'static str> {
        match self {
            ValueRange::NonNegative if value.is_nan() || value < 0.0 => Some("must not be below 0"),
            ValueRange::NonNegative => None,
            _ if value.is_nan() || value <= 0.0 => Some("must be above 0"),
            ValueRange::Duration if value > MAX_DURATION => Some("is too large"),
            ValueRange::Duration | ValueRange::Positive => None,
        }
    }
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the process, stable across restarts.
    pub node: NodeId,
    pub zone: ZoneId,
    pub listen_callers: SocketAddr,
    pub listen_readiness: SocketAddr,
    pub metrics: Option<MetricsAddress>,
    /// Address at which this gateway relays table calls for other gateways.
    pub relay: Option<SocketAddr>,
    /// Capacity of the machine's network link in megabits per second; 0 if unknown.
    pub link_megabits: u32,
    /// CPU share of this process in thousandths of a core; 0 if unknown.
    pub millicores: u32,
    /// Memory that this process may use, in megabytes; 0 if unknown.
    pub memory_megabytes: u32,
    /// Whether all gateways start together, as at the first start of a deployment.
    pub is_initial_start: bool,
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
}

/// Address and path of the metrics endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsAddress {
    pub listen: SocketAddr,
    pub path: String,
}

impl MetricsAddress {
    /// Parses `PORT/PATH` and combines it with the machine's address. Returns `None` for any other
    /// format.
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
    /// The retry budget that all gateways share.
    pub retry_budget: RetryShare,
    /// The rate limit of loads from the weight store.
    pub load_rate_limit: LoadRateLimit,
    /// Duration of the placement lease.
    pub lease_duration: Duration,
    /// Maximum time from the commit of a back end's drain or of a new configuration in the table
    /// until every gateway knows it.
    pub propagation_bound: Duration,
    /// Maximum times until all gateways accept a new API key and reject a revoked one.
    pub keys: KeyBounds,
    /// How far all gateways together may exceed a tenant's quota.
    pub quota_bound: LimitBound,
    /// Whether back ends that are warming up fail under load, so that warm back ends are preferred.
    pub prefers_warm_back_ends: bool,
    /// Time from the start of a planned stop until the process is killed.
    pub shutdown_grace: Duration,
    /// Maximum rate of read calls to the table of all gateways together, in calls per second.
    pub table_reads_per_second: f64,
    /// Maximum rate of write calls to the table of all gateways together, in calls per second.
    pub table_writes_per_second: f64,
}

/// Address at which a gateway serves other gateways. The port is the first one of the inclusive
/// range `ports` that the metrics endpoint does not use. Returns `None` if there is no such port.
pub fn relay_address(
    address: IpAddr,
    ports: Option<(u16, u16)>,
    metrics: Option<&MetricsAddress>,
) -> Option<SocketAddr> {
    let (first, last) = ports?;
    let metrics_port = metrics.map(|metrics| metrics.listen.port());
    let port = (first..=last).find(|port| Some(*port) != metrics_port)?;
    Some(SocketAddr::new(address, port))
}
