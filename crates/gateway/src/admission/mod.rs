//! Picks the back end of the next attempt, waits for one, or refuses.
//!
//! A request waits for what is expected within its objective: an adapter on its
//! way, or a load that ends in time. Otherwise it is refused early and told when
//! the model will be there. A caller that has come back is not sent away again
//! as long as a late answer is possible.

mod refusal;
mod waits;

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
use crate::request::Call;
use refusal::{log_wait, refuse, refuse_quarantined};
use waits::{ExpectedLoad, Missing, longest_wait_for_room, worth_waiting};

/// Time from a wish until a load is ordered, until one is seen to be.
const ORDER_DELAY: Duration = Duration::from_millis(500);
/// Time of a load of a model that the configuration does not list.
const UNKNOWN_LOAD: Duration = Duration::from_secs(2);

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
        if call.shared.awaits_quarantine() {
            // A verdict from before the start may still apply to this request.
            let _ = changes.changed().await;
            continue;
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
    back_ends.is_ok_and(|back_ends| any_without_limit(call, now, &back_ends))
}

/// A refusal, if all back ends that were not tried want no requests for longer than the request
/// can wait: another attempt would be in vain.
pub fn refused_by_pauses(call: &Call, tried: &[BackEndId]) -> Option<Failure> {
    let missing = eligible(call, call.shared.now(), tried).err()?;
    let is_pause = matches!(missing, Missing::Pause(_));
    let is_in_vain = is_pause && worth_waiting(call, &missing).is_none();
    is_in_vain.then(|| refuse(call, &missing))
}

/// How long all back ends that could take the request want no requests; none if one takes them.
pub fn pause_of_all(call: &Call) -> Option<Duration> {
    match eligible(call, call.shared.now(), &[]) {
        Err(Missing::Pause(left)) => Some(left),
        _ => None,
    }
}

/// Tells the placement holder what is missing.
fn wish(call: &Call, missing: &Missing) {
    match missing {
        Missing::BackEnd => {}
        Missing::Adapter => note_wish(call, call.ticket.adapter.as_ref()),
        Missing::Model(_) | Missing::Room(_) | Missing::Pause(_) => note_wish(call, None),
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
    if any_without_limit(call, now, &places.without_adapter) {
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
        let untried = untried(members, tried).ok_or(Missing::BackEnd)?;
        return willing(call, now, untried);
    };
    let adapter = call.ticket.adapter.as_ref();
    let places = call
        .shared
        .directory(|directory| directory.places(now, service, model, adapter));
    if let Some(untried) = untried(places.ready, tried) {
        return willing(call, now, untried);
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

/// None if all were tried.
fn untried(mut back_ends: Vec<Arc<BackEnd>>, tried: &[BackEndId]) -> Option<Vec<Arc<BackEnd>>> {
    back_ends.retain(|back_end| !tried.contains(&back_end.id));
    (!back_ends.is_empty()).then_some(back_ends)
}

/// Those that want no pause; of these the ones that answer, if any does.
fn willing(
    call: &Call,
    now: Timestamp,
    back_ends: Vec<Arc<BackEnd>>,
) -> Result<Vec<Arc<BackEnd>>, Missing> {
    let willing = call.shared.without_paused(now, back_ends);
    let willing = willing.map_err(Missing::Pause)?;
    let answering: Vec<Arc<BackEnd>> = willing
        .iter()
        .filter(|back_end| !back_end.health().is_paused(now))
        .cloned()
        .collect();
    Ok(if answering.is_empty() {
        willing
    } else {
        answering
    })
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
