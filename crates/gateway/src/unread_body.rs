//! Discards bodies that nobody needs, so that their connection can be used further.
//!
//! Closing a socket with unread data resets the connection, and the caller may lose the response.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::timeout;

/// Maximum number of bytes to discard. A caller that sends more is unlikely to read the response,
/// and a back end that sends more may never end.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// Maximum time to spend discarding a body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads and discards the rest of `body`. Returns whether its end was reached within the limits.
pub async fn discard(body: impl Body<Data = Bytes> + Unpin) -> bool {
    let discarding = discard_within(body, MAX_DISCARDED_BYTES);
    timeout(DISCARD_TIMEOUT, discarding).await.unwrap_or(false)
}

async fn discard_within(mut body: impl Body<Data = Bytes> + Unpin, mut remaining: usize) -> bool {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        match remaining.checked_sub(bytes) {
            Some(rest) => remaining = rest,
            None => return false,
        }
    }
    true
}
