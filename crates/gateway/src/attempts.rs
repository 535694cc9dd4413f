//! Decides whether a request may be sent again after a failed attempt.
//!
//! A request that may have run is sent again only if its route allows repetition and the shared
//! retry budget has a retry left. A back end that is merely silent is abandoned only if another one
//! could take over, because silence alone does not prove a failure.

use std::sync::atomic::Ordering;
use std::time::Duration;

use gorsebank_fleet::RequestedPause;
use gorsebank_world::BackEndId;

use crate::admission;
use crate::back_end::{BackEnd, Connection};
use crate::event_log::{self, LogPriority};
use crate::failure::Failure;
use crate::request::Call;

/// Maximum number of sends of one request, including those that did not run.
const MAX_SENDS: u32 = 4;
/// Reason: the connection to a back end was lost.
pub const CONNECTION_LOST: &str = "connection_lost";
/// Reason: the connection was lost, and the back end's process has exited.
pub const BACK_END_ENDED: &str = "back_end_ended";
/// Reason: no connection to the back end could be opened.
pub const NOT_CONNECTED: &str = "not_connected";
/// Reason: this gateway's links are cut, and no other gateway reached the back end for it.
pub const NO_PATH: &str = "no_path";
/// Reason: the request was quarantined, so it must not run any further.
pub const QUARANTINED: &str = "quarantined";
/// Reason: nothing was sent, because the back end had requested a pause in the meantime.
pub const PAUSED: &str = "paused";
/// Minimum `Retry-After` when back ends reject requests.
const MIN_REJECTION_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What to do after an attempt.
pub enum NextStep {
    /// Send the request to another back end.
    Retry,
    /// Stop and return this failure to the caller.
    GiveUp(Failure),
}

/// State of the attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Back ends that the request was sent to and that are not tried again.
    pub tried: Vec<BackEndId>,
    /// Connections on which the request was written, in whole or in part.
    used_connections: Vec<u64>,
    executions: u32,
    sends: u32,
    has_reserved_retry: bool,
}

impl Attempts {
    /// Records that the request is about to be sent to `back_end`.
    pub fn record_send(&mut self, call: &Call, back_end: &BackEndId) {
        self.sends += 1;
        self.tried.push(back_end.clone());
        call.attempts.store(self.sends, Ordering::Relaxed);
    }

    /// Records that the request is written on this connection.
    pub fn record_connection(&mut self, connection: &Connection) {
        self.used_connections.push(connection.number());
    }

    /// Whether the request may be written on this connection. All attempts of a request have the same
    /// identifier, so a surplus response to an earlier attempt could be taken for that to the next one.
    pub fn may_use(&self, connection: &Connection) -> bool {
        !self.used_connections.contains(&connection.number())
    }

    /// Decides after an attempt that sent nothing. Another attempt does not use the retry budget.
    pub fn after_not_sent(&mut self, call: &Call, reason: &'static str) -> NextStep {
        if reason == PAUSED {
            self.tried.pop();
        }
        if self.sends < MAX_SENDS {
            return NextStep::Retry;
        }
        admission::report_unreachable(call);
        let reason = if reason == NO_PATH {
            NO_PATH
        } else {
            NOT_CONNECTED
        };
        NextStep::GiveUp(call.refuse(reason, MIN_REJECTION_RETRY_AFTER))
    }

    /// Decides after a back end stated that it did not run the request. A back end that requested a
    /// pause may be tried again afterwards.
    pub fn after_not_run(&mut self, call: &Call, pause: RequestedPause) -> NextStep {
        if matches!(pause, RequestedPause::For(_)) {
            self.tried.pop();
        }
        if let Some(refusal) = admission::refusal_by_pauses(call, &self.tried) {
            return NextStep::GiveUp(refusal);
        }
        if self.sends < MAX_SENDS && self.take_retry_permit(call) {
            return NextStep::Retry;
        }
        let pause = admission::shortest_requested_pause(call).unwrap_or_default();
        NextStep::GiveUp(call.refuse("turned_away", MIN_REJECTION_RETRY_AFTER.max(pause)))
    }

    /// Records that a back end rejected the request because it was full. A request that queues for
    /// full engines may be sent there again, once there is room.
    pub fn record_full(&mut self, call: &Call, back_end: &BackEnd) {
        if back_end.slots > 0 && admission::queues_for_engines(call) {
            let now = call.shared.now();
            let queues = &call.shared.engine_queues;
            queues.record_full(now, back_end.incarnation_hash);
            self.tried.pop();
        }
    }

    /// Decides after an attempt that may have run without a usable response.
    pub fn after_may_have_run(&mut self, call: &Call, reason: &'static str) -> NextStep {
        if reason == CONNECTION_LOST {
            // The back end may be healthy; its recorded failure ranks it last for a while.
            self.tried.pop();
        }
        if self.take_retry_after_failure(call) {
            return NextStep::Retry;
        }
        NextStep::GiveUp(Failure::OutcomeUnknown { reason })
    }

    /// Decides after an execution that failed, or may have failed. Returns whether another back end
    /// may run the request.
    pub fn take_retry_after_failure(&mut self, call: &Call) -> bool {
        self.executions += 1;
        std::mem::take(&mut self.has_reserved_retry) || self.take_retry_if_allowed(call)
    }

    /// Decides whether to abandon a silent back end for another one. If so, a retry permit is taken
    /// out of the budget at once and used by the next attempt.
    pub fn reserve_failover(&mut self, call: &Call) -> bool {
        self.executions += 1;
        let is_reserved =
            admission::has_alternative(call, &self.tried) && self.take_retry_if_allowed(call);
        self.executions -= 1;
        self.has_reserved_retry = is_reserved;
        is_reserved
    }

    fn take_retry_if_allowed(&self, call: &Call) -> bool {
        // A stream goes on although the process is stopping: its caller has a part of it.
        let has_time =
            call.route.kind.is_stream() || call.time_left_to_send() != Some(Duration::ZERO);
        let is_allowed = has_time
            && call.quarantine_left().is_none()
            && call.route.kind.may_retry()
            && self.executions < call.route.max_attempts
            && self.sends < MAX_SENDS;
        is_allowed && self.take_retry_permit(call)
    }

    /// Takes a retry permit out of the budget and logs the result.
    fn take_retry_permit(&self, call: &Call) -> bool {
        let permit = call.shared.take_retry_permit(&call.service);
        let fields = format_args!(
            "request={} service={} granted={} budget_left={:.1} gateways={} sends={} ran={}",
            call.metadata.id,
            call.service,
            permit.granted,
            permit.retries_left,
            permit.gateways,
            self.sends,
            self.executions,
        );
        event_log::write(LogPriority::Decision, "retry", fields);
        permit.granted
    }
}
