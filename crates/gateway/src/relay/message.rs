//! What gateways say to each other: a call of the table, and its answer.

use gorsebank_contract::{TableAnswer, Transaction};
use serde::{Deserialize, Serialize};

use crate::ports::{TableChanges, TableError, TableSnapshot};

/// A call of the table, made for another gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayRequest {
    /// All rows of a table.
    Read {
        /// The table.
        table: String,
    },
    /// Changes of a table.
    Changes {
        /// The table.
        table: String,
        /// After this version.
        version: u64,
        /// Longest wait for the first change, in milliseconds.
        wait: u64,
    },
    /// Rows of a table that were confirmed not long ago; the gateway may have kept them.
    Recent {
        /// The table.
        table: String,
    },
    /// Changes of a table that were confirmed not long ago.
    RecentChanges {
        /// The table.
        table: String,
        /// After this version.
        version: u64,
        /// Longest wait for the first change, in milliseconds.
        wait: u64,
    },
    /// A transaction.
    Transact(Transaction),
    /// The removal of a row.
    Remove {
        /// The row.
        key: String,
        /// The version that last wrote it.
        version: u64,
    },
}

impl RelayRequest {
    /// Whether it changes the table.
    pub fn is_write(&self) -> bool {
        matches!(
            self,
            RelayRequest::Transact(_) | RelayRequest::Remove { .. }
        )
    }
}

/// The table's answer to a relayed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// To a read.
    Rows(TableSnapshot),
    /// To a question for changes.
    Changes(TableChanges),
    /// To a question for recent rows.
    Recent {
        /// The rows.
        rows: TableSnapshot,
        /// Time since the table confirmed them, in milliseconds.
        age: u64,
    },
    /// To a question for recent changes.
    RecentChanges {
        /// The changes.
        changes: TableChanges,
        /// Time since the table confirmed them, in milliseconds.
        age: u64,
    },
    /// To a transaction or a removal.
    Transacted(TableAnswer),
    /// The table gave no answer, or the gateway does not reach it either.
    Failed(TableError),
}
