//! A gateway that others feed asks its parents, one question for all tables. One that
//! gets no fresh answer tries the table now and then, all together at a bounded rate:
//! while the table is out of order this costs little, and once it answers this gateway
//! follows it for a while, for itself and for those that ask it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_fleet::feeders::Place;
use gorsebank_fleet::running::Counts;
use tokio::time::{Instant, sleep, sleep_until};

use super::filler::{ANSWER_TIMEOUT, FEEDER_PAUSE, FEW_GATEWAYS, LEAST_PAUSE, advance};
use super::message::{FeedAnswer, FeedQuestion, TablePosition};
use super::parents::Parent;
use super::rhythm::{FEED_WAIT, Rhythm, longest_without_news, rhythms};
use crate::lines::{self, Rank};
use crate::ports::TableError;
use crate::relay::{RelayAnswer, RelayRequest};
use crate::shared::Shared;

/// Pause between two questions of a gateway that feeds nobody.
const LEAF_PAUSE: Duration = Duration::from_millis(250);
/// Pause after no parent had a fresh answer, while what is known is fresh enough.
const UNFED_PAUSE: Duration = Duration::from_millis(200);
/// Tries a second of all gateways together that nobody feeds.
const TRIES_PER_SECOND: f64 = 50.0;
/// So many times as long is the pause between two tries of a gateway whose parent answers that
/// it has no news either: of all tries a second six are left to those that wait, in case all
/// parents live and none of them reaches the table. At a start of 985 gateways each went to the
/// table for the 20 pages of its back ends meanwhile: 115,698 calls in a day.
const PAUSES_WITH_PARENT: u32 = 8;
/// A parent that answered within this time lives.
const PARENT_LIVES: Duration = Duration::from_secs(2);
/// Pause between two tries of one that others need.
const NEEDED_TRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause after the first failed try of a gateway whose parents do not answer. Doubles with each
/// further consecutive failure.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Prevents overflow of the doubled pause, which exceeds one hour at this limit.
const MAX_PAUSE_DOUBLINGS: u32 = 15;

/// Result of asking a parent.
enum AskOutcome {
    /// The answer was fresh for every requested table.
    Fresh,
    /// There was an answer, but it was not fresh for every requested table.
    Stale,
    /// There was no usable answer within the time limit.
    NoAnswer,
}

/// A gateway that others feed.
pub(super) struct Fed {
    shared: Arc<Shared>,
    /// When each table was last asked for.
    asked: HashMap<&'static str, Instant>,
    /// When the table itself was last tried.
    tried: Option<Instant>,
    /// Number of consecutive failed tries of the table.
    failed_tries: u32,
    /// Whether the last answer brought a page that is not the last one of its table: the next
    /// page is asked for at once.
    has_more_to_read: bool,
    /// When a parent last answered that it has no fresh news either.
    unfed_parent: Option<Instant>,
}

impl Fed {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Fed {
            shared,
            asked: HashMap::new(),
            tried: None,
            failed_tries: 0,
            has_more_to_read: false,
            unfed_parent: None,
        }
    }

    /// Asks the parents once, or tries the table when none of them is of use.
    pub(super) async fn turn(&mut self) {
        let began = Instant::now();
        let candidates = self.shared.feed.parents.lock().candidates();
        let mut wait = FEED_WAIT;
        for parent in candidates {
            if parent.is_root && self.leaves_roots_alone() {
                continue;
            }
            match self.ask(parent, wait).await {
                AskOutcome::Fresh => {
                    if !self.has_more_to_read {
                        sleep_until(began + self.pause()).await;
                    }
                    return;
                }
                // Request immediate answers from the remaining parents: the waits for several
                // unresponsive parents would otherwise use up the bound on news. The full wait
                // applies until the back ends have been read.
                AskOutcome::NoAnswer if self.shared.has_read_back_ends() => wait = Duration::ZERO,
                AskOutcome::Stale | AskOutcome::NoAnswer => {}
            }
        }
        self.try_table().await;
    }

    fn pause(&self) -> Duration {
        let feeds_others = self.shared.feed.parents.lock().is_needed();
        let least = self.shared.read_pause().clamp(LEAST_PAUSE, FEEDER_PAUSE);
        if feeds_others || self.shared.possible_gateways() <= FEW_GATEWAYS {
            least
        } else {
            LEAF_PAUSE
        }
    }

    /// Asks one parent, which may delay its answer for up to `wait` until there is a change.
    async fn ask(&mut self, parent: Parent, wait: Duration) -> AskOutcome {
        let now = Instant::now();
        let due: Vec<Rhythm> = rhythms(&self.shared.platform.tables())
            .into_iter()
            .filter(|rhythm| {
                let asked = self.asked.get(rhythm.table);
                asked.is_none_or(|at| now - *at >= rhythm.pause)
            })
            .collect();
        let own = self.shared.own_running();
        let question = self.question(parent, wait, &due, &own);
        let request = RelayRequest::News(question.clone());
        let limit = wait + ANSWER_TIMEOUT;
        let client = self.shared.table().client();
        let suspended = self.shared.clock.suspended();
        let asked = self.shared.clock.since_boot();
        let answer = client.call(parent.address, &request, limit).await;
        // It may have lain there meanwhile: it is asked for again.
        let answer = answer.filter(|_| !self.shared.clock.was_suspended_since(suspended));
        let answered = answer.is_some();
        let is_taken = match answer {
            Some(RelayAnswer::News(answer)) => {
                if let Some(news) = &answer.quarantine {
                    self.shared.note_quarantine_news(parent.address, news);
                }
                self.shared.note_told_limits(&answer.limits);
                self.shared.note_told_departures(&answer.departures);
                if let Some(sums) = &answer.running {
                    let now = self.shared.now();
                    self.shared.feed.running.lock().note_sums(now, sums, &own);
                }
                let answered = asked + Duration::from_millis(answer.held);
                self.take(&question, answer, answered)
            }
            _ => false,
        };
        self.has_more_to_read = self.shared.feed.cache(|cache| {
            let mut asked = question.tables.iter();
            asked.any(|position| cache.is_reading(&position.table))
        });
        let result = if is_taken { "fed" } else { "feed_failed" };
        self.shared.table().count(result);
        let mut parents = self.shared.feed.parents.lock();
        if is_taken {
            self.asked
                .extend(due.iter().map(|rhythm| (rhythm.table, now)));
            parents.note_feeder(Some(parent.address));
            return AskOutcome::Fresh;
        }
        parents.note_failed(parent, answered);
        if answered {
            self.unfed_parent = Some(now);
            AskOutcome::Stale
        } else {
            AskOutcome::NoAnswer
        }
    }

    fn question(
        &self,
        parent: Parent,
        wait: Duration,
        due: &[Rhythm],
        own: &Counts,
    ) -> FeedQuestion {
        let bound = self.shared.settings.bounds.news;
        let position = |rhythm: &Rhythm| TablePosition {
            table: rhythm.table.to_owned(),
            version: self.shared.feed.cache(|cache| cache.version(rhythm.table)),
            newest_only: rhythm.newest_only,
            most_age: rhythm.freshness(bound, parent.is_root).as_millis() as u64,
            page: Some(
                self.shared
                    .feed
                    .cache(|cache| cache.next_page(rhythm.table)),
            ),
        };
        FeedQuestion {
            tables: due.iter().map(position).collect(),
            wait: wait.as_millis() as u64,
            from: self.shared.settings.node.clone(),
            running: self
                .shared
                .feed
                .running
                .lock()
                .below(self.shared.now(), own),
            quarantine: self.shared.quarantine.heard(parent.address),
            limits: self.shared.told_limits(),
            departures: self.shared.told_departures(),
        }
    }

    /// Takes in what is fresh. True if every table that was asked for is. The answer was
    /// given no sooner than `answered`, since the machine started.
    fn take(&self, question: &FeedQuestion, answer: FeedAnswer, answered: Duration) -> bool {
        let mut fresh = 0;
        for news in answer.tables {
            let mut asked = question.tables.iter();
            let Some(position) = asked.find(|position| position.table == news.table) else {
                continue;
            };
            if news.age <= position.most_age {
                fresh += 1;
            }
            // What is old may be news all the same, and never takes anything back.
            let version = position.version;
            self.shared
                .feed
                .cache(|cache| cache.take(version, news, answered));
        }
        fresh == question.tables.len()
    }

    /// Whether what is known of the urgent tables is too old to wait any longer.
    fn needs_news(&self) -> bool {
        let most = longest_without_news(self.shared.settings.bounds.news);
        let tables = rhythms(&self.shared.platform.tables());
        let mut urgent = tables.iter().filter(|rhythm| rhythm.is_urgent);
        self.shared.feed.cache(|cache| {
            urgent.any(|rhythm| cache.age(rhythm.table).is_none_or(|age| age > most))
        })
    }

    /// Nobody has a fresh answer: the table may be out of order for all, or for them only.
    async fn try_table(&mut self) {
        if !self.needs_news() {
            return sleep(UNFED_PAUSE).await;
        }
        let pause = self.try_pause();
        let due = self.tried.map_or(Instant::now(), |at| at + pause);
        let asked = self.shared.feed.asked.notified();
        tokio::select! {
            () = sleep_until(due) => {}
            // Somebody needs an answer: not so long a pause then.
            () = asked => return sleep(LEAST_PAUSE).await,
            // A parent that rested may be of use again.
            () = sleep(FEED_WAIT) => return,
        }
        self.tried = Some(Instant::now());
        let urgent = rhythms(&self.shared.platform.tables());
        let Some(first) = urgent.iter().find(|rhythm| rhythm.is_urgent) else {
            return;
        };
        let answers = advance(&self.shared, first, first.wait).await;
        let has_answered = matches!(answers, Ok(()) | Err(TableError::HistoryGone));
        self.note_try(first.table, has_answered);
        if has_answered {
            self.shared.feed.parents.lock().note_on_its_own();
        }
    }

    /// Updates the failure count, the metric and the log after a try of the table.
    fn note_try(&mut self, table: &str, has_answered: bool) {
        self.failed_tries = if has_answered {
            0
        } else {
            self.failed_tries + 1
        };
        let result = if has_answered { "tried" } else { "try_failed" };
        self.shared.table().count(result);
        let fields = format_args!(
            "table={table} result={result} consecutive_failures={}",
            self.failed_tries
        );
        lines::write(Rank::Decision, "table_tried", fields);
    }

    /// Whether a parent recently answered without fresh news.
    fn has_unfed_parent(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < PARENT_LIVES;
        self.unfed_parent.is_some_and(is_recent)
    }

    /// Whether this gateway knows nothing yet, as at a start of all, and a parent lives that is
    /// itself waiting for news: it tries the table for all those that ask it, while each of them
    /// would have to read all of it.
    fn waits_with_parent(&self) -> bool {
        let is_many = self.shared.possible_gateways() > FEW_GATEWAYS;
        self.has_unfed_parent() && is_many && !self.shared.has_read_back_ends()
    }

    /// Roots feed those that feed the others, and at a start not all others at once.
    fn leaves_roots_alone(&self) -> bool {
        let place = self.shared.feed.parents.lock().place();
        place == Place::LeafOfMiddle && self.waits_with_parent()
    }

    /// Minimum time between two tries of the table. At startup, while a parent waits for news as
    /// well, and after repeated failures, it is a pause that limits the combined rate of all
    /// gateways that nobody feeds. It is at most
    /// [`NEEDED_TRY_PAUSE`] for gateways that others need.
    fn try_pause(&self) -> Duration {
        let crowd = self.shared.possible_gateways() as f64 / TRIES_PER_SECOND;
        let shared_pause = Duration::from_secs_f64(crowd * (0.5 + rand::random::<f64>()));
        if self.shared.feed.parents.lock().is_needed() {
            shared_pause.min(NEEDED_TRY_PAUSE)
        } else if self.waits_with_parent() {
            shared_pause * PAUSES_WITH_PARENT
        } else if self.has_unfed_parent() || !self.shared.has_read_back_ends() {
            // A parent without fresh news tries the table and reports when the table answers.
            // Until the back ends have been read, the parents may still be starting.
            shared_pause
        } else if self.failed_tries == 0 {
            // A pause while the table answers could delay changes beyond the bound on news.
            Duration::ZERO
        } else {
            let doublings = (self.failed_tries - 1).min(MAX_PAUSE_DOUBLINGS);
            shared_pause.min(FIRST_RETRY_PAUSE * 2_u32.pow(doublings))
        }
    }
}
