//! Reads of a table on demand, for decisions that need everything that the table held at a moment.
//!
//! Updates arrive within the propagation bound, but state the table's content for a moment in the
//! past. A decision about something that another gateway did meanwhile needs a later one.
//!
//! In: a moment. Out: the same table, verified for that moment or a later one.

use std::time::Duration;

use tokio::time::sleep;

use super::sync_policy::{TableSyncPolicy, table_sync_policies};
use super::table_sync::advance;
use crate::shared::Shared;

/// Pause after a read without a response, or while the whole table has to be read first.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Waits until the follower of a table has applied everything that the table held at `moment`, which
/// is a time since boot. One read serves all requests that arrived before it. Waits for as long as
/// the table cannot be reached.
pub async fn wait_until_verified(shared: &Shared, table: &'static str, moment: Duration) {
    let policies = table_sync_policies(&shared.platform.tables());
    if let Some(policy) = policies.iter().find(|policy| policy.table == table) {
        read_until_verified(shared, policy, moment).await;
    }
    shared.feed.wait_until_verified(table, moment).await;
}

/// Reads the table's changes until the cache holds everything that the table held at `moment`.
async fn read_until_verified(shared: &Shared, policy: &TableSyncPolicy, moment: Duration) {
    let is_verified = || {
        let verified_at = |cache: &mut super::TableCache| cache.verified_at(policy.table, u64::MAX);
        shared
            .feed
            .cache(verified_at)
            .is_some_and(|at| at >= moment)
    };
    let _reading = shared.feed.on_demand_read.lock().await;
    while !is_verified() {
        if !read_changes(shared, policy).await {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Reads the changes since the cached version. Returns whether the table responded.
async fn read_changes(shared: &Shared, policy: &TableSyncPolicy) -> bool {
    // A read of the whole table is left to the task that follows it.
    let is_cached = shared.feed.cache(|cache| cache.version(policy.table));
    is_cached.is_some() && advance(shared, policy, Duration::ZERO).await.is_ok()
}
