//! Limits the number of concurrent loads from the weight store.
//!
//! The input is the start and the end of each load and the duration that it should take. The output
//! is whether another load may start.
//!
//! Engines share the weight store. Up to some number of concurrent loads, the store serves each at
//! full speed. With more, every load becomes slower, none completes sooner, and each keeps its
//! engine from any other order. That number is not configured, so it is estimated in the way of a
//! congestion window: a load that started as the last one that the window admits and took its usual
//! time widens the window, and slow loads narrow it to the number that would have run at full
//! speed.
//!
//! Without this limit, 21 gateways with 18 engines ordered forty loads from a store that performs
//! two at full speed: the loads took 15 to 45 s instead of 6 s, no engine was free, and a quarter
//! of the models in demand were never served.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::BackEndId;
use serde::{Deserialize, Serialize};

/// Initial estimate of the number of concurrent loads at full speed. With a store that performs
/// 148, an initial estimate of 4 lowers the fraction of served requests by 0.011 compared to no
/// limit (standard error 0.004), and by 0.007 compared to an initial estimate of 8 (standard error
/// 0.0045).
const INITIAL_MAX_LOADS: f64 = 8.0;
/// Bound on the number of the first concurrent long loads times the duration of one: the time that
/// they take together from a store that performs only one at full speed. Loads cannot be cancelled,
/// nothing is known about the store until one has ended, and callers of a model that returns later
/// than this have given up.
const MAX_INITIAL_WINDOW_DURATION: Duration = Duration::from_secs(25);
/// Factor by which a load at full speed that filled the window widens it, until the first slow
/// load. A store for a hundred engines performs more than eighty loads at full speed.
const INITIAL_GROWTH_FACTOR: f64 = 4.0;
/// Number of loads by which a load at full speed that filled the window widens it after the first
/// slow load, and from the beginning where loads are long: a window that is too wide by a few loads
/// then delays all of them beyond their callers' deadlines.
const GROWTH_LOADS: f64 = 0.5;
/// A load is slow if it takes more than this multiple of its duration without other loads.
const SLOW_LOAD_RATIO: f64 = 1.25;
/// Weight of one slow load in the estimate. The cause may be its engine and not the store.
const SLOW_LOAD_WEIGHT: f64 = 0.3;
/// Time for which a load at full speed shows that the store performs as many concurrent loads as
/// were in progress with it, in milliseconds. A slow load among fewer loads is then attributed to
/// its engine.
const FULL_SPEED_LIFETIME_MS: u64 = 20_000;
/// Delay until the end of a load is observed, in milliseconds. Reports lag, and engines are polled
/// only at intervals.
const OBSERVATION_DELAY_MS: u64 = 300;
/// Maximum time for which a load that may or may not have started is counted, in milliseconds. An
/// order without a response is executed within 13 s or never.
const UNCERTAIN_LOAD_LIFETIME_MS: u64 = 20_000;

/// The estimate for one weight store, which is handed to the next holder.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadConcurrencyEstimate {
    /// Number of loads that may be in progress at the same time.
    #[serde(rename = "at_once")]
    pub max_loads: f64,
    /// Whether any load was slow because of too many concurrent loads.
    #[serde(rename = "has_been_slow")]
    pub has_been_saturated: bool,
    /// Largest number of concurrent loads of which one has run at full speed, lowered with the estimate
    /// by slow loads; `None` in records of builds that do not store it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmed_loads: Option<usize>,
}

impl Default for LoadConcurrencyEstimate {
    fn default() -> Self {
        LoadConcurrencyEstimate {
            max_loads: INITIAL_MAX_LOADS,
            has_been_saturated: false,
            confirmed_loads: Some(0),
        }
    }
}

impl LoadConcurrencyEstimate {
    /// The initial estimate for a store from which one load takes `load_duration` without other
    /// loads.
    pub fn for_load_duration(load_duration: Duration) -> Self {
        let max_loads = MAX_INITIAL_WINDOW_DURATION.as_secs_f64() / load_duration.as_secs_f64();
        LoadConcurrencyEstimate {
            max_loads: max_loads.floor().clamp(1.0, INITIAL_MAX_LOADS),
            ..LoadConcurrencyEstimate::default()
        }
    }

    /// The estimate without the part that no load has confirmed, but not below the initial one.
    pub fn confirmed(self, initial: Self) -> Self {
        // Without the field, the default may be the first estimate of a holder that saw no load end.
        let is_default = !self.has_been_saturated && self.max_loads == INITIAL_MAX_LOADS;
        let confirmed = match self.confirmed_loads {
            Some(loads) => loads as f64,
            None if is_default => 0.0,
            None => self.max_loads,
        };
        LoadConcurrencyEstimate {
            max_loads: self.max_loads.min(confirmed.max(initial.max_loads)),
            ..self
        }
    }
}

/// The loads in progress and the estimated limit on their number.
#[derive(Debug)]
pub struct LoadConcurrency {
    estimate: LoadConcurrencyEstimate,
    active_loads: BTreeMap<BackEndId, ActiveLoad>,
    /// Largest number of concurrent loads of which one ran at full speed, and the time at which
    /// that was observed.
    full_speed: (usize, Timestamp),
    ended_loads: Vec<EndedLoad>,
    /// Whether loads outlast the callers of the service.
    has_long_loads: bool,
}

/// A load from the weight store that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedLoad {
    /// The engine that loaded.
    pub engine: BackEndId,
    /// Time from the order until the end, in milliseconds.
    pub duration_ms: u64,
    /// Duration without other loads.
    pub uncontended_duration: Duration,
    /// Number of loads in progress when this load started, including this load.
    pub concurrent_loads: usize,
}

impl EndedLoad {
    /// Ratio of the duration to that without other loads.
    fn slowdown(&self) -> f64 {
        self.duration_ms as f64 / self.uncontended_duration.as_millis().max(1) as f64
    }

    /// Whether the load took longer than loads at full speed do.
    pub fn is_slow(&self) -> bool {
        self.slowdown() > SLOW_LOAD_RATIO
    }
}

#[derive(Debug)]
struct ActiveLoad {
    /// Number of orders that the engine has accepted once the load has started; `None` if that is
    /// not known.
    sequence: Option<u64>,
    started_at: Timestamp,
    /// Duration of the load without other loads; `None` if the start of the load is not known.
    uncontended_duration: Option<Duration>,
    /// Number of loads in progress when this load started, including this load.
    concurrent_loads: usize,
}

impl ActiveLoad {
    fn is_counted(&self, now: Timestamp) -> bool {
        self.uncontended_duration.is_some()
            || now.since(self.started_at) < UNCERTAIN_LOAD_LIFETIME_MS
    }
}

impl LoadConcurrency {
    /// Creates a window without loads. `estimate` is the one of a previous holder, and `has_long_loads`
    /// tells whether loads outlast the callers of the service.
    pub fn new(estimate: LoadConcurrencyEstimate, has_long_loads: bool) -> Self {
        // The value comes from a stored row, which may contain any number.
        let max_loads = estimate.max_loads.max(1.0);
        LoadConcurrency {
            estimate: LoadConcurrencyEstimate {
                max_loads,
                ..estimate
            },
            active_loads: BTreeMap::new(),
            full_speed: (0, Timestamp(0)),
            ended_loads: Vec::new(),
            has_long_loads,
        }
    }

    /// The present estimate.
    pub fn estimate(&self) -> LoadConcurrencyEstimate {
        self.estimate
    }

    /// Number of loads that may be in progress at the same time.
    pub fn max_loads(&self) -> usize {
        self.estimate.max_loads as usize
    }

    /// Number of loads that count as in progress.
    pub fn active_loads(&self, now: Timestamp) -> usize {
        let loads = self.active_loads.values();
        loads.filter(|load| load.is_counted(now)).count()
    }

    /// Number of loads in progress that a previous holder ordered and no report has shown yet.
    pub fn unconfirmed_loads(&self, now: Timestamp) -> usize {
        let loads = self.active_loads.values();
        let counted = loads.filter(|load| load.is_counted(now));
        counted.filter(|load| load.sequence.is_none()).count()
    }

    /// Whether another load may start besides the loads in progress and `reserved` others.
    pub fn allows(&self, now: Timestamp, reserved: usize) -> bool {
        self.active_loads(now) + reserved < self.max_loads()
    }

    /// Records a load that is about to be ordered on an engine that has accepted `sequence` orders.
    /// `uncontended_duration` is the duration of the load without other loads.
    pub fn record_order(
        &mut self,
        now: Timestamp,
        engine: &BackEndId,
        sequence: u64,
        uncontended_duration: Duration,
    ) {
        self.active_loads.remove(engine);
        let load = ActiveLoad {
            sequence: Some(sequence + 1),
            started_at: now,
            uncontended_duration: Some(uncontended_duration),
            concurrent_loads: self.active_loads.len() + 1,
        };
        self.active_loads.insert(engine.clone(), load);
    }

    /// Records a load that a previous holder ordered at an unknown time.
    pub fn restore(&mut self, now: Timestamp, engine: &BackEndId) {
        let load = ActiveLoad {
            sequence: None,
            started_at: now,
            uncontended_duration: None,
            concurrent_loads: 0,
        };
        self.active_loads.entry(engine.clone()).or_insert(load);
    }

    /// Records that the order had no response, so the load may start at any time.
    pub fn record_no_response(&mut self, engine: &BackEndId) {
        if let Some(load) = self.active_loads.get_mut(engine) {
            load.uncontended_duration = None;
        }
    }

    /// Removes a load whose order was not accepted. It is kept if an earlier send of the order had
    /// no response, because the load may then have started; a report will show that.
    pub fn cancel_order(&mut self, engine: &BackEndId) {
        let may_have_started = |load: &ActiveLoad| load.uncontended_duration.is_none();
        if !self.active_loads.get(engine).is_some_and(may_have_started) {
            self.remove(engine);
        }
    }

    /// Removes the load of an engine that does not respond.
    pub fn remove(&mut self, engine: &BackEndId) {
        self.active_loads.remove(engine);
    }

    /// Removes the loads of engines for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(&BackEndId) -> bool) {
        self.active_loads.retain(|engine, _| known(engine));
    }

    /// Records that an engine that has accepted `sequence` orders reports no order in progress.
    pub fn record_idle(&mut self, now: Timestamp, engine: &BackEndId, sequence: u64) {
        let has_ended = |load: &ActiveLoad| {
            load.sequence
                .is_none_or(|first_sequence| sequence >= first_sequence)
        };
        if !self.active_loads.get(engine).is_some_and(has_ended) {
            return;
        }
        if let Some(load) = self.active_loads.remove(engine)
            && let Some(uncontended_duration) = load.uncontended_duration
        {
            let ended = EndedLoad {
                engine: engine.clone(),
                duration_ms: now
                    .since(load.started_at)
                    .saturating_sub(OBSERVATION_DELAY_MS),
                uncontended_duration,
                concurrent_loads: load.concurrent_loads,
            };
            self.record_ended_load(now, &ended);
            self.ended_loads.push(ended);
        }
    }

    /// Returns the loads that have ended since the last call.
    pub fn take_ended_loads(&mut self) -> Vec<EndedLoad> {
        std::mem::take(&mut self.ended_loads)
    }

    /// Updates the estimate for a load that has ended.
    fn record_ended_load(&mut self, now: Timestamp, ended: &EndedLoad) {
        let concurrent_loads = ended.concurrent_loads;
        let (full_speed_loads, full_speed_at) = self.full_speed;
        let is_within_full_speed = concurrent_loads <= full_speed_loads
            && now.since(full_speed_at) <= FULL_SPEED_LIFETIME_MS;
        if ended.is_slow() {
            if !is_within_full_speed {
                self.decrease(concurrent_loads as f64 / ended.slowdown());
            }
            return;
        }
        if !is_within_full_speed || concurrent_loads == full_speed_loads {
            self.full_speed = (concurrent_loads, now);
        }
        let confirmed_loads = self.estimate.confirmed_loads;
        self.estimate.confirmed_loads = confirmed_loads.map(|loads| loads.max(concurrent_loads));
        if concurrent_loads >= self.max_loads() {
            self.increase();
        }
    }

    /// Lowers the estimate towards the number of loads that would have run at full speed.
    fn decrease(&mut self, at_full_speed: f64) {
        let estimate = &mut self.estimate;
        estimate.has_been_saturated = true;
        let at_full_speed = at_full_speed.clamp(1.0, estimate.max_loads);
        estimate.max_loads += (at_full_speed - estimate.max_loads) * SLOW_LOAD_WEIGHT;
        let max_loads = estimate.max_loads as usize;
        estimate.confirmed_loads = estimate.confirmed_loads.map(|loads| loads.min(max_loads));
    }

    /// Raises the estimate after a load that filled the window ran at full speed.
    fn increase(&mut self) {
        let estimate = &mut self.estimate;
        if estimate.has_been_saturated || self.has_long_loads {
            estimate.max_loads += GROWTH_LOADS;
        } else {
            estimate.max_loads *= INITIAL_GROWTH_FACTOR;
        }
    }
}
