//! Bounds the memory of response bodies that are collected before they are forwarded.
//!
//! In: the body of a response. Out: its bytes, or why there are none. The bytes keep their share of the
//! memory until the caller has received them.
//!
//! A body longer than [`SMALL_BODY_BYTES`] claims memory as it grows. A body that gets none is not read
//! any further: flow control stops the back end until other bodies have been forwarded.

use std::sync::Arc;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;

use crate::collected_body::{CollectedBody, SMALL_BODY_BYTES};
use crate::memory_ledger::{MemoryClaim, MemoryLedger, process_bytes};
use crate::stream_memory::StreamMemory;

/// Length that each piece counts for at least when the length of a body is checked, in bytes, because
/// reading many short pieces takes processor time.
const MIN_COUNTED_BYTES: usize = 512;
/// Fraction of the process's memory that collected bodies may use.
const MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the memory for bodies that one of them may use.
const BODY_FRACTION: f64 = 0.5;
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
        let bytes = process_bytes(megabytes);
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
            let length = collected.len() + data.len();
            if length > SMALL_BODY_BYTES {
                let claim =
                    claim.get_or_insert_with(|| self.bodies.claim(Some(back_end), max_bytes));
                claim.grow_to(length).await;
            }
            collected.append(&data);
        }
        collected.finish(claim);
        Ok(collected)
    }
}
