//! Transfer of whole tables page by page. A table of thousands of rows neither fits into one
//! message nor crosses a slow link within the time limit of a response.
//!
//! In: rows, ordered by key. Out: compressed pages of limited size, and the rows reassembled from
//! such pages. Pages may have different versions: the reassembled table is complete at the version
//! of the first page, and the changes after that version are requested as usual. Pages of a later
//! era than the first one are of another history, and the transfer starts again.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gorsebank_contract::era_of;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::packed::{PackedChange, deflate, inflate};

/// Minimum size of a page that is followed by another, in bytes before compression: 0.1 s on a
/// link of 10 megabits per second.
const PAGE_BYTES: usize = 128 * 1024;
/// Size of an encoded row without its key and value, in bytes.
const ROW_OVERHEAD_BYTES: usize = 16;
/// Maximum size of a page that is decompressed, in bytes. The limit exceeds [`PAGE_BYTES`] because
/// the last row of a page may be long.
const MAX_PAGE_BYTES: u64 = 4 * 1024 * 1024;

/// A request for one page of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRequest {
    /// The last key of the previous page; `None` for the first page.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
    /// The version of the first page. A page of an older version cannot be combined with it.
    #[serde(rename = "v", default)]
    pub version: u64,
}

/// One page of a table: a range of rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePage {
    /// The rows, compressed.
    #[serde(rename = "r")]
    rows: Bytes,
    /// Version of the table.
    #[serde(rename = "v")]
    pub version: u64,
    /// The last key of the page, if the table has rows after it.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// A page cannot be encoded or decoded.
#[derive(Debug, Error)]
#[error("cannot encode or decode a page of a table: {0}")]
pub struct PageError(String);

impl TablePage {
    /// Encodes the page of a table that starts after a key.
    ///
    /// # Errors
    ///
    /// If the rows cannot be encoded.
    pub fn new(
        table: &BTreeMap<String, Arc<PackedChange>>,
        after: Option<&str>,
        version: u64,
    ) -> Result<Self, PageError> {
        let first = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut remaining = table.range::<str, _>((first, Bound::Unbounded));
        let (mut rows, mut bytes) = (Vec::new(), 0);
        for (key, row) in remaining.by_ref() {
            bytes += key.len() + row.value_bytes() + ROW_OVERHEAD_BYTES;
            rows.push(row.clone());
            if bytes >= PAGE_BYTES {
                break;
            }
        }
        let last = rows.last().map(|row| row.key.clone());
        let mut encoded = Vec::with_capacity(bytes);
        ciborium::into_writer(&rows, &mut encoded).map_err(|error| PageError(error.to_string()))?;
        let rows = deflate(&encoded).map_err(|error| PageError(error.to_string()))?;
        Ok(TablePage {
            rows,
            version,
            next: last.filter(|_| remaining.next().is_some()),
        })
    }

    /// Decodes the rows of the page.
    ///
    /// # Errors
    ///
    /// If the rows were not encoded by [`TablePage::new`].
    pub fn rows(&self) -> Result<Vec<Arc<PackedChange>>, PageError> {
        let encoded =
            inflate(&self.rows, MAX_PAGE_BYTES).map_err(|error| PageError(error.to_string()))?;
        ciborium::from_reader(encoded.as_slice()).map_err(|error| PageError(error.to_string()))
    }
}

/// The pages of a table received so far.
#[derive(Debug, Default)]
pub struct PartialTable {
    rows: BTreeMap<String, Arc<PackedChange>>,
    /// The page to request next.
    next: PageRequest,
    /// When the table confirmed the first page, as time since boot.
    confirmed_at: Duration,
}

/// A table of which all pages were received.
#[derive(Debug)]
pub struct WholeTable {
    /// The rows of all pages.
    pub rows: Vec<Arc<PackedChange>>,
    /// The version at which the rows are complete.
    pub version: u64,
    /// When the table confirmed that version, as time since boot.
    pub confirmed_at: Duration,
}

impl PartialTable {
    /// The page to request next.
    pub fn next(&self) -> &PageRequest {
        &self.next
    }

    /// Whether the first page was received and others are outstanding.
    pub fn is_started(&self) -> bool {
        self.next.after.is_some()
    }

    /// Adds a page that the table confirmed at `confirmed_at` since boot. Returns the whole table
    /// if this was its last page. Ignores a page that is older than the first one.
    ///
    /// # Errors
    ///
    /// If the page cannot be decoded; the state does not change then.
    pub fn add(
        &mut self,
        page: &TablePage,
        confirmed_at: Duration,
    ) -> Result<Option<WholeTable>, PageError> {
        let rows = page.rows()?;
        if self.is_started() && era_of(page.version) > era_of(self.next.version) {
            *self = PartialTable::default();
            return Ok(None);
        }
        if !self.is_started() {
            self.next.version = page.version;
            self.confirmed_at = confirmed_at;
        } else if page.version < self.next.version {
            // The sender is behind the gateway that sent the first page. The page is requested
            // again until a gateway that has caught up sends it.
            return Ok(None);
        }
        self.rows
            .extend(rows.into_iter().map(|row| (row.key.clone(), row)));
        self.next.after.clone_from(&page.next);
        if self.is_started() {
            return Ok(None);
        }
        let whole = std::mem::take(self);
        Ok(Some(WholeTable {
            rows: whole.rows.into_values().collect(),
            version: whole.next.version,
            confirmed_at: whole.confirmed_at,
        }))
    }
}
