//! Callers that disconnect before the gateway reads their request, and connections that stay idle.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::path::Path;
use std::time::{Duration, Instant};

use gorsebank_replay::live::free_address;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use platform::client::{request, send, stream_bytes};
use platform::process::GatewayProcess;
use platform::runner::{ReceivedRequest, Reply, Runner, StreamEnd, events};
use platform::{start_store_with, wait_until};

/// Number of callers that disconnect.
const DISCONNECTING_CALLERS: usize = 20;
/// Number of requests that may still arrive: a caller can disconnect while its request is
/// forwarded.
const MAX_FORWARDED: usize = 3;

fn stream(_: &ReceivedRequest) -> Reply {
    Reply::Events(
        events(1, 20, Duration::from_millis(50)),
        StreamEnd::Complete,
    )
}

/// Starts a gateway process and a back end that responds with streams, and waits until the gateway
/// is ready.
async fn gateway_with_runner() -> (GatewayProcess, Runner) {
    let runner = Runner::start("i-1", stream).await;
    let store = start_store_with("llm", &[&runner]).await;
    let addresses = [0, 1].map(|_| free_address().expect("a free port"));
    let program = Path::new(env!("CARGO_BIN_EXE_gorsebank"));
    let gateway = GatewayProcess::start(program, &store, addresses);
    wait_until(async || gateway.is_ready().await).await;
    (gateway, runner)
}

async fn send_and_disconnect(gateway: &GatewayProcess, number: usize) {
    let mut caller = TcpStream::connect(gateway.callers)
        .await
        .expect("the gateway accepts connections");
    let request_head = stream_bytes(&format!("gone-{number}"));
    caller
        .write_all(request_head.as_bytes())
        .await
        .expect("the request is sent");
}

/// Guards against forwarding requests for which no caller waits: a gateway that was suspended finds
/// requests whose callers closed their connections in the meantime.
#[tokio::test]
async fn requests_of_disconnected_callers_are_not_forwarded() {
    let (gateway, runner) = gateway_with_runner().await;
    let warm_up = send(gateway.callers, request("r1", "/stream/")).await;
    assert_eq!(warm_up.expect("a response").status, 200);
    let count_before = runner.requests().len();

    let process_id = Pid::from_raw(
        gateway
            .child
            .id()
            .try_into()
            .expect("the process id is valid"),
    );
    kill(process_id, Signal::SIGSTOP).expect("the gateway is suspended");
    for number in 0..DISCONNECTING_CALLERS {
        send_and_disconnect(&gateway, number).await;
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    kill(process_id, Signal::SIGCONT).expect("the gateway resumes");
    tokio::time::sleep(Duration::from_millis(800)).await;
    let forwarded = runner.requests().len() - count_before;
    assert!(
        forwarded <= MAX_FORWARDED,
        "{forwarded} of {DISCONNECTING_CALLERS} were forwarded"
    );
}

/// Number of idle connections, as left behind by callers that vanished without closing them.
const IDLE_CONNECTIONS: usize = 600;
/// Number of new callers.
const NEW_CALLERS: usize = 20;

#[tokio::test]
async fn idle_connections_do_not_block_new_callers() {
    let (gateway, _runner) = gateway_with_runner().await;
    let mut idle = Vec::new();
    for number in 0..IDLE_CONNECTIONS {
        let mut caller = TcpStream::connect(gateway.callers)
            .await
            .expect("the gateway accepts connections");
        // Every second connection has sent half of a request head.
        if number % 2 == 0 {
            caller
                .write_all(b"POST /stream/ HTTP/1.1\r\nHost:")
                .await
                .expect("the request is sent");
        }
        idle.push(caller);
    }
    assert!(gateway.is_ready().await);
    let started_at = Instant::now();
    let new_callers = (0..NEW_CALLERS).map(|number| {
        let request = request(&format!("r{number}"), "/stream/");
        send(gateway.callers, request)
    });
    let responses = futures_util::future::join_all(new_callers).await;
    let served = responses
        .iter()
        .flatten()
        .filter(|response| response.status == 200);
    assert_eq!(served.count(), NEW_CALLERS);
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
}
