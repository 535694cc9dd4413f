//! Which life of a back end something speaks of.
//!
//! A back end may start again under the name that it had; it then holds and knows nothing of
//! before, and counts its orders anew. Whatever it says of itself names its start, and all that
//! is kept by its name is compared with that here and nowhere else.
//!
//! In: starts as rows, reports and gateways tell them, in any order. Out: whether one speaks of
//! the life that is known, of another that takes its place, or of a life that is over.

use gorsebank_coordination::Timestamp;
use serde::{Deserialize, Serialize};

/// An earlier start that nothing contradicts for so long is a later one, by a clock that was
/// set back, in milliseconds: four heartbeats of users' back ends, which write each 1.2 s, so a
/// heartbeat that was under way when a back end ended is over.
const EARLIER_IS_BELIEVED_AFTER: u64 = 5_000;

/// When a back end started, in milliseconds since the epoch by its own machine's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Born(pub u64);

/// What something that was told of a back end speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Of the life that is known, or of none in particular.
    Same,
    /// Of another life, which is the known one from now on.
    Other,
    /// Of one that is over, as far as is known.
    Outdated,
}

/// The life of a back end that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Incarnation {
    born: Option<Born>,
    /// An earlier start that was told, and since when nothing else was.
    earlier: Option<(Born, Timestamp)>,
}

impl Incarnation {
    /// A back end that was first heard of, with its start if that is told.
    pub fn new(born: Option<Born>) -> Self {
        Incarnation {
            born,
            earlier: None,
        }
    }

    /// Its start, if that is known.
    pub fn born(&self) -> Option<Born> {
        self.born
    }

    /// Whether something with this start may speak of the life that is known: what bears none was
    /// said, or asked, when that was not told yet.
    pub fn may_be(&self, told: Option<Born>) -> bool {
        match (self.born, told) {
            (Some(known), Some(told)) => known == told,
            _ => true,
        }
    }

    /// Takes in a start that was told. A later one takes the place of the known one at once,
    /// an earlier one only when the known one was not heard of for a while.
    pub fn hear(&mut self, now: Timestamp, told: Option<Born>) -> Heard {
        let (Some(known), Some(told)) = (self.born, told) else {
            self.born = self.born.or(told);
            return Heard::Same;
        };
        if told == known {
            self.earlier = None;
            return Heard::Same;
        }
        if told < known && !self.is_believed(now, told) {
            return Heard::Outdated;
        }
        *self = Incarnation::new(Some(told));
        Heard::Other
    }

    /// Whether this earlier start has been told, and nothing else, for long enough.
    fn is_believed(&mut self, now: Timestamp, told: Born) -> bool {
        match self.earlier {
            Some((born, since)) if born == told => now.since(since) >= EARLIER_IS_BELIEVED_AFTER,
            _ => {
                self.earlier = Some((told, now));
                false
            }
        }
    }
}
