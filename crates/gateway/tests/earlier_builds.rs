//! Tests the compatibility of messages and stored rows with earlier builds. Gateways of different
//! builds run side by side during a rolling update, so this build must read messages and rows of
//! earlier builds, and earlier builds must be able to read those of this build.
//!
//! `samples/BUILD` holds messages and rows as that build encoded them. A build is removed from the
//! list when no deployment runs it any more.

use std::path::PathBuf;

use ciborium::Value as Cbor;
use gorsebank_fleet::ledger::SavedUsage;
use gorsebank_fleet::placement::StoreRecords;
use gorsebank_fleet::quarantine::OutcomeNotice;
use gorsebank_fleet::{
    DrainNotice, LeaseRow, LimitNotice, LivenessProof, MemberRow, PlacedRow, PrefillSpeedRow,
};
use gorsebank_gateway::feed::{FeedRequest, TablePosition};
use gorsebank_gateway::relay::{RelayRequest, RelayResponse, TunnelRequest};
use gorsebank_gateway::tenant_quotas::{QuotaRequest, SendTimeRequest};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Builds that may run beside the current build.
const BUILDS: [&str; 4] = ["4986580", "4aa18de", "db3fbfa", "dfaf0bb"];

fn sample(build: &str, name: &str) -> String {
    let tests = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests");
    let path = tests.join("samples").join(build).join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Reads the sample messages of a file. Each line holds a name and the bytes in hexadecimal digits.
fn messages(build: &str, name: &str) -> Vec<(String, Vec<u8>)> {
    let line = |line: &str| {
        let (name, hex) = line.split_once(' ').expect("a name and bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
        (
            name.to_owned(),
            (0..hex.len()).step_by(2).map(byte).collect(),
        )
    };
    sample(build, name).lines().map(line).collect()
}

/// Returns whether `current` contains all values of `earlier` unchanged. `current` may have further
/// fields, because the earlier build finds fields by name and ignores unknown ones.
fn contains_all_of(earlier: &Cbor, current: &Cbor) -> bool {
    match (earlier, current) {
        (Cbor::Map(earlier), Cbor::Map(current)) => earlier.iter().all(|(key, value)| {
            let mut same = current.iter().filter(|(other, _)| other == key);
            same.any(|(_, other)| contains_all_of(value, other))
        }),
        (Cbor::Array(earlier), Cbor::Array(current)) => {
            let pairs = earlier.iter().zip(current);
            earlier.len() == current.len()
                && pairs
                    .into_iter()
                    .all(|(it, other)| contains_all_of(it, other))
        }
        _ => earlier == current,
    }
}

fn assert_messages_are_preserved<T: DeserializeOwned + Serialize>(build: &str, file: &str) {
    let samples = messages(build, file);
    assert!(samples.len() > 5, "{build}: {file}");
    for (name, bytes) in samples {
        let decoded: T = ciborium::from_reader(bytes.as_slice())
            .unwrap_or_else(|error| panic!("{build}: {name}: {error}"));
        let mut encoded = Vec::new();
        ciborium::into_writer(&decoded, &mut encoded).expect("the value can be encoded");
        let as_value = |bytes: &[u8]| ciborium::from_reader::<Cbor, _>(bytes).expect("a value");
        let (earlier, current) = (as_value(&bytes), as_value(&encoded));
        assert!(
            contains_all_of(&earlier, &current),
            "{build}: {name}: {earlier:?} is {current:?} now"
        );
    }
}

#[test]
fn messages_of_earlier_builds_are_decoded_and_encoded_without_loss() {
    for build in BUILDS {
        assert_messages_are_preserved::<RelayRequest>(build, "requests.txt");
        assert_messages_are_preserved::<RelayResponse>(build, "answers.txt");
    }
}

fn assert_row_is_preserved<T: DeserializeOwned + Serialize>(rows: &Value, name: &str) {
    let earlier = &rows[name];
    let decoded: T =
        serde_json::from_value(earlier.clone()).unwrap_or_else(|error| panic!("{name}: {error}"));
    let current = serde_json::to_value(&decoded).expect("the value can be encoded");
    assert_eq!(*earlier, current, "{name}");
}

#[test]
fn rows_of_earlier_builds_are_decoded_and_encoded_unchanged() {
    for build in BUILDS {
        let rows = serde_json::from_str(&sample(build, "rows.json")).expect("rows");
        assert_row_is_preserved::<MemberRow>(&rows, "member");
        assert_row_is_preserved::<PlacedRow>(&rows, "placed");
        assert_row_is_preserved::<LeaseRow>(&rows, "lease");
        assert_row_is_preserved::<StoreRecords>(&rows, "loads");
        assert_row_is_preserved::<PrefillSpeedRow>(&rows, "reading");
        assert_row_is_preserved::<Vec<OutcomeNotice>>(&rows, "quarantine");
        assert_row_is_preserved::<SavedUsage>(&rows, "saved_use");
    }
}

/// Rows of a later build may have additional fields, which this build has to ignore.
#[test]
fn unknown_fields_of_a_later_build_are_ignored() {
    for build in BUILDS {
        let mut rows: Value = serde_json::from_str(&sample(build, "rows.json")).expect("rows");
        for name in ["member", "placed", "lease", "reading"] {
            rows[name]["later"] = serde_json::json!({"a": [1]});
        }
        let row = |name: &str| rows[name].clone();
        assert!(serde_json::from_value::<MemberRow>(row("member")).is_ok());
        assert!(serde_json::from_value::<PlacedRow>(row("placed")).is_ok());
        assert!(serde_json::from_value::<LeaseRow>(row("lease")).is_ok());
        assert!(serde_json::from_value::<PrefillSpeedRow>(row("reading")).is_ok());
    }
}

/// A quota request as build 4aa18de and earlier builds decode it.
#[derive(Debug, Deserialize, PartialEq)]
struct EarlierQuotaRequest {
    #[serde(rename = "s")]
    shard: usize,
    #[serde(rename = "t")]
    tenant: String,
    #[serde(rename = "c")]
    cost: f64,
}

/// A feed request as build 0b4f494 and earlier builds decode it.
#[derive(Debug, Deserialize, PartialEq)]
struct EarlierFeedRequest {
    tables: Vec<TablePosition>,
    wait: u64,
    from: String,
    limits: Vec<LimitNotice>,
}

#[derive(Debug, Deserialize, PartialEq)]
enum EarlierRequest {
    Allowance(EarlierQuotaRequest),
    News(EarlierFeedRequest),
}

/// Earlier builds decode a request for a send time as a quota request for a tenant without a name.
/// They charge no tenant for it, and respond accordingly.
#[test]
fn earlier_builds_decode_a_send_time_request_as_a_quota_request_without_a_tenant() {
    let send_time = SendTimeRequest {
        back_end: 7,
        rate: 0.5,
        max_wait_ms: 300,
    };
    let mut bytes = Vec::new();
    let request = RelayRequest::Quota(QuotaRequest::for_send_time(send_time));
    ciborium::into_writer(&request, &mut bytes).expect("the value can be encoded");
    let decoded: EarlierRequest =
        ciborium::from_reader(bytes.as_slice()).expect("the message can be decoded");
    let without_tenant = EarlierQuotaRequest {
        shard: 0,
        tenant: String::new(),
        cost: 0.0,
    };
    assert_eq!(decoded, EarlierRequest::Allowance(without_tenant));
}

fn tunnel_request() -> TunnelRequest {
    TunnelRequest {
        back_end: "i-1".into(),
        incarnation: 7,
        is_exit_check: false,
        accepts_frames: true,
    }
}

/// Earlier builds close the connection on which they receive a request for a tunnel.
#[test]
fn earlier_builds_do_not_decode_a_request_for_a_tunnel() {
    let request = RelayRequest::Tunnel(tunnel_request());
    let mut bytes = Vec::new();
    ciborium::into_writer(&request, &mut bytes).expect("the value can be encoded");
    assert!(ciborium::from_reader::<EarlierRequest, _>(bytes.as_slice()).is_err());
}

/// A request for a tunnel as build dfaf0bb decodes it.
#[derive(Debug, Deserialize, PartialEq)]
struct EarlierTunnelRequest {
    back_end: String,
    incarnation: u64,
    is_exit_check: bool,
}

/// Build dfaf0bb opens a bare tunnel for a gateway that accepts frames.
#[test]
fn an_earlier_build_ignores_that_a_gateway_accepts_frames() {
    let request = tunnel_request();
    let mut bytes = Vec::new();
    ciborium::into_writer(&request, &mut bytes).expect("the value can be encoded");
    let decoded: EarlierTunnelRequest =
        ciborium::from_reader(bytes.as_slice()).expect("the message can be decoded");
    let expected = EarlierTunnelRequest {
        back_end: "i-1".to_owned(),
        incarnation: 7,
        is_exit_check: false,
    };
    assert_eq!(decoded, expected);
}

/// Earlier builds ignore the drain notices and liveness proofs of a feed request, and learn of a
/// drain from the back end's row.
#[test]
fn earlier_builds_ignore_drain_notices_and_liveness_proofs() {
    let limits = vec![LimitNotice {
        back_end: 7,
        rate: Some(0.5),
        age: 20,
    }];
    let feed_request = FeedRequest {
        tables: Vec::new(),
        wait_ms: 300,
        from: "node-1".into(),
        running: Vec::new(),
        quarantine: None,
        limits: limits.clone(),
        drain_notices: vec![DrainNotice {
            back_end: 8,
            age: 30,
        }],
        liveness_proofs: vec![LivenessProof {
            back_end: 9,
            age: 40,
        }],
    };
    let mut bytes = Vec::new();
    let request = RelayRequest::Updates(feed_request);
    ciborium::into_writer(&request, &mut bytes).expect("the value can be encoded");
    let decoded: EarlierRequest =
        ciborium::from_reader(bytes.as_slice()).expect("the message can be decoded");
    let known = EarlierFeedRequest {
        tables: Vec::new(),
        wait: 300,
        from: "node-1".to_owned(),
        limits,
    };
    assert_eq!(decoded, EarlierRequest::News(known));
}
