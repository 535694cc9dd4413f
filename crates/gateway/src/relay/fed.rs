//! Following the table through the gateways that follow it for others.
//!
//! In: questions of this gateway's followers of tables, and those of other gateways.
//! Out: rows and changes that the table has confirmed not long ago.
//!
//! A question goes to the gateways that [`FeedOrder`] names, and to the table itself
//! when none of them has an answer that is fresh. A gateway that is asked answers from
//! what it has kept, or asks the table: never another gateway, so there are no circles.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use gorsebank_fleet::feeders::{Candidate, FeedOrder};
use parking_lot::Mutex;
use tokio::time::{Instant, timeout};

use super::cache::TableCache;
use super::message::{RelayAnswer, RelayRequest};
use super::table::{RelayedTable, out_of_reach};
use crate::lines::{self, Rank};
use crate::ports::{TableChanges, TableError, TableSnapshot, WatchedTable};

/// Longest wait for a change, in one question. A feeder that the table has left behind
/// is noticed within two of them, well within the bound on back ends that leave (2 s).
pub const FEED_WAIT: Duration = Duration::from_millis(400);
/// What a feeder tells was confirmed by the table within this time: one wait, and the
/// pause between two.
const FRESH: Duration = Duration::from_millis(700);
/// An answer comes within this time, beside the wait that was asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// A gateway that had no fresh answer about a table is not asked for it again for so long.
const REST: Duration = Duration::from_secs(2);
/// A gateway that was asked follows the table itself for so long.
const ASKED_LIFETIME: Duration = Duration::from_secs(5);

/// A gateway that feeds others, or may.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it answers other gateways.
    pub address: SocketAddr,
    /// Capacity of its machine's link in megabits a second; 0 if it is not known.
    pub link_megabits: u32,
}

impl Member {
    fn candidate(&self) -> Candidate<'_> {
        Candidate {
            name: &self.name,
            link_megabits: self.link_megabits,
        }
    }
}

/// Who feeds this gateway, and what it keeps for those that it feeds.
pub struct Feeding {
    state: Mutex<State>,
    cache: Mutex<TableCache>,
    /// Taken while a table is read for others, so that they share one call.
    reading: tokio::sync::Mutex<()>,
}

#[derive(Default)]
struct State {
    follows: bool,
    asks: Vec<SocketAddr>,
    /// Gateways that had no fresh answer about a table, until when.
    resting: HashMap<(SocketAddr, String), Instant>,
    asked: Option<Instant>,
    /// Who gave the last answer; none if the table itself did.
    feeder: Option<SocketAddr>,
}

impl Feeding {
    /// Knows no other gateway, so the table is asked.
    pub fn new() -> Self {
        Feeding {
            state: Mutex::default(),
            cache: Mutex::default(),
            reading: tokio::sync::Mutex::default(),
        }
    }

    /// The gateways that are known, this one among them if it answers others.
    pub fn set_members(&self, own: &str, members: &[Member]) {
        let candidates: Vec<Candidate> = members.iter().map(Member::candidate).collect();
        let order = FeedOrder::new(own, &candidates);
        let mut state = self.state.lock();
        state.follows = order.follows;
        state.asks = order
            .asks
            .iter()
            .map(|index| members[*index].address)
            .collect();
        let (asks, now) = (state.asks.clone(), Instant::now());
        state
            .resting
            .retain(|(address, _), until| asks.contains(address) && now < *until);
    }

    /// Whether this gateway follows the table for others.
    pub(super) fn is_feeder(&self) -> bool {
        let state = self.state.lock();
        let is_asked = |at: Instant| at.elapsed() < ASKED_LIFETIME;
        state.follows || state.asked.is_some_and(is_asked)
    }

    /// Gateways to ask about a table now, in this order.
    fn candidates(&self, table: &str) -> Vec<SocketAddr> {
        if self.is_feeder() {
            return Vec::new();
        }
        let state = self.state.lock();
        let now = Instant::now();
        let rests = |address: SocketAddr| {
            let until = state.resting.get(&(address, table.to_owned()));
            until.is_some_and(|until| now < *until)
        };
        let asks = state.asks.iter().copied();
        asks.filter(|address| !rests(*address)).collect()
    }

    fn note_failed(&self, address: SocketAddr, table: &str) {
        let until = Instant::now() + REST;
        let key = (address, table.to_owned());
        self.state.lock().resting.insert(key, until);
    }

    /// A line when another gateway, or the table, answers from now on.
    fn note_feeder(&self, feeder: Option<SocketAddr>) {
        let former = std::mem::replace(&mut self.state.lock().feeder, feeder);
        if former != feeder {
            let name = |it: Option<SocketAddr>| it.map_or("table".to_owned(), |it| it.to_string());
            let fields = format_args!("from={} former={}", name(feeder), name(former));
            lines::write(Rank::Decision, "fed", fields);
        }
    }

    /// The table answered a read of this gateway.
    pub fn note_read(&self, table: &str, snapshot: &TableSnapshot) {
        self.keep(|cache| cache.replace(table, snapshot));
    }

    /// The table told this gateway its changes after `version`.
    pub fn note_changes(&self, table: &str, version: u64, told: &TableChanges) {
        self.keep(|cache| cache.advance(table, version, told));
    }

    fn keep(&self, change: impl FnOnce(&mut TableCache)) {
        let is_feeder = self.is_feeder();
        let mut cache = self.cache.lock();
        if !is_feeder {
            return cache.clear();
        }
        change(&mut cache);
    }

    fn note_asked(&self) {
        self.state.lock().asked = Some(Instant::now());
    }

    /// Changes that are kept, once there are any or `wait` is over; none if what is
    /// kept is not fresh.
    async fn kept_changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Option<Result<(TableChanges, Duration), TableError>> {
        let mut newest = self.cache.lock().subscribe(table)?;
        let is_newer = newest.wait_for(|newest| *newest > version);
        // When time is up, the answer says that nothing has changed.
        let _ = timeout(wait, is_newer).await;
        self.cache.lock().changes(table, version, FRESH)
    }
}

impl RelayedTable {
    /// Rows of a table that were confirmed not long ago.
    ///
    /// # Errors
    ///
    /// If neither another gateway nor the table has an answer.
    pub async fn read_recent(&self, table: &str) -> Result<TableSnapshot, TableError> {
        let request = RelayRequest::Recent {
            table: table.to_owned(),
        };
        for feeder in self.feeding().candidates(table) {
            let answer = self
                .ask_feeder(feeder, table, &request, Duration::ZERO)
                .await;
            if let Some(RelayAnswer::Recent { rows, .. }) = answer {
                return Ok(rows);
            }
        }
        self.feeding().note_feeder(None);
        self.read(table).await
    }

    /// Changes of a table after `version`, confirmed not long ago.
    ///
    /// # Errors
    ///
    /// If neither another gateway nor the table has an answer, or if changes since then
    /// are not kept.
    pub async fn recent_changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<TableChanges, TableError> {
        let request = RelayRequest::RecentChanges {
            table: table.to_owned(),
            version,
            wait: wait.as_millis() as u64,
        };
        for feeder in self.feeding().candidates(table) {
            match self.ask_feeder(feeder, table, &request, wait).await {
                Some(RelayAnswer::RecentChanges { changes, .. }) => return Ok(changes),
                Some(RelayAnswer::Failed(TableError::HistoryGone)) => {
                    return Err(TableError::HistoryGone);
                }
                _ => {}
            }
        }
        self.feeding().note_feeder(None);
        self.changes(table, version, wait).await
    }

    /// An answer of a feeder that is fresh. One that has none is left alone for a while.
    async fn ask_feeder(
        &self,
        feeder: SocketAddr,
        table: &str,
        request: &RelayRequest,
        wait: Duration,
    ) -> Option<RelayAnswer> {
        let limit = wait + ANSWER_TIMEOUT;
        let answer = self.client().call(feeder, request, limit).await;
        let answer = answer.filter(is_fresh);
        if answer.is_some() {
            self.count("fed");
            self.feeding().note_feeder(Some(feeder));
        } else {
            self.count("feed_failed");
            self.feeding().note_failed(feeder, table);
        }
        answer
    }

    /// Rows for another gateway.
    pub(super) async fn tell_rows(&self, table: &str) -> RelayAnswer {
        self.feeding().note_asked();
        let _turn = self.feeding().reading.lock().await;
        let kept = self.feeding().cache.lock().snapshot(table, FRESH);
        if let Some((rows, age)) = kept {
            let age = age.as_millis() as u64;
            return RelayAnswer::Recent { rows, age };
        }
        let Some(direct) = self.direct() else {
            return RelayAnswer::Failed(out_of_reach());
        };
        match direct.read(table).await {
            Ok(rows) => {
                self.feeding().note_read(table, &rows);
                RelayAnswer::Recent { rows, age: 0 }
            }
            Err(error) => RelayAnswer::Failed(error),
        }
    }

    /// Changes for another gateway.
    pub(super) async fn tell_changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> RelayAnswer {
        self.feeding().note_asked();
        let wait = wait.min(FEED_WAIT);
        match self.feeding().kept_changes(table, version, wait).await {
            Some(Ok((changes, age))) => {
                let age = age.as_millis() as u64;
                return RelayAnswer::RecentChanges { changes, age };
            }
            Some(Err(error)) => return RelayAnswer::Failed(error),
            None => {}
        }
        let Some(direct) = self.direct() else {
            return RelayAnswer::Failed(out_of_reach());
        };
        match direct.changes(table, version, wait).await {
            Ok(changes) => {
                self.feeding().note_changes(table, version, &changes);
                RelayAnswer::RecentChanges { changes, age: 0 }
            }
            Err(error) => RelayAnswer::Failed(error),
        }
    }
}

/// Whether an answer of a feeder may be used.
fn is_fresh(answer: &RelayAnswer) -> bool {
    let is_recent = |age: &u64| Duration::from_millis(*age) <= FRESH;
    match answer {
        RelayAnswer::Recent { age, .. } | RelayAnswer::RecentChanges { age, .. } => is_recent(age),
        RelayAnswer::Failed(error) => *error == TableError::HistoryGone,
        _ => false,
    }
}
