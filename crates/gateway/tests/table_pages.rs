//! Tests that complete tables are sent in pages, so that no message grows with the table.

use std::time::Duration;

use gorsebank_contract::{TableRevision, TableRow};
use gorsebank_gateway::Clock;
use gorsebank_gateway::feed::{
    FeedResponse, TableCache, TablePosition, TableUpdate, UpdateContent,
};
use gorsebank_gateway::ports::{RowChange, TableChanges, TableSnapshot};

const TABLE: &str = "servers";
/// Maximum size of a message: it takes a fifth of a second on a link of 10 megabits per second.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

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

fn parent(rows: usize) -> TableCache {
    let mut cache = TableCache::new(Clock::default());
    let rows = (0..rows).map(|number| row(number, 1 + number as u64));
    let rows: Vec<TableRow> = rows.collect();
    let version = rows.len() as u64;
    cache.replace(TABLE, &TableSnapshot { rows, version }, Duration::ZERO);
    cache
}

fn change(parent: &mut TableCache, changes: Vec<RowChange>, version: u64) {
    let known = parent.version(TABLE).expect("a version");
    let changes = TableChanges { changes, version };
    parent.advance(TABLE, known, &changes, Duration::ZERO);
}

fn position(child: &TableCache) -> TablePosition {
    TablePosition {
        table: TABLE.to_owned(),
        version: child.version(TABLE),
        newest_only: false,
        max_age_ms: 1_000,
        page: Some(child.next_page(TABLE)),
    }
}

fn message_bytes(update: &TableUpdate) -> usize {
    let response = FeedResponse {
        tables: vec![update.clone()],
        ..FeedResponse::default()
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&response, &mut bytes).expect("the response can be encoded");
    bytes.len()
}

/// Sends one request of `child` to `parent` and applies the response. Returns the size of the
/// response in bytes.
fn request_update(child: &mut TableCache, parent: &TableCache) -> usize {
    let position = position(child);
    let update = parent.update_for(&position).expect("the table is known");
    let bytes = message_bytes(&update);
    child.apply_update(position.version, update, Duration::ZERO);
    bytes
}

/// Sends requests until the table is complete. Returns the size of the largest response and the
/// total size of all responses, in bytes.
fn request_all_pages(child: &mut TableCache, parent: &TableCache) -> (usize, usize) {
    let (mut largest, mut total) = (0, 0);
    while child.version(TABLE).is_none() {
        let bytes = request_update(child, parent);
        largest = largest.max(bytes);
        total += bytes;
    }
    (largest, total)
}

fn cached_rows(cache: &TableCache) -> Vec<RowChange> {
    let position = TablePosition {
        table: TABLE.to_owned(),
        version: None,
        newest_only: true,
        max_age_ms: u64::MAX,
        page: None,
    };
    let Some(UpdateContent::Rows { rows, .. }) =
        cache.update_for(&position).map(|update| update.content)
    else {
        panic!("a gateway without support for pages gets all rows");
    };
    rows.iter()
        .map(|row| row.unpack().expect("packed"))
        .collect()
}

#[test]
fn no_message_grows_with_the_number_of_back_ends() {
    for rows in [300, 3_000, 10_000, 20_000] {
        let (mut child, parent) = (TableCache::new(Clock::default()), parent(rows));
        let (largest, total) = request_all_pages(&mut child, &parent);
        assert!(largest < MAX_MESSAGE_BYTES, "{rows} rows: {largest} bytes");
        assert!(
            total < rows * 100,
            "{rows} rows: {total} bytes, hardly compressed"
        );
        assert_eq!(cached_rows(&child), cached_rows(&parent));
    }
}

#[test]
fn changes_between_two_pages_are_sent_after_the_last_page() {
    let (mut child, mut parent) = (TableCache::new(Clock::default()), parent(3_000));
    let mut version = 3_000;
    while child.version(TABLE).is_none() {
        request_update(&mut child, &parent);
        version += 3;
        let written = row(version as usize % 3_000, version - 2);
        let removed = RowChange::Removed {
            key: row(version as usize * 7 % 3_000, 0).key,
            version: version - 1,
        };
        let added = row(3_000 + version as usize, version);
        let changes = vec![RowChange::Put(written), removed, RowChange::Put(added)];
        change(&mut parent, changes, version);
    }
    request_update(&mut child, &parent);
    assert_eq!(child.version(TABLE), Some(version));
    assert_eq!(cached_rows(&child), cached_rows(&parent));
}

/// A gateway sends requests to several parents in turn, and these have different versions.
#[test]
fn a_page_of_a_parent_that_is_behind_is_ignored() {
    let mut child = TableCache::new(Clock::default());
    let (mut ahead, behind) = (parent(3_000), parent(3_000));
    change(&mut ahead, vec![RowChange::Put(row(2_999, 5_000))], 5_000);
    while child.version(TABLE).is_none() {
        request_update(&mut child, &ahead);
        request_update(&mut child, &behind);
    }
    request_update(&mut child, &ahead);
    assert_eq!(cached_rows(&child), cached_rows(&ahead));
}

/// A gateway that is behind by more than the kept changes gets the whole table, so more changes are
/// kept of a table with many rows.
#[test]
fn the_number_of_kept_changes_grows_with_the_rows_of_the_table() {
    let (mut child, mut parent) = (TableCache::new(Clock::default()), parent(10_000));
    request_all_pages(&mut child, &parent);
    for number in 0..5_000 {
        let version = 10_001 + number;
        let written = RowChange::Put(row(number as usize, version));
        change(&mut parent, vec![written], version);
    }
    let position = position(&child);
    let update = parent.update_for(&position).expect("an update").content;
    assert!(matches!(update, UpdateContent::Changes { .. }));
}

/// Rows of the first page may be missing in the restored table, without a change that removes them.
#[test]
fn pages_from_before_and_after_a_restore_are_not_combined() {
    let revision = |version| {
        let revision = TableRevision { era: 1, version };
        revision.to_number().expect("in range")
    };
    let (mut child, mut parent) = (TableCache::new(Clock::default()), parent(3_000));
    request_update(&mut child, &parent);
    assert!(child.has_outstanding_pages(TABLE));
    let rows = (1_500..4_500).map(|number| row(number, revision(number as u64)));
    let restored = TableSnapshot {
        rows: rows.collect(),
        version: revision(4_500),
    };
    parent.replace(TABLE, &restored, Duration::ZERO);
    request_all_pages(&mut child, &parent);
    assert_eq!(cached_rows(&child), cached_rows(&parent));
}
