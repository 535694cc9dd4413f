//! Exchange of the engines' measured speed between gateways.
//!
//! Each gateway observes only its own streams, so alone it would notice each slow engine only after
//! a delayed stream of its own. Together the gateways notice it within a second or two.
//!
//! Input: the recent observations of each gateway, as part of its demand row. Output: one row per
//! service, which the placement holder writes and all gateways follow.

use std::collections::BTreeMap;

use gorsebank_world::{BackEndId, ModelId};
use serde::{Deserialize, Serialize};

/// Maximum number of pairs of engine and model in a gateway's sample; the most used ones are kept.
const MAX_SAMPLES: usize = 48;
/// Number of gateways above which the maximum is reduced, so that all samples together stay within
/// a constant size.
const FULL_SAMPLE_GATEWAYS: usize = 16;
/// Lower bound of the reduced maximum.
const MIN_SAMPLES: usize = 8;
/// Maximum number of pairs of engine and model in a row.
const MAX_ROW_ENTRIES: usize = 1_000;
/// Number of events above which a sample's weight does not increase.
const MAX_SAMPLE_WEIGHT: u32 = 100;
/// Relative difference up to which two gaps count as equal.
const GAP_TOLERANCE: f64 = 0.12;
/// Step to which gaps are rounded before they are sent.
const GAP_STEP_MS: f64 = 0.1;

/// Typical gap between two events of one model's streams at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GapSample {
    /// The gap, in milliseconds.
    pub gap: f64,
    /// Number of events from which the gap was estimated.
    pub events: u32,
}

/// One gateway's observations of the engines of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PrefillSpeedSample {
    /// Gaps by engine and model.
    pub engines: BTreeMap<BackEndId, BTreeMap<ModelId, GapSample>>,
    /// Prefill time of one token, as a multiple of the gap.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gaps_per_token: Option<f64>,
}

impl PrefillSpeedSample {
    /// Selects the most used of the observed pairs, as many as a row of one of `gateways` gateways
    /// may contain.
    pub fn new(
        gateways: usize,
        observed: impl IntoIterator<Item = (BackEndId, ModelId, GapSample)>,
        gaps_per_token: Option<f64>,
    ) -> Self {
        let mut observed: Vec<_> = observed.into_iter().collect();
        let max_samples = MAX_SAMPLES * FULL_SAMPLE_GATEWAYS / gateways.max(FULL_SAMPLE_GATEWAYS);
        let max_samples = max_samples.max(MIN_SAMPLES);
        observed.sort_by_key(|(_, _, sample)| std::cmp::Reverse(sample.events));
        let mut engines: BTreeMap<BackEndId, BTreeMap<ModelId, GapSample>> = BTreeMap::new();
        for (engine, model, sample) in observed.into_iter().take(max_samples) {
            let gap = round_gap(sample.gap);
            let sample = GapSample { gap, ..sample };
            engines.entry(engine).or_default().insert(model, sample);
        }
        PrefillSpeedSample {
            engines,
            gaps_per_token,
        }
    }

    /// Whether the sample contains no observations.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty() && self.gaps_per_token.is_none()
    }
}

/// Merged observations of all gateways of the engines of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PrefillSpeedRow {
    /// Gaps in milliseconds by engine and model.
    pub engines: BTreeMap<BackEndId, BTreeMap<ModelId, f64>>,
    /// Prefill time of one token, as a multiple of the gap.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gaps_per_token: Option<f64>,
}

impl PrefillSpeedRow {
    /// Merges the samples of gateways, weighted by their numbers of events.
    pub fn merge<'a>(samples: impl IntoIterator<Item = &'a PrefillSpeedSample>) -> Self {
        let mut sums: BTreeMap<(&BackEndId, &ModelId), (f64, f64)> = BTreeMap::new();
        let mut per_token = Vec::new();
        for sample in samples {
            per_token.extend(sample.gaps_per_token);
            for (engine, models) in &sample.engines {
                for (model, observed) in models {
                    let weight = f64::from(observed.events.min(MAX_SAMPLE_WEIGHT));
                    let sum = sums.entry((engine, model)).or_default();
                    sum.0 += weight * observed.gap;
                    sum.1 += weight;
                }
            }
        }
        let mut row = PrefillSpeedRow {
            engines: BTreeMap::new(),
            gaps_per_token: median(per_token),
        };
        let known = sums.into_iter().filter(|(_, (_, weight))| *weight > 0.0);
        for ((engine, model), (sum, weight)) in known.take(MAX_ROW_ENTRIES) {
            let models = row.engines.entry(engine.clone()).or_default();
            models.insert(model.clone(), round_gap(sum / weight));
        }
        row
    }

    /// Adds the entries of an earlier row that this row lacks, for engines that still exist: no
    /// gateway may have used these engines recently.
    pub fn fill_from(&mut self, earlier: &PrefillSpeedRow, exists: impl Fn(&BackEndId) -> bool) {
        self.gaps_per_token = self.gaps_per_token.or(earlier.gaps_per_token);
        let mut remaining =
            MAX_ROW_ENTRIES.saturating_sub(self.engines.values().map(BTreeMap::len).sum());
        for (engine, models) in earlier.engines.iter().filter(|(id, _)| exists(id)) {
            for (model, gap) in models {
                let known = self.engines.get(engine);
                if remaining == 0 || known.is_some_and(|models| models.contains_key(model)) {
                    continue;
                }
                remaining -= 1;
                let models = self.engines.entry(engine.clone()).or_default();
                models.insert(model.clone(), *gap);
            }
        }
    }

    /// Whether the row differs from `published` so much that it should be written.
    pub fn differs_from(&self, published: &PrefillSpeedRow) -> bool {
        let is_equal = |one: f64, other: f64| (one - other).abs() <= GAP_TOLERANCE * other;
        let is_ratio_equal = match (self.gaps_per_token, published.gaps_per_token) {
            (Some(one), Some(other)) => is_equal(one, other),
            (one, other) => one == other,
        };
        let are_gaps_equal = self.engines.iter().all(|(engine, models)| {
            models.iter().all(|(model, gap)| {
                let known = published.gap(engine, model);
                known.is_some_and(|known| is_equal(*gap, known))
            })
        });
        let are_engines_kept = published
            .engines
            .keys()
            .all(|id| self.engines.contains_key(id));
        !(is_ratio_equal && are_gaps_equal && are_engines_kept)
    }

    /// Gap in milliseconds between two events of a model's streams at an engine.
    pub fn gap(&self, engine: &BackEndId, model: &ModelId) -> Option<f64> {
        self.engines.get(engine)?.get(model).copied()
    }
}

fn round_gap(gap: f64) -> f64 {
    (gap / GAP_STEP_MS).round() * GAP_STEP_MS
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
