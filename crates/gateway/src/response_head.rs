//! Bounds the bytes that arrive on a connection before the head of a response is complete.
//!
//! In: the bytes of a connection, and when a response is due. Out: the same bytes, or an error once
//! more than [`MAX_HEAD_BYTES`] have arrived in place of a head. The HTTP client bounds one head, but not
//! the interim ones (`100 Continue`) that may precede it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes until the head of a response is complete. It is far above the size of the read
/// buffer, since the beginning of the body may arrive before the head is taken.
pub const MAX_HEAD_BYTES: usize = 1 << 20;
/// The allowance while no head is due.
const UNLIMITED: usize = usize::MAX;

/// How many more bytes may arrive until the head that is due is complete.
#[derive(Debug)]
pub struct HeadAllowance(AtomicUsize);

impl Default for HeadAllowance {
    fn default() -> Self {
        HeadAllowance(AtomicUsize::new(UNLIMITED))
    }
}

impl HeadAllowance {
    /// Starts the count: a head is due from now on.
    pub fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the count: the head is complete.
    pub fn end(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Whether more bytes have arrived than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Counts bytes that have arrived. Returns whether they were allowed.
    fn take(&self, bytes: usize) -> bool {
        let take = |left: usize| {
            if left == UNLIMITED {
                return None;
            }
            Some(left.saturating_sub(bytes))
        };
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_err() || !self.is_exceeded()
    }
}

/// A stream whose reads fail once a head is too long.
struct HeadLimited<S> {
    stream: S,
    allowance: Arc<HeadAllowance>,
}

/// Bounds the heads of responses that are read from `stream`.
pub fn head_limited(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    allowance: Arc<HeadAllowance>,
) -> impl AsyncRead + AsyncWrite + Unpin {
    HeadLimited { stream, allowance }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.allowance.take(buffer.filled().len() - filled) {
            Poll::Ready(Ok(()))
        } else {
            let message = "no response within the allowed number of bytes";
            Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)))
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
