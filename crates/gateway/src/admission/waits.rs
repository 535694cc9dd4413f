//! Computes how long a request may wait for what is missing.
//!
//! The inputs are what is missing and when it is expected, and the request's objective, its
//! deadline and the timeout that its caller probably applies. The output is the time until which a
//! wait is worthwhile, if it is at all.

use std::time::Duration;

use gorsebank_fleet::CopyTier;
use tokio::time::Instant;

use super::full_engines::FullEngines;
use crate::request::Call;

/// Time from the end of a load until the first event.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(300);
/// Fraction of the objective within which a request counts as served in time.
const IN_TIME_FRACTION: f64 = 0.95;
/// Maximum fraction of the objective that a response takes, for short objectives.
const RESPONSE_FRACTION: f64 = 0.33;
/// Fraction of the objective within which a refusal costs the caller little.
const EARLY_REFUSAL_FRACTION: f64 = 0.22;
/// Fraction of the objective that a wait for an adapter may take.
const ADAPTER_WAIT_FRACTION: f64 = 0.9;
/// Minimum time without a response after which callers give up. Callers apply the longest of this
/// time, `CALLER_TIMEOUT_OBJECTIVES` objectives and `CALLER_TIMEOUT_GAPS` gap objectives.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of objectives without a response after which callers give up.
const CALLER_TIMEOUT_OBJECTIVES: u32 = 4;
/// Number of gap objectives without a response after which callers give up.
const CALLER_TIMEOUT_GAPS: u32 = 8;
/// Fraction of the caller's timeout that a request may wait.
const CALLER_TIMEOUT_FRACTION: f64 = 0.85;
/// Multiple of the expected time in a queue that must be left for a wait.
const QUEUE_MARGIN: u32 = 2;
/// Fraction of the request's time limit that a late request waits for a load that nobody has
/// ordered. After that, another gateway may still have time to serve the caller.
const UNORDERED_LOAD_FRACTION: f64 = 0.45;

/// What is missing to send a request.
pub(super) enum Missing {
    /// No back end of the service can take the request.
    BackEnd,
    /// No back end has the software version that the stream must keep.
    SoftwareVersion,
    /// All back ends that could take the request have rate limits and no capacity. Some may have
    /// capacity after this time.
    Capacity(Duration),
    /// All back ends that could take the request have requested a pause, which ends after this
    /// time.
    Pause(Duration),
    /// All engines that hold the model have as many requests as they can begin in time.
    FullEngines(FullEngines),
    /// The adapter is missing on the back ends that have loaded the model.
    Adapter,
    /// The model is not loaded; a load is expected to end at the given time.
    Model(ExpectedLoad),
}

/// When a load is expected to end.
#[derive(Clone, Copy)]
pub(super) struct ExpectedLoad {
    /// Time until the load ends.
    pub time_left: Duration,
    /// Whether the load has been ordered.
    pub is_ordered: bool,
    /// The copy that the weights are loaded from; `None` while no back end is known.
    pub copy: Option<CopyTier>,
}

/// Until when it is worthwhile to wait for what is missing; `None` if it is not.
pub(super) fn wait_deadline(call: &Call, missing: &Missing) -> Option<Instant> {
    let now = Instant::now();
    let objective = call.route.objective;
    let give_up = give_up_time(call);
    let until = match missing {
        Missing::Capacity(wait) | Missing::Pause(wait) if *wait > max_capacity_wait(call) => {
            return None;
        }
        Missing::SoftwareVersion => return None,
        Missing::Capacity(wait) | Missing::Pause(wait) => now + *wait,
        Missing::FullEngines(full) => queue_deadline(call, now, full.expected)?,
        _ if call.is_returning && !matches!(missing, Missing::Model(_)) => give_up,
        Missing::BackEnd => call.arrived() + objective.mul_f64(EARLY_REFUSAL_FRACTION),
        Missing::Adapter => call.arrived() + objective.mul_f64(ADAPTER_WAIT_FRACTION),
        Missing::Model(load) => load_wait_deadline(call, now, *load, give_up)?,
    };
    let until = match call.time_left_to_send() {
        Some(left) => until.min(now + left),
        None => until,
    };
    (now < until).then_some(until)
}

/// When the caller or this gateway gives the request up.
pub(super) fn give_up_time(call: &Call) -> Instant {
    let give_up = call.arrived() + caller_timeout(call).mul_f64(CALLER_TIMEOUT_FRACTION);
    give_up.min(call.deadline())
}

/// Until when to wait for full engines, whose order is partly by chance: a request that can be
/// refused early waits only where its response will most likely be in time.
fn queue_deadline(call: &Call, now: Instant, expected: Duration) -> Option<Instant> {
    let max_wait = max_capacity_wait(call);
    let early_refusal_end = call.arrived() + call.route.objective.mul_f64(EARLY_REFUSAL_FRACTION);
    let needed = if now <= early_refusal_end && !call.is_returning {
        expected * QUEUE_MARGIN
    } else {
        expected
    };
    (needed <= max_wait).then_some(now + max_wait)
}

/// Time within which a response must begin to be in time; `None` if that has passed.
pub(super) fn begin_within(call: &Call) -> Option<Duration> {
    let objective = call.route.objective;
    let until = call.arrived() + objective.mul_f64(IN_TIME_FRACTION);
    until.checked_duration_since(Instant::now() + response_time(objective))
}

/// Time from sending a request until its first event.
fn response_time(objective: Duration) -> Duration {
    FIRST_EVENT_DELAY.min(objective.mul_f64(RESPONSE_FRACTION))
}

/// How long a request may wait for capacity at a back end, or for the end of a requested pause: as
/// long as its response comes in time, or, once an early refusal has no benefit, until the request
/// is given up.
pub(super) fn max_capacity_wait(call: &Call) -> Duration {
    let now = Instant::now();
    let objective = call.route.objective;
    let early_refusal_end = call.arrived() + objective.mul_f64(EARLY_REFUSAL_FRACTION);
    let until = if now <= early_refusal_end && !call.is_returning {
        call.arrived() + objective.mul_f64(IN_TIME_FRACTION)
    } else {
        give_up_time(call)
    };
    let wait = until.saturating_duration_since(now + response_time(objective));
    call.time_left_to_send().map_or(wait, |left| wait.min(left))
}

/// Until when to wait for a load. A load that ends in time is waited for. A load that is not
/// ordered yet gets a short time to be ordered. Once an early refusal has no benefit, a late
/// response is better than none.
fn load_wait_deadline(
    call: &Call,
    now: Instant,
    load: ExpectedLoad,
    give_up: Instant,
) -> Option<Instant> {
    let objective = call.route.objective;
    let first_event = now + load.time_left + FIRST_EVENT_DELAY;
    let in_time_limit = call.arrived() + objective.mul_f64(IN_TIME_FRACTION);
    if first_event <= in_time_limit {
        return Some(in_time_limit);
    }
    let early_refusal_end = call.arrived() + objective.mul_f64(EARLY_REFUSAL_FRACTION);
    if !load.is_ordered && now < early_refusal_end && load.time_left < objective {
        return Some(early_refusal_end);
    }
    let is_refusal_useful = now <= early_refusal_end && !call.is_returning;
    let until = if load.is_ordered {
        give_up
    } else {
        give_up.min(call.arrived() + call.time_limit().mul_f64(UNORDERED_LOAD_FRACTION))
    };
    (!is_refusal_useful && first_event <= give_up).then_some(until)
}

/// How long the caller waits for the first event.
fn caller_timeout(call: &Call) -> Duration {
    let gap_timeout = call.route.gap_objective.unwrap_or_default() * CALLER_TIMEOUT_GAPS;
    MIN_CALLER_TIMEOUT
        .max(call.route.objective * CALLER_TIMEOUT_OBJECTIVES)
        .max(gap_timeout)
}
