//! Responses of a table service that arrive in another era than the one that a call assumes.

use std::collections::VecDeque;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{BoxFuture, ready};
use gorsebank_contract::{TableRevision, Transaction, TransactionResult};
use gorsebank_gateway::ports::{
    EraAnswer, RowsResult, TableError, VersionedRows, VersionedTable, VersionedWrite, WatchedTable,
    WriteResult,
};
use gorsebank_gateway::restorable_table::RestorableTable;
use parking_lot::Mutex;

type Content = Result<VersionedRows, TableError>;

/// A service that gives these responses, one for each call.
struct Responses {
    reads: Mutex<VecDeque<EraAnswer<Content>>>,
    /// Era of the responses to writes, all of which are committed.
    write_era: u64,
}

impl Responses {
    fn read(&self) -> BoxFuture<'_, RowsResult> {
        let answer = self.reads.lock().pop_front();
        ready(Ok(answer.expect("a response for each call"))).boxed()
    }

    fn commit(&self) -> BoxFuture<'_, WriteResult> {
        let content = VersionedWrite::Committed(VersionedRows::default());
        ready(Ok(answer(self.write_era, content))).boxed()
    }
}

impl VersionedTable for Responses {
    fn page<'a>(&'a self, _table: &'a str, _from: &'a str) -> BoxFuture<'a, RowsResult> {
        self.read()
    }

    fn changes_after<'a>(
        &'a self,
        _table: &'a str,
        _version: u64,
        _wait: Duration,
    ) -> BoxFuture<'a, RowsResult> {
        self.read()
    }

    fn write(&self, _transaction: Transaction) -> BoxFuture<'_, WriteResult> {
        self.commit()
    }

    fn remove_at<'a>(&'a self, _key: &'a str, _version: u64) -> BoxFuture<'a, WriteResult> {
        self.commit()
    }
}

fn answer<T>(era: u64, content: T) -> EraAnswer<T> {
    EraAnswer {
        era,
        status: 200,
        content,
    }
}

fn rows(version: u64, next: Option<&str>) -> Content {
    Ok(VersionedRows {
        changes: Vec::new(),
        version,
        next: next.map(str::to_owned),
    })
}

fn table(reads: &[(u64, Content)], write_era: u64) -> RestorableTable<Responses> {
    let reads = reads.iter().cloned();
    let reads = reads.map(|(era, content)| answer(era, content));
    RestorableTable::new(Responses {
        reads: Mutex::new(reads.collect()),
        write_era,
    })
}

fn is_overtaken<T>(result: &Result<T, TableError>) -> bool {
    matches!(result, Err(TableError::NoResponse(_)))
}

#[tokio::test]
async fn pages_from_before_and_after_a_restore_are_not_combined() {
    let table = table(&[(0, rows(5, Some("k"))), (1, rows(3, None))], 1);
    assert!(is_overtaken(&table.read("t").await));
}

#[tokio::test]
async fn a_response_that_a_later_era_has_overtaken_is_not_applied() {
    let table = table(&[(1, rows(3, None)), (0, rows(5, None))], 0);
    let after = table.read("t").await.expect("the later era").version;
    let revision = TableRevision { era: 1, version: 3 };
    assert_eq!(revision.to_number(), Ok(after));
    assert!(is_overtaken(&table.read("t").await));
    let transaction = Transaction {
        compares: Vec::new(),
        puts: Vec::new(),
        reads: Vec::new(),
    };
    let write = table.transact(transaction).await;
    assert_eq!(write, TransactionResult::Unknown);
}

#[tokio::test]
async fn changes_are_gone_once_a_rejected_call_states_a_later_era() {
    let table = table(&[(0, rows(5, None)), (1, Err(TableError::Throttled))], 1);
    let version = table.read("t").await.expect("rows").version;
    let changes = table.changes("t", version, Duration::ZERO).await;
    assert_eq!(changes, Err(TableError::Throttled));
    let changes = table.changes("t", version, Duration::ZERO).await;
    assert_eq!(changes, Err(TableError::HistoryGone));
}

#[tokio::test]
async fn versions_beyond_the_range_of_revisions_are_reported() {
    let table = table(&[(0, rows(1 << 40, None))], 0);
    let read = table.read("t").await;
    assert!(matches!(read, Err(TableError::InvalidResponse(_))));
}

#[tokio::test]
async fn a_key_without_a_table_matches_no_row() {
    let removed = table(&[], 0).remove("key", 1).await;
    assert_eq!(removed, TransactionResult::Conflict { rows: Vec::new() });
}
