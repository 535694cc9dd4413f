//! Loss of power at all machines at once, those of the table included.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use super::Run;
use crate::history::{Disturbance, DisturbanceKind};

/// Every gateway whose index is a multiple of this number stays away at first.
pub(super) const ABSENT_INTERVAL: usize = 3;
/// Time without power.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// Time after the return of power until the table responds.
const TABLE_DELAY: Duration = Duration::from_millis(500);

impl Run {
    /// Ends all gateways and back ends and the table at one moment. They return under their names, the
    /// gateways at their addresses, and the engines have lost the models that they had loaded. Returns the
    /// gateways that stay away.
    pub(super) async fn lose_power(&self) -> Vec<usize> {
        let from = self.started_at.elapsed();
        let is_unavailable = &self.store.inner.is_unavailable;
        is_unavailable.store(true, Ordering::Relaxed);
        for index in 0..self.slots.len() {
            self.record_peak_memory(index);
            self.slots[index].lock().kill();
        }
        let lost = std::mem::take(&mut *self.listed.lock());
        for back_end in &lost {
            back_end.runner.exit();
            back_end.wire.stop_listening();
        }
        sleep(OUTAGE).await;
        let all = 0..self.slots.len();
        let (absent, returning): (Vec<usize>, Vec<usize>) =
            all.partition(|index| index.is_multiple_of(ABSENT_INTERVAL));
        self.restart_gateways(&returning);
        for back_end in &lost {
            let returned = self.add_back_end_as(&back_end.runner.id, back_end.service);
            returned.await.runner.unload_all();
        }
        sleep(TABLE_DELAY).await;
        is_unavailable.store(false, Ordering::Relaxed);
        self.disturbances.lock().push(Disturbance {
            from,
            until: self.started_at.elapsed(),
            kind: DisturbanceKind::Table,
        });
        absent
    }

    /// Restarts gateways at their addresses.
    pub(super) fn restart_gateways(&self, indices: &[usize]) {
        for index in indices {
            let number = self.next_process_number();
            self.slots[*index].lock().restart_in_place(number);
        }
    }
}
