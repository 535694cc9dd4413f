//! Stores the software versions that each service has had in one row of the table, so that they
//! survive the loss of all gateways.
//!
//! A gateway that has just started knows only the versions that serve now. Without the row it could
//! not tell whether another one began a stream that is taken up. Every gateway reads the row, which
//! is in the table of leases. Gateways that follow the table write it when a version appears, or has
//! no back ends any more, and after the table was restored from a copy without the newest list.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{TableRow, Transaction, TransactionResult, era_of};
use gorsebank_fleet::VersionHistoryRow;
use tokio::time::{sleep, timeout};

use crate::directory::Directory;
use crate::event_log::{self, LogPriority};
use crate::ports::WatchedTable;
use crate::shared::Shared;

/// Name of the row.
pub const ROW_NAME: &str = "software-versions";
/// Maximum random delay before a gateway writes the row. Most of the gateways that follow the table
/// then see that another one has written it.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(200);
/// Interval at which the row is compared with the known versions without a change of the back ends.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum age of the cached row that a write may replace.
const MAX_ROW_AGE: Duration = Duration::from_millis(1_600);

/// Records the row as it was read; `None` if there is none.
pub fn apply(shared: &Shared, row: Option<&TableRow>) {
    let revision = row.map_or(0, |row| row.modified);
    let history = row.and_then(|row| parse(shared, row));
    let now = shared.now();
    shared.change_directory(|directory| directory.record_version_list(now, history, revision));
}

fn parse(shared: &Shared, row: &TableRow) -> Option<VersionHistoryRow> {
    let parsed = serde_json::from_str(&row.value);
    parsed
        .inspect_err(|error| shared.record_refused_row(row, error))
        .ok()
}

/// Keeps the row up to date and learns the versions of the time before this gateway from it, until
/// the future is dropped.
pub async fn maintain(shared: Arc<Shared>) {
    tokio::join!(learn_past(&shared), keep_current(&shared));
}

/// Learns the versions of the time before the back ends were first read, which a row that is lost
/// later would not tell any more.
async fn learn_past(shared: &Shared) {
    let mut changes = shared.subscribe();
    while !shared.has_read_back_ends() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    let table = shared.platform.tables().lease;
    let read_at = shared.clock.since_boot();
    let is_verified = async || {
        let verified = shared.feed.wait_until_verified(table, read_at);
        timeout(IDLE_CHECK_INTERVAL, verified).await.is_ok()
    };
    while !is_verified().await {}
    loop {
        changes.mark_unchanged();
        if shared.directory(is_list_complete) {
            return shared.change_directory(Directory::set_version_history_complete);
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn is_list_complete(directory: &Directory) -> bool {
    directory.software_versions().is_list_complete()
}

async fn keep_current(shared: &Shared) {
    let mut changes = shared.subscribe();
    loop {
        changes.mark_unchanged();
        if row_to_write(shared).is_some() {
            sleep(MAX_WRITE_DELAY.mul_f64(rand::random())).await;
            if let Some((row, revision)) = row_to_write(shared) {
                write(shared, row, revision).await;
            }
        }
        sleep(MAX_WRITE_DELAY).await;
        let _ = timeout(IDLE_CHECK_INTERVAL, changes.changed()).await;
    }
}

/// The row that the table should hold, and the revision of the one that it is made from (0: there is
/// none); `None` if that is up to date, or if others write it.
fn row_to_write(shared: &Shared) -> Option<(VersionHistoryRow, u64)> {
    if !shared.feed.parents.lock().follows_table() {
        return None;
    }
    let (now, period_ms) = (shared.now(), shared.longest_origin_period_ms());
    let (mut row, revision) = shared.directory(|directory| {
        let versions = directory.software_versions();
        let row = versions.list_to_write(now, period_ms)?;
        Some((row, versions.list_revision()))
    })?;
    let snapshot = shared
        .feed
        .snapshot(shared.platform.tables().lease, MAX_ROW_AGE)?;
    row.era = era_of(snapshot.version);
    Some((row, revision))
}

async fn write(shared: &Shared, row: VersionHistoryRow, revision: u64) {
    let value = match serde_json::to_string(&row) {
        Ok(value) => value,
        Err(error) => unreachable!("lists of versions always serialize to JSON: {error}"),
    };
    let key = format!("{}/{ROW_NAME}", shared.platform.tables().lease);
    let transaction = Transaction::put_if(key, revision, value);
    let result = match shared.table().transact(transaction).await {
        TransactionResult::Committed { .. } => "written",
        TransactionResult::Conflict { .. } => "conflict",
        TransactionResult::Refused { .. } => "refused",
        TransactionResult::Unknown => "unknown",
    };
    let counter = &shared.metrics.version_history_row;
    counter.with_label_values(&[result]).inc();
    let fields = format_args!("result={result} revision={revision} row={row:?}");
    event_log::write(LogPriority::Decision, "version_history_row", fields);
}
