//! This gateway's share of what all gateways may use together: retries, calls of the table,
//! connections to back ends.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::RetryWindow;
use gorsebank_world::ServiceId;

use super::Shared;

/// Tables that rules hang on.
const TABLES_FOLLOWED: f64 = 3.0;
/// Part of the table's rates that following uses; the rest is for the placement holder.
const TABLE_PART: f64 = 0.5;
/// Idle connections take up at most the inverse of this of a back end's connections.
const IDLE_DIVISOR: usize = 2;

/// What came of asking for a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryGrant {
    /// Whether it may be made.
    pub granted: bool,
    /// Retries that are left of this gateway's share.
    pub left: f64,
    /// Gateways that the budget is shared by.
    pub gateways: usize,
}

impl Shared {
    /// Counts a request to a service for the retry budget.
    pub fn count_request(&self, service: &ServiceId) {
        self.with_window(service, |window, now| window.request(now));
    }

    /// Takes one retry out of this gateway's share, if there is one.
    pub fn withdraw_retry(&self, service: &ServiceId) -> RetryGrant {
        let gateways = self.possible_gateways();
        self.with_window(service, |window, now| RetryGrant {
            granted: window.withdraw(now, gateways),
            left: window.left(now, gateways),
            gateways,
        })
    }

    fn with_window<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut RetryWindow, Timestamp) -> T,
    ) -> T {
        let now = self.now();
        let share = self.settings.bounds.retries;
        let mut retries = self.retries.lock();
        let window = retries
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(share));
        act(window, now)
    }

    /// Least time between two reads of one table by this gateway, so that all
    /// gateways together stay within the table's rate, should all of them follow it.
    pub fn read_pause(&self) -> Duration {
        let calls = TABLES_FOLLOWED * self.possible_gateways() as f64;
        Duration::from_secs_f64(calls / (self.settings.bounds.table_reads * TABLE_PART))
    }

    /// Idle connections that this gateway may keep to one back end of a service.
    pub fn idle_connections(&self, service: &ServiceId) -> usize {
        let configuration = self.configuration();
        let known = configuration
            .as_ref()
            .and_then(|known| known.service(service));
        let most = known.map_or(0, |service| service.max_connections as usize);
        (most / (IDLE_DIVISOR * self.possible_gateways())).max(1)
    }
}
