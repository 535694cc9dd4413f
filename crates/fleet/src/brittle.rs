//! Services whose back ends are brittle: one that has to reject more requests in a second than it
//! states fails.
//!
//! Input: the statement in each response, rejections, and how many requests run at a back end.
//! Output: whether this gateway may send a back end another request.
//!
//! A rejection cannot be taken back, and the counts of other gateways are late. Therefore a gateway
//! sends more than its share of a back end's slots only while there is room for one more request of
//! every gateway, and keeps away from a back end after a rejection for so long that all gateways
//! together stay below the stated number.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use gorsebank_world::ServiceId;

use crate::quarantine::IncarnationHash;

/// Time after the last statement for which it holds, in milliseconds. Every response of a brittle
/// back end repeats it.
const STATEMENT_LIFETIME_MS: u64 = 5_000;
/// Time for which a response without a statement does not end the period: it may have been sent
/// before the statement and arrive after it.
const OVERTAKING_MS: u64 = 500;
/// Maximum time without requests after a rejection, in milliseconds. It ends early when the service
/// ceases to be brittle.
const MAX_BACKOFF_MS: f64 = 60_000.0;

/// How busy a back end is.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Number of requests that the back end runs at a time; 0 if unknown.
    pub slots: u32,
    /// Requests of this gateway.
    pub own: u32,
    /// Requests of the other gateways, as far as they are known.
    pub others: u32,
}

impl Occupancy {
    /// Whether one of `gateways` gateways may send another request without the risk of a rejection.
    fn has_safe_room(&self, gateways: u32) -> bool {
        let running = self.own + self.others;
        let share = (self.slots / gateways).max(1);
        let fits_all = running + gateways < self.slots;
        running < self.slots && (self.own < share || fits_all)
    }
}

/// The latest statement of a service's back ends.
#[derive(Clone, Copy, Debug)]
struct Statement {
    rejections_per_second: f64,
    at: Timestamp,
}

/// The brittle services that a gateway knows.
#[derive(Debug, Default)]
pub struct BrittleServices {
    stated: HashMap<ServiceId, Statement>,
    /// Until when a back end is sent nothing after a rejection.
    backoffs: HashMap<IncarnationHash, Timestamp>,
}

impl BrittleServices {
    /// Records the number of rejections per second in a back end's response; `None` if the response
    /// states none. Returns true if the service became brittle or ceased to be.
    pub fn record(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        rejections_per_second: Option<f64>,
    ) -> bool {
        let was_brittle = self.is_brittle(now, service);
        match rejections_per_second {
            Some(rejections_per_second) => {
                let statement = Statement {
                    rejections_per_second,
                    at: now,
                };
                self.stated.insert(service.clone(), statement);
                !was_brittle
            }
            None => {
                let stated = self.stated.get(service);
                if stated.is_some_and(|stated| now.since(stated.at) > OVERTAKING_MS) {
                    self.stated.remove(service);
                }
                was_brittle != self.is_brittle(now, service)
            }
        }
    }

    /// Whether the service's back ends are brittle.
    pub fn is_brittle(&self, now: Timestamp, service: &ServiceId) -> bool {
        self.statement(now, service).is_some()
    }

    /// Records that a back end rejected a request of one of `gateways` gateways for want of room.
    pub fn record_rejection(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        back_end: IncarnationHash,
        gateways: u32,
    ) {
        let Some(statement) = self.statement(now, service) else {
            return;
        };
        let share = statement.rejections_per_second / f64::from(gateways);
        self.backoffs.retain(|_, until| now < *until);
        let backoff_ms = (1_000.0 / share).min(MAX_BACKOFF_MS).ceil() as u64;
        self.backoffs.insert(back_end, now + backoff_ms);
    }

    /// Whether one of `gateways` gateways may send a request to a back end of the service.
    pub fn may_send(
        &self,
        now: Timestamp,
        service: &ServiceId,
        back_end: IncarnationHash,
        occupancy: Occupancy,
        gateways: u32,
    ) -> bool {
        if !self.is_brittle(now, service) {
            return true;
        }
        let until = self.backoffs.get(&back_end);
        let is_backing_off = until.is_some_and(|until| now < *until);
        let is_known = occupancy.slots > 0;
        !is_backing_off && (!is_known || occupancy.has_safe_room(gateways))
    }

    /// Parses the number of rejections per second, a positive decimal number.
    pub fn parse(text: &[u8]) -> Option<f64> {
        let number: f64 = std::str::from_utf8(text).ok()?.trim().parse().ok()?;
        // A back end that bears no rejection is treated as one that bears one in ten seconds.
        (number.is_finite() && number >= 0.0).then(|| number.max(0.1))
    }

    fn statement(&self, now: Timestamp, service: &ServiceId) -> Option<&Statement> {
        let stated = self.stated.get(service)?;
        (now.since(stated.at) < STATEMENT_LIFETIME_MS).then_some(stated)
    }
}
