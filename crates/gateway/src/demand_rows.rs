//! The demand rows of all gateways, as the placement holder follows them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use gorsebank_contract::TableRow;
use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{DemandRow, ReadingRow, ReadingSample};
use gorsebank_world::ServiceId;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::ports::RowChange;
use crate::shared::Shared;
use crate::watch::{Follower, follow};

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

    /// What gateways have seen of late of how fast engines are, by service.
    pub fn merged_reading(&self, now: Timestamp) -> BTreeMap<ServiceId, ReadingRow> {
        let rows = self.rows.lock();
        let fresh = rows
            .values()
            .filter(|(_, heard)| now.since(*heard) < DEMAND_LIFETIME);
        let mut samples: BTreeMap<&ServiceId, Vec<&ReadingSample>> = BTreeMap::new();
        for (service, sample) in fresh.flat_map(|(row, _)| &row.reading) {
            samples.entry(service).or_default().push(sample);
        }
        samples
            .into_iter()
            .map(|(service, samples)| (service.clone(), ReadingRow::merge(samples)))
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
    let follower = DemandFollower {
        shared: shared.clone(),
        demand,
    };
    follow(shared, table, follower).await;
}

struct DemandFollower {
    shared: Arc<Shared>,
    demand: Arc<DemandRows>,
}

impl DemandFollower {
    fn take(&self, row: TableRow) {
        if let Ok(parsed) = serde_json::from_str(&row.value) {
            self.demand.put(self.shared.now(), row.key, parsed);
        }
    }
}

impl Follower for DemandFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        rows.into_iter().for_each(|row| self.take(row));
    }

    fn change(&mut self, change: RowChange) {
        if let RowChange::Put(row) = change {
            self.take(row);
        }
    }
}
