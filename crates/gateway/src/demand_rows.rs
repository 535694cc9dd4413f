//! The demand rows of all gateways, as the placement holder follows them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::DemandRow;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::ports::{RowChange, WatchedTable};
use crate::shared::Shared;
use crate::watch::LOST_PAUSE;

/// Longest wait for a change of demand, in one call.
const DEMAND_WAIT: Duration = Duration::from_millis(2_000);
/// Demand that nobody has renewed counts for so long, in milliseconds.
const DEMAND_LIFETIME: u64 = 15_000;

/// A task that ends with its owner.
pub struct AbortOnDrop(pub tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The newest demand rows of all gateways.
#[derive(Default)]
pub struct DemandRows {
    rows: Mutex<HashMap<String, (DemandRow, Timestamp)>>,
    /// Rings when a row was written.
    pub news: Notify,
}

impl DemandRows {
    /// Rows that were written not long ago.
    pub fn fresh(&self, now: Timestamp) -> Vec<DemandRow> {
        self.rows
            .lock()
            .values()
            .filter(|(_, heard)| now.since(*heard) < DEMAND_LIFETIME)
            .map(|(row, _)| row.clone())
            .collect()
    }

    fn put(&self, now: Timestamp, key: String, row: DemandRow) {
        self.rows.lock().insert(key, (row, now));
        self.news.notify_one();
    }
}

/// Follows the demand rows of all gateways.
pub async fn follow_demand(shared: Arc<Shared>, demand: Arc<DemandRows>) {
    let table = shared.platform.tables().demand;
    let mut version = None;
    loop {
        let source = shared.table();
        let changes = match version {
            None => source.read(table).await.map(|snapshot| {
                let rows = snapshot.rows.into_iter().map(RowChange::Put).collect();
                (rows, snapshot.version)
            }),
            Some(version) => source
                .changes(table, version, DEMAND_WAIT)
                .await
                .map(|changes| (changes.changes, changes.version)),
        };
        let Ok((changes, next)): Result<(Vec<RowChange>, u64), _> = changes else {
            version = None;
            sleep(LOST_PAUSE).await;
            continue;
        };
        version = Some(next);
        for change in changes {
            if let RowChange::Put(row) = change
                && let Ok(parsed) = serde_json::from_str(&row.value)
            {
                demand.put(shared.now(), row.key, parsed);
            }
        }
    }
}
