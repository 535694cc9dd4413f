//! Few gateways follow the table, and the others learn its changes from them.
//!
//! ```text
//! table --> roots --> gateways in the middle --> all others
//! ```
//!
//! In: answers of the table (at roots) or of the gateway that feeds this one. Out: rows and
//! changes for this gateway's own followers ([`crate::watch`]) and for those it feeds.
//!
//! On the way up goes what gateways have running at back ends, and the sums come back down:
//! one gateway of hundreds sees too little to tell how busy a back end is.
//!
//! [`parents`] says whom this gateway asks, [`filler`] asks, [`cache`] keeps what was told,
//! [`packed`] is how rows travel, [`page`] how whole tables do, [`message`] what gateways say. Only the order of the
//! table's versions counts; no clock is compared between gateways, ages are added up.

pub mod cache;
mod fed;
pub mod filler;
pub mod message;
pub mod packed;
pub mod page;
pub mod parents;
mod proof;
mod rhythm;

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_contract::TableRow;
use gorsebank_fleet::running::Running;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

pub use cache::TableCache;
pub use message::{FeedAnswer, FeedQuestion, News, TableNews, TablePosition};
pub use parents::{Member, Parents};
pub use rhythm::{FEED_WAIT, Rhythm, longest_without_news, rhythms};

use crate::clock::Clock;
use crate::lines::{self, Rank};
use crate::ports::RowChange;
use crate::quarantine::SharedQuarantine;

/// What this gateway knows of the tables, and where it learns it.
pub struct Feed {
    cache: Mutex<TableCache>,
    /// Up to which version the followers of tables have taken them in.
    taken: Mutex<HashMap<&'static str, u64>>,
    /// Whom to ask.
    pub parents: Mutex<Parents>,
    /// What all gateways have running at back ends.
    pub running: Mutex<Running>,
    /// Rings when another gateway asked this one.
    pub asked: Notify,
    /// Rings when the place in the tree may have changed.
    pub moved: Notify,
}

/// What a follower of one table is told.
#[derive(Debug)]
pub enum Told {
    /// The whole table.
    Rows(Vec<TableRow>),
    /// Changes, in order.
    Changes(Vec<RowChange>),
}

impl Feed {
    /// Knows nothing yet.
    pub fn new(clock: Clock) -> Self {
        Feed {
            cache: Mutex::new(TableCache::new(clock)),
            taken: Mutex::default(),
            parents: Mutex::default(),
            running: Mutex::default(),
            asked: Notify::default(),
            moved: Notify::default(),
        }
    }

    /// Uses what is kept.
    pub fn cache<T>(&self, act: impl FnOnce(&mut TableCache) -> T) -> T {
        act(&mut self.cache.lock())
    }

    /// Rows of a table, if the table confirmed them within `most`.
    pub fn rows(&self, table: &str, most: Duration) -> Option<Vec<TableRow>> {
        let position = TablePosition {
            table: table.to_owned(),
            version: None,
            newest_only: true,
            most_age: u64::MAX,
            page: None,
        };
        let news = self.cache(|cache| cache.news(&position))?;
        if Duration::from_millis(news.age) > most {
            return None;
        }
        match unpack(news.news).0 {
            Told::Rows(rows) => Some(rows),
            Told::Changes(_) => None,
        }
    }

    /// The follower of a table has taken it in up to this version.
    pub fn note_taken(&self, table: &'static str, version: u64) {
        self.taken.lock().insert(table, version);
    }

    /// Time since the latest moment for which it is proved that a table held nothing newer
    /// than what its follower has taken in; none if that is proved for no moment.
    pub fn proved_age(&self, table: &str) -> Option<Duration> {
        let taken = *self.taken.lock().get(table)?;
        self.cache(|cache| cache.proved_age(table, taken))
    }

    /// Rings when a table changes.
    pub fn subscribe(&self, table: &str) -> watch::Receiver<u64> {
        self.cache(|cache| cache.subscribe(table))
    }

    /// What is new of a table, for a follower of this gateway; none if nothing is. Moves
    /// the position on.
    pub fn told(&self, position: &mut TablePosition) -> Option<Told> {
        let news = self.cache(|cache| {
            let newer = cache.is_newer(position);
            newer.then(|| cache.news(position)).flatten()
        })?;
        let (told, version) = unpack(news.news);
        position.version = Some(version);
        Some(told)
    }

    /// News for another gateway: at once if there are any, or else when there are.
    /// News of requests that end back ends count, too.
    pub async fn news(
        &self,
        question: &FeedQuestion,
        quarantine: &SharedQuarantine,
    ) -> Vec<TableNews> {
        self.parents.lock().note_asked();
        self.asked.notify_one();
        let mut any = self.cache(|cache| cache.subscribe_to_any());
        let mut grown = quarantine.subscribe();
        let wait = Duration::from_millis(question.wait).min(FEED_WAIT);
        let has_news = async {
            loop {
                any.mark_unchanged();
                grown.mark_unchanged();
                let is_due = |cache: &mut TableCache| {
                    let mut tables = question.tables.iter();
                    tables.any(|it| cache.is_newer(it) || cache.is_too_old(it))
                };
                if self.cache(is_due) || quarantine.is_ahead_of(question.quarantine) {
                    return;
                }
                let changed = tokio::select! {
                    changed = any.changed() => changed,
                    changed = grown.changed() => changed,
                };
                if changed.is_err() {
                    return;
                }
            }
        };
        // When time is up, the answer says that nothing has changed, and how long that is known.
        let _ = timeout(wait, has_news).await;
        let tables = question.tables.iter();
        self.cache(|cache| tables.filter_map(|it| cache.news(it)).collect())
    }
}

/// News as the table told them. A row that cannot be unpacked is left out, with a line.
fn unpack(news: News) -> (Told, u64) {
    let (packed, version, is_whole) = match news {
        News::Rows { rows, version } => (rows, version, true),
        News::Changes { changes, version } => (changes, version, false),
        // Only gateways that ask for pages get them.
        News::Page(page) => (Vec::new(), page.version, false),
    };
    let changes = packed.iter().filter_map(|change| match change.unpack() {
        Ok(change) => Some(change),
        Err(error) => {
            lines::write(
                Rank::Decision,
                "row_refused",
                format_args!("error=\"{error}\""),
            );
            None
        }
    });
    if !is_whole {
        return (Told::Changes(changes.collect()), version);
    }
    let rows = changes.filter_map(|change| match change {
        RowChange::Put(row) => Some(row),
        RowChange::Removed { .. } => None,
    });
    (Told::Rows(rows.collect()), version)
}
