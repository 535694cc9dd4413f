//! How fast engines are, told among gateways.
//!
//! Each gateway sees only its own streams, so each learns for itself which
//! engine is slow, one paused stream at a time. Together they know within a
//! second or two.
//!
//! In: what each gateway has seen of late, which its demand row carries. Out: one
//! row for each service, which the placement holder writes and all gateways follow.

use std::collections::BTreeMap;

use gorsebank_world::{BackEndId, ModelId};
use serde::{Deserialize, Serialize};

/// A gateway tells of so many engines with a model at most: those it uses most ...
const MOST_SAMPLES: usize = 48;
/// ... unless there are more gateways than this, which then share the telling ...
const FEW_GATEWAYS: usize = 16;
/// ... down to so many each.
const LEAST_SAMPLES: usize = 8;
/// A row tells of so many engines with a model at most.
const MOST_TOLD: usize = 1_000;
/// More events than this give a gateway no more weight.
const MOST_WEIGHT: u32 = 100;
/// Gaps that differ by less than this part are the same.
const SAME_GAP: f64 = 0.12;
/// Gaps are told in steps of this, in milliseconds.
const GAP_STEP: f64 = 0.1;

/// The usual time between two events of streams of one model at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GapSample {
    /// The time, in milliseconds.
    pub gap: f64,
    /// Events that it is known from.
    pub events: u32,
}

/// What one gateway has seen of the engines of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadingSample {
    /// By engine and model.
    pub engines: BTreeMap<BackEndId, BTreeMap<ModelId, GapSample>>,
    /// How much of such a time the reading of a token of a prompt takes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gaps_per_token: Option<f64>,
}

impl ReadingSample {
    /// Of all that was seen, what a row of one of so many gateways has room for.
    pub fn new(
        gateways: usize,
        seen: impl IntoIterator<Item = (BackEndId, ModelId, GapSample)>,
        gaps_per_token: Option<f64>,
    ) -> Self {
        let mut seen: Vec<_> = seen.into_iter().collect();
        let most = MOST_SAMPLES * FEW_GATEWAYS / gateways.max(FEW_GATEWAYS);
        let most = most.max(LEAST_SAMPLES);
        seen.sort_by_key(|(_, _, sample)| std::cmp::Reverse(sample.events));
        let mut engines: BTreeMap<BackEndId, BTreeMap<ModelId, GapSample>> = BTreeMap::new();
        for (engine, model, sample) in seen.into_iter().take(most) {
            let gap = rounded(sample.gap);
            let sample = GapSample { gap, ..sample };
            engines.entry(engine).or_default().insert(model, sample);
        }
        ReadingSample {
            engines,
            gaps_per_token,
        }
    }

    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty() && self.gaps_per_token.is_none()
    }
}

/// What all gateways together have seen of the engines of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadingRow {
    /// Milliseconds between two events, by engine and model.
    pub engines: BTreeMap<BackEndId, BTreeMap<ModelId, f64>>,
    /// How much of such a time the reading of a token of a prompt takes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gaps_per_token: Option<f64>,
}

impl ReadingRow {
    /// Puts together what gateways have seen; each counts by its events.
    pub fn merge<'a>(samples: impl IntoIterator<Item = &'a ReadingSample>) -> Self {
        let mut sums: BTreeMap<(&BackEndId, &ModelId), (f64, f64)> = BTreeMap::new();
        let mut per_token = Vec::new();
        for sample in samples {
            per_token.extend(sample.gaps_per_token);
            for (engine, models) in &sample.engines {
                for (model, seen) in models {
                    let weight = f64::from(seen.events.min(MOST_WEIGHT));
                    let sum = sums.entry((engine, model)).or_default();
                    sum.0 += weight * seen.gap;
                    sum.1 += weight;
                }
            }
        }
        let mut row = ReadingRow {
            engines: BTreeMap::new(),
            gaps_per_token: median(per_token),
        };
        let known = sums.into_iter().filter(|(_, (_, weight))| *weight > 0.0);
        for ((engine, model), (sum, weight)) in known.take(MOST_TOLD) {
            let models = row.engines.entry(engine.clone()).or_default();
            models.insert(model.clone(), rounded(sum / weight));
        }
        row
    }

    /// Keeps what an earlier row says and this one does not, of engines that are
    /// still there: nobody may have used them of late.
    pub fn keep(&mut self, earlier: &ReadingRow, is_there: impl Fn(&BackEndId) -> bool) {
        self.gaps_per_token = self.gaps_per_token.or(earlier.gaps_per_token);
        let mut room = MOST_TOLD.saturating_sub(self.engines.values().map(BTreeMap::len).sum());
        for (engine, models) in earlier.engines.iter().filter(|(id, _)| is_there(id)) {
            for (model, gap) in models {
                let known = self.engines.get(engine);
                if room == 0 || known.is_some_and(|models| models.contains_key(model)) {
                    continue;
                }
                room -= 1;
                let models = self.engines.entry(engine.clone()).or_default();
                models.insert(model.clone(), *gap);
            }
        }
    }

    /// Whether it says something that `told` does not.
    pub fn is_news(&self, told: &ReadingRow) -> bool {
        let same = |one: f64, other: f64| (one - other).abs() <= SAME_GAP * other;
        let per_token = match (self.gaps_per_token, told.gaps_per_token) {
            (Some(one), Some(other)) => same(one, other),
            (one, other) => one == other,
        };
        let gaps = self.engines.iter().all(|(engine, models)| {
            models.iter().all(|(model, gap)| {
                let known = told.gap(engine, model);
                known.is_some_and(|known| same(*gap, known))
            })
        });
        let nobody_left = told.engines.keys().all(|id| self.engines.contains_key(id));
        !(per_token && gaps && nobody_left)
    }

    /// Milliseconds between two events of a model's streams at an engine.
    pub fn gap(&self, engine: &BackEndId, model: &ModelId) -> Option<f64> {
        self.engines.get(engine)?.get(model).copied()
    }
}

fn rounded(gap: f64) -> f64 {
    (gap / GAP_STEP).round() * GAP_STEP
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
