//! Chooses between back ends that could take a request.
//!
//! The inputs are the request and what this gateway knows of each back end: requests of all
//! gateways running there, health, connections, cached prompt prefixes and speed. The output is the
//! cheapest back end, and a log line with the values that led to the choice.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::PrefillModel;
use gorsebank_fleet::choice::{Candidate, cheapest_of_sample, max_compared};

use crate::back_end::BackEnd;
use crate::event_log::{self, LogPriority};
use crate::request::Call;

/// Bounds of a back end's latency relative to the mean of all candidates.
const RELATIVE_LATENCY_BOUNDS: (f64, f64) = (0.5, 8.0);

/// The back end chosen for a request.
pub struct ChosenBackEnd {
    /// The chosen back end.
    pub back_end: Arc<BackEnd>,
    /// Requests per second that the back end takes from all gateways together; the gateway must
    /// reserve a send time first. `None` if the back end has no limit.
    pub rate: Option<f64>,
    /// Whether a back end without a limit could take the request, so that waiting for capacity at
    /// the chosen one is not worthwhile.
    pub has_alternative: bool,
}

/// Shortest wait before capacity is checked again: a back end may regain capacity between the
/// choice and the wait.
const MIN_CAPACITY_WAIT: Duration = Duration::from_millis(5);

/// Chooses the cheapest back end. A back end with a rate limit is avoided while any other one has a
/// free slot, except for an occasional request that brings a current statement of its limit. None
/// if all remaining back ends lack capacity.
pub fn choose_back_end(
    call: &Call,
    now: Timestamp,
    eligible: &[Arc<BackEnd>],
) -> Option<ChosenBackEnd> {
    let is_limited = |back_end: &Arc<BackEnd>| rate_limit(call, now, back_end).is_some();
    let is_any_limited = may_have_limits(call) && eligible.iter().any(is_limited);
    let (back_end, candidate, has_alternative) = if is_any_limited {
        let by_limit = BackEndsByLimit::new(call, now, eligible);
        let (back_end, candidate) = by_limit.cheapest(call, now)?;
        (back_end, candidate, !by_limit.unlimited.is_empty())
    } else {
        let (back_end, candidate) = cheapest_back_end(call, now, eligible)?;
        (back_end, candidate, true)
    };
    log_choice(call, &back_end, eligible.len(), &candidate);
    Some(ChosenBackEnd {
        rate: rate_limit(call, now, &back_end),
        back_end,
        has_alternative,
    })
}

/// Whether any back end of the service may have a limit. If none can, the back ends need not be
/// checked one by one.
fn may_have_limits(call: &Call) -> bool {
    let limits = &call.shared.back_end_limits;
    warm_up_rate(call).is_some() || limits.with_limits(|known| !known.is_empty())
}

/// Requests per second that a back end of the service takes while it is warming up; `None` if such
/// a back end is merely slow.
fn warm_up_rate(call: &Call) -> Option<f64> {
    call.configuration.service(&call.service)?.warm_up_rate
}

/// Requests per second that a back end takes from all gateways together: the lower of its stated
/// limit and its limit while it is warming up. `None` if it has neither.
fn rate_limit(call: &Call, now: Timestamp, back_end: &BackEnd) -> Option<f64> {
    let stated = call.shared.back_end_limits.rate(back_end.incarnation_hash);
    let warm_up_rate = warm_up_rate(call).filter(|_| back_end.is_warming_up(now));
    let rates = stated.into_iter().chain(warm_up_rate);
    rates.min_by(f64::total_cmp)
}

/// Back ends that could take a request, grouped by whether a rate limit applies.
struct BackEndsByLimit {
    /// Back ends without a limit.
    unlimited: Vec<Arc<BackEnd>>,
    /// Back ends with a limit that may have capacity.
    limited: Vec<Arc<BackEnd>>,
    /// The limited back ends whose stated limit needs to be confirmed by a new response.
    awaiting_statement: Vec<Arc<BackEnd>>,
}

impl BackEndsByLimit {
    fn new(call: &Call, now: Timestamp, eligible: &[Arc<BackEnd>]) -> Self {
        let limits = &call.shared.back_end_limits;
        let (mut limited, unlimited): (Vec<Arc<BackEnd>>, Vec<Arc<BackEnd>>) = eligible
            .iter()
            .cloned()
            .partition(|back_end| rate_limit(call, now, back_end).is_some());
        limited.retain(|back_end| {
            limits
                .no_capacity_for(now, back_end.incarnation_hash)
                .is_none()
        });
        let needs_statement = |back_end: &&Arc<BackEnd>| {
            limits.with_limits(|known| known.needs_refresh(now, back_end.incarnation_hash))
        };
        BackEndsByLimit {
            awaiting_statement: limited.iter().filter(needs_statement).cloned().collect(),
            unlimited,
            limited,
        }
    }

    fn cheapest(&self, call: &Call, now: Timestamp) -> Option<(Arc<BackEnd>, Candidate)> {
        let Some(best_unlimited) = cheapest_back_end(call, now, &self.unlimited) else {
            return cheapest_back_end(call, now, &self.limited);
        };
        let alternatives = if best_unlimited.1.is_full() {
            &self.limited
        } else {
            &self.awaiting_statement
        };
        cheapest_back_end(call, now, alternatives).or(Some(best_unlimited))
    }
}

/// Whether any of these back ends has no rate limit.
pub fn has_unlimited(call: &Call, now: Timestamp, back_ends: &[Arc<BackEnd>]) -> bool {
    let is_unlimited = |back_end: &Arc<BackEnd>| rate_limit(call, now, back_end).is_none();
    back_ends.iter().any(is_unlimited)
}

/// Time until one of these back ends, all of which have a rate limit, may have capacity.
pub fn time_to_capacity(call: &Call, now: Timestamp, back_ends: &[Arc<BackEnd>]) -> Duration {
    let limits = &call.shared.back_end_limits;
    let times = back_ends.iter().map(|back_end| {
        limits
            .no_capacity_for(now, back_end.incarnation_hash)
            .unwrap_or_default()
    });
    times.min().unwrap_or_default().max(MIN_CAPACITY_WAIT)
}

fn cheapest_back_end(
    call: &Call,
    now: Timestamp,
    back_ends: &[Arc<BackEnd>],
) -> Option<(Arc<BackEnd>, Candidate)> {
    let candidates = build_candidates(call, now, back_ends);
    let max_compared = max_compared(call.shared.max_gateway_count());
    let index = cheapest_of_sample(max_compared, &candidates, &mut rand::rng())?;
    Some((back_ends[index].clone(), candidates[index]))
}

fn build_candidates(call: &Call, now: Timestamp, back_ends: &[Arc<BackEnd>]) -> Vec<Candidate> {
    let latencies: Vec<Option<f64>> = back_ends
        .iter()
        .map(|back_end| back_end.health().latency(now))
        .collect();
    let known_latencies: Vec<f64> = latencies.iter().flatten().copied().collect();
    let relative_gaps = relative_gaps(call, now, back_ends);
    let mean_latency = known_latencies.iter().sum::<f64>() / known_latencies.len().max(1) as f64;
    let others: Vec<u32> = {
        let running = call.shared.feed.running.lock();
        let of_others = |back_end: &Arc<BackEnd>| running.running_elsewhere(now, back_end.hash);
        back_ends.iter().map(of_others).collect()
    };
    back_ends
        .iter()
        .zip(latencies)
        .zip(relative_gaps)
        .zip(others)
        .map(|(((back_end, latency), relative_pace), others)| {
            let uncached_tokens = back_end.uncached_tokens(&call.metadata);
            Candidate {
                running: back_end.in_flight() + others,
                slots: back_end.slots,
                is_in_same_zone: back_end.same_zone,
                failure_rate: back_end.health().failure_rate(now),
                relative_latency: relative_latency(latency, mean_latency),
                has_cached_prefix: has_cached_prefixes(call, uncached_tokens),
                is_connected: back_end.has_idle_connection(),
                stall: prefill_stall(call, back_end, uncached_tokens),
                relative_gap: relative_pace,
            }
        })
        .collect()
}

/// Time between two stream events at each back end, relative to the fastest one.
fn relative_gaps(call: &Call, now: Timestamp, back_ends: &[Arc<BackEnd>]) -> Vec<f64> {
    let Some(model) = &call.metadata.model else {
        return vec![1.0; back_ends.len()];
    };
    let gaps: Vec<Option<f64>> = call.shared.with_prefill_model(&call.service, |known| {
        let gap = |back_end: &Arc<BackEnd>| known.gap(now, &back_end.id, model);
        back_ends.iter().map(gap).collect()
    });
    let shortest_gap = gaps.iter().flatten().copied().fold(f64::INFINITY, f64::min);
    gaps.into_iter()
        .map(|gap| gap.map_or(1.0, |gap| gap / shortest_gap))
        .collect()
}

fn relative_latency(latency: Option<f64>, mean: f64) -> f64 {
    match latency {
        Some(latency) if mean > 0.0 => {
            (latency / mean).clamp(RELATIVE_LATENCY_BOUNDS.0, RELATIVE_LATENCY_BOUNDS.1)
        }
        _ => 1.0,
    }
}

/// Whether a back end that has to prefill `uncached_tokens` was already sent all the shared
/// prefixes of the prompt.
fn has_cached_prefixes(call: &Call, uncached_tokens: u32) -> bool {
    let prompt = &call.metadata.prompt;
    !prompt.shared.is_empty() && uncached_tokens == prompt.own_tokens
}

/// How long streams at the back end would stall while it prefills its pending prompts and this
/// request, as a multiple of the gap objective.
fn prefill_stall(call: &Call, back_end: &BackEnd, uncached_tokens: u32) -> f64 {
    let (Some(model), Some(objective)) = (&call.metadata.model, call.route.gap_objective) else {
        return 0.0;
    };
    let tokens = uncached_tokens + back_end.pending_prefill_tokens();
    let now = call.shared.now();
    let estimate = |known: &mut PrefillModel| known.prefill_time(now, &back_end.id, model, tokens);
    let prefill_ms = call
        .shared
        .with_prefill_model(&call.service, estimate)
        .unwrap_or(0.0);
    prefill_ms / (objective.as_secs_f64() * 1_000.0).max(1.0)
}

fn log_choice(call: &Call, chosen: &BackEnd, eligible: usize, candidate: &Candidate) {
    let (stall, running) = (candidate.stall, candidate.running);
    let health = chosen.health();
    let fields = format_args!(
        "request={} back_end={} software_version={} eligible={eligible} running={running} in_flight={} latency_ms={:.0} waited_ms={} priority={} \
         fresh_tokens={} stall={stall:.2} row_version={} row_age_ms={}",
        call.metadata.id,
        chosen.id,
        chosen.software_version,
        chosen.in_flight(),
        health.latency(call.shared.now()).unwrap_or(0.0),
        call.age().as_millis(),
        call.priority(),
        chosen.uncached_tokens(&call.metadata),
        chosen.row().version,
        call.shared.now().since(chosen.row().seen),
    );
    event_log::write(LogPriority::Served, "chosen", fields);
}
