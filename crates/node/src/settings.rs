//! The settings file of a node: TOML, every field checked, with units.

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

/// What is wrong with a settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// It cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// Its content is wrong; the text names line and field.
    #[error("{path}: {error}")]
    Content {
        /// The file.
        path: PathBuf,
        /// Line, field and reason.
        error: Box<toml::de::Error>,
    },
}

/// Settings of a node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Who and where the node is.
    pub node: NodeSection,
    /// Where the platform's services are.
    pub platform: PlatformSection,
    /// Nodes that are known before the machine list was read.
    #[serde(default)]
    pub peers: Vec<PeerSection>,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: LimitsSection,
    /// Who is alive.
    #[serde(default)]
    pub membership: MembershipSection,
    /// How requests wait and are sent.
    #[serde(default)]
    pub routing: RoutingSection,
    /// How models are placed.
    #[serde(default)]
    pub placement: PlacementSection,
    /// How keys are claimed.
    #[serde(default)]
    pub claims: ClaimsSection,
    /// How a stopping node drains.
    #[serde(default)]
    pub drain: DrainSection,
    /// Logs.
    #[serde(default)]
    pub log: LogSection,
}

/// Who and where the node is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    /// Its name, unique in the deployment.
    pub id: NodeId,
    /// Its failure zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Address for callers.
    pub listen_callers: SocketAddr,
    /// Address for other nodes.
    pub listen_nodes: SocketAddr,
    /// Address for operators, metrics and probes.
    pub listen_admin: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// Addresses of the table service.
    #[serde(deserialize_with = "not_empty")]
    pub tables: Vec<SocketAddr>,
    /// Prefix of all rows.
    #[serde(default = "default_table_prefix")]
    pub table_prefix: String,
    /// A call to the table service may take so long.
    #[serde(default = "default_table_timeout", deserialize_with = "positive_time")]
    pub table_timeout: Duration,
    /// Address of the machine list.
    pub machine_list: SocketAddr,
    /// Path of the machine list.
    #[serde(default = "default_machine_list_path")]
    pub machine_list_path: String,
}

/// A node that is known before the machine list was read.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSection {
    /// Its name.
    pub id: NodeId,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
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

/// Limits towards callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsSection {
    /// Largest request body.
    #[serde(deserialize_with = "positive_size")]
    pub body: ByteSize,
    /// Largest answer that is not a stream.
    #[serde(deserialize_with = "positive_size")]
    pub answer: ByteSize,
    /// Requests that wait or run at one node at the most.
    #[serde(deserialize_with = "positive_count")]
    pub open_requests: usize,
    /// Deadline of an interactive request that states none.
    #[serde(deserialize_with = "positive_time")]
    pub interactive_deadline: Duration,
    /// Deadline of a batch request that states none.
    #[serde(deserialize_with = "positive_time")]
    pub batch_deadline: Duration,
    /// A stream without an event for so long is resumed.
    #[serde(deserialize_with = "positive_time")]
    pub stream_stall: Duration,
}

impl Default for LimitsSection {
    fn default() -> Self {
        LimitsSection {
            body: ByteSize::mib(4),
            answer: ByteSize::mib(64),
            open_requests: 4_096,
            interactive_deadline: Duration::from_secs(60),
            batch_deadline: Duration::from_secs(600),
            stream_stall: Duration::from_secs(10),
        }
    }
}

/// Who is alive.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSection {
    /// Between two heartbeats.
    #[serde(deserialize_with = "positive_time")]
    pub heartbeat_interval: Duration,
    /// Silence after which a node is taken for dead.
    #[serde(deserialize_with = "positive_time")]
    pub failure_timeout: Duration,
    /// Between two readings of the machine list.
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

/// How requests wait and are sent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSection {
    /// A grant or credit may be used for so long.
    #[serde(deserialize_with = "positive_time")]
    pub grant_validity: Duration,
    /// Tickets in one queue at the most.
    #[serde(deserialize_with = "positive_count")]
    pub queue_limit: usize,
    /// Attempts of one request at the most.
    #[serde(deserialize_with = "positive_count")]
    pub attempts: usize,
    /// Share of requests that may be attempted again.
    #[serde(deserialize_with = "share")]
    pub retry_ratio: f64,
    /// Share of a replica's slots that batch requests may take.
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

/// How models are placed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSection {
    /// Loads that the weight store may start each second.
    #[serde(deserialize_with = "positive_rate")]
    pub store_starts_per_second: f64,
    /// Loads that run at full speed at once.
    #[serde(deserialize_with = "positive_count")]
    pub store_concurrency: usize,
    /// Bytes a second of one load from the weight store.
    #[serde(deserialize_with = "positive_size")]
    pub store_bandwidth: ByteSize,
    /// Share of an engine's memory for dormant models.
    #[serde(deserialize_with = "share")]
    pub standby_share: f64,
    /// An idle model stays loaded at least so long.
    #[serde(deserialize_with = "positive_time")]
    pub keep_alive_min: Duration,
    /// An idle model stays loaded at most so long.
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

/// How keys of requests that may not be repeated are claimed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimsSection {
    /// Nodes that keep each claim.
    #[serde(deserialize_with = "positive_count")]
    pub members: usize,
    /// A claim is remembered for so long.
    #[serde(deserialize_with = "positive_time")]
    pub retention: Duration,
    /// A claim without a majority after so long is given up.
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

/// How a stopping node drains.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSection {
    /// New connections are still taken for so long after the stop was asked
    /// for, while the node says that it is not ready.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
    /// Open requests get so long to end.
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

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// Logs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSection {
    /// Form of the lines.
    pub format: LogFormat,
    /// Filter, such as `info` or `gorsebank_node=debug`.
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

    /// Checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Settings of the decision logic.
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

/// Whole milliseconds of a duration.
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

fn refuse<E: serde::de::Error>(reason: &str) -> E {
    E::custom(reason)
}

fn not_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<SocketAddr>, D::Error> {
    let addresses = Vec::<SocketAddr>::deserialize(deserializer)?;
    if addresses.is_empty() {
        return Err(refuse("must name at least one address"));
    }
    Ok(addresses)
}

fn positive_time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let duration: Duration = humantime_serde::deserialize(deserializer)?;
    if duration < Duration::from_millis(1) {
        return Err(refuse("must be at least 1ms"));
    }
    Ok(duration)
}

fn positive_size<'de, D: Deserializer<'de>>(deserializer: D) -> Result<ByteSize, D::Error> {
    let size = ByteSize::deserialize(deserializer)?;
    if size.as_u64() == 0 {
        return Err(refuse("must be more than 0"));
    }
    Ok(size)
}

fn positive_count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let count = usize::deserialize(deserializer)?;
    if count == 0 {
        return Err(refuse("must be at least 1"));
    }
    Ok(count)
}

fn positive_rate<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let rate = f64::deserialize(deserializer)?;
    if !rate.is_finite() || rate <= 0.0 {
        return Err(refuse("must be more than 0"));
    }
    Ok(rate)
}

fn share<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let share = f64::deserialize(deserializer)?;
    if !(0.0..=1.0).contains(&share) {
        return Err(refuse("must be from 0 to 1"));
    }
    Ok(share)
}
