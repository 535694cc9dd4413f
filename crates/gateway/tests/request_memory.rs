//! The memory for request bodies: callers that do not finish their bodies make room for others.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, future, stream};
use gorsebank_gateway::request_memory::{BodyError, RequestMemory};
use http_body::{Body, Frame};
use http_body_util::{Full, StreamBody};
use tokio::time::{Instant, sleep};

/// Memory of the process. A quarter of it is for bodies, and half of that for one body.
const MEGABYTES: u32 = 8;
/// Maximum length of a body, in bytes.
const LIMIT: usize = 500_000;
/// Number of bodies of this length that fit into the memory.
const FITTING: usize = 3;
/// Number of bytes that arrive of a body that does not end.
const UNFINISHED_BYTES: usize = 490_000;
/// Time after which a sound body follows those that do not end.
const SOUND_DELAY: Duration = Duration::from_secs(10);
/// Interval at which bytes of a slow body arrive, and their number.
const SLOW_INTERVAL: Duration = Duration::from_millis(900);
const SLOW_BYTES: usize = 2_000;

fn frame(bytes: usize) -> Result<Frame<Bytes>, Infallible> {
    Ok(Frame::data(vec![7; bytes].into()))
}

fn slow_frames() -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> + Unpin {
    Box::pin(stream::repeat(()).then(|()| async {
        sleep(SLOW_INTERVAL).await;
        frame(SLOW_BYTES)
    }))
}

/// A body whose first bytes arrive and whose end does not.
fn unfinished() -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    StreamBody::new(stream::iter([frame(UNFINISHED_BYTES)]).chain(stream::pending()))
}

fn whole(bytes: usize) -> Full<Bytes> {
    Full::new(vec![7; bytes].into())
}

/// Guards against callers that keep others out by not finishing their bodies.
#[tokio::test(start_paused = true)]
async fn bodies_that_do_not_progress_make_room_for_others() {
    let memory = RequestMemory::new(MEGABYTES);
    let stalled = future::join_all((0..6).map(|_| memory.collect(unfinished(), LIMIT)));
    let sound = async {
        sleep(SOUND_DELAY).await;
        let body = memory.collect(whole(LIMIT), LIMIT).await;
        body.map(|body| body.len())
    };
    tokio::select! {
        _ = stalled => panic!("a body that nobody waits for is not given up"),
        sound = sound => assert_eq!(sound, Ok(LIMIT)),
    }
}

/// Guards against a least rate for callers on slow links while there is memory.
#[tokio::test(start_paused = true)]
async fn slow_bodies_are_collected_while_memory_is_not_short() {
    let memory = RequestMemory::new(MEGABYTES);
    let frames = slow_frames().take(LIMIT / SLOW_BYTES);
    let body = memory.collect(StreamBody::new(frames), LIMIT).await;
    assert_eq!(body.map(|body| body.len()), Ok(LIMIT));
}

/// Guards against bodies that wait for memory until their callers give up.
#[tokio::test(start_paused = true)]
async fn bodies_are_refused_while_others_keep_the_memory() {
    let memory = RequestMemory::new(MEGABYTES);
    let collected =
        future::join_all((0..FITTING).map(|_| memory.collect(whole(LIMIT), LIMIT))).await;
    assert!(collected.iter().all(Result::is_ok));
    let refused = memory.collect(whole(LIMIT), LIMIT).await;
    assert_eq!(refused.err(), Some(BodyError::NoMemory));
    let small = memory.collect(whole(16 << 10), LIMIT).await;
    assert!(small.is_ok(), "a small body needs no share");
    drop(collected);
    let since = Instant::now();
    assert!(memory.collect(whole(LIMIT), LIMIT).await.is_ok());
    assert_eq!(since.elapsed(), Duration::ZERO);
}

/// Guards against bodies that are read although their stated length is over the limit.
#[tokio::test]
async fn a_stated_length_over_the_limit_is_refused() {
    let memory = RequestMemory::new(MEGABYTES);
    let refused = memory.collect(whole(LIMIT + 1), LIMIT).await;
    assert_eq!(refused.err(), Some(BodyError::TooLong));
}
