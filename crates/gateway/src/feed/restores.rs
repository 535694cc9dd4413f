//! Observes restores of the table from older copies.
//!
//! Input: the eras of the cached tables. Output: a metric, and a log line once all cached tables
//! have been read again.

use std::sync::Arc;

use tokio::time::Instant;

use crate::event_log::{self, LogPriority};
use crate::shared::Shared;

/// Observes restores until the future is dropped.
pub async fn observe(shared: Arc<Shared>) {
    let mut eras = shared.feed.subscribe_to_era();
    let mut tables = shared.feed.cache(|cache| cache.subscribe_to_any());
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        let detected_at = Instant::now();
        shared.metrics.table_era.set(era as i64);
        while !shared.feed.cache(|cache| cache.is_of_one_era()) {
            if tables.changed().await.is_err() {
                return;
            }
        }
        let took = detected_at.elapsed().as_millis();
        let fields = format_args!("era={era} took_ms={took}");
        event_log::write(LogPriority::Decision, "restored_tables_read", fields);
    }
}
