//! Chooses one of several back ends that could run a request.

use rand::{Rng, RngExt};

/// A back end in another zone must be this much less loaded.
const OTHER_ZONE_FACTOR: f64 = 1.25;
/// A back end to which a connection must be made first costs this much more: less than one in
/// another zone, which costs more with each request, so an idle one in this zone is found again.
const CONNECT_FACTOR: f64 = 1.2;
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
/// A back end without a free slot costs this much more: it queues, or turns away.
const FULL_FACTOR: f64 = 3.0;
/// From so many gateways on, each compares some back ends only: what they know of each
/// other is half a second old, and all would choose the one that was idle then.
const MANY_GATEWAYS: usize = 16;
/// So many back ends are compared then.
const COMPARED_BY_MANY: usize = 3;
/// Width of the random factor that breaks ties.
const JITTER: f64 = 0.1;

/// What counts for the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests that it runs, of all gateways as far as they are known.
    pub running: u32,
    /// Requests that it can run at once; 0 if that is not known.
    pub slots: u32,
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

impl Candidate {
    /// Whether it has no free slot: it queues, or turns away.
    pub fn is_full(&self) -> bool {
        self.slots > 0 && self.running >= self.slots
    }
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
    let load = f64::from(candidate.running) + 1.0;
    let full = if candidate.is_full() {
        FULL_FACTOR
    } else {
        1.0
    };
    let pace = candidate.relative_pace.powi(PACE_POWER);
    load * full * pace * zone * prompt * connect * stall * failures * candidate.relative_latency
}

/// How many back ends one of so many gateways compares.
pub fn most_compared(gateways: usize) -> usize {
    if gateways > MANY_GATEWAYS {
        COMPARED_BY_MANY
    } else {
        usize::MAX
    }
}

/// The index of the cheapest of `most` candidates that are drawn by chance.
pub fn cheapest_of(most: usize, candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    if candidates.len() <= most {
        return cheapest(candidates, random);
    }
    let drawn = rand::seq::index::sample(random, candidates.len(), most).into_vec();
    let compared: Vec<Candidate> = drawn.iter().map(|index| candidates[*index]).collect();
    let index = cheapest(&compared, random)?;
    Some(drawn[index])
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
