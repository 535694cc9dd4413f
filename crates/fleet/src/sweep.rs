//! Which rows of what is gone may be removed.
//!
//! Engines and gateways leave rows behind. A row goes when it was not written for
//! its lifetime, by the steady clock of the process that looks; a removal is sent
//! on the condition of the version that was seen, so a row that comes back to
//! life is never lost.

use std::collections::BTreeMap;

use gorsebank_coordination::Timestamp;

/// Rows as they were last seen, with when their version was first seen.
#[derive(Debug)]
pub struct Sweep {
    lifetime: u64,
    seen: BTreeMap<String, (u64, Timestamp)>,
}

impl Sweep {
    /// Rows live for `lifetime` milliseconds after their last write.
    pub fn new(lifetime: u64) -> Self {
        Sweep {
            lifetime,
            seen: BTreeMap::new(),
        }
    }

    /// The table has these rows, with their versions, that nothing speaks for any
    /// more. Out: those that may be removed now.
    pub fn observe(&mut self, now: Timestamp, rows: &[(String, u64)]) -> Vec<(String, u64)> {
        let mut seen = BTreeMap::new();
        let mut over = Vec::new();
        for (key, version) in rows {
            let since = match self.seen.get(key) {
                Some((known, since)) if known == version => *since,
                _ => now,
            };
            if now.since(since) >= self.lifetime {
                over.push((key.clone(), *version));
            }
            seen.insert(key.clone(), (*version, since));
        }
        self.seen = seen;
        over
    }
}
