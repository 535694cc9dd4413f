//! Log lines for requests that a gateway cannot accept.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::path::Path;

use gorsebank_replay::live::free_address;

use platform::client::{request, send};
use platform::process::GatewayProcess;
use platform::store::Store;
use platform::wait_until;

/// Guards against a rejection without a log line: a request right after a restart, before the first
/// configuration, got status 503, and no log line gave the reason.
#[tokio::test]
async fn request_before_first_configuration_is_logged() {
    let store = Store::start().await;
    let addresses = [0, 1].map(|_| free_address().expect("a free port"));
    let program = Path::new(env!("CARGO_BIN_EXE_gorsebank"));
    let mut gateway = GatewayProcess::start(program, &store, addresses);
    wait_until(async || gateway.accepts_callers().await).await;
    let response = send(gateway.callers, request("early", "/read/")).await;
    assert_eq!(response.expect("a response").status, 503);
    let lines = gateway.read_lines();
    let is_logged = lines.iter().any(|line| {
        line.contains("event=request_end request=early outcome=no_configuration status=503")
    });
    assert!(is_logged, "{lines:#?}");
}
