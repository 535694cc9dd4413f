//! What a gateway keeps of tables, for itself and for those that it feeds.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use gorsebank_contract::TableRow;
use gorsebank_gateway::clock::{Clock, TimeSource};
use gorsebank_gateway::feed::packed::PackedChange;
use gorsebank_gateway::feed::{TableCache, TablePosition, UpdateContent};
use gorsebank_gateway::ports::{RowChange, TableChanges, TableSnapshot};

/// When the table was asked, where that is of no matter.
const ASKED: Duration = Duration::ZERO;

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

fn told(changes: Vec<RowChange>, version: u64) -> TableChanges {
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

/// Changes after a version; none if the asker has to begin with all rows.
fn changes_of(cache: &TableCache, version: u64, newest_only: bool) -> Option<TableChanges> {
    let news = cache.update_for(&position(Some(version), newest_only))?;
    match news.content {
        UpdateContent::Rows { .. } | UpdateContent::Page(_) => None,
        UpdateContent::Changes { changes, version } => {
            let unpacked = changes
                .iter()
                .map(|change| change.unpack().expect("packed"));
            Some(told(unpacked.collect(), version))
        }
    }
}

fn changes(cache: &TableCache, version: u64) -> Option<TableChanges> {
    changes_of(cache, version, false)
}

/// All rows with the table's version.
fn rows(cache: &TableCache) -> Option<TableSnapshot> {
    let news = cache.update_for(&position(None, false))?;
    let UpdateContent::Rows { rows, version } = news.content else {
        panic!("one that knows nothing is told all rows");
    };
    let rows = rows.iter().map(|row| match row.unpack().expect("packed") {
        RowChange::Put(row) => row,
        RowChange::Removed { .. } => panic!("a row that is gone"),
    });
    Some(snapshot(rows.collect(), version))
}

#[test]
fn changes_are_told_in_order_and_applied_to_the_rows() {
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![row("t/a", 3), row("t/b", 4)], 5), ASKED);
    let gone = RowChange::Removed {
        key: "t/b".to_owned(),
        version: 7,
    };
    cache.advance("t", 5, &told(vec![put("t/a", 6), gone.clone()], 7), ASKED);
    assert_eq!(
        changes(&cache, 5),
        Some(told(vec![put("t/a", 6), gone.clone()], 7))
    );
    assert_eq!(changes(&cache, 6), Some(told(vec![gone], 7)));
    assert_eq!(changes(&cache, 7), Some(told(vec![], 7)));
    assert_eq!(rows(&cache), Some(snapshot(vec![row("t/a", 6)], 7)));
}

/// Found in reading: of a row that said that its back end leaves, and that an older
/// heartbeat overwrote, only the second state was told.
#[test]
fn of_several_changes_to_a_row_each_is_told_where_each_counts() {
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![], 5), ASKED);
    let many = vec![put("t/a", 6), put("t/b", 7), put("t/a", 8)];
    cache.advance("t", 5, &told(many.clone(), 8), ASKED);
    assert_eq!(changes(&cache, 5), Some(told(many, 8)));
    let newest = vec![put("t/b", 7), put("t/a", 8)];
    assert_eq!(changes_of(&cache, 5, true), Some(told(newest, 8)));
}

#[test]
fn older_rows_undo_nothing() {
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 5), ASKED);
    cache.advance("t", 5, &told(vec![put("t/a", 9)], 9), ASKED);
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 6), ASKED);
    cache.advance("t", 5, &told(vec![put("t/a", 7)], 7), ASKED);
    assert_eq!(rows(&cache), Some(snapshot(vec![row("t/a", 9)], 9)));
    assert_eq!(changes(&cache, 8), Some(told(vec![put("t/a", 9)], 9)));
}

#[test]
fn after_a_gap_nothing_from_before_is_told() {
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 5), ASKED);
    cache.advance("t", 8, &told(vec![put("t/a", 9)], 9), ASKED);
    assert!(
        cache.update_for(&position(Some(5), false)).is_none(),
        "rows may lack a change"
    );
    assert!(rows(&cache).is_none(), "rows may lack a change");
    cache.replace("t", &snapshot(vec![row("t/a", 9)], 9), ASKED);
    assert_eq!(changes(&cache, 5), None, "it begins with all rows");
    assert_eq!(changes(&cache, 8), Some(told(vec![put("t/a", 9)], 9)));
}

/// Found at 295 gateways: each time the store had dropped its history, the whole table
/// went to all of them.
#[test]
fn a_table_that_was_read_again_is_told_by_what_changed() {
    let mut cache = TableCache::default();
    cache.replace(
        "t",
        &snapshot(vec![row("t/a", 3), row("t/b", 4), row("t/c", 5)], 5),
        ASKED,
    );
    cache.record_gap("t");
    assert_eq!(cache.version("t"), None, "it is to be read again");
    cache.replace(
        "t",
        &snapshot(vec![row("t/a", 3), row("t/c", 8), row("t/d", 7)], 9),
        ASKED,
    );
    let gone = RowChange::Removed {
        key: "t/b".to_owned(),
        version: 9,
    };
    let changed = vec![put("t/d", 7), put("t/c", 8), gone];
    assert_eq!(changes(&cache, 5), Some(told(changed, 9)));
    assert_eq!(cache.version("t"), Some(9));
}

#[test]
fn history_that_is_too_long_is_forgotten_from_its_beginning() {
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![], 0), ASKED);
    // As many rows as are few beside the changes that are kept at least.
    for version in 1..=800 {
        let change = vec![put(&format!("t/{}", version % 400), version)];
        cache.advance("t", version - 1, &told(change, version), ASKED);
    }
    assert_eq!(changes(&cache, 100), None, "it begins with all rows");
    assert_eq!(changes(&cache, 790).expect("kept").changes.len(), 10);
}

/// Each gateway on the way adds the time since it was told.
#[test]
fn ages_are_told_and_add_up() {
    let mut first = TableCache::default();
    first.replace("t", &snapshot(vec![row("t/a", 3)], 5), ASKED);
    std::thread::sleep(Duration::from_millis(30));
    let news = first.update_for(&position(None, false)).expect("news");
    assert!(news.age_ms >= 30, "{} ms", news.age_ms);
    let mut second = TableCache::default();
    second.apply_update(None, news, ASKED);
    std::thread::sleep(Duration::from_millis(30));
    let age = second.age("t").expect("known");
    assert!(age >= Duration::from_millis(60), "{age:?}");
    let news = first.update_for(&position(Some(5), false)).expect("news");
    second.apply_update(Some(5), news, ASKED);
    let age = second.age("t").expect("known");
    assert!(
        age >= Duration::from_millis(60),
        "nobody confirmed it: {age:?}"
    );
    first.advance("t", 5, &told(vec![], 5), ASKED);
    second.apply_update(
        Some(5),
        first.update_for(&position(Some(5), false)).expect("news"),
        ASKED,
    );
    let age = second.age("t").expect("known");
    assert!(age < Duration::from_millis(30), "{age:?}");
}

#[test]
fn a_long_row_travels_short_and_arrives_whole() {
    let routes: Vec<String> = (0..1_000)
        .map(|number| format!("{{\"name\":\"route-{number}\",\"host\":\"crew.example\"}}"))
        .collect();
    let mut long = row("t/a", 3);
    long.value = format!("[{}]", routes.join(","));
    let mut cache = TableCache::default();
    cache.replace("t", &snapshot(vec![long.clone()], 5), ASKED);
    let news = cache.update_for(&position(None, true)).expect("news");
    let bytes = gorsebank_contract::frame::encode(&news).expect("encoded");
    assert!(bytes.len() * 5 < long.value.len(), "{} bytes", bytes.len());
    assert_eq!(rows(&cache), Some(snapshot(vec![long], 5)));
}

#[test]
fn a_row_that_was_damaged_is_an_error_that_names_it() {
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

/// A clock that a test sets.
#[derive(Debug, Default)]
struct SetTime(AtomicU64);

impl TimeSource for SetTime {
    fn since_boot(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A cache whose clock a test sets.
fn cache_with_time() -> (TableCache, Arc<SetTime>) {
    let time = Arc::new(SetTime::default());
    (TableCache::new(Clock::new(time.clone())), time)
}

#[test]
fn an_answer_proves_what_stood_in_the_table_when_it_was_asked_for() {
    let (mut cache, time) = cache_with_time();
    assert_eq!(cache.verified_age("t", 5), None, "nothing is proved yet");
    time.0.store(3_000, Ordering::Relaxed);
    // The answer was under way for two seconds.
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 5), at(1_000));
    assert_eq!(cache.verified_age("t", 5), Some(at(2_000)));
    cache.advance("t", 5, &told(vec![], 6), at(2_500));
    assert_eq!(cache.verified_age("t", 5), Some(at(500)));
    // A question that was asked before proves nothing more.
    cache.advance("t", 6, &told(vec![], 6), at(1_200));
    assert_eq!(cache.verified_age("t", 5), Some(at(500)));
}

#[test]
fn a_change_that_was_not_taken_in_yet_ends_what_is_proved_of_the_content_before_it() {
    let (mut cache, time) = cache_with_time();
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 5), at(0));
    time.0.store(1_000, Ordering::Relaxed);
    cache.advance("t", 5, &told(vec![put("t/a", 7)], 7), at(900));
    time.0.store(1_500, Ordering::Relaxed);
    assert_eq!(cache.verified_age("t", 5), Some(at(1_500)));
    assert_eq!(cache.verified_age("t", 7), Some(at(600)));
}

#[test]
fn changes_behind_a_gap_prove_nothing() {
    let (mut cache, time) = cache_with_time();
    cache.replace("t", &snapshot(vec![row("t/a", 3)], 5), at(0));
    time.0.store(4_000, Ordering::Relaxed);
    cache.advance("t", 8, &told(vec![], 9), at(3_900));
    assert_eq!(cache.verified_age("t", 9), Some(at(4_000)));
}

#[test]
fn proofs_add_up_on_the_way_and_count_from_the_question() {
    let (mut first, time) = cache_with_time();
    first.replace("t", &snapshot(vec![row("t/a", 3)], 5), at(0));
    time.0.store(700, Ordering::Relaxed);
    let news = first.update_for(&position(None, false)).expect("news");
    let (mut second, later) = cache_with_time();
    later.0.store(10_000, Ordering::Relaxed);
    // Asked at 9,000, answered no sooner than 300 ms after that, and a while under way.
    second.apply_update(None, news, at(9_300));
    let age = second.verified_age("t", 5).expect("proved");
    assert!(age >= at(1_400) && age <= at(1_401), "{age:?}");
    let mut unproved = first.update_for(&position(None, false)).expect("news");
    unproved.verified_age_ms = None;
    let (mut third, _) = cache_with_time();
    third.apply_update(None, unproved, at(9_300));
    assert_eq!(third.verified_age("t", 5), None);
}
