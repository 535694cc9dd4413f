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
use crate::relay::FEED_WAIT;
use crate::shared::Shared;

/// Pause of the placement holder after a call of the table without an answer.
pub const LOST_PAUSE: Duration = Duration::from_millis(200);
/// First pause after a call without an answer.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Least pause between two questions for changes that other gateways may tell: changes
/// that come one by one travel together.
const FEED_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two questions of a gateway that feeds others: with the wait for
/// a change, what it tells is never older than they accept.
const FEEDER_PAUSE: Duration = Duration::from_millis(150);

/// A gateway that is fed asks so many times more seldom than one that asks the table:
/// what it costs a feeder grows with the gateways.
const FED_PAUSE_FACTOR: u32 = 4;

/// Longest pause between two questions of a gateway that is fed: with two feeders that do
/// not answer it still hears of a back end that leaves within the bound (3 s where there
/// are so many gateways).
const LONGEST_FED_PAUSE: Duration = Duration::from_millis(400);

/// How often a table is read.
#[derive(Clone, Copy)]
struct Rhythm {
    /// Other gateways may tell the changes.
    fed: bool,
    /// Longest wait for a change, in one call.
    wait: Duration,
    /// Pauses between calls are so many times the usual one.
    pause_factor: u32,
}

/// Tables that decisions hang on.
const DECISIONS: Rhythm = Rhythm {
    fed: true,
    wait: FEED_WAIT,
    pause_factor: 1,
};
/// Tables that one gateway follows at a time, as they are.
const EXACT: Rhythm = Rhythm {
    fed: false,
    wait: Duration::from_millis(2_000),
    pause_factor: 1,
};
/// Tables that decide nothing by themselves.
const HINTS: Rhythm = Rhythm {
    fed: true,
    wait: FEED_WAIT,
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
        tokio::spawn(follow_at(
            shared.clone(),
            tables.configuration,
            configuration,
            DECISIONS,
        )),
        tokio::spawn(follow_at(
            shared.clone(),
            tables.back_ends,
            back_ends,
            DECISIONS,
        )),
        tokio::spawn(follow_at(shared.clone(), tables.placed, placed, DECISIONS)),
        tokio::spawn(follow_at(shared.clone(), tables.reading, reading, HINTS)),
    ]
}

/// Follows one table, as it is, until it is dropped.
pub async fn follow(shared: Arc<Shared>, table: &'static str, follower: impl Follower) {
    follow_at(shared, table, follower, EXACT).await;
}

async fn follow_at(
    shared: Arc<Shared>,
    table: &'static str,
    follower: impl Follower,
    rhythm: Rhythm,
) {
    let mut pause = FIRST_PAUSE;
    let mut lost = false;
    let mut position = Position {
        shared,
        table,
        follower,
        rhythm,
        version: None,
        newest: 0,
    };
    loop {
        let asked = Instant::now();
        match position.advance().await {
            Ok(()) => {
                if lost {
                    let fields = format_args!("table={table}");
                    lines::write(Rank::Decision, "table_regained", fields);
                }
                lost = false;
                pause = FIRST_PAUSE;
                sleep_until(asked + position.pause()).await;
            }
            Err(TableError::HistoryGone) => {
                let fields = format_args!("table={table}");
                lines::write(Rank::Decision, "history_gone", fields);
                position.version = None;
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

/// How far a table was followed.
struct Position<F> {
    shared: Arc<Shared>,
    table: &'static str,
    follower: F,
    rhythm: Rhythm,
    /// Changes after this version are asked for; none if the table is to be read.
    version: Option<u64>,
    /// The newest version that the follower has seen.
    newest: u64,
}

impl<F: Follower> Position<F> {
    /// Least time between two questions.
    fn pause(&self) -> Duration {
        let pause = self.shared.read_pause() * self.rhythm.pause_factor;
        if !self.rhythm.fed {
            return pause;
        }
        if self.shared.table().is_feeder() {
            pause.clamp(FEED_PAUSE, FEEDER_PAUSE)
        } else {
            (pause * FED_PAUSE_FACTOR).clamp(FEED_PAUSE, LONGEST_FED_PAUSE)
        }
    }

    async fn advance(&mut self) -> Result<(), TableError> {
        let version = match self.version {
            None => self.read().await?,
            Some(version) => self.follow(version).await?,
        };
        self.newest = self.newest.max(version);
        self.version = Some(self.newest);
        Ok(())
    }

    async fn read(&mut self) -> Result<u64, TableError> {
        let source = self.shared.table();
        let snapshot = if self.rhythm.fed {
            source.read_recent(self.table).await?
        } else {
            source.read(self.table).await?
        };
        // What was seen is not taken back by rows that were kept from before.
        let snapshot = if snapshot.version < self.newest {
            source.read(self.table).await?
        } else {
            snapshot
        };
        self.follower.replace(snapshot.rows);
        Ok(snapshot.version)
    }

    async fn follow(&mut self, version: u64) -> Result<u64, TableError> {
        let source = self.shared.table();
        let wait = self.rhythm.wait;
        let told = if self.rhythm.fed {
            source.recent_changes(self.table, version, wait).await?
        } else {
            source.changes(self.table, version, wait).await?
        };
        for change in told.changes {
            self.follower.change(change);
        }
        Ok(told.version)
    }
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
