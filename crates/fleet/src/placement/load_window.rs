//! How many loads from the weight store may be under way at once.
//!
//! In: which loads began and ended, and how long each should take. Out: whether another
//! one may begin.
//!
//! Engines share the weight store. Up to some number of loads it serves each at full
//! speed; beyond that all become slower, none ends sooner, and each keeps its engine from
//! any other order. Nobody tells that number, so it is found as a congestion window is: a
//! load that began as the last one that the window allowed and took its usual time widens
//! the window; slow ones narrow it to the number that would have gone at full speed.
//!
//! Without the window a store that makes two loads at once was given forty: they took 15
//! to 45 s in place of 6, no engine was free, and a quarter of the models in demand were
//! never served (three days of 21 gateways and 18 engines).

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::BackEndId;
use serde::{Deserialize, Serialize};

/// Loads at once while nothing is known of the store. Where it makes 148, a first limit of 4
/// left 0.011 fewer requests served than no bound (nine plays in pairs, standard error
/// 0.004), and 0.007 fewer than 8 (six, 0.0045).
const FIRST_LIMIT: f64 = 8.0;
/// A load at full speed that filled the window makes it so much wider, until the first
/// slow one: a store for a hundred engines makes over eighty at once.
const FAST_GROWTH: f64 = 4.0;
/// ... and adds so many loads afterwards.
const SLOW_GROWTH: f64 = 0.5;
/// A load that takes so many times as long as alone is a slow one.
const SLOW: f64 = 1.25;
/// Weight of one slow load: its engine may be slow, not the store.
const SLOW_WEIGHT: f64 = 0.3;
/// A load at full speed among so many others proves for this time, in milliseconds, that
/// the store makes them at once: a slow one among fewer has a slow engine.
const PROOF_LIFETIME: u64 = 20_000;
/// The end of a load is seen so much later, in milliseconds: reports are stale, and asked
/// for now and then.
const SEEN_LATE: u64 = 300;
/// A load of which it is not known when it began, if it did, counts for this time at most,
/// in milliseconds: an order without an answer is carried out within 13 s or never.
const UNCERTAIN_LIFETIME: u64 = 20_000;

/// What was found of the weight store, for the next holder.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FoundLimit {
    /// Loads that may be under way at once.
    pub at_once: f64,
    /// Whether so many were ever seen to be too many.
    pub has_been_slow: bool,
}

impl Default for FoundLimit {
    fn default() -> Self {
        FoundLimit {
            at_once: FIRST_LIMIT,
            has_been_slow: false,
        }
    }
}

/// The loads under way, and the window.
#[derive(Debug)]
pub struct LoadWindow {
    found: FoundLimit,
    under_way: BTreeMap<BackEndId, UnderWay>,
    /// The most loads of which one went at full speed, and when that was seen.
    proof: (usize, Timestamp),
}

#[derive(Debug)]
struct UnderWay {
    /// Orders that the engine has taken once the load has begun; none if that is not known.
    sequence: Option<u64>,
    began: Timestamp,
    /// Time it takes alone; none if it is not known when it began.
    alone: Option<Duration>,
    /// Loads under way when it had begun, itself among them.
    crowd: usize,
}

impl UnderWay {
    fn counts(&self, now: Timestamp) -> bool {
        self.alone.is_some() || now.since(self.began) < UNCERTAIN_LIFETIME
    }
}

impl LoadWindow {
    /// Nothing is under way. `found` is what a former holder found.
    pub fn new(found: FoundLimit) -> Self {
        // A row of the table may say anything.
        let at_once = found.at_once.max(1.0);
        LoadWindow {
            found: FoundLimit { at_once, ..found },
            under_way: BTreeMap::new(),
            proof: (0, Timestamp(0)),
        }
    }

    /// What is known of the store by now.
    pub fn found(&self) -> FoundLimit {
        self.found
    }

    /// Loads that may be under way at once.
    fn most(&self) -> usize {
        self.found.at_once as usize
    }

    /// Whether another load may begin beside those under way and `reserved` others.
    pub fn allows(&self, now: Timestamp, reserved: usize) -> bool {
        let loads = self.under_way.values();
        let under_way = loads.filter(|load| load.counts(now)).count();
        under_way + reserved < self.most()
    }

    /// A load is about to be ordered at an engine that has taken `sequence` orders.
    pub fn begin(&mut self, now: Timestamp, engine: &BackEndId, sequence: u64, alone: Duration) {
        self.under_way.remove(engine);
        let load = UnderWay {
            sequence: Some(sequence + 1),
            began: now,
            alone: Some(alone),
            crowd: self.under_way.len() + 1,
        };
        self.under_way.insert(engine.clone(), load);
    }

    /// A former holder ordered a load there, at an unknown time.
    pub fn inherit(&mut self, now: Timestamp, engine: &BackEndId) {
        let load = UnderWay {
            sequence: None,
            began: now,
            alone: None,
            crowd: 0,
        };
        self.under_way.entry(engine.clone()).or_insert(load);
    }

    /// The order had no answer: it may begin at any time.
    pub fn uncertain(&mut self, engine: &BackEndId) {
        if let Some(load) = self.under_way.get_mut(engine) {
            load.alone = None;
        }
    }

    /// The order was not taken. One whose earlier try had no answer may have begun: a
    /// report will tell.
    pub fn dropped(&mut self, engine: &BackEndId) {
        let may_have_begun = |load: &UnderWay| load.alone.is_none();
        if !self.under_way.get(engine).is_some_and(may_have_begun) {
            self.forget(engine);
        }
    }

    /// The engine does not answer.
    pub fn forget(&mut self, engine: &BackEndId) {
        self.under_way.remove(engine);
    }

    /// Forgets engines that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&BackEndId) -> bool) {
        self.under_way.retain(|engine, _| known(engine));
    }

    /// An engine was seen to be without an order after it had taken `sequence` of them.
    pub fn idle(&mut self, now: Timestamp, engine: &BackEndId, sequence: u64) {
        let has_ended = |load: &UnderWay| load.sequence.is_none_or(|begun| sequence >= begun);
        if !self.under_way.get(engine).is_some_and(has_ended) {
            return;
        }
        if let Some(load) = self.under_way.remove(engine)
            && let Some(alone) = load.alone
        {
            let taken = now.since(load.began).saturating_sub(SEEN_LATE);
            let stretch = taken as f64 / alone.as_millis().max(1) as f64;
            self.ended(now, load.crowd, stretch);
        }
    }

    /// A load that began as one of `crowd` took `stretch` times as long as alone.
    fn ended(&mut self, now: Timestamp, crowd: usize, stretch: f64) {
        let (proved, proved_at) = self.proof;
        let is_proved = crowd <= proved && now.since(proved_at) <= PROOF_LIFETIME;
        if stretch > SLOW {
            if !is_proved {
                self.narrow(crowd as f64 / stretch);
            }
            return;
        }
        if !is_proved || crowd == proved {
            self.proof = (crowd, now);
        }
        if crowd >= self.most() {
            self.widen();
        }
    }

    /// The store was crowded; it would have made so many loads at full speed.
    fn narrow(&mut self, at_full_speed: f64) {
        let found = &mut self.found;
        found.has_been_slow = true;
        let at_full_speed = at_full_speed.clamp(1.0, found.at_once);
        found.at_once += (at_full_speed - found.at_once) * SLOW_WEIGHT;
    }

    /// A load that filled the window went at full speed.
    fn widen(&mut self) {
        let found = &mut self.found;
        if found.has_been_slow {
            found.at_once += SLOW_GROWTH;
        } else {
            found.at_once *= FAST_GROWTH;
        }
    }
}
