//! Bounds the memory of response bodies that are collected before they are forwarded.
//!
//! In: the body of a response. Out: its bytes, or why there are none. The bytes keep their share of the
//! memory until the caller has received them.
//!
//! A body reserves its whole share before it grows beyond [`SMALL_BODY_BYTES`], so that every body
//! that has a share can be collected to its end. A body without a share is not read any further: flow
//! control stops the back end until another body has been forwarded.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum length of a body that needs no share of the memory, in bytes.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Unit in which memory is reserved, in bytes.
const UNIT_BYTES: usize = 64 << 10;
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

/// The memory for collected bodies.
#[derive(Debug)]
pub struct ResponseMemory {
    units: Arc<Semaphore>,
    max_body_bytes: usize,
}

impl ResponseMemory {
    /// Creates the memory for a process that may use `megabytes`; 0 if this is unknown.
    pub fn new(megabytes: u32) -> Self {
        let megabytes = if megabytes == 0 {
            DEFAULT_MEGABYTES
        } else {
            megabytes
        };
        let bytes = f64::from(megabytes) * 1e6 * MEMORY_FRACTION;
        let units = (bytes / UNIT_BYTES as f64) as usize;
        ResponseMemory {
            units: Arc::new(Semaphore::new(units)),
            max_body_bytes: (bytes * BODY_FRACTION) as usize,
        }
    }

    /// Maximum length of a body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// Collects a body. Waits for memory if the body is long.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early, or as soon as it is known to be too long.
    pub async fn collect(
        &self,
        mut body: impl Body<Data = Bytes> + Unpin,
    ) -> Result<CollectedBody, CollectError> {
        let stated_bytes = body.size_hint().exact();
        let mut collected = CollectedBody::default();
        let mut counted_bytes = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| CollectError::Truncated)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = collected.length + data.len();
            if length > SMALL_BODY_BYTES && collected.share.is_none() {
                let stated_bytes = stated_bytes.map(|bytes| bytes as usize);
                collected.share = Some(self.reserve(stated_bytes).await?);
            }
            counted_bytes += data.len().max(MIN_COUNTED_BYTES);
            if counted_bytes > self.max_body_bytes {
                return Err(CollectError::TooLong);
            }
            collected.append(&data);
        }
        collected.finish();
        Ok(collected)
    }

    /// Reserves memory for a body, whose length may be stated.
    async fn reserve(
        &self,
        stated_bytes: Option<usize>,
    ) -> Result<OwnedSemaphorePermit, CollectError> {
        let bytes = stated_bytes.unwrap_or(self.max_body_bytes);
        if bytes > self.max_body_bytes {
            return Err(CollectError::TooLong);
        }
        let reserving = self.units.clone().acquire_many_owned(units_for(bytes));
        Ok(reserving.await.expect("the semaphore is never closed"))
    }
}

fn units_for(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}

/// A collected body, which can be sent to a caller.
#[derive(Debug, Default)]
pub struct CollectedBody {
    pieces: VecDeque<Bytes>,
    last_piece: BytesMut,
    /// Number of bytes that are kept.
    length: usize,
    share: Option<OwnedSemaphorePermit>,
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

    /// Ends the body, and returns the memory that was reserved and is not needed.
    fn finish(&mut self) {
        if !self.last_piece.is_empty() {
            self.pieces.push_back(self.last_piece.split().freeze());
        }
        let needed = units_for(self.length) as usize;
        if let Some(share) = &mut self.share {
            drop(share.split(share.num_permits().saturating_sub(needed)));
        }
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
