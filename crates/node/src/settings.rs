//! The settings file of a node, in TOML. In: the text of the file. Out: checked
//! settings, or an error that names the line and the field.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytesize::ByteSize;
use gorsebank_coordination::settings::{
    ClaimSettings, CoordinationSettings, MembershipSettings, PlacementSettings, RoutingSettings,
};
use gorsebank_world::{CellId, NodeEntry, NodeId, ZoneId};
use serde::{Deserialize, Deserializer};
use thiserror::Error;

/// Why a settings file was rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// The content is invalid; the message names the line and the field.
    #[error("{path}: {error}")]
    Content {
        /// The path of the file.
        path: PathBuf,
        /// The error with the line, the field and the reason.
        error: Box<toml::de::Error>,
    },
}

/// The settings of a node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The identity and the addresses of the node.
    pub node: NodeSection,
    /// The addresses of the services of the platform.
    pub platform: PlatformSection,
    /// Nodes that the node knows before it has read the machine list.
    #[serde(default)]
    pub peers: Vec<PeerSection>,
    /// Limits for requests of callers.
    #[serde(default)]
    pub limits: LimitsSection,
    /// Failure detection and membership.
    #[serde(default)]
    pub membership: MembershipSection,
    /// Queueing, dispatch and retries of requests.
    #[serde(default)]
    pub routing: RoutingSection,
    /// Placement of models on engines.
    #[serde(default)]
    pub placement: PlacementSection,
    /// Claims of idempotency keys.
    #[serde(default)]
    pub claims: ClaimsSection,
    /// Draining of a node that is shutting down.
    #[serde(default)]
    pub drain: DrainSection,
    /// Logging.
    #[serde(default)]
    pub log: LogSection,
}

/// The identity and the addresses of the node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    /// The name of the node, unique in the deployment.
    pub id: NodeId,
    /// The failure zone of the node.
    pub zone: ZoneId,
    /// The cell of the node.
    pub cell: CellId,
    /// The listen address for callers.
    pub listen_callers: SocketAddr,
    /// The listen address for other nodes.
    pub listen_nodes: SocketAddr,
    /// The listen address for operators, metrics and probes.
    pub listen_admin: SocketAddr,
}

/// The addresses of the services of the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// The addresses of the table service.
    #[serde(deserialize_with = "not_empty")]
    pub tables: Vec<SocketAddr>,
    /// The prefix of the keys of all rows.
    #[serde(default = "default_table_prefix")]
    pub table_prefix: String,
    /// The timeout of a call to the table service.
    #[serde(default = "default_table_timeout", deserialize_with = "positive_time")]
    pub table_timeout: Duration,
    /// The address of the machine list.
    pub machine_list: SocketAddr,
    /// The path of the machine list.
    #[serde(default = "default_machine_list_path")]
    pub machine_list_path: String,
}

/// A node that is known before the machine list has been read.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSection {
    /// The name of the node.
    pub id: NodeId,
    /// The address on which the node listens for other nodes.
    pub address: SocketAddr,
    /// The failure zone of the node.
    pub zone: ZoneId,
    /// The cell of the node.
    pub cell: CellId,
}

impl From<&PeerSection> for NodeEntry {
    fn from(peer: &PeerSection) -> Self {
        NodeEntry {
            id: peer.id.clone(),
            address: peer.address,
            zone: peer.zone.clone(),
            cell: peer.cell.clone(),
        }
    }
}

/// Limits for requests of callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsSection {
    /// The size limit of a request body.
    #[serde(deserialize_with = "positive_size")]
    pub body: ByteSize,
    /// The size limit of a response that is not a stream.
    #[serde(rename = "answer", deserialize_with = "positive_size")]
    pub response: ByteSize,
    /// The largest number of requests that wait or run at one node.
    #[serde(deserialize_with = "positive_count")]
    pub open_requests: usize,
    /// The time limit of an interactive request that states no deadline.
    #[serde(deserialize_with = "positive_time")]
    pub interactive_deadline: Duration,
    /// The time limit of a batch request that states no deadline.
    #[serde(deserialize_with = "positive_time")]
    pub batch_deadline: Duration,
    /// The time without an event after which a stream is resumed.
    #[serde(deserialize_with = "positive_time")]
    pub stream_stall: Duration,
}

impl Default for LimitsSection {
    fn default() -> Self {
        LimitsSection {
            body: ByteSize::mib(4),
            response: ByteSize::mib(64),
            open_requests: 4_096,
            interactive_deadline: Duration::from_secs(60),
            batch_deadline: Duration::from_secs(600),
            stream_stall: Duration::from_secs(10),
        }
    }
}

/// Failure detection and membership.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSection {
    /// The interval between two heartbeats.
    #[serde(deserialize_with = "positive_time")]
    pub heartbeat_interval: Duration,
    /// The time without a heartbeat after which a node is considered dead.
    #[serde(deserialize_with = "positive_time")]
    pub failure_timeout: Duration,
    /// The interval between two reads of the machine list.
    #[serde(deserialize_with = "positive_time")]
    pub machine_list_interval: Duration,
}

impl Default for MembershipSection {
    fn default() -> Self {
        let settings = MembershipSettings::default();
        MembershipSection {
            heartbeat_interval: Duration::from_millis(settings.heartbeat_interval),
            failure_timeout: Duration::from_millis(settings.failure_timeout),
            machine_list_interval: Duration::from_millis(settings.machine_list_interval),
        }
    }
}

/// Queueing, dispatch and retries of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSection {
    /// The time for which a grant or credit may be used.
    #[serde(deserialize_with = "positive_time")]
    pub grant_validity: Duration,
    /// The largest number of tickets in one queue.
    #[serde(deserialize_with = "positive_count")]
    pub queue_limit: usize,
    /// The largest number of attempts of one request.
    #[serde(deserialize_with = "positive_count")]
    pub attempts: usize,
    /// The fraction of requests that may be retried, from 0 to 1.
    #[serde(deserialize_with = "share")]
    pub retry_ratio: f64,
    /// The fraction of the slots of a replica that batch requests may use, from 0 to 1.
    #[serde(deserialize_with = "share")]
    pub batch_share: f64,
}

impl Default for RoutingSection {
    fn default() -> Self {
        let settings = RoutingSettings::default();
        RoutingSection {
            grant_validity: Duration::from_millis(settings.grant_validity),
            queue_limit: settings.queue_limit,
            attempts: settings.attempts as usize,
            retry_ratio: settings.retry_ratio,
            batch_share: settings.batch_share,
        }
    }
}

/// Placement of models on engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSection {
    /// The largest number of loads that the weight store starts per second.
    #[serde(deserialize_with = "positive_rate")]
    pub store_starts_per_second: f64,
    /// The number of concurrent loads that the weight store serves at full speed.
    #[serde(deserialize_with = "positive_count")]
    pub store_concurrency: usize,
    /// The bandwidth of one load from the weight store, in bytes per second.
    #[serde(deserialize_with = "positive_size")]
    pub store_bandwidth: ByteSize,
    /// The fraction of the memory of an engine for standby models, from 0 to 1.
    #[serde(deserialize_with = "share")]
    pub standby_share: f64,
    /// The shortest time for which an idle model stays loaded.
    #[serde(deserialize_with = "positive_time")]
    pub keep_alive_min: Duration,
    /// The longest time for which an idle model stays loaded.
    #[serde(deserialize_with = "positive_time")]
    pub keep_alive_max: Duration,
}

impl Default for PlacementSection {
    fn default() -> Self {
        let settings = PlacementSettings::default();
        PlacementSection {
            store_starts_per_second: settings.store_starts_per_second,
            store_concurrency: settings.store_concurrency as usize,
            store_bandwidth: ByteSize::b(settings.store_bandwidth),
            standby_share: settings.standby_share,
            keep_alive_min: Duration::from_millis(settings.keep_alive_min),
            keep_alive_max: Duration::from_millis(settings.keep_alive_max),
        }
    }
}

/// Claims of the idempotency keys of requests that may run at most once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimsSection {
    /// The number of nodes that store each claim.
    #[serde(deserialize_with = "positive_count")]
    pub members: usize,
    /// The time for which a claim is stored.
    #[serde(deserialize_with = "positive_time")]
    pub retention: Duration,
    /// The time after which a claim without a majority is abandoned.
    #[serde(deserialize_with = "positive_time")]
    pub timeout: Duration,
}

impl Default for ClaimsSection {
    fn default() -> Self {
        let settings = ClaimSettings::default();
        ClaimsSection {
            members: settings.members,
            retention: Duration::from_millis(settings.retention),
            timeout: Duration::from_millis(settings.timeout),
        }
    }
}

/// Draining of a node that is shutting down.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSection {
    /// The time for which the node still accepts connections after the request to
    /// stop, while it reports that it is not ready.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
    /// The longest time for which the node waits for open requests to end.
    #[serde(deserialize_with = "positive_time")]
    pub limit: Duration,
}

impl Default for DrainSection {
    fn default() -> Self {
        DrainSection {
            linger: Duration::from_secs(3),
            limit: Duration::from_secs(600),
        }
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text, for people.
    #[default]
    Text,
    /// JSON, for programs.
    Json,
}

/// Logging.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSection {
    /// The format of the log lines.
    pub format: LogFormat,
    /// The filter for log lines, such as `info` or `gorsebank_node=debug`.
    pub filter: String,
}

impl Default for LogSection {
    fn default() -> Self {
        LogSection {
            format: LogFormat::Text,
            filter: "info".to_owned(),
        }
    }
}

impl NodeSettings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Read {
            path: path.to_owned(),
            error,
        })?;
        Self::parse(&text).map_err(|error| SettingsError::Content {
            path: path.to_owned(),
            error: Box::new(error),
        })
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// The settings of the decision logic.
    pub fn coordination(&self) -> CoordinationSettings {
        CoordinationSettings {
            membership: MembershipSettings {
                heartbeat_interval: milliseconds(self.membership.heartbeat_interval),
                failure_timeout: milliseconds(self.membership.failure_timeout),
                machine_list_interval: milliseconds(self.membership.machine_list_interval),
                ..MembershipSettings::default()
            },
            routing: RoutingSettings {
                grant_validity: milliseconds(self.routing.grant_validity),
                queue_limit: self.routing.queue_limit,
                attempts: self.routing.attempts as u32,
                retry_ratio: self.routing.retry_ratio,
                batch_share: self.routing.batch_share,
                ..RoutingSettings::default()
            },
            placement: PlacementSettings {
                store_starts_per_second: self.placement.store_starts_per_second,
                store_concurrency: self.placement.store_concurrency as u32,
                store_bandwidth: self.placement.store_bandwidth.as_u64(),
                standby_share: self.placement.standby_share,
                keep_alive_min: milliseconds(self.placement.keep_alive_min),
                keep_alive_max: milliseconds(self.placement.keep_alive_max),
                ..PlacementSettings::default()
            },
            claims: ClaimSettings {
                members: self.claims.members,
                retention: milliseconds(self.claims.retention),
                timeout: milliseconds(self.claims.timeout),
                ..ClaimSettings::default()
            },
        }
    }
}

/// A duration in whole milliseconds.
pub fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn default_table_prefix() -> String {
    "gorsebank/".to_owned()
}

fn default_table_timeout() -> Duration {
    Duration::from_millis(1_000)
}

fn default_machine_list_path() -> String {
    "/machines".to_owned()
}

fn custom_error<E: serde::de::Error>(reason: &str) -> E {
    E::custom(reason)
}

fn not_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<SocketAddr>, D::Error> {
    let addresses = Vec::<SocketAddr>::deserialize(deserializer)?;
    if addresses.is_empty() {
        return Err(custom_error("must name at least one address"));
    }
    Ok(addresses)
}

fn positive_time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let duration: Duration = humantime_serde::deserialize(deserializer)?;
    if duration < Duration::from_millis(1) {
        return Err(custom_error("must be at least 1ms"));
    }
    Ok(duration)
}

fn positive_size<'de, D: Deserializer<'de>>(deserializer: D) -> Result<ByteSize, D::Error> {
    let size = ByteSize::deserialize(deserializer)?;
    if size.as_u64() == 0 {
        return Err(custom_error("must be more than 0"));
    }
    Ok(size)
}

fn positive_count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let count = usize::deserialize(deserializer)?;
    if count == 0 {
        return Err(custom_error("must be at least 1"));
    }
    Ok(count)
}

fn positive_rate<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let rate = f64::deserialize(deserializer)?;
    if !rate.is_finite() || rate <= 0.0 {
        return Err(custom_error("must be more than 0"));
    }
    Ok(rate)
}

fn share<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let share = f64::deserialize(deserializer)?;
    if !(0.0..=1.0).contains(&share) {
        return Err(custom_error("must be from 0 to 1"));
    }
    Ok(share)
}
