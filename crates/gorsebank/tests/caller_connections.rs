//! More connections of callers than a gateway process has descriptors for.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use gorsebank_replay::live::free_address;
use platform::client::{Client, request};
use platform::process::GatewayProcess;
use platform::runner::{Reply, Runner, StreamEnd, events};
use platform::{start_store_with, wait_until};
use tokio::time::timeout;

/// Limit of the process's descriptors.
const DESCRIPTORS: usize = 300;
/// Number of connections that callers open at about the same time, and keep.
const CONNECTIONS: usize = 500;
/// Time after which a caller gives up a request that was not read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Writes a program that starts a gateway with few descriptors.
fn limited_program(directory: &Path) -> PathBuf {
    let program = directory.join("limited-gateway");
    let gateway = env!("CARGO_BIN_EXE_gorsebank");
    let script = format!("#!/bin/sh\nulimit -n {DESCRIPTORS}\nexec {gateway} \"$@\"\n");
    std::fs::write(&program, script).expect("the program is written");
    let permissions = std::fs::Permissions::from_mode(0o755);
    std::fs::set_permissions(&program, permissions).expect("the program is executable");
    program
}

/// What became of the first request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Served,
    /// The gateway read the request and did not serve it.
    Failed,
    /// The connection was refused, or closed with the request unread.
    Closed,
    /// Nothing happened for longer than a caller waits.
    Unread,
}

async fn send_first(address: std::net::SocketAddr, number: usize) -> (Fate, Option<Client>) {
    let Some(mut client) = Client::try_connect(address).await else {
        return (Fate::Closed, None);
    };
    let id = format!("first-{number}");
    let path = ["/read/", "/stream/"][number % 2];
    let response = timeout(READ_TIMEOUT, client.send(request(&id, path))).await;
    let fate = match response {
        Err(_) => Fate::Unread,
        Ok(None) => Fate::Closed,
        Ok(Some(response)) if response.status == 200 && response.is_complete => Fate::Served,
        Ok(Some(_)) => Fate::Failed,
    };
    (fate, Some(client))
}

#[tokio::test]
async fn a_gateway_with_most_new_connections_serves_what_it_reads_and_closes_the_rest() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let program = limited_program(&directory);
    let app = Runner::start("app-1", |_| Reply::Response(200, "read")).await;
    let engine = Runner::start("llm-1", |_| {
        Reply::Events(events(1, 5, Duration::from_millis(20)), StreamEnd::Complete)
    })
    .await;
    let store = start_store_with("app", &[&app]).await;
    store.put(
        "servers",
        &engine.id,
        platform::server_row(&engine, "llm", "ready"),
    );
    let addresses = [0, 1].map(|_| free_address().expect("a free port"));
    let gateway = GatewayProcess::start(&program, &store, addresses);
    wait_until(async || gateway.is_ready().await).await;
    let mut kept = Vec::new();
    let mut sending = Vec::new();
    for number in 0..CONNECTIONS {
        sending.push(tokio::spawn(send_first(gateway.callers, number)));
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
    let mut fates = Vec::new();
    for request in sending {
        let (fate, client) = request.await.expect("no panic");
        fates.push(fate);
        kept.extend(client);
    }
    let count = |fate: Fate| fates.iter().filter(|it| **it == fate).count();
    let (served, failed) = (count(Fate::Served), count(Fate::Failed));
    let (closed, unread) = (count(Fate::Closed), count(Fate::Unread));
    println!("{served} served, {failed} failed, {closed} closed, {unread} unread");
    assert!(
        served * 4 >= (served + failed) * 3,
        "{served} served, {failed} failed"
    );
    assert_eq!(unread, 0, "a caller can try another gateway at once");
    assert!(served >= DESCRIPTORS / 4, "{served} served");
    assert!(
        gateway.is_ready().await,
        "the gateway still answers the platform"
    );
}
