//! Checks that a caller receives the complete response to its own request.
//!
//! The inputs are the ids of the events of one response stream in the order of
//! arrival. Events may be duplicated, late, out of order or part of another
//! request. The output is a decision for each event.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Id of an event: the stream of the event, and the event's number in the
/// stream, from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Identifies the request on the engine.
    pub stream: String,
    /// Number of the event in the stream.
    pub number: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.stream, self.number)
    }
}

/// Error for a text that is not an event id.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{0}` is no event id: expected `stream:number`")]
pub struct EventIdError(String);

impl FromStr for EventId {
    type Err = EventIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse_error = || EventIdError(text.to_owned());
        let (stream, number) = text.rsplit_once(':').ok_or_else(parse_error)?;
        let number = number.parse().map_err(|_| parse_error())?;
        Ok(EventId {
            stream: stream.to_owned(),
            number,
        })
    }
}

/// Decision about an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventDecision {
    /// Forward the event to the caller.
    Forward,
    /// Drop the event, because the caller has already received it.
    Duplicate,
    /// Events before this one are missing: resume after the last forwarded event.
    Gap,
    /// The event belongs to another request: drop the connection, then resume.
    Foreign,
}

/// Checks the order of the events of one response stream.
#[derive(Clone, Debug)]
pub struct StreamChecker {
    stream: String,
    next: u64,
    finished: bool,
}

impl StreamChecker {
    /// Creates a guard for the stream `stream`, whose next event has number `next`.
    pub fn new(stream: impl Into<String>, next: u64) -> Self {
        StreamChecker {
            stream: stream.into(),
            next,
            finished: false,
        }
    }

    /// Decides what to do with an event. `last` marks the last event of the stream.
    pub fn check_event(&mut self, id: &EventId, last: bool) -> EventDecision {
        if id.stream != self.stream {
            return EventDecision::Foreign;
        }
        if id.number < self.next {
            return EventDecision::Duplicate;
        }
        if id.number > self.next {
            return EventDecision::Gap;
        }
        self.next += 1;
        self.finished = last;
        EventDecision::Forward
    }

    /// Returns the number of the next expected event.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the last event has been forwarded.
    pub fn is_finished(&self) -> bool {
        self.finished
    }
}
