//! Settings of the decision logic. Times are in milliseconds.

use serde::{Deserialize, Serialize};

/// All settings of the decision logic.
#[derive(Clone, Debug, Default)]
pub struct CoordinationSettings {
    /// Who is alive.
    pub membership: MembershipSettings,
    /// How requests wait, are sent and are sent again.
    pub routing: RoutingSettings,
    /// How models are placed.
    pub placement: PlacementSettings,
    /// How keys of requests that may not be repeated are claimed.
    pub claims: ClaimSettings,
}

/// Who is alive.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Between two heartbeats to each node of the cell.
    pub heartbeat_interval: u64,
    /// A node that was silent for so long is taken for dead.
    pub failure_timeout: u64,
    /// Between two readings of the platform's machine list.
    pub machine_list_interval: u64,
    /// Nodes of other cells that each heartbeat round also goes to.
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

/// How requests wait, are sent and are sent again.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// A grant or credit may be used for so long.
    pub grant_validity: u64,
    /// A front offers a ticket again after so long without an answer.
    pub offer_interval: u64,
    /// Tickets that wait in one queue at the most.
    pub queue_limit: usize,
    /// Most attempts of one request.
    pub attempts: u32,
    /// First pause before an attempt is repeated; doubles each time.
    pub backoff: u64,
    /// Longest pause before an attempt is repeated.
    pub backoff_limit: u64,
    /// Share of requests that may be attempted again.
    pub retry_ratio: f64,
    /// Retries that are allowed at once, beside the share.
    pub retry_reserve: f64,
    /// Share of a replica's slots that batch requests may take.
    pub batch_share: f64,
    /// Most credits given with one grant.
    pub credit_limit: u32,
    /// A back end that turned a request away is spared for so long.
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

/// How models are placed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlacementSettings {
    /// The holder rewrites its lease row at least so often.
    pub lease_interval: u64,
    /// A transaction without an answer is sent again after so long.
    pub table_timeout: u64,
    /// After so long without the table, dormant models wake from standby.
    pub table_patience: u64,
    /// An engine without an answer is inspected again after so long.
    pub inspect_interval: u64,
    /// Share of an engine's memory set aside for dormant models.
    pub standby_share: f64,
    /// Loads that the weight store may start each second.
    pub store_starts_per_second: f64,
    /// Loads that run at full speed at once.
    pub store_concurrency: u32,
    /// Bytes a second of one load from the weight store at full speed.
    pub store_bandwidth: u64,
    /// Bytes a second of a load from an engine's disk.
    pub disk_bandwidth: u64,
    /// Bytes a second of a load from an engine's main memory.
    pub memory_bandwidth: u64,
    /// An idle artifact stays loaded at least so long.
    pub keep_alive_min: u64,
    /// An idle artifact stays loaded at most so long.
    pub keep_alive_max: u64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            lease_interval: 2_000,
            table_timeout: 1_000,
            table_patience: 1_500,
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

/// How keys of requests that may not be repeated are claimed.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Members of a claim group.
    pub members: usize,
    /// A claim is remembered for so long.
    pub retention: u64,
    /// A claim without a majority after so long is given up.
    pub timeout: u64,
    /// After so long without a majority of the former group, a new one starts
    /// in quarantine.
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
