//! Cuts a stream of bytes into whole events and reads their ids.
//!
//! In: bytes as they arrive. Out: whole events, each with its id. Bytes of an
//! event that is not yet whole are kept back, so that a caller never gets a
//! part of an event.

use bytes::{Bytes, BytesMut};

/// An event ends with an empty line.
const EVENT_END: &[u8] = b"\n\n";
/// The same with carriage returns.
const EVENT_END_CR: &[u8] = b"\r\n\r\n";
/// Field that holds the id of an event.
const ID_FIELD: &[u8] = b"id:";
/// An event that is longer than this is refused, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// Its bytes, with the empty line.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<String>,
}

/// An event grew over the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Bytes that do not yet make an event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// The next whole event, if one has arrived.
    pub fn next_event(&mut self) -> Option<WholeEvent> {
        let Some(end) = self.find_end() else {
            self.searched = self.buffer.len().saturating_sub(EVENT_END_CR.len());
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(WholeEvent { bytes, id })
    }

    /// Whether bytes of an event that is not whole are kept back.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&self) -> Option<usize> {
        let unread = &self.buffer[self.searched..];
        let plain = find(unread, EVENT_END).map(|at| at + EVENT_END.len());
        let with_cr = find(unread, EVENT_END_CR).map(|at| at + EVENT_END_CR.len());
        let end = match (plain, with_cr) {
            (Some(one), Some(other)) => one.min(other),
            (one, other) => one.or(other)?,
        };
        Some(self.searched + end)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn event_id(event: &[u8]) -> Option<String> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(ID_FIELD)?;
        let text = std::str::from_utf8(value).ok()?;
        Some(text.trim().to_owned())
    })
}
