//! What counts for the choice between back ends that could take a request.
//!
//! In: the request, and what this gateway knows of each back end: requests that all
//! gateways have running there, health, connections, prompts it has read, how fast it is. Out: the
//! cheapest one, with a line that tells why.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::ReadingModel;
use gorsebank_fleet::choice::{Candidate, cheapest_of, most_compared};

use crate::back_end::BackEnd;
use crate::lines::{self, Rank};
use crate::request::Call;

/// Latencies count between these bounds, against the mean of the peers.
const LATENCY_BOUNDS: (f64, f64) = (0.5, 8.0);

/// The back end of a request.
pub struct Chosen {
    /// The back end.
    pub back_end: Arc<BackEnd>,
    /// Requests a second that it takes of all gateways together: a time has to be asked for
    /// first. None if it takes what it is sent.
    pub rate: Option<f64>,
    /// Whether another one that takes what it is sent could take the request: a wait is not worth it.
    pub has_alternative: bool,
}

/// A back end may have got room since it was looked at: it is looked at again after this time.
const LEAST_WAIT_FOR_ROOM: Duration = Duration::from_millis(5);

/// The cheapest of the back ends. One that takes a limited number of requests is left alone while
/// any other one has a free place, but for a request now and then that brings its newest
/// statement. None if those that are left have no room.
pub fn choose(call: &Call, now: Timestamp, eligible: &[Arc<BackEnd>]) -> Option<Chosen> {
    let is_limited = |back_end: &Arc<BackEnd>| limit(call, now, back_end).is_some();
    let is_any_limited = may_have_limits(call) && eligible.iter().any(is_limited);
    let (back_end, candidate, has_alternative) = if is_any_limited {
        let by_limit = ByLimit::new(call, now, eligible);
        let (back_end, candidate) = by_limit.cheapest(call, now)?;
        (back_end, candidate, !by_limit.free.is_empty())
    } else {
        let (back_end, candidate) = cheapest_candidate(call, now, eligible)?;
        (back_end, candidate, true)
    };
    log_choice(call, &back_end, eligible.len(), &candidate);
    Some(Chosen {
        rate: limit(call, now, &back_end),
        back_end,
        has_alternative,
    })
}

/// Whether any back end of the service may have a limit: where none can, back ends are not looked
/// through for it.
fn may_have_limits(call: &Call) -> bool {
    let limits = &call.shared.back_end_limits;
    cold_rate(call).is_some() || limits.known(|known| !known.is_empty())
}

/// Requests a second that cold back ends of the service bear; none if they are merely slow.
fn cold_rate(call: &Call) -> Option<f64> {
    call.configuration.service(&call.service)?.cold_rate
}

/// Requests a second that a back end takes of all gateways together: what it states, or what it
/// bears while it is cold. None if it takes what it is sent.
fn limit(call: &Call, now: Timestamp, back_end: &BackEnd) -> Option<f64> {
    let stated = call.shared.back_end_limits.rate(back_end.life_hash);
    let cold_rate = cold_rate(call).filter(|_| back_end.is_cold(now));
    let rates = stated.into_iter().chain(cold_rate);
    rates.min_by(f64::total_cmp)
}

/// Back ends that could take a request, by how many they take.
struct ByLimit {
    /// They take what they are sent.
    free: Vec<Arc<BackEnd>>,
    /// They take a limited number, and may have room.
    limited: Vec<Arc<BackEnd>>,
    /// Those of them that state a limit and have said nothing for a while.
    silent: Vec<Arc<BackEnd>>,
}

impl ByLimit {
    fn new(call: &Call, now: Timestamp, eligible: &[Arc<BackEnd>]) -> Self {
        let limits = &call.shared.back_end_limits;
        let (mut limited, free): (Vec<Arc<BackEnd>>, Vec<Arc<BackEnd>>) = eligible
            .iter()
            .cloned()
            .partition(|back_end| limit(call, now, back_end).is_some());
        limited.retain(|back_end| limits.full_for(now, back_end.life_hash).is_none());
        let needs_statement = |back_end: &&Arc<BackEnd>| {
            limits.known(|known| known.needs_statement(now, back_end.life_hash))
        };
        ByLimit {
            silent: limited.iter().filter(needs_statement).cloned().collect(),
            free,
            limited,
        }
    }

    fn cheapest(&self, call: &Call, now: Timestamp) -> Option<(Arc<BackEnd>, Candidate)> {
        let Some(free) = cheapest_candidate(call, now, &self.free) else {
            return cheapest_candidate(call, now, &self.limited);
        };
        let instead = if free.1.is_full() {
            &self.limited
        } else {
            &self.silent
        };
        cheapest_candidate(call, now, instead).or(Some(free))
    }
}

/// Whether a back end that takes what it is sent is among these.
pub fn any_without_limit(call: &Call, now: Timestamp, back_ends: &[Arc<BackEnd>]) -> bool {
    let is_free = |back_end: &Arc<BackEnd>| limit(call, now, back_end).is_none();
    back_ends.iter().any(is_free)
}

/// After which time one of these, which all take a limited number of requests, may have room.
pub fn time_to_room(call: &Call, now: Timestamp, back_ends: &[Arc<BackEnd>]) -> Duration {
    let limits = &call.shared.back_end_limits;
    let times = back_ends
        .iter()
        .map(|back_end| limits.full_for(now, back_end.life_hash).unwrap_or_default());
    times.min().unwrap_or_default().max(LEAST_WAIT_FOR_ROOM)
}

fn cheapest_candidate(
    call: &Call,
    now: Timestamp,
    back_ends: &[Arc<BackEnd>],
) -> Option<(Arc<BackEnd>, Candidate)> {
    let candidates = candidates(call, now, back_ends);
    let most = most_compared(call.shared.possible_gateways());
    let index = cheapest_of(most, &candidates, &mut rand::rng())?;
    Some((back_ends[index].clone(), candidates[index]))
}

fn candidates(call: &Call, now: Timestamp, back_ends: &[Arc<BackEnd>]) -> Vec<Candidate> {
    let latencies: Vec<Option<f64>> = back_ends
        .iter()
        .map(|back_end| back_end.health().latency(now))
        .collect();
    let known: Vec<f64> = latencies.iter().flatten().copied().collect();
    let paces = paces(call, now, back_ends);
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    let others: Vec<u32> = {
        let running = call.shared.feed.running.lock();
        let of_others = |back_end: &Arc<BackEnd>| running.of_others(now, back_end.hash);
        back_ends.iter().map(of_others).collect()
    };
    back_ends
        .iter()
        .zip(latencies)
        .zip(paces)
        .zip(others)
        .map(|(((back_end, latency), relative_pace), others)| {
            let fresh_tokens = back_end.fresh_tokens(&call.ticket);
            Candidate {
                running: back_end.in_flight() + others,
                slots: back_end.slots,
                same_zone: back_end.same_zone,
                failure_rate: back_end.health().failure_rate(now),
                relative_latency: relative(latency, mean),
                warm_prompt: is_warm(call, fresh_tokens),
                connected: back_end.has_connection(),
                stall: stall(call, back_end, fresh_tokens),
                relative_pace,
            }
        })
        .collect()
}

/// Time between two events at each back end against the fastest one's.
fn paces(call: &Call, now: Timestamp, back_ends: &[Arc<BackEnd>]) -> Vec<f64> {
    let Some(model) = &call.ticket.model else {
        return vec![1.0; back_ends.len()];
    };
    let gaps: Vec<Option<f64>> = call.shared.reading(&call.service, |known| {
        let gap = |back_end: &Arc<BackEnd>| known.gap(now, &back_end.id, model);
        back_ends.iter().map(gap).collect()
    });
    let least = gaps.iter().flatten().copied().fold(f64::INFINITY, f64::min);
    gaps.into_iter()
        .map(|gap| gap.map_or(1.0, |gap| gap / least))
        .collect()
}

fn relative(latency: Option<f64>, mean: f64) -> f64 {
    match latency {
        Some(latency) if mean > 0.0 => (latency / mean).clamp(LATENCY_BOUNDS.0, LATENCY_BOUNDS.1),
        _ => 1.0,
    }
}

/// Whether a back end that has to read so many tokens was sent all the shared
/// parts of the prompt before.
fn is_warm(call: &Call, fresh_tokens: u32) -> bool {
    let prompt = &call.ticket.prompt;
    !prompt.shared.is_empty() && fresh_tokens == prompt.own_tokens
}

/// For how long the back end's streams would pause while it reads so many tokens,
/// as a part of the pause objective.
fn stall(call: &Call, back_end: &BackEnd, fresh_tokens: u32) -> f64 {
    let (Some(model), Some(objective)) = (&call.ticket.model, call.route.pause_objective) else {
        return 0.0;
    };
    let tokens = fresh_tokens + back_end.unread_tokens();
    let now = call.shared.now();
    let read = |known: &mut ReadingModel| known.time(now, &back_end.id, model, tokens);
    let time = call.shared.reading(&call.service, read).unwrap_or(0.0);
    time / (objective.as_secs_f64() * 1_000.0).max(1.0)
}

fn log_choice(call: &Call, chosen: &BackEnd, eligible: usize, candidate: &Candidate) {
    let (stall, running) = (candidate.stall, candidate.running);
    let health = chosen.health();
    let fields = format_args!(
        "request={} back_end={} eligible={eligible} running={running} in_flight={} latency_ms={:.0} waited_ms={} priority={} \
         fresh_tokens={} stall={stall:.2} row_version={} row_age_ms={}",
        call.ticket.id,
        chosen.id,
        chosen.in_flight(),
        health.latency(call.shared.now()).unwrap_or(0.0),
        call.age().as_millis(),
        call.priority(),
        chosen.fresh_tokens(&call.ticket),
        chosen.row().version,
        call.shared.now().since(chosen.row().seen),
    );
    lines::write(Rank::Served, "chosen", fields);
}
