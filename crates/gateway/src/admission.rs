//! Picks the back end of the next attempt, waits for one, or refuses.
//!
//! A request waits for what is expected within its objective: an adapter on its
//! way, or a load that ends in time. Otherwise it is refused early and told when
//! the model will be there. A caller that has come back is not sent away again
//! as long as a late answer is possible.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::CopyTier;
use gorsebank_world::{AdapterId, BackEndId, ModelId};
use tokio::time::{Instant, sleep, timeout_at};

use crate::back_end::BackEnd;
use crate::back_end_limits::Reservation;
use crate::candidates::{Chosen, any_without_limit, choose, time_to_room};
use crate::failure::Failure;
use crate::lines::{self, Rank};
use crate::request::Call;

/// Time from a wish until a load is ordered, until one is seen to be.
const ORDER_DELAY: Duration = Duration::from_millis(500);
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
/// Least pause that a refused caller is asked for.
const LEAST_PAUSE: Duration = Duration::from_millis(250);
/// A caller that waits for a load is asked to come back this much after it.
const LOAD_SLACK: Duration = Duration::from_millis(600);

/// Time of a load of a model that the configuration does not list.
const UNKNOWN_LOAD: Duration = Duration::from_secs(2);

/// What is missing for sending a request.
enum Missing {
    /// Any back end of the service that can take it.
    BackEnd,
    /// Room at the back ends that could: all of them state limits. There may be some after
    /// this time.
    Room(Duration),
    /// The adapter, where the model is loaded.
    Adapter,
    /// The model; a load is expected to end in this time.
    Model(ExpectedLoad),
}

/// When a load is expected to end.
#[derive(Clone, Copy)]
struct ExpectedLoad {
    time: Duration,
    ordered: bool,
    copy: CopyTier,
}

/// A back end for the next attempt; none of `tried`.
pub async fn admit(call: &Call, tried: &[BackEndId]) -> Result<Arc<BackEnd>, Failure> {
    let mut changes = call.shared.subscribe();
    let began = Instant::now();
    let mut waiting = None;
    loop {
        changes.mark_unchanged();
        if let Some(left) = call.quarantined_for() {
            return Err(refuse_quarantined(call, left));
        }
        let missing = match pick(call, tried) {
            Ok(chosen) => {
                if !may_send(call, &chosen).await {
                    continue;
                }
                call.shared.metrics.queued(began.elapsed());
                return Ok(chosen.back_end);
            }
            Err(missing) => missing,
        };
        wish(call, &missing);
        let until = worth_waiting(call, &missing).ok_or_else(|| refuse(call, &missing))?;
        if waiting.is_none() {
            log_wait(call, &missing, until);
            waiting = Waiting::begin(call);
        }
        // When time is up, the next turn decides by what is known then.
        let _ = timeout_at(until, changes.changed()).await;
    }
}

/// Waits until the chosen back end takes the request, if it states a limit. False if it has no
/// room in time: the next turn looks again, and finds others, or when there is room.
async fn may_send(call: &Call, chosen: &Chosen) -> bool {
    let Some(rate) = chosen.rate else {
        return true;
    };
    let most = if chosen.has_alternative {
        Duration::ZERO
    } else {
        longest_wait_for_room(call)
    };
    match call.shared.reserve(&chosen.back_end, rate, most).await {
        Reservation::In(wait) => {
            sleep(wait).await;
            true
        }
        Reservation::NoRoom => false,
    }
}

/// Whether a back end that was not tried could take the request now. One that states a limit is
/// no reason to give another one up.
pub fn has_alternative(call: &Call, tried: &[BackEndId]) -> bool {
    let now = call.shared.now();
    let back_ends = eligible(call, now, tried);
    back_ends.is_ok_and(|back_ends| any_without_limit(call, &back_ends))
}

/// Until when a wait for what is missing is worth it; none if it is not.
fn worth_waiting(call: &Call, missing: &Missing) -> Option<Instant> {
    let now = Instant::now();
    let objective = call.route.objective;
    let give_up = time_to_give_up(call);
    let until = match missing {
        Missing::Room(wait) if *wait > longest_wait_for_room(call) => return None,
        Missing::Room(wait) => now + *wait,
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

/// How long a request may wait for room at a back end that states a limit: as long as its answer
/// comes in time, or, once a refusal would gain nothing, at all.
fn longest_wait_for_room(call: &Call) -> Duration {
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

/// Tells the placement holder what is missing.
fn wish(call: &Call, missing: &Missing) {
    match missing {
        Missing::BackEnd => {}
        Missing::Adapter => note_wish(call, call.ticket.adapter.as_ref()),
        Missing::Model(_) | Missing::Room(_) => note_wish(call, None),
    }
}

fn note_wish(call: &Call, adapter: Option<&AdapterId>) {
    let Some(model) = &call.ticket.model else {
        return;
    };
    let now = call.shared.now();
    let mut demand = call.shared.demand.lock();
    if demand.wish(now, &call.service, model, adapter) {
        call.shared.urgent_demand.notify_one();
    }
}

fn refuse(call: &Call, missing: &Missing) -> Failure {
    let (reason, pause) = match missing {
        Missing::BackEnd => ("no_back_end", LEAST_PAUSE),
        Missing::Room(wait) => ("back_end_limit", LEAST_PAUSE.max(*wait)),
        Missing::Adapter => ("no_adapter", LEAST_PAUSE),
        Missing::Model(load) => ("no_model", load.time + LOAD_SLACK),
    };
    log_refusal(call, missing, reason, pause);
    call.refuse(reason, pause)
}

/// Nobody can serve it: its caller is told at once, and for how long that is certain.
fn refuse_quarantined(call: &Call, left: Duration) -> Failure {
    let fields = format_args!(
        "request={} reason=quarantined fingerprint={} waited_ms={} retry_after_ms={}",
        call.ticket.id,
        call.fingerprint,
        call.age().as_millis(),
        left.as_millis(),
    );
    lines::write(Rank::Decision, "refused", fields);
    call.refuse("quarantined", left)
}

fn log_wait(call: &Call, missing: &Missing, until: Instant) {
    let load = load_fields(missing);
    let what = match missing {
        Missing::Model(_) => "model",
        Missing::Adapter => "adapter",
        Missing::BackEnd => "back_end",
        Missing::Room(_) => "room",
    };
    let fields = format_args!(
        "request={} missing={what} {load} longest_ms={} objective_ms={} returning={} configuration={}",
        call.ticket.id,
        until.saturating_duration_since(Instant::now()).as_millis(),
        call.route.objective.as_millis(),
        call.returning,
        call.configuration.version,
    );
    lines::write(Rank::Decision, "waiting", fields);
}

/// For lines: when a load is expected to end, whether it is ordered, and the nearest copy.
fn load_fields(missing: &Missing) -> String {
    match missing {
        Missing::Model(load) => format!(
            "expected_ms={} load_ordered={} nearest_copy={:?}",
            load.time.as_millis(),
            load.ordered,
            load.copy
        ),
        Missing::Room(wait) => format!("expected_ms={} load_ordered=false", wait.as_millis()),
        Missing::Adapter | Missing::BackEnd => "expected_ms=0 load_ordered=false".to_owned(),
    }
}

fn log_refusal(call: &Call, missing: &Missing, reason: &str, pause: Duration) {
    let load = load_fields(missing);
    let fields = format_args!(
        "request={} reason={reason} {load} waited_ms={} objective_ms={} returning={} retry_after_ms={} configuration={}",
        call.ticket.id,
        call.age().as_millis(),
        call.route.objective.as_millis(),
        call.returning,
        pause.as_millis(),
        call.configuration.version,
    );
    lines::write(Rank::Decision, "refused", fields);
}

/// Counts as waiting for the model until it is dropped.
struct Waiting<'a> {
    call: &'a Call,
    model: &'a ModelId,
}

impl<'a> Waiting<'a> {
    fn begin(call: &'a Call) -> Option<Self> {
        let model = call.ticket.model.as_ref()?;
        let mut demand = call.shared.demand.lock();
        demand.begin_waiting(&call.service, model, call.priority());
        Some(Waiting { call, model })
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut demand = self.call.shared.demand.lock();
        demand.end_waiting(&self.call.service, self.model, self.call.priority());
    }
}

/// The best back end now.
fn pick(call: &Call, tried: &[BackEndId]) -> Result<Chosen, Missing> {
    let now = call.shared.now();
    let back_ends = eligible(call, now, tried)?;
    let chosen = choose(call, now, &back_ends).ok_or_else(|| no_room(call, now, &back_ends))?;
    if let Some(model) = &call.ticket.model {
        let adapter = call.ticket.adapter.as_ref();
        let mut demand = call.shared.demand.lock();
        demand.fulfilled(&call.service, model, adapter);
    }
    Ok(chosen)
}

/// All back ends that could take the request state limits and have no room. An adapter is soon
/// brought to one that holds the model and has room; a model takes longer than a time at one of
/// these mostly does.
fn no_room(call: &Call, now: Timestamp, back_ends: &[Arc<BackEnd>]) -> Missing {
    let adapter = call.ticket.adapter.as_ref();
    let (Some(model), Some(adapter)) = (needed_model(call), adapter) else {
        return Missing::Room(time_to_room(call, now, back_ends));
    };
    let places = call
        .shared
        .directory(|directory| directory.places(now, &call.service, model, Some(adapter)));
    if any_without_limit(call, &places.without_adapter) {
        Missing::Adapter
    } else {
        Missing::Room(time_to_room(call, now, back_ends))
    }
}

/// Back ends that could take the request now and were not tried; never empty.
/// Those that do not answer are among them only if there are no others.
fn eligible(
    call: &Call,
    now: Timestamp,
    tried: &[BackEndId],
) -> Result<Vec<Arc<BackEnd>>, Missing> {
    let service = &call.service;
    let Some(model) = needed_model(call) else {
        let members = call
            .shared
            .directory(|directory| directory.members(now, service));
        return answering(now, members, tried).ok_or(Missing::BackEnd);
    };
    let adapter = call.ticket.adapter.as_ref();
    let places = call
        .shared
        .directory(|directory| directory.places(now, service, model, adapter));
    if let Some(back_ends) = answering(now, places.ready, tried) {
        return Ok(back_ends);
    }
    if !places.without_adapter.is_empty() {
        return Err(Missing::Adapter);
    }
    let load = match places.loading_until {
        Some(until) => ExpectedLoad {
            time: Duration::from_millis(until.since(now)),
            ordered: true,
            copy: places.nearest_copy,
        },
        None => ExpectedLoad {
            time: load_time(call, model, places.nearest_copy) + ORDER_DELAY,
            ordered: false,
            copy: places.nearest_copy,
        },
    };
    Err(Missing::Model(load))
}

fn answering(
    now: Timestamp,
    back_ends: Vec<Arc<BackEnd>>,
    tried: &[BackEndId],
) -> Option<Vec<Arc<BackEnd>>> {
    let untried: Vec<Arc<BackEnd>> = back_ends
        .into_iter()
        .filter(|back_end| !tried.contains(&back_end.id))
        .collect();
    let answering: Vec<Arc<BackEnd>> = untried
        .iter()
        .filter(|back_end| !back_end.health().is_paused(now))
        .cloned()
        .collect();
    let chosen = if answering.is_empty() {
        untried
    } else {
        answering
    };
    (!chosen.is_empty()).then_some(chosen)
}

/// The model that a back end must hold, if the service's back ends are engines.
fn needed_model(call: &Call) -> Option<&ModelId> {
    let service = call.configuration.service(&call.service)?;
    service.engine.as_ref()?;
    call.ticket.model.as_ref()
}

/// Time of a load of the model from there.
pub fn load_time(call: &Call, model: &ModelId, copy: CopyTier) -> Duration {
    let service = call.configuration.service(&call.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let spec = engine.and_then(|engine| engine.models.get(model));
    spec.map_or(UNKNOWN_LOAD, |spec| spec.load_from(copy))
}
