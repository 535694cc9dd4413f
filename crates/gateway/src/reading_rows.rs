//! Rows of prefill speeds: the placement holder merges the engine speeds in the demand of all
//! gateways into rows that every gateway follows.
//!
//! Input: demand of gateways. Output: one row for each service, written when its content has
//! changed. A lost or outdated row only makes some waits longer; no request is lost.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{TableAnswer, TableRow, Transaction};
use gorsebank_fleet::ReadingRow;
use gorsebank_world::{BackEndId, ServiceId};
use tokio::time::sleep;

use crate::directory::Directory;
use crate::ports::{RowChange, WatchedTable};
use crate::shared::Shared;
use crate::watch::{Follower, LOST_PAUSE, row_name};

/// Minimum pause between two evaluations of the demand of gateways.
const PAUSE: Duration = Duration::from_millis(1_000);
/// Maximum rate at which all gateways together read these rows, in bytes per second.
const BYTES_PER_SECOND: f64 = 200_000.0;

/// Follower of the table of prefill speeds.
pub struct ReadingFollower(pub Arc<Shared>);

impl ReadingFollower {
    fn take(&self, row: &TableRow) {
        match serde_json::from_str::<ReadingRow>(&row.value) {
            Ok(told) => {
                let service = ServiceId::from(row_name(&row.key));
                self.0.reading(&service, |known| known.adopt(told));
            }
            Err(error) => self.0.refuse_row(row, &error),
        }
    }
}

impl Follower for ReadingFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        rows.iter().for_each(|row| self.take(row));
    }

    fn change(&mut self, change: RowChange) {
        if let RowChange::Put(row) = change {
            self.take(&row);
        }
    }
}

/// Writes the merged engine speeds to the table, until the future is dropped.
pub async fn tell(shared: Arc<Shared>) {
    let mut teller = Teller {
        shared,
        told: BTreeMap::new(),
        bytes_told: 0,
    };
    teller.read().await;
    loop {
        sleep(PAUSE.max(teller.read_time())).await;
        let now = teller.shared.now();
        for (service, row) in teller.shared.demand_rows.merged_reading(now) {
            teller.tell(service, row).await;
        }
    }
}

struct Teller {
    shared: Arc<Shared>,
    /// The rows in the table, with their versions.
    told: BTreeMap<ServiceId, (ReadingRow, u64)>,
    /// Size of the last written row in bytes.
    bytes_told: usize,
}

impl Teller {
    /// Minimum time between two writes that keeps the read rate of all gateways within
    /// `BYTES_PER_SECOND`.
    fn read_time(&self) -> Duration {
        let bytes = self.bytes_told * self.shared.possible_gateways();
        Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND)
    }

    /// Reads the rows that a previous placement holder has written.
    async fn read(&mut self) {
        let table = self.shared.platform.tables().reading;
        let snapshot = loop {
            match self.shared.table().read(table).await {
                Ok(snapshot) => break snapshot,
                Err(_) => sleep(LOST_PAUSE).await,
            }
        };
        let rows = snapshot.rows.into_iter();
        self.told = rows
            .map(|row| {
                let told = serde_json::from_str(&row.value).unwrap_or_default();
                (ServiceId::from(row_name(&row.key)), (told, row.modified))
            })
            .collect();
    }

    async fn tell(&mut self, service: ServiceId, mut row: ReadingRow) {
        let (told, version) = self.told.get(&service).cloned().unwrap_or_default();
        row.keep(&told, |id: &BackEndId| {
            let is_there = |directory: &Directory| directory.back_end(id).is_some();
            self.shared.directory(is_there)
        });
        if !row.is_news(&told) {
            return;
        }
        let Ok(value) = serde_json::to_string(&row) else {
            return;
        };
        self.bytes_told = value.len();
        let key = format!("{}/{service}", self.shared.platform.tables().reading);
        let transaction = Transaction::put_if(key, version, value);
        match self.shared.table().transact(transaction).await {
            TableAnswer::Committed { revision, .. } => {
                self.told.insert(service, (row, revision));
            }
            // The row was written by another placement holder, or by an earlier write of this
            // gateway that took effect late.
            TableAnswer::Conflict { .. } | TableAnswer::Unknown => self.read().await,
            // The refused write had no effect; the next iteration writes the values known by then.
            TableAnswer::Refused { .. } => {}
        }
    }
}
