//! How long an idle artifact stays loaded.
//!
//! In: when each artifact became idle and busy again. Out: a keep-alive time.
//! Each artifact has a histogram of its idle times, after Shahrad et al.
//! (USENIX ATC 2020). A deployment's `cold_start_weight` chooses the quantile:
//! the more it weighs cold starts, the more of the returns are covered.

use std::collections::HashMap;

use gorsebank_world::Artifact;

use crate::settings::PlacementSettings;

/// Width of a histogram bin in milliseconds.
const BIN_WIDTH: u64 = 60_000;
/// Bins; longer idle times count as out of range.
const BINS: usize = 60;
/// Idle times needed before the histogram is trusted.
const TRUSTED_COUNT: u32 = 4;
/// A histogram is not followed if more than this share of idle times is out
/// of range.
const MAX_OUT_OF_RANGE: f64 = 0.5;

/// Idle times of one artifact.
#[derive(Clone, Debug)]
struct IdleHistogram {
    bins: [u8; BINS],
    out_of_range: u8,
}

impl Default for IdleHistogram {
    fn default() -> Self {
        IdleHistogram {
            bins: [0; BINS],
            out_of_range: 0,
        }
    }
}

impl IdleHistogram {
    fn add(&mut self, idle: u64) {
        let index = (idle / BIN_WIDTH) as usize;
        let count = match self.bins.get_mut(index) {
            Some(bin) => bin,
            None => &mut self.out_of_range,
        };
        *count = count.saturating_add(1);
        if *count == u8::MAX {
            self.halve();
        }
    }

    fn halve(&mut self) {
        for bin in &mut self.bins {
            *bin /= 2;
        }
        self.out_of_range /= 2;
    }

    fn in_range(&self) -> u32 {
        self.bins.iter().map(|bin| u32::from(*bin)).sum()
    }

    /// The idle time that `quantile` of the returns come within, if the
    /// histogram can tell.
    fn quantile(&self, quantile: f64) -> Option<u64> {
        let in_range = self.in_range();
        let total = in_range + u32::from(self.out_of_range);
        let is_scattered = f64::from(self.out_of_range) > f64::from(total) * MAX_OUT_OF_RANGE;
        if total < TRUSTED_COUNT || is_scattered {
            return None;
        }
        let wanted = (f64::from(in_range) * quantile).ceil() as u32;
        let mut seen = 0;
        for (index, bin) in self.bins.iter().enumerate() {
            seen += u32::from(*bin);
            if seen >= wanted {
                return Some((index as u64 + 1) * BIN_WIDTH);
            }
        }
        None
    }
}

/// Keep-alive times from what was seen of each artifact.
#[derive(Debug, Default)]
pub struct KeepAlivePolicy {
    histograms: HashMap<Artifact, IdleHistogram>,
}

impl KeepAlivePolicy {
    /// Notes that an artifact was wanted again after `idle` milliseconds.
    pub fn returned(&mut self, artifact: &Artifact, idle: u64) {
        self.histograms
            .entry(artifact.clone())
            .or_default()
            .add(idle);
    }

    /// How long an artifact stays loaded without use, in milliseconds.
    pub fn keep_alive(
        &self,
        artifact: &Artifact,
        cold_start_weight: f64,
        settings: &PlacementSettings,
    ) -> u64 {
        let range = settings
            .keep_alive_max
            .saturating_sub(settings.keep_alive_min);
        let unknown = settings.keep_alive_min + (range as f64 * cold_start_weight) as u64;
        self.histograms
            .get(artifact)
            .and_then(|histogram| histogram.quantile(cold_start_weight))
            .unwrap_or(unknown)
            .clamp(settings.keep_alive_min, settings.keep_alive_max)
    }
}
