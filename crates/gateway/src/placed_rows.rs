//! Writes the placement holder's rows on engines, several in one transaction.
//!
//! The input is rows, each with the version that its key must have before the write. The output is
//! the result for each row. The table executes the writes of one partition one after the other.
//! When each row had its own write, a write waited in that queue for longer than its response
//! timeout.

use std::time::Duration;

use gorsebank_contract::{Compare, Put, TableRow, Transaction, TransactionResult};
use gorsebank_fleet::PlacedRow;
use gorsebank_world::BackEndId;
use tokio::time::sleep;

use crate::ports::WatchedTable;
use crate::shared::Shared;

/// Maximum number of rows in one transaction. The platform allows 100.
pub const MAX_ROWS_PER_TRANSACTION: usize = 48;
/// Maximum number of attempts to write, if attempts have no response.
const MAX_ATTEMPTS: u32 = 4;
/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// A row to be written.
pub struct RowToWrite {
    /// The engine that the row is about.
    pub id: BackEndId,
    pub row: PlacedRow,
    /// The version of the present row; 0 if there is none.
    pub version: u64,
}

/// A row and the result of its write.
pub struct AttemptedRow {
    /// The engine that the row is about.
    pub id: BackEndId,
    pub row: PlacedRow,
    pub result: RowWriteResult,
}

/// The result of writing a row.
pub enum RowWriteResult {
    /// The row was written at this version.
    Committed(u64),
    /// The table contains another row at this version.
    Conflict(u64),
    /// The result is unknown.
    Unknown,
    /// The row was not written because another row of the same transaction had a conflict.
    NotAttempted,
}

/// Writes rows, each only if the present row has the expected version. A write whose response was
/// lost is repeated under the same conditions, so that it takes effect once.
pub async fn write(shared: &Shared, rows: Vec<RowToWrite>) -> Vec<AttemptedRow> {
    let puts: Option<Vec<Put>> = rows.iter().map(|row| build_put(shared, row)).collect();
    let Some(puts) = puts else {
        return map_rows(rows, |_| RowWriteResult::Unknown);
    };
    let compares = rows.iter().zip(&puts).map(|(row, put)| Compare {
        key: put.key.clone(),
        modified: row.version,
    });
    let transaction = Transaction {
        compares: compares.collect(),
        puts: puts.clone(),
        reads: Vec::new(),
    };
    for _ in 0..MAX_ATTEMPTS {
        match shared.table().transact(transaction.clone()).await {
            TransactionResult::Committed { revision, .. } => {
                return map_rows(rows, |_| RowWriteResult::Committed(revision));
            }
            TransactionResult::Conflict { rows: current } => {
                let mut puts = puts.iter();
                return map_rows(rows, |row| match puts.next() {
                    Some(put) => conflict_result(row, put, &current),
                    None => RowWriteResult::Unknown,
                });
            }
            TransactionResult::Refused { .. } | TransactionResult::Unknown => {
                sleep(RETRY_DELAY).await
            }
        }
    }
    map_rows(rows, |_| RowWriteResult::Unknown)
}

fn build_put(shared: &Shared, row: &RowToWrite) -> Option<Put> {
    let value = serde_json::to_string(&row.row).ok()?;
    let key = format!("{}/{}", shared.platform.tables().placed, row.id);
    Some(Put { key, value })
}

fn map_rows(
    rows: Vec<RowToWrite>,
    mut result_of: impl FnMut(&RowToWrite) -> RowWriteResult,
) -> Vec<AttemptedRow> {
    let written = rows.into_iter().map(|row| AttemptedRow {
        result: result_of(&row),
        id: row.id,
        row: row.row,
    });
    written.collect()
}

/// The result for one row of a transaction in which not all conditions held.
fn conflict_result(row: &RowToWrite, put: &Put, current: &[TableRow]) -> RowWriteResult {
    let current = current.iter().find(|current| current.key == put.key);
    let version = current.map_or(0, |current| current.modified);
    if current.is_some_and(|current| current.value == put.value) {
        return RowWriteResult::Committed(version);
    }
    if version == row.version {
        RowWriteResult::NotAttempted
    } else {
        RowWriteResult::Conflict(version)
    }
}
