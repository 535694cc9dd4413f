//! Stores quarantine entries in one row of the table, so that they survive the loss of all
//! gateways.
//!
//! Gateways keep no state that outlives their process, and all machines may lose power at once.
//! Quarantine entries are therefore stored in the table: a gateway writes them when a crash of a
//! back end under one of its requests changes them, and the placement holder writes them whenever
//! they change. Gateways that follow the table read the row once after their start and forward the
//! entries to the others.
//!
//! Invariant: the row only adds to the outcomes that gateways know. Ages in the row are as of its
//! last write, so an entry may last longer than intended but never shorter.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{TableRow, Transaction, TransactionResult};
use gorsebank_fleet::Fingerprint;
use gorsebank_fleet::quarantine::OutcomeNotice;
use tokio::time::{sleep, timeout};

use crate::backoff::Backoff;
use crate::event_log::{self, LogPriority};
use crate::ports::{TableError, WatchedTable};
use crate::shared::Shared;

/// Initial pause after a failed table call; doubled after each further failure.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause after a failed table call.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);
/// Minimum pause between two writes. Crashes occur in groups, and all gateways already know the
/// outcomes that are not written yet.
const WRITE_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which the placement holder checks the row without a notification.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// Time for which a gateway that has read the back ends waits for the quarantine entries before it
/// serves requests without them, so that an unavailable table does not block it.
const INITIAL_READ_TIMEOUT: Duration = Duration::from_secs(2);

fn key(shared: &Shared) -> String {
    format!("{}/quarantine", shared.platform.tables().saved_state)
}

/// State of the row at the time of a read.
pub struct RowSnapshot {
    /// 0 if the row does not exist.
    version: u64,
    /// The requests that the row names.
    requests: BTreeSet<Fingerprint>,
}

/// Reads the row and merges its outcomes. Retries until a read succeeds.
pub async fn read_row(shared: &Shared) -> RowSnapshot {
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE);
    let table = shared.platform.tables().saved_state;
    loop {
        match shared.table().read(table).await {
            Ok(snapshot) => {
                let key = key(shared);
                let row = snapshot.rows.iter().find(|row| row.key == key);
                let outcomes = row.map(|row| merge_row(shared, row)).unwrap_or_default();
                let version = row.map_or(0, |row| row.modified);
                record_success(shared, "read", &outcomes, version);
                shared.mark_quarantine_initialized();
                return RowSnapshot {
                    version,
                    requests: distinct_requests(&outcomes),
                };
            }
            Err(error) => {
                record_read_failure(shared, &error);
                backoff.wait().await;
            }
        }
    }
}

fn distinct_requests(outcomes: &[OutcomeNotice]) -> BTreeSet<Fingerprint> {
    outcomes.iter().map(|outcome| outcome.fingerprint).collect()
}

/// Merges the outcomes in the row and returns them; returns no outcomes if the row cannot be
/// parsed.
fn merge_row(shared: &Shared, row: &TableRow) -> Vec<OutcomeNotice> {
    match serde_json::from_str::<Vec<OutcomeNotice>>(&row.value) {
        Ok(outcomes) => {
            shared.merge_stored_outcomes(&outcomes);
            outcomes
        }
        Err(error) => {
            shared.record_refused_row(row, &error);
            Vec::new()
        }
    }
}

/// Counts and logs a successful read or write of the row.
fn record_success(shared: &Shared, result: &str, outcomes: &[OutcomeNotice], version: u64) {
    count_result(shared, result);
    let fields = format_args!(
        "result={result} requests={} ends={} version={version}",
        distinct_requests(outcomes).len(),
        outcomes.len()
    );
    event_log::write(LogPriority::Decision, "quarantine_row", fields);
}

fn record_read_failure(shared: &Shared, error: &TableError) {
    count_result(shared, "read_failed");
    let fields = format_args!("result=read_failed error=\"{error}\"");
    event_log::write(LogPriority::Decision, "quarantine_row", fields);
}

fn record_write_failure(shared: &Shared, result: &str) {
    count_result(shared, result);
    let fields = format_args!("result=write_failed answer={result}");
    event_log::write(LogPriority::Decision, "quarantine_row", fields);
}

fn count_result(shared: &Shared, result: &str) {
    let results = &shared.metrics.quarantine_row;
    results.with_label_values(&[result]).inc();
}

/// Marks the quarantine as initialized [`INITIAL_READ_TIMEOUT`] after the back ends were read, and
/// logs and counts the timeout if the quarantine entries are still unknown.
pub async fn enforce_initial_read_timeout(shared: Arc<Shared>) {
    let mut changes = shared.subscribe();
    while !shared.has_read_back_ends() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    sleep(INITIAL_READ_TIMEOUT).await;
    if shared.mark_quarantine_initialized() {
        count_result(&shared, "read_timed_out");
        let fields = format_args!(
            "result=read_timed_out waited_ms={}",
            INITIAL_READ_TIMEOUT.as_millis()
        );
        event_log::write(LogPriority::Decision, "quarantine_row", fields);
    }
}

/// Keeps the row up to date while this gateway is the placement holder, until the future is
/// dropped.
pub async fn maintain(shared: Arc<Shared>) {
    let mut updates = shared.quarantine.subscribe();
    let mut era = shared.feed.subscribe_to_era();
    loop {
        let changes = shared.quarantine.changes();
        era.mark_unchanged();
        update_row(&shared).await;
        // A restored table may lack the last write.
        while shared.quarantine.changes() == changes && !era.has_changed().unwrap_or(false) {
            let mut restored = era.clone();
            let woken = async {
                tokio::select! {
                    _ = updates.changed() => {}
                    _ = restored.changed() => {}
                }
            };
            // After the timeout or a notification, the loop checks the entries again.
            let _ = timeout(IDLE_CHECK_INTERVAL, woken).await;
            sleep(WRITE_PAUSE).await;
        }
    }
}

/// Updates the row when a crash of a back end under a request of this gateway changes the
/// quarantine entries, until the future is dropped. Does not require the placement lease: all
/// gateways may be lost while none holds it.
pub async fn write_local_entries(shared: Arc<Shared>) {
    loop {
        shared.quarantine.local_entry_change().await;
        update_row(&shared).await;
    }
}

/// Writes the current quarantine entries unless the row already names the same requests. Retries
/// until the row is up to date.
///
/// The comparison with the stored row covers entries that existed before the placement lease was
/// acquired.
async fn update_row(shared: &Shared) {
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE);
    loop {
        let row = read_row(shared).await;
        let outcomes = shared.quarantine.entry_notices(shared.now());
        if distinct_requests(&outcomes) == row.requests {
            return;
        }
        match write(shared, row.version, &outcomes).await {
            TransactionResult::Committed { revision, .. } => {
                record_success(shared, "written", &outcomes, revision);
                return;
            }
            TransactionResult::Conflict { .. } => record_write_failure(shared, "conflict"),
            TransactionResult::Refused { .. } => {
                record_write_failure(shared, "refused");
                backoff.wait().await;
            }
            // The write may have taken effect, or may do so later.
            TransactionResult::Unknown => {
                record_write_failure(shared, "unknown");
                backoff.wait().await;
            }
        }
    }
}

async fn write(shared: &Shared, version: u64, outcomes: &[OutcomeNotice]) -> TransactionResult {
    match serde_json::to_string(outcomes) {
        Ok(value) => {
            let transaction = Transaction::put_if(key(shared), version, value);
            shared.table().transact(transaction).await
        }
        Err(error) => unreachable!("outcome notices always serialize to JSON: {error}"),
    }
}
