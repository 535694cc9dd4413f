//! Defines the settings of the decision logic and their defaults. All times are
//! in milliseconds.

use serde::{Deserialize, Serialize};

/// All settings of the decision logic.
#[derive(Clone, Debug, Default)]
pub struct CoordinationSettings {
    /// Settings of failure detection.
    pub membership: MembershipSettings,
    /// Settings of queues, dispatch and retries.
    pub routing: RoutingSettings,
    /// Settings of the placement of models.
    pub placement: PlacementSettings,
    /// Settings of claims on the keys of requests that may run only once.
    pub claims: ClaimSettings,
}

/// Settings of failure detection.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Interval between two heartbeats to each node of the cell.
    pub heartbeat_interval: u64,
    /// Time without a heartbeat after which a node counts as failed.
    pub failure_timeout: u64,
    /// Interval between two reads of the platform's machine list.
    pub machine_list_interval: u64,
    /// Number of nodes of other cells that each heartbeat is also sent to.
    pub remote_fanout: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            heartbeat_interval: 500,
            failure_timeout: 2_000,
            machine_list_interval: 1_000,
            remote_fanout: 1,
        }
    }
}

/// Settings of queues, dispatch and retries.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Time for which a grant or a credit may be used.
    pub grant_validity: u64,
    /// Time without a response after which a front offers a ticket again.
    pub offer_interval: u64,
    /// Maximum number of tickets that wait in one queue.
    pub queue_limit: usize,
    /// Maximum number of attempts of one request.
    pub attempts: u32,
    /// Upper bound of the delay before the first retry; it doubles with each retry.
    pub backoff: u64,
    /// Maximum delay before a retry.
    pub backoff_limit: u64,
    /// Retries that each request adds to the retry budget.
    pub retry_ratio: f64,
    /// Initial and maximum size of the retry budget, in retries.
    pub retry_reserve: f64,
    /// Fraction of a replica's slots that batch requests may use.
    pub batch_share: f64,
    /// Maximum number of credits given with one grant.
    pub credit_limit: u32,
    /// Time for which no requests are sent to a back end that rejected a request.
    pub suspension: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        RoutingSettings {
            grant_validity: 2_000,
            offer_interval: 3_000,
            queue_limit: 10_000,
            attempts: 5,
            backoff: 50,
            backoff_limit: 2_000,
            retry_ratio: 0.1,
            retry_reserve: 20.0,
            batch_share: 0.5,
            credit_limit: 8,
            suspension: 1_000,
        }
    }
}

/// Settings of the placement of models.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlacementSettings {
    /// Maximum interval at which the holder rewrites its lease row.
    pub lease_interval: u64,
    /// Time without a response after which a transaction is resent.
    pub table_timeout: u64,
    /// Time without the table after which dormant models may be loaded into the
    /// standby memory of engines without a transaction.
    #[serde(rename = "table_patience")]
    pub table_outage_timeout: u64,
    /// Time after which an engine that did not respond is inspected again.
    pub inspect_interval: u64,
    /// Fraction of an engine's memory that is reserved for dormant models.
    pub standby_share: f64,
    /// Maximum number of loads from the weight store that start per second.
    pub store_starts_per_second: f64,
    /// Maximum number of concurrent loads from the weight store at full speed.
    pub store_concurrency: u32,
    /// Bandwidth of one load from the weight store at full speed, in bytes per second.
    pub store_bandwidth: u64,
    /// Bandwidth of a load from an engine's disk, in bytes per second.
    pub disk_bandwidth: u64,
    /// Bandwidth of a load from an engine's main memory, in bytes per second.
    pub memory_bandwidth: u64,
    /// Minimum time for which an idle artifact stays loaded.
    pub keep_alive_min: u64,
    /// Maximum time for which an idle artifact stays loaded.
    pub keep_alive_max: u64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            lease_interval: 2_000,
            table_timeout: 1_000,
            table_outage_timeout: 1_500,
            inspect_interval: 1_000,
            standby_share: 0.34,
            store_starts_per_second: 2.0,
            store_concurrency: 8,
            store_bandwidth: 2_000_000_000,
            disk_bandwidth: 4_000_000_000,
            memory_bandwidth: 20_000_000_000,
            keep_alive_min: 20_000,
            keep_alive_max: 3_600_000,
        }
    }
}

/// Settings of claims on the keys of requests that may run only once.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Number of members of a claim group.
    pub members: usize,
    /// Time for which a claim is kept.
    pub retention: u64,
    /// Time without a majority after which a claim is abandoned.
    pub timeout: u64,
    /// Time without a majority of the previous group's members after which the
    /// next group starts in quarantine: claims of unknown keys are in doubt for
    /// the retention time.
    pub seal_timeout: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            members: 3,
            retention: 600_000,
            timeout: 1_000,
            seal_timeout: 10_000,
        }
    }
}
