//! Handles resumes of the machine from a suspension.
//!
//! Ages, deadlines and the lease need no handling, because they use [`crate::clock`]. Tasks that
//! wait on `Instant` are notified, and open connections are closed: the peer may have closed them
//! meanwhile, and a request on such a connection would fail without showing whether it ran.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::event_log::{self, LogPriority};
use crate::shared::Shared;

/// Interval of the check: a tenth of the 1 s within which users expect an expired request to be
/// abandoned. It costs ten wake-ups per second.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks for suspensions until the future is dropped.
pub async fn detect_suspensions(shared: Arc<Shared>) {
    let mut known = shared.clock.total_suspension();
    loop {
        sleep(CHECK_INTERVAL).await;
        if !shared.clock.was_suspended_since(known) {
            continue;
        }
        let total = shared.clock.total_suspension();
        let fields = format_args!("for_ms={}", (total - known).as_millis());
        event_log::write(LogPriority::Decision, "suspended", fields);
        known = total;
        shared.table().client().close_idle_connections();
        shared.notify_resumed();
    }
}
