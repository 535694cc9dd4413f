//! How long an engine reads a prompt, fitted from what its streams show.
//!
//! An engine reads prompts between the tokens of the streams it runs, so a long
//! prompt makes all of them pause. Both times grow alike with the size of the
//! model and the slowness of the engine. The time between two events is seen
//! dozens of times in each stream; how much longer it takes to read a token is
//! one number for all engines of a service.
//!
//! In: gaps between events, times of first events, what other gateways have seen.
//! Out: times of readings.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{BackEndId, ModelId};

use crate::reading_row::{GapSample, ReadingRow, ReadingSample};

/// One gap moves what is believed of the model by this part ...
const MODEL_STEP: f64 = 0.04;
/// ... and what is believed of the engine by this part.
const ENGINE_STEP: f64 = 0.015;
/// With each gap an engine's slowness returns to that of the others so far: what
/// all engines show is the model's.
const ENGINE_RETURN: f64 = 0.01;
/// One gap moves what is believed of a model at an engine by this part at first ...
const FIRST_PAIR_STEP: f64 = 0.1;
/// ... for so many events ...
const FIRST_EVENTS: u32 = 20;
/// ... and then by this part.
const PAIR_STEP: f64 = 0.02;
/// So many own events of late are believed more than what others have seen.
const OWN_EVENTS: u32 = 40;
/// Events are of late for so long, in milliseconds.
const OWN_LIFETIME: u64 = 5_000;
/// What was seen is told for so long after the last event, in milliseconds.
const SAMPLE_LIFETIME: u64 = 10_000;
/// Nothing is remembered of an engine without events for so long, in milliseconds.
const ENGINE_LIFETIME: u64 = 120_000;
/// A reading that was faster than believed moves the estimate so far towards it.
const FASTER_STEP: f64 = 0.3;
/// One that was slower raises it by this part: most of them waited for something else.
const SLOWER_STEP: f64 = 0.02;
/// Shorter readings say little, in tokens.
const LEAST_TOKENS: u32 = 600;
/// Gaps count as so long at least, in milliseconds.
const LEAST_GAP: f64 = 0.5;
/// An engine is slower or faster than others by these factors at most.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 20.0);

/// The streams of one model at one engine.
#[derive(Clone, Copy, Debug)]
struct PairGap {
    /// Median time between two events, in milliseconds.
    gap: f64,
    events: u32,
    noted: Timestamp,
}

impl PairGap {
    fn note(&mut self, now: Timestamp, gap: f64) {
        let step = if self.events < FIRST_EVENTS {
            FIRST_PAIR_STEP
        } else {
            PAIR_STEP
        };
        self.gap = (self.gap * (1.0 + step * direction(gap, self.gap))).max(LEAST_GAP);
        self.events = self.events.saturating_add(1);
        self.noted = now;
    }
}

/// What this gateway has seen of one engine.
#[derive(Clone, Debug)]
struct EngineReading {
    /// How slow it is against others, whatever the model.
    slowness: f64,
    models: HashMap<ModelId, PairGap>,
}

impl Default for EngineReading {
    fn default() -> Self {
        EngineReading {
            slowness: 1.0,
            models: HashMap::new(),
        }
    }
}

/// What is known of the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct ReadingModel {
    /// Median time between two events by model, in milliseconds.
    gaps: HashMap<ModelId, f64>,
    engines: HashMap<BackEndId, EngineReading>,
    gaps_per_token: Option<f64>,
    told: ReadingRow,
}

impl ReadingModel {
    /// Two events of a stream came `gap` milliseconds apart. The median of a
    /// product of two factors is followed, the model's and the engine's, and that
    /// of the model at the engine.
    pub fn note_gap(&mut self, now: Timestamp, engine: &BackEndId, model: &ModelId, gap: f64) {
        let gap = gap.max(LEAST_GAP);
        let seen = match self.engines.get_mut(engine) {
            Some(seen) => seen,
            None => self.engines.entry(engine.clone()).or_default(),
        };
        match seen.models.get_mut(model) {
            Some(pair) => pair.note(now, gap),
            None => {
                let first = PairGap {
                    gap,
                    events: 1,
                    noted: now,
                };
                seen.models.insert(model.clone(), first);
            }
        }
        let Some(usual) = self.gaps.get_mut(model) else {
            let usual = (gap / seen.slowness).max(LEAST_GAP);
            self.gaps.insert(model.clone(), usual);
            return;
        };
        let direction = direction(gap, *usual * seen.slowness);
        *usual = (*usual * (1.0 + direction * MODEL_STEP)).max(LEAST_GAP);
        let moved = seen.slowness * (1.0 + direction * ENGINE_STEP);
        let returned = moved * moved.powf(-ENGINE_RETURN);
        seen.slowness = returned.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
    }

    /// A prompt of `tokens` had its first event after `latency` milliseconds.
    pub fn note_reading(
        &mut self,
        now: Timestamp,
        engine: &BackEndId,
        model: &ModelId,
        latency: f64,
        tokens: u32,
    ) {
        if tokens < LEAST_TOKENS {
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

    /// Milliseconds in which the engine reads `tokens`, if that is known.
    pub fn time(
        &self,
        now: Timestamp,
        engine: &BackEndId,
        model: &ModelId,
        tokens: u32,
    ) -> Option<f64> {
        let per_token = self.told.gaps_per_token.or(self.gaps_per_token)?;
        Some(per_token * f64::from(tokens) * self.gap(now, engine, model)?)
    }

    /// What all gateways together have seen.
    pub fn adopt(&mut self, told: ReadingRow) {
        self.told = told;
    }

    /// What this gateway, one of so many, tells of what it has seen of late. Forgets
    /// engines that it no longer uses.
    pub fn sample(&mut self, now: Timestamp, gateways: usize) -> ReadingSample {
        let used = |pair: &PairGap| now.since(pair.noted) < ENGINE_LIFETIME;
        self.engines
            .retain(|_, engine| engine.models.values().any(used));
        let pairs = self.engines.iter().flat_map(|(id, engine)| {
            let models = engine.models.iter();
            models.map(move |(model, pair)| (id, model, pair))
        });
        let fresh = pairs.filter(|(_, _, pair)| now.since(pair.noted) < SAMPLE_LIFETIME);
        let seen = fresh.map(|(id, model, pair)| {
            let sample = GapSample {
                gap: pair.gap,
                events: pair.events,
            };
            (id.clone(), model.clone(), sample)
        });
        ReadingSample::new(gateways, seen, self.gaps_per_token)
    }

    /// Milliseconds between two events of a model's streams at an engine: own events
    /// of late, else what others have seen, else what the engine is like
    /// with other models and the model at other engines.
    pub fn gap(&self, now: Timestamp, engine: &BackEndId, model: &ModelId) -> Option<f64> {
        let seen = self.engines.get(engine);
        let pair = seen.and_then(|seen| seen.models.get(model));
        let is_sure =
            |pair: &&PairGap| pair.events >= OWN_EVENTS && now.since(pair.noted) < OWN_LIFETIME;
        if let Some(pair) = pair.filter(is_sure) {
            return Some(pair.gap);
        }
        if let Some(told) = self.told.gap(engine, model) {
            return Some(told);
        }
        let slowness = seen.map_or(1.0, |seen| seen.slowness);
        Some(self.gaps.get(model)? * slowness)
    }
}

/// Up or down: a median moves by the side on which a sample lies.
fn direction(sample: f64, median: f64) -> f64 {
    if sample > median { 1.0 } else { -1.0 }
}
