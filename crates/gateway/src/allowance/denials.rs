//! Tenants beyond their limits, as this gateway was told: it need not ask for what is surely
//! refused. A tenant that sends many times what it may would be asked for each time.

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_world::TenantId;
use tokio::time::Instant;

use super::Want;

/// A denial counts for so long at most: requests that were counted may be given back.
const LONGEST: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Denied {
    cost: f64,
    until: Instant,
}

/// The last denial of each tenant.
#[derive(Debug, Default)]
pub(super) struct Denials {
    last: HashMap<TenantId, Denied>,
}

impl Denials {
    /// There is no room for this for so long.
    pub(super) fn note(&mut self, want: &Want, wait: Duration) {
        let denied = Denied {
            cost: want.cost,
            until: Instant::now() + wait.min(LONGEST),
        };
        self.last.insert(want.tenant.clone(), denied);
    }

    /// For how long there is surely no room for this; none if there may be.
    pub(super) fn left(&self, want: &Want) -> Option<Duration> {
        let denied = self.last.get(&want.tenant)?;
        let left = denied.until.checked_duration_since(Instant::now())?;
        (want.cost >= denied.cost).then_some(left)
    }
}
