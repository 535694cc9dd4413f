//! Determines which of the requests, and which of the parts of their prompts, that were running on back
//! ends when these crashed caused the crashes.
//!
//! Input: the crashes at which each suspect was running. Output: the suspects to quarantine.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::IncarnationHash;
use crate::Fingerprint;

/// Number of crashes after which a suspect that was running at all of them, and was never served,
/// counts as their cause. With two, callers that retry once would have requests quarantined that
/// merely ran at the same time.
pub const MIN_CRASHES: usize = 3;

/// What may have caused crashes: a whole request, or a part that prompts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Suspect {
    /// Identifies the request or the part.
    pub fingerprint: Fingerprint,
    /// Position of the part in the prompt, from 0; `None` for a whole request.
    pub part: Option<u8>,
}

impl Suspect {
    /// A whole request.
    pub fn request(fingerprint: Fingerprint) -> Self {
        Suspect {
            fingerprint,
            part: None,
        }
    }

    /// The shared parts of a prompt, in order.
    pub fn parts(fingerprints: &[Fingerprint]) -> impl Iterator<Item = Self> + '_ {
        let positions = 0..=u8::MAX;
        positions
            .zip(fingerprints)
            .map(|(position, fingerprint)| Suspect {
                fingerprint: *fingerprint,
                part: Some(position),
            })
    }
}

/// The crashes at which a suspect was running.
#[derive(Clone, Debug, Default)]
pub struct SuspectCrashes {
    /// Position of the part in the prompt; `None` for a whole request.
    pub part: Option<u8>,
    /// The back ends that crashed.
    pub back_ends: BTreeSet<IncarnationHash>,
}

impl SuspectCrashes {
    /// Whole requests are narrower than parts, and later parts are narrower than those before them,
    /// which more requests share.
    fn narrowness(&self) -> u16 {
        self.part.map_or(u16::MAX, u16::from)
    }

    fn unexplained(&self, explained: &BTreeSet<IncarnationHash>) -> usize {
        self.back_ends.difference(explained).count()
    }
}

/// The suspects that caused crashes.
///
/// The suspect that was running at the most crashes comes first, and all of its crashes are
/// attributed to it. One that merely ran at the same time has no unexplained crashes left and is not
/// blamed. Of suspects at equally many crashes, the narrowest comes first: if it is innocent, the
/// others are at more crashes soon. Two of one kind that always ran at the same time are both blamed,
/// since nothing tells them apart.
pub fn attribute_crashes(suspects: &HashMap<Fingerprint, SuspectCrashes>) -> HashSet<Fingerprint> {
    let has_enough = |it: &(&Fingerprint, &SuspectCrashes)| it.1.back_ends.len() >= MIN_CRASHES;
    let mut left: Vec<(&Fingerprint, &SuspectCrashes)> =
        suspects.iter().filter(has_enough).collect();
    let mut explained: BTreeSet<IncarnationHash> = BTreeSet::new();
    let mut blamed = HashSet::new();
    loop {
        let rank = |suspect: &SuspectCrashes| {
            let unexplained = suspect.unexplained(&explained);
            (unexplained > 0).then(|| (unexplained, suspect.narrowness()))
        };
        let Some(highest) = left.iter().filter_map(|(_, it)| rank(it)).max() else {
            return blamed;
        };
        let (first, others): (Vec<_>, Vec<_>) = left
            .into_iter()
            .partition(|(_, suspect)| rank(suspect) == Some(highest));
        for (fingerprint, suspect) in first {
            blamed.insert(*fingerprint);
            explained.extend(&suspect.back_ends);
        }
        left = others;
    }
}
