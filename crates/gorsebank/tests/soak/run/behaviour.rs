//! What back ends do with requests.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::platform::runner::{End, Reply, Seen};
use crate::promises::{EVENTS, PLAIN, event};
use crate::statements::PAUSE_TEXT;

/// Pause between two events, and before the first.
const PAUSE: Duration = Duration::from_millis(20);
/// The same, and before a plain answer, at a slow back end.
const SLOW: Duration = Duration::from_millis(200);
/// How a back end is.
#[derive(Debug, Default)]
pub(super) struct Mood {
    /// Answers slowly.
    pub(super) slow: AtomicBool,
    /// Fails every second request.
    pub(super) grey: AtomicBool,
    /// Turns requests away and wants a pause after each.
    pub(super) busy: AtomicBool,
    /// Requests that it turned away, by their ids, and when.
    pub(super) turned_away: Mutex<Vec<(Instant, String)>>,
    requests: AtomicUsize,
}

/// What a back end does with a request.
pub(super) fn behave(seen: &Seen, mood: &Mood) -> Reply {
    if mood.busy.load(Ordering::Relaxed) {
        let turned_away = (seen.at, seen.id().to_owned());
        mood.turned_away.lock().push(turned_away);
        return Reply::Pause(PAUSE_TEXT);
    }
    let number = mood.requests.fetch_add(1, Ordering::Relaxed);
    if mood.grey.load(Ordering::Relaxed) && number.is_multiple_of(2) {
        return Reply::Answer(500, "failed");
    }
    let is_slow = mood.slow.load(Ordering::Relaxed);
    let is_stream = seen.line.contains("/stream/") || seen.line.contains("/resumable/");
    if !is_stream && is_slow {
        return Reply::Late(SLOW, 200, PLAIN);
    }
    if !is_stream {
        return Reply::Answer(200, PLAIN);
    }
    let last = seen
        .header("last-event-id")
        .and_then(|id| id.parse::<u64>().ok());
    let first = last.unwrap_or(0) + 1;
    let pause = if is_slow { SLOW } else { PAUSE };
    let events = (first..=EVENTS).map(|number| (pause, event(number)));
    Reply::Events(events.collect(), End::Whole)
}
