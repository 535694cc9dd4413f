//! Applies updates of the tables to the state of this gateway: configuration, back ends, rows of
//! the placement holder, leases, and the other gateways.
//!
//! Input: rows and changes from [`crate::feed`]. Output: the state that requests and placement use.
//! The active state remains in force while the table is unavailable.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::TableRow;
use gorsebank_fleet::quota_shard::shard_of_lease;
use gorsebank_fleet::{BackEndReport, LeaseRow, PlacedRow};
use gorsebank_world::{BackEndId, ZoneId};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::directory::Directory;
use crate::event_log::{self, LogPriority};
use crate::feed::parents::source_name;
use crate::feed::restores;
use crate::feed::{FollowerUpdate, TablePosition, TableSyncPolicy, table_sync_policies};
use crate::holder;
use crate::members::MemberFollower;
use crate::ports::{RowChange, SchemaError};
use crate::prefill_speed_rows::PrefillSpeedFollower;
use crate::shared::Shared;
use crate::version_history_row;

/// Pause after a failed table call in the tasks that maintain leases and in those of the placement
/// holder.
pub const NO_RESPONSE_PAUSE: Duration = Duration::from_millis(200);

/// Applies the rows of one table to the state of this gateway.
pub trait Follower: Send + 'static {
    /// Applies a read of the whole table.
    fn replace(&mut self, rows: Vec<TableRow>);
    /// Applies the change of one row.
    fn change(&mut self, change: RowChange);
    /// Called after a batch of changes has been applied.
    fn finish_batch(&mut self) {}
}

/// Interval at which rows of back ends whose clock may have been set back are retried.
const DEFERRED_ROW_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the tasks that follow the tables until the process ends.
pub fn start(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let tables = shared.platform.tables();
    let mut followers: Vec<(&'static str, Box<dyn Follower>)> = vec![
        (
            tables.configuration,
            Box::new(ConfigurationFollower::new(shared.clone())),
        ),
        (tables.back_ends, Box::new(BackEndFollower(shared.clone()))),
        (tables.placed, Box::new(PlacedFollower(shared.clone()))),
        (
            tables.prefill_speeds,
            Box::new(PrefillSpeedFollower(shared.clone())),
        ),
        (
            tables.members,
            Box::new(MemberFollower::new(shared.clone())),
        ),
        (tables.lease, Box::new(LeaseFollower(shared.clone()))),
    ];
    let mut tasks = vec![
        tokio::spawn(retry_deferred_rows(shared.clone())),
        tokio::spawn(restores::observe(shared.clone())),
    ];
    for sync_policy in table_sync_policies(&tables) {
        let index = followers
            .iter()
            .position(|(table, _)| *table == sync_policy.table);
        let Some(index) = index else { continue };
        let (_, follower) = followers.swap_remove(index);
        tasks.push(tokio::spawn(follow_table(
            shared.clone(),
            sync_policy,
            follower,
        )));
    }
    tasks
}

/// Applies rows of back ends that seemed outdated, once nothing has contradicted them for long
/// enough.
async fn retry_deferred_rows(shared: Arc<Shared>) {
    loop {
        sleep(DEFERRED_ROW_RETRY_INTERVAL).await;
        if shared.directory(Directory::has_deferred_rows) {
            let now = shared.now();
            shared.change_directory(|directory| directory.retry_deferred_rows(now));
            shared.evaluate_removed_back_ends();
        }
    }
}

/// Passes updates of one table to its follower, until the future is dropped.
async fn follow_table(
    shared: Arc<Shared>,
    sync_policy: TableSyncPolicy,
    mut follower: Box<dyn Follower>,
) {
    let mut updates = shared.feed.subscribe(sync_policy.table);
    let mut position = TablePosition {
        table: sync_policy.table.to_owned(),
        version: None,
        newest_only: sync_policy.newest_only,
        max_age_ms: u64::MAX,
        page: None,
    };
    loop {
        updates.mark_unchanged();
        match shared.feed.next_update(&mut position) {
            Some(FollowerUpdate::Rows(rows)) => follower.replace(rows),
            Some(FollowerUpdate::Changes(changes)) => {
                changes
                    .into_iter()
                    .for_each(|change| follower.change(change));
                follower.finish_batch();
            }
            None => {
                if updates.changed().await.is_err() {
                    return;
                }
                continue;
            }
        }
        if let Some(version) = position.version {
            shared.feed.record_applied(sync_policy.table, version);
        }
    }
}

struct ConfigurationFollower {
    shared: Arc<Shared>,
    /// Zones whose back ends receive no new requests.
    evacuated: BTreeSet<ZoneId>,
}

impl ConfigurationFollower {
    fn new(shared: Arc<Shared>) -> Self {
        ConfigurationFollower {
            shared,
            evacuated: BTreeSet::new(),
        }
    }

    fn apply(&mut self, row: &TableRow) {
        if let Some(zone) = self.shared.platform.evacuated_zone(&row.key) {
            self.evacuated.insert(zone);
            return;
        }
        match self.shared.platform.parse_configuration(row) {
            Ok(None) => {}
            Ok(Some(configuration)) => {
                let version = configuration.version;
                let routes = configuration.route_count();
                let was_activated = self.shared.set_configuration(configuration);
                let source = source_name(self.shared.feed.parents.lock().source());
                let fields = format_args!(
                    "version={version} routes={routes} news={was_activated} from={source}"
                );
                event_log::write(LogPriority::State, "configuration", fields);
            }
            Err(error) => {
                let fields = format_args!("error=\"{error}\"");
                event_log::write(LogPriority::State, "configuration_refused", fields);
            }
        }
    }

    fn apply_evacuated(&self) {
        let zones = self.evacuated.clone();
        let mut has_changed = false;
        self.shared
            .change_directory(|directory| has_changed = directory.set_evacuated(zones));
        if has_changed {
            let fields = format_args!("zones={:?}", self.evacuated);
            event_log::write(LogPriority::Decision, "evacuated", fields);
        }
    }
}

impl Follower for ConfigurationFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        self.evacuated.clear();
        rows.iter().for_each(|row| self.apply(row));
        self.apply_evacuated();
    }

    fn change(&mut self, change: RowChange) {
        match change {
            RowChange::Put(row) => self.apply(&row),
            RowChange::Removed { key, .. } => {
                let zone = self.shared.platform.evacuated_zone(&key);
                zone.inspect(|zone| _ = self.evacuated.remove(zone));
            }
        }
    }

    fn finish_batch(&mut self) {
        self.apply_evacuated();
    }
}

struct BackEndFollower(Arc<Shared>);

impl BackEndFollower {
    /// Gateways that follow the table directly log every change. All other gateways log only back
    /// ends that are new or draining, because hundreds of gateways would otherwise log the same
    /// changes.
    fn should_log(&self, report: &BackEndReport) -> bool {
        let is_inactive = |directory: &Directory| !directory.is_active(&report.id);
        report.draining
            || self.0.feed.parents.lock().follows_table()
            || self.0.directory(is_inactive)
    }
}

impl BackEndFollower {
    fn record_refused_row(&self, row: &TableRow, error: &SchemaError) {
        let rows = &self.0.refused_rows;
        rows.record(&row.key, row.modified, error.fault, error);
    }
}

fn log_back_end(report: &BackEndReport, version: u64) {
    let fields = format_args!(
        "back_end={} software_version={} draining={} models={:?} version={version}",
        report.id, report.software_version, report.draining, report.holdings
    );
    event_log::write(LogPriority::Decision, "back_end", fields);
}

impl Follower for BackEndFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        let (mut reports, mut unreadable) = (Vec::new(), Vec::new());
        for row in rows {
            match self.0.platform.parse_back_end(&row) {
                Ok(report) => reports.push((report, row.modified)),
                Err(error) => {
                    self.record_refused_row(&row, &error);
                    unreadable.push((BackEndId::from(row_name(&row.key)), row.modified));
                }
            }
        }
        let count = reports.len();
        let now = self.0.now();
        // This precedes the change of the directory, so that requests to these back ends wait for
        // the quarantine.
        self.0.record_back_ends_read();
        self.0
            .change_directory(|directory| directory.replace(now, reports, unreadable));
        self.0.evaluate_removed_back_ends();
        event_log::write(
            LogPriority::Decision,
            "back_ends_read",
            format_args!("count={count}"),
        );
    }

    fn change(&mut self, change: RowChange) {
        match change {
            RowChange::Put(row) => match self.0.platform.parse_back_end(&row) {
                Ok(report) => {
                    self.0.refused_rows.forget(&row.key);
                    if self.should_log(&report) {
                        log_back_end(&report, row.modified);
                    }
                    let now = self.0.now();
                    self.0.change_directory(|directory| {
                        directory.put(now, report, row.modified);
                    });
                    // The row may belong to a new incarnation.
                    self.0.evaluate_removed_back_ends();
                }
                Err(error) => {
                    self.record_refused_row(&row, &error);
                    let id = BackEndId::from(row_name(&row.key));
                    self.0.change_directory(|directory| {
                        directory.put_unreadable(&id, row.modified);
                    });
                }
            },
            RowChange::Removed { key, version } => {
                self.0.refused_rows.forget(&key);
                let id = BackEndId::from(row_name(&key));
                let fields = format_args!("back_end={id} version={version}");
                event_log::write(LogPriority::Decision, "back_end_gone", fields);
                let now = self.0.now();
                self.0
                    .change_directory(|directory| directory.remove(now, &id));
                self.0.evaluate_removed_back_ends();
            }
        }
    }
}

struct PlacedFollower(Arc<Shared>);

impl PlacedFollower {
    fn apply(&self, row: &TableRow) {
        let id = BackEndId::from(row_name(&row.key));
        match serde_json::from_str::<PlacedRow>(&row.value) {
            Ok(placed) => {
                let now = self.0.now();
                self.0.change_directory(|directory| {
                    directory.put_placed(now, id, placed, row.modified);
                });
            }
            Err(error) => self.0.record_refused_row(row, &error),
        }
    }
}

impl Follower for PlacedFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        rows.iter().for_each(|row| self.apply(row));
    }

    fn change(&mut self, change: RowChange) {
        match change {
            RowChange::Put(row) => self.apply(&row),
            RowChange::Removed { key, .. } => {
                let id = BackEndId::from(row_name(&key));
                self.0
                    .change_directory(|directory| directory.remove_placed(&id));
            }
        }
    }
}

/// Records which gateway holds the placement lease, and which gateways hold the leases of quota
/// shards. The list of software versions is in the same table.
struct LeaseFollower(Arc<Shared>);

impl LeaseFollower {
    fn apply(&self, row: &TableRow) {
        if row_name(&row.key) == version_history_row::ROW_NAME {
            return version_history_row::apply(&self.0, Some(row));
        }
        match serde_json::from_str::<LeaseRow>(&row.value) {
            Ok(lease) => self.apply_lease(row_name(&row.key), lease),
            Err(error) => self.0.record_refused_row(row, &error),
        }
    }

    fn apply_lease(&self, name: &str, lease: LeaseRow) {
        if name == holder::LEASE_NAME {
            self.0.set_holder(lease.holder);
        } else if let Some(shard) = shard_of_lease(name) {
            self.0.tenant_quotas.set_holder(shard, lease.holder);
        }
    }
}

impl Follower for LeaseFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        let mut names = rows.iter().map(|row| row_name(&row.key));
        if !names.any(|name| name == version_history_row::ROW_NAME) {
            version_history_row::apply(&self.0, None);
        }
        rows.iter().for_each(|row| self.apply(row));
    }

    fn change(&mut self, change: RowChange) {
        match change {
            RowChange::Put(row) => self.apply(&row),
            RowChange::Removed { key, .. } if row_name(&key) == version_history_row::ROW_NAME => {
                version_history_row::apply(&self.0, None);
            }
            RowChange::Removed { .. } => {}
        }
    }
}

/// Returns the part of a key after the table name.
pub fn row_name(key: &str) -> &str {
    key.split_once('/').map_or(key, |(_, name)| name)
}
