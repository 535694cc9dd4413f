//! Follows the tables: configuration, back ends, the placement holder's rows.
//!
//! Each table is read once and then followed by its changes. When history is
//! gone, or an answer came late, the table is read again. Nothing that is
//! already in force is taken back because the table cannot be reached.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::TableRow;
use gorsebank_fleet::PlacedRow;
use gorsebank_world::BackEndId;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use crate::lines::{self, Rank};
use crate::ports::{RowChange, TableError, WatchedTable};
use crate::reading_rows::ReadingFollower;
use crate::shared::Shared;

/// Pause of the placement holder after a call of the table without an answer.
pub const LOST_PAUSE: Duration = Duration::from_millis(200);
/// First pause after a call without an answer.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// How often a table is read.
#[derive(Clone, Copy)]
struct Rhythm {
    /// Longest wait for a change, in one call.
    wait: Duration,
    /// Pauses between calls are so many times the usual one.
    pause_factor: u32,
}

/// Tables that decisions hang on.
const DECISIONS: Rhythm = Rhythm {
    wait: Duration::from_millis(2_000),
    pause_factor: 1,
};
/// Tables that decide nothing by themselves.
const HINTS: Rhythm = Rhythm {
    wait: Duration::from_millis(5_000),
    pause_factor: 10,
};

/// What happens to the rows of one table.
pub trait Follower: Send + 'static {
    /// The whole table was read.
    fn replace(&mut self, rows: Vec<TableRow>);
    /// One row changed.
    fn change(&mut self, change: RowChange);
}

/// Follows the tables until the process ends.
pub fn start(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let tables = shared.platform.tables();
    let configuration = ConfigurationFollower(shared.clone());
    let back_ends = BackEndFollower(shared.clone());
    let placed = PlacedFollower(shared.clone());
    let reading = ReadingFollower(shared.clone());
    vec![
        tokio::spawn(follow(shared.clone(), tables.configuration, configuration)),
        tokio::spawn(follow(shared.clone(), tables.back_ends, back_ends)),
        tokio::spawn(follow(shared.clone(), tables.placed, placed)),
        tokio::spawn(follow_at(shared.clone(), tables.reading, reading, HINTS)),
    ]
}

/// Follows one table until it is dropped.
pub async fn follow(shared: Arc<Shared>, table: &'static str, follower: impl Follower) {
    follow_at(shared, table, follower, DECISIONS).await;
}

async fn follow_at(
    shared: Arc<Shared>,
    table: &'static str,
    mut follower: impl Follower,
    rhythm: Rhythm,
) {
    let mut version = None;
    let mut pause = FIRST_PAUSE;
    let mut lost = false;
    loop {
        let asked = Instant::now();
        match advance(&shared, table, version, rhythm.wait, &mut follower).await {
            Ok(next) => {
                if lost {
                    lines::write(
                        Rank::Decision,
                        "table_regained",
                        format_args!("table={table}"),
                    );
                }
                lost = false;
                version = Some(next);
                pause = FIRST_PAUSE;
                sleep_until(asked + shared.read_pause() * rhythm.pause_factor).await;
            }
            Err(TableError::HistoryGone) => {
                lines::write(
                    Rank::Decision,
                    "history_gone",
                    format_args!("table={table}"),
                );
                version = None;
            }
            Err(error) => {
                if !lost {
                    let fields = format_args!("table={table} error=\"{error}\"");
                    lines::write(Rank::Decision, "table_lost", fields);
                }
                lost = true;
                sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn advance(
    shared: &Shared,
    table: &'static str,
    version: Option<u64>,
    wait: Duration,
    follower: &mut impl Follower,
) -> Result<u64, TableError> {
    let source = shared.table();
    let Some(version) = version else {
        let snapshot = source.read(table).await?;
        follower.replace(snapshot.rows);
        return Ok(snapshot.version);
    };
    let changes = source.changes(table, version, wait).await?;
    for change in changes.changes {
        follower.change(change);
    }
    Ok(changes.version.max(version))
}

struct ConfigurationFollower(Arc<Shared>);

impl ConfigurationFollower {
    fn take(&self, row: &TableRow) {
        match self.0.platform.configuration(row) {
            Ok(None) => {}
            Ok(Some(configuration)) => {
                let version = configuration.version;
                let routes = configuration.route_count();
                let news = self.0.set_configuration(configuration);
                let fields = format_args!("version={version} routes={routes} news={news}");
                lines::write(Rank::Decision, "configuration", fields);
            }
            Err(error) => {
                let fields = format_args!("error=\"{error}\"");
                lines::write(Rank::Decision, "configuration_refused", fields);
            }
        }
    }
}

impl Follower for ConfigurationFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        rows.iter().for_each(|row| self.take(row));
    }

    fn change(&mut self, change: RowChange) {
        if let RowChange::Put(row) = change {
            self.take(&row);
        }
    }
}

struct BackEndFollower(Arc<Shared>);

impl Follower for BackEndFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        let mut reports = Vec::new();
        for row in rows {
            match self.0.platform.back_end(&row) {
                Ok(report) => reports.push((report, row.modified)),
                Err(error) => refuse_row(&row.key, &error),
            }
        }
        let count = reports.len();
        let now = self.0.now();
        self.0
            .change_directory(|directory| directory.replace(now, reports));
        self.0.note_back_ends_read();
        lines::write(
            Rank::Decision,
            "back_ends_read",
            format_args!("count={count}"),
        );
    }

    fn change(&mut self, change: RowChange) {
        match change {
            RowChange::Put(row) => match self.0.platform.back_end(&row) {
                Ok(report) => {
                    let fields = format_args!(
                        "back_end={} draining={} models={:?} version={}",
                        report.id, report.draining, report.holdings, row.modified
                    );
                    lines::write(Rank::Decision, "back_end", fields);
                    let now = self.0.now();
                    self.0.change_directory(|directory| {
                        directory.put(now, report, row.modified);
                    });
                }
                Err(error) => refuse_row(&row.key, &error),
            },
            RowChange::Removed { key, version } => {
                let id = BackEndId::from(row_name(&key));
                let fields = format_args!("back_end={id} version={version}");
                lines::write(Rank::Decision, "back_end_gone", fields);
                self.0.change_directory(|directory| directory.remove(&id));
            }
        }
    }
}

struct PlacedFollower(Arc<Shared>);

impl PlacedFollower {
    fn take(&self, row: &TableRow) {
        let id = BackEndId::from(row_name(&row.key));
        match serde_json::from_str::<PlacedRow>(&row.value) {
            Ok(placed) => {
                let now = self.0.now();
                self.0.change_directory(|directory| {
                    directory.put_placed(now, id, placed, row.modified);
                });
            }
            Err(error) => refuse_row(&row.key, &error),
        }
    }
}

impl Follower for PlacedFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        rows.iter().for_each(|row| self.take(row));
    }

    fn change(&mut self, change: RowChange) {
        match change {
            RowChange::Put(row) => self.take(&row),
            RowChange::Removed { key, .. } => {
                let id = BackEndId::from(row_name(&key));
                self.0
                    .change_directory(|directory| directory.remove_placed(&id));
            }
        }
    }
}

/// The part of a key behind its table.
pub fn row_name(key: &str) -> &str {
    key.split_once('/').map_or(key, |(_, name)| name)
}

/// A line on a row that cannot be read.
pub fn refuse_row(key: &str, error: &dyn std::fmt::Display) {
    let fields = format_args!("row={key} error=\"{error}\"");
    lines::write(Rank::Decision, "row_refused", fields);
}
