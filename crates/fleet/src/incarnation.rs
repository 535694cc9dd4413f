//! Tells the incarnations of a back end apart.
//!
//! A back end may restart under the same name. The new process has none of the previous one's
//! state and counts its orders from 0. Everything that a back end reports carries its start time,
//! and all state that is stored under a back end's name is compared with that start time in this
//! module only.
//!
//! Input: start times from rows, reports and other gateways, in any order. Output: whether a start
//! time belongs to the known incarnation, to another one that replaces it, or to one that is over.

use gorsebank_coordination::Timestamp;
use serde::{Deserialize, Serialize};

/// Time after which an earlier start time is accepted as that of a newer incarnation, if the known
/// one was not received meanwhile: the back end's clock was set back. The value is four heartbeats
/// of a user's back end, which are 1.2 s apart, so a heartbeat that was in flight when the back
/// end exited no longer arrives.
const EARLIER_START_ACCEPTED_AFTER_MS: u64 = 5_000;

/// Start time of a back end's process, in milliseconds since the Unix epoch by the clock of the
/// back end's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Born(pub u64);

/// Relation of a received start time to the known incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationMatch {
    /// The start time is that of the known incarnation, or is not stated.
    Same,
    /// The start time is that of another incarnation, which replaces the known one.
    Other,
    /// The start time is that of an incarnation that is over, as far as is known.
    Outdated,
}

/// The current incarnation of a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Incarnation {
    born: Option<Born>,
    /// An earlier start time that was received, and since when no other one was.
    earlier: Option<(Born, Timestamp)>,
}

impl Incarnation {
    /// A newly discovered back end, with its start time if it is known.
    pub fn new(born: Option<Born>) -> Self {
        Incarnation {
            born,
            earlier: None,
        }
    }

    /// The start time, if it is known.
    pub fn born(&self) -> Option<Born> {
        self.born
    }

    /// Whether information with this start time may concern the known incarnation. Information
    /// without a start time may, since it was sent or requested before the start time was known.
    pub fn may_match(&self, received: Option<Born>) -> bool {
        match (self.born, received) {
            (Some(known), Some(received)) => known == received,
            _ => true,
        }
    }

    /// Applies a received start time. A later one replaces the known one at once, an earlier one
    /// only if the known one was not received for `EARLIER_START_ACCEPTED_AFTER_MS`.
    pub fn observe(&mut self, now: Timestamp, received: Option<Born>) -> IncarnationMatch {
        let (Some(known), Some(received)) = (self.born, received) else {
            self.born = self.born.or(received);
            return IncarnationMatch::Same;
        };
        if received == known {
            self.earlier = None;
            return IncarnationMatch::Same;
        }
        if received < known && !self.is_accepted(now, received) {
            return IncarnationMatch::Outdated;
        }
        *self = Incarnation::new(Some(received));
        IncarnationMatch::Other
    }

    /// Whether this earlier start time, and no other, has been received for long enough.
    fn is_accepted(&mut self, now: Timestamp, received: Born) -> bool {
        match self.earlier {
            Some((born, since)) if born == received => {
                now.since(since) >= EARLIER_START_ACCEPTED_AFTER_MS
            }
            _ => {
                self.earlier = Some((received, now));
                false
            }
        }
    }
}
