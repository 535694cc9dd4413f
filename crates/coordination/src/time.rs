//! Time as the decision logic sees it: a number that the host passes in.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Milliseconds since a start that the host chose. Never compared between nodes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Milliseconds from `earlier` to this; 0 if `earlier` is later.
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

/// Repeats something at an interval.
#[derive(Clone, Copy, Debug)]
pub struct Periodic {
    interval: u64,
    next: Timestamp,
}

impl Periodic {
    /// Due at once, then every `interval` milliseconds.
    pub fn every(interval: u64) -> Self {
        Periodic {
            interval,
            next: Timestamp(0),
        }
    }

    /// Whether it is due; if so, the next time is set.
    pub fn due(&mut self, now: Timestamp) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + self.interval;
        true
    }

    /// Makes it due at once.
    pub fn hurry(&mut self) {
        self.next = Timestamp(0);
    }
}
