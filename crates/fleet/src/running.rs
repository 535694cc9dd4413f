//! Number of requests that all gateways together have running at each back end.
//!
//! In a fleet of hundreds of gateways, each gateway sees about one request per second, so its own
//! requests in flight say little about the load of a back end. Each gateway therefore sends its
//! parent the counts of itself and its children, the roots exchange their sums, and the totals
//! come back together with the updates of the tables.
//!
//! Inputs: counts of this gateway, of its children and of other roots, and the totals received
//! from the parent. Output: the totals. They are some hundred milliseconds old, so they are only
//! used as a weight in the choice of a back end.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use gorsebank_world::BackEndId;
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a count that was not received again is dropped. It limits how long a gateway
/// that has changed to another parent is counted twice.
const COUNT_LIFETIME_MS: u64 = 1_200;

/// Short identifier of a back end: a hash, since full names would take most of the message's bytes.
pub type BackEndHash = u32;

/// Running requests by back end; back ends without any are omitted.
pub type Counts = Vec<(BackEndHash, u16)>;

/// The hash of a back end's name.
pub fn hash(id: &BackEndId) -> BackEndHash {
    xxh3_64(id.as_str().as_bytes()) as BackEndHash
}

/// Counts that were received from other gateways.
#[derive(Debug, Default)]
pub struct Running {
    /// Counts received from children, each including the child's own children.
    children: HashMap<String, (Counts, Timestamp)>,
    /// Counts received from other roots, each including all gateways below that root.
    roots: HashMap<String, (Counts, Timestamp)>,
    /// Totals over all gateways as received from the parent, less the count that this gateway had
    /// contributed to them.
    others: HashMap<BackEndHash, u32>,
    others_received: Option<Timestamp>,
}

impl Running {
    /// Records the counts of a child, which include those of the child's children.
    pub fn record_child(&mut self, now: Timestamp, from: &str, counts: Counts) {
        self.children.insert(from.to_owned(), (counts, now));
    }

    /// Records the counts of another root, which include all gateways below that root.
    pub fn record_root(&mut self, now: Timestamp, from: &str, counts: Counts) {
        self.roots.insert(from.to_owned(), (counts, now));
    }

    /// Counts of this gateway and all gateways below it; `own` contains this gateway's
    /// counts.
    pub fn subtree_counts(&mut self, now: Timestamp, own: &Counts) -> Counts {
        retain_fresh(&mut self.children, now);
        sum_counts(
            self.children
                .values()
                .map(|(counts, _)| counts)
                .chain([own]),
        )
    }

    /// Totals over all gateways, computed at a root from its own subtree and the other roots'
    /// counts.
    pub fn root_totals(&mut self, now: Timestamp, own: &Counts) -> Counts {
        let below = self.subtree_counts(now, own);
        retain_fresh(&mut self.roots, now);
        sum_counts(
            self.roots
                .values()
                .map(|(counts, _)| counts)
                .chain([&below]),
        )
    }

    /// Records the totals over all gateways; `own` contains the counts that this gateway
    /// contributed.
    pub fn record_totals(&mut self, now: Timestamp, sums: &Counts, own: &Counts) {
        self.others = sums
            .iter()
            .map(|(back_end, count)| (*back_end, u32::from(*count)))
            .collect();
        for (back_end, count) in own {
            if let Some(others) = self.others.get_mut(back_end) {
                *others = others.saturating_sub(u32::from(*count));
            }
        }
        self.others_received = Some(now);
    }

    /// Requests that other gateways have running at a back end; 0 if unknown.
    pub fn running_elsewhere(&self, now: Timestamp, back_end: BackEndHash) -> u32 {
        let is_fresh = |received: Timestamp| now.since(received) < COUNT_LIFETIME_MS;
        if !self.others_received.is_some_and(is_fresh) {
            return 0;
        }
        self.others.get(&back_end).copied().unwrap_or(0)
    }

    /// The last received totals over all gateways, for this gateway's children; `own` contains
    /// this gateway's current counts. `None` if no recent totals are known.
    pub fn forwarded_totals(&self, now: Timestamp, own: &Counts) -> Option<Counts> {
        let received = self.others_received?;
        if now.since(received) >= COUNT_LIFETIME_MS {
            return None;
        }
        let others = self.others.iter();
        let others: Counts = others
            .map(|(back_end, count)| (*back_end, u16::try_from(*count).unwrap_or(u16::MAX)))
            .collect();
        Some(sum_counts([&others, own]))
    }
}

fn retain_fresh(counts: &mut HashMap<String, (Counts, Timestamp)>, now: Timestamp) {
    counts.retain(|_, (_, received)| now.since(*received) < COUNT_LIFETIME_MS);
}

/// Adds up several counts; the result is ordered by hash.
fn sum_counts<'a>(counts: impl IntoIterator<Item = &'a Counts>) -> Counts {
    let mut sums: std::collections::BTreeMap<BackEndHash, u16> = std::collections::BTreeMap::new();
    for (back_end, count) in counts.into_iter().flatten() {
        let sum = sums.entry(*back_end).or_default();
        *sum = sum.saturating_add(*count);
    }
    sums.into_iter().filter(|(_, count)| *count > 0).collect()
}
