//! Requests that are kept away from back ends, as this gateway knows and tells it.
//!
//! ```text
//! lost connections, whole answers --> known --> verdicts on requests
//!          gateways that this one feeds --^  \--> those that it feeds (with the feed's answers)
//!                                             \--> the one that feeds it, at once
//! ```
//!
//! News go up by a call of its own and come down with the answers to waiting
//! questions, so they are everywhere within a few round trips, whether the table answers or not.
//! Roots ask each other. A gateway that starts later is told all that is remembered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::{BackEndHash, Position, Source, ToldOutcome};
use gorsebank_fleet::{Fingerprint, Quarantine};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::lines::{self, Rank};
use crate::relay::{RelayAnswer, RelayRequest};
use crate::shared::Shared;

/// Pause before news are handed up again when nobody took them: a fifteenth of the three
/// seconds that users allow them to all gateways.
const HAND_UP_PAUSE: Duration = Duration::from_millis(200);
/// A gateway takes news within this time, or another one is told.
const HAND_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// Whoever has nothing to hand up looks again after so long.
const IDLE: Duration = Duration::from_secs(5);

/// News of requests under which back ends ended, for one who asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// Where the asker is when it has taken in the events.
    pub position: Position,
    /// What happened, in the order in which the teller learned of it.
    pub events: Vec<ToldOutcome>,
}

/// What this gateway knows, and how far it knows what others tell.
pub struct SharedQuarantine {
    known: Mutex<Quarantine>,
    /// Rings when there is more to tell.
    grown: watch::Sender<()>,
    /// Notified when the end of a back end under a request of this gateway changes the verdicts.
    local_verdict_change: Notify,
    heard: Mutex<HashMap<SocketAddr, Position>>,
    /// See [`SharedQuarantine::is_initialized`].
    is_initialized: AtomicBool,
}

impl Default for SharedQuarantine {
    fn default() -> Self {
        SharedQuarantine {
            known: Mutex::new(Quarantine::new(rand::random())),
            grown: watch::Sender::new(()),
            local_verdict_change: Notify::new(),
            heard: Mutex::default(),
            is_initialized: AtomicBool::new(false),
        }
    }
}

impl SharedQuarantine {
    /// How much longer a request is kept away from back ends; none if it may be sent.
    pub fn verdict(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Duration> {
        let left = self.known.lock().verdict(now, fingerprint)?;
        Some(Duration::from_millis(left))
    }

    /// A back end ended while a request of this gateway was there. True if other requests
    /// than before are kept away.
    pub fn note_end(&self, now: Timestamp, request: Fingerprint, back_end: BackEndHash) -> bool {
        let has_changed = self.change(|known| known.note_end(now, request, back_end));
        if has_changed {
            self.local_verdict_change.notify_one();
        }
        has_changed
    }

    /// Waits until the end of a back end under a request of this gateway changes the verdicts.
    /// Returns at once if that has happened since the last call; several changes count as one.
    pub async fn local_verdict_change(&self) {
        self.local_verdict_change.notified().await;
    }

    /// A back end answered a request of this gateway whole. True as above.
    pub fn note_served(&self, now: Timestamp, request: Fingerprint) -> bool {
        self.change(|known| known.note_served(now, request))
    }

    /// Another gateway told of events. True as above.
    pub fn take(&self, now: Timestamp, told: &[ToldOutcome], source: Source) -> bool {
        self.change(|known| {
            known.take(now, told, source);
        })
    }

    /// The gateway at `address` answered with news. True as above.
    pub fn take_news(&self, now: Timestamp, address: SocketAddr, news: &QuarantineNews) -> bool {
        self.heard.lock().insert(address, news.position);
        self.take(now, &news.events, Source::Beside)
    }

    /// Whether the verdicts from before the start of this gateway are known or the wait for them
    /// has timed out.
    pub fn is_initialized(&self) -> bool {
        self.is_initialized.load(Ordering::Acquire)
    }

    /// Marks the quarantine as initialized and wakes subscribers. Returns true on the first call
    /// only.
    pub fn note_initialized(&self) -> bool {
        let is_first = !self.is_initialized.swap(true, Ordering::AcqRel);
        if is_first {
            self.grown.send_replace(());
        }
        is_first
    }

    /// How far the gateway at `address` is known.
    pub fn heard(&self, address: SocketAddr) -> Option<Position> {
        self.heard.lock().get(&address).copied()
    }

    /// What is new to a gateway at this position. None until this gateway is initialized: the
    /// receiver treats the events as complete.
    pub fn news(&self, now: Timestamp, position: Option<Position>) -> Option<QuarantineNews> {
        if !self.is_initialized() {
            return None;
        }
        let known = self.known.lock();
        Some(QuarantineNews {
            position: known.position(),
            events: known.since(now, position),
        })
    }

    /// The ends that verdicts hang on.
    pub fn verdict_events(&self, now: Timestamp) -> Vec<ToldOutcome> {
        self.known.lock().verdict_events(now)
    }

    /// How often other requests than before were kept away.
    pub fn verdict_changes(&self) -> u64 {
        self.known.lock().verdict_changes()
    }

    /// Whether anything is new to one at this position.
    pub fn is_ahead_of(&self, position: Option<Position>) -> bool {
        // A gateway without a position may need the answer to become ready, even without events.
        self.is_initialized() && (position.is_none() || self.known.lock().is_ahead_of(position))
    }

    /// Rings when there is more to tell.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.grown.subscribe()
    }

    fn change(&self, act: impl FnOnce(&mut Quarantine)) -> bool {
        let mut known = self.known.lock();
        let (changes, position) = (known.verdict_changes(), known.position());
        act(&mut known);
        let has_changed = known.verdict_changes() != changes;
        let has_grown = known.position() != position;
        let count = known.verdict_count();
        drop(known);
        if has_grown {
            self.grown.send_replace(());
        }
        if has_changed {
            let fields = format_args!("requests={count}");
            lines::write(Rank::Decision, "quarantine", fields);
        }
        has_changed
    }

    /// What this gateway and those that it feeds saw since a position.
    fn seen_below(&self, now: Timestamp, position: Option<Position>) -> QuarantineNews {
        let known = self.known.lock();
        QuarantineNews {
            position: known.position(),
            events: known.seen_below_since(now, position),
        }
    }
}

/// Hands news to a gateway that feeds this one, until it is dropped.
pub async fn hand_up(shared: Arc<Shared>) {
    let mut grown = shared.quarantine.subscribe();
    let mut handed: Option<Position> = None;
    loop {
        grown.mark_unchanged();
        let news = shared.quarantine.seen_below(shared.now(), handed);
        if news.events.is_empty() {
            handed = Some(news.position);
            // Time is up or there is more: the next turn looks.
            let _ = timeout(IDLE, grown.changed()).await;
        } else if hand_to_any(&shared, news.events).await {
            handed = Some(news.position);
        } else {
            sleep(HAND_UP_PAUSE).await;
        }
    }
}

/// True if a gateway took it. At a root there is nobody above: the others ask it.
async fn hand_to_any(shared: &Shared, events: Vec<ToldOutcome>) -> bool {
    let (is_root, candidates) = {
        let parents = shared.feed.parents.lock();
        (parents.is_root(), parents.candidates())
    };
    if is_root {
        return true;
    }
    let request = RelayRequest::Quarantine(events);
    for parent in candidates {
        let client = shared.table().client();
        let answer = client.call(parent.address, &request, HAND_UP_TIMEOUT).await;
        if matches!(answer, Some(RelayAnswer::Noted)) {
            return true;
        }
    }
    false
}
