//! Moments for which the content of a table was verified.
//!
//! In: the responses of a table, with the times of their requests. Out: the age of the latest
//! moment for which the table is known to have held nothing newer than a given content.
//!
//! A response verifies the content for the moment when its request was sent, not when the
//! response arrived, since the response may have been in transit or in a buffer for any time in
//! between. Moments are times since boot, by the clock that also runs while the machine is
//! suspended.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of contents kept. Followers are behind by fewer changes than this.
const MAX_CONTENTS: usize = 64;

/// The latest moment for which one content of the table was verified.
#[derive(Clone, Copy, Debug)]
struct VerifiedContent {
    /// The content, identified by the version of its last change.
    content: u64,
    at: Duration,
}

/// The verified contents of one table, the oldest first.
#[derive(Debug, Default)]
pub struct VerifiedContents {
    contents: VecDeque<VerifiedContent>,
}

impl VerifiedContents {
    /// Records that the table held nothing newer than `content` at the moment `at`.
    pub fn record(&mut self, content: u64, at: Duration) {
        match self.contents.back_mut() {
            Some(last) if last.content == content => last.at = last.at.max(at),
            _ => self.contents.push_back(VerifiedContent { content, at }),
        }
        if self.contents.len() > MAX_CONTENTS {
            self.contents.pop_front();
        }
    }

    /// The latest moment for which the table is known to have held nothing newer than the version
    /// `applied`; `None` if there is no such moment.
    pub fn latest(&self, applied: u64) -> Option<Duration> {
        let known = self
            .contents
            .iter()
            .filter(|verified| verified.content <= applied);
        known.map(|verified| verified.at).max()
    }

    /// Time since [`VerifiedContents::latest`].
    pub fn age(&self, now: Duration, applied: u64) -> Option<Duration> {
        Some(now.saturating_sub(self.latest(applied)?))
    }
}
