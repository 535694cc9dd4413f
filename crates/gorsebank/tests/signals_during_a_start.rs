//! Signals that arrive while a gateway waits for its address, or while a process reads its settings.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};

use gorsebank_replay::live::free_address;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use platform::process::{
    GatewayEndpoints, GatewayProcess, open_while_read, settings_pipe, settings_text,
};
use platform::runner::{Reply, Runner};
use platform::store::Store;
use platform::{start_store_with, wait_until};

/// A back end and the store that lists it.
struct Service {
    store: Store,
    _runner: Runner,
}

impl Service {
    async fn start() -> Self {
        let runner = Runner::start("i-1", |_| Reply::Response(200, "done")).await;
        Service {
            store: start_store_with("app", &[&runner]).await,
            _runner: runner,
        }
    }

    fn endpoints(&self, callers: SocketAddr) -> GatewayEndpoints<'static> {
        let readiness = free_address().expect("a free port");
        GatewayEndpoints::without_relay(&self.store, [callers, readiness])
    }
}

/// A gateway whose address for callers is in use.
struct WaitingGateway {
    gateway: GatewayProcess,
    occupant: TcpListener,
    _output: BufReader<ChildStdout>,
}

impl WaitingGateway {
    /// Starts a gateway and returns when it waits for its address.
    fn start(service: &Service) -> Self {
        let occupant = TcpListener::bind("127.0.0.1:0").expect("a port");
        let endpoints = service.endpoints(occupant.local_addr().expect("an address"));
        let mut gateway = GatewayProcess::start_at(program(), &endpoints, Stdio::piped());
        let mut output = BufReader::new(gateway.child.stdout.take().expect("a pipe"));
        read_until(&mut output, "event=address_unavailable");
        WaitingGateway {
            gateway,
            occupant,
            _output: output,
        }
    }
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_gorsebank"))
}

/// Reads log lines up to the first that contains `text`; panics if the output ends before.
fn read_until(output: &mut impl BufRead, text: &str) {
    let found = output
        .lines()
        .any(|line| line.is_ok_and(|it| it.contains(text)));
    assert!(found, "the process ended without {text}");
}

fn send_signal(gateway: &GatewayProcess, signal: Signal) {
    let id = Pid::from_raw(gateway.child.id() as i32);
    kill(id, signal).expect("the process exists");
}

/// Waits until the process has ended, and asserts that it stopped as planned.
async fn assert_planned_stop(gateway: &mut GatewayProcess, signal: Signal) {
    wait_until(async || gateway.child.try_wait().is_ok_and(|it| it.is_some())).await;
    let status = gateway.child.wait().expect("an exit status");
    assert!(status.success(), "{signal}: {status}");
}

/// Starts a gateway and sends it a signal while it reads its settings.
async fn signal_while_settings_are_read(service: &Service, signal: Signal) -> GatewayProcess {
    let endpoints = service.endpoints(free_address().expect("a free port"));
    let pipe = settings_pipe();
    let gateway = GatewayProcess::start_from(program(), pipe.clone(), &endpoints, Stdio::null());
    let mut settings = open_while_read(&pipe);
    send_signal(&gateway, signal);
    // A process that the signal ended has closed the pipe.
    let _ = settings.write_all(settings_text(&endpoints).as_bytes());
    gateway
}

#[tokio::test]
async fn a_hang_up_does_not_end_a_gateway_that_waits_for_its_address() {
    let service = Service::start().await;
    let mut start = WaitingGateway::start(&service);
    send_signal(&start.gateway, Signal::SIGHUP);
    drop(start.occupant);
    start.gateway.wait_until_serving().await;
}

#[tokio::test]
async fn a_stop_of_a_gateway_that_waits_for_its_address_is_a_planned_stop() {
    let service = Service::start().await;
    for signal in [Signal::SIGTERM, Signal::SIGINT] {
        let mut start = WaitingGateway::start(&service);
        send_signal(&start.gateway, signal);
        assert_planned_stop(&mut start.gateway, signal).await;
    }
}

#[tokio::test]
async fn a_hang_up_does_not_end_a_gateway_that_reads_its_settings() {
    let service = Service::start().await;
    let mut gateway = signal_while_settings_are_read(&service, Signal::SIGHUP).await;
    gateway.wait_until_serving().await;
}

#[tokio::test]
async fn a_stop_of_a_gateway_that_reads_its_settings_is_a_planned_stop() {
    let service = Service::start().await;
    for signal in [Signal::SIGTERM, Signal::SIGINT] {
        let mut gateway = signal_while_settings_are_read(&service, signal).await;
        assert_planned_stop(&mut gateway, signal).await;
    }
}

/// Settings of a node that reaches no other service.
const NODE_SETTINGS: &str = r#"
[node]
id = "n1"
zone = "a"
cell = "c"
listen_callers = "127.0.0.1:0"
listen_nodes = "127.0.0.1:0"
listen_admin = "127.0.0.1:0"
[platform]
tables = ["127.0.0.1:9"]
machine_list = "127.0.0.1:9"
[drain]
linger = "10ms"
"#;

/// A child process that is killed when this value is dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn a_stop_of_a_node_that_reads_its_settings_is_a_planned_stop() {
    for signal in [Signal::SIGTERM, Signal::SIGINT] {
        let pipe = settings_pipe();
        let node = Command::new(program())
            .args(["node", "--settings"])
            .arg(&pipe)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let mut node = KillOnDrop(node.expect("the program starts"));
        let mut settings = open_while_read(&pipe);
        kill(Pid::from_raw(node.0.id() as i32), signal).expect("the process exists");
        // A process that the signal ended has closed the pipe.
        let _ = settings.write_all(NODE_SETTINGS.as_bytes());
        drop(settings);
        let status = node.0.wait().expect("an exit status");
        std::fs::remove_file(&pipe).expect("the pipe is removed");
        assert!(status.success(), "{signal}: {status}");
    }
}
