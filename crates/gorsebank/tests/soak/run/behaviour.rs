//! How the back ends of a soak run respond to requests, depending on the injected conditions.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::guarantees::{EVENTS_PER_STREAM, PLAIN_BODY, stream_event};
use crate::plan::Garble;
use crate::platform::runner::{ENDLESS_RESPONSES, ReceivedRequest, Reply, StreamEnd};
use crate::statements::REQUESTED_PAUSE_SECONDS_TEXT;

/// Paths of the routes of streams.
const STREAM_PATHS: [&str; 3] = ["/stream/", "/resumable/", "/restock/"];
/// Time between two events of a stream, and before the first event.
const EVENT_GAP: Duration = Duration::from_millis(20);
/// Time between two events at a slow back end, and delay of its other responses.
const SLOW_DELAY: Duration = Duration::from_millis(200);

/// Pause that a back end requests with rejections that it sends twice, in seconds. Callers can wait for
/// its end.
const SHORT_PAUSE_SECONDS_TEXT: &str = "0.05";

/// Injected conditions of a back end.
#[derive(Debug, Default)]
pub(super) struct Conditions {
    /// The back end responds slowly.
    pub(super) slow: AtomicBool,
    /// The back end fails every second request.
    pub(super) failing: AtomicBool,
    /// The back end rejects requests and requests a pause after each rejection.
    pub(super) rejecting: AtomicBool,
    /// How the back end garbles its responses at present.
    pub(super) garble: Mutex<Option<Garble>>,
    /// Request ids of rejections that are sent twice.
    pub(super) repeated_rejections: Mutex<Vec<String>>,
    /// Time and request id of each rejection.
    pub(super) rejections: Mutex<Vec<(Instant, String)>>,
    request_count: AtomicUsize,
}

/// Returns a reply that is sent twice. Every second request is rejected, and may return after the pause.
fn surplus_reply(seen: &ReceivedRequest, conditions: &Conditions, number: usize) -> Reply {
    if number.is_multiple_of(2) || is_stream(seen) {
        let id = seen.id().to_owned();
        conditions.repeated_rejections.lock().push(id);
        return Reply::RejectionTwice(Some(SHORT_PAUSE_SECONDS_TEXT));
    }
    Reply::ResponseTwice(200, PLAIN_BODY)
}

fn is_stream(seen: &ReceivedRequest) -> bool {
    let line = &seen.request_line;
    STREAM_PATHS.iter().any(|path| line.contains(path))
}

/// Returns the reply of a back end to a request.
pub(super) fn reply_to(seen: &ReceivedRequest, conditions: &Conditions) -> Reply {
    if conditions.rejecting.load(Ordering::Relaxed) {
        let rejection = (seen.received_at, seen.id().to_owned());
        conditions.rejections.lock().push(rejection);
        return Reply::RetryAfter(REQUESTED_PAUSE_SECONDS_TEXT);
    }
    let number = conditions.request_count.fetch_add(1, Ordering::Relaxed);
    let garble = *conditions.garble.lock();
    match garble {
        Some(Garble::Surplus) => return surplus_reply(seen, conditions, number),
        Some(Garble::Endless) => {
            return Reply::Endless(ENDLESS_RESPONSES[number % ENDLESS_RESPONSES.len()]);
        }
        None => {}
    }
    if conditions.failing.load(Ordering::Relaxed) && number.is_multiple_of(2) {
        return Reply::Response(500, "failed");
    }
    let is_slow = conditions.slow.load(Ordering::Relaxed);
    let is_stream = is_stream(seen);
    if !is_stream && is_slow {
        return Reply::DelayedResponse(SLOW_DELAY, 200, PLAIN_BODY);
    }
    if !is_stream {
        return Reply::Response(200, PLAIN_BODY);
    }
    let last_event = seen
        .header("last-event-id")
        .and_then(|id| id.parse::<u64>().ok());
    let first = last_event.unwrap_or(0) + 1;
    let gap = if is_slow { SLOW_DELAY } else { EVENT_GAP };
    let events = (first..=EVENTS_PER_STREAM).map(|number| (gap, stream_event(number)));
    Reply::Events(events.collect(), StreamEnd::Complete)
}
