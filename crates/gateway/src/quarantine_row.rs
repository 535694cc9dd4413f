//! The verdicts that outlast all gateways: one row of the table.
//!
//! Nothing on a machine outlasts its process, and all machines may lose power at once. So the
//! placement holder writes the verdicts when they change, and gateways that follow the table
//! read them once after their start; all others are told by these.
//!
//! Invariant: the row only adds to what gateways know. Ages in it are those of its last write,
//! so a verdict may stand for longer than it should, never shorter.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{TableAnswer, TableRow, Transaction};
use gorsebank_fleet::quarantine::ToldOutcome;
use tokio::time::{sleep, timeout};

use crate::backoff::Backoff;
use crate::ports::WatchedTable;
use crate::shared::Shared;

/// Pause after a call of the table without an answer, doubled each time ...
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// ... up to this.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);
/// Least pause between two writes: ends come in groups, and what is not written yet is known
/// to all gateways.
const WRITE_PAUSE: Duration = Duration::from_millis(250);
/// Without news the holder looks again after so long.
const IDLE: Duration = Duration::from_secs(30);

fn key(shared: &Shared) -> String {
    format!("{}/quarantine", shared.platform.tables().loads)
}

/// Takes in what the row says, however long it takes. Out: its version, 0 if there is none.
pub async fn recall(shared: &Shared) -> u64 {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    let table = shared.platform.tables().loads;
    loop {
        match shared.table().read(table).await {
            Ok(snapshot) => {
                let key = key(shared);
                let row = snapshot.rows.iter().find(|row| row.key == key);
                row.inspect(|row| take_in(shared, row));
                return row.map_or(0, |row| row.modified);
            }
            Err(_) => backoff.wait().await,
        }
    }
}

fn take_in(shared: &Shared, row: &TableRow) {
    match serde_json::from_str::<Vec<ToldOutcome>>(&row.value) {
        Ok(told) => shared.recall_outcomes(&told),
        Err(error) => shared.refuse_row(row, &error),
    }
}

/// Keeps the row while this gateway places models, until it is dropped.
pub async fn keep(shared: Arc<Shared>) {
    let mut grown = shared.quarantine.subscribe();
    let mut version = recall(&shared).await;
    let mut written = shared.quarantine.verdict_changes();
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    loop {
        let changes = shared.quarantine.verdict_changes();
        if changes == written {
            // Time is up or there is more to tell: the next turn looks.
            let _ = timeout(IDLE, grown.changed()).await;
            sleep(WRITE_PAUSE).await;
            continue;
        }
        match write(&shared, version).await {
            TableAnswer::Committed { revision, .. } => {
                (version, written) = (revision, changes);
                backoff.reset();
            }
            TableAnswer::Conflict { .. } => version = recall(&shared).await,
            TableAnswer::Refused { .. } => backoff.wait().await,
            // It may stand, or may do so later.
            TableAnswer::Unknown => {
                backoff.wait().await;
                version = recall(&shared).await;
            }
        }
    }
}

async fn write(shared: &Shared, version: u64) -> TableAnswer {
    let told = shared.quarantine.verdict_events(shared.now());
    match serde_json::to_string(&told) {
        Ok(value) => {
            let transaction = Transaction::put_if(key(shared), version, value);
            shared.table().transact(transaction).await
        }
        Err(error) => unreachable!("hashes and numbers are JSON: {error}"),
    }
}
