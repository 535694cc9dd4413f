//! Gateways of different builds run side by side while machines are replaced one after the
//! other: what the build before says and keeps is read, and it can read what this one says.
//!
//! `samples/BUILD` holds messages and rows as that build encoded them. A build leaves when no
//! deployment runs it any more.

use std::path::PathBuf;

use ciborium::Value as Cbor;
use gorsebank_fleet::ledger::SavedUsage;
use gorsebank_fleet::placement::StoreRecords;
use gorsebank_fleet::quarantine::OutcomeNotice;
use gorsebank_fleet::{DrainNotice, LeaseRow, LimitNotice, MemberRow, PlacedRow, PrefillSpeedRow};
use gorsebank_gateway::feed::{FeedRequest, TablePosition};
use gorsebank_gateway::relay::{RelayRequest, RelayResponse};
use gorsebank_gateway::tenant_quotas::{QuotaRequest, SendTimeRequest};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Builds that may run beside this one.
const BUILDS: [&str; 3] = ["4986580", "4aa18de", "db3fbfa"];

fn sample(build: &str, name: &str) -> String {
    let tests = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests");
    let path = tests.join("samples").join(build).join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Samples of messages: a name and the bytes, a line each.
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

/// Whether everything that `earlier` says stands in `present` in the same way. What is new there
/// is passed over by the earlier build, which names its fields.
fn keeps(earlier: &Cbor, present: &Cbor) -> bool {
    match (earlier, present) {
        (Cbor::Map(earlier), Cbor::Map(present)) => earlier.iter().all(|(key, value)| {
            let mut same = present.iter().filter(|(other, _)| other == key);
            same.any(|(_, other)| keeps(value, other))
        }),
        (Cbor::Array(earlier), Cbor::Array(present)) => {
            let pairs = earlier.iter().zip(present);
            earlier.len() == present.len() && pairs.into_iter().all(|(it, other)| keeps(it, other))
        }
        _ => earlier == present,
    }
}

fn read_and_say_again<T: DeserializeOwned + Serialize>(build: &str, file: &str) {
    let samples = messages(build, file);
    assert!(samples.len() > 5, "{build}: {file}");
    for (name, bytes) in samples {
        let read: T = ciborium::from_reader(bytes.as_slice())
            .unwrap_or_else(|error| panic!("{build}: {name}: {error}"));
        let mut again = Vec::new();
        ciborium::into_writer(&read, &mut again).expect("it can be encoded");
        let as_value = |bytes: &[u8]| ciborium::from_reader::<Cbor, _>(bytes).expect("a value");
        let (earlier, present) = (as_value(&bytes), as_value(&again));
        assert!(
            keeps(&earlier, &present),
            "{build}: {name}: {earlier:?} is {present:?} now"
        );
    }
}

#[test]
fn messages_of_earlier_builds_are_read_and_said_as_they_were() {
    for build in BUILDS {
        read_and_say_again::<RelayRequest>(build, "requests.txt");
        read_and_say_again::<RelayResponse>(build, "answers.txt");
    }
}

fn row_is_read<T: DeserializeOwned + Serialize>(rows: &Value, name: &str) {
    let earlier = &rows[name];
    let read: T =
        serde_json::from_value(earlier.clone()).unwrap_or_else(|error| panic!("{name}: {error}"));
    let present = serde_json::to_value(&read).expect("it can be encoded");
    assert_eq!(*earlier, present, "{name}");
}

#[test]
fn rows_of_earlier_builds_are_read_and_written_as_they_were() {
    for build in BUILDS {
        let rows = serde_json::from_str(&sample(build, "rows.json")).expect("rows");
        row_is_read::<MemberRow>(&rows, "member");
        row_is_read::<PlacedRow>(&rows, "placed");
        row_is_read::<LeaseRow>(&rows, "lease");
        row_is_read::<StoreRecords>(&rows, "loads");
        row_is_read::<PrefillSpeedRow>(&rows, "reading");
        row_is_read::<Vec<OutcomeNotice>>(&rows, "quarantine");
        row_is_read::<SavedUsage>(&rows, "saved_use");
    }
}

/// The same the other way round: a later build may say more.
#[test]
fn fields_of_a_later_build_are_passed_over() {
    for build in BUILDS {
        let mut rows: Value = serde_json::from_str(&sample(build, "rows.json")).expect("rows");
        for name in ["member", "placed", "lease", "reading"] {
            rows[name]["later"] = serde_json::json!({"a": [1]});
        }
        let read = |name: &str| rows[name].clone();
        assert!(serde_json::from_value::<MemberRow>(read("member")).is_ok());
        assert!(serde_json::from_value::<PlacedRow>(read("placed")).is_ok());
        assert!(serde_json::from_value::<LeaseRow>(read("lease")).is_ok());
        assert!(serde_json::from_value::<PrefillSpeedRow>(read("reading")).is_ok());
    }
}

/// A question on limits as builds before 4aa18de, and that one, know it.
#[derive(Debug, Deserialize, PartialEq)]
struct EarlierAsk {
    #[serde(rename = "s")]
    seat: usize,
    #[serde(rename = "t")]
    tenant: String,
    #[serde(rename = "c")]
    cost: f64,
}

/// A question for news as builds before 0b4f494, and that one, know it.
#[derive(Debug, Deserialize, PartialEq)]
struct EarlierQuestion {
    tables: Vec<TablePosition>,
    wait: u64,
    from: String,
    limits: Vec<LimitNotice>,
}

#[derive(Debug, Deserialize, PartialEq)]
enum EarlierRequest {
    Allowance(EarlierAsk),
    News(EarlierQuestion),
}

/// It counts for no tenant without a name, and answers that.
#[test]
fn a_question_for_a_time_at_a_back_end_is_one_of_no_tenant_to_earlier_builds() {
    let send_time = SendTimeRequest {
        back_end: 7,
        rate: 0.5,
        max_wait_ms: 300,
    };
    let mut bytes = Vec::new();
    let request = RelayRequest::Quota(QuotaRequest::for_send_time(send_time));
    ciborium::into_writer(&request, &mut bytes).expect("it can be encoded");
    let read: EarlierRequest = ciborium::from_reader(bytes.as_slice()).expect("it is read");
    let nothing = EarlierAsk {
        seat: 0,
        tenant: String::new(),
        cost: 0.0,
    };
    assert_eq!(read, EarlierRequest::Allowance(nothing));
}

/// They read what they know of it, and go by the back end's row.
#[test]
fn back_ends_that_leave_are_passed_over_by_earlier_builds() {
    let limits = vec![LimitNotice {
        back_end: 7,
        rate: Some(0.5),
        age: 20,
    }];
    let question = FeedRequest {
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
    };
    let mut bytes = Vec::new();
    let request = RelayRequest::Updates(question);
    ciborium::into_writer(&request, &mut bytes).expect("it can be encoded");
    let read: EarlierRequest = ciborium::from_reader(bytes.as_slice()).expect("it is read");
    let known = EarlierQuestion {
        tables: Vec::new(),
        wait: 300,
        from: "node-1".to_owned(),
        limits,
    };
    assert_eq!(read, EarlierRequest::News(known));
}
