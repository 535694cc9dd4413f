//! Callers that went away: before their request was read, and without a word.

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
use platform::runner::{End, Reply, Runner, Seen, events};
use platform::{store_with, until};

/// Callers that leave.
const CALLERS: usize = 20;
/// Requests that may arrive all the same: a caller can leave while one is being sent.
const FEW: usize = 3;

fn stream(_: &Seen) -> Reply {
    Reply::Events(events(1, 20, Duration::from_millis(50)), End::Whole)
}

/// A ready gateway, a process of its own, and the runner that it sends streams to.
async fn gateway_with_runner() -> (GatewayProcess, Runner) {
    let runner = Runner::start("i-1", stream).await;
    let store = store_with("llm", &[&runner]).await;
    let addresses = [0, 1].map(|_| free_address().expect("a port"));
    let program = Path::new(env!("CARGO_BIN_EXE_gorsebank"));
    let gateway = GatewayProcess::start(program, &store, addresses);
    until(async || gateway.is_ready().await).await;
    (gateway, runner)
}

async fn ask_and_leave(gateway: &GatewayProcess, number: usize) {
    let mut caller = TcpStream::connect(gateway.callers).await.expect("there");
    let head = stream_bytes(&format!("gone-{number}"));
    caller.write_all(head.as_bytes()).await.expect("sent");
}

/// A process that stood still finds requests whose callers have closed long ago.
#[tokio::test]
async fn requests_whose_callers_left_before_they_were_read_are_not_sent_on() {
    let (gateway, runner) = gateway_with_runner().await;
    let warm = send(gateway.callers, request("r1", "/stream/")).await;
    assert_eq!(warm.expect("an answer").status, 200);
    let before = runner.seen().len();

    let id = Pid::from_raw(gateway.child.id().try_into().expect("an id"));
    kill(id, Signal::SIGSTOP).expect("it stands still");
    for number in 0..CALLERS {
        ask_and_leave(&gateway, number).await;
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    kill(id, Signal::SIGCONT).expect("it goes on");
    tokio::time::sleep(Duration::from_millis(800)).await;
    let arrived = runner.seen().len() - before;
    assert!(arrived <= FEW, "{arrived} of {CALLERS} were sent on");
}

/// Connections that say nothing, as after their callers went away without a word.
const SILENT: usize = 600;
/// New callers.
const NEW: usize = 20;

#[tokio::test]
async fn a_ready_gateway_takes_new_callers_beside_many_silent_ones() {
    let (gateway, _runner) = gateway_with_runner().await;
    let mut silent = Vec::new();
    for number in 0..SILENT {
        let mut caller = TcpStream::connect(gateway.callers).await.expect("there");
        // Every second one has said half of a request.
        if number % 2 == 0 {
            caller
                .write_all(b"POST /stream/ HTTP/1.1\r\nHost:")
                .await
                .expect("sent");
        }
        silent.push(caller);
    }
    assert!(gateway.is_ready().await);
    let began = Instant::now();
    let new = (0..NEW).map(|number| {
        let request = request(&format!("r{number}"), "/stream/");
        send(gateway.callers, request)
    });
    let answers = futures_util::future::join_all(new).await;
    let served = answers.iter().flatten().filter(|got| got.status == 200);
    assert_eq!(served.count(), NEW);
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "{:?}",
        began.elapsed()
    );
}
