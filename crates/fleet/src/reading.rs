//! How long an engine reads a prompt, fitted from what its streams show.
//!
//! An engine reads prompts between the tokens of the streams it runs, so a long
//! prompt makes all of them pause. Both times grow alike with the size of the
//! model and the slowness of the engine. The time between two events is seen
//! dozens of times in each stream; how much longer it takes to read a token is
//! one number for all engines of a service.
//!
//! In: gaps between events, times of first events. Out: times of readings.

use std::collections::HashMap;

use gorsebank_world::ModelId;

/// One gap moves what is believed of the model by this part ...
const MODEL_STEP: f64 = 0.04;
/// ... and what is believed of the engine by this part.
const ENGINE_STEP: f64 = 0.015;
/// With each gap an engine's slowness returns to that of the others so far: what
/// all engines show is the model's.
const ENGINE_RETURN: f64 = 0.01;
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

/// How slow an engine is against others; 1 until something is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness(f64);

impl Default for Slowness {
    fn default() -> Self {
        Slowness(1.0)
    }
}

/// What is known of the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct ReadingModel {
    /// Median time between two events by model, in milliseconds.
    gaps: HashMap<ModelId, f64>,
    gaps_per_token: Option<f64>,
}

impl ReadingModel {
    /// Two events of a stream came `gap` milliseconds apart. The median of a
    /// product of two factors is followed: the model's and the engine's.
    pub fn note_gap(&mut self, model: &ModelId, slowness: &mut Slowness, gap: f64) {
        let Some(usual) = self.gaps.get_mut(model) else {
            let usual = (gap / slowness.0).max(LEAST_GAP);
            self.gaps.insert(model.clone(), usual);
            return;
        };
        let direction = if gap > *usual * slowness.0 { 1.0 } else { -1.0 };
        *usual = (*usual * (1.0 + direction * MODEL_STEP)).max(LEAST_GAP);
        let moved = slowness.0 * (1.0 + direction * ENGINE_STEP);
        let returned = moved * moved.powf(-ENGINE_RETURN);
        slowness.0 = returned.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
    }

    /// A prompt of `tokens` had its first event after `latency` milliseconds.
    pub fn note_reading(&mut self, model: &ModelId, slowness: Slowness, latency: f64, tokens: u32) {
        let Some(gap) = self.gap(model, slowness).filter(|_| tokens >= LEAST_TOKENS) else {
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
    pub fn time(&self, model: &ModelId, slowness: Slowness, tokens: u32) -> Option<f64> {
        Some(self.gaps_per_token? * f64::from(tokens) * self.gap(model, slowness)?)
    }

    fn gap(&self, model: &ModelId, slowness: Slowness) -> Option<f64> {
        Some(self.gaps.get(model)? * slowness.0)
    }
}
