//! Records table rows that could not be parsed, because another writer made them or because they
//! were corrupted.
//!
//! Input: rows that could not be parsed, with the reason, and rows that can be parsed again.
//! Output: one log line for each version of such a row, however often the gateway reads it, and
//! counters by reason. All other rows remain in use.

use std::collections::HashMap;

use parking_lot::Mutex;
use prometheus::IntCounterVec;

use crate::lines::{self, Rank};
use crate::ports::RowFault;

/// Maximum number of refused rows that are remembered to avoid repeated log lines. Each takes a few
/// hundred bytes.
const MOST_KNOWN: usize = 256;

/// Rows that could not be parsed.
pub struct RefusedRows {
    count: IntCounterVec,
    /// Version at which each row was last refused.
    known: Mutex<HashMap<String, u64>>,
}

impl RefusedRows {
    /// Creates an empty record. `count` counts refused rows by reason.
    pub fn new(count: IntCounterVec) -> Self {
        RefusedRows {
            count,
            known: Mutex::default(),
        }
    }

    /// Records that the row at this version could not be parsed.
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

    /// Records that the row was removed or can be parsed again.
    pub fn forget(&self, key: &str) {
        let mut known = self.known.lock();
        if !known.is_empty() {
            known.remove(key);
        }
    }
}
