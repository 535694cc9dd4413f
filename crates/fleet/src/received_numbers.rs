//! Numbers of messages that have taken effect, so that a message that is sent again because its
//! response was lost takes effect once.
//!
//! Input: the number and time of each message. Output: whether the message is new.

use std::collections::{HashSet, VecDeque};

use gorsebank_coordination::Timestamp;

/// Maximum number of remembered messages. Further messages are rejected until some have expired.
const MAX_NUMBERS: usize = 16_384;

/// The numbers of recent messages.
#[derive(Debug)]
pub struct ReceivedNumbers {
    lifetime_ms: u64,
    by_age: VecDeque<(Timestamp, u64)>,
    known: HashSet<u64>,
}

impl ReceivedNumbers {
    /// Remembers each number for `lifetime_ms`.
    pub fn new(lifetime_ms: u64) -> Self {
        ReceivedNumbers {
            lifetime_ms,
            by_age: VecDeque::new(),
            known: HashSet::new(),
        }
    }

    /// Records a message. Returns whether it may take effect: it is new, and was remembered.
    pub fn record(&mut self, now: Timestamp, number: u64) -> bool {
        while let Some((at, oldest)) = self.by_age.front().copied() {
            if now.since(at) <= self.lifetime_ms {
                break;
            }
            self.by_age.pop_front();
            self.known.remove(&oldest);
        }
        if self.by_age.len() >= MAX_NUMBERS || !self.known.insert(number) {
            return false;
        }
        self.by_age.push_back((now, number));
        true
    }
}
