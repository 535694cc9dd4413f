//! Splits a byte stream of server-sent events into complete events and extracts their ids.
//!
//! Input: bytes as they arrive. Output: complete events, each with its id. Bytes of an incomplete
//! event are buffered, so a caller never receives part of an event.

use bytes::{Bytes, BytesMut};

/// Terminator of an event: an empty line.
const EVENT_END: &[u8] = b"\n\n";
/// Terminator of an event whose lines end with a carriage return and a line feed.
const EVENT_END_CR: &[u8] = b"\r\n\r\n";
/// Name of the field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";
/// Maximum size of an event; a longer one is an error.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvent {
    /// The event's bytes, including the empty line at the end.
    pub bytes: Bytes,
    /// The event's id, if it has one.
    pub id: Option<String>,
}

/// Error: an event exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits a stream into events and buffers the bytes of an incomplete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched_len: usize,
}

impl EventSplitter {
    /// Appends bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Returns the next complete event, if one has been received.
    pub fn next_event(&mut self) -> Option<CompleteEvent> {
        let Some(end) = self.find_end() else {
            self.searched_len = self.buffer.len().saturating_sub(EVENT_END_CR.len());
            return None;
        };
        self.searched_len = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = parse_event_id(&bytes);
        Some(CompleteEvent { bytes, id })
    }

    /// Number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&self) -> Option<usize> {
        let unsearched = &self.buffer[self.searched_len..];
        let plain = find_pattern(unsearched, EVENT_END).map(|at| at + EVENT_END.len());
        let with_cr = find_pattern(unsearched, EVENT_END_CR).map(|at| at + EVENT_END_CR.len());
        let end = match (plain, with_cr) {
            (Some(one), Some(other)) => one.min(other),
            (one, other) => one.or(other)?,
        };
        Some(self.searched_len + end)
    }
}

fn find_pattern(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn parse_event_id(event: &[u8]) -> Option<String> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(ID_FIELD)?;
        let text = std::str::from_utf8(value).ok()?;
        Some(text.trim().to_owned())
    })
}
