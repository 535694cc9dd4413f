//! The demand that gateways send to the placement holder.
//!
//! The input is one demand row per gateway, which replaces the previous one. The output is the
//! recent rows and the merged prefill speed samples.

use std::collections::{BTreeMap, HashMap};

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{DemandRow, PrefillSpeedRow, PrefillSpeedSample};
use gorsebank_world::{NodeId, ServiceId};
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Time for which a demand row counts if its gateway does not send a new one, in milliseconds.
const DEMAND_LIFETIME_MS: u64 = 15_000;

/// A task that is aborted when its owner is dropped.
pub struct AbortOnDrop(pub tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The newest demand row of each gateway.
#[derive(Default)]
pub struct DemandRows {
    rows: Mutex<HashMap<NodeId, (DemandRow, Timestamp)>>,
    /// Notified when a gateway has sent its demand.
    pub updated: Notify,
}

impl DemandRows {
    /// The demand rows that were received recently.
    pub fn recent_rows(&self, now: Timestamp) -> Vec<DemandRow> {
        let rows = self.rows.lock();
        let recent = rows
            .values()
            .filter(|(_, received_at)| is_recent(now, *received_at));
        recent.map(|(row, _)| row.clone()).collect()
    }

    /// The gateways that sent their demand recently.
    pub fn reporting_gateways(&self, now: Timestamp) -> Vec<NodeId> {
        let rows = self.rows.lock();
        let recent = rows
            .iter()
            .filter(|(_, (_, received_at))| is_recent(now, *received_at));
        recent.map(|(name, _)| name.clone()).collect()
    }

    /// The recent prefill speed samples of all gateways, merged by service.
    pub fn merged_prefill_speed(&self, now: Timestamp) -> BTreeMap<ServiceId, PrefillSpeedRow> {
        let rows = self.rows.lock();
        let recent = rows
            .values()
            .filter(|(_, received_at)| is_recent(now, *received_at));
        let mut samples: BTreeMap<&ServiceId, Vec<&PrefillSpeedSample>> = BTreeMap::new();
        for (service, sample) in recent.flat_map(|(row, _)| &row.prefill_speed) {
            samples.entry(service).or_default().push(sample);
        }
        samples
            .into_iter()
            .map(|(service, samples)| (service.clone(), PrefillSpeedRow::merge(samples)))
            .collect()
    }

    /// Stores the demand row of a gateway.
    pub fn put(&self, now: Timestamp, from: NodeId, row: DemandRow) {
        self.rows.lock().insert(from, (row, now));
        self.updated.notify_one();
    }

    /// Removes all rows. It is called when this gateway no longer holds the placement lease,
    /// because the rows are then no longer updated.
    pub fn clear(&self) {
        self.rows.lock().clear();
    }
}

fn is_recent(now: Timestamp, received_at: Timestamp) -> bool {
    now.since(received_at) < DEMAND_LIFETIME_MS
}
