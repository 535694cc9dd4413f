//! Selects one of several back ends that could serve a request.
//!
//! Input: load, latency, failure rate and locality of each candidate. Output: the index of the
//! candidate with the lowest expected cost.

use rand::{Rng, RngExt};

/// Cost factor of a back end in another zone: such a back end is chosen only if its load is lower
/// by more than this factor.
const OTHER_ZONE_FACTOR: f64 = 1.25;
/// Cost factor of a back end to which a new connection must be opened. It is lower than the factor
/// of another zone, and another zone's cost grows with each request, so an idle back end of the
/// gateway's own zone is selected again.
const CONNECT_FACTOR: f64 = 1.2;
/// Weight of a failed request relative to a successful one.
const FAILURE_WEIGHT: f64 = 8.0;
/// Cost factor of a back end that has the prompt's shared prefix in its cache.
const CACHED_PREFIX_FACTOR: f64 = 0.7;
/// Fraction of the gap objective above which a stall of running streams adds to the cost.
const STALL_THRESHOLD: f64 = 0.75;
/// Cost that is added for each multiple of the gap objective above [`STALL_THRESHOLD`].
const STALL_WEIGHT: f64 = 20.0;
/// Exponent with which an engine's relative gap between events enters the cost.
const GAP_EXPONENT: i32 = 3;
/// Cost factor of a back end without a free slot, which would queue or reject the request.
const FULL_BACK_END_FACTOR: f64 = 3.0;
/// Number of gateways above which each gateway compares only a sample of the back ends. Each
/// gateway's counts of the other gateways' requests are half a second old, so without sampling all
/// gateways would choose the back end that was idle then.
const SAMPLING_THRESHOLD: usize = 16;
/// Number of back ends that are compared when the candidates are sampled.
const SAMPLE_SIZE: usize = 3;
/// Width of the random factor that breaks ties.
const JITTER_WIDTH: f64 = 0.1;

/// Properties of a back end that determine its cost.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests that the back end is running for all gateways, as far as they are known.
    pub running: u32,
    /// Requests that the back end can run concurrently; 0 if unknown.
    pub slots: u32,
    /// Whether the back end is in the gateway's zone.
    pub is_in_same_zone: bool,
    /// Recent fraction of failed requests, 0 to 1.
    pub failure_rate: f64,
    /// Mean response time relative to the mean of the other candidates.
    pub relative_latency: f64,
    /// Whether the back end has the prompt's shared prefix in its cache.
    pub has_cached_prefix: bool,
    /// Whether an idle keep-alive connection to the back end is available.
    pub is_connected: bool,
    /// Duration for which the prefill of the prompt stalls the back end's running streams, as a
    /// fraction of the gap objective; 0 if unknown.
    pub stall: f64,
    /// Time between two events of the back end's streams, relative to the fastest candidate's; 1
    /// if unknown.
    pub relative_gap: f64,
}

impl Candidate {
    /// Whether the back end has no free slot, so that it would queue or reject the request.
    pub fn is_full(&self) -> bool {
        self.slots > 0 && self.running >= self.slots
    }
}

/// The expected cost of sending one more request to the candidate.
pub fn cost(candidate: &Candidate) -> f64 {
    let zone = if candidate.is_in_same_zone {
        1.0
    } else {
        OTHER_ZONE_FACTOR
    };
    let prefix = if candidate.has_cached_prefix {
        CACHED_PREFIX_FACTOR
    } else {
        1.0
    };
    let connect = if candidate.is_connected {
        1.0
    } else {
        CONNECT_FACTOR
    };
    let stall = 1.0 + STALL_WEIGHT * (candidate.stall - STALL_THRESHOLD).max(0.0);
    let failures = 1.0 + FAILURE_WEIGHT * candidate.failure_rate;
    let load = f64::from(candidate.running) + 1.0;
    let full = if candidate.is_full() {
        FULL_BACK_END_FACTOR
    } else {
        1.0
    };
    let gap = candidate.relative_gap.powi(GAP_EXPONENT);
    load * full * gap * zone * prefix * connect * stall * failures * candidate.relative_latency
}

/// Number of back ends that one of `gateways` gateways compares.
pub fn max_compared(gateways: usize) -> usize {
    if gateways > SAMPLING_THRESHOLD {
        SAMPLE_SIZE
    } else {
        usize::MAX
    }
}

/// The index of the cheapest of up to `sample_size` candidates, which are sampled at random.
pub fn cheapest_of_sample(
    sample_size: usize,
    candidates: &[Candidate],
    random: &mut impl Rng,
) -> Option<usize> {
    if candidates.len() <= sample_size {
        return cheapest(candidates, random);
    }
    let sampled = rand::seq::index::sample(random, candidates.len(), sample_size).into_vec();
    let compared: Vec<Candidate> = sampled.iter().map(|index| candidates[*index]).collect();
    let index = cheapest(&compared, random)?;
    Some(sampled[index])
}

/// The index of the cheapest candidate; nearly equal costs are decided at random.
pub fn cheapest(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let jitter = 1.0 + JITTER_WIDTH * random.random::<f64>();
        let cost = cost(candidate) * jitter;
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((index, cost));
        }
    }
    best.map(|(index, _)| index)
}
