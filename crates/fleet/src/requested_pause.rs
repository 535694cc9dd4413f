//! Pauses that back ends request when they reject a request, as with Retry-After.
//!
//! Input: the text of the pause in a response. Output: how long its back end wants no requests
//! from the gateway that received the response. A pause applies to that gateway only, so it is not
//! passed on to other gateways.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

use gorsebank_coordination::Timestamp;

use crate::quarantine::IncarnationHash;

/// Upper bound of a pause, so that one wrong response does not disable a back end for good.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// The pause that a response requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedPause {
    /// No pause is requested.
    #[default]
    None,
    /// A pause of this length, from the response on.
    For(Duration),
    /// A pause is requested, but its length cannot be parsed.
    Unreadable,
}

impl RequestedPause {
    /// Parses a pause in seconds, a decimal number.
    pub fn parse(text: &[u8]) -> Self {
        let text = std::str::from_utf8(text).ok();
        let seconds = text.and_then(|text| text.trim().parse::<f64>().ok());
        match seconds.filter(|seconds| *seconds >= 0.0) {
            Some(seconds) => {
                let seconds = seconds.min(MAX_PAUSE.as_secs_f64());
                RequestedPause::For(Duration::from_secs_f64(seconds))
            }
            None => RequestedPause::Unreadable,
        }
    }
}

/// Back ends that currently want no requests from this gateway, by incarnation. A pause stays in
/// force while the back end's row is missing.
#[derive(Debug, Default)]
pub struct PausedBackEnds {
    until: HashMap<IncarnationHash, Timestamp>,
}

impl PausedBackEnds {
    /// Records a requested pause. Responses on different connections can overtake each other, so
    /// a longer pause that was requested before stays in force. Returns true if the back end was
    /// not paused before.
    pub fn record(&mut self, now: Timestamp, back_end: IncarnationHash, pause: Duration) -> bool {
        self.until.retain(|_, until| now < *until);
        let until = now + milliseconds_rounded_up(pause);
        match self.until.entry(back_end) {
            Entry::Vacant(entry) => {
                entry.insert(until);
                true
            }
            Entry::Occupied(mut entry) => {
                entry.insert(until.max(*entry.get()));
                false
            }
        }
    }

    /// The remaining pause; `None` if the back end accepts requests.
    pub fn remaining(&self, now: Timestamp, back_end: IncarnationHash) -> Option<Duration> {
        let until = *self.until.get(&back_end)?;
        (now < until).then(|| Duration::from_millis(until.since(now)))
    }

    /// Whether no pause of any back end is recorded.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}

/// Rounds up, so that a pause does not end early.
fn milliseconds_rounded_up(pause: Duration) -> u64 {
    pause.as_micros().div_ceil(1_000) as u64
}
