//! Checks that a caller gets the whole answer to its own request.
//!
//! In: the ids of the events of one answer stream as they arrive, perhaps
//! doubled, late, out of order or from another request. Out: a verdict each.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The id of one event: the stream it belongs to and its number from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Names the request on the engine.
    pub stream: String,
    /// Number of the event.
    pub number: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.stream, self.number)
    }
}

/// A text that is no event id.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{0}` is no event id: expected `stream:number`")]
pub struct EventIdError(String);

impl FromStr for EventId {
    type Err = EventIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refuse = || EventIdError(text.to_owned());
        let (stream, number) = text.rsplit_once(':').ok_or_else(refuse)?;
        let number = number.parse().map_err(|_| refuse())?;
        Ok(EventId {
            stream: stream.to_owned(),
            number,
        })
    }
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on.
    Forward,
    /// Drop it: the caller has it already.
    Duplicate,
    /// Events are missing before it: resume after the last one.
    Gap,
    /// It belongs to another request: drop the connection, then resume.
    Foreign,
}

/// Follows one answer stream.
#[derive(Clone, Debug)]
pub struct StreamGuard {
    stream: String,
    next: u64,
    finished: bool,
}

impl StreamGuard {
    /// A guard of the stream named `stream`, whose next event is number `next`.
    pub fn new(stream: impl Into<String>, next: u64) -> Self {
        StreamGuard {
            stream: stream.into(),
            next,
            finished: false,
        }
    }

    /// Judges the next event.
    pub fn judge(&mut self, id: &EventId, last: bool) -> Verdict {
        if id.stream != self.stream {
            return Verdict::Foreign;
        }
        if id.number < self.next {
            return Verdict::Duplicate;
        }
        if id.number > self.next {
            return Verdict::Gap;
        }
        self.next += 1;
        self.finished = last;
        Verdict::Forward
    }

    /// The number of the next event that is wanted.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the last event was passed on.
    pub fn is_finished(&self) -> bool {
        self.finished
    }
}
