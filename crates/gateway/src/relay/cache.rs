//! Rows of tables that this gateway follows, kept for gateways that it feeds.
//!
//! In: answers of the table to this gateway's own calls. Out: the same rows and changes
//! with the time since the table last confirmed them.
//!
//! Invariant: a table's version only rises, and changes between the first version that
//! is kept and the newest are complete; after a gap nothing older is told.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use gorsebank_contract::TableRow;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::ports::{RowChange, TableChanges, TableError, TableSnapshot};

/// Changes of a table that are kept: those that ask are behind by less than a second.
const CHANGES_KEPT: usize = 256;

/// What is kept of one table.
#[derive(Debug)]
struct CachedTable {
    rows: Option<BTreeMap<String, TableRow>>,
    /// Changes after `since`, in order.
    changes: VecDeque<RowChange>,
    since: u64,
    version: u64,
    confirmed: Instant,
    /// Version of the newest change; rings when there is one.
    newest: watch::Sender<u64>,
}

/// What is kept of all tables.
#[derive(Debug, Default)]
pub struct TableCache(HashMap<String, CachedTable>);

impl TableCache {
    /// The table was read as a whole.
    pub fn replace(&mut self, table: &str, snapshot: &TableSnapshot) {
        let rows = snapshot.rows.iter();
        let rows = rows.map(|row| (row.key.clone(), row.clone())).collect();
        let kept = self.entry(table, snapshot.version);
        if snapshot.version < kept.version {
            return;
        }
        if snapshot.version > kept.version {
            kept.restart(snapshot.version);
        }
        kept.rows = Some(rows);
        kept.confirmed = Instant::now();
    }

    /// The table told its changes after `version`.
    pub fn advance(&mut self, table: &str, version: u64, told: &TableChanges) {
        let kept = self.entry(table, version);
        if version > kept.version {
            kept.restart(version);
        }
        if told.version < kept.version {
            return;
        }
        for change in &told.changes {
            kept.take(change);
        }
        kept.version = told.version;
        kept.confirmed = Instant::now();
        if let Some(newest) = told.changes.last() {
            kept.newest.send_replace(newest.version());
        }
    }

    /// Nothing is kept any more, since this gateway follows the table no longer.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// All rows of a table, if they were confirmed within `most`.
    pub fn snapshot(&self, table: &str, most: Duration) -> Option<(TableSnapshot, Duration)> {
        let (kept, age) = self.fresh(table, most)?;
        let rows = kept.rows.as_ref()?.values().cloned().collect();
        let version = kept.version;
        Some((TableSnapshot { rows, version }, age))
    }

    /// Changes of a table after `version`, if they were confirmed within `most`. An
    /// error if changes since then are not kept.
    pub fn changes(
        &self,
        table: &str,
        version: u64,
        most: Duration,
    ) -> Option<Result<(TableChanges, Duration), TableError>> {
        let (kept, age) = self.fresh(table, most)?;
        if version < kept.since {
            return Some(Err(TableError::HistoryGone));
        }
        let changes = kept.changes_after(version);
        let version = kept.version;
        Some(Ok((TableChanges { changes, version }, age)))
    }

    /// Rings when a table has a change; none if nothing is kept of it.
    pub fn subscribe(&self, table: &str) -> Option<watch::Receiver<u64>> {
        Some(self.0.get(table)?.newest.subscribe())
    }

    fn fresh(&self, table: &str, most: Duration) -> Option<(&CachedTable, Duration)> {
        let kept = self.0.get(table)?;
        let age = kept.confirmed.elapsed();
        (age <= most).then_some((kept, age))
    }

    fn entry(&mut self, table: &str, version: u64) -> &mut CachedTable {
        let kept = self.0.entry(table.to_owned());
        kept.or_insert_with(|| CachedTable {
            rows: None,
            changes: VecDeque::new(),
            since: version,
            version,
            confirmed: Instant::now(),
            newest: watch::channel(version).0,
        })
    }
}

impl CachedTable {
    /// Changes before this version are not known to be complete.
    fn restart(&mut self, version: u64) {
        self.rows = None;
        self.changes.clear();
        self.since = version;
        self.version = version;
    }

    /// Changes after `version`, in order. All of them: a back end that said that it leaves
    /// stays leaving, whatever an older heartbeat says after that.
    fn changes_after(&self, version: u64) -> Vec<RowChange> {
        let newer = |change: &&RowChange| change.version() > version;
        self.changes.iter().filter(newer).cloned().collect()
    }

    fn take(&mut self, change: &RowChange) {
        if change.version() <= self.version {
            return;
        }
        match (&mut self.rows, change) {
            (Some(rows), RowChange::Put(row)) => {
                rows.insert(row.key.clone(), row.clone());
            }
            (Some(rows), RowChange::Removed { key, .. }) => {
                rows.remove(key);
            }
            (None, _) => {}
        }
        self.changes.push_back(change.clone());
        if self.changes.len() > CHANGES_KEPT
            && let Some(oldest) = self.changes.pop_front()
        {
            self.since = oldest.version();
        }
    }
}
