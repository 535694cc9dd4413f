//! Rows of the tables that gateways follow, as this gateway knows them.
//!
//! In: answers of the table, or of the gateway that feeds this one. Out: the same rows and
//! changes, for this gateway's own followers and for gateways that it feeds, with the time
//! since the table last confirmed them, and since the moment for which that is proved.
//!
//! Invariant: a table's version only rises, and changes between the first version that
//! is kept and the newest are complete; after a gap nothing older is told.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

use super::message::{News, TableNews, TablePosition};
use super::packed::PackedChange;
use super::page::{PageAsk, PageError, PartOfTable, TablePage};
use super::proof::Proofs;
use crate::clock::Clock;
use crate::lines::{self, Rank};
use crate::ports::{TableChanges, TableSnapshot};

/// Changes of a table that are kept at least: those that ask are behind by less than a second.
/// Of a table with more rows as many changes are kept as it has rows: more would cost more to
/// tell than the table itself, and fewer would send the whole table to whoever is a little
/// behind while much of it changes.
const LEAST_CHANGES_KEPT: usize = 512;

/// What is kept of one table.
#[derive(Debug)]
struct CachedTable {
    rows: Option<BTreeMap<String, Arc<PackedChange>>>,
    /// Changes were missed: the table has to be read again before its changes are followed.
    has_gap: bool,
    /// Changes after `since`, in order.
    changes: VecDeque<Arc<PackedChange>>,
    since: u64,
    version: u64,
    /// When the table confirmed that nothing newer stands in it, since the machine started.
    confirmed: Option<Duration>,
    /// For which moments the content of the table is proved.
    proofs: Proofs,
    /// Rings with the version when rows changed.
    newest: watch::Sender<u64>,
    /// Pages of the whole table that have come so far.
    part: PartOfTable,
    /// Pages that were told, by the key behind which they lie.
    told_pages: Mutex<HashMap<Option<String>, Arc<TablePage>>>,
}

/// How old an answer is.
#[derive(Clone, Copy, Debug)]
struct Ages {
    /// Time since the table gave it.
    confirmed: Duration,
    /// The moment for which it is proved to be the table's, since the machine started.
    proved: Option<Duration>,
}

impl Ages {
    /// An answer of the table itself: it may have been under way since it was asked for.
    fn of_the_table(asked: Duration) -> Self {
        Ages {
            confirmed: Duration::ZERO,
            proved: Some(asked),
        }
    }
}

/// What is kept of all tables.
#[derive(Debug, Default)]
pub struct TableCache {
    tables: HashMap<String, CachedTable>,
    /// Rings when any table changed.
    any: watch::Sender<()>,
    clock: Clock,
}

impl TableCache {
    /// Nothing is kept yet.
    pub fn new(clock: Clock) -> Self {
        TableCache {
            clock,
            ..TableCache::default()
        }
    }

    /// The table was read as a whole, in answer to a question that was asked at this time
    /// since the machine started.
    pub fn replace(&mut self, table: &str, snapshot: &TableSnapshot, asked: Duration) {
        let rows = snapshot.rows.iter().map(PackedChange::put).map(Arc::new);
        let ages = Ages::of_the_table(asked);
        self.replace_packed(table, rows.collect(), snapshot.version, ages);
    }

    /// The table told its changes after `version`, in answer to a question that was asked at
    /// this time since the machine started.
    pub fn advance(&mut self, table: &str, version: u64, told: &TableChanges, asked: Duration) {
        let changes = told.changes.iter().map(PackedChange::new).map(Arc::new);
        let ages = Ages::of_the_table(asked);
        self.advance_packed(table, version, changes.collect(), told.version, ages);
    }

    /// Another gateway told of a table, in answer to a question at `position`. It answered
    /// no sooner than `answered`, by this machine's time since its start.
    pub fn take(&mut self, position: Option<u64>, news: TableNews, answered: Duration) {
        let proved_age = news.proved_age.map(Duration::from_millis);
        let ages = Ages {
            confirmed: Duration::from_millis(news.age),
            proved: proved_age.and_then(|age| answered.checked_sub(age)),
        };
        match (news.news, position) {
            (News::Rows { rows, version }, _) => {
                self.replace_packed(&news.table, rows, version, ages);
            }
            (News::Changes { changes, version }, Some(position)) => {
                self.advance_packed(&news.table, position, changes, version, ages);
            }
            // Changes from where nobody asked; the next answer brings the rows.
            (News::Changes { .. }, None) => {}
            (News::Page(page), _) => self.take_page(&news.table, &page, ages.confirmed),
        }
    }

    /// Takes in a page of a whole table, which the table confirmed this long ago. Nothing is
    /// proved by that: changes since the first page are asked for next.
    fn take_page(&mut self, table: &str, page: &TablePage, age: Duration) {
        let now = self.clock.since_boot();
        let added = self.entry(table).part.add(page, now.saturating_sub(age));
        match added {
            Ok(None) => {}
            Ok(Some(whole)) => {
                let ages = Ages {
                    confirmed: now.saturating_sub(whole.confirmed),
                    proved: None,
                };
                self.replace_packed(table, whole.rows, whole.version, ages);
            }
            Err(error) => {
                let fields = format_args!("table={table} error=\"{error}\"");
                lines::write(Rank::Decision, "page_refused", fields);
            }
        }
    }

    /// The page of a table to ask for next, should all its rows have to be told.
    pub fn next_page(&self, table: &str) -> PageAsk {
        let kept = self.tables.get(table);
        kept.map_or_else(PageAsk::default, |kept| kept.part.next().clone())
    }

    /// Whether some pages of a table have come, and others are still to come.
    pub fn is_reading(&self, table: &str) -> bool {
        let kept = self.tables.get(table);
        kept.is_some_and(|kept| kept.part.is_begun())
    }

    fn replace_packed(
        &mut self,
        table: &str,
        rows: Vec<Arc<PackedChange>>,
        version: u64,
        ages: Ages,
    ) {
        let now = self.clock.since_boot();
        let kept = self.entry(table);
        if version < kept.version {
            return;
        }
        let rows: BTreeMap<_, _> = rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        match kept.differences(&rows, version) {
            Some(changes) => changes.into_iter().for_each(|change| kept.take(change)),
            None if version > kept.version => kept.restart(version),
            None => {}
        }
        kept.rows = Some(rows);
        kept.part = PartOfTable::default();
        kept.has_gap = false;
        kept.version = version;
        kept.newest.send_replace(version);
        kept.confirm(now, ages);
        self.any.send_replace(());
    }

    fn advance_packed(
        &mut self,
        table: &str,
        after: u64,
        changes: Vec<Arc<PackedChange>>,
        version: u64,
        ages: Ages,
    ) {
        let now = self.clock.since_boot();
        let kept = self.entry(table);
        if after > kept.version {
            kept.restart(after);
        }
        if version < kept.version {
            return;
        }
        kept.part = PartOfTable::default();
        let has_changes = !changes.is_empty();
        for change in changes {
            kept.take(change);
        }
        kept.version = version;
        if has_changes {
            kept.newest.send_replace(version);
        }
        kept.confirm(now, ages);
        if has_changes {
            self.any.send_replace(());
        }
    }

    /// The version of a table of which all rows are known, to go on from.
    pub fn version(&self, table: &str) -> Option<u64> {
        let kept = self.tables.get(table)?;
        kept.rows.as_ref()?;
        (!kept.has_gap).then_some(kept.version)
    }

    /// The table keeps no changes since then any more: its rows are to be read again.
    pub fn note_gap(&mut self, table: &str) {
        self.entry(table).has_gap = true;
    }

    /// What is to be told of a table to one that stands at `position`; none if its rows
    /// are not known. There are no changes if there is nothing new.
    pub fn news(&self, position: &TablePosition) -> Option<TableNews> {
        let now = self.clock.since_boot();
        let kept = self.tables.get(&position.table)?;
        let age = kept.age(now)?;
        let page = match &position.page {
            Some(ask) if position.version.is_none_or(|known| known < kept.since) => {
                Some(kept.page(ask)?)
            }
            _ => None,
        };
        let rows = kept.rows.as_ref()?;
        let version = kept.version;
        let news = match position.version {
            Some(known) if known >= kept.since => News::Changes {
                changes: kept.changes_after(known, position.newest_only),
                version,
            },
            _ => page.map_or_else(
                || News::Rows {
                    rows: rows.values().cloned().collect(),
                    version,
                },
                News::Page,
            ),
        };
        Some(TableNews {
            table: position.table.clone(),
            age: age.as_millis() as u64,
            proved_age: kept
                .proofs
                .age(now, u64::MAX)
                .map(|age| age.as_millis() as u64 + 1),
            news,
        })
    }

    /// Whether what is known is too old for the asker.
    pub fn is_too_old(&self, position: &TablePosition) -> bool {
        let age = self.age(&position.table);
        age.is_none_or(|age| age > Duration::from_millis(position.most_age))
    }

    /// Whether there is something new for one that stands at `position`.
    pub fn is_newer(&self, position: &TablePosition) -> bool {
        let kept = self.tables.get(&position.table);
        kept.is_some_and(|kept| match position.version {
            Some(known) => *kept.newest.borrow() > known,
            None => kept.rows.is_some(),
        })
    }

    /// Time since the table confirmed what is known of it; none if nothing is known.
    pub fn age(&self, table: &str) -> Option<Duration> {
        self.tables.get(table)?.age(self.clock.since_boot())
    }

    /// Time since the latest moment for which it is proved that what stood in a table was
    /// what was known up to the version `taken`; none if nothing is proved of that.
    pub fn proved_age(&self, table: &str, taken: u64) -> Option<Duration> {
        let kept = self.tables.get(table)?;
        kept.proofs.age(self.clock.since_boot(), taken)
    }

    /// Rings when a table has a change.
    pub fn subscribe(&mut self, table: &str) -> watch::Receiver<u64> {
        self.entry(table).newest.subscribe()
    }

    /// Rings when any table has a change.
    pub fn subscribe_to_any(&self) -> watch::Receiver<()> {
        self.any.subscribe()
    }

    fn entry(&mut self, table: &str) -> &mut CachedTable {
        let kept = self.tables.entry(table.to_owned());
        kept.or_insert_with(|| CachedTable {
            rows: None,
            has_gap: false,
            changes: VecDeque::new(),
            since: 0,
            version: 0,
            confirmed: None,
            proofs: Proofs::default(),
            newest: watch::channel(0).0,
            part: PartOfTable::default(),
            told_pages: Mutex::default(),
        })
    }
}

impl CachedTable {
    /// A page of the table. One of several that was told before is told again while it goes with
    /// the asker's others, and while all changes since then are known.
    fn page(&self, ask: &PageAsk) -> Option<Arc<TablePage>> {
        let rows = self.rows.as_ref()?;
        let oldest = self.since.max(ask.version);
        let mut told_pages = self.told_pages.lock();
        if let Some(told) = told_pages.get(&ask.after)
            && told.version >= oldest
        {
            return Some(told.clone());
        }
        let page = TablePage::new(rows, ask.after.as_deref(), self.version);
        let page = Arc::new(page.inspect_err(log_page).ok()?);
        // Pages begin where the ones before them ended, so former ones would pile up.
        if ask.after.is_none() {
            told_pages.clear();
        }
        if ask.after.is_some() || page.next.is_some() {
            told_pages.insert(ask.after.clone(), page.clone());
        }
        Some(page)
    }

    /// Changes that are kept.
    fn changes_kept(&self) -> usize {
        let rows = self.rows.as_ref().map_or(0, BTreeMap::len);
        rows.max(LEAST_CHANGES_KEPT)
    }

    /// Changes before this version are not known to be complete.
    fn restart(&mut self, version: u64) {
        self.rows = None;
        self.changes.clear();
        self.since = version;
        self.version = version;
    }

    /// What changed between the rows that are known and those that were read; none if
    /// nothing was known. A row that changed several times shows its last state only.
    fn differences(
        &self,
        read: &BTreeMap<String, Arc<PackedChange>>,
        version: u64,
    ) -> Option<Vec<Arc<PackedChange>>> {
        let known = self.rows.as_ref()?;
        let written = read.values().filter(|row| row.version > self.version);
        let mut changes: Vec<_> = written.cloned().collect();
        changes.sort_by_key(|change| change.version);
        let gone = known.keys().filter(|key| !read.contains_key(*key));
        let gone = gone.map(|key| Arc::new(PackedChange::gone(key.clone(), version)));
        changes.extend(gone);
        Some(changes)
    }

    /// What was confirmed, unless a later confirmation is known.
    fn confirm(&mut self, now: Duration, ages: Ages) {
        let at = now.checked_sub(ages.confirmed);
        self.confirmed = self.confirmed.max(at);
        // Without rows nothing is known of changes that were missed.
        if let (Some(at), true) = (ages.proved, self.rows.is_some()) {
            self.proofs.note(*self.newest.borrow(), at);
        }
    }

    fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed?))
    }

    /// Changes after `version`, in order: each of them, since a back end that said that it
    /// leaves stays leaving, whatever an older heartbeat says after that; or the newest of
    /// each row, where the rows before it decide nothing any more.
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

    fn take(&mut self, change: Arc<PackedChange>) {
        if change.version <= self.version {
            return;
        }
        if let Some(rows) = &mut self.rows {
            if change.is_gone() {
                rows.remove(&change.key);
            } else {
                rows.insert(change.key.clone(), change.clone());
            }
        }
        self.changes.push_back(change);
        if self.changes.len() > self.changes_kept()
            && let Some(oldest) = self.changes.pop_front()
        {
            self.since = oldest.version;
        }
    }
}

fn log_page(error: &PageError) {
    lines::write(
        Rank::Decision,
        "page_refused",
        format_args!("error=\"{error}\""),
    );
}
