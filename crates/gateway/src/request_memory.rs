//! Bounds the memory of request bodies from their arrival until they are not needed for another attempt.
//!
//! In: the body of a request. Out: its bytes, or why the request is refused. A body longer than
//! [`SMALL_BODY_BYTES`] claims memory as it grows, whatever length its caller announced. A body that gets
//! none is not read any further for a while, in which flow control stops its caller; bodies that do not
//! progress are given up meanwhile. While memory is not short, no body has to arrive at a least rate.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::body_progress::{IncompleteBodies, IncompleteBody};
use crate::collected_body::{CollectedBody, SMALL_BODY_BYTES};
use crate::memory_ledger::{MemoryClaim, MemoryLedger, process_bytes};

/// Fraction of the process's memory that request bodies may use.
const MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the memory for bodies that one of them may use.
const BODY_FRACTION: f64 = 0.5;
/// Time for which a body waits for memory.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Interval at which a body that waits for memory looks for one to give up.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a request body could not be collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body ended early, or is not well-formed.
    Broken,
    /// The body is longer than allowed.
    TooLong,
    /// The body did not progress while memory was short.
    Stalled,
    /// There was no memory for the body.
    NoMemory,
}

/// The memory for request bodies.
#[derive(Debug)]
pub struct RequestMemory {
    ledger: Arc<MemoryLedger>,
    max_body_bytes: usize,
    incomplete: IncompleteBodies,
}

impl RequestMemory {
    /// Creates the memory for a process that may use `megabytes`; 0 if this is unknown.
    pub fn new(megabytes: u32) -> Self {
        let bytes = process_bytes(megabytes) * MEMORY_FRACTION;
        let max_body_bytes = (bytes * BODY_FRACTION) as usize;
        RequestMemory {
            ledger: MemoryLedger::new(bytes as usize, max_body_bytes),
            max_body_bytes,
            incomplete: IncompleteBodies::default(),
        }
    }

    /// Collects a body of at most `limit` bytes. Waits for memory if the body is long.
    ///
    /// # Errors
    ///
    /// Fails if the body is broken or too long, or if memory is short.
    pub async fn collect(
        &self,
        mut body: impl Body<Data = Bytes> + Unpin,
        limit: usize,
    ) -> Result<CollectedBody, BodyError> {
        let limit = limit.min(self.max_body_bytes);
        let hint = body.size_hint();
        if hint.lower() > limit as u64 {
            return Err(BodyError::TooLong);
        }
        let max_bytes = hint.exact().map_or(limit, |bytes| bytes as usize);
        let mut collected = CollectedBody::default();
        let mut claimed: Option<ClaimedBody> = None;
        while let Some(frame) = next_frame(&mut body, claimed.as_ref()).await? {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = collected.len() + data.len();
            if length > limit {
                return Err(BodyError::TooLong);
            }
            if length > SMALL_BODY_BYTES {
                let claimed = claimed.get_or_insert_with(|| self.begin_claim(max_bytes));
                claimed.progress.record(data.len());
                self.grow(claimed, length).await?;
            }
            collected.append(&data);
        }
        collected.finish(claimed.map(|claimed| claimed.claim));
        Ok(collected)
    }

    fn begin_claim(&self, max_bytes: usize) -> ClaimedBody {
        ClaimedBody {
            claim: self.ledger.claim(None, max_bytes),
            progress: self.incomplete.add(),
        }
    }

    /// Raises the claim of a body, and waits for memory if necessary.
    async fn grow(&self, claimed: &mut ClaimedBody, bytes: usize) -> Result<(), BodyError> {
        if claimed.claim.try_grow_to(bytes) {
            return Ok(());
        }
        claimed.progress.pause();
        let waiting = async {
            loop {
                let growing = claimed.claim.grow_to(bytes);
                if timeout(STALL_CHECK_INTERVAL, growing).await.is_ok() {
                    return;
                }
                self.incomplete.give_up_stalled();
            }
        };
        let waited = timeout(MAX_WAIT, waiting).await;
        claimed.progress.resume();
        waited.map_err(|_| BodyError::NoMemory)
    }
}

/// An incomplete body that uses memory.
struct ClaimedBody {
    claim: MemoryClaim,
    progress: IncompleteBody,
}

/// Returns the next frame of a body, unless the body is given up before.
async fn next_frame(
    body: &mut (impl Body<Data = Bytes> + Unpin),
    claimed: Option<&ClaimedBody>,
) -> Result<Option<Frame<Bytes>>, BodyError> {
    let given_up = async {
        match claimed {
            Some(claimed) => claimed.progress.wait_until_given_up().await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        frame = body.frame() => frame.transpose().map_err(|_| BodyError::Broken),
        () = given_up => Err(BodyError::Stalled),
    }
}
