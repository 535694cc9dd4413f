//! Determines which of the requests that were running on back ends when these crashed caused the
//! crashes.
//!
//! Input: the crashes at which each request was running. Output: the requests to quarantine.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::IncarnationHash;
use crate::Fingerprint;

/// Number of crashes after which a request that was running at all of them, and was never served,
/// counts as their cause. With two, callers that retry once would have requests quarantined that
/// merely ran at the same time.
pub const MIN_CRASHES: usize = 3;

/// The requests that caused crashes; `crashes` lists the back ends at whose crash each request was
/// running.
///
/// The request that was running at the most crashes comes first, and all of its crashes are
/// attributed to it. A request that merely ran at the same time has no unexplained crashes left and
/// is not blamed. Two requests that always ran at the same time are both blamed, since nothing
/// tells them apart.
pub fn attribute_crashes(
    crashes: &HashMap<Fingerprint, BTreeSet<IncarnationHash>>,
) -> HashSet<Fingerprint> {
    let mut suspects: Vec<(Fingerprint, &BTreeSet<IncarnationHash>)> = crashes
        .iter()
        .filter(|(_, crashes)| crashes.len() >= MIN_CRASHES)
        .map(|(fingerprint, crashes)| (*fingerprint, crashes))
        .collect();
    let mut explained: BTreeSet<IncarnationHash> = BTreeSet::new();
    let mut blamed = HashSet::new();
    loop {
        let unexplained =
            |crashes: &BTreeSet<IncarnationHash>| crashes.difference(&explained).count();
        let max_unexplained = suspects
            .iter()
            .map(|(_, crashes)| unexplained(crashes))
            .max();
        let Some(max_unexplained) = max_unexplained.filter(|count| *count > 0) else {
            return blamed;
        };
        let (most_frequent, others): (Vec<_>, Vec<_>) = suspects
            .into_iter()
            .partition(|(_, crashes)| unexplained(crashes) == max_unexplained);
        for (fingerprint, crashes) in most_frequent {
            blamed.insert(fingerprint);
            explained.extend(crashes);
        }
        suspects = others;
    }
}
