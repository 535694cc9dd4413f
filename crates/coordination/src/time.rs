//! Represents time in the decision logic, as numbers that the host passes in, and
//! provides a periodic timer.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Milliseconds since an origin that the host chooses. Timestamps of different
/// nodes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the milliseconds from `earlier` to this timestamp; 0 if `earlier` is
    /// later.
    pub fn since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Timestamp {
    type Output = Timestamp;

    fn add(self, milliseconds: u64) -> Timestamp {
        Timestamp(self.0.saturating_add(milliseconds))
    }
}

impl Sub<u64> for Timestamp {
    type Output = Timestamp;

    fn sub(self, milliseconds: u64) -> Timestamp {
        Timestamp(self.0.saturating_sub(milliseconds))
    }
}

/// Periodic timer.
#[derive(Clone, Copy, Debug)]
pub struct Periodic {
    /// Interval in milliseconds.
    interval: u64,
    next: Timestamp,
}

impl Periodic {
    /// Creates a timer that is due immediately, and then every `interval`
    /// milliseconds.
    pub fn every(interval: u64) -> Self {
        Periodic {
            interval,
            next: Timestamp(0),
        }
    }

    /// Returns whether the timer is due; if so, schedules its next time.
    pub fn due(&mut self, now: Timestamp) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + self.interval;
        true
    }

    /// Makes the timer due immediately.
    pub fn make_due(&mut self) {
        self.next = Timestamp(0);
    }
}
