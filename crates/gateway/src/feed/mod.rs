//! Distribution of table changes among gateways: few gateways follow the table, and the others
//! receive its changes from them.
//!
//! ```text
//! table --> roots --> intermediate gateways --> all others
//! ```
//!
//! In: responses of the table (at roots) or of this gateway's parent. Out: rows and changes for
//! this gateway's own followers ([`crate::table_followers`]) and for its children.
//!
//! Requests to parents also carry the number of requests that gateways have running at back ends,
//! and the responses carry the sums over all gateways. One of hundreds of gateways sees too few
//! requests to tell how busy a back end is.
//!
//! [`parents`] chooses the gateways to ask, [`table_sync`] reads the table or asks a parent,
//! [`read_schedule`] decides when a gateway without updates from parents reads the table,
//! [`cache`] keeps the tables, [`packed`] is the form in which rows are sent, [`page`] divides
//! whole tables into pages, [`message`] defines the messages, and [`restores`] observes restores of
//! the table. [`on_demand`] reads the table for decisions that cannot wait for the next update.
//! Updates are ordered by the table's revisions only. No clocks are compared between gateways; each
//! gateway adds to the age of an update.

pub mod cache;
pub mod message;
pub mod on_demand;
pub mod packed;
pub mod page;
mod parent_follower;
pub mod parents;
pub mod read_schedule;
pub mod restores;
mod sync_policy;
pub mod table_sync;
mod verified_contents;

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_contract::TableRow;
use gorsebank_fleet::running::Running;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

pub use cache::TableCache;
pub use message::{FeedRequest, FeedResponse, TablePosition, TableUpdate, UpdateContent};
pub use parents::{Member, Parents};
pub use sync_policy::{MAX_UPDATE_WAIT, TableSyncPolicy, max_update_age, table_sync_policies};

use crate::clock::Clock;
use crate::event_log::{self, LogPriority};
use crate::ports::{RowChange, TableSnapshot};
use crate::quarantine::SharedQuarantine;

/// The tables as this gateway knows them, and the gateways from which it receives updates.
pub struct Feed {
    cache: Mutex<TableCache>,
    /// The version that the follower of each table has applied.
    applied: Mutex<HashMap<&'static str, u64>>,
    /// Notified when a follower has applied a version.
    has_applied: Notify,
    /// Held by the request that reads the table on demand.
    on_demand_read: tokio::sync::Mutex<()>,
    /// The gateways to ask for updates.
    pub parents: Mutex<Parents>,
    /// The requests that all gateways have running at back ends.
    pub running: Mutex<Running>,
    /// Notified when another gateway requested updates from this one.
    pub update_requested: Notify,
    /// Notified when the position in the tree may have changed.
    pub position_changed: Notify,
}

/// An update for a follower of one table.
#[derive(Debug)]
pub enum FollowerUpdate {
    /// The whole table.
    Rows(Vec<TableRow>),
    /// Changes, in order.
    Changes(Vec<RowChange>),
}

impl Feed {
    /// A feed without tables or parents.
    pub fn new(clock: Clock) -> Self {
        Feed {
            cache: Mutex::new(TableCache::new(clock)),
            applied: Mutex::default(),
            has_applied: Notify::default(),
            on_demand_read: tokio::sync::Mutex::default(),
            parents: Mutex::default(),
            running: Mutex::default(),
            update_requested: Notify::default(),
            position_changed: Notify::default(),
        }
    }

    /// Calls a function with exclusive access to the cache.
    pub fn cache<T>(&self, function: impl FnOnce(&mut TableCache) -> T) -> T {
        function(&mut self.cache.lock())
    }

    /// The rows of a table, if the table confirmed them within the last `max_age`.
    pub fn rows(&self, table: &str, max_age: Duration) -> Option<Vec<TableRow>> {
        Some(self.snapshot(table, max_age)?.rows)
    }

    /// The rows of a table and its version, if the table confirmed them within the last `max_age`.
    pub fn snapshot(&self, table: &str, max_age: Duration) -> Option<TableSnapshot> {
        let position = TablePosition {
            table: table.to_owned(),
            version: None,
            newest_only: true,
            max_age_ms: u64::MAX,
            page: None,
        };
        let update = self.cache(|cache| cache.update_for(&position))?;
        if Duration::from_millis(update.age_ms) > max_age {
            return None;
        }
        match unpack(update.content) {
            (FollowerUpdate::Rows(rows), version) => Some(TableSnapshot { rows, version }),
            (FollowerUpdate::Changes(_), _) => None,
        }
    }

    /// Records that the follower of a table has applied it up to this version.
    pub fn record_applied(&self, table: &'static str, version: u64) {
        self.applied.lock().insert(table, version);
        self.has_applied.notify_waiters();
    }

    /// Time since the latest moment for which a table is known to have held nothing newer than
    /// its follower has applied; `None` if there is no such moment.
    pub fn verified_age(&self, table: &str) -> Option<Duration> {
        let applied = *self.applied.lock().get(table)?;
        self.cache(|cache| cache.verified_age(table, applied))
    }

    /// The latest moment for which a table is known to have held nothing newer than its follower has
    /// applied, as time since boot; `None` if there is no such moment.
    pub fn verified_at(&self, table: &str) -> Option<Duration> {
        let applied = *self.applied.lock().get(table)?;
        self.cache(|cache| cache.verified_at(table, applied))
    }

    /// Waits until the follower of a table has applied everything that the table held at `moment`, which
    /// is a time since boot.
    pub async fn wait_until_verified(&self, table: &str, moment: Duration) {
        loop {
            let applied = self.has_applied.notified();
            if self.verified_at(table).is_some_and(|at| at >= moment) {
                return;
            }
            applied.await;
        }
    }

    /// Returns a receiver that is notified when the table changes.
    pub fn subscribe(&self, table: &str) -> watch::Receiver<u64> {
        self.cache(|cache| cache.subscribe(table))
    }

    /// Returns a receiver of the era of the table, which rises when the table is restored from an
    /// older copy and one of the followed tables was read again.
    pub fn subscribe_to_era(&self) -> watch::Receiver<u64> {
        self.cache(|cache| cache.subscribe_to_era())
    }

    /// The update of a table since `position`, for a follower of this gateway; `None` if there are
    /// no changes. Advances the position.
    pub fn next_update(&self, position: &mut TablePosition) -> Option<FollowerUpdate> {
        let update = self.cache(|cache| {
            let is_newer = cache.is_newer(position);
            is_newer.then(|| cache.update_for(position)).flatten()
        })?;
        let (content, version) = unpack(update.content);
        position.version = Some(version);
        Some(content)
    }

    /// The updates of the requested tables, for a child. Waits until one of the tables has a change
    /// or is too old for the child, until there is a quarantine update, or for the wait of the
    /// request.
    pub async fn wait_for_updates(
        &self,
        request: &FeedRequest,
        quarantine: &SharedQuarantine,
    ) -> Vec<TableUpdate> {
        self.parents.lock().record_request();
        self.update_requested.notify_one();
        let mut any_table = self.cache(|cache| cache.subscribe_to_any());
        let mut quarantine_changes = quarantine.subscribe();
        let wait = Duration::from_millis(request.wait_ms).min(MAX_UPDATE_WAIT);
        let until_due = async {
            loop {
                any_table.mark_unchanged();
                quarantine_changes.mark_unchanged();
                let is_due = |cache: &mut TableCache| {
                    let mut tables = request.tables.iter();
                    tables.any(|it| cache.is_newer(it) || cache.is_too_old(it))
                };
                if self.cache(is_due) || quarantine.has_update_for(request.quarantine) {
                    return;
                }
                let changed = tokio::select! {
                    changed = any_table.changed() => changed,
                    changed = quarantine_changes.changed() => changed,
                };
                if changed.is_err() {
                    return;
                }
            }
        };
        // After a timeout, the response states that there are no changes and how old that
        // information is.
        let _ = timeout(wait, until_due).await;
        let tables = request.tables.iter();
        self.cache(|cache| tables.filter_map(|it| cache.update_for(it)).collect())
    }
}

/// Unpacks an update and returns it with its version. A row that cannot be unpacked is skipped and
/// logged.
fn unpack(content: UpdateContent) -> (FollowerUpdate, u64) {
    let (packed, version, is_whole) = match content {
        UpdateContent::Rows { rows, version } => (rows, version, true),
        UpdateContent::Changes { changes, version } => (changes, version, false),
        // Followers of this gateway do not request pages.
        UpdateContent::Page(page) => (Vec::new(), page.version, false),
    };
    let changes = packed.iter().filter_map(|change| match change.unpack() {
        Ok(change) => Some(change),
        Err(error) => {
            event_log::write(
                LogPriority::Decision,
                "row_refused",
                format_args!("error=\"{error}\""),
            );
            None
        }
    });
    if !is_whole {
        return (FollowerUpdate::Changes(changes.collect()), version);
    }
    let rows = changes.filter_map(|change| match change {
        RowChange::Put(row) => Some(row),
        RowChange::Removed { .. } => None,
    });
    (FollowerUpdate::Rows(rows.collect()), version)
}
