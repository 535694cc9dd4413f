//! Records what back ends state about themselves in the headers of their responses: limits, pauses
//! and drains.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{DrainNotice, RequestedPause};
use tokio::time::Instant;

use super::Shared;
use crate::back_end::{BackEnd, Connection};
use crate::event_log::{self, LogPriority};
use crate::ports::ResponseMetadata;

impl Shared {
    /// Records the metadata of a back end's response to a request that was sent at `sent`.
    pub fn record_response(&self, back_end: &BackEnd, sent: Instant, metadata: &ResponseMetadata) {
        self.record_alive(back_end);
        self.record_brittleness(back_end, metadata.max_rejections);
        self.record_stated_limit(back_end, sent.elapsed(), metadata.limit);
        if metadata.is_draining {
            self.record_drain(back_end);
        }
        match metadata.pause {
            RequestedPause::None => {}
            RequestedPause::For(pause) => self.record_pause(back_end, pause),
            RequestedPause::Unreadable => {
                let fields = format_args!("back_end={} reason=no_number", back_end.id);
                event_log::write(LogPriority::Decision, "back_end_pause_refused", fields);
            }
        }
    }

    /// Records that a back end could not be reached or broke off, unless this gateway's own links are
    /// at fault.
    pub fn record_unreachable(&self, back_end: &BackEnd) {
        if self.links.faulty_since(self.now()).is_none() {
            self.record_own_fault(back_end);
        }
    }

    /// Records that a back end is unreachable whatever the state of this gateway's links is, as another
    /// gateway has observed.
    pub fn record_own_fault(&self, back_end: &BackEnd) {
        let now = self.now();
        back_end.update_health(|health| health.record_unreachable(now));
    }

    /// Records a connection that was lost under a request, if a carrier has stated that the back end
    /// ended it. Then it is the back end's failure, also while this gateway's own links are at fault.
    pub fn record_stated_end(&self, back_end: &BackEnd, connection: &Connection) {
        let is_faulty = self.links.faulty_since(self.now()).is_some();
        if is_faulty && connection.tunnel.has_back_end_ended() {
            self.record_own_fault(back_end);
        }
    }

    fn record_pause(&self, back_end: &BackEnd, pause: Duration) {
        self.count_statement("pause");
        let mut paused = self.paused.lock();
        let is_new = paused.record(self.now(), back_end.incarnation_hash, pause);
        drop(paused);
        if is_new {
            let fields = format_args!(
                "back_end={} pause_ms={} in_flight={}",
                back_end.id,
                pause.as_millis(),
                back_end.in_flight(),
            );
            event_log::write(LogPriority::Decision, "back_end_pause", fields);
        }
    }

    /// Remaining time of the pause that a back end has requested from this gateway; `None` if there
    /// is no pause.
    pub fn pause_left(&self, now: Timestamp, back_end: &BackEnd) -> Option<Duration> {
        self.paused.lock().remaining(now, back_end.incarnation_hash)
    }

    /// Returns the back ends that have requested no pause. If all of them are paused, the error is
    /// the time until the first pause ends.
    pub fn without_paused(
        &self,
        now: Timestamp,
        mut back_ends: Vec<Arc<BackEnd>>,
    ) -> Result<Vec<Arc<BackEnd>>, Duration> {
        let paused = self.paused.lock();
        if paused.is_empty() {
            return Ok(back_ends);
        }
        let pauses = back_ends
            .iter()
            .map(|it| paused.remaining(now, it.incarnation_hash));
        let shortest = pauses.min().flatten();
        back_ends.retain(|back_end| paused.remaining(now, back_end.incarnation_hash).is_none());
        match shortest {
            Some(shortest) => Err(shortest),
            None => Ok(back_ends),
        }
    }

    /// Records a drain that a back end has announced in a response. The announcement takes effect
    /// at once, because the back end's row may be updated much later while the table is
    /// unavailable.
    pub fn record_drain(&self, back_end: &BackEnd) {
        self.count_statement("leaving");
        if self.directory(|directory| directory.is_draining(back_end)) {
            return;
        }
        let now = self.now();
        let mut is_new = false;
        self.change_directory(|directory| is_new = directory.record_drain(now, back_end));
        if is_new {
            log_drain(back_end, "answer");
        }
    }

    /// Merges drain notices from another gateway.
    pub fn merge_drain_notices(&self, notices: &[DrainNotice]) {
        if self.directory(|directory| directory.knows_drains(notices)) {
            return;
        }
        let now = self.now();
        let mut draining = Vec::new();
        self.change_directory(|directory| draining = directory.merge_drain_notices(now, notices));
        let draining = draining.iter();
        draining.for_each(|back_end| log_drain(back_end, "gateway"));
    }

    /// Drain notices for other gateways.
    pub fn drain_notices(&self) -> Vec<DrainNotice> {
        let now = self.now();
        self.directory(|directory| directory.drain_notices(now))
    }

    fn count_statement(&self, kind: &str) {
        let statements = &self.metrics.back_end_statements;
        statements.with_label_values(&[kind]).inc();
    }
}

fn log_drain(back_end: &BackEnd, source: &str) {
    let fields = format_args!(
        "back_end={} source={source} in_flight={}",
        back_end.id,
        back_end.in_flight(),
    );
    event_log::write(LogPriority::Decision, "back_end_leaving", fields);
}
