//! One lease as a row of the table, and this process's part in keeping it.
//!
//! In: the row, as other gateways or the table tell it. Out: writes of that row under the
//! condition that nobody else wrote it meanwhile.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{Put, TableAnswer, Transaction};
use gorsebank_fleet::{LeaseKeeper, LeaseRow, LeaseStep, Offer};
use parking_lot::Mutex;

use crate::ports::WatchedTable;
use crate::shared::Shared;
use crate::watch::LOST_PAUSE;

/// What was confirmed longer ago than this shows nothing of a lease.
const FRESH: Duration = Duration::from_millis(1_600);

/// What came of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stepped {
    /// Nothing is due for so long.
    Idle(Duration),
    /// The row was read, or somebody else has written it.
    Done,
    /// The row was written, and what belongs beside it.
    Written,
}

/// A lease, and whether this process holds it.
pub struct LeaseSeat {
    /// What this process knows of the lease.
    pub keeper: Arc<Mutex<LeaseKeeper>>,
    shared: Arc<Shared>,
    key: String,
    /// A write was refused or had no answer: the row is read from the table itself.
    in_doubt: bool,
    /// The newest version of the row that this process saw or wrote.
    newest: u64,
}

impl LeaseSeat {
    /// The lease of this name, of this length; nothing is known of it yet.
    pub fn new(shared: &Arc<Shared>, name: &str, lease: Duration) -> Self {
        let node = shared.settings.node.clone();
        let keeper = LeaseKeeper::new(node, rand::random(), lease.as_millis() as u64);
        LeaseSeat {
            keeper: Arc::new(Mutex::new(keeper)),
            key: format!("{}/{name}", shared.platform.tables().lease),
            shared: shared.clone(),
            in_doubt: false,
            newest: 0,
        }
    }

    /// Whether this process took the lease and has not lost it since.
    pub fn is_held(&self) -> bool {
        self.keeper.lock().is_holder()
    }

    /// Does what is due, on a gateway that offers itself so. `beside` is written with the
    /// lease's row.
    pub async fn step(&mut self, offer: Offer, beside: impl FnOnce() -> Option<Put>) -> Stepped {
        let now = self.shared.now();
        let step = self.keeper.lock().step(now, offer);
        match step {
            LeaseStep::Wait(until) => Stepped::Idle(Duration::from_millis(until.since(now))),
            LeaseStep::Read => self.read().await,
            LeaseStep::Write { expected, row } => self.write(expected, row, beside()).await,
        }
    }

    async fn read(&mut self) -> Stepped {
        let shared = &self.shared;
        let table = shared.platform.tables().lease;
        let rows = if self.in_doubt {
            let read = shared.table().read(table).await;
            read.ok().map(|snapshot| snapshot.rows)
        } else {
            shared.feed.rows(table, FRESH)
        };
        let Some(rows) = rows else {
            return Stepped::Idle(LOST_PAUSE);
        };
        self.in_doubt = false;
        let row = rows.iter().find(|row| row.key == self.key);
        let version = row.map_or(0, |row| row.modified);
        if version < self.newest {
            // What other gateways tell is behind what this one knows.
            return Stepped::Idle(LOST_PAUSE);
        }
        self.newest = version;
        let lease = row.and_then(|row| serde_json::from_str::<LeaseRow>(&row.value).ok());
        let now = shared.now();
        self.keeper.lock().read(now, version, lease.as_ref());
        Stepped::Done
    }

    async fn write(&mut self, expected: u64, row: LeaseRow, beside: Option<Put>) -> Stepped {
        let shared = &self.shared;
        let Ok(value) = serde_json::to_string(&row) else {
            return Stepped::Idle(LOST_PAUSE);
        };
        let mut transaction = Transaction::put_if(self.key.clone(), expected, value);
        transaction.puts.extend(beside);
        let answer = shared.table().transact(transaction).await;
        self.in_doubt = !matches!(answer, TableAnswer::Committed { .. });
        let now = self.shared.now();
        let mut keeper = self.keeper.lock();
        match answer {
            TableAnswer::Committed { revision, .. } => {
                self.newest = revision;
                keeper.written(now, revision, &row);
                Stepped::Written
            }
            TableAnswer::Conflict { .. } => {
                keeper.refused();
                Stepped::Done
            }
            TableAnswer::Refused { .. } | TableAnswer::Unknown => {
                keeper.unanswered();
                Stepped::Idle(LOST_PAUSE)
            }
        }
    }
}
