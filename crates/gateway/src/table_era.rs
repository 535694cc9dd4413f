//! The era of the table service, which rises when the service is restored from an older copy.
//!
//! Input: the eras that responses state. Output: the latest era, and a log line when it changes.

use parking_lot::Mutex;

use crate::event_log::{self, LogPriority};

/// The latest era that a response stated; `None` before the first response.
#[derive(Debug, Default)]
pub struct LatestEra {
    latest: Mutex<Option<u64>>,
}

impl LatestEra {
    /// The latest era.
    pub fn get(&self) -> Option<u64> {
        *self.latest.lock()
    }

    /// Records the era of a response with this HTTP status.
    pub fn observe(&self, era: u64, status: u16) {
        let mut latest = self.latest.lock();
        let previous = *latest;
        *latest = previous.max(Some(era));
        drop(latest);
        if let Some(previous) = previous.filter(|previous| era > *previous) {
            let fields = format_args!("previous={previous} era={era} status={status}");
            event_log::write(LogPriority::Decision, "table_era", fields);
        }
    }
}
