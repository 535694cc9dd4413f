//! Memory of a gateway to which many callers send large bodies at the same time.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_replay::live::free_address;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use platform::large_body::{BodyFraming, LargeBody, read_status};
use platform::process::{GatewayProcess, MEMORY_MEGABYTES};
use platform::runner::{ReceivedRequest, Reply, Runner, large_body};
use platform::store::Store;
use platform::{
    configuration_for_large_bodies, server_row, start_store_with, wait_until, wait_until_within,
};

/// Number of callers in a crowd.
const CALLERS: usize = 100;
/// Maximum length of a body by the configuration, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Stated length of a body far beyond the limit, in bytes.
const FAR_TOO_LONG_BYTES: u64 = 8 << 30;
/// Number of bytes that are sent of a body beyond the limit.
const SENT_BEYOND_LIMIT_BYTES: usize = 20 << 20;
/// Length of a body in chunks of one byte, in bytes.
const SMALL_CHUNKS_BYTES: usize = 60_000;
/// Length of the body of an ordinary request, in bytes.
const ORDINARY_BYTES: usize = 200;
/// Pause before an ordinary request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Length of a piece of a body that is sent piece by piece, in bytes.
const PIECE_BYTES: usize = 64 << 10;
/// Length of a large chunk, in bytes.
const LARGE_CHUNK_BYTES: usize = 1 << 20;
/// Pause between pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(2);
/// Maximum number of open descriptors of the gateway beside a crowd.
const MAX_DESCRIPTORS: usize = 400;
/// Number of requests that the back end takes at the same time.
const MAX_REQUESTS: usize = 4_000;
/// Time for which the gateway works on a request, in milliseconds.
const TIMEOUT_MS: u64 = 60_000;
/// Time until the back end responds to a request of a crowd.
const RESPONSE_TIME: Duration = Duration::from_secs(15);
/// Time for which a crowd sends.
const SENDING_TIME: Duration = Duration::from_secs(10);
/// Time without growth after which the gateway's memory counts as settled.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Maximum time until the memory has settled.
const MAX_SETTLING_TIME: Duration = Duration::from_secs(30);
/// Time within which a gateway that does not hang serves a request.
const SERVING_LIMIT: Duration = Duration::from_secs(60);

/// Time within which a process stops, which is less than the deadline of the bodies.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Number of connections to the readiness address.
const PAGE_CALLERS: usize = 360;
/// Length of a head that does not end, in bytes.
const LONG_HEAD_BYTES: usize = 400_000;
/// Maximum time for which a head is written.
const HEAD_TIME: Duration = Duration::from_millis(100);

/// Framing of the longest body inside the limits.
const ANNOUNCED: BodyFraming = BodyFraming::Length(MAX_BODY_BYTES as u64);

/// Lets one test run at a time, since each uses much memory and processor time.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// A gateway process with its store and back end.
struct Service {
    gateway: GatewayProcess,
    runner: Runner,
    _store: Store,
    _running: MutexGuard<'static, ()>,
}

impl Service {
    /// Starts a gateway before a back end that is slow for every caller but the ordinary one.
    async fn start() -> Self {
        let running = RUNNING.lock().await;
        let reply = |request: &ReceivedRequest| match request.id().starts_with("crowd") {
            true => Reply::DelayedResponse(RESPONSE_TIME, 200, "late"),
            false => Reply::Response(200, "done"),
        };
        let runner = Runner::start("r-1", reply).await;
        let store = start_store_with("app", &[&runner]).await;
        let mut row = server_row(&runner, "app", "ready");
        row["slots"] = json!(MAX_REQUESTS);
        store.put("servers", &runner.id, row);
        let document = configuration_for_large_bodies(MAX_BODY_BYTES, MAX_REQUESTS, TIMEOUT_MS);
        store.put("op", "config", document);
        let addresses = [0, 1].map(|_| free_address().expect("a free port"));
        let program = Path::new(env!("CARGO_BIN_EXE_gorsebank"));
        let gateway = GatewayProcess::start(program, &store, addresses);
        wait_until(async || gateway.is_ready().await).await;
        Service {
            gateway,
            runner,
            _store: store,
            _running: running,
        }
    }

    /// Lets every caller of a crowd send the same body. Returns the connections that are open afterwards.
    async fn send_crowd(&self, body: LargeBody) -> Vec<TcpStream> {
        let body = Arc::new(body);
        let mut sending = JoinSet::new();
        for number in 0..CALLERS {
            let (body, address) = (body.clone(), self.gateway.callers);
            sending.spawn(async move {
                let id = format!("crowd-{number}");
                let writing = body.write(address, &id, TIMEOUT_MS);
                timeout(SENDING_TIME, writing).await.ok().flatten()
            });
        }
        sending.join_all().await.into_iter().flatten().collect()
    }

    /// Waits until the gateway's memory does not grow any more.
    async fn wait_until_settled(&self) {
        let mut previous = None;
        while previous != self.gateway.peak_memory() {
            previous = self.gateway.peak_memory();
            sleep(SETTLING_TIME).await;
        }
    }

    /// Sends an ordinary request until it is served.
    async fn repeat_ordinary_request(&self) {
        let ordinary = body(BodyFraming::Length(ORDINARY_BYTES as u64), ORDINARY_BYTES);
        for number in 0.. {
            let id = format!("ordinary-{number}");
            let writing = ordinary.write(self.gateway.callers, &id, TIMEOUT_MS);
            if let Some(mut stream) = writing.await
                && read_status(&mut stream).await == 200
            {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Checks that the process lives within its bounds and serves an ordinary request.
    async fn check(&mut self, crowd: &str) {
        let is_served = timeout(SERVING_LIMIT, self.repeat_ordinary_request()).await;
        let exit = self.gateway.child.try_wait().expect("the child's state");
        let megabytes = self.gateway.peak_memory().map(|bytes| bytes / 1_000_000);
        let descriptors = self.gateway.open_descriptors();
        println!("{crowd}: {megabytes:?} MB, {descriptors:?} descriptors, served {is_served:?}");
        assert_eq!(exit, None, "the process has ended");
        assert!(is_served.is_ok(), "no ordinary request was served");
        assert!(
            megabytes.expect("a running process") < MEMORY_MEGABYTES,
            "{megabytes:?} MB"
        );
        assert!(
            descriptors.expect("a running process") <= MAX_DESCRIPTORS,
            "{descriptors:?} descriptors"
        );
    }
}

/// Checks a gateway while a crowd whose callers send this body keeps its connections open.
async fn check_beside_crowd(crowd: &str, body: LargeBody) {
    let mut service = Service::start().await;
    let connections = service.send_crowd(body).await;
    // The memory still grows after the limit only if the gateway has not read what the crowd sent.
    let _ = timeout(MAX_SETTLING_TIME, service.wait_until_settled()).await;
    service.check(crowd).await;
    drop(connections);
}

/// A body of `sent_bytes` that is written at once.
fn body(framing: BodyFraming, sent_bytes: usize) -> LargeBody {
    LargeBody {
        framing,
        sent: vec![b'x'; sent_bytes],
        part_bytes: sent_bytes,
        parts_in_write: 1,
        pause: Duration::ZERO,
        has_end: false,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_announced_bodies_without_their_last_byte_do_not_use_up_the_memory() {
    check_beside_crowd("announced", body(ANNOUNCED, MAX_BODY_BYTES - 1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_announced_bodies_in_pieces_without_their_last_byte_do_not_use_up_the_memory() {
    let body = LargeBody {
        part_bytes: PIECE_BYTES,
        pause: PIECE_PAUSE,
        ..body(ANNOUNCED, MAX_BODY_BYTES - 1)
    };
    check_beside_crowd("announced, in pieces", body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_whole_bodies_that_wait_for_their_back_end_do_not_use_up_the_memory() {
    check_beside_crowd("whole", body(ANNOUNCED, MAX_BODY_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_bodies_in_large_chunks_without_an_end_do_not_use_up_the_memory() {
    let body = LargeBody {
        part_bytes: LARGE_CHUNK_BYTES,
        ..body(BodyFraming::Chunks, MAX_BODY_BYTES - 1)
    };
    check_beside_crowd("large chunks", body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_bodies_in_chunks_of_one_byte_without_an_end_do_not_use_up_the_memory() {
    let body = LargeBody {
        part_bytes: 1,
        parts_in_write: SMALL_CHUNKS_BYTES,
        ..body(BodyFraming::Chunks, SMALL_CHUNKS_BYTES)
    };
    check_beside_crowd("chunks of one byte", body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_bodies_announced_far_over_the_limit_do_not_use_up_the_memory() {
    let framing = BodyFraming::Length(FAR_TOO_LONG_BYTES);
    check_beside_crowd("far too long", body(framing, SENT_BEYOND_LIMIT_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_bodies_sent_far_over_the_limit_do_not_use_up_the_memory() {
    let body = LargeBody {
        part_bytes: LARGE_CHUNK_BYTES,
        ..body(BodyFraming::Chunks, SENT_BEYOND_LIMIT_BYTES)
    };
    check_beside_crowd("far too long, in chunks", body).await;
}

/// Guards against connections without an end that use more memory than those of callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_heads_without_an_end_at_the_readiness_address_do_not_use_up_the_memory() {
    let mut service = Service::start().await;
    let head = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(LONG_HEAD_BYTES));
    let mut connections = Vec::new();
    for _ in 0..PAGE_CALLERS {
        let connection = TcpStream::connect(service.gateway.readiness).await;
        let mut connection = connection.expect("a connection");
        // The gateway may close the connection before the head is written.
        let _ = timeout(HEAD_TIME, connection.write_all(head.as_bytes())).await;
        connections.push(connection);
    }
    let _ = timeout(MAX_SETTLING_TIME, service.wait_until_settled()).await;
    service.check("heads without an end").await;
}

/// Guards against bodies without an end that keep a stopping process from ending.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_process_stops_while_bodies_do_not_end() {
    let mut service = Service::start().await;
    let body = body(BodyFraming::Chunks, SMALL_CHUNKS_BYTES);
    let connections = service.send_crowd(body).await;
    let process = Pid::from_raw(service.gateway.child.id() as i32);
    kill(process, Signal::SIGTERM).expect("a running process");
    let child = &mut service.gateway.child;
    let has_ended = async || child.try_wait().expect("the child's state").is_some();
    wait_until_within(STOP_LIMIT, has_ended).await;
    drop(connections);
}

/// Guards against bounds that a single request inside the limits meets.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn single_bodies_inside_the_limits_reach_the_back_end_unchanged() {
    let service = Service::start().await;
    let plans = [
        (ANNOUNCED, MAX_BODY_BYTES, MAX_BODY_BYTES, 1),
        (BodyFraming::Chunks, MAX_BODY_BYTES, LARGE_CHUNK_BYTES, 1),
        (
            BodyFraming::Chunks,
            SMALL_CHUNKS_BYTES,
            1,
            SMALL_CHUNKS_BYTES,
        ),
    ];
    for (number, (framing, length, part_bytes, parts_in_write)) in plans.into_iter().enumerate() {
        let id = format!("single-{number}");
        let single = LargeBody {
            framing,
            sent: large_body(length).as_bytes().to_vec(),
            part_bytes,
            parts_in_write,
            pause: Duration::ZERO,
            has_end: matches!(framing, BodyFraming::Chunks),
        };
        let stream = single.write(service.gateway.callers, &id, TIMEOUT_MS).await;
        let mut stream = stream.expect("an open connection");
        let status = timeout(SERVING_LIMIT, read_status(&mut stream)).await;
        assert_eq!(status, Ok(200), "{id}");
        let requests = service.runner.requests();
        let received = requests.iter().find(|request| request.id() == id);
        let is_unchanged = received.expect("the request").body == single.sent;
        assert!(is_unchanged, "{id}");
    }
}
