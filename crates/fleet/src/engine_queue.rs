//! Bounds what all gateways together send to engines whose model cannot be brought to another
//! engine in time.
//!
//! Inputs: slots of the engines that hold a model, requests of all gateways there, the time that a
//! request takes, and the requests that contend for the model at all gateways. These counts are
//! some hundred milliseconds old. Outputs: how many requests may be at an engine, the probability
//! with which a contender is sent now, and when it can expect to be sent.
//!
//! Every gateway that sees a free place would take it. Each contender is therefore sent with the
//! probability that lets all of them together take the free places while the counts are old.

use std::collections::VecDeque;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{ModelId, ServiceId};
use xxhash_rust::xxh3::xxh3_64;

use crate::running::BackEndHash;

/// Usual time until a gateway's request is included in the counts of all others.
pub const COUNT_AGE_MS: f64 = 500.0;
/// Fraction of the free places that contenders are sent to while the counts are old. With a larger
/// one the engine has too many and too few requests in turn.
const GAIN: f64 = 0.6;
/// Number of classes of waiting requests.
pub const CLASSES: usize = 5;
/// Usual weight of a contender, with which weights are converted to numbers of requests.
const USUAL_WEIGHT: f64 = 4.0;
/// Class of requests that can only be late.
const LATE: usize = CLASSES - 1;
/// Weights of the classes. A lower class gets less, but never nothing.
const WEIGHTS: [u32; CLASSES] = [8, 6, 4, 2, 1];
/// Assumed time of a request before the first stream is complete.
const DEFAULT_REQUEST_MS: f64 = 1_000.0;
/// Fraction of the slots that must be busy at all engines of a model before its arrivals are
/// counted as contenders.
const CROWDED_FRACTION: f64 = 0.5;

/// The rank of a contender: timely requests of callers that return after a refusal, then other timely
/// ones by priority, then late ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class(usize);

impl Class {
    /// Class of a request by its priority rank, whether its response can be in time, and whether its
    /// caller returns at the time that a refusal named.
    pub fn of(priority: u8, is_timely: bool, is_returning: bool) -> Self {
        if !is_timely {
            return Class(LATE);
        }
        if is_returning {
            return Class(0);
        }
        Class((1 + usize::from(priority)).min(LATE - 1))
    }

    fn weight(self) -> u32 {
        WEIGHTS[self.0]
    }
}

/// Load of an engine that holds the model.
#[derive(Clone, Copy, Debug)]
pub struct EngineLoad {
    /// Requests that the engine runs concurrently.
    pub slots: u32,
    /// Requests of all gateways at the engine, as far as known.
    pub running: u32,
    /// Time for which a request occupies a slot, in milliseconds.
    pub request_ms: f64,
    /// Whether the engine has just rejected a request because it was full.
    pub has_rejected: bool,
}

impl EngineLoad {
    /// Requests that the engine begins per millisecond while it is full.
    fn turnover(&self) -> f64 {
        f64::from(self.slots) / self.request_ms.max(1.0)
    }

    /// How many requests may be at the engine for one that has to begin within `begin_within_ms`;
    /// `None` if it can only be late, and takes no more than a free slot.
    pub fn bound(&self, begin_within_ms: Option<f64>) -> u32 {
        let queueing_ms = begin_within_ms.unwrap_or(0.0).clamp(0.0, COUNT_AGE_MS);
        self.slots + (queueing_ms * self.turnover()) as u32
    }

    /// Places that are left below the bound, or will be while the counts are old.
    pub fn free(&self, begin_within_ms: Option<f64>) -> u32 {
        if self.has_rejected {
            return 0;
        }
        let begun = self.turnover() * COUNT_AGE_MS * f64::from(self.running.min(self.slots))
            / f64::from(self.slots.max(1));
        (self.bound(begin_within_ms) + begun as u32).saturating_sub(self.running)
    }

    /// Whether arrivals at the engine may contend for its last slots.
    pub fn is_crowded(&self) -> bool {
        f64::from(self.running) >= CROWDED_FRACTION * f64::from(self.slots)
    }
}

/// Requests of all gateways that contend for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contenders {
    /// Weight of the requests that arrived while the counts are old, and were sent or
    /// refused.
    pub arrived: u32,
    /// Refused requests whose callers were told to return and have not yet.
    pub promised: u32,
    /// Waiting requests by class.
    pub waiting: [u32; CLASSES],
}

impl Contenders {
    /// Leaves out one waiting request of this class.
    pub fn remove(&mut self, class: Class) {
        let waiting = &mut self.waiting[class.0];
        *waiting = waiting.saturating_sub(1);
    }

    /// Adds a request that arrives now.
    pub fn add_arrival(&mut self, class: Class) {
        self.arrived += class.weight();
    }

    /// Whether a request of this class, which is among the contenders, is the only one.
    pub fn is_only(&self, class: Class) -> bool {
        self.weight() <= f64::from(class.weight())
    }

    /// Requests that are served before a new one of this class.
    pub fn ahead_of(&self, class: Class) -> u32 {
        self.waiting[..=class.0].iter().sum()
    }

    fn weight(&self) -> f64 {
        let waiting = self.waiting.iter().zip(WEIGHTS);
        let waiting: f64 = waiting
            .map(|(count, weight)| f64::from(*count * weight))
            .sum();
        waiting + f64::from(self.arrived)
    }
}

/// Probability with which one of the `contenders`, of this class, takes one of the `free` places
/// while the counts are old, so that all contenders together take no more than are free. Late
/// requests have the smallest share, of free slots only.
pub fn share(free: u32, contenders: &Contenders, class: Class) -> f64 {
    let free = f64::from(free);
    if contenders.is_only(class) {
        return free.min(1.0);
    }
    (GAIN * free * f64::from(class.weight()) / contenders.weight()).min(1.0)
}

/// Time in milliseconds after which a new contender of this class can expect to be sent.
pub fn expected_wait(
    engines: &[EngineLoad],
    begin_within_ms: Option<f64>,
    contenders: &Contenders,
    class: Class,
) -> f64 {
    let excess = engines.iter().map(|engine| {
        let bound = engine.bound(begin_within_ms);
        f64::from(engine.running.saturating_sub(bound))
    });
    let ahead = f64::from(contenders.ahead_of(class));
    let turnover: f64 = engines.iter().map(EngineLoad::turnover).sum();
    (excess.sum::<f64>() + ahead + 1.0) / turnover.max(f64::MIN_POSITIVE)
}

/// Time in milliseconds after which the caller of a refused request should return: behind those who
/// wait, and those who were told to return earlier. `position`, from 0 to 1, is its place among those
/// that contend at the same time, which do not know of each other.
pub fn return_after(
    engines: &[EngineLoad],
    begin_within_ms: Option<f64>,
    contenders: &Contenders,
    class: Class,
    position: f64,
) -> f64 {
    let mut ahead = *contenders;
    let beside = position * f64::from(contenders.arrived) / USUAL_WEIGHT;
    ahead.waiting[0] += contenders.promised + beside as u32;
    expected_wait(engines, begin_within_ms, &ahead, class)
}

/// Usual length of a service's streams, from which the time for which a request occupies a slot is
/// estimated.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamLength {
    mean: Option<(f64, f64)>,
}

impl StreamLength {
    /// Weight of the newest stream in the means.
    const SMOOTHING_FACTOR: f64 = 0.1;

    /// Records a complete stream of `events`, which took `ran_ms` from its first event on.
    pub fn record(&mut self, events: u64, ran_ms: f64) {
        let events = events as f64;
        let step = |mean: f64, value: f64| mean + Self::SMOOTHING_FACTOR * (value - mean);
        self.mean = Some(match self.mean {
            None => (events, ran_ms),
            Some((mean_events, mean_ms)) => (step(mean_events, events), step(mean_ms, ran_ms)),
        });
    }

    /// Time of a request at an engine where events follow each other after `gap` milliseconds, if
    /// that is known.
    pub fn request_ms(&self, gap: Option<f64>) -> f64 {
        let Some((events, ran_ms)) = self.mean else {
            return DEFAULT_REQUEST_MS;
        };
        gap.map_or(ran_ms, |gap| gap * events)
    }
}

/// A waiting request of this gateway.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    number: u64,
    class: Class,
    /// Until when it must be sent.
    until: Timestamp,
}

/// This gateway's requests that contend for one model.
#[derive(Clone, Debug, Default)]
pub struct ModelQueue {
    waiters: Vec<Waiter>,
    arrivals: VecDeque<(Timestamp, Class)>,
    /// When callers that were refused should return.
    promises: Vec<Timestamp>,
    next_number: u64,
    /// Until when the waiting requests have used their shares.
    drawn_until: Timestamp,
}

impl ModelQueue {
    /// Records a request that found the model's engines crowded.
    pub fn record_arrival(&mut self, now: Timestamp, class: Class) {
        self.arrivals.push_back((now, class));
    }

    /// Records that a caller was refused and told to return at this time.
    pub fn record_promise(&mut self, at: Timestamp) {
        self.promises.push(at);
    }

    /// Adds a waiting request, which must be sent until the given time. It no longer counts as an
    /// arrival, if it was recorded as one. Returns its number.
    pub fn join(
        &mut self,
        now: Timestamp,
        class: Class,
        until: Timestamp,
        is_arrival: bool,
    ) -> u64 {
        let own = self
            .arrivals
            .iter()
            .rposition(|(_, arrived)| *arrived == class);
        if let Some(index) = own.filter(|_| is_arrival) {
            self.arrivals.remove(index);
        }
        self.next_number += 1;
        if self.waiters.is_empty() {
            self.drawn_until = now;
        }
        self.waiters.push(Waiter {
            number: self.next_number,
            class,
            until,
        });
        self.next_number
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, number: u64) {
        self.waiters.retain(|waiter| waiter.number != number);
    }

    /// Updates a waiting request.
    pub fn update(&mut self, number: u64, class: Class, until: Timestamp) {
        if let Some(waiter) = self.waiters.iter_mut().find(|known| known.number == number) {
            (waiter.class, waiter.until) = (class, until);
        }
    }

    /// The fraction of a share that a waiting request may draw with while places are free: nothing
    /// unless it is the first of this gateway, which draws for all of them.
    pub fn draw(&mut self, now: Timestamp, number: u64) -> f64 {
        let count = self.waiters.len() as f64;
        let order = |waiter: &&Waiter| (waiter.class, waiter.until, waiter.number);
        let first = self.waiters.iter().min_by_key(order);
        if first.is_none_or(|first| first.number != number) {
            return 0.0;
        }
        let since_ms = now.since(self.drawn_until) as f64;
        self.drawn_until = now;
        count * (since_ms / COUNT_AGE_MS).min(1.0)
    }

    /// This gateway's contenders.
    pub fn contenders(&mut self, now: Timestamp) -> Contenders {
        let is_old = |(at, _): &(Timestamp, Class)| now.since(*at) as f64 >= COUNT_AGE_MS;
        while self.arrivals.front().is_some_and(is_old) {
            self.arrivals.pop_front();
        }
        self.promises.retain(|at| *at > now);
        let mut contenders = Contenders {
            arrived: self.arrivals.iter().map(|(_, class)| class.weight()).sum(),
            promised: self.promises.len() as u32,
            ..Contenders::default()
        };
        for waiter in &self.waiters {
            contenders.waiting[waiter.class.0] += 1;
        }
        contenders
    }

    /// Whether nothing contends for the model here.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty() && self.arrivals.is_empty() && self.promises.is_empty()
    }
}

/// Hashes under which gateways exchange the contenders for a model, beside the running requests of
/// back ends: of arrivals, of promises, then of each class.
pub fn hashes(service: &ServiceId, model: &ModelId) -> [BackEndHash; CLASSES + 2] {
    std::array::from_fn(|index| {
        let name = format!(
            "contenders\n{}\n{}\n{index}",
            service.as_str(),
            model.as_str()
        );
        xxh3_64(name.as_bytes()) as BackEndHash
    })
}
