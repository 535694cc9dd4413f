//! The memory for collected responses: bodies that do not fit wait, and bodies that are too long fail.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gorsebank_gateway::collected_body::CollectedBody;
use gorsebank_gateway::response_memory::{CollectError, ResponseMemory};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Full, StreamBody};
use proptest::prelude::*;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Memory of the process. A quarter of it is for bodies, and half of that for one body.
const MEGABYTES: u32 = 8;
const MAX_BODY_BYTES: usize = 1_000_000;
/// Back ends that send bodies.
const BACK_END: &str = "i-1";
const OTHER_BACK_END: &str = "i-2";
/// Time after which a body that is not collected counts as waiting.
const WAIT_TIME: Duration = Duration::from_millis(100);

fn chunks(chunk: usize, count: usize) -> impl Body<Data = Bytes> + Unpin {
    let frames = (0..count).map(move |_| Ok::<_, Infallible>(Frame::data(vec![7; chunk].into())));
    StreamBody::new(stream::iter(frames))
}

async fn collect_all(memory: &ResponseMemory, count: usize) -> Vec<CollectedBody> {
    let mut bodies = Vec::new();
    for _ in 0..count {
        let body = memory.collect(chunks(10_000, 60), BACK_END).await;
        bodies.push(body.expect("a body"));
    }
    bodies
}

#[tokio::test]
async fn a_body_that_is_too_long_fails() {
    let memory = ResponseMemory::new(MEGABYTES);
    assert_eq!(memory.max_body_bytes(), MAX_BODY_BYTES);
    let endless = memory.collect(chunks(10_000, usize::MAX), BACK_END).await;
    assert_eq!(endless.err(), Some(CollectError::TooLong));
    let stated = memory.collect(
        Full::new(Bytes::from(vec![7; MAX_BODY_BYTES + 1])),
        BACK_END,
    );
    assert_eq!(stated.await.err(), Some(CollectError::TooLong));
    assert!(memory.collect(chunks(10_000, 100), BACK_END).await.is_ok());
}

/// Guards against bodies that are bounded one by one, but not together.
#[tokio::test]
async fn a_body_waits_while_the_memory_is_in_use() {
    let memory = ResponseMemory::new(MEGABYTES);
    let mut bodies = collect_all(&memory, 2).await;
    let waiting = timeout(WAIT_TIME, memory.collect(chunks(10_000, 60), BACK_END)).await;
    assert!(waiting.is_err(), "there is no memory for a third body");
    let small = timeout(WAIT_TIME, memory.collect(chunks(100, 10), BACK_END)).await;
    assert!(matches!(small, Ok(Ok(_))), "a small body needs no share");
    bodies.pop();
    let third = timeout(WAIT_TIME, memory.collect(chunks(10_000, 60), BACK_END)).await;
    assert!(matches!(third, Ok(Ok(_))), "the caller has received a body");
}

/// Guards against bodies that wait for each other after each has got a part of the memory.
#[tokio::test]
async fn concurrent_bodies_are_all_collected() {
    let memory = ResponseMemory::new(MEGABYTES);
    let collecting = (0..20).map(|_| async {
        let body = memory
            .collect(chunks(10_000, 90), BACK_END)
            .await
            .expect("a body");
        assert_eq!(body.len(), 900_000);
    });
    let all = futures_util::future::join_all(collecting);
    timeout(Duration::from_secs(5), all)
        .await
        .expect("no body waits for ever");
}

/// A body whose first bytes arrive and whose end does not.
fn unfinished(bytes: usize) -> impl Body<Data = Bytes, Error = Infallible> + Unpin + Send {
    let first = stream::iter([Ok::<_, Infallible>(Frame::data(vec![7; bytes].into()))]);
    StreamBody::new(first.chain(stream::pending()))
}

/// Guards against slow bodies of one back end that stop those of others.
#[tokio::test]
async fn unfinished_bodies_of_one_back_end_leave_memory_for_others() {
    let memory = Arc::new(ResponseMemory::new(MEGABYTES));
    let mut slow = JoinSet::new();
    for bytes in [900_000, 400_000, 400_000, 400_000] {
        let memory = memory.clone();
        slow.spawn(async move { memory.collect(unfinished(bytes), BACK_END).await });
    }
    tokio::time::sleep(WAIT_TIME).await;
    for _ in 0..10 {
        let sound = memory.collect(chunks(10_000, 40), OTHER_BACK_END);
        let sound = timeout(WAIT_TIME, sound).await;
        assert!(matches!(sound, Ok(Ok(_))), "400 kB from another back end");
    }
}

/// Guards against bodies that wait for one that needs more memory than callers leave free.
#[tokio::test]
async fn a_body_that_fits_is_collected_while_a_longer_one_waits() {
    let memory = ResponseMemory::new(MEGABYTES);
    let _unsent = collect_all(&memory, 2).await;
    let mut waiting = pin!(memory.collect(chunks(10_000, 60), BACK_END));
    assert!(timeout(WAIT_TIME, &mut waiting).await.is_err());
    let stated = Full::new(Bytes::from(vec![7; 400_000]));
    let stated = timeout(WAIT_TIME, memory.collect(stated, OTHER_BACK_END)).await;
    assert!(matches!(stated, Ok(Ok(_))), "there is memory for this one");
}

proptest! {
    /// The collected bytes are those of the body, in their order, and their number is stated.
    #[test]
    fn collected_bytes_are_unchanged(pieces in prop::collection::vec(0_usize..100_000, 0..8)) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(async {
            let numbered = |(index, length): (usize, &usize)| Bytes::from(vec![index as u8; *length]);
            let pieces: Vec<Bytes> = pieces.iter().enumerate().map(numbered).collect();
            let expected = pieces.concat();
            let frames = pieces.into_iter().map(|piece| Ok::<_, Infallible>(Frame::data(piece)));
            let memory = ResponseMemory::new(MEGABYTES);
            let body = memory.collect(StreamBody::new(stream::iter(frames)), BACK_END).await.expect("a body");
            prop_assert_eq!(body.size_hint().exact(), Some(expected.len() as u64));
            prop_assert_eq!(body.collect().await.expect("bytes").to_bytes(), expected);
            Ok(())
        })?;
    }
}
