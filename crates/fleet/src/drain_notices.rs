//! Back ends that have announced that they are draining: in a row, in a response, or through
//! another gateway.
//!
//! Input: announcements of back ends, and notices of other gateways. Output: whether an
//! incarnation of a back end is draining, and the notices to send on. An incarnation never takes
//! its announcement back, so the notice is kept while the back end's row is missing. Notices carry
//! an age, so that no clocks are compared between gateways.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use serde::{Deserialize, Serialize};

use crate::notices::{RETENTION_MS, select_newest};
use crate::quarantine::IncarnationHash;

/// Notice from one gateway to another that a back end is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainNotice {
    /// The incarnation of the back end.
    #[serde(rename = "b")]
    pub back_end: IncarnationHash,
    /// Time since the back end's announcement, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
}

/// The draining back ends that this gateway knows.
#[derive(Debug, Default)]
pub struct DrainNotices {
    announced: HashMap<IncarnationHash, Timestamp>,
}

impl DrainNotices {
    /// Records the announcement of a back end that it is draining. Returns true if it is new.
    pub fn record(&mut self, now: Timestamp, back_end: IncarnationHash) -> bool {
        self.remove_expired(now);
        self.announced.insert(back_end, now).is_none()
    }

    /// Merges the notices of another gateway and returns the back ends that were not known to be
    /// draining. A known notice keeps its age, or gateways would pass it on to each other for ever.
    pub fn merge(&mut self, now: Timestamp, notices: &[DrainNotice]) -> Vec<IncarnationHash> {
        self.remove_expired(now);
        let mut added = Vec::new();
        for notice in notices.iter().filter(|notice| notice.age < RETENTION_MS) {
            if !self.contains(notice.back_end) {
                self.announced.insert(notice.back_end, now - notice.age);
                added.push(notice.back_end);
            }
        }
        added
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.announced.retain(|_, at| now.since(*at) < RETENTION_MS);
    }

    /// Whether a back end has announced that it is draining.
    pub fn contains(&self, back_end: IncarnationHash) -> bool {
        self.announced.contains_key(&back_end)
    }

    /// The notices to send to other gateways.
    pub fn notices(&self, now: Timestamp) -> Vec<DrainNotice> {
        let notices = self.announced.iter().map(|(back_end, at)| DrainNotice {
            back_end: *back_end,
            age: now.since(*at),
        });
        select_newest(notices, |notice| notice.age)
    }
}
