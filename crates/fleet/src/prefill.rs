//! Estimates how long an engine's prefill of a prompt takes, from observations of its streams.
//!
//! An engine prefills prompts between the tokens of its running streams, so a long prompt delays
//! all of them. The prefill time per token and the gap between two events of a stream grow alike
//! with the size of the model and the slowness of the engine. Gaps are observed dozens of times in
//! each stream. The ratio of the prefill time of one token to the gap is one number for all engines
//! of a service.
//!
//! Input: gaps between events, times of first events, and the observations of other gateways.
//! Output: prefill times.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{BackEndId, ModelId};

use crate::prefill_speed::{GapSample, PrefillSpeedRow, PrefillSpeedSample};

/// Step, relative to the estimate, by which one gap changes the estimate of the model.
const MODEL_STEP: f64 = 0.04;
/// Step, relative to the estimate, by which one gap changes the estimate of the engine.
const ENGINE_STEP: f64 = 0.015;
/// Decay with which each gap moves an engine's slowness back towards 1, so that what is common to
/// all engines is attributed to the model.
const ENGINE_DECAY: f64 = 0.01;
/// Relative step by which each of the first [`INITIAL_EVENTS`] gaps changes the estimate of a model
/// at an engine.
const INITIAL_PAIR_STEP: f64 = 0.1;
/// Number of events for which [`INITIAL_PAIR_STEP`] applies.
const INITIAL_EVENTS: u32 = 20;
/// Relative step by which each later gap changes the estimate of a model at an engine.
const PAIR_STEP: f64 = 0.02;
/// Number of recent own events from which the own estimate is preferred to that of other gateways.
const MIN_OWN_EVENTS: u32 = 40;
/// Maximum age of the last own event for which the own estimate is preferred.
const OWN_ESTIMATE_LIFETIME_MS: u64 = 5_000;
/// Maximum age of the last event for which an estimate is sent to other gateways.
const SAMPLE_LIFETIME_MS: u64 = 10_000;
/// Time without events after which an engine's estimates are dropped.
const ENGINE_LIFETIME_MS: u64 = 120_000;
/// Fraction of the difference by which a prefill that was faster than estimated changes the
/// estimate.
const FASTER_STEP: f64 = 0.3;
/// Relative step by which a prefill that was slower than estimated raises the estimate. The step is
/// small, since most of these requests have waited for something else.
const SLOWER_STEP: f64 = 0.02;
/// Length of a prompt below which its prefill time is not used, since it says little.
const MIN_TOKENS: u32 = 600;
/// Lower bound of gaps.
const MIN_GAP_MS: f64 = 0.5;
/// Lower and upper bound of an engine's slowness relative to other engines.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 20.0);

/// Gaps of the streams of one model at one engine.
#[derive(Clone, Copy, Debug)]
struct PairGap {
    /// Estimated median of the gap between two events, in milliseconds.
    gap: f64,
    events: u32,
    updated: Timestamp,
}

impl PairGap {
    fn record(&mut self, now: Timestamp, gap: f64) {
        let step = if self.events < INITIAL_EVENTS {
            INITIAL_PAIR_STEP
        } else {
            PAIR_STEP
        };
        self.gap = (self.gap * (1.0 + step * direction(gap, self.gap))).max(MIN_GAP_MS);
        self.events = self.events.saturating_add(1);
        self.updated = now;
    }
}

/// This gateway's observations of one engine.
#[derive(Clone, Debug)]
struct EngineEstimates {
    /// Slowness relative to other engines, independent of the model.
    slowness: f64,
    models: HashMap<ModelId, PairGap>,
}

impl Default for EngineEstimates {
    fn default() -> Self {
        EngineEstimates {
            slowness: 1.0,
            models: HashMap::new(),
        }
    }
}

/// Estimates for the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct PrefillModel {
    /// Estimated median of the gap between two events by model, in milliseconds.
    gaps: HashMap<ModelId, f64>,
    engines: HashMap<BackEndId, EngineEstimates>,
    gaps_per_token: Option<f64>,
    received: PrefillSpeedRow,
}

impl PrefillModel {
    /// Records a gap of `gap` milliseconds between two events of a stream. The median gap is
    /// estimated as the product of two factors, the model's gap and the engine's slowness, and
    /// also for each pair of model and engine.
    pub fn record_gap(&mut self, now: Timestamp, engine: &BackEndId, model: &ModelId, gap: f64) {
        let gap = gap.max(MIN_GAP_MS);
        let estimates = match self.engines.get_mut(engine) {
            Some(estimates) => estimates,
            None => self.engines.entry(engine.clone()).or_default(),
        };
        match estimates.models.get_mut(model) {
            Some(pair) => pair.record(now, gap),
            None => {
                let first = PairGap {
                    gap,
                    events: 1,
                    updated: now,
                };
                estimates.models.insert(model.clone(), first);
            }
        }
        let Some(model_gap) = self.gaps.get_mut(model) else {
            let model_gap = (gap / estimates.slowness).max(MIN_GAP_MS);
            self.gaps.insert(model.clone(), model_gap);
            return;
        };
        let direction = direction(gap, *model_gap * estimates.slowness);
        *model_gap = (*model_gap * (1.0 + direction * MODEL_STEP)).max(MIN_GAP_MS);
        let slowness = estimates.slowness * (1.0 + direction * ENGINE_STEP);
        let decayed = slowness * slowness.powf(-ENGINE_DECAY);
        estimates.slowness = decayed.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
    }

    /// Records that the first event for a prompt of `tokens` came after `latency` milliseconds.
    pub fn record_prefill(
        &mut self,
        now: Timestamp,
        engine: &BackEndId,
        model: &ModelId,
        latency: f64,
        tokens: u32,
    ) {
        if tokens < MIN_TOKENS {
            return;
        }
        let Some(gap) = self.gap(now, engine, model) else {
            return;
        };
        let sample = latency / (f64::from(tokens) * gap);
        self.gaps_per_token = Some(match self.gaps_per_token {
            None => sample,
            Some(known) if sample < known => known + FASTER_STEP * (sample - known),
            Some(known) => known * (1.0 + SLOWER_STEP),
        });
    }

    /// Estimated time in milliseconds of the engine's prefill of `tokens`, if it is known.
    pub fn prefill_time(
        &self,
        now: Timestamp,
        engine: &BackEndId,
        model: &ModelId,
        tokens: u32,
    ) -> Option<f64> {
        let per_token = self.received.gaps_per_token.or(self.gaps_per_token)?;
        Some(per_token * f64::from(tokens) * self.gap(now, engine, model)?)
    }

    /// Sets the merged observations of all gateways.
    pub fn set_merged(&mut self, received: PrefillSpeedRow) {
        self.received = received;
    }

    /// Recent observations of this gateway, which is one of `gateways`, for the other gateways.
    /// Drops the estimates of engines that are no longer used.
    pub fn sample(&mut self, now: Timestamp, gateways: usize) -> PrefillSpeedSample {
        let is_used = |pair: &PairGap| now.since(pair.updated) < ENGINE_LIFETIME_MS;
        self.engines
            .retain(|_, engine| engine.models.values().any(is_used));
        let pairs = self.engines.iter().flat_map(|(id, engine)| {
            let models = engine.models.iter();
            models.map(move |(model, pair)| (id, model, pair))
        });
        let recent = pairs.filter(|(_, _, pair)| now.since(pair.updated) < SAMPLE_LIFETIME_MS);
        let estimates = recent.map(|(id, model, pair)| {
            let sample = GapSample {
                gap: pair.gap,
                events: pair.events,
            };
            (id.clone(), model.clone(), sample)
        });
        PrefillSpeedSample::new(gateways, estimates, self.gaps_per_token)
    }

    /// Gap in milliseconds between two events of a model's streams at an engine. The estimate is
    /// taken from recent own events, else from other gateways' observations, else from the engine's
    /// slowness with other models and the model's gap at other engines.
    pub fn gap(&self, now: Timestamp, engine: &BackEndId, model: &ModelId) -> Option<f64> {
        let estimates = self.engines.get(engine);
        let pair = estimates.and_then(|estimates| estimates.models.get(model));
        let is_reliable = |pair: &&PairGap| {
            pair.events >= MIN_OWN_EVENTS && now.since(pair.updated) < OWN_ESTIMATE_LIFETIME_MS
        };
        if let Some(pair) = pair.filter(is_reliable) {
            return Some(pair.gap);
        }
        if let Some(gap) = self.received.gap(engine, model) {
            return Some(gap);
        }
        let slowness = estimates.map_or(1.0, |estimates| estimates.slowness);
        Some(self.gaps.get(model)? * slowness)
    }
}

/// Direction in which a sample moves an estimated median.
fn direction(sample: f64, median: f64) -> f64 {
    if sample > median { 1.0 } else { -1.0 }
}
