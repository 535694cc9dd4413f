//! For which moments it is proved what stood in a table.
//!
//! An answer proves what stood there when the question was asked, not when it came: it may
//! have been under way, or lain in a buffer, for any time in between. Moments are by the clock
//! that also counts while the machine is suspended, since it started.

use std::collections::VecDeque;
use std::time::Duration;

/// Contents whose proofs are kept: whoever takes changes in is behind by fewer than this.
const CONTENTS_KEPT: usize = 64;

/// The latest moment for which one content of the table is proved.
#[derive(Clone, Copy, Debug)]
struct Proof {
    /// The version of the table's last change.
    content: u64,
    at: Duration,
}

/// Proofs of one table, the oldest content first.
#[derive(Debug, Default)]
pub struct Proofs {
    kept: VecDeque<Proof>,
}

impl Proofs {
    /// Nothing newer than `content` stood in the table at this moment.
    pub fn note(&mut self, content: u64, at: Duration) {
        match self.kept.back_mut() {
            Some(last) if last.content == content => last.at = last.at.max(at),
            _ => self.kept.push_back(Proof { content, at }),
        }
        if self.kept.len() > CONTENTS_KEPT {
            self.kept.pop_front();
        }
    }

    /// Time since the latest moment for which it is proved that the table held nothing newer
    /// than what was `taken` in; none if that is proved for no moment.
    pub fn age(&self, now: Duration, taken: u64) -> Option<Duration> {
        let known = self.kept.iter().filter(|proof| proof.content <= taken);
        let at = known.map(|proof| proof.at).max()?;
        Some(now.saturating_sub(at))
    }
}
