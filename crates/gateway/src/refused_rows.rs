//! Records table rows that could not be parsed, because another writer made them or because they
//! were corrupted.
//!
//! Input: rows that could not be parsed, with the reason, and rows that can be parsed again.
//! Output: one log line for each version of such a row, however often the gateway reads it, and
//! counters by reason. All other rows remain in use.

use std::collections::HashMap;

use gorsebank_contract::TableRow;
use parking_lot::Mutex;
use prometheus::IntCounterVec;

use crate::event_log::{self, LogPriority};
use crate::ports::{RowChange, RowFault, UNREADABLE_VALUE};

/// Maximum number of refused rows that are remembered to avoid repeated log lines. Each takes a few
/// hundred bytes.
const MAX_REMEMBERED: usize = 256;

/// Rows that could not be parsed.
pub struct RefusedRows {
    counter: IntCounterVec,
    /// Version at which each row was last refused.
    versions: Mutex<HashMap<String, u64>>,
}

/// Logs an entry of a page that is no row, because another program wrote it. Returns an unreadable row
/// in its place, so that all others of the page stay in use; `None` if the entry names no key.
pub fn unreadable_entry(
    key: Option<String>,
    page_version: u64,
    error: &dyn std::fmt::Display,
) -> Option<RowChange> {
    let logged = key.as_deref().unwrap_or("-");
    let fields = format_args!("row={logged:?} error=\"{error}\"");
    event_log::write(LogPriority::Decision, "row_entry_refused", fields);
    Some(RowChange::Put(TableRow {
        key: key?,
        value: UNREADABLE_VALUE.to_owned(),
        modified: page_version,
    }))
}

impl RefusedRows {
    /// Creates an empty record. `counter` counts refused rows by reason.
    pub fn new(counter: IntCounterVec) -> Self {
        RefusedRows {
            counter,
            versions: Mutex::default(),
        }
    }

    /// Records that the row at this version could not be parsed.
    pub fn record(&self, key: &str, version: u64, fault: RowFault, error: &dyn std::fmt::Display) {
        let mut versions = self.versions.lock();
        if versions.get(key) == Some(&version) {
            return;
        }
        if versions.len() < MAX_REMEMBERED || versions.contains_key(key) {
            versions.insert(key.to_owned(), version);
        }
        drop(versions);
        let reason = fault.as_str();
        self.counter.with_label_values(&[reason]).inc();
        let error = error.to_string();
        let fields = format_args!("row={key:?} version={version} reason={reason} error={error:?}");
        event_log::write(LogPriority::Decision, "row_refused", fields);
    }

    /// Records that the row was removed or can be parsed again.
    pub fn forget(&self, key: &str) {
        let mut versions = self.versions.lock();
        if !versions.is_empty() {
            versions.remove(key);
        }
    }
}
