//! Tests caches of a table that is restored from older copies: two roots follow the table, and a
//! child follows the roots. All must end with the rows of the table, whatever they knew before.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_contract::{TableRevision, TableRow};
use gorsebank_gateway::feed::{TableCache, TablePosition, UpdateContent};
use gorsebank_gateway::ports::{RowChange, TableChanges, TableSnapshot};
use proptest::prelude::*;

const TABLE: &str = "t";
/// Number of roots.
const ROOTS: usize = 2;
/// Number of keys that are written; few, so that rows are removed and written again.
const KEYS: u8 = 4;

#[derive(Clone, Debug)]
enum Step {
    Write(u8),
    Remove(u8),
    Copy,
    Restore,
    /// A root reads the table.
    Read(usize),
    /// The child requests an update from a root.
    Request(usize),
    /// The child's follower applies what the child has cached.
    Follow,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..KEYS).prop_map(Step::Write),
        2 => (0..KEYS).prop_map(Step::Remove),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
        3 => (0..ROOTS).prop_map(Step::Read),
        3 => (0..ROOTS).prop_map(Step::Request),
        2 => Just(Step::Follow),
    ]
}

/// The history of a table: its version and all changes, in order.
#[derive(Clone, Default)]
struct History {
    version: u64,
    changes: Vec<(u64, u8, Option<u64>)>,
}

/// A table that can be restored. Row values are unique among all histories.
#[derive(Default)]
struct Table {
    era: u64,
    history: History,
    copy: History,
    writes: u64,
}

impl Table {
    fn change(&mut self, key: u8, is_removal: bool) {
        self.writes += 1;
        self.history.version += 1;
        let value = (!is_removal).then_some(self.writes);
        let change = (self.history.version, key, value);
        self.history.changes.push(change);
    }

    fn restore(&mut self) {
        self.era += 1;
        self.history = self.copy.clone();
    }

    fn revision(&self, version: u64) -> u64 {
        let era = self.era;
        let revision = TableRevision { era, version };
        revision.to_number().expect("in range")
    }

    fn rows(&self) -> BTreeMap<String, String> {
        let mut rows = BTreeMap::new();
        for (_, key, value) in &self.history.changes {
            match value {
                Some(value) => rows.insert(name(*key), value.to_string()),
                None => rows.remove(&name(*key)),
            };
        }
        rows
    }

    fn snapshot(&self) -> TableSnapshot {
        let newest = |key: &str| {
            let mut changes = self.history.changes.iter().rev();
            let change = changes.find(|(_, changed, _)| name(*changed) == key);
            self.revision(change.expect("a change").0)
        };
        let rows = self.rows().into_iter().map(|(key, value)| TableRow {
            modified: newest(&key),
            key,
            value,
        });
        TableSnapshot {
            rows: rows.collect(),
            version: self.revision(self.history.version),
        }
    }

    /// The changes after a revision; `None` if it is of an earlier era.
    fn changes(&self, after: u64) -> Option<TableChanges> {
        let after = TableRevision::from_number(after);
        if after.era < self.era {
            return None;
        }
        let changes = self.history.changes.iter();
        let changes = changes.filter(|(version, ..)| *version > after.version);
        let changes = changes.map(|(version, key, value)| {
            let (key, modified) = (name(*key), self.revision(*version));
            match value {
                Some(value) => RowChange::Put(TableRow {
                    key,
                    value: value.to_string(),
                    modified,
                }),
                None => RowChange::Removed {
                    key,
                    version: modified,
                },
            }
        });
        Some(TableChanges {
            changes: changes.collect(),
            version: self.revision(self.history.version),
        })
    }
}

fn name(key: u8) -> String {
    format!("{TABLE}/{key}")
}

fn position(version: Option<u64>) -> TablePosition {
    TablePosition {
        table: TABLE.to_owned(),
        version,
        newest_only: false,
        max_age_ms: u64::MAX,
        page: None,
    }
}

fn read(root: &mut TableCache, table: &Table) {
    let changes = root
        .version(TABLE)
        .map(|version| (version, table.changes(version)));
    match changes {
        Some((version, Some(changes))) => root.advance(TABLE, version, &changes, Duration::ZERO),
        _ => {
            root.record_gap(TABLE);
            root.replace(TABLE, &table.snapshot(), Duration::ZERO);
        }
    }
}

fn request(child: &mut TableCache, root: &TableCache) {
    let version = child.version(TABLE);
    if let Some(update) = root.update_for(&position(version)) {
        child.apply_update(version, update, Duration::ZERO);
    }
}

/// A follower of the child's cache, with the rows that it knows.
#[derive(Default)]
struct Follower {
    version: Option<u64>,
    rows: BTreeMap<String, String>,
}

impl Follower {
    fn follow(&mut self, child: &TableCache) {
        let position = position(self.version);
        if !child.is_newer(&position) {
            return;
        }
        let Some(update) = child.update_for(&position) else {
            return;
        };
        self.version = Some(update.version());
        let changes = match update.content {
            UpdateContent::Rows { rows, .. } => {
                self.rows.clear();
                rows
            }
            UpdateContent::Changes { changes, .. } => changes,
            UpdateContent::Page(_) => panic!("no pages were requested"),
        };
        for change in changes {
            match change.unpack().expect("packed") {
                RowChange::Put(row) => self.rows.insert(row.key, row.value),
                RowChange::Removed { key, .. } => self.rows.remove(&key),
            };
        }
    }
}

proptest! {
    #[test]
    fn all_gateways_end_with_the_rows_of_a_restored_table(
        steps in prop::collection::vec(step(), 1..80)
    ) {
        let mut table = Table::default();
        let mut roots: [TableCache; ROOTS] = Default::default();
        let (mut child, mut follower) = (TableCache::default(), Follower::default());
        for step in steps {
            match step {
                Step::Write(key) => table.change(key, false),
                Step::Remove(key) => table.change(key, true),
                Step::Copy => table.copy = table.history.clone(),
                Step::Restore => table.restore(),
                Step::Read(root) => read(&mut roots[root], &table),
                Step::Request(root) => request(&mut child, &roots[root]),
                Step::Follow => follower.follow(&child),
            }
        }
        // A first change after all others shows whether it reaches the follower.
        table.change(0, false);
        for root in &mut roots {
            read(root, &table);
            request(&mut child, root);
        }
        follower.follow(&child);
        prop_assert_eq!(follower.rows, table.rows());
    }
}

/// Guards against a child that accepts the content of a parent from before a restore as fresh.
#[test]
fn an_update_from_before_a_restore_is_recognized() {
    let mut table = Table::default();
    let (mut current, mut outdated) = (TableCache::default(), TableCache::default());
    table.change(0, false);
    read(&mut outdated, &table);
    table.copy = table.history.clone();
    table.restore();
    read(&mut current, &table);
    let update = outdated.update_for(&position(None)).expect("an update");
    assert!(current.is_of_earlier_era(&update));
    let update = current.update_for(&position(None)).expect("an update");
    assert!(!outdated.is_of_earlier_era(&update));
}
