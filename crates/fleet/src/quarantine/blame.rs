//! Which of the requests that were at back ends when these ended are to blame.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::BackEndHash;
use crate::Fingerprint;

/// A request that was there when so many back ends ended, and was never served, ends back
/// ends. With two, callers that try twice would be blamed for what ran beside them.
pub const ENDS_TO_BLAME: usize = 3;

/// The requests to blame, by the back ends at whose end each was there.
///
/// Whoever was there most often comes first, and all ends at which it was there are put down
/// to it. What was merely beside it has no end left that nobody explains, and is let go. Two
/// requests that were always there together are both blamed: nothing tells them apart.
pub fn blame(ends: &HashMap<Fingerprint, BTreeSet<BackEndHash>>) -> HashSet<Fingerprint> {
    let mut suspects: Vec<(Fingerprint, &BTreeSet<BackEndHash>)> = ends
        .iter()
        .filter(|(_, ends)| ends.len() >= ENDS_TO_BLAME)
        .map(|(fingerprint, ends)| (*fingerprint, ends))
        .collect();
    let mut explained: BTreeSet<BackEndHash> = BTreeSet::new();
    let mut blamed = HashSet::new();
    loop {
        let unexplained = |ends: &BTreeSet<BackEndHash>| ends.difference(&explained).count();
        let most = suspects.iter().map(|(_, ends)| unexplained(ends)).max();
        let Some(most) = most.filter(|most| *most > 0) else {
            return blamed;
        };
        let (now_blamed, others): (Vec<_>, Vec<_>) = suspects
            .into_iter()
            .partition(|(_, ends)| unexplained(ends) == most);
        for (fingerprint, ends) in now_blamed {
            blamed.insert(fingerprint);
            explained.extend(ends);
        }
        suspects = others;
    }
}
