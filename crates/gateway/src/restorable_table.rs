//! A watched table on top of a table service that may be restored from an older copy.
//!
//! In: calls with revisions ([`TableRevision`]), and the service's responses with versions and an
//! era. Out: calls with versions, and responses with revisions, which rise across restores.
//!
//! A service that is restored assigns versions again. Positions and expected versions from before
//! the restore are not sent as such: changes after them are gone, and rows with them are expected
//! in vain.

use std::cmp::Ordering;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use gorsebank_contract::{TableRevision, TableRow, Transaction, TransactionResult, era_of};

use crate::backoff::Backoff;
use crate::ports::{
    EraAnswer, RowChange, RowsResult, TableChanges, TableError, TableSnapshot, VersionedRows,
    VersionedTable, VersionedWrite, WatchedTable, WriteResult,
};
use crate::table_era::LatestEra;

const INITIAL_PAGE_BACKOFF: Duration = Duration::from_millis(100);
const MAX_PAGE_BACKOFF: Duration = Duration::from_millis(1_600);
const PAGE_RETRIES: u32 = 5;
/// A version that no row has: the greatest integer that all JSON readers represent exactly.
const UNUSED_VERSION: u64 = (1 << 53) - 1;

/// A watched table whose revisions rise across restores of its table service.
pub struct RestorableTable<T> {
    service: T,
    /// The latest era of the service that a response stated.
    era: LatestEra,
}

impl<T: VersionedTable> RestorableTable<T> {
    /// Creates a table on top of a service.
    pub fn new(service: T) -> Self {
        RestorableTable {
            service,
            era: LatestEra::default(),
        }
    }

    async fn read_all(&self, table: &str) -> Result<TableSnapshot, TableError> {
        let mut snapshot = TableSnapshot::default();
        let mut from = String::new();
        let mut first_era = None;
        loop {
            let page = self.read_page(table, &from).await?;
            if *first_era.get_or_insert(page.era) != page.era {
                return Err(restored_meanwhile());
            }
            // With the first page's version, the change feed repeats changes during later reads.
            if from.is_empty() {
                snapshot.version = page.rows.version;
            }
            snapshot.rows.extend(present_rows(page.rows.changes));
            match page.next {
                Some(next) => from = next,
                None => return Ok(snapshot),
            }
        }
    }

    /// Retries a rejected page: starting over when all gateways start would only add to the load.
    async fn read_page(&self, table: &str, from: &str) -> Result<EraRows, TableError> {
        let mut backoff = Backoff::new(INITIAL_PAGE_BACKOFF, MAX_PAGE_BACKOFF);
        for _ in 0..PAGE_RETRIES {
            match self.latest_rows(self.service.page(table, from).await) {
                Err(TableError::Throttled) => backoff.wait().await,
                other => return other,
            }
        }
        self.latest_rows(self.service.page(table, from).await)
    }

    async fn read_changes(
        &self,
        table: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<TableChanges, TableError> {
        let known = TableRevision::from_number(revision);
        if Some(known.era) < self.era.get() {
            return Err(TableError::HistoryGone);
        }
        let response = self.service.changes_after(table, known.version, wait).await;
        let EraRows { era, rows, .. } = self.latest_rows(response)?;
        match era.cmp(&known.era) {
            Ordering::Equal => Ok(rows),
            // The version has been assigned again, and the changes follow another state.
            Ordering::Greater => Err(TableError::HistoryGone),
            Ordering::Less => Err(restored_meanwhile()),
        }
    }

    /// The rows of a response, unless a response of a later era has arrived meanwhile.
    fn latest_rows(&self, response: RowsResult) -> Result<EraRows, TableError> {
        let EraAnswer {
            era,
            status,
            content,
        } = response?;
        self.era.observe(era, status);
        if Some(era) < self.era.get() {
            return Err(restored_meanwhile());
        }
        let mut content = content?;
        let next = content.next.take();
        let rows = with_revisions(content, era)?;
        Ok(EraRows { era, rows, next })
    }

    /// The era that a call assumes: the latest one that is known, also from the revisions that the
    /// call contains. Without any, the first response determines the era.
    fn assumed_era(&self, expected: impl Iterator<Item = u64>) -> Option<u64> {
        let stated = expected.filter(|revision| *revision > 0).map(era_of).max();
        self.era.get().max(stated)
    }

    /// The result of a write whose expected versions are of the era `assumed`.
    fn write_result(&self, response: WriteResult, assumed: Option<u64>) -> TransactionResult {
        let Ok(answer) = response else {
            return TransactionResult::Unknown;
        };
        let era = answer.era;
        self.era.observe(era, answer.status);
        let is_assumed = assumed.is_none_or(|assumed| assumed == era);
        let is_latest = self.era.get() == Some(era);
        match answer.content {
            VersionedWrite::Refused { throttled } => TransactionResult::Refused { throttled },
            // In another era, the expected versions may have been those of other rows, and a write
            // of an earlier era is lost.
            VersionedWrite::Committed(rows) if is_assumed && is_latest => {
                committed(with_revisions(rows, era))
            }
            VersionedWrite::Conflict(rows) if is_latest => conflict(with_revisions(rows, era)),
            VersionedWrite::Committed(_)
            | VersionedWrite::Conflict(_)
            | VersionedWrite::Unknown => TransactionResult::Unknown,
        }
    }
}

/// Rows, and the era of the response that contained them.
struct EraRows {
    era: u64,
    rows: TableChanges,
    /// Key from which the next page continues.
    next: Option<String>,
}

/// The error of a read that a restore of the service has overtaken.
fn restored_meanwhile() -> TableError {
    TableError::NoResponse("the table was restored meanwhile".to_owned())
}

fn committed(rows: Result<TableChanges, TableError>) -> TransactionResult {
    match rows {
        Ok(rows) => TransactionResult::Committed {
            revision: rows.version,
            rows: Vec::new(),
        },
        Err(_) => TransactionResult::Unknown,
    }
}

fn conflict(rows: Result<TableChanges, TableError>) -> TransactionResult {
    match rows {
        Ok(rows) => TransactionResult::Conflict {
            rows: present_rows(rows.changes).collect(),
        },
        Err(_) => TransactionResult::Unknown,
    }
}

/// The rows that exist.
fn present_rows(changes: Vec<RowChange>) -> impl Iterator<Item = TableRow> {
    changes.into_iter().filter_map(|change| match change {
        RowChange::Put(row) => Some(row),
        RowChange::Removed { .. } => None,
    })
}

/// Replaces the versions of a response of this era by revisions.
fn with_revisions(rows: VersionedRows, era: u64) -> Result<TableChanges, TableError> {
    let changes = rows
        .changes
        .into_iter()
        .map(|change| with_revision(change, era));
    Ok(TableChanges {
        version: revision(rows.version, era)?,
        changes: changes.collect::<Result<_, _>>()?,
    })
}

fn with_revision(mut change: RowChange, era: u64) -> Result<RowChange, TableError> {
    let version = match &mut change {
        RowChange::Put(row) => &mut row.modified,
        RowChange::Removed { version, .. } => version,
    };
    // Version 0 states that there is no row, in every era.
    if *version > 0 {
        *version = revision(*version, era)?;
    }
    Ok(change)
}

fn revision(version: u64, era: u64) -> Result<u64, TableError> {
    let revision = TableRevision { era, version };
    revision
        .to_number()
        .map_err(|error| TableError::InvalidResponse(error.to_string()))
}

/// The version that a row must have in this era to have been last written at `revision`. A row read
/// in an earlier era may not exist any more, and another row may have its version.
fn expected_version(revision: u64, era: u64) -> u64 {
    let expected = TableRevision::from_number(revision);
    if revision == 0 || expected.era == era {
        expected.version
    } else {
        UNUSED_VERSION
    }
}

/// Replaces the expected revisions of a transaction by versions of this era.
fn with_versions(mut transaction: Transaction, era: u64) -> Transaction {
    for compare in &mut transaction.compares {
        compare.modified = expected_version(compare.modified, era);
    }
    transaction
}

/// Whether all keys of a transaction name a table.
fn names_tables(transaction: &Transaction) -> bool {
    let compared = transaction.compares.iter().map(|compare| &compare.key);
    let mut keys = compared.chain(transaction.puts.iter().map(|put| &put.key));
    keys.all(|key| names_table(key))
}

fn names_table(key: &str) -> bool {
    key.contains('/')
}

impl<T: VersionedTable> WatchedTable for RestorableTable<T> {
    fn read<'a>(&'a self, table: &'a str) -> BoxFuture<'a, Result<TableSnapshot, TableError>> {
        self.read_all(table).boxed()
    }

    fn changes<'a>(
        &'a self,
        table: &'a str,
        version: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<TableChanges, TableError>> {
        self.read_changes(table, version, wait).boxed()
    }

    fn transact(&self, transaction: Transaction) -> BoxFuture<'_, TransactionResult> {
        async move {
            if !names_tables(&transaction) {
                return TransactionResult::Conflict { rows: Vec::new() };
            }
            let expected = transaction.compares.iter().map(|compare| compare.modified);
            let era = self.assumed_era(expected);
            let transaction = with_versions(transaction, era.unwrap_or(0));
            self.write_result(self.service.write(transaction).await, era)
        }
        .boxed()
    }

    fn remove<'a>(&'a self, key: &'a str, version: u64) -> BoxFuture<'a, TransactionResult> {
        async move {
            if !names_table(key) {
                return TransactionResult::Conflict { rows: Vec::new() };
            }
            let era = self.assumed_era(std::iter::once(version));
            let version = expected_version(version, era.unwrap_or(0));
            self.write_result(self.service.remove_at(key, version).await, era)
        }
        .boxed()
    }
}
