//! Limits that back ends in need state, over all gateways together: no more is sent to such a
//! back end than it says it takes, and what is left over goes elsewhere or is refused.
//!
//! ```text
//! answer --> limit known here --> told with the news: up, down, among roots
//! request for a limited back end --ask--> the gateway that places models
//!                                <-- a time to send at, or when there is room
//! ```
//!
//! One gateway gives out the times for all: the one that places models. Every deployment has
//! one, all gateways know it, and it needs nothing of the table for this, so limits hold while
//! the table is out of order. Where nobody gives out times nothing is sent to back ends with a
//! limit: a part of each limit for each gateway would be less than a request in most fleets.
//!
//! In: answers of back ends, what other gateways tell and ask. Out: the limits in force, and
//! which back ends have no room for now. This module knows no connections.

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::BackEndHash;
use gorsebank_fleet::{Pacer, SendTime, StatedLimits};
use parking_lot::Mutex;

use crate::allowance::{AskAnswer, SendTimeAsk};

/// While nobody gives out times, or whoever does gives no answer, a back end has no room for
/// this time: another gateway takes that over within some seconds.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(600);

/// What came of asking for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The request may be sent to the back end after this time.
    In(Duration),
    /// There is no room for it, as far as it can wait.
    NoRoom,
}

/// Limits of back ends, as this gateway knows them, asks for times, and gives them out.
#[derive(Debug, Default)]
pub struct BackEndLimits {
    known: Mutex<StatedLimits>,
    /// Until when back ends have no room, as this gateway was told.
    full_until: Mutex<HashMap<BackEndHash, Timestamp>>,
    /// The times that were given out, while this gateway does so.
    pacer: Mutex<Option<Pacer>>,
}

impl BackEndLimits {
    /// Uses what is known of limits.
    pub fn known<T>(&self, act: impl FnOnce(&mut StatedLimits) -> T) -> T {
        act(&mut self.known.lock())
    }

    /// Requests a second that a back end takes of all gateways together; none if it takes what
    /// it is sent.
    pub fn rate(&self, back_end: BackEndHash) -> Option<f64> {
        self.known.lock().rate(back_end)
    }

    /// This gateway gives out times from now on, or another one does.
    pub fn set_counting(&self, now: Timestamp, counts: bool) {
        *self.pacer.lock() = counts.then(|| Pacer::new(now));
    }

    /// Answers a gateway, this one included, that asks for a time.
    pub fn answer(&self, now: Timestamp, ask: &SendTimeAsk) -> AskAnswer {
        if !ask.rate.is_finite() {
            return AskAnswer::NotHere;
        }
        // Of two statements that differ the lower one does no harm.
        let known = self.rate(ask.back_end);
        let rate = known.map_or(ask.rate, |known| known.min(ask.rate));
        let mut pacer = self.pacer.lock();
        let Some(pacer) = pacer.as_mut() else {
            return AskAnswer::NotHere;
        };
        match pacer.take(now, ask.back_end, rate, ask.most_wait) {
            SendTime::In(wait) => AskAnswer::Reserved { wait },
            SendTime::Later(wait) => AskAnswer::Beyond { wait },
        }
    }

    /// Takes in what whoever gives out times said; none if it gave no answer.
    pub fn take_answer(
        &self,
        now: Timestamp,
        back_end: BackEndHash,
        answer: Option<AskAnswer>,
    ) -> Reservation {
        let wait = match answer {
            Some(AskAnswer::Reserved { wait }) => {
                return Reservation::In(Duration::from_millis(wait));
            }
            Some(AskAnswer::Beyond { wait }) => wait,
            _ => UNKNOWN_PAUSE.as_millis() as u64,
        };
        let mut full = self.full_until.lock();
        full.retain(|_, until| now < *until);
        full.insert(back_end, now + wait);
        Reservation::NoRoom
    }

    /// How long a back end has no room; none if there may be some now.
    pub fn full_for(&self, now: Timestamp, back_end: BackEndHash) -> Option<Duration> {
        let until = *self.full_until.lock().get(&back_end)?;
        (now < until).then(|| Duration::from_millis(until.since(now)))
    }
}
