//! Traces over real processes; only rules that cannot depend on timing.

use std::path::PathBuf;

use gorsebank_replay::live::{Binaries, play_live};
use gorsebank_replay::trace::Trace;

async fn plays_well(path: &str) {
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../traces")
        .join(path);
    let trace = Trace::read(&file).expect("the trace can be read");
    let binaries = Binaries {
        gorsebank: PathBuf::from(env!("CARGO_BIN_EXE_gorsebank")),
        standin: PathBuf::from(env!("CARGO_BIN_EXE_gorsebank-standin")),
    };
    let (history, violations) = play_live(binaries, &trace).await.expect("the trace plays");
    assert_eq!(violations, []);
    assert!(!history.executions.is_empty(), "nothing ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_holder_is_killed_mid_load() {
    plays_well("replicas/holder-killed-mid-load.jsonl").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_comes_to_two_routers_at_once() {
    plays_well("once/one-key-at-two-routers-at-once.jsonl").await;
}
