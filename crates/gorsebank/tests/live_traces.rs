//! Traces run over real processes; only rules that do not depend on timing are checked.

use std::path::PathBuf;

use gorsebank_replay::live::{Binaries, replay_live};
use gorsebank_replay::trace::Trace;

async fn assert_no_violations(path: &str) {
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../traces")
        .join(path);
    let trace = Trace::read(&file).expect("the trace can be read");
    let binaries = Binaries {
        gorsebank: PathBuf::from(env!("CARGO_BIN_EXE_gorsebank")),
        standin: PathBuf::from(env!("CARGO_BIN_EXE_gorsebank-standin")),
    };
    let (history, violations) = replay_live(binaries, &trace).await.expect("the trace runs");
    assert_eq!(violations, []);
    assert!(!history.executions.is_empty(), "nothing ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn placement_holder_killed_during_load_violates_no_rule() {
    assert_no_violations("replicas/holder-killed-mid-load.jsonl").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn same_key_at_two_routers_violates_no_rule() {
    assert_no_violations("once/one-key-at-two-routers-at-once.jsonl").await;
}
