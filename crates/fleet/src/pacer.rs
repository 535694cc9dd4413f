//! Times at which gateways may send to back ends that state a limit, as the one gateway that
//! counts for all gives them out.
//!
//! In: a back end, its limit, how long the request can wait. Out: after which time it may be
//! sent, or when to ask again. Times follow each other at the stated rate, so within any span a
//! back end gets no more than `rate * (span + BURST) + 1` requests, whoever sends them.
//!
//! Invariant: a time that one gateway gave out lies at most [`AHEAD`] after it stopped counting,
//! and the next one begins an interval later; so a change of who counts adds nothing.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;

use crate::quarantine::BackEndHash;

/// A time lies at most so far ahead, in milliseconds.
pub const AHEAD: u64 = 1_000;
/// After a rest requests may follow each other at once that would have had room within this
/// time, in milliseconds: callers do not come at an even pace.
pub const BURST: f64 = 100.0;
/// A back end that takes less than this, in requests a second, or nothing, is sent so much all
/// the same: only an answer can tell that it takes more again.
const LEAST_RATE: f64 = 0.1;
/// A back end that was not asked for in this time, in milliseconds, may have its next request
/// at any time: more than one request takes at the least rate.
const MEMORY: u64 = 60_000;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendTime {
    /// It may, after so many milliseconds; nobody else may then.
    In(u64),
    /// Not within the time that it can wait: there is room after so many milliseconds.
    Later(u64),
}

/// The times that were given out.
#[derive(Debug)]
pub struct Pacer {
    begun: Timestamp,
    /// The last time at each back end, in milliseconds of this process's clock.
    last: HashMap<BackEndHash, f64>,
}

impl Pacer {
    /// This gateway counts from now on, and no other one does.
    pub fn new(now: Timestamp) -> Self {
        Pacer {
            begun: now,
            last: HashMap::new(),
        }
    }

    /// A time for one request to a back end that takes so many a second, within so many
    /// milliseconds.
    pub fn take(
        &mut self,
        now: Timestamp,
        back_end: BackEndHash,
        rate: f64,
        most_wait: u64,
    ) -> SendTime {
        let interval = 1_000.0 / rate.max(LEAST_RATE);
        let present = now.0 as f64;
        // Whoever counted before may have given out the time one interval before this.
        let first = (self.begun + AHEAD).0 as f64 + interval;
        let last = self.last.get(&back_end).copied();
        let next = last.map_or(first, |last| last + interval);
        let at = next.max(present - BURST).max(first);
        let wait = (at - present).max(0.0).ceil() as u64;
        if wait > most_wait.min(AHEAD) {
            return SendTime::Later(wait);
        }
        self.forget_old(now);
        self.last.insert(back_end, at);
        SendTime::In(wait)
    }

    fn forget_old(&mut self, now: Timestamp) {
        let oldest = (now - MEMORY).0 as f64;
        self.last.retain(|_, last| *last >= oldest);
    }
}
