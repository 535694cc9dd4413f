//! Cache of recent over-quota responses, per tenant.
//!
//! In: charges that were rejected as over quota and without a place, with the time after which there
//! is capacity again. Out: whether a request is certain to be rejected, so that this gateway need
//! not ask the shard holders. Without the cache, a tenant that sends many times its quota would cause
//! a request to a shard holder for each of its own requests.

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_world::TenantId;
use tokio::time::Instant;

use super::QuotaDemand;

/// Maximum time for which a denial is used. After that the shard holders are asked again, since
/// requests that were charged may have been refunded, and places may have lapsed.
const MAX_DENIAL_LIFETIME: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Denial {
    cost: f64,
    /// The longest wait for which there was no place, in milliseconds.
    max_wait_ms: u64,
    /// When there is capacity for the cost, as stated by the shard holder.
    capacity_at: Instant,
    /// When this entry expires.
    valid_until: Instant,
}

/// The last denial of each tenant and kind of request.
#[derive(Debug, Default)]
pub(super) struct DenialCache {
    last: HashMap<(TenantId, u32), Denial>,
}

impl DenialCache {
    /// Records that the quota has no capacity for this demand until `wait` has passed.
    pub(super) fn record(&mut self, demand: &QuotaDemand, wait: Duration) {
        let now = Instant::now();
        let denial = Denial {
            cost: demand.cost,
            max_wait_ms: demand.place.max_wait_ms,
            capacity_at: now + wait,
            valid_until: now + wait.min(MAX_DENIAL_LIFETIME),
        };
        self.last.retain(|_, denial| now < denial.valid_until);
        let key = (demand.tenant.clone(), demand.place.kind);
        self.last.insert(key, denial);
    }

    /// Time until there is capacity for this demand, if a valid denial covers it; `None` if the
    /// demand may be granted now.
    pub(super) fn remaining_wait(&self, demand: &QuotaDemand) -> Option<Duration> {
        // A returning request may have a place, of which this gateway need not know.
        if demand.place.is_returning {
            return None;
        }
        let denial = self.last.get(&(demand.tenant.clone(), demand.place.kind))?;
        let now = Instant::now();
        let is_covered =
            demand.cost >= denial.cost && demand.place.max_wait_ms <= denial.max_wait_ms;
        let is_denied = now < denial.valid_until && is_covered;
        is_denied.then(|| denial.capacity_at - now)
    }
}
