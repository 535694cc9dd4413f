//! Requests that were served of late.

use std::collections::HashSet;

use gorsebank_coordination::Timestamp;

use crate::Fingerprint;

/// A request that was served within this time, or up to twice as long ago, is vouched for,
/// in milliseconds. Longer than that, a back end or an adapter may have changed.
const VOUCH_TIME: u64 = 15_000;
/// Requests that are remembered at most in one such time.
const MOST: usize = 4_096;

/// Requests that were served, in two spans of time.
#[derive(Debug, Default)]
pub struct RecentlyServed {
    present: HashSet<Fingerprint>,
    former: HashSet<Fingerprint>,
    since: Timestamp,
}

impl RecentlyServed {
    /// It was served.
    pub fn note(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.turn(now);
        if self.present.len() < MOST {
            self.present.insert(fingerprint);
        }
    }

    /// Whether it was served of late.
    pub fn contains(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.turn(now);
        self.present.contains(&fingerprint) || self.former.contains(&fingerprint)
    }

    fn turn(&mut self, now: Timestamp) {
        let age = now.since(self.since);
        if age < VOUCH_TIME {
            return;
        }
        self.former = std::mem::take(&mut self.present);
        if age >= 2 * VOUCH_TIME {
            self.former.clear();
        }
        self.since = now;
    }
}
