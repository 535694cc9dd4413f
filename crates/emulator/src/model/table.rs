//! An emulated transactional key-value table with revisions. In: transactions.
//! Out: their results.

use std::collections::BTreeMap;

use gorsebank_contract::{TableRow, Transaction, TransactionResult};

#[derive(Clone, Debug)]
struct Value {
    text: String,
    modified: u64,
}

/// The rows, each with the revision that wrote it last.
#[derive(Clone, Debug, Default)]
pub struct TableModel {
    revision: u64,
    rows: BTreeMap<String, Value>,
    transactions: u64,
}

impl TableModel {
    /// Executes a transaction.
    pub fn transact(&mut self, transaction: &Transaction) -> TransactionResult {
        self.transactions += 1;
        let compares_hold = transaction
            .compares
            .iter()
            .all(|compare| self.modified(&compare.key) == compare.modified);
        if !compares_hold {
            return TransactionResult::Conflict {
                rows: self.read(&transaction.reads),
            };
        }
        if !transaction.puts.is_empty() {
            self.revision += 1;
        }
        for put in &transaction.puts {
            let value = Value {
                text: put.value.clone(),
                modified: self.revision,
            };
            self.rows.insert(put.key.clone(), value);
        }
        TransactionResult::Committed {
            revision: self.revision,
            rows: self.read(&transaction.reads),
        }
    }

    fn modified(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |value| value.modified)
    }

    fn read(&self, reads: &[String]) -> Vec<TableRow> {
        reads.iter().flat_map(|key| self.rows_under(key)).collect()
    }

    /// The row `key`, or all rows whose keys begin with `key` if it ends in `/`.
    pub fn rows_under(&self, key: &str) -> Vec<TableRow> {
        let is_prefix = key.ends_with('/');
        self.rows
            .range(key.to_owned()..)
            .take_while(|(name, _)| {
                if is_prefix {
                    name.starts_with(key)
                } else {
                    *name == key
                }
            })
            .map(|(name, value)| TableRow {
                key: name.clone(),
                value: value.text.clone(),
                modified: value.modified,
            })
            .collect()
    }

    /// The number of transactions so far.
    pub fn transaction_count(&self) -> u64 {
        self.transactions
    }
}
