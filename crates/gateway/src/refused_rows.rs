//! Rows of tables that say nothing this gateway can use: another writer made them, or they
//! were spoiled.
//!
//! In: rows that could not be read, and why; rows that can be again. Out: one line for each
//! row, however often it is seen, and counters by reason. All other rows hold.

use std::collections::HashMap;

use parking_lot::Mutex;
use prometheus::IntCounterVec;

use crate::lines::{self, Rank};
use crate::ports::RowFault;

/// Rows that are remembered as refused, so that each has one line: some hundred bytes each.
const MOST_KNOWN: usize = 256;

/// What is known of rows that were refused.
pub struct RefusedRows {
    count: IntCounterVec,
    /// Version at which each was refused last.
    known: Mutex<HashMap<String, u64>>,
}

impl RefusedRows {
    /// Nothing was refused yet. `count` counts rows by reason.
    pub fn new(count: IntCounterVec) -> Self {
        RefusedRows {
            count,
            known: Mutex::default(),
        }
    }

    /// A row at this version says nothing that could be used.
    pub fn refuse(&self, key: &str, version: u64, fault: RowFault, error: &dyn std::fmt::Display) {
        let mut known = self.known.lock();
        if known.get(key) == Some(&version) {
            return;
        }
        if known.len() < MOST_KNOWN || known.contains_key(key) {
            known.insert(key.to_owned(), version);
        }
        drop(known);
        let reason = fault.as_str();
        self.count.with_label_values(&[reason]).inc();
        let error = error.to_string();
        let fields = format_args!("row={key:?} version={version} reason={reason} error={error:?}");
        lines::write(Rank::Decision, "row_refused", fields);
    }

    /// A row is gone, or can be read again.
    pub fn forget(&self, key: &str) {
        let mut known = self.known.lock();
        if !known.is_empty() {
            known.remove(key);
        }
    }
}
