//! Whole tables, page by page: a table of thousands of rows neither fits into one message nor
//! crosses a slow link within the time in which an answer is waited for.
//!
//! In: rows, by their keys. Out: pages of some size, compressed as a whole, and the rows of such
//! pages put together again. Pages may be of different versions: what is put together is
//! complete at the version of the first one, and the changes after that are asked for as ever.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::packed::{PackedChange, deflate, inflate};

/// Bytes of rows on one page, before they are compressed: a tenth of a second on a link of 10
/// megabits a second.
const PAGE_BYTES: usize = 128 * 1024;
/// Bytes that a row takes beside its key and value.
const ROW_BYTES: usize = 16;
/// Longest page that is read, in bytes before it was compressed: a last row may be long.
const LONGEST_PAGE: u64 = 4 * 1024 * 1024;

/// Which page of a table is asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageAsk {
    /// The page behind this key; none for the first one.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
    /// The version of the first page: older ones do not go with it.
    #[serde(rename = "v", default)]
    pub version: u64,
}

/// Some of the rows of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePage {
    /// The rows, compressed.
    #[serde(rename = "r")]
    rows: Bytes,
    /// Version of the table.
    #[serde(rename = "v")]
    pub version: u64,
    /// The last key, if there are rows behind it.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// A page cannot be made or read.
#[derive(Debug, Error)]
#[error("page of a table: {0}")]
pub struct PageError(String);

impl TablePage {
    /// The page of a table that lies behind a key.
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
        let mut behind = table.range::<str, _>((first, Bound::Unbounded));
        let (mut rows, mut bytes) = (Vec::new(), 0);
        for (key, row) in behind.by_ref() {
            bytes += key.len() + row.value_bytes() + ROW_BYTES;
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
            next: last.filter(|_| behind.next().is_some()),
        })
    }

    /// Its rows.
    ///
    /// # Errors
    ///
    /// If they are not what [`TablePage::new`] makes.
    pub fn rows(&self) -> Result<Vec<Arc<PackedChange>>, PageError> {
        let encoded =
            inflate(&self.rows, LONGEST_PAGE).map_err(|error| PageError(error.to_string()))?;
        ciborium::from_reader(encoded.as_slice()).map_err(|error| PageError(error.to_string()))
    }
}

/// The pages of a table that have come so far.
#[derive(Debug, Default)]
pub struct PartOfTable {
    rows: BTreeMap<String, Arc<PackedChange>>,
    /// What to ask for next.
    next: PageAsk,
    /// When the table confirmed the first page, since the machine started.
    confirmed: Duration,
}

/// A table of which all pages have come.
#[derive(Debug)]
pub struct WholeTable {
    /// Its rows.
    pub rows: Vec<Arc<PackedChange>>,
    /// The version at which they are complete.
    pub version: u64,
    /// When the table confirmed that version, since the machine started.
    pub confirmed: Duration,
}

impl PartOfTable {
    /// The page to ask for next.
    pub fn next(&self) -> &PageAsk {
        &self.next
    }

    /// Whether any page has come.
    pub fn is_begun(&self) -> bool {
        self.next.after.is_some()
    }

    /// Adds a page that the table confirmed at this time since the machine started. Out: the
    /// whole table, once this was its last page. A page that is older than the first one is passed
    /// over.
    ///
    /// # Errors
    ///
    /// If the page cannot be read; nothing is changed then.
    pub fn add(
        &mut self,
        page: &TablePage,
        confirmed: Duration,
    ) -> Result<Option<WholeTable>, PageError> {
        let rows = page.rows()?;
        if !self.is_begun() {
            self.next.version = page.version;
            self.confirmed = confirmed;
        } else if page.version < self.next.version {
            // Whoever told it is behind the one that told the first page, and will catch up.
            return Ok(None);
        }
        self.rows
            .extend(rows.into_iter().map(|row| (row.key.clone(), row)));
        self.next.after.clone_from(&page.next);
        if self.is_begun() {
            return Ok(None);
        }
        let whole = std::mem::take(self);
        Ok(Some(WholeTable {
            rows: whole.rows.into_values().collect(),
            version: whole.next.version,
            confirmed: whole.confirmed,
        }))
    }
}
