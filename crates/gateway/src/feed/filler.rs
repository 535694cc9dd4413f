//! Keeps what this gateway knows of the tables new.
//!
//! A root follows each table by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use gorsebank_fleet::feeders::Place;
use gorsebank_fleet::running::Counts;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::fed::Fed;
use super::message::FeedQuestion;
use super::rhythm::{FEED_WAIT, Rhythm, rhythms};
use crate::backoff::Backoff;
use crate::demand_rows::AbortOnDrop;
use crate::lines::{self, Rank};
use crate::ports::{TableError, WatchedTable};
use crate::quarantine_row;
use crate::relay::{RelayAnswer, RelayRequest};
use crate::shared::Shared;

/// First pause after a call of the table without an answer.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// Least pause between two calls for changes of a table: changes that come one by one
/// travel together.
pub(super) const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause of a gateway that feeds others: with the wait for a change, what it
/// tells is never older than they accept.
pub(super) const FEEDER_PAUSE: Duration = Duration::from_millis(150);
/// Up to so many gateways a leaf asks as often as a feeder, and roots ask the table without a
/// rest: it costs little.
pub(super) const FEW_GATEWAYS: usize = 32;
/// An answer of another gateway comes within this time, beside the wait.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two exchanges of what roots have running.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(150);

/// Runs until it is dropped.
pub async fn run(shared: Arc<Shared>) {
    let mut fed = Fed::new(shared.clone());
    loop {
        if shared.feed.parents.lock().follows_table() {
            follow_table(&shared).await;
        } else {
            fed.turn().await;
        }
    }
}

/// Follows all tables until this gateway has another place.
async fn follow_table(shared: &Arc<Shared>) {
    shared.feed.parents.lock().note_feeder(None);
    let is_root = shared.feed.parents.lock().place() == Place::Root;
    let tables = rhythms(&shared.platform.tables()).into_iter();
    // One that stands in for others for a while leaves out what can wait.
    let followed = tables.filter(|rhythm| is_root || rhythm.is_urgent);
    let _followers: Vec<AbortOnDrop> = followed
        .map(|rhythm| AbortOnDrop(tokio::spawn(follow_one(shared.clone(), rhythm))))
        .collect();
    let _exchange = AbortOnDrop(tokio::spawn(exchange_running(shared.clone())));
    let _quarantine = AbortOnDrop(tokio::spawn(hear_of_quarantine(shared.clone())));
    while shared.feed.parents.lock().follows_table() {
        // A place that is held for a while ends without a ring.
        let _ = timeout(FEED_WAIT, shared.feed.moved.notified()).await;
    }
}

/// Tells the other roots what this one and all below it have running, and sums up what
/// they tell, until it is dropped.
async fn exchange_running(shared: Arc<Shared>) {
    loop {
        sleep(EXCHANGE_PAUSE).await;
        let fellows = shared.feed.parents.lock().fellow_roots();
        for fellow in fellows {
            let request = RelayRequest::Running(shared.root_counts());
            let client = shared.table().client();
            let answer = client.call(fellow, &request, ANSWER_TIMEOUT).await;
            // Without an answer the other root's last counts age, and count no more soon.
            if let Some(RelayAnswer::Running(told)) = answer {
                shared.note_root(told);
            }
        }
        shared.sum_up_running();
    }
}

/// Reads which requests were kept away before all gateways were gone, and asks the other
/// roots for news of such requests, whether the table answers or not, until it is dropped.
async fn hear_of_quarantine(shared: Arc<Shared>) {
    tokio::join!(quarantine_row::recall(&shared), hear_fellow_roots(&shared));
}

/// Asks the other roots, one question each at a time.
async fn hear_fellow_roots(shared: &Shared) {
    loop {
        let fellows = shared.feed.parents.lock().fellow_roots();
        let asked = fellows.iter().map(|fellow| hear(shared, *fellow));
        let began = Instant::now();
        join_all(asked).await;
        sleep_until(began + LEAST_PAUSE).await;
    }
}

async fn hear(shared: &Shared, fellow: SocketAddr) {
    let question = FeedQuestion {
        tables: Vec::new(),
        wait: FEED_WAIT.as_millis() as u64,
        from: shared.settings.node.clone(),
        running: Counts::new(),
        quarantine: shared.quarantine.heard(fellow),
        limits: shared.told_limits(),
        departures: shared.told_departures(),
    };
    let client = shared.table().client();
    let request = RelayRequest::News(question);
    let limit = FEED_WAIT + ANSWER_TIMEOUT;
    // One that does not answer is asked again in the next turn.
    if let Some(RelayAnswer::News(answer)) = client.call(fellow, &request, limit).await {
        shared.note_told_limits(&answer.limits);
        shared.note_told_departures(&answer.departures);
        if let Some(news) = &answer.quarantine {
            shared.note_quarantine_news(fellow, news);
        }
    }
}

/// Follows one table, until it is dropped.
async fn follow_one(shared: Arc<Shared>, rhythm: Rhythm) {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    let mut lost = false;
    loop {
        let asked = Instant::now();
        // After a failure an answer is wanted at once: it also confirms what is known.
        let wait = if lost { Duration::ZERO } else { rhythm.wait };
        match advance(&shared, &rhythm, wait).await {
            Ok(()) => {
                note_state(&rhythm, &mut lost, None);
                backoff.reset();
                let least = shared.read_pause().clamp(LEAST_PAUSE, FEEDER_PAUSE);
                sleep_until(asked + least.max(busy_pause(&shared, &rhythm))).await;
            }
            Err(TableError::HistoryGone) => {
                let fields = format_args!("table={}", rhythm.table);
                lines::write(Rank::Decision, "history_gone", fields);
                shared.feed.cache(|cache| cache.note_gap(rhythm.table));
            }
            Err(error) => {
                note_state(&rhythm, &mut lost, Some(&error));
                tokio::select! {
                    () = backoff.wait() => {}
                    () = shared.table().kept_out() => {}
                }
            }
        }
    }
}

/// Least time between two calls for changes. In a small fleet a call more costs nothing, and
/// what is known sooner serves callers better: with the pause of a large one tks-indoor (nine
/// gateways) lost 0.012 ± 0.004 of worth (20 plays in pairs).
fn busy_pause(shared: &Shared, rhythm: &Rhythm) -> Duration {
    if shared.possible_gateways() <= FEW_GATEWAYS {
        rhythm.pause
    } else {
        rhythm.least_pause(shared.settings.bounds.news)
    }
}

/// A line when a table is lost, and when it answers again.
fn note_state(rhythm: &Rhythm, lost: &mut bool, error: Option<&TableError>) {
    let was_lost = std::mem::replace(lost, error.is_some());
    match error {
        Some(error) if !was_lost => {
            let fields = format_args!("table={} error=\"{error}\"", rhythm.table);
            lines::write(Rank::Decision, "table_lost", fields);
        }
        None if was_lost => {
            let fields = format_args!("table={}", rhythm.table);
            lines::write(Rank::Decision, "table_regained", fields);
        }
        _ => {}
    }
}

/// One call of the table: all rows if they are not known, or else what changed, which is waited
/// for as long as `wait`. An answer
/// that may have lain there while the machine was suspended says nothing of now: the next
/// call asks again.
pub(super) async fn advance(
    shared: &Shared,
    rhythm: &Rhythm,
    wait: Duration,
) -> Result<(), TableError> {
    let source = shared.table();
    let table = rhythm.table;
    let suspended = shared.clock.suspended();
    let asked = shared.clock.since_boot();
    match shared.feed.cache(|cache| cache.version(table)) {
        None => {
            let snapshot = source.read(table).await?;
            if shared.clock.was_suspended_since(suspended) {
                return Ok(());
            }
            shared
                .feed
                .cache(|cache| cache.replace(table, &snapshot, asked));
        }
        Some(version) => {
            let told = source.changes(table, version, wait).await?;
            if shared.clock.was_suspended_since(suspended) {
                return Ok(());
            }
            shared
                .feed
                .cache(|cache| cache.advance(table, version, &told, asked));
        }
    }
    Ok(())
}
