//! Tenants beyond their limits, as this gateway was told: it need not ask for what is surely
//! refused. A tenant that sends many times what it may would be asked for each time.

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_world::TenantId;
use tokio::time::Instant;

use super::Want;

/// After this time whoever counts is asked again, whatever it said: requests that were counted
/// may be given back.
const LONGEST: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Denied {
    cost: f64,
    /// When there is room, as whoever counts said.
    room_at: Instant,
    /// Until when that is believed.
    believed_until: Instant,
}

/// The last denial of each tenant.
#[derive(Debug, Default)]
pub(super) struct Denials {
    last: HashMap<TenantId, Denied>,
}

impl Denials {
    /// There is no room for this for so long.
    pub(super) fn note(&mut self, want: &Want, wait: Duration) {
        let now = Instant::now();
        let denied = Denied {
            cost: want.cost,
            room_at: now + wait,
            believed_until: now + wait.min(LONGEST),
        };
        self.last.insert(want.tenant.clone(), denied);
    }

    /// After which time there is room for this, as far as is known; none if there may be now.
    pub(super) fn left(&self, want: &Want) -> Option<Duration> {
        let denied = self.last.get(&want.tenant)?;
        let now = Instant::now();
        let is_denied = now < denied.believed_until && want.cost >= denied.cost;
        is_denied.then(|| denied.room_at - now)
    }
}
