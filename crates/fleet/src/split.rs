//! Splits a route's requests over services by weight.
//!
//! A sequence of evenly spread numbers from a random start keeps the shares of
//! one node close to the weights, and those of many nodes independent.

use gorsebank_world::ServiceId;

/// Fractional part of the golden ratio: multiples of it are evenly spread.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The position of a node in its sequence, 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Split(f64);

impl Split {
    /// Starts at `start`, 0 to 1.
    pub fn new(start: f64) -> Self {
        Split(start.fract())
    }

    /// The service of the next request; none if no weight is above 0.
    pub fn next<'a>(&mut self, services: &'a [(ServiceId, u32)]) -> Option<&'a ServiceId> {
        self.0 = (self.0 + GOLDEN_FRACTION).fract();
        let total: u32 = services.iter().map(|(_, weight)| weight).sum();
        let mut left = self.0 * f64::from(total);
        let weighted = services.iter().filter(|(_, weight)| *weight > 0);
        let mut last = None;
        for (service, weight) in weighted {
            last = Some(service);
            left -= f64::from(*weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
