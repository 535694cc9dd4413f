//! Checks that gateways respect the statements that back ends make in their responses.

use std::collections::BTreeMap;
use std::time::Duration;

use super::guarantees::{Finding, Guarantee};
use super::history::{
    CallerRequest, DisturbanceKind, History, Outcome, RequestedPauses, ResponseDrain,
};

/// Pause that back ends request.
pub const REQUESTED_PAUSE: Duration = Duration::from_millis(1_500);
/// The requested pause as it is written in responses, in seconds.
pub const REQUESTED_PAUSE_SECONDS_TEXT: &str = "1.5";
/// A process sends a back end nothing new later than this after the process has forwarded a
/// response that announces the drain.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Requests that were in flight when a pause was requested arrive within this time.
const IN_FLIGHT_BOUND: Duration = Duration::from_millis(500);
/// Number of requests that are allowed in the remainder of a pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;

/// Checks a drain that was announced in responses. Faults of the table are no excuse, since the
/// process learned of the drain from a response.
pub fn check_response_drain(history: &History, drain: &ResponseDrain) -> Option<Finding> {
    let seal = format!("seal-{}-", drain.back_end);
    let reports_drain = |request: &&CallerRequest| {
        let is_own = |received_seal: &String| received_seal.starts_with(&seal);
        let is_from_back_end =
            matches!(&request.outcome, Outcome::Response { seal: Some(seal), .. } if is_own(seal));
        is_from_back_end && request.sent_at >= drain.announced_at
    };
    let mut informed_at: BTreeMap<usize, Duration> = BTreeMap::new();
    for request in history.requests.iter().filter(reports_drain) {
        let first = informed_at
            .entry(request.process)
            .or_insert(request.ended_at);
        *first = request.ended_at.min(*first);
    }
    let is_late = |request: &&CallerRequest| {
        let has_arrived = history.executions.get(&request.id);
        let has_arrived = has_arrived.is_some_and(|at| at.contains(&drain.back_end));
        let informed_at = informed_at.get(&request.process);
        let is_late =
            informed_at.is_some_and(|informed_at| request.sent_at > *informed_at + DRAIN_BOUND);
        let is_own_suspension = |kind| kind == DisturbanceKind::Suspended(request.process);
        has_arrived
            && is_late
            && !history.has_disturbance(drain.announced_at, request.ended_at, is_own_suspension)
    };
    let late = history.requests.iter().find(is_late)?;
    let details = format!("{drain:?}, processes informed at {informed_at:?}: {late:?}");
    Some(Finding {
        guarantee: Guarantee::DepartureKept,
        details,
    })
}

/// Checks requested pauses. A process that was suspended or cut off from the back end may not have
/// received the response.
pub fn check_requested_pauses(history: &History, pauses: &RequestedPauses) -> Option<Finding> {
    let count_in_pause = |(requested_at, process): &(Duration, usize)| {
        let within = |(at, by): &&(Duration, usize)| {
            by == process
                && *at > *requested_at + IN_FLIGHT_BOUND
                && *at < *requested_at + REQUESTED_PAUSE
        };
        pauses.arrivals.iter().filter(within).count()
    };
    let is_violated = |rejection: &&(Duration, usize)| {
        let (requested_at, process) = **rejection;
        let excuses = |kind| match kind {
            DisturbanceKind::Suspended(affected)
            | DisturbanceKind::Killed(affected)
            | DisturbanceKind::Stopped(affected) => affected == process,
            DisturbanceKind::BackEndCutOff | DisturbanceKind::BackEndExited => true,
            DisturbanceKind::Table => false,
        };
        count_in_pause(rejection) > MAX_REQUESTS_IN_PAUSE
            && !history.has_disturbance(requested_at, requested_at + REQUESTED_PAUSE, excuses)
    };
    let violated = pauses.rejections.iter().find(is_violated)?;
    let details = format!(
        "{} requested a pause of process {} at {:?} and received {} requests in the rest of it",
        pauses.back_end,
        violated.1,
        violated.0,
        count_in_pause(violated)
    );
    Some(Finding {
        guarantee: Guarantee::PauseKept,
        details,
    })
}
