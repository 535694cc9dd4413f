//! Tests of the rows that store which software version began each stream.

use gorsebank_fleet::stream_origin_row::MAX_BATCH_RECORDS;
use gorsebank_fleet::{OriginRecord, StreamKey, StreamOriginRow};

/// Maximum size of a row's content in the table, after its encoding in Base64.
const MAX_ROW_BYTES: usize = 65_536;

fn record(number: usize) -> OriginRecord {
    OriginRecord {
        stream: StreamKey::new(&"llm".into(), &format!("request-{number}")),
        version: format!("2026.{}", number % 2).as_str().into(),
        lifetime_ms: 30_000,
    }
}

fn row(count: usize) -> StreamOriginRow {
    let mut row = StreamOriginRow::default();
    (0..count).for_each(|number| row.add(&record(number)));
    row
}

#[test]
fn a_row_that_was_read_has_the_records_that_were_added() {
    let text = serde_json::to_string(&row(100)).expect("a document");
    let read: StreamOriginRow = serde_json::from_str(&text).expect("a row");
    let records: Vec<OriginRecord> = read.records().collect();
    assert_eq!(records.len(), 100);
    assert!((0..100).all(|number| records.contains(&record(number))));
}

#[test]
fn the_largest_row_fits_into_the_table() {
    let mut count = 0;
    while !row(count + 1).is_full() {
        count += 1;
    }
    let text = serde_json::to_string(&row(count + MAX_BATCH_RECORDS)).expect("a document");
    assert!(text.len() * 4 / 3 < MAX_ROW_BYTES, "{} bytes", text.len());
}

#[test]
fn keys_that_are_no_fingerprints_are_left_out() {
    let text =
        r#"{"lifetime_ms":30000,"streams":{"v1":["", "x", "1234567890abcdef1234567890abcdef0"]}}"#;
    let read: StreamOriginRow = serde_json::from_str(text).expect("a row");
    assert_eq!(read.records().count(), 0);
}
