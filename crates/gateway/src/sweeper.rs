//! Removes rows of engines and gateways that no longer exist, while this process holds the
//! placement lease.
//!
//! Input: the tables of members and of engines, and the gateways that have sent their demand.
//! Output: conditional removals, which are safe even if two holders sweep at the same time, because
//! only one removal of each row succeeds.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::TransactionResult;
use gorsebank_fleet::Sweep;
use gorsebank_world::BackEndId;
use tokio::time::sleep;

use crate::directory::Directory;
use crate::event_log::{self, LogPriority};
use crate::ports::WatchedTable;
use crate::shared::Shared;
use crate::table_followers::row_name;

/// Interval of the sweeps.
const SWEEP_PAUSE: Duration = Duration::from_secs(15);
/// Maximum age of the cached rows. The sweep skips a table with older rows.
const MAX_ROW_AGE: Duration = Duration::from_secs(4);
/// Lifetime in milliseconds of a row about an engine that discovery no longer lists. No earlier
/// order can be carried out after that time.
const ENGINE_ROW_LIFETIME_MS: u64 = 30_000;
/// Time in milliseconds after which a gateway that has sent no demand is considered gone. Gateways
/// send their demand to the placement holder every few seconds.
const GATEWAY_ROW_LIFETIME_MS: u64 = 120_000;

/// Sweeps periodically until the future is dropped.
pub async fn run(shared: Arc<Shared>) {
    let mut engines = Sweep::new(ENGINE_ROW_LIFETIME_MS);
    let mut gateways = Sweep::new(GATEWAY_ROW_LIFETIME_MS);
    let tables = shared.platform.tables();
    loop {
        sleep(SWEEP_PAUSE).await;
        let is_gone = |key: &str| {
            let id = BackEndId::from(row_name(key));
            shared.directory(|directory: &Directory| directory.back_end(&id).is_none())
        };
        sweep(&shared, tables.placed, &mut engines, is_gone).await;
        let senders = shared.demand_rows.reporting_gateways(shared.now());
        let is_silent = |key: &str| !senders.iter().any(|name| name.as_str() == row_name(key));
        sweep(&shared, tables.members, &mut gateways, is_silent).await;
    }
}

async fn sweep(
    shared: &Shared,
    table: &'static str,
    sweep: &mut Sweep,
    is_gone: impl Fn(&str) -> bool,
) {
    let Some(rows) = shared.feed.rows(table, MAX_ROW_AGE) else {
        return;
    };
    let rows: Vec<(String, u64)> = rows
        .into_iter()
        .filter(|row| is_gone(&row.key))
        .map(|row| (row.key, row.modified))
        .collect();
    for (key, version) in sweep.observe(shared.now(), &rows) {
        let response = shared.table().remove(&key, version).await;
        let removed = matches!(response, TransactionResult::Committed { .. });
        let fields = format_args!("row={key} version={version} removed={removed}");
        event_log::write(LogPriority::Decision, "row_swept", fields);
    }
}
