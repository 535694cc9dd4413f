//! Owners of engines: agreement, silence, and requests that an earlier build reads.

use std::collections::BTreeSet;

use gorsebank_coordination::Timestamp;
use gorsebank_gateway::prefill_pacing::{PrefillPacing, PrefillRequest};
use gorsebank_gateway::tenant_quotas::{QuotaRequest, QuotaResponse};

const NOW: Timestamp = Timestamp(10_000);

fn prompt(engine: u64) -> PrefillRequest {
    PrefillRequest {
        engine,
        gap_ms: 300,
        tokens: 1_400,
        max_wait_ms: 500,
        has_alternative: false,
        pause_ms: 0,
    }
}

fn pacing_of(names: &[&str]) -> PrefillPacing {
    let pacing = PrefillPacing::default();
    pacing.set_gateways(names.iter().copied());
    pacing
}

#[test]
fn loss_of_a_gateway_moves_its_engines_only() {
    let before = pacing_of(&["a", "b", "c", "d"]);
    let after = pacing_of(&["a", "b", "d"]);
    let mut owners = BTreeSet::new();
    for engine in (0..400_u64).map(|index| index.wrapping_mul(0x9E37_79B9_7F4A_7C15)) {
        let owner = before.owner(NOW, engine).expect("gateways are known");
        if owner.as_str() != "c" {
            assert_eq!(after.owner(NOW, engine).as_ref(), Some(&owner));
        }
        owners.insert(owner);
    }
    assert_eq!(owners.len(), 4, "every gateway owns engines");
}

#[test]
fn silent_owner_is_not_asked_for_a_while() {
    let pacing = pacing_of(&["a"]);
    let owner = pacing.owner(NOW, 7).expect("a gateway is known");
    pacing.record_silence(NOW, owner.clone());
    assert_eq!(pacing.owner(NOW + 1_000, 7), None);
    assert_eq!(pacing.owner(NOW + 2_000, 7), Some(owner));
}

#[test]
fn new_owner_without_a_limit_delays_nobody() {
    let pacing = pacing_of(&["a"]);
    let mut responses = (0..50).map(|_| pacing.handle_request(NOW, &prompt(7)));
    let at_once = QuotaResponse::Reserved { wait_ms: 0 };
    assert!(responses.all(|response| response == at_once));
}

#[test]
fn long_pause_delays_later_prompts() {
    let pacing = pacing_of(&["a"]);
    for _ in 0..6 {
        pacing.handle_request(NOW, &prompt(7));
    }
    let pause = PrefillRequest {
        tokens: 0,
        pause_ms: 360,
        ..prompt(7)
    };
    pacing.handle_request(NOW + 400, &pause);
    let later = NOW + 1_000;
    let last = (0..6)
        .map(|_| pacing.handle_request(later, &prompt(7)))
        .last();
    assert!(matches!(
        last,
        Some(QuotaResponse::Reserved { wait_ms: 300.. })
    ));
}

#[test]
fn earlier_build_reads_the_request_as_a_charge_to_no_tenant() {
    /// The fields that the build before reads.
    #[derive(serde::Deserialize)]
    struct EarlierRequest {
        #[serde(rename = "t")]
        tenant: String,
        #[serde(rename = "c")]
        cost: f64,
        #[serde(rename = "b", default)]
        send_time: Option<serde_json::Value>,
    }
    let message = serde_json::to_value(QuotaRequest::for_prefill(prompt(7))).expect("it is valid");
    let read: EarlierRequest = serde_json::from_value(message).expect("it can be read");
    assert_eq!((read.tenant.as_str(), read.cost), ("", 0.0));
    assert!(read.send_time.is_none());
    let without = serde_json::to_value(QuotaRequest::without_charge()).expect("it is valid");
    assert_eq!(without.get("p"), None);
}
