//! Assigns send times for requests to back ends with a stated rate limit. One gateway, the pacing
//! gateway, assigns the send times of all gateways.
//!
//! Input: a back end, its limit, and how long the request can wait. Output: the time after which
//! the request may be sent, or the time after which to ask again. Send times follow each other at
//! the stated rate, so within any time span a back end receives at most
//! `rate * (span + BURST_MS) + 1` requests from all gateways.
//!
//! Invariant: a send time that a pacing gateway assigns is at most [`MAX_LEAD_MS`] after the moment
//! at which it stops, and the first send time of its successor is one interval later. A change of
//! the pacing gateway therefore never exceeds the rate.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;

use crate::quarantine::IncarnationHash;

/// Maximum time between an assignment and the assigned send time, in milliseconds.
pub const MAX_LEAD_MS: u64 = 1_000;
/// Burst allowance, in milliseconds: after an idle time, requests that would have been allowed
/// within this time may be sent at once, since callers do not send at an even rate.
pub const BURST_MS: f64 = 100.0;
/// Minimum rate at which requests are sent even if a back end states a lower limit or 0, since only
/// a response can show that it accepts more again.
const MIN_RATE_PER_SECOND: f64 = 0.1;
/// Time after the last send time for which a back end is remembered. A forgotten back end's next
/// request may be sent at any time; the retention is longer than the interval at the minimum rate.
const RETENTION_MS: u64 = 60_000;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendTime {
    /// The request may be sent after this number of milliseconds; the slot is reserved for it.
    In(u64),
    /// No send time is left within the time that the request can wait. The next one is after this
    /// number of milliseconds.
    Later(u64),
}

/// The send times that were assigned.
#[derive(Debug)]
pub struct Pacer {
    started: Timestamp,
    /// The last assigned send time of each back end, in milliseconds of this process's clock.
    last_send_time: HashMap<IncarnationHash, f64>,
}

impl Pacer {
    /// Starts at `now`, when this gateway becomes the only pacing gateway.
    pub fn new(now: Timestamp) -> Self {
        Pacer {
            started: now,
            last_send_time: HashMap::new(),
        }
    }

    /// Assigns a send time for one request to a back end with the limit `rate`, in requests per
    /// second. The request can wait `max_wait` milliseconds.
    pub fn assign(
        &mut self,
        now: Timestamp,
        back_end: IncarnationHash,
        rate: f64,
        max_wait: u64,
    ) -> SendTime {
        let interval = 1_000.0 / rate.max(MIN_RATE_PER_SECOND);
        let now_ms = now.0 as f64;
        // The previous pacing gateway may have assigned the time one interval before this one.
        let first = (self.started + MAX_LEAD_MS).0 as f64 + interval;
        let last = self.last_send_time.get(&back_end).copied();
        let next = last.map_or(first, |last| last + interval);
        let at = next.max(now_ms - BURST_MS).max(first);
        let wait = (at - now_ms).max(0.0).ceil() as u64;
        if wait > max_wait.min(MAX_LEAD_MS) {
            return SendTime::Later(wait);
        }
        self.remove_expired(now);
        self.last_send_time.insert(back_end, at);
        SendTime::In(wait)
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let oldest = (now - RETENTION_MS).0 as f64;
        self.last_send_time.retain(|_, last| *last >= oldest);
    }
}
