//! Keeps the bytes of a body in full pieces, with the memory that they use.
//!
//! In: the bytes of a body as they arrive, and the claim on the memory for them. Out: a body that can be
//! sent, which returns the memory once it is dropped with all its clones.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};

use crate::memory_ledger::{MemoryClaim, MemoryHold};

/// Maximum length of a body that needs no share of the memory, in bytes.
pub const SMALL_BODY_BYTES: usize = 16 << 10;
/// Length of the pieces in which a body is kept, in bytes. Pieces are filled completely, because a peer
/// may send a body byte by byte.
const PIECE_BYTES: usize = 64 << 10;

/// A collected body. Clones share its bytes and their memory.
#[derive(Clone, Debug, Default)]
pub struct CollectedBody {
    pieces: VecDeque<Bytes>,
    last_piece: BytesMut,
    /// Number of bytes that are kept.
    length: usize,
    /// The memory of a body that is not small.
    hold: Option<Arc<MemoryHold>>,
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

    /// The pieces that have not been sent, in order.
    pub fn pieces(&self) -> impl Iterator<Item = &Bytes> {
        self.pieces.iter()
    }

    /// Adds a copy of `data`.
    pub fn append(&mut self, mut data: &[u8]) {
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
    pub fn finish(&mut self, claim: Option<MemoryClaim>) {
        if !self.last_piece.is_empty() {
            self.pieces.push_back(self.last_piece.split().freeze());
        }
        self.hold = claim.map(|claim| Arc::new(claim.complete(self.length)));
    }
}

impl From<Bytes> for CollectedBody {
    fn from(bytes: Bytes) -> Self {
        let length = bytes.len();
        let pieces = Some(bytes).filter(|bytes| !bytes.is_empty());
        CollectedBody {
            pieces: pieces.into_iter().collect(),
            length,
            ..CollectedBody::default()
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
