//! Which parts of prompts count as cached at a back end.

use std::sync::Arc;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{BackEndReport, Prompt, PromptPart};
use gorsebank_gateway::back_end::BackEnd;
use gorsebank_gateway::ports::RequestMetadata;

const NOW: Timestamp = Timestamp(1_000);

fn engine() -> Arc<BackEnd> {
    let report = BackEndReport {
        id: "i-1".into(),
        born: None,
        service: "llm".into(),
        software_version: "v1".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall".into(),
        slots: 8,
        warm_up_left_ms: 0,
        draining: false,
        holdings: Default::default(),
        in_memory: Default::default(),
        on_disk: Default::default(),
    };
    Arc::new(BackEnd::new(&report, true))
}

/// Guards against requests that prefer a back end for a prompt that it was never sent.
#[test]
fn a_prompt_counts_as_cached_only_once_it_is_written_to_the_back_end() {
    let parts = [("shared", 100), ("own", 20)];
    let parts = parts.map(|(id, tokens)| PromptPart {
        id: id.to_owned(),
        tokens,
    });
    let request = RequestMetadata {
        model: Some("m".into()),
        prompt: Prompt::new(parts.to_vec()),
        ..RequestMetadata::default()
    };
    let engine = engine();
    let unsent = engine.begin_prefill(&request);
    assert_eq!(engine.pending_prefill_tokens(), 120);
    drop(unsent);
    assert_eq!(engine.pending_prefill_tokens(), 0);
    assert_eq!(engine.uncached_tokens(&request), 120);

    let sent = engine.begin_prefill(&request);
    engine.record_prompt(NOW, &request);
    drop(sent);
    assert_eq!(engine.uncached_tokens(&request), 20);
}
