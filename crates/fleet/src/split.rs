//! Splits a route's requests over services by weight.
//!
//! Input: the services of a route with their weights. Output: the service of each request. A
//! low-discrepancy sequence with a random start keeps the shares at one node close to the weights,
//! and those of different nodes independent.

use gorsebank_world::ServiceId;

/// Fractional part of the golden ratio: the fractional parts of its multiples are evenly spread.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The current position in a node's sequence, 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct WeightedSplit(f64);

impl WeightedSplit {
    /// Starts the sequence at `start`, 0 to 1.
    pub fn new(start: f64) -> Self {
        WeightedSplit(start.fract())
    }

    /// The service of the next request; `None` if all weights are 0.
    pub fn next<'a>(&mut self, services: &'a [(ServiceId, u32)]) -> Option<&'a ServiceId> {
        self.0 = (self.0 + GOLDEN_FRACTION).fract();
        let weights = services.iter().map(|(_, weight)| f64::from(*weight));
        let mut remaining = self.0 * weights.sum::<f64>();
        let weighted = services.iter().filter(|(_, weight)| *weight > 0);
        let mut last = None;
        for (service, weight) in weighted {
            last = Some(service);
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}
