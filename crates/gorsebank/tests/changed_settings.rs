//! Settings files that are written while a gateway starts.

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::io::Write;
use std::path::Path;
use std::process::Stdio;

use gorsebank_replay::live::free_address;

use platform::process::{
    GatewayEndpoints, GatewayProcess, open_while_read, settings_path, settings_pipe, settings_text,
};
use platform::runner::{Reply, Runner};
use platform::start_store_with;

#[tokio::test]
async fn a_gateway_starts_although_its_settings_file_was_incomplete_at_first() {
    let runner = Runner::start("i-1", |_| Reply::Response(200, "done")).await;
    let store = start_store_with("app", &[&runner]).await;
    let addresses = [0, 1].map(|_| free_address().expect("a free port"));
    let endpoints = GatewayEndpoints::without_relay(&store, addresses);
    let text = settings_text(&endpoints);
    let program = Path::new(env!("CARGO_BIN_EXE_gorsebank"));
    let path = settings_pipe();
    let mut gateway = GatewayProcess::start_from(program, path.clone(), &endpoints, Stdio::null());
    let mut incomplete = open_while_read(&path);
    // The complete file is in place before the gateway has read the incomplete one.
    let complete = settings_path();
    std::fs::write(&complete, &text).expect("the settings file is written");
    std::fs::rename(&complete, &path).expect("the settings file is replaced");
    incomplete
        .write_all(&text.as_bytes()[..text.len() / 2])
        .expect("the gateway reads its settings");
    drop(incomplete);
    gateway.wait_until_serving().await;
}
