//! Streams that are taken up at a gateway process that stood still while engines of another software
//! version joined.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use gorsebank_replay::live::free_address;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::time::sleep;

use platform::client::send;
use platform::process::{GatewayEndpoints, GatewayProcess};
use platform::store::Store;
use platform::versions::{ReceivedStream, VersionedEngines, begin_stream, take_up_request};
use platform::{DISCOVERY_TIME, wait_until};

/// Number of streams that begin while a gateway stands still.
const STREAMS: usize = 16;
/// Number of events after which callers leave.
const EVENTS_BEFORE_LEAVING: usize = 4;
/// Time for which the gateway stands still before streams begin.
const SUSPENSION: Duration = Duration::from_millis(1_500);
/// Number of requests with which a caller takes a stream up at most, and the pause between two.
const TRIES: usize = 20;
const RETRY_PAUSE: Duration = Duration::from_millis(250);

async fn start_gateways(store: &Store, count: usize) -> Vec<GatewayProcess> {
    let program = Path::new(env!("CARGO_BIN_EXE_gorsebank"));
    let mut gateways = Vec::new();
    for number in 0..count {
        let [callers, readiness, relay] = [0, 1, 2].map(|_| free_address().expect("a free port"));
        let node = format!("node-{number}");
        let endpoints = GatewayEndpoints {
            node: &node,
            table: store.address,
            callers,
            readiness,
            relay: Some(relay),
            machine: None,
        };
        gateways.push(GatewayProcess::start_at(program, &endpoints, Stdio::null()));
    }
    for gateway in &gateways {
        wait_until(async || gateway.is_ready().await).await;
    }
    sleep(DISCOVERY_TIME).await;
    gateways
}

/// Takes a stream up until it is complete, and returns whether it is.
async fn take_up(gateway: &GatewayProcess, stream: &mut ReceivedStream, is_named: bool) -> bool {
    for attempt in 0..TRIES {
        let id = format!("{}-again-{attempt}", stream.first_request);
        let mut message = take_up_request(stream, &id);
        if !is_named {
            message.headers_mut().remove("Resumes");
        }
        if let Some(response) = send(gateway.callers, message).await
            && response.status == 200
        {
            stream.append(&response.body);
            return stream.is_complete();
        }
        sleep(RETRY_PAUSE).await;
    }
    false
}

/// Begins streams at two gateways while the third one stands still and engines of another version join,
/// and takes them up at the third one. Returns the streams, and how many of them are complete.
async fn take_up_at_a_suspended_gateway(is_named: bool) -> (Vec<ReceivedStream>, usize) {
    let mut engines = VersionedEngines::start(&["v1"], 3).await;
    let gateways = start_gateways(&engines.store, 3).await;
    let suspended = Pid::from_raw(gateways[2].child.id().try_into().expect("a process id"));
    kill(suspended, Signal::SIGSTOP).expect("the gateway is suspended");
    engines.add("v2", 6).await;
    sleep(SUSPENSION).await;
    let beginning = (0..STREAMS).map(|number| {
        let id = format!("stream-{number}");
        let gateway = gateways[number % 2].callers;
        async move { begin_stream(gateway, &id, EVENTS_BEFORE_LEAVING).await }
    });
    let mut streams = futures_util::future::join_all(beginning).await;
    kill(suspended, Signal::SIGCONT).expect("the gateway resumes");
    let taking_up = streams.iter_mut();
    let taking_up = taking_up.map(|stream| take_up(&gateways[2], stream, is_named));
    let complete = futures_util::future::join_all(taking_up).await;
    let complete = complete.into_iter().filter(|complete| *complete).count();
    (streams, complete)
}

fn joined(streams: &[ReceivedStream]) -> usize {
    let is_joined = |stream: &&ReceivedStream| stream.versions.len() > 1;
    streams.iter().filter(is_joined).count()
}

fn began(streams: &[ReceivedStream], version: &str) -> usize {
    let streams = streams.iter();
    streams
        .filter(|stream| stream.versions.contains(version))
        .count()
}

/// Guards against parts of two software versions in one stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_taken_up_at_a_gateway_that_stood_still_keep_their_software_version() {
    let (streams, complete) = take_up_at_a_suspended_gateway(true).await;
    assert!(
        began(&streams, "v2") > 0,
        "no stream began at the new version"
    );
    assert_eq!(joined(&streams), 0);
    assert_eq!(complete, STREAMS);
}

/// Guards against the same where callers do not name the first request of the stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unnamed_streams_taken_up_at_a_gateway_that_stood_still_are_not_joined() {
    let (streams, _) = take_up_at_a_suspended_gateway(false).await;
    assert!(
        began(&streams, "v2") > 0,
        "no stream began at the new version"
    );
    assert_eq!(joined(&streams), 0);
}
