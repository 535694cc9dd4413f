//! Finds rows of engines and gateways that no longer exist.
//!
//! Input: the rows without a live owner. Output: the rows that may be removed: those that were not
//! written for their lifetime, by the monotonic clock of the process that sweeps. A row is removed
//! on the condition that it still has the version that was seen, so a row whose owner writes it
//! again is never lost.

use std::collections::BTreeMap;

use gorsebank_coordination::Timestamp;

/// Rows of the last call of [`Sweep::observe`], with when their versions were first seen.
#[derive(Debug)]
pub struct Sweep {
    lifetime_ms: u64,
    seen: BTreeMap<String, (u64, Timestamp)>,
}

impl Sweep {
    /// Rows may be removed `lifetime_ms` milliseconds after their last write.
    pub fn new(lifetime_ms: u64) -> Self {
        Sweep {
            lifetime_ms,
            seen: BTreeMap::new(),
        }
    }

    /// Records the rows of the table that have no live owner, with their versions. Returns those
    /// that may be removed now.
    pub fn observe(&mut self, now: Timestamp, rows: &[(String, u64)]) -> Vec<(String, u64)> {
        let mut seen = BTreeMap::new();
        let mut expired = Vec::new();
        for (key, version) in rows {
            let since = match self.seen.get(key) {
                Some((known, since)) if known == version => *since,
                _ => now,
            };
            if now.since(since) >= self.lifetime_ms {
                expired.push((key.clone(), *version));
            }
            seen.insert(key.clone(), (*version, since));
        }
        self.seen = seen;
        expired
    }
}
