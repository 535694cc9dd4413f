//! Tests the cache of tables that a gateway keeps for itself and its child gateways.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use gorsebank_contract::TableRow;
use gorsebank_gateway::clock::{Clock, TimeSource};
use gorsebank_gateway::feed::packed::PackedChange;
use gorsebank_gateway::feed::{TableCache, TablePosition, UpdateContent};
use gorsebank_gateway::ports::{RowChange, TableChanges, TableSnapshot};

/// The time of the request, for tests that do not depend on it.
const REQUESTED_AT: Duration = Duration::ZERO;

fn row(key: &str, modified: u64) -> TableRow {
    TableRow {
        key: key.to_owned(),
        value: format!("{{\"at\":{modified}}}"),
        modified,
    }
}

fn put(key: &str, modified: u64) -> RowChange {
    RowChange::Put(row(key, modified))
}

fn table_changes(changes: Vec<RowChange>, version: u64) -> TableChanges {
    TableChanges { changes, version }
}

fn snapshot(rows: Vec<TableRow>, version: u64) -> TableSnapshot {
    TableSnapshot { rows, version }
}

fn position(version: Option<u64>, newest_only: bool) -> TablePosition {
    TablePosition {
        table: "t".to_owned(),
        version,
        newest_only,
        max_age_ms: 1_000,
        page: None,
    }
}

/// Returns the changes after a version, or `None` if the requesting gateway has to begin with all
/// rows.
fn changes_of(cache: &TableCache, version: u64, newest_only: bool) -> Option<TableChanges> {
    let update = cache.update_for(&position(Some(version), newest_only))?;
    match update.content {
        UpdateContent::Rows { .. } | UpdateContent::Page(_) => None,
        UpdateContent::Changes { changes, version } => {
            let unpacked = changes
                .iter()
                .map(|change| change.unpack().expect("packed"));
            Some(table_changes(unpacked.collect(), version))
        }
    }
}

fn changes(cache: &TableCache, version: u64) -> Option<TableChanges> {
    changes_of(cache, version, false)
}

/// Returns all rows with the table's version.
fn rows(cache: &TableCache) -> Option<TableSnapshot> {
    let update = cache.update_for(&position(None, false))?;
    let UpdateContent::Rows { rows, version } = update.content else {
        panic!("a gateway without a version gets all rows");
    };
    let rows = rows.iter().map(|row| match row.unpack().expect("packed") {
        RowChange::Put(row) => row,
        RowChange::Removed { .. } => panic!("a removed row in a snapshot"),
    });
    Some(snapshot(rows.collect(), version))
}

#[test]
fn changes_are_sent_in_order_and_applied_to_the_rows() {
    let mut cache = TableCache::default();
    cache.replace(
        "t",
        &snapshot(vec![row("t/a", 3), row("t/b", 4)], 5),
        REQUESTED_AT,
    );
    let removed = RowChange::Removed {
        key: "t/b".to_owned(),
        version: 7,
    };
    cache.advance(
        "t",
        5,
        &table_changes(vec![put("t/a", 6), removed.clone()], 7),
        REQUESTED_AT,
    );
    assert_eq!(
        changes(&cache, 5),
        Some(table_changes(vec![put("t/a", 6), removed.clone()], 7))
    );
    assert_eq!(changes(&cache, 6), Some(table_changes(vec![removed], 7)));
    assert_eq!(changes(&cache, 7), Some(table_changes(vec![], 7)));
    assert_eq!(rows(&cache), Some(snapshot(vec![row("t/a", 6)], 7)));
}

/// Guards against losing an intermediate state: if a row announced the drain of its back end and an
/// older heartbeat overwrote the row, only the second state was sent.
#[test]
fn all_changes_of_a_row_are_sent_unless_the_newest_is_sufficient() {
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![], 5), REQUESTED_AT);
    let many = vec![put("t/a", 6), put("t/b", 7), put("t/a", 8)];
    cache.advance("t", 5, &table_changes(many.clone(), 8), REQUESTED_AT);
    assert_eq!(changes(&cache, 5), Some(table_changes(many, 8)));
    let newest = vec![put("t/b", 7), put("t/a", 8)];
    assert_eq!(changes_of(&cache, 5, true), Some(table_changes(newest, 8)));
}

#[test]
fn older_rows_do_not_replace_newer_ones() {
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 5), REQUESTED_AT);
    cache.advance("t", 5, &table_changes(vec![put("t/a", 9)], 9), REQUESTED_AT);
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 6), REQUESTED_AT);
    cache.advance("t", 5, &table_changes(vec![put("t/a", 7)], 7), REQUESTED_AT);
    assert_eq!(rows(&cache), Some(snapshot(vec![row("t/a", 9)], 9)));
    assert_eq!(
        changes(&cache, 8),
        Some(table_changes(vec![put("t/a", 9)], 9))
    );
}

#[test]
fn changes_from_before_a_gap_are_not_sent() {
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 5), REQUESTED_AT);
    cache.advance("t", 8, &table_changes(vec![put("t/a", 9)], 9), REQUESTED_AT);
    assert!(
        cache.update_for(&position(Some(5), false)).is_none(),
        "the cached rows may lack a change"
    );
    assert!(rows(&cache).is_none(), "the cached rows may lack a change");
    cache.replace("t", &snapshot(vec![row("t/a", 9)], 9), REQUESTED_AT);
    assert_eq!(
        changes(&cache, 5),
        None,
        "the gateway must begin with all rows"
    );
    assert_eq!(
        changes(&cache, 8),
        Some(table_changes(vec![put("t/a", 9)], 9))
    );
}

/// Guards against sending the whole table needlessly: in a fleet of 295 gateways, each time that
/// the store had dropped its history, all of them received the whole table.
#[test]
fn a_table_that_was_read_again_is_sent_as_changes() {
    let mut cache = TableCache::default();
    cache.replace(
        "t",
        &snapshot(vec![row("t/a", 3), row("t/b", 4), row("t/c", 5)], 5),
        REQUESTED_AT,
    );
    cache.record_gap("t");
    assert_eq!(cache.version("t"), None, "the table must be read again");
    cache.replace(
        "t",
        &snapshot(vec![row("t/a", 3), row("t/c", 8), row("t/d", 7)], 9),
        REQUESTED_AT,
    );
    let removed = RowChange::Removed {
        key: "t/b".to_owned(),
        version: 9,
    };
    let changed = vec![put("t/d", 7), put("t/c", 8), removed];
    assert_eq!(changes(&cache, 5), Some(table_changes(changed, 9)));
    assert_eq!(cache.version("t"), Some(9));
}

#[test]
fn the_oldest_changes_of_a_long_history_are_dropped() {
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![], 0), REQUESTED_AT);
    // The table has 400 rows, fewer than the minimum number of changes that are kept.
    for version in 1..=800 {
        let change = vec![put(&format!("t/{}", version % 400), version)];
        cache.advance(
            "t",
            version - 1,
            &table_changes(change, version),
            REQUESTED_AT,
        );
    }
    assert_eq!(
        changes(&cache, 100),
        None,
        "the gateway must begin with all rows"
    );
    assert_eq!(changes(&cache, 790).expect("kept").changes.len(), 10);
}

/// Each gateway on the path adds the time since it received the content.
#[test]
fn ages_are_sent_and_add_up() {
    let mut first = TableCache::default();
    first.replace("t", &snapshot(vec![row("t/a", 3)], 5), REQUESTED_AT);
    std::thread::sleep(Duration::from_millis(30));
    let update = first.update_for(&position(None, false)).expect("an update");
    assert!(update.age_ms >= 30, "{} ms", update.age_ms);
    let mut second = TableCache::default();
    second.apply_update(None, update, REQUESTED_AT);
    std::thread::sleep(Duration::from_millis(30));
    let age = second.age("t").expect("known");
    assert!(age >= Duration::from_millis(60), "{age:?}");
    let update = first
        .update_for(&position(Some(5), false))
        .expect("an update");
    second.apply_update(Some(5), update, REQUESTED_AT);
    let age = second.age("t").expect("known");
    assert!(
        age >= Duration::from_millis(60),
        "the table did not confirm the content: {age:?}"
    );
    first.advance("t", 5, &table_changes(vec![], 5), REQUESTED_AT);
    second.apply_update(
        Some(5),
        first
            .update_for(&position(Some(5), false))
            .expect("an update"),
        REQUESTED_AT,
    );
    let age = second.age("t").expect("known");
    assert!(age < Duration::from_millis(30), "{age:?}");
}

#[test]
fn a_long_row_is_compressed_and_decoded_completely() {
    let routes: Vec<String> = (0..1_000)
        .map(|number| format!("{{\"name\":\"route-{number}\",\"host\":\"crew.example\"}}"))
        .collect();
    let mut long = row("t/a", 3);
    long.value = format!("[{}]", routes.join(","));
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![long.clone()], 5), REQUESTED_AT);
    let update = cache.update_for(&position(None, true)).expect("an update");
    let bytes = gorsebank_contract::frame::encode(&update).expect("encoded");
    assert!(bytes.len() * 5 < long.value.len(), "{} bytes", bytes.len());
    assert_eq!(rows(&cache), Some(snapshot(vec![long], 5)));
}

#[test]
fn the_error_for_a_damaged_row_names_the_row() {
    let mut long = row("t/a", 3);
    long.value = "x".repeat(5_000);
    let packed = PackedChange::put(&long);
    let bytes = gorsebank_contract::frame::encode(&packed).expect("encoded");
    let mut damaged = bytes.to_vec();
    let last = damaged.len() - 4;
    damaged[last..].fill(0xff);
    let read: PackedChange = ciborium::from_reader(damaged.as_slice()).expect("a message");
    let error = read.unpack().expect_err("damaged");
    assert!(error.to_string().contains("t/a"), "{error}");
}

/// A time source that a test sets.
#[derive(Debug, Default)]
struct ManualTime(AtomicU64);

impl TimeSource for ManualTime {
    fn since_boot(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns a cache and the time source of its clock, which a test sets.
fn cache_with_manual_time() -> (TableCache, Arc<ManualTime>) {
    let time = Arc::new(ManualTime::default());
    (TableCache::new(Clock::new(time.clone())), time)
}

#[test]
fn a_response_verifies_the_content_for_the_time_of_its_request() {
    let (mut cache, time) = cache_with_manual_time();
    assert_eq!(
        cache.verified_age("t", 5),
        None,
        "no content is verified yet"
    );
    time.0.store(3_000, Ordering::Relaxed);
    // The response was in transit for two seconds.
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 5), at(1_000));
    assert_eq!(cache.verified_age("t", 5), Some(at(2_000)));
    cache.advance("t", 5, &table_changes(vec![], 6), at(2_500));
    assert_eq!(cache.verified_age("t", 5), Some(at(500)));
    // The response to an earlier request does not improve the verified age.
    cache.advance("t", 6, &table_changes(vec![], 6), at(1_200));
    assert_eq!(cache.verified_age("t", 5), Some(at(500)));
}

#[test]
fn a_change_ends_the_verification_of_the_content_before_it() {
    let (mut cache, time) = cache_with_manual_time();
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 5), at(0));
    time.0.store(1_000, Ordering::Relaxed);
    cache.advance("t", 5, &table_changes(vec![put("t/a", 7)], 7), at(900));
    time.0.store(1_500, Ordering::Relaxed);
    assert_eq!(cache.verified_age("t", 5), Some(at(1_500)));
    assert_eq!(cache.verified_age("t", 7), Some(at(600)));
}

#[test]
fn changes_behind_a_gap_verify_nothing() {
    let (mut cache, time) = cache_with_manual_time();
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 5), at(0));
    time.0.store(4_000, Ordering::Relaxed);
    cache.advance("t", 8, &table_changes(vec![], 9), at(3_900));
    assert_eq!(cache.verified_age("t", 9), Some(at(4_000)));
}

#[test]
fn verified_ages_add_up_along_the_path_and_count_from_the_request() {
    let (mut first, time) = cache_with_manual_time();
    first.replace("t", &snapshot(vec![row("t/a", 3)], 5), at(0));
    time.0.store(700, Ordering::Relaxed);
    let update = first.update_for(&position(None, false)).expect("an update");
    let (mut second, later) = cache_with_manual_time();
    later.0.store(10_000, Ordering::Relaxed);
    // The request was sent at 9,000 ms and answered no sooner than 300 ms later, and the response
    // was in transit for some time.
    second.apply_update(None, update, at(9_300));
    let age = second.verified_age("t", 5).expect("verified");
    assert!(age >= at(1_400) && age <= at(1_401), "{age:?}");
    let mut unverified = first.update_for(&position(None, false)).expect("an update");
    unverified.verified_age_ms = None;
    let (mut third, _) = cache_with_manual_time();
    third.apply_update(None, unverified, at(9_300));
    assert_eq!(third.verified_age("t", 5), None);
}
