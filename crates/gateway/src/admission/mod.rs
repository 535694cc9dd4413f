//! Picks the back end of the next attempt, waits for one, or refuses the request.
//!
//! A request waits for what is expected within its objective: an adapter that is being loaded, or a
//! model load that ends in time. Otherwise it is refused early, with the expected time of the model
//! in `Retry-After`. A caller that retries is not refused again as long as a late response is
//! possible.

mod full_engines;
mod prefill;
mod refusal;
mod waits;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::CopyTier;
use gorsebank_world::{AdapterId, BackEndId, ModelId, SoftwareVersion};
use tokio::time::{Instant, sleep, timeout_at};

use crate::back_end::BackEnd;
use crate::back_end_limits::Reservation;
use crate::candidates::{ChosenBackEnd, choose_back_end, has_unlimited, time_to_capacity};
use crate::directory::{Directory, ModelAvailability};
use crate::failure::Failure;
use crate::request::{Call, RequiredVersion};
use full_engines::{FullEngines, QueuePlace, below_bound, bounded_model, has_room};
use refusal::{log_wait, refuse, refuse_quarantined};
use waits::{ExpectedLoad, Missing, max_capacity_wait, wait_deadline};

/// Time from an unmet demand until the load is ordered and the order is visible in the rows.
const LOAD_ORDER_DELAY: Duration = Duration::from_millis(500);
/// Assumed load time of a model that the configuration does not list.
const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(2);

/// How often a request that waits for a full engine looks for room: more often than the counts of
/// other gateways change.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How often a request that waits for a brittle back end looks for room.
const BRITTLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a back end for the next attempt that is not in `tried`, waiting for one if worthwhile.
pub async fn admit(call: &Call, tried: &[BackEndId]) -> Result<Arc<BackEnd>, Failure> {
    let mut changes = call.shared.subscribe();
    let started = Instant::now();
    let mut waiting_guard = None;
    let mut place: Option<QueuePlace<'_>> = None;
    let mut is_first_look = true;
    loop {
        changes.mark_unchanged();
        if let Some(left) = call.quarantine_left() {
            return Err(refuse_quarantined(call, left));
        }
        if call.shared.awaits_quarantine() {
            // A quarantine entry from before this process started may still apply to the request.
            let _ = changes.changed().await;
            continue;
        }
        let picked = pick_back_end(call, tried, place.as_ref(), is_first_look);
        is_first_look = false;
        let missing = match picked {
            Ok(chosen) => {
                if !wait_for_capacity(call, &chosen).await {
                    continue;
                }
                if let Some(mut place) = place.take() {
                    place.record_sent();
                }
                let back_end = prefill::wait_for_send_time(call, chosen, tried).await?;
                call.shared.metrics.record_queue_time(started.elapsed());
                return Ok(back_end);
            }
            Err(missing) => missing,
        };
        report_unmet_demand(call, &missing);
        let until = wait_deadline(call, &missing).ok_or_else(|| refuse(call, &missing))?;
        if waiting_guard.is_none() {
            log_wait(call, &missing, until);
            waiting_guard = WaitingGuard::begin(call);
        }
        let mut check_at = until;
        if let Missing::FullEngines(full) = &missing {
            place = place.or_else(|| QueuePlace::join(call, full));
            check_at = until.min(Instant::now() + ROOM_CHECK_INTERVAL);
        }
        // After a timeout, the next iteration decides by the state at that time.
        let _ = timeout_at(check_at, changes.changed()).await;
    }
}

/// Waits until the chosen back end takes the request, if it has a rate limit. Returns false if it
/// has no capacity in time; the next iteration then chooses again, among other back ends or once
/// there is capacity.
async fn wait_for_capacity(call: &Call, chosen: &ChosenBackEnd) -> bool {
    let Some(rate) = chosen.rate else {
        return true;
    };
    let max_wait = if chosen.has_alternative {
        Duration::ZERO
    } else {
        max_capacity_wait(call)
    };
    match call
        .shared
        .reserve_send_time(&chosen.back_end, rate, max_wait)
        .await
    {
        Reservation::In(wait) => {
            sleep(wait).await;
            true
        }
        Reservation::NoCapacity => false,
    }
}

/// Whether the request waits for another place when an engine rejects it as full.
pub fn queues_for_engines(call: &Call) -> bool {
    bounded_model(call).is_some()
}

/// Whether an untried back end could take the request now. A back end with a rate limit does not
/// count, because it is no reason to abandon another one.
pub fn has_alternative(call: &Call, tried: &[BackEndId]) -> bool {
    let now = call.shared.now();
    let back_ends = eligible(call, now, tried);
    back_ends.is_ok_and(|back_ends| has_unlimited(call, now, &back_ends))
}

/// A refusal if all untried back ends have requested pauses that last longer than the request can
/// wait, so that another attempt would be useless.
pub fn refusal_by_pauses(call: &Call, tried: &[BackEndId]) -> Option<Failure> {
    let missing = eligible(call, call.shared.now(), tried).err()?;
    let is_pause = matches!(missing, Missing::Pause(_));
    let is_useless = is_pause && wait_deadline(call, &missing).is_none();
    is_useless.then(|| refuse(call, &missing))
}

/// Remaining pause if all back ends that could take the request have requested one; `None`
/// otherwise.
pub fn shortest_requested_pause(call: &Call) -> Option<Duration> {
    match eligible(call, call.shared.now(), &[]) {
        Err(Missing::Pause(left)) => Some(left),
        _ => None,
    }
}

/// Reports what is missing to the placement holder.
fn report_unmet_demand(call: &Call, missing: &Missing) {
    match missing {
        Missing::BackEnd | Missing::SoftwareVersion => {}
        Missing::Adapter => record_unmet_demand(call, call.metadata.adapter.as_ref()),
        Missing::Model(_) => match version_without_model(call) {
            Some((model, version)) => record_unmet_version(call, model, version),
            None => record_unmet_demand(call, None),
        },
        Missing::Capacity(_) | Missing::FullEngines(_) | Missing::Pause(_) => {
            record_unmet_demand(call, None)
        }
    }
}

fn record_unmet_version(call: &Call, model: &ModelId, version: &SoftwareVersion) {
    let now = call.shared.now();
    let mut demand = call.shared.demand.lock();
    if demand.record_unmet_version(now, &call.service, model, version) {
        call.shared.urgent_demand.notify_one();
    }
}

fn record_unmet_demand(call: &Call, adapter: Option<&AdapterId>) {
    let Some(model) = &call.metadata.model else {
        return;
    };
    let now = call.shared.now();
    let mut demand = call.shared.demand.lock();
    if demand.record_unmet(now, &call.service, model, adapter) {
        call.shared.urgent_demand.notify_one();
    }
}

/// Counts the request as waiting for its model until dropped.
struct WaitingGuard<'a> {
    call: &'a Call,
    model: &'a ModelId,
}

impl<'a> WaitingGuard<'a> {
    fn begin(call: &'a Call) -> Option<Self> {
        let model = call.metadata.model.as_ref()?;
        let mut demand = call.shared.demand.lock();
        demand.begin_waiting(&call.service, model, call.priority());
        Some(WaitingGuard { call, model })
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut demand = self.call.shared.demand.lock();
        demand.end_waiting(&self.call.service, self.model, self.call.priority());
    }
}

/// Picks the best back end at present.
fn pick_back_end(
    call: &Call,
    tried: &[BackEndId],
    place: Option<&QueuePlace<'_>>,
    is_first_look: bool,
) -> Result<ChosenBackEnd, Missing> {
    let now = call.shared.now();
    let back_ends = eligible(call, now, tried)?;
    let back_ends = below_bound(call, now, back_ends, place, is_first_look)
        .map_err(|full| missing_room(call, now, full))?;
    let back_ends = prefer_resumable(call, back_ends);
    let chosen = choose_back_end(call, now, &back_ends)
        .ok_or_else(|| missing_capacity(call, now, &back_ends))?;
    if chosen.back_end.health().is_paused(now) {
        report_unreachable(call);
    } else if let Some(model) = &call.metadata.model {
        let adapter = call.metadata.adapter.as_ref();
        let mut demand = call.shared.demand.lock();
        demand.clear_unmet(&call.service, model, adapter);
    }
    Ok(chosen)
}

/// Reports to the placement holder that back ends which are thought to hold the request's model cannot be
/// reached. The holder finds out whether they still respond.
pub fn report_unreachable(call: &Call) {
    record_unmet_demand(call, None);
}

/// The back ends at which a stream can begin so that another one can continue it: those of versions
/// that several of them have, and that gateways which start later know of. All back ends, if there are
/// no such ones with a free slot, or if the request does not begin a stream that may continue.
fn prefer_resumable(call: &Call, back_ends: Vec<Arc<BackEnd>>) -> Vec<Arc<BackEnd>> {
    let begins_stream = call.route.kind.is_stream() && call.required_version().is_none();
    if !begins_stream || !call.route.kind.may_retry() {
        return back_ends;
    }
    let mut counts: BTreeMap<&SoftwareVersion, usize> = BTreeMap::new();
    for back_end in &back_ends {
        *counts.entry(&back_end.software_version).or_default() += 1;
    }
    if counts.len() < 2 {
        return back_ends;
    }
    let is_listed = |version: &SoftwareVersion| {
        let read = |directory: &Directory| {
            let versions = directory.software_versions();
            versions.is_listed(&call.service, version)
        };
        call.shared.directory(read)
    };
    counts.retain(|version, count| *count > 1 && is_listed(version));
    let is_resumable = |it: &&Arc<BackEnd>| counts.contains_key(&it.software_version);
    let resumable: Vec<Arc<BackEnd>> = back_ends.iter().filter(is_resumable).cloned().collect();
    let has_free_slot = |back_end: &Arc<BackEnd>| back_end.in_flight() < back_end.slots;
    if resumable.iter().any(has_free_slot) {
        resumable
    } else {
        back_ends
    }
}

/// What is missing when all eligible engines are full: the adapter, if another engine that holds the
/// model has room.
fn missing_room(call: &Call, now: Timestamp, full: FullEngines) -> Missing {
    let adapter = call.metadata.adapter.as_ref();
    let (Some(model), Some(adapter)) = (required_model(call), adapter) else {
        return Missing::FullEngines(full);
    };
    let availability = availability(call, now, model, Some(adapter));
    let engines = availability.without_adapter;
    if !engines.is_empty() && has_room(call, now, &engines) {
        Missing::Adapter
    } else {
        Missing::FullEngines(full)
    }
}

/// What is missing when every eligible back end has a rate limit and none has capacity. An adapter
/// is loaded quickly on another back end that holds the model and has capacity. Loading a model
/// mostly takes longer than a send time at one of the eligible back ends.
fn missing_capacity(call: &Call, now: Timestamp, back_ends: &[Arc<BackEnd>]) -> Missing {
    let adapter = call.metadata.adapter.as_ref();
    let (Some(model), Some(adapter)) = (required_model(call), adapter) else {
        return Missing::Capacity(time_to_capacity(call, now, back_ends));
    };
    let availability = availability(call, now, model, Some(adapter));
    if has_unlimited(call, now, &availability.without_adapter) {
        Missing::Adapter
    } else {
        Missing::Capacity(time_to_capacity(call, now, back_ends))
    }
}

/// Back ends that could take the request now and were not tried; never empty. Back ends that do not
/// respond are included only if there are no others.
fn eligible(
    call: &Call,
    now: Timestamp,
    tried: &[BackEndId],
) -> Result<Vec<Arc<BackEnd>>, Missing> {
    if !is_version_served(call, now) {
        return Err(Missing::SoftwareVersion);
    }
    let Some(model) = required_model(call) else {
        let untried = untried(active_back_ends(call, now), tried).ok_or(Missing::BackEnd)?;
        return available(call, now, untried);
    };
    let availability = availability(call, now, model, call.metadata.adapter.as_ref());
    if let Some(untried) = untried(availability.ready, tried) {
        return available(call, now, untried);
    }
    if !availability.without_adapter.is_empty() {
        return Err(Missing::Adapter);
    }
    let load = match availability.loading_until {
        Some(until) => ExpectedLoad {
            time_left: Duration::from_millis(until.since(now)),
            is_ordered: true,
            copy: availability.nearest_copy,
        },
        None => ExpectedLoad {
            time_left: shortest_load_time(call, model, availability.nearest_copy)
                + LOAD_ORDER_DELAY,
            is_ordered: false,
            copy: availability.nearest_copy,
        },
    };
    Err(Missing::Model(load))
}

/// Whether a back end has the software version that the stream must keep. While the service has no back
/// end at all, one may come back with that version.
fn is_version_served(call: &Call, now: Timestamp) -> bool {
    match call.required_version() {
        None => true,
        Some(RequiredVersion::Unknown) => false,
        Some(RequiredVersion::Exactly(_)) => {
            let service = &call.service;
            let is_served = !active_back_ends(call, now).is_empty();
            is_served && call.shared.are_rows_current()
                || call.shared.directory(|directory| {
                    directory.active_back_ends(now, service, None).is_empty()
                })
        }
    }
}

/// The request's model and the software version that its stream must keep, if engines of other versions
/// hold the model.
fn version_without_model(call: &Call) -> Option<(&ModelId, &SoftwareVersion)> {
    let (model, version) = (required_model(call)?, exact_version(call)?);
    let now = call.shared.now();
    let anywhere = call
        .shared
        .directory(|directory| directory.availability(now, &call.service, model, None, None));
    let mut holders = anywhere.ready.iter();
    let is_elsewhere = holders.any(|it| it.software_version != *version);
    is_elsewhere.then_some((model, version))
}

/// The only software version that may serve the request, if there is one.
fn exact_version(call: &Call) -> Option<&SoftwareVersion> {
    match call.required_version()? {
        RequiredVersion::Exactly(version) => Some(version),
        RequiredVersion::Unknown => None,
    }
}

fn active_back_ends(call: &Call, now: Timestamp) -> Vec<Arc<BackEnd>> {
    let version = exact_version(call);
    call.shared
        .directory(|directory| directory.active_back_ends(now, &call.service, version))
}

fn availability(
    call: &Call,
    now: Timestamp,
    model: &ModelId,
    adapter: Option<&AdapterId>,
) -> ModelAvailability {
    let (service, version) = (&call.service, exact_version(call));
    call.shared
        .directory(|directory| directory.availability(now, service, model, adapter, version))
}

/// Back ends that were not tried. `None` if all were.
fn untried(mut back_ends: Vec<Arc<BackEnd>>, tried: &[BackEndId]) -> Option<Vec<Arc<BackEnd>>> {
    back_ends.retain(|back_end| !tried.contains(&back_end.id));
    (!back_ends.is_empty()).then_some(back_ends)
}

/// Back ends that have not requested a pause, reduced to the responding ones if there are any.
fn available(
    call: &Call,
    now: Timestamp,
    back_ends: Vec<Arc<BackEnd>>,
) -> Result<Vec<Arc<BackEnd>>, Missing> {
    let unpaused = call.shared.without_paused(now, back_ends);
    let unpaused = unpaused.map_err(Missing::Pause)?;
    let unpaused = call
        .shared
        .without_full_brittle(now, &call.service, unpaused);
    if unpaused.is_empty() {
        return Err(Missing::Pause(BRITTLE_CHECK_INTERVAL));
    }
    // Earlier pauses are due to this gateway's links.
    let since = call.shared.links.faulty_since(now).unwrap_or_default();
    let responding: Vec<Arc<BackEnd>> = unpaused
        .iter()
        .filter(|back_end| !back_end.health().is_paused_since(now, since))
        .cloned()
        .collect();
    Ok(if responding.is_empty() {
        unpaused
    } else {
        responding
    })
}

/// The model that a back end must have loaded, if the service's back ends are engines.
fn required_model(call: &Call) -> Option<&ModelId> {
    let service = call.configuration.service(&call.service)?;
    service.engine.as_ref()?;
    call.metadata.model.as_ref()
}

/// Load time of the model from its nearest copy. A back end that is not known yet may have any copy.
fn shortest_load_time(call: &Call, model: &ModelId, nearest_copy: Option<CopyTier>) -> Duration {
    load_time(call, model, nearest_copy.unwrap_or(CopyTier::Memory))
}

/// Load time of the model from the given copy of its weights.
pub fn load_time(call: &Call, model: &ModelId, copy: CopyTier) -> Duration {
    let service = call.configuration.service(&call.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let spec = engine.and_then(|engine| engine.models.get(model));
    spec.map_or(DEFAULT_LOAD_TIME, |spec| spec.load_from(copy))
}
