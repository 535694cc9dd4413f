//! Pauses that back ends ask for when they turn a request away.
//!
//! In: the words of an answer. Out: for how long its back end wants no requests from the gateway
//! that has the answer. Each gateway is asked for itself, so nothing of it is told to others.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

use gorsebank_coordination::Timestamp;

use crate::quarantine::BackEndHash;

/// The longest pause that is kept: one wrong answer does not put a back end out of use for good.
const LONGEST_PAUSE: Duration = Duration::from_secs(600);

/// For how long a back end wants no requests from the gateway that it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedPause {
    /// It asks for no pause.
    #[default]
    None,
    /// For this time from its answer on.
    For(Duration),
    /// It asks for one in words that cannot be read.
    Unreadable,
}

impl RequestedPause {
    /// Reads a pause in seconds, as a decimal number.
    pub fn parse(text: &[u8]) -> Self {
        let text = std::str::from_utf8(text).ok();
        let seconds = text.and_then(|text| text.trim().parse::<f64>().ok());
        match seconds.filter(|seconds| *seconds >= 0.0) {
            Some(seconds) => {
                let seconds = seconds.min(LONGEST_PAUSE.as_secs_f64());
                RequestedPause::For(Duration::from_secs_f64(seconds))
            }
            None => RequestedPause::Unreadable,
        }
    }
}

/// Back ends that want no requests from this gateway for now. Each life asks for itself, and a
/// pause holds also while the back end's row is gone.
#[derive(Debug, Default)]
pub struct PausedBackEnds {
    until: HashMap<BackEndHash, Timestamp>,
}

impl PausedBackEnds {
    /// A back end asks for a pause. Answers on different connections pass each other, so a longer
    /// pause that it has asked for stands. True if it was not paused before.
    pub fn note(&mut self, now: Timestamp, back_end: BackEndHash, pause: Duration) -> bool {
        self.until.retain(|_, until| now < *until);
        let until = now + whole_milliseconds(pause);
        match self.until.entry(back_end) {
            Entry::Vacant(unknown) => {
                unknown.insert(until);
                true
            }
            Entry::Occupied(mut known) => {
                known.insert(until.max(*known.get()));
                false
            }
        }
    }

    /// How much longer a back end wants no requests; none if it takes them.
    pub fn left(&self, now: Timestamp, back_end: BackEndHash) -> Option<Duration> {
        let until = *self.until.get(&back_end)?;
        (now < until).then(|| Duration::from_millis(until.since(now)))
    }

    /// Whether no back end has asked for a pause of late.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}

/// A pause does not end early by being rounded.
fn whole_milliseconds(pause: Duration) -> u64 {
    pause.as_micros().div_ceil(1_000) as u64
}
