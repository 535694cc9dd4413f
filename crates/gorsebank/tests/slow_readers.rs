//! Memory of a gateway whose callers do not read their streams.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::path::Path;
use std::time::Duration;

use gorsebank_replay::live::free_address;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use platform::client::{request, send, stream_bytes_within};
use platform::process::{GatewayProcess, MEMORY_MEGABYTES};
use platform::runner::{EndlessResponse, ReceivedRequest, Reply, Runner, StreamEnd, events};
use platform::{configuration_for_many_streams, server_row, start_store_with, wait_until};
use serde_json::json;

/// Number of events of a stream, which its back end sends without a pause.
const EVENTS: u64 = 60;
/// Time for which the gateway receives streams that nobody reads.
const OBSERVED_TIME: Duration = Duration::from_secs(6);
/// Number of requests that the back end takes at the same time.
const MAX_REQUESTS: usize = 4_000;
/// Time for which the gateway works on a stream, in milliseconds.
const TIMEOUT_MS: u64 = 20_000;
/// Sound requests beside them.
const SOUND_REQUESTS: usize = 20;

/// A stream of events with this number of bytes each; sound requests get a short one.
fn stream(request: &ReceivedRequest, event_bytes: usize) -> Reply {
    if request.id().starts_with("sound") {
        return Reply::Events(events(1, 5, Duration::ZERO), StreamEnd::Complete);
    }
    let event = |number| {
        let text = format!("id: {number}\ndata: {}\n\n", "x".repeat(event_bytes));
        (Duration::ZERO, text)
    };
    Reply::Events((1..=EVENTS).map(event).collect(), StreamEnd::Complete)
}

/// Lets callers send a request for a stream and read nothing. Returns the largest memory that the gateway
/// has used, in megabytes.
async fn peak_memory_of(
    callers: usize,
    reply: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> u64 {
    let runner = Runner::start("i-1", reply).await;
    let store = start_store_with("llm", &[&runner]).await;
    let mut row = server_row(&runner, "llm", "ready");
    row["slots"] = json!(MAX_REQUESTS);
    store.put("servers", &runner.id, row);
    let document = configuration_for_many_streams(MAX_REQUESTS, TIMEOUT_MS);
    store.put("op", "config", document);
    let addresses = [0, 1].map(|_| free_address().expect("a free port"));
    let program = Path::new(env!("CARGO_BIN_EXE_gorsebank"));
    let gateway = GatewayProcess::start(program, &store, addresses);
    wait_until(async || gateway.is_ready().await).await;
    let mut silent = Vec::new();
    for number in 0..callers {
        let mut caller = TcpStream::connect(gateway.callers)
            .await
            .expect("a connection");
        let head = stream_bytes_within(&format!("silent-{number}"), TIMEOUT_MS);
        caller
            .write_all(head.as_bytes())
            .await
            .expect("the request is sent");
        silent.push(caller);
    }
    tokio::time::sleep(OBSERVED_TIME).await;
    for number in 0..SOUND_REQUESTS {
        let response = send(
            gateway.callers,
            request(&format!("sound-{number}"), "/stream/"),
        )
        .await;
        assert_eq!(
            response.expect("a response").status,
            200,
            "beside {callers} others"
        );
    }
    gateway.peak_memory().expect("a running process") / 1_000_000
}

/// Guards against events that are bounded one by one, but not together.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_that_nobody_reads_do_not_use_up_the_memory() {
    for (callers, event_bytes) in [(20, 1_000_000), (60, 250_000), (400, 60_000)] {
        let reply = move |request: &ReceivedRequest| stream(request, event_bytes);
        let megabytes = peak_memory_of(callers, reply).await;
        assert!(
            megabytes < MEMORY_MEGABYTES,
            "{megabytes} MB with {callers} streams of events of {event_bytes} bytes"
        );
    }
}

/// Guards against partial events without an end that are bounded one by one, but not together.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_without_an_end_do_not_use_up_the_memory() {
    let reply = |request: &ReceivedRequest| match request.id().starts_with("sound") {
        true => stream(request, 0),
        false => Reply::Endless(EndlessResponse::Chunks),
    };
    let megabytes = peak_memory_of(400, reply).await;
    assert!(megabytes < MEMORY_MEGABYTES, "{megabytes} MB");
}
