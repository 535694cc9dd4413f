//! The result of a scale run, as printed.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::scale::account::{Account, Role};

/// One role's cost for one node.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RoleReport {
    /// Messages sent a second, mean over nodes.
    pub messages_per_second: f64,
    /// Bytes sent a second, mean over nodes.
    pub bytes_per_second: f64,
    /// Bytes sent a second by the node that sends most.
    pub most_bytes_per_second: f64,
    /// Processor time as a share of one core, mean over nodes.
    pub core_share: f64,
    /// Processor time of the node that spends most.
    pub most_core_share: f64,
}

/// A scale run.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Nodes.
    pub nodes: usize,
    /// Cells.
    pub cells: usize,
    /// Engines.
    pub runners: usize,
    /// Adapters.
    pub adapters: usize,
    /// Seconds of virtual time that were measured.
    pub seconds: u64,
    /// Requests that arrived in that time.
    pub requests: u64,
    /// Of these, answered or still running at the end.
    pub requests_unrefused: u64,
    /// Requests that were sent on a credit, over the whole run.
    pub sent_on_credit: u64,
    /// Wake-ups of dormant adapters.
    pub wakes: u64,
    /// Of these, refused.
    pub wakes_refused: u64,
    /// Table transactions a second, over all nodes.
    pub transactions_per_second: f64,
    /// Configuration changes accepted, and the longest time until one was in
    /// force everywhere, in milliseconds.
    pub changes: u64,
    /// See `changes`.
    pub slowest_change: u64,
    /// Resident memory of the process for each node, in bytes. Rows of the
    /// configuration are shared between hollow nodes.
    pub resident_bytes_per_node: u64,
    /// Resident memory of one node's own copy of the configuration, in bytes.
    pub configuration_bytes: u64,
    /// Costs by role.
    pub roles: BTreeMap<Role, RoleReport>,
    /// Messages and bytes a second for each node, by kind of message.
    pub kinds: BTreeMap<&'static str, KindReport>,
    /// All roles together.
    pub total: RoleReport,
    /// Placement holders only, all roles together.
    pub holders: RoleReport,
}

/// One kind of message, mean over nodes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct KindReport {
    /// Messages sent a second.
    pub messages_per_second: f64,
    /// Bytes sent a second.
    pub bytes_per_second: f64,
}

/// Messages by kind, mean over nodes.
pub fn kinds_of(accounts: &[&Account], seconds: f64) -> BTreeMap<&'static str, KindReport> {
    let scale = 1.0 / (seconds * accounts.len().max(1) as f64);
    let mut kinds: BTreeMap<&'static str, KindReport> = BTreeMap::new();
    for (kind, (messages, bytes)) in accounts.iter().flat_map(|account| &account.kinds) {
        let report = kinds.entry(kind).or_default();
        report.messages_per_second += *messages as f64 * scale;
        report.bytes_per_second += *bytes as f64 * scale;
    }
    kinds
}

/// The cost of one role, or of all if `role` is `None`, for each of `accounts`.
pub fn summarize(accounts: &[&Account], role: Option<Role>, seconds: f64) -> RoleReport {
    let costs: Vec<(f64, f64, f64)> = accounts
        .iter()
        .map(|account| {
            let cost = match role {
                Some(role) => account.roles.get(&role).copied().unwrap_or_default(),
                None => account.total(),
            };
            (
                cost.messages as f64 / seconds,
                cost.bytes as f64 / seconds,
                cost.time.as_secs_f64() / seconds,
            )
        })
        .collect();
    let count = costs.len().max(1) as f64;
    RoleReport {
        messages_per_second: costs.iter().map(|cost| cost.0).sum::<f64>() / count,
        bytes_per_second: costs.iter().map(|cost| cost.1).sum::<f64>() / count,
        most_bytes_per_second: costs.iter().map(|cost| cost.1).fold(0.0, f64::max),
        core_share: costs.iter().map(|cost| cost.2).sum::<f64>() / count,
        most_core_share: costs.iter().map(|cost| cost.2).fold(0.0, f64::max),
    }
}
