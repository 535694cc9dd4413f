//! Proofs that a back end is alive although gateways have recorded its exit.
//!
//! Input: responses of a back end after the time of its recorded exit, and proofs of other gateways.
//! Output: the proofs to send on. Proofs carry an age, so that no clocks are compared between
//! gateways. Each hop makes a proof look younger by its delay, so a proof of another gateway counts
//! only if it is later than the exit by a margin.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use serde::{Deserialize, Serialize};

use crate::notices::{RETENTION_MS, select_newest};
use crate::quarantine::IncarnationHash;

/// Minimum difference in age at which a proof counts as newer, so that gateways do not pass the
/// same one on for ever.
const SAME_PROOF_MS: u64 = 500;

/// Proof from one gateway to another that a back end was alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessProof {
    /// The incarnation of the back end.
    #[serde(rename = "b")]
    pub back_end: IncarnationHash,
    /// Time since the back end's response, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
}

/// The latest proof for each back end whose exit was recorded wrongly.
#[derive(Debug, Default)]
pub struct LivenessProofs {
    latest: HashMap<IncarnationHash, Timestamp>,
}

impl LivenessProofs {
    /// Records that a back end was alive at `at`. Returns true if this is newer than what was known.
    pub fn record(&mut self, now: Timestamp, back_end: IncarnationHash, at: Timestamp) -> bool {
        self.latest.retain(|_, at| now.since(*at) < RETENTION_MS);
        let known = self.latest.get(&back_end);
        let is_newer = known.is_none_or(|known| at > *known + SAME_PROOF_MS);
        if is_newer {
            self.latest.insert(back_end, at);
        }
        is_newer
    }

    /// The proofs to send to other gateways.
    pub fn notices(&self, now: Timestamp) -> Vec<LivenessProof> {
        let latest = self.latest.iter().map(|(back_end, at)| LivenessProof {
            back_end: *back_end,
            age: now.since(*at),
        });
        select_newest(latest, |proof| proof.age)
    }
}
