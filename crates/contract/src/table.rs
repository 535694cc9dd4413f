//! Transactions of the platform's table service, and their results.

use gorsebank_world::NodeId;
use serde::{Deserialize, Serialize};

use crate::fence::Incarnation;

/// Identifies a transaction, so that its writer can find out whether it was committed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TransactionId {
    /// The node that writes the transaction.
    pub node: NodeId,
    /// The incarnation of that node.
    pub incarnation: Incarnation,
    /// A number that increases within that incarnation.
    pub number: u64,
}

/// A condition on the revision of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// The key of the row.
    pub key: String,
    /// The table revision that must have last written the row; 0 if the row must not exist.
    pub modified: u64,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key of the row.
    pub key: String,
    /// The content as JSON text.
    pub value: String,
}

/// A transaction. If all conditions hold, all rows are written. In either case, the rows named by
/// `reads` are returned from one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    pub compares: Vec<Compare>,
    /// Rows that are written if all conditions hold.
    pub puts: Vec<Put>,
    /// Keys of rows that are read. A key that ends in `/` is a prefix and reads all rows under it.
    pub reads: Vec<String>,
}

impl Transaction {
    /// Creates a transaction that writes one row if the table revision that last wrote the row is
    /// `modified` (0: the row must not exist).
    pub fn put_if(key: String, modified: u64, value: String) -> Self {
        Transaction {
            compares: vec![Compare {
                key: key.clone(),
                modified,
            }],
            puts: vec![Put { key, value }],
            reads: Vec::new(),
        }
    }
}

/// A row read from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// The key of the row.
    pub key: String,
    /// The content as JSON text.
    pub value: String,
    /// The table revision that last wrote the row.
    pub modified: u64,
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionResult {
    /// All conditions held and all rows were written at this table revision.
    Committed {
        revision: u64,
        /// The rows that were read.
        rows: Vec<TableRow>,
    },
    /// A condition did not hold; nothing was written.
    Conflict {
        /// The rows that were read.
        rows: Vec<TableRow>,
    },
    /// The table rejected the call. Nothing was written or will be written later.
    Refused {
        /// Whether the table limited the rate of calls; otherwise the table is unavailable.
        throttled: bool,
    },
    /// No response arrived. The transaction may have been committed, or may still be committed later.
    Unknown,
}

impl TransactionResult {
    /// The rows that were read; empty if the call was rejected or got no response.
    pub fn into_rows(self) -> Vec<TableRow> {
        match self {
            TransactionResult::Committed { rows, .. } | TransactionResult::Conflict { rows } => {
                rows
            }
            TransactionResult::Refused { .. } | TransactionResult::Unknown => Vec::new(),
        }
    }
}
