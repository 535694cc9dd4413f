//! How long a request may wait for what is missing.
//!
//! In: what is missing, and when it is expected; the request's objective, its deadline and its
//! caller's patience. Out: until when a wait is worth it, if it is at all.

use std::time::Duration;

use gorsebank_fleet::CopyTier;
use tokio::time::Instant;

use crate::request::Call;

/// Time from the end of a load until the first event.
const FIRST_EVENT: Duration = Duration::from_millis(300);
/// Part of the objective within which a served request is in time.
const IN_TIME_PART: f64 = 0.95;
/// Part of the objective that an answer takes at most where objectives are short.
const ANSWER_PART: f64 = 0.33;
/// Part of the objective within which a refusal costs the caller little.
const EARLY_PART: f64 = 0.22;
/// Part of the objective that a wait for an adapter may take.
const ADAPTER_WAIT_PART: f64 = 0.9;
/// Callers give a silent answer up after the longest of this time ...
const LEAST_CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// ... so many objectives ...
const PATIENCE_OBJECTIVES: u32 = 4;
/// ... and so many pause objectives.
const PATIENCE_PAUSES: u32 = 8;
/// Part of a caller's patience that is used.
const PATIENCE_PART: f64 = 0.85;
/// Part of the time that a request has for which it waits, late already, for a
/// load that nobody has ordered: callers may still be served elsewhere then.
const UNORDERED_PART: f64 = 0.45;

/// What is missing for sending a request.
pub(super) enum Missing {
    /// Any back end of the service that can take it.
    BackEnd,
    /// Room at the back ends that could: all of them state limits. There may be some after
    /// this time.
    Room(Duration),
    /// A back end that takes requests: all that could take this one want none for this time.
    Pause(Duration),
    /// The adapter, where the model is loaded.
    Adapter,
    /// The model; a load is expected to end in this time.
    Model(ExpectedLoad),
}

/// When a load is expected to end.
#[derive(Clone, Copy)]
pub(super) struct ExpectedLoad {
    /// Time until then.
    pub time: Duration,
    /// Whether it was ordered.
    pub ordered: bool,
    /// Where its weights come from.
    pub copy: CopyTier,
}

/// Until when a wait for what is missing is worth it; none if it is not.
pub(super) fn worth_waiting(call: &Call, missing: &Missing) -> Option<Instant> {
    let now = Instant::now();
    let objective = call.route.objective;
    let give_up = time_to_give_up(call);
    let until = match missing {
        Missing::Room(wait) | Missing::Pause(wait) if *wait > longest_wait_for_room(call) => {
            return None;
        }
        Missing::Room(wait) | Missing::Pause(wait) => now + *wait,
        _ if call.returning && !matches!(missing, Missing::Model(_)) => give_up,
        Missing::BackEnd => call.arrived() + objective.mul_f64(EARLY_PART),
        Missing::Adapter => call.arrived() + objective.mul_f64(ADAPTER_WAIT_PART),
        Missing::Model(load) => wait_for_load(call, now, *load, give_up)?,
    };
    let until = match call.time_to_begin() {
        Some(left) => until.min(now + left),
        None => until,
    };
    (now < until).then_some(until)
}

/// When the caller, or this gateway, gives the request up.
fn time_to_give_up(call: &Call) -> Instant {
    let give_up = call.arrived() + caller_patience(call).mul_f64(PATIENCE_PART);
    give_up.min(call.deadline())
}

/// How long a request may wait for room at a back end, or for the end of a pause: as long as its
/// answer comes in time, or, once a refusal would gain nothing, at all.
pub(super) fn longest_wait_for_room(call: &Call) -> Duration {
    let now = Instant::now();
    let objective = call.route.objective;
    let answer_time = FIRST_EVENT.min(objective.mul_f64(ANSWER_PART));
    let early = call.arrived() + objective.mul_f64(EARLY_PART);
    let until = if now <= early && !call.returning {
        call.arrived() + objective.mul_f64(IN_TIME_PART)
    } else {
        time_to_give_up(call)
    };
    let wait = until.saturating_duration_since(now + answer_time);
    call.time_to_begin().map_or(wait, |left| wait.min(left))
}

/// A load that ends in time is waited for. One that is not yet ordered gets a
/// moment; and once a refusal would gain nothing, a late answer is better.
fn wait_for_load(
    call: &Call,
    now: Instant,
    load: ExpectedLoad,
    give_up: Instant,
) -> Option<Instant> {
    let objective = call.route.objective;
    let ready = now + load.time + FIRST_EVENT;
    let in_time = call.arrived() + objective.mul_f64(IN_TIME_PART);
    if ready <= in_time {
        return Some(in_time);
    }
    let early = call.arrived() + objective.mul_f64(EARLY_PART);
    if !load.ordered && now < early && load.time < objective {
        return Some(early);
    }
    let refusal_gains = now <= early && !call.returning;
    let until = if load.ordered {
        give_up
    } else {
        give_up.min(call.arrived() + call.held().mul_f64(UNORDERED_PART))
    };
    (!refusal_gains && ready <= give_up).then_some(until)
}

/// How long the caller waits for the first event.
fn caller_patience(call: &Call) -> Duration {
    let pauses = call.route.pause_objective.unwrap_or_default() * PATIENCE_PAUSES;
    LEAST_CALLER_PATIENCE
        .max(call.route.objective * PATIENCE_OBJECTIVES)
        .max(pauses)
}
