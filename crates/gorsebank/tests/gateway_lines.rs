//! Requests that a gateway cannot take in leave a line, too.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::path::Path;

use gorsebank_replay::live::free_address;

use platform::client::{request, send};
use platform::process::GatewayProcess;
use platform::store::Store;
use platform::until;

/// Found in a hunt: a request that came right after a restart got 503, and no line
/// told why.
#[tokio::test]
async fn a_request_before_the_first_configuration_leaves_a_line() {
    let store = Store::start().await;
    let addresses = [0, 1].map(|_| free_address().expect("a port"));
    let program = Path::new(env!("CARGO_BIN_EXE_gorsebank"));
    let mut gateway = GatewayProcess::start(program, &store, addresses);
    until(async || gateway.listens().await).await;
    let got = send(gateway.callers, request("early", "/read/")).await;
    assert_eq!(got.expect("an answer").status, 503);
    let lines = gateway.read_lines();
    let told = lines.iter().any(|line| {
        line.contains("event=request_end request=early outcome=no_configuration status=503")
    });
    assert!(told, "{lines:#?}");
}
