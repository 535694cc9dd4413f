//! Requests that were served recently.
//!
//! Input: requests that were served. Output: whether a request was served within the last one or
//! two intervals.

use std::collections::HashSet;

use gorsebank_coordination::Timestamp;

use crate::Fingerprint;

/// Length of an interval. A request counts as recently served for one to two intervals; after a
/// longer time, a back end or an adapter may have changed.
const INTERVAL_MS: u64 = 15_000;
/// Maximum number of requests that are remembered per interval.
const MAX_PER_INTERVAL: usize = 4_096;

/// Requests that were served in the current and in the previous interval.
#[derive(Debug, Default)]
pub struct RecentlyServed {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    interval_start: Timestamp,
}

impl RecentlyServed {
    /// Records that the request was served.
    pub fn record(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.rotate(now);
        if self.current.len() < MAX_PER_INTERVAL {
            self.current.insert(fingerprint);
        }
    }

    /// Whether the request was served recently.
    pub fn contains(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.rotate(now);
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    fn rotate(&mut self, now: Timestamp) {
        let age = now.since(self.interval_start);
        if age < INTERVAL_MS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= 2 * INTERVAL_MS {
            self.previous.clear();
        }
        self.interval_start = now;
    }
}
