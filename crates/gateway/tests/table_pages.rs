//! Whole tables travel in pages: no message grows with the table.

use std::time::Duration;

use gorsebank_contract::TableRow;
use gorsebank_gateway::Clock;
use gorsebank_gateway::feed::{
    FeedResponse, TableCache, TablePosition, TableUpdate, UpdateContent,
};
use gorsebank_gateway::ports::{RowChange, TableChanges, TableSnapshot};

const TABLE: &str = "servers";
/// What a message may hold: a fifth of a second on a link of 10 megabits a second.
const LARGEST_MESSAGE: usize = 256 * 1024;

fn row(number: usize, modified: u64) -> TableRow {
    let value = format!(
        "{{\"service\":\"llm\",\"addr\":\"10.1.{}.{}:8080\",\"zone\":\"hall-a\",\"version\":\"v1\",\
         \"slots\":12,\"state\":\"ready\",\"rest\":0,\"models\":[{{\"name\":\"m{}\",\
         \"version\":1,\"adapters\":[]}}],\"seq\":{modified}}}",
        number / 250,
        number % 250,
        number % 574
    );
    TableRow {
        key: format!("{TABLE}/i-{number:06}"),
        value,
        modified,
    }
}

fn feeder(rows: usize) -> TableCache {
    let mut cache = TableCache::new(Clock::default());
    let rows = (0..rows).map(|number| row(number, 1 + number as u64));
    let rows: Vec<TableRow> = rows.collect();
    let version = rows.len() as u64;
    cache.replace(TABLE, &TableSnapshot { rows, version }, Duration::ZERO);
    cache
}

fn change(feeder: &mut TableCache, changes: Vec<RowChange>, version: u64) {
    let known = feeder.version(TABLE).expect("a version");
    let told = TableChanges { changes, version };
    feeder.advance(TABLE, known, &told, Duration::ZERO);
}

fn position(asker: &TableCache) -> TablePosition {
    TablePosition {
        table: TABLE.to_owned(),
        version: asker.version(TABLE),
        newest_only: false,
        max_age_ms: 1_000,
        page: Some(asker.next_page(TABLE)),
    }
}

fn message_bytes(news: &TableUpdate) -> usize {
    let answer = FeedResponse {
        tables: vec![news.clone()],
        ..FeedResponse::default()
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&answer, &mut bytes).expect("it can be encoded");
    bytes.len()
}

/// One question and its answer. Out: the answer's bytes.
fn ask(asker: &mut TableCache, feeder: &TableCache) -> usize {
    let position = position(asker);
    let news = feeder.update_for(&position).expect("the table is known");
    let bytes = message_bytes(&news);
    asker.apply_update(position.version, news, Duration::ZERO);
    bytes
}

/// Asks until the whole table is known. Out: the bytes of the largest answer, and of all.
fn read_whole(asker: &mut TableCache, feeder: &TableCache) -> (usize, usize) {
    let (mut largest, mut all) = (0, 0);
    while asker.version(TABLE).is_none() {
        let bytes = ask(asker, feeder);
        largest = largest.max(bytes);
        all += bytes;
    }
    (largest, all)
}

fn rows_of(cache: &TableCache) -> Vec<RowChange> {
    let whole = TablePosition {
        table: TABLE.to_owned(),
        version: None,
        newest_only: true,
        max_age_ms: u64::MAX,
        page: None,
    };
    let Some(UpdateContent::Rows { rows, .. }) = cache.update_for(&whole).map(|news| news.content)
    else {
        panic!("a gateway that knows no pages is told all rows");
    };
    rows.iter()
        .map(|row| row.unpack().expect("packed"))
        .collect()
}

#[test]
fn no_message_grows_with_the_number_of_back_ends() {
    for rows in [300, 3_000, 10_000, 20_000] {
        let (mut asker, feeder) = (TableCache::new(Clock::default()), feeder(rows));
        let (largest, all) = read_whole(&mut asker, &feeder);
        assert!(largest < LARGEST_MESSAGE, "{rows} rows: {largest} bytes");
        assert!(
            all < rows * 100,
            "{rows} rows: {all} bytes, hardly compressed"
        );
        assert_eq!(rows_of(&asker), rows_of(&feeder));
    }
}

#[test]
fn what_changes_between_two_pages_is_told_after_the_last_one() {
    let (mut asker, mut feeder) = (TableCache::new(Clock::default()), feeder(3_000));
    let mut version = 3_000;
    while asker.version(TABLE).is_none() {
        ask(&mut asker, &feeder);
        version += 3;
        let written = row(version as usize % 3_000, version - 2);
        let removed = RowChange::Removed {
            key: row(version as usize * 7 % 3_000, 0).key,
            version: version - 1,
        };
        let added = row(3_000 + version as usize, version);
        let changes = vec![RowChange::Put(written), removed, RowChange::Put(added)];
        change(&mut feeder, changes, version);
    }
    ask(&mut asker, &feeder);
    assert_eq!(asker.version(TABLE), Some(version));
    assert_eq!(rows_of(&asker), rows_of(&feeder));
}

/// A gateway asks several in turn, and they know different versions.
#[test]
fn a_page_of_one_that_is_behind_is_passed_over() {
    let mut asker = TableCache::new(Clock::default());
    let (mut ahead, behind) = (feeder(3_000), feeder(3_000));
    change(&mut ahead, vec![RowChange::Put(row(2_999, 5_000))], 5_000);
    while asker.version(TABLE).is_none() {
        ask(&mut asker, &ahead);
        ask(&mut asker, &behind);
    }
    ask(&mut asker, &ahead);
    assert_eq!(rows_of(&asker), rows_of(&ahead));
}

/// A gateway that was behind by more than the changes that are kept was told the whole table.
/// Of a table with many rows more changes are kept.
#[test]
fn as_many_changes_are_kept_as_a_table_has_rows() {
    let (mut asker, mut feeder) = (TableCache::new(Clock::default()), feeder(10_000));
    read_whole(&mut asker, &feeder);
    for number in 0..5_000 {
        let version = 10_001 + number;
        let written = RowChange::Put(row(number as usize, version));
        change(&mut feeder, vec![written], version);
    }
    let position = position(&asker);
    let news = feeder.update_for(&position).expect("news").content;
    assert!(matches!(news, UpdateContent::Changes { .. }));
}
