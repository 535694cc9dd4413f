//! Rate limits that back ends state: records limits from responses and from other gateways, and
//! requests send times for back ends with a limit from the placement holder.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use gorsebank_fleet::quarantine::IncarnationHash;
use gorsebank_fleet::{LimitNotice, StatedLimit};
use gorsebank_world::BackEndId;

use super::Shared;
use crate::back_end::BackEnd;
use crate::back_end_limits::Reservation;
use crate::directory::Directory;
use crate::event_log::{self, LogPriority};
use crate::tenant_quotas::{QuotaRequest, SendTimeRequest};

impl Shared {
    /// Records the limit that a back end states in its response to a request. `since_sent` is the
    /// time since the request was sent.
    pub fn record_stated_limit(
        &self,
        back_end: &BackEnd,
        since_sent: Duration,
        statement: StatedLimit,
    ) {
        if matches!(statement, StatedLimit::Unreadable) {
            let fields = format_args!("back_end={} reason=no_number", back_end.id);
            event_log::write(LogPriority::Decision, "back_end_limit_refused", fields);
        }
        let now = self.now();
        let sent = now - since_sent.as_millis() as u64;
        let incarnation = back_end.incarnation_hash;
        let record = |known: &mut gorsebank_fleet::StatedLimits| {
            known.record(now, sent, incarnation, statement)
        };
        if self.back_end_limits.with_limits(record) {
            self.handle_limit_changes(&[incarnation], "answer");
        }
    }

    /// Merges limit notices from another gateway.
    pub fn merge_limit_notices(&self, notices: &[LimitNotice]) {
        if notices.is_empty() {
            return;
        }
        let now = self.now();
        let changed = self
            .back_end_limits
            .with_limits(|known| known.merge(now, notices));
        if !changed.is_empty() {
            self.handle_limit_changes(&changed, "gateway");
        }
    }

    /// Stated limits of back ends, in requests per second.
    pub fn stated_limits_by_name(&self) -> BTreeMap<BackEndId, f64> {
        let rates = self.back_end_limits.with_limits(|known| known.in_force());
        if rates.is_empty() {
            return BTreeMap::new();
        }
        self.directory(|directory: &Directory| directory.rates_by_name(&rates))
    }

    /// Limit notices for other gateways.
    pub fn limit_notices(&self) -> Vec<LimitNotice> {
        let now = self.now();
        self.back_end_limits.with_limits(|known| known.notices(now))
    }

    /// Requests a send time at a back end from the placement holder. `rate` is the stated limit in
    /// requests per second, `max_wait` the longest time that the request can wait.
    pub async fn reserve_send_time(
        &self,
        back_end: &BackEnd,
        rate: f64,
        max_wait: Duration,
    ) -> Reservation {
        let request = QuotaRequest::for_send_time(SendTimeRequest {
            back_end: back_end.incarnation_hash,
            rate,
            max_wait_ms: max_wait.as_millis() as u64,
        });
        let response = match self.holder() {
            Some(holder) => self.send_quota_request(holder, request).await,
            None => None,
        };
        let incarnation = back_end.incarnation_hash;
        let reservation = self
            .back_end_limits
            .apply_response(self.now(), incarnation, response);
        let result = match (reservation, response) {
            (Reservation::In(_), _) => "reserved",
            (Reservation::NoCapacity, Some(_)) => "no_room",
            (Reservation::NoCapacity, None) => "no_answer",
        };
        let metrics = &self.metrics;
        metrics.reservations.with_label_values(&[result]).inc();
        reservation
    }

    fn handle_limit_changes(&self, changed: &[IncarnationHash], source: &str) {
        for incarnation in changed {
            let back_end =
                self.directory(|directory: &Directory| directory.by_incarnation(*incarnation));
            let fields = format_args!(
                "back_end={} requests_per_second={} source={source} running={}",
                back_end.as_ref().map_or("-", |it| it.id.as_str()),
                RateOrDash(self.back_end_limits.rate(*incarnation)),
                back_end.as_ref().map_or(0, |it| it.in_flight()),
            );
            event_log::write(LogPriority::Decision, "back_end_limit", fields);
        }
        let count = self.back_end_limits.with_limits(|known| known.count());
        self.metrics.stated_limits.set(count as i64);
        self.notify_changed();
    }
}

/// Formats a rate for a log line, or a dash if there is none.
struct RateOrDash(Option<f64>);

impl fmt::Display for RateOrDash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(rate) => write!(formatter, "{rate}"),
            None => formatter.write_str("-"),
        }
    }
}
