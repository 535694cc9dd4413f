//! Enforces the rate limits that overloaded back ends state, over all gateways together. No back
//! end receives more requests than its limit allows; excess requests go to other back ends or are
//! refused.
//!
//! ```text
//! response --> limit recorded here --> limit notice: to parent, to children, among roots
//! request for a limited back end --> placement holder
//!                                <-- send time, or time until there is capacity
//! ```
//!
//! One gateway, the placement holder, schedules the sends of all gateways. Every deployment has a
//! placement holder, every gateway knows it, and scheduling needs no table calls, so limits hold
//! while the table is unavailable. While no gateway schedules sends, back ends with a limit receive
//! no requests: an equal share of each limit for every gateway would be less than one request in
//! most fleets.
//!
//! Input: responses of back ends, limit notices and send time requests of other gateways. Output:
//! the limits in force, and which back ends currently have no capacity. This module has no access
//! to connections.

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::IncarnationHash;
use gorsebank_fleet::{Pacer, SendTime, StatedLimits};
use parking_lot::Mutex;

use crate::tenant_quotas::{QuotaResponse, SendTimeRequest};

/// Time for which a back end is considered to have no capacity if the placement holder is unknown
/// or does not respond. Another gateway takes over scheduling within a few seconds.
const NO_HOLDER_PAUSE: Duration = Duration::from_millis(600);

/// Result of a request for a send time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The request may be sent to the back end after this time.
    In(Duration),
    /// There is no capacity within the time that the request can wait.
    NoCapacity,
}

/// Limits of back ends, the state of this gateway's send time requests, and, at the placement
/// holder, the schedule of sends.
#[derive(Debug, Default)]
pub struct BackEndLimits {
    known: Mutex<StatedLimits>,
    /// Times until which back ends have no capacity, as the placement holder has reported.
    full_until: Mutex<HashMap<IncarnationHash, Timestamp>>,
    /// Schedule of sends, while this gateway is the placement holder.
    pacer: Mutex<Option<Pacer>>,
}

impl BackEndLimits {
    /// Runs `act` on the known limits.
    pub fn with_limits<T>(&self, act: impl FnOnce(&mut StatedLimits) -> T) -> T {
        act(&mut self.known.lock())
    }

    /// Rate in requests per second that a back end accepts from all gateways together; `None` if
    /// the back end states no limit.
    pub fn rate(&self, back_end: IncarnationHash) -> Option<f64> {
        self.known.lock().rate(back_end)
    }

    /// Starts or stops scheduling sends at this gateway.
    pub fn set_scheduling(&self, now: Timestamp, is_scheduling: bool) {
        *self.pacer.lock() = is_scheduling.then(|| Pacer::new(now));
    }

    /// Handles a request of any gateway, including this one, for a send time.
    pub fn handle_request(&self, now: Timestamp, request: &SendTimeRequest) -> QuotaResponse {
        if !request.rate.is_finite() {
            return QuotaResponse::NotHolder;
        }
        // If both gateways know different limits, the lower one is safe.
        let known = self.rate(request.back_end);
        let rate = known.map_or(request.rate, |known| known.min(request.rate));
        let mut pacer = self.pacer.lock();
        let Some(pacer) = pacer.as_mut() else {
            return QuotaResponse::NotHolder;
        };
        match pacer.assign(now, request.back_end, rate, request.max_wait_ms) {
            SendTime::In(wait) => QuotaResponse::Reserved { wait_ms: wait },
            SendTime::Later(wait) => QuotaResponse::OverLimit { wait_ms: wait },
        }
    }

    /// Applies the placement holder's response, or its absence.
    pub fn apply_response(
        &self,
        now: Timestamp,
        back_end: IncarnationHash,
        response: Option<QuotaResponse>,
    ) -> Reservation {
        let wait = match response {
            Some(QuotaResponse::Reserved { wait_ms: wait }) => {
                return Reservation::In(Duration::from_millis(wait));
            }
            Some(QuotaResponse::OverLimit { wait_ms: wait }) => wait,
            _ => NO_HOLDER_PAUSE.as_millis() as u64,
        };
        let mut full = self.full_until.lock();
        full.retain(|_, until| now < *until);
        full.insert(back_end, now + wait);
        Reservation::NoCapacity
    }

    /// Time until a back end may have capacity again; `None` if it may have capacity now.
    pub fn no_capacity_for(&self, now: Timestamp, back_end: IncarnationHash) -> Option<Duration> {
        let until = *self.full_until.lock().get(&back_end)?;
        (now < until).then(|| Duration::from_millis(until.since(now)))
    }
}
