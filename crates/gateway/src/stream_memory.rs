//! Bounds the memory of streams' events from their arrival until they are written to the caller.
//!
//! In: the events of a stream, and the bytes of an incomplete one. Out: events whose bytes return their
//! memory once the connection has written them. Each stream has a small buffer of its own; events that
//! do not fit share a ledger, and a stream has one of these at a time.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::memory_ledger::{MemoryClaim, MemoryHold, MemoryLedger};

/// Length of the buffer of each stream, in bytes.
const STREAM_BUFFER_BYTES: usize = 16 << 10;
/// Length of incomplete events that need no claim, in bytes: the most that one read returns.
const FREE_INCOMPLETE_BYTES: usize = 32 << 10;
/// Maximum length of an incomplete event with the bytes that arrived last, in bytes.
const MAX_INCOMPLETE_BYTES: usize = (1 << 20) + (64 << 10);
/// Fraction of the process's memory that events beyond the buffers of their streams may use.
const MEMORY_FRACTION: f64 = 0.125;

/// The memory that all streams share.
#[derive(Debug)]
pub struct StreamMemory {
    ledger: Arc<MemoryLedger>,
}

impl StreamMemory {
    /// Creates the memory for a process that may use `bytes` in total.
    pub fn new(bytes: f64) -> Self {
        StreamMemory {
            ledger: MemoryLedger::new((bytes * MEMORY_FRACTION) as usize, MAX_INCOMPLETE_BYTES),
        }
    }

    /// Creates the account of a stream.
    pub fn open(&self) -> StreamAccount {
        StreamAccount {
            ledger: self.ledger.clone(),
            buffer: Arc::new(Semaphore::new(STREAM_BUFFER_BYTES)),
            incomplete: None,
        }
    }
}

/// The memory of one stream.
#[derive(Debug)]
pub struct StreamAccount {
    ledger: Arc<MemoryLedger>,
    /// Free bytes of the stream's own buffer.
    buffer: Arc<Semaphore>,
    /// The claim for incomplete events longer than [`FREE_INCOMPLETE_BYTES`].
    incomplete: Option<MemoryClaim>,
}

impl StreamAccount {
    /// Waits for memory for `bytes` of events from a back end that are not complete yet, or not sent yet.
    pub async fn reserve(&mut self, bytes: usize, back_end: &str) {
        let Some(claimed) = claimed_bytes(bytes) else {
            return;
        };
        let ledger = &self.ledger;
        let claim = self
            .incomplete
            .get_or_insert_with(|| ledger.claim(Some(back_end), MAX_INCOMPLETE_BYTES));
        claim.grow_to(claimed).await;
    }

    /// Returns the bytes of a complete event, which keep their memory until they are written. Waits until
    /// the caller has received earlier events, if they fill the stream's buffer.
    pub async fn hold(&mut self, event: &Bytes) -> Bytes {
        let is_large = event.len() > STREAM_BUFFER_BYTES;
        let hold = self.incomplete.take_if(|_| is_large);
        let claimed = claimed_bytes(event.len()).unwrap_or(0);
        let hold = hold.map(|claim| claim.complete(claimed));
        let buffered = event.len().min(STREAM_BUFFER_BYTES) as u32;
        let permit = self.buffer.clone().acquire_many_owned(buffered).await;
        Bytes::from_owner(HeldEvent {
            // A copy, since events share the memory of the bytes that arrived together.
            bytes: event.to_vec(),
            _permit: permit.expect("the semaphore is never closed"),
            _hold: hold,
        })
    }

    /// Returns the memory of incomplete events if the `bytes` that are left need none.
    pub fn release_incomplete(&mut self, bytes: usize) {
        if claimed_bytes(bytes).is_none() {
            self.incomplete = None;
        }
    }
}

/// Memory that incomplete events of this length need, in bytes; `None` if they need no share.
fn claimed_bytes(bytes: usize) -> Option<usize> {
    let claimed = bytes.saturating_sub(FREE_INCOMPLETE_BYTES);
    (claimed > 0).then_some(claimed)
}

/// The bytes of an event with its memory.
struct HeldEvent {
    bytes: Vec<u8>,
    _permit: OwnedSemaphorePermit,
    _hold: Option<MemoryHold>,
}

impl AsRef<[u8]> for HeldEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
