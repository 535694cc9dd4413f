//! Bounds the memory of response bodies that are collected before they are forwarded.
//!
//! In: the body of a response. Out: its bytes, or why there are none. The bytes keep their share of the
//! memory until the caller has received them.
//!
//! A body longer than [`SMALL_BODY_BYTES`] claims memory as it grows. A body that gets none is not read
//! any further: flow control stops the back end until other bodies have been forwarded.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::memory_ledger::{MemoryClaim, MemoryHold, MemoryLedger};
use crate::stream_memory::StreamMemory;

/// Maximum length of a body that needs no share of the memory, in bytes.
const SMALL_BODY_BYTES: usize = 16 << 10;
/// Length of the pieces in which a body is kept, in bytes. Pieces are filled completely, because a back
/// end may send a body byte by byte.
const PIECE_BYTES: usize = 64 << 10;
/// Length that each piece counts for at least when the length of a body is checked, in bytes, because
/// reading many short pieces takes processor time.
const MIN_COUNTED_BYTES: usize = 512;
/// Fraction of the process's memory that collected bodies may use.
const MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the memory for bodies that one of them may use.
const BODY_FRACTION: f64 = 0.5;
/// Assumed memory of the process in megabytes if the settings do not state it.
const DEFAULT_MEGABYTES: u32 = 256;

/// Why a body could not be collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// The body ended early.
    Truncated,
    /// The body is longer than the memory allows.
    TooLong,
}

/// The memory for responses.
#[derive(Debug)]
pub struct ResponseMemory {
    bodies: Arc<MemoryLedger>,
    max_body_bytes: usize,
    /// The memory for events of streams.
    pub streams: StreamMemory,
}

impl ResponseMemory {
    /// Creates the memory for a process that may use `megabytes`; 0 if this is unknown.
    pub fn new(megabytes: u32) -> Self {
        let megabytes = if megabytes == 0 {
            DEFAULT_MEGABYTES
        } else {
            megabytes
        };
        let bytes = f64::from(megabytes) * 1e6;
        let body_bytes = bytes * MEMORY_FRACTION;
        let max_body_bytes = (body_bytes * BODY_FRACTION) as usize;
        ResponseMemory {
            bodies: MemoryLedger::new(body_bytes as usize, max_body_bytes),
            max_body_bytes,
            streams: StreamMemory::new(bytes),
        }
    }

    /// Maximum length of a body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// Collects a body that a back end sends. Waits for memory if the body is long.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early, or as soon as it is known to be too long.
    pub async fn collect(
        &self,
        mut body: impl Body<Data = Bytes> + Unpin,
        back_end: &str,
    ) -> Result<CollectedBody, CollectError> {
        let stated_bytes = body.size_hint().exact().map(|bytes| bytes as usize);
        let max_bytes = stated_bytes.unwrap_or(self.max_body_bytes);
        if max_bytes > self.max_body_bytes {
            return Err(CollectError::TooLong);
        }
        let mut collected = CollectedBody::default();
        let mut claim: Option<MemoryClaim> = None;
        let mut counted_bytes = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| CollectError::Truncated)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            counted_bytes += data.len().max(MIN_COUNTED_BYTES);
            if counted_bytes > self.max_body_bytes {
                return Err(CollectError::TooLong);
            }
            let length = collected.length + data.len();
            if length > SMALL_BODY_BYTES {
                let claim = claim.get_or_insert_with(|| self.bodies.claim(back_end, max_bytes));
                claim.grow_to(length).await;
            }
            collected.append(&data);
        }
        collected.finish(claim);
        Ok(collected)
    }
}

/// A collected body, which can be sent to a caller.
#[derive(Debug, Default)]
pub struct CollectedBody {
    pieces: VecDeque<Bytes>,
    last_piece: BytesMut,
    /// Number of bytes that are kept.
    length: usize,
    /// The memory of a body that is not small.
    hold: Option<MemoryHold>,
}

impl CollectedBody {
    /// Number of bytes that have not been sent.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether all bytes have been sent.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn append(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            let (fitting, rest) =
                data.split_at(data.len().min(PIECE_BYTES - self.last_piece.len()));
            self.last_piece.extend_from_slice(fitting);
            data = rest;
            if self.last_piece.len() == PIECE_BYTES {
                self.pieces.push_back(self.last_piece.split().freeze());
            }
        }
    }

    /// Ends the body, and returns the claimed memory that it does not need.
    fn finish(&mut self, claim: Option<MemoryClaim>) {
        if !self.last_piece.is_empty() {
            self.pieces.push_back(self.last_piece.split().freeze());
        }
        self.hold = claim.map(|claim| claim.complete(self.length));
    }
}

impl Body for CollectedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(piece) = self.pieces.pop_front() else {
            return Poll::Ready(None);
        };
        self.length -= piece.len();
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}
