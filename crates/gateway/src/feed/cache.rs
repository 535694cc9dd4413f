//! Cache of the rows and recent changes of the tables that gateways follow.
//!
//! In: responses of the table itself, or of this gateway's parent. Out: the same rows and
//! changes, for this gateway's own followers and for its children. Each update states its age,
//! which is the time since the table last confirmed the content, and its verified age, which is
//! the time since the latest moment for which the content is known to equal the table.
//!
//! Versions are revisions of the table ([`gorsebank_contract::revision`]), which rise also when the
//! table is restored from an older copy.
//!
//! Invariants: a table's cached version never decreases. The cached changes between `since` and
//! the cached version are complete; after a gap, no changes from before the gap are sent. All
//! cached changes are of one era, so that a gateway with rows of an earlier era is sent all rows:
//! rows that it has may be missing in the restored table without a change that removes them.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{TableRevision, era_of};
use parking_lot::Mutex;
use tokio::sync::watch;

use super::message::{TablePosition, TableUpdate, UpdateContent};
use super::packed::PackedChange;
use super::page::{PageError, PageRequest, PartialTable, TablePage};
use super::verified_contents::VerifiedContents;
use crate::clock::Clock;
use crate::event_log::{self, LogPriority};
use crate::ports::{TableChanges, TableSnapshot};

/// Minimum number of changes kept per table; children are behind by less than a second. For a
/// table with more rows, the number of its rows applies instead. More changes would cost more to
/// send than the whole table. With fewer, a child that is slightly behind would have to be sent
/// the whole table while many rows change.
const MIN_CHANGES_KEPT: usize = 512;

/// The cached state of one table.
#[derive(Debug)]
struct CachedTable {
    rows: Option<BTreeMap<String, Arc<PackedChange>>>,
    /// Whether changes were missed, so that the whole table has to be read again.
    has_gap: bool,
    /// Changes after `since`, in order.
    changes: VecDeque<Arc<PackedChange>>,
    since: u64,
    version: u64,
    /// When the table last confirmed that it has no newer changes, as time since boot.
    confirmed_at: Option<Duration>,
    /// The moments for which recent contents of the table were verified.
    verified: VerifiedContents,
    /// Holds the version of the last change of rows, and notifies subscribers of it.
    newest: watch::Sender<u64>,
    /// The pages received so far of a read of the whole table.
    partial: PartialTable,
    /// Encoded pages of the table, by the key after which they start.
    encoded_pages: Mutex<HashMap<Option<String>, Arc<TablePage>>>,
}

/// How old a response is.
#[derive(Clone, Copy, Debug)]
struct ResponseAge {
    /// Time since the table confirmed the content.
    since_confirmed: Duration,
    /// The moment for which the content is known to equal the table, as time since boot.
    verified_at: Option<Duration>,
}

impl ResponseAge {
    /// A response of the table itself to a request sent at `requested_at`. The response may have
    /// been in transit since then, so its content is verified only for that moment.
    fn of_table(requested_at: Duration) -> Self {
        ResponseAge {
            since_confirmed: Duration::ZERO,
            verified_at: Some(requested_at),
        }
    }
}

/// The cached state of all tables.
#[derive(Debug, Default)]
pub struct TableCache {
    tables: HashMap<String, CachedTable>,
    /// Notified when any table changed.
    any: watch::Sender<()>,
    /// The latest era of any table.
    era: watch::Sender<u64>,
    clock: Clock,
}

impl TableCache {
    /// An empty cache.
    pub fn new(clock: Clock) -> Self {
        TableCache {
            clock,
            ..TableCache::default()
        }
    }

    /// Applies a read of the whole table that was requested at `requested_at` since boot.
    pub fn replace(&mut self, table: &str, snapshot: &TableSnapshot, requested_at: Duration) {
        let rows = snapshot.rows.iter().map(PackedChange::put).map(Arc::new);
        let ages = ResponseAge::of_table(requested_at);
        self.replace_packed(table, rows.collect(), snapshot.version, ages);
    }

    /// Applies the changes after `version`, as the table returned them to a request that was sent
    /// at `requested_at` since boot.
    pub fn advance(
        &mut self,
        table: &str,
        version: u64,
        update: &TableChanges,
        requested_at: Duration,
    ) {
        let changes = update.changes.iter().map(PackedChange::new).map(Arc::new);
        let ages = ResponseAge::of_table(requested_at);
        self.advance_packed(table, version, changes.collect(), update.version, ages);
    }

    /// Applies an update that another gateway sent in response to a request at the version
    /// `position`. `responded_at` is the earliest moment at which that gateway can have responded,
    /// as time since boot of this machine.
    pub fn apply_update(
        &mut self,
        position: Option<u64>,
        update: TableUpdate,
        responded_at: Duration,
    ) {
        let verified_age = update.verified_age_ms.map(Duration::from_millis);
        let ages = ResponseAge {
            since_confirmed: Duration::from_millis(update.age_ms),
            verified_at: verified_age.and_then(|age| responded_at.checked_sub(age)),
        };
        match (update.content, position) {
            (UpdateContent::Rows { rows, version }, _) => {
                self.replace_packed(&update.table, rows, version, ages);
            }
            (UpdateContent::Changes { changes, version }, Some(position)) => {
                self.advance_packed(&update.table, position, changes, version, ages);
            }
            // Without a known version, changes cannot be applied. The next response contains all
            // rows.
            (UpdateContent::Changes { .. }, None) => {}
            (UpdateContent::Page(page), _) => {
                self.apply_page(&update.table, &page, ages.since_confirmed)
            }
        }
    }

    /// Applies a page of a whole table, which the table confirmed `age` ago. The rows are not
    /// verified for any moment, since the changes since the first page are still to be requested.
    fn apply_page(&mut self, table: &str, page: &TablePage, age: Duration) {
        let now = self.clock.since_boot();
        let added = self.entry(table).partial.add(page, now.saturating_sub(age));
        match added {
            Ok(None) => {}
            Ok(Some(whole)) => {
                let ages = ResponseAge {
                    since_confirmed: now.saturating_sub(whole.confirmed_at),
                    verified_at: None,
                };
                self.replace_packed(table, whole.rows, whole.version, ages);
            }
            Err(error) => {
                let fields = format_args!("table={table} error=\"{error}\"");
                event_log::write(LogPriority::Decision, "page_refused", fields);
            }
        }
    }

    /// The page of a table to request next, in case all rows of the table have to be sent.
    pub fn next_page(&self, table: &str) -> PageRequest {
        let cached = self.tables.get(table);
        cached.map_or_else(PageRequest::default, |cached| cached.partial.next().clone())
    }

    /// Whether some pages of a table have been received and others are outstanding.
    pub fn has_outstanding_pages(&self, table: &str) -> bool {
        let cached = self.tables.get(table);
        cached.is_some_and(|cached| cached.partial.is_started())
    }

    fn replace_packed(
        &mut self,
        table: &str,
        rows: Vec<Arc<PackedChange>>,
        version: u64,
        ages: ResponseAge,
    ) {
        let now = self.clock.since_boot();
        let cached = self.entry(table);
        if version < cached.version {
            if cached.has_gap {
                log_dropped_read(table, version, cached.version);
            }
            return;
        }
        if cached.rows.is_some() && era_of(version) > era_of(cached.version) {
            log_restore(table, cached, version, rows.len());
            cached.restart(version);
        }
        let rows: BTreeMap<_, _> = rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        match cached.differences(&rows, version) {
            Some(changes) => changes.into_iter().for_each(|change| cached.apply(change)),
            None if version > cached.version => cached.restart(version),
            None => {}
        }
        cached.rows = Some(rows);
        cached.partial = PartialTable::default();
        cached.has_gap = false;
        cached.version = version;
        cached.newest.send_replace(version);
        cached.confirm(now, ages);
        self.any.send_replace(());
        let era = era_of(version);
        let is_later = |known: &mut u64| std::mem::replace(known, era.max(*known)) < era;
        self.era.send_if_modified(is_later);
    }

    fn advance_packed(
        &mut self,
        table: &str,
        after: u64,
        changes: Vec<Arc<PackedChange>>,
        version: u64,
        ages: ResponseAge,
    ) {
        let now = self.clock.since_boot();
        let cached = self.entry(table);
        if after > cached.version {
            cached.restart(after);
        }
        if version < cached.version {
            return;
        }
        cached.partial = PartialTable::default();
        let has_changes = !changes.is_empty();
        for change in changes {
            cached.apply(change);
        }
        cached.version = version;
        if has_changes {
            cached.newest.send_replace(version);
        }
        cached.confirm(now, ages);
        if has_changes {
            self.any.send_replace(());
        }
    }

    /// The cached version of a table, from which changes can be requested; `None` if the whole
    /// table has to be read.
    pub fn version(&self, table: &str) -> Option<u64> {
        let cached = self.tables.get(table)?;
        cached.rows.as_ref()?;
        (!cached.has_gap).then_some(cached.version)
    }

    /// Records that the table no longer has the changes since the cached version, so that the
    /// whole table has to be read again.
    pub fn record_gap(&mut self, table: &str) {
        self.entry(table).has_gap = true;
    }

    /// The update that brings a gateway at `position` to the cached version; `None` if the table's
    /// rows are not known. The update has no changes if the gateway is up to date.
    pub fn update_for(&self, position: &TablePosition) -> Option<TableUpdate> {
        let now = self.clock.since_boot();
        let cached = self.tables.get(&position.table)?;
        let age = cached.age(now)?;
        let page = match &position.page {
            Some(request) if position.version.is_none_or(|known| known < cached.since) => {
                Some(cached.page(request)?)
            }
            _ => None,
        };
        let rows = cached.rows.as_ref()?;
        let version = cached.version;
        let content = match position.version {
            Some(known) if known >= cached.since => UpdateContent::Changes {
                changes: cached.changes_after(known, position.newest_only),
                version,
            },
            _ => page.map_or_else(
                || UpdateContent::Rows {
                    rows: rows.values().cloned().collect(),
                    version,
                },
                UpdateContent::Page,
            ),
        };
        Some(TableUpdate {
            table: position.table.clone(),
            age_ms: age.as_millis() as u64,
            verified_age_ms: cached
                .verified
                .age(now, u64::MAX)
                .map(|age| age.as_millis() as u64 + 1),
            content,
        })
    }

    /// Whether the cached content is too old for a gateway at `position`.
    pub fn is_too_old(&self, position: &TablePosition) -> bool {
        let age = self.age(&position.table);
        age.is_none_or(|age| age > Duration::from_millis(position.max_age_ms))
    }

    /// Whether the cache has changes that a gateway at `position` lacks.
    pub fn is_newer(&self, position: &TablePosition) -> bool {
        let cached = self.tables.get(&position.table);
        cached.is_some_and(|cached| match position.version {
            Some(known) => *cached.newest.borrow() > known,
            None => cached.rows.is_some(),
        })
    }

    /// Time since the table confirmed the cached content; `None` if nothing is cached.
    pub fn age(&self, table: &str) -> Option<Duration> {
        self.tables.get(table)?.age(self.clock.since_boot())
    }

    /// Time since the latest moment for which the table is known to have held nothing newer than
    /// the version `applied`; `None` if there is no such moment.
    pub fn verified_age(&self, table: &str, applied: u64) -> Option<Duration> {
        let verified_at = self.verified_at(table, applied)?;
        Some(self.clock.since_boot().saturating_sub(verified_at))
    }

    /// The latest moment for which the table is known to have held nothing newer than the version
    /// `applied`, as time since boot; `None` if there is no such moment.
    pub fn verified_at(&self, table: &str, applied: u64) -> Option<Duration> {
        self.tables.get(table)?.verified.latest(applied)
    }

    /// Returns a receiver that is notified when the table changes.
    pub fn subscribe(&mut self, table: &str) -> watch::Receiver<u64> {
        self.entry(table).newest.subscribe()
    }

    /// Whether an update is of an earlier era than the cached content of its table: its sender has
    /// not read the table since a restore.
    pub fn is_of_earlier_era(&self, update: &TableUpdate) -> bool {
        let cached = self.tables.get(&update.table);
        cached.is_some_and(|cached| era_of(update.version()) < era_of(cached.version))
    }

    /// Whether all tables with cached rows are of the latest era.
    pub fn is_of_one_era(&self) -> bool {
        let era = *self.era.borrow();
        let mut cached = self.tables.values().filter(|cached| cached.rows.is_some());
        cached.all(|cached| era_of(cached.version) == era)
    }

    /// Returns a receiver of the latest era of any table.
    pub fn subscribe_to_era(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// Returns a receiver that is notified when any table changes.
    pub fn subscribe_to_any(&self) -> watch::Receiver<()> {
        self.any.subscribe()
    }

    fn entry(&mut self, table: &str) -> &mut CachedTable {
        let cached = self.tables.entry(table.to_owned());
        cached.or_insert_with(|| CachedTable {
            rows: None,
            has_gap: false,
            changes: VecDeque::new(),
            since: 0,
            version: 0,
            confirmed_at: None,
            verified: VerifiedContents::default(),
            newest: watch::channel(0).0,
            partial: PartialTable::default(),
            encoded_pages: Mutex::default(),
        })
    }
}

impl CachedTable {
    /// The requested page of the table. A page that was encoded for an earlier request is reused
    /// if its version is not older than the requester's first page and all changes since that
    /// version are cached.
    fn page(&self, request: &PageRequest) -> Option<Arc<TablePage>> {
        let rows = self.rows.as_ref()?;
        let oldest = self.since.max(request.version);
        let mut encoded_pages = self.encoded_pages.lock();
        if let Some(encoded) = encoded_pages.get(&request.after)
            && encoded.version >= oldest
        {
            return Some(encoded.clone());
        }
        let page = TablePage::new(rows, request.after.as_deref(), self.version);
        let page = Arc::new(page.inspect_err(log_page_error).ok()?);
        // A page starts where the previous one ended, so pages of earlier versions, which start at
        // other keys, would accumulate.
        if request.after.is_none() {
            encoded_pages.clear();
        }
        if request.after.is_some() || page.next.is_some() {
            encoded_pages.insert(request.after.clone(), page.clone());
        }
        Some(page)
    }

    /// Maximum number of changes kept.
    fn max_changes(&self) -> usize {
        let rows = self.rows.as_ref().map_or(0, BTreeMap::len);
        rows.max(MIN_CHANGES_KEPT)
    }

    /// Discards the cached rows and changes. Changes before `version` may be incomplete.
    fn restart(&mut self, version: u64) {
        self.rows = None;
        self.changes.clear();
        self.since = version;
        self.version = version;
    }

    /// The changes between the cached rows and the rows that were read; `None` if no rows were
    /// cached. A row that changed several times has one change, to its last state.
    fn differences(
        &self,
        read: &BTreeMap<String, Arc<PackedChange>>,
        version: u64,
    ) -> Option<Vec<Arc<PackedChange>>> {
        let known = self.rows.as_ref()?;
        let written = read.values().filter(|row| row.version > self.version);
        let mut changes: Vec<_> = written.cloned().collect();
        changes.sort_by_key(|change| change.version);
        let removed = known.keys().filter(|key| !read.contains_key(*key));
        let removed = removed.map(|key| Arc::new(PackedChange::removal(key.clone(), version)));
        changes.extend(removed);
        Some(changes)
    }

    /// Records when the content was confirmed and verified, unless later times are known.
    fn confirm(&mut self, now: Duration, ages: ResponseAge) {
        let at = now.checked_sub(ages.since_confirmed);
        self.confirmed_at = self.confirmed_at.max(at);
        // Without rows, changes may have been missed, so the content is not verified.
        if let (Some(at), true) = (ages.verified_at, self.rows.is_some()) {
            self.verified.record(*self.newest.borrow(), at);
        }
    }

    fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Changes after `version`, in order. With `newest_only`, only the newest change of each row
    /// is returned, for tables where earlier states have no effect. Otherwise all changes are
    /// returned: a back end that has announced its drain stays draining, even if an older
    /// heartbeat overwrites the announcement in its row.
    fn changes_after(&self, version: u64, newest_only: bool) -> Vec<Arc<PackedChange>> {
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|change| change.version > version);
        let mut seen = HashSet::new();
        let mut changes: Vec<_> = newer
            .filter(|change| !newest_only || seen.insert(change.key.as_str()))
            .cloned()
            .collect();
        changes.reverse();
        changes
    }

    fn apply(&mut self, change: Arc<PackedChange>) {
        if change.version <= self.version {
            return;
        }
        if let Some(rows) = &mut self.rows {
            if change.is_removal() {
                rows.remove(&change.key);
            } else {
                rows.insert(change.key.clone(), change.clone());
            }
        }
        self.changes.push_back(change);
        if self.changes.len() > self.max_changes()
            && let Some(oldest) = self.changes.pop_front()
        {
            self.since = oldest.version;
        }
    }
}

/// Logs the first read of a table after a restore.
fn log_restore(table: &str, cached: &CachedTable, version: u64, rows: usize) {
    let (previous, restored) = (
        TableRevision::from_number(cached.version),
        TableRevision::from_number(version),
    );
    let fields = format_args!(
        "table={table} previous_era={} previous_version={} era={} version={} rows={rows} \
         discarded_changes={}",
        previous.era,
        previous.version,
        restored.era,
        restored.version,
        cached.changes.len()
    );
    event_log::write(LogPriority::Decision, "table_restored", fields);
}

/// Logs a read that is older than the cached content although the content has to be read again.
fn log_dropped_read(table: &str, version: u64, cached_version: u64) {
    let fields = format_args!("table={table} version={version} cached_version={cached_version}");
    event_log::write(LogPriority::Decision, "table_read_dropped", fields);
}

fn log_page_error(error: &PageError) {
    event_log::write(
        LogPriority::Decision,
        "page_refused",
        format_args!("error=\"{error}\""),
    );
}
