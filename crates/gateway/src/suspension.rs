//! What a process does when its machine wakes from a suspension.
//!
//! Ages, deadlines and the lease are right by themselves ([`crate::clock`]). What waits on
//! `Instant` is woken here, and connections that were open are closed: others may have given
//! them up meanwhile, and whoever finds that out by sending a request on one cannot tell
//! whether it ran.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::lines::{self, Rank};
use crate::shared::Shared;

/// Pause between two looks: a tenth of the second within which users expect a request to be
/// given up once its time is over costs ten wake-ups a second.
const PAUSE: Duration = Duration::from_millis(100);

/// Looks until it is dropped.
pub async fn watch(shared: Arc<Shared>) {
    let mut known = shared.clock.suspended();
    loop {
        sleep(PAUSE).await;
        if !shared.clock.was_suspended_since(known) {
            continue;
        }
        let total = shared.clock.suspended();
        let fields = format_args!("for_ms={}", (total - known).as_millis());
        lines::write(Rank::Decision, "suspended", fields);
        known = total;
        shared.table().client().clear();
        shared.wake();
    }
}
