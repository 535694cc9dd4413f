//! Stores records of the software versions that began streams in rows of the table, so that streams
//! go on at their version after all gateways were lost.
//!
//! Records are stored while a service has several versions; without them, streams go on at the only
//! version. The placement holder stores them for all gateways, so the number of writes does
//! not grow with the fleet. A gateway reads the rows when a caller takes up a stream of which no
//! gateway has a record.
//!
//! Invariant: rows are only added to and removed. A lost write or a restored table leaves streams
//! without a record, which are refused; it never changes the version of a stream.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gorsebank_contract::{TableRow, Transaction, TransactionResult};
use gorsebank_fleet::{StreamOriginRow, Sweep};
use tokio::time::{Instant, sleep, timeout};

use crate::event_log::{self, LogPriority};
use crate::ports::{TableSnapshot, WatchedTable};
use crate::shared::Shared;
use crate::stream_origins::{SharedOrigins, Unsent};
use crate::table_followers::NO_RESPONSE_PAUSE;

/// Minimum pause between two writes. Records of this time are lost if all gateways end.
const WRITE_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which rows that nobody needs any more are removed.
const SWEEP_PAUSE: Duration = Duration::from_secs(15);
/// Minimum time between two reads of the rows by a gateway.
const READ_PAUSE: Duration = Duration::from_secs(2);
/// Time limit for a read, during which a request waits.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Stores the records of all gateways until the future is dropped.
pub async fn run(shared: Arc<Shared>) {
    let _storing = Storing::start(&shared.stream_origins);
    // A previous holder may have left rows.
    let may_have_rows = AtomicBool::new(true);
    tokio::join!(
        write_rows(&shared, &may_have_rows),
        remove_rows(&shared, &may_have_rows),
    );
}

/// States that this gateway stores the records of all gateways, until it is dropped.
struct Storing<'a>(&'a SharedOrigins);

impl<'a> Storing<'a> {
    fn start(origins: &'a SharedOrigins) -> Self {
        origins.set_storing(true);
        Storing(origins)
    }
}

impl Drop for Storing<'_> {
    fn drop(&mut self) {
        self.0.set_storing(false);
    }
}

/// A row that is not full.
struct OpenRow {
    key: String,
    /// Revision of the row in the table; 0 if it was not written.
    revision: u64,
    content: StreamOriginRow,
}

impl OpenRow {
    fn new(shared: &Shared) -> Self {
        let table = shared.platform.tables().stream_origins;
        OpenRow {
            key: format!("{table}/{:016x}", rand::random::<u64>()),
            revision: 0,
            content: StreamOriginRow::default(),
        }
    }
}

async fn write_rows(shared: &Shared, may_have_rows: &AtomicBool) {
    let origins = &shared.stream_origins;
    let mut open = None;
    loop {
        origins.wait_for_unstored().await;
        while !shared.has_mixed_versions_of_any() {
            sleep(WRITE_PAUSE).await;
        }
        let records = origins.take_unstored(shared.now());
        if records.is_empty() {
            continue;
        }
        may_have_rows.store(true, Ordering::Relaxed);
        let row = open.take().unwrap_or_else(|| OpenRow::new(shared));
        match write(shared, row, &records).await {
            Some(row) => open = Some(row).filter(|row| !row.content.is_full()),
            None => {
                origins.put_back_unstored(records);
                sleep(NO_RESPONSE_PAUSE).await;
            }
        }
        sleep(WRITE_PAUSE).await;
    }
}

/// Adds records to a row. Returns the row if it was certainly written.
async fn write(shared: &Shared, mut row: OpenRow, records: &[Unsent]) -> Option<OpenRow> {
    for (_, record) in records {
        row.content.add(record);
    }
    let value = match serde_json::to_string(&row.content) {
        Ok(value) => value,
        Err(error) => unreachable!("records of streams always serialize to JSON: {error}"),
    };
    let bytes = value.len();
    let transaction = Transaction::put_if(row.key.clone(), row.revision, value);
    let (result, revision) = match shared.table().transact(transaction).await {
        TransactionResult::Committed { revision, .. } => ("written", Some(revision)),
        TransactionResult::Conflict { .. } => ("conflict", None),
        TransactionResult::Refused { .. } => ("refused", None),
        TransactionResult::Unknown => ("unknown", None),
    };
    let fields = format_args!("result={result} records={} bytes={bytes}", records.len());
    event_log::write(LogPriority::Decision, "stream_origin_row", fields);
    row.revision = revision?;
    Some(row)
}

async fn remove_rows(shared: &Shared, may_have_rows: &AtomicBool) {
    let mut expired = Sweep::new(shared.longest_stream_of_any_ms());
    loop {
        sleep(SWEEP_PAUSE).await;
        if !may_have_rows.swap(false, Ordering::Relaxed) {
            continue;
        }
        let rows = read(shared).await.map(|snapshot| snapshot.rows);
        let has_rows = rows.as_ref().is_none_or(|rows| !rows.is_empty());
        may_have_rows.fetch_or(has_rows, Ordering::Relaxed);
        let versions: Vec<(String, u64)> = rows
            .into_iter()
            .flatten()
            .map(|row| (row.key, row.modified))
            .collect();
        for (key, version) in expired.observe(shared.now(), &versions) {
            shared.table().remove(&key, version).await;
        }
    }
}

/// Reads the rows, unless this gateway did so a moment ago.
pub async fn learn_stored(shared: &Shared) {
    let mut read_at = shared.stream_origins.rows_read_at().lock().await;
    if read_at.is_some_and(|at: Instant| at.elapsed() < READ_PAUSE) {
        return;
    }
    let snapshot = timeout(READ_TIMEOUT, read(shared)).await;
    *read_at = Some(Instant::now());
    for row in snapshot.ok().flatten().unwrap_or_default().rows {
        merge(shared, &row);
    }
}

fn merge(shared: &Shared, row: &TableRow) {
    match serde_json::from_str::<StreamOriginRow>(&row.value) {
        Ok(content) => {
            let origins = &shared.stream_origins;
            origins.merge_stored(shared.now(), content.records());
        }
        Err(error) => shared.record_refused_row(row, &error),
    }
}

async fn read(shared: &Shared) -> Option<TableSnapshot> {
    let table = shared.platform.tables().stream_origins;
    shared.table().read(table).await.ok()
}
