//! Chooses one of several back ends that could run a request.

use rand::{Rng, RngExt};

/// A back end in another zone must be this much less loaded.
const OTHER_ZONE_FACTOR: f64 = 1.25;
/// A back end to which a connection must be made first costs this much more.
const CONNECT_FACTOR: f64 = 1.4;
/// Weight of a failed request against a served one.
const FAILURE_WEIGHT: f64 = 8.0;
/// A back end that has read the prompt's shared part before costs this much less.
const WARM_PROMPT_FACTOR: f64 = 0.7;
/// From this part of the pause objective on, a stall of running streams counts.
const STALL_FROM: f64 = 0.75;
/// Weight of a stall, for each pause objective over that.
const STALL_WEIGHT: f64 = 20.0;
/// A slower engine costs more by this power of how much slower it is.
const PACE_POWER: i32 = 3;
/// Width of the random factor that breaks ties.
const JITTER: f64 = 0.1;

/// What counts for the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests of this gateway that it runs.
    pub in_flight: u32,
    /// Whether it is in the gateway's zone.
    pub same_zone: bool,
    /// Share of failed requests of late, 0 to 1.
    pub failure_rate: f64,
    /// Its time to answer against the mean of its peers.
    pub relative_latency: f64,
    /// Whether it has read the shared part of the prompt.
    pub warm_prompt: bool,
    /// Whether a kept connection to it is at hand.
    pub connected: bool,
    /// For how long its streams pause while it reads the prompt, as a part of
    /// the pause objective; 0 if that is not known.
    pub stall: f64,
    /// Time between two events of its streams against the fastest candidate's; 1
    /// if that is not known.
    pub relative_pace: f64,
}

/// The expected cost of one more request.
pub fn cost(candidate: &Candidate) -> f64 {
    let zone = if candidate.same_zone {
        1.0
    } else {
        OTHER_ZONE_FACTOR
    };
    let prompt = if candidate.warm_prompt {
        WARM_PROMPT_FACTOR
    } else {
        1.0
    };
    let connect = if candidate.connected {
        1.0
    } else {
        CONNECT_FACTOR
    };
    let stall = 1.0 + STALL_WEIGHT * (candidate.stall - STALL_FROM).max(0.0);
    let failures = 1.0 + FAILURE_WEIGHT * candidate.failure_rate;
    let load = f64::from(candidate.in_flight) + 1.0;
    let pace = candidate.relative_pace.powi(PACE_POWER);
    load * pace * zone * prompt * connect * stall * failures * candidate.relative_latency
}

/// The index of the cheapest candidate; nearly equal ones are chosen by chance.
pub fn cheapest(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let jitter = 1.0 + JITTER * random.random::<f64>();
        let cost = cost(candidate) * jitter;
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((index, cost));
        }
    }
    best.map(|(index, _)| index)
}
