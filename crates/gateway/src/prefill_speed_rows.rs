//! Rows of prefill speeds: the placement holder merges the engine speeds in the demand of all
//! gateways into rows that every gateway follows.
//!
//! Input: demand of gateways. Output: one row for each service, written when its content has
//! changed. A lost or outdated row only causes longer gaps in some streams; no response is lost.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{TableRow, Transaction, TransactionResult};
use gorsebank_fleet::PrefillSpeedRow;
use gorsebank_world::{BackEndId, ServiceId};
use tokio::time::sleep;

use crate::directory::Directory;
use crate::ports::{RowChange, WatchedTable};
use crate::shared::Shared;
use crate::table_followers::{Follower, NO_RESPONSE_PAUSE, row_name};

/// Minimum pause between two evaluations of the demand of gateways.
const EVALUATION_PAUSE: Duration = Duration::from_millis(1_000);
/// Maximum rate at which all gateways together read these rows, in bytes per second.
const MAX_READ_BYTES_PER_SECOND: f64 = 200_000.0;

/// Follower of the table of prefill speeds.
pub struct PrefillSpeedFollower(pub Arc<Shared>);

impl PrefillSpeedFollower {
    fn apply(&self, row: &TableRow) {
        match serde_json::from_str::<PrefillSpeedRow>(&row.value) {
            Ok(prefill_speeds) => {
                let service = ServiceId::from(row_name(&row.key));
                self.0
                    .with_prefill_model(&service, |known| known.set_merged(prefill_speeds));
            }
            Err(error) => self.0.record_refused_row(row, &error),
        }
    }
}

impl Follower for PrefillSpeedFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        rows.iter().for_each(|row| self.apply(row));
    }

    fn change(&mut self, change: RowChange) {
        if let RowChange::Put(row) = change {
            self.apply(&row);
        }
    }
}

/// Writes the merged engine speeds to the table, until the future is dropped.
pub async fn run(shared: Arc<Shared>) {
    let mut writer = RowWriter {
        shared,
        written: BTreeMap::new(),
        last_row_bytes: 0,
    };
    let mut era = writer.shared.feed.subscribe_to_era();
    writer.read_rows().await;
    loop {
        sleep(EVALUATION_PAUSE.max(writer.min_write_interval())).await;
        // A restored table may lack the last writes.
        if era.has_changed().unwrap_or(false) {
            era.mark_unchanged();
            writer.read_rows().await;
        }
        let now = writer.shared.now();
        for (service, row) in writer.shared.demand_rows.merged_prefill_speed(now) {
            writer.write(service, row).await;
        }
    }
}

struct RowWriter {
    shared: Arc<Shared>,
    /// The rows in the table, with their versions.
    written: BTreeMap<ServiceId, (PrefillSpeedRow, u64)>,
    /// Size of the last written row in bytes.
    last_row_bytes: usize,
}

impl RowWriter {
    /// Minimum time between two writes that keeps the read rate of all gateways within
    /// `MAX_READ_BYTES_PER_SECOND`.
    fn min_write_interval(&self) -> Duration {
        let bytes = self.last_row_bytes * self.shared.max_gateway_count();
        Duration::from_secs_f64(bytes as f64 / MAX_READ_BYTES_PER_SECOND)
    }

    /// Reads the rows that a previous placement holder has written.
    async fn read_rows(&mut self) {
        let table = self.shared.platform.tables().prefill_speeds;
        let snapshot = loop {
            match self.shared.table().read(table).await {
                Ok(snapshot) => break snapshot,
                Err(_) => sleep(NO_RESPONSE_PAUSE).await,
            }
        };
        let rows = snapshot.rows.into_iter();
        self.written = rows
            .map(|row| {
                let written = serde_json::from_str(&row.value).unwrap_or_default();
                (ServiceId::from(row_name(&row.key)), (written, row.modified))
            })
            .collect();
    }

    async fn write(&mut self, service: ServiceId, mut row: PrefillSpeedRow) {
        let (written, version) = self.written.get(&service).cloned().unwrap_or_default();
        row.fill_from(&written, |id: &BackEndId| {
            let exists = |directory: &Directory| directory.back_end(id).is_some();
            self.shared.directory(exists)
        });
        if !row.differs_from(&written) {
            return;
        }
        let Ok(value) = serde_json::to_string(&row) else {
            return;
        };
        self.last_row_bytes = value.len();
        let key = format!("{}/{service}", self.shared.platform.tables().prefill_speeds);
        let transaction = Transaction::put_if(key, version, value);
        match self.shared.table().transact(transaction).await {
            TransactionResult::Committed { revision, .. } => {
                self.written.insert(service, (row, revision));
            }
            // The row was written by another placement holder, or by an earlier write of this
            // gateway that took effect late.
            TransactionResult::Conflict { .. } | TransactionResult::Unknown => {
                self.read_rows().await
            }
            // The refused write had no effect; the next iteration writes the values known by then.
            TransactionResult::Refused { .. } => {}
        }
    }
}
