//! Cache of recent over-quota responses, per tenant.
//!
//! In: charges that were rejected as over quota, with the time after which there is capacity
//! again. Out: whether a request is certain to be rejected, so that this gateway need not ask
//! the shard holders. Without the cache, a tenant that sends many times its quota would cause
//! a request to a shard holder for each of its own requests.

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_world::TenantId;
use tokio::time::Instant;

use super::QuotaDemand;

/// Maximum time for which a denial is used. After that the shard holders are asked again, since
/// requests that were charged may have been refunded.
const MAX_DENIAL_LIFETIME: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Denial {
    cost: f64,
    /// When there is capacity for the cost, as stated by the shard holder.
    capacity_at: Instant,
    /// When this entry expires.
    valid_until: Instant,
}

/// The last denial of each tenant.
#[derive(Debug, Default)]
pub(super) struct DenialCache {
    last: HashMap<TenantId, Denial>,
}

impl DenialCache {
    /// Records that the quota has no capacity for this demand until `wait` has passed.
    pub(super) fn record(&mut self, demand: &QuotaDemand, wait: Duration) {
        let now = Instant::now();
        let denial = Denial {
            cost: demand.cost,
            capacity_at: now + wait,
            valid_until: now + wait.min(MAX_DENIAL_LIFETIME),
        };
        self.last.insert(demand.tenant.clone(), denial);
    }

    /// Time until there is capacity for this demand, if a valid denial covers it; `None` if the
    /// demand may be granted now.
    pub(super) fn remaining_wait(&self, demand: &QuotaDemand) -> Option<Duration> {
        let denial = self.last.get(&demand.tenant)?;
        let now = Instant::now();
        let is_denied = now < denial.valid_until && demand.cost >= denial.cost;
        is_denied.then(|| denial.capacity_at - now)
    }
}
