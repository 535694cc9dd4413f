//! This gateway's share of resources that all gateways use together: retries, table calls, and
//! connections to back ends.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::RetryWindow;
use gorsebank_world::ServiceId;

use super::Shared;

/// Number of tables that must be followed closely, because rules depend on their freshness.
const CLOSELY_FOLLOWED_TABLES: f64 = 3.0;
/// Fraction of the table's call rate that is available for following tables. The rest is reserved
/// for the placement holder.
const FOLLOWING_FRACTION: f64 = 0.5;
/// Divisor for idle connections: all gateways together keep at most one part in `IDLE_DIVISOR` of a
/// back end's connections idle.
const IDLE_DIVISOR: usize = 2;

/// Result of a request for a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryPermit {
    /// Whether the retry may be sent.
    pub granted: bool,
    /// Retries left in this gateway's share.
    pub retries_left: f64,
    /// Number of gateways that share the budget.
    pub gateways: usize,
}

impl Shared {
    /// Counts a request to a service for the retry budget.
    pub fn count_request(&self, service: &ServiceId) {
        self.with_window(service, |window, now| window.record_request(now));
    }

    /// Takes one retry from this gateway's share, if any is left.
    pub fn take_retry_permit(&self, service: &ServiceId) -> RetryPermit {
        let gateways = self.max_gateway_count();
        self.with_window(service, |window, now| RetryPermit {
            granted: window.take(now, gateways),
            retries_left: window.left(now, gateways),
            gateways,
        })
    }

    fn with_window<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut RetryWindow, Timestamp) -> T,
    ) -> T {
        let now = self.now();
        let share = self.settings.bounds.retry_budget;
        let mut retries = self.retries.lock();
        let window = retries
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(share));
        act(window, now)
    }

    /// Minimum time between two reads of one table by this gateway. It keeps all gateways together
    /// within the table's call rate even if all of them follow the table directly.
    pub fn min_read_interval(&self) -> Duration {
        let calls = CLOSELY_FOLLOWED_TABLES * self.max_gateway_count() as f64;
        Duration::from_secs_f64(
            calls / (self.settings.bounds.table_reads_per_second * FOLLOWING_FRACTION),
        )
    }

    /// Maximum number of idle connections that this gateway may keep to one back end of a service.
    pub fn max_idle_connections(&self, service: &ServiceId) -> usize {
        let configuration = self.configuration();
        let known = configuration
            .as_ref()
            .and_then(|known| known.service(service));
        let max_connections = known.map_or(0, |service| service.max_connections as usize);
        (max_connections / (IDLE_DIVISOR * self.max_gateway_count())).max(1)
    }
}
