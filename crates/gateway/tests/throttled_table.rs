//! Time until a gateway that the table throttles stops using its direct path. The clock is paused,
//! so all times are exact.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, join_all};
use gorsebank_contract::{TableRow, Transaction, TransactionResult};
use gorsebank_fleet::placement::OrderResult;
use gorsebank_fleet::{ApiKey, BackEndReport, Configuration, EngineReport};
use gorsebank_gateway::metrics::Metrics;
use gorsebank_gateway::ports::{
    AttemptHeaders, FencedOrder, Platform, RequestMetadata, ResponseMetadata, SchemaError,
    TableChanges, TableError, TableNames, TableSnapshot, WatchedTable,
};
use gorsebank_gateway::relay::RelayedTable;
use gorsebank_world::{BackEndId, ZoneId};
use http::{HeaderMap, Request, StatusCode};
use tokio::time::{sleep, timeout};

/// Time after which a gateway whose calls are all throttled stops using its direct path.
const MAX_THROTTLED_TIME: Duration = Duration::from_millis(1_000);
/// Resolution of the paused clock.
const RESOLUTION: Duration = Duration::from_millis(1);
/// Wait for changes that is longer than [`MAX_THROTTLED_TIME`], as for the table of members.
const LONG_WAIT: Duration = Duration::from_millis(1_500);

/// A table that decides at once whether it accepts a call, and keeps accepted calls for changes
/// open for their whole wait.
#[derive(Default)]
struct ThrottledTable {
    is_throttled: AtomicBool,
}

impl ThrottledTable {
    fn admit(&self) -> Result<(), TableError> {
        if self.is_throttled.load(Ordering::Relaxed) {
            return Err(TableError::Throttled);
        }
        Ok(())
    }
}

impl WatchedTable for ThrottledTable {
    fn read<'a>(&'a self, _: &'a str) -> BoxFuture<'a, Result<TableSnapshot, TableError>> {
        async { self.admit().map(|()| TableSnapshot::default()) }.boxed()
    }

    fn changes<'a>(
        &'a self,
        _: &'a str,
        version: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<TableChanges, TableError>> {
        let accepted = async move {
            self.admit()?;
            sleep(wait).await;
            let changes = Vec::new();
            Ok(TableChanges { changes, version })
        };
        accepted.boxed()
    }

    fn transact(&self, _: Transaction) -> BoxFuture<'_, TransactionResult> {
        unreachable!("the tests only read")
    }

    fn remove<'a>(&'a self, _: &'a str, _: u64) -> BoxFuture<'a, TransactionResult> {
        unreachable!("the tests only read")
    }
}

/// A platform of which only the table is used.
struct TableOnly(Arc<ThrottledTable>);

#[rustfmt::skip]
impl Platform for TableOnly {
    fn table(&self) -> &dyn WatchedTable { &*self.0 }
    fn tables(&self) -> TableNames { unreachable!() }
    fn readiness_path(&self) -> &'static str { unreachable!() }
    fn parse_configuration(&self, _: &TableRow) -> Result<Option<Configuration>, SchemaError> { unreachable!() }
    fn evacuated_zone(&self, _: &str) -> Option<ZoneId> { unreachable!() }
    fn parse_back_end(&self, _: &TableRow) -> Result<BackEndReport, SchemaError> { unreachable!() }
    fn request_metadata(&self, _: &HeaderMap) -> RequestMetadata { unreachable!() }
    fn take_api_key(&self, _: &mut HeaderMap) -> Option<ApiKey> { unreachable!() }
    fn set_attempt_headers(&self, _: &mut HeaderMap, _: &AttemptHeaders<'_>) { unreachable!() }
    fn response_metadata(&self, _: StatusCode, _: &HeaderMap) -> ResponseMetadata { unreachable!() }
    fn set_retry_after(&self, _: &mut HeaderMap, _: Duration) { unreachable!() }
    fn report_request(&self, _: &BackEndId, _: &str) -> Request<Bytes> { unreachable!() }
    fn parse_report(&self, _: &[u8]) -> Result<EngineReport, SchemaError> { unreachable!() }
    fn order_request(&self, _: &FencedOrder<'_>, _: &str) -> Request<Bytes> { unreachable!() }
    fn order_result(&self, _: StatusCode) -> OrderResult { unreachable!() }
}

fn relayed_table() -> (Arc<ThrottledTable>, Arc<RelayedTable>) {
    let table = Arc::new(ThrottledTable::default());
    let calls = Metrics::new().expect("metrics").table_calls;
    let relayed = RelayedTable::new(Arc::new(TableOnly(table.clone())), calls);
    (table, Arc::new(relayed))
}

/// Throttles all further calls of the table, and has the first one rejected.
async fn throttle(table: &ThrottledTable, relayed: &RelayedTable) {
    table.is_throttled.store(true, Ordering::Relaxed);
    assert_eq!(relayed.read("t").await, Err(TableError::Throttled));
}

/// Guards against a response to a wait for changes, which the table accepted before it began to
/// throttle this gateway, that restarts the time. A throttled gateway then used its direct path for
/// up to 1.5 s longer, and rejected requests with keys, since its keys were too old.
#[tokio::test(start_paused = true)]
async fn a_wait_that_began_before_throttling_does_not_prolong_the_direct_path() {
    let (table, relayed) = relayed_table();
    let waiting = tokio::spawn({
        let relayed = relayed.clone();
        async move { relayed.changes("members", 1, LONG_WAIT).await }
    });
    sleep(LONG_WAIT / 2).await;
    throttle(&table, &relayed).await;
    sleep(LONG_WAIT / 2 + RESOLUTION).await;
    assert!(waiting.is_finished(), "the accepted wait has ended");
    assert_eq!(relayed.read("t").await, Err(TableError::Throttled));
    assert!(relayed.direct().is_some(), "other calls may be accepted");
    sleep(MAX_THROTTLED_TIME - LONG_WAIT / 2).await;
    assert_eq!(relayed.read("t").await, Err(TableError::Throttled));
    assert!(relayed.direct().is_none(), "the direct path is still used");
}

/// A call that the table accepts after it has throttled another one shows that the gateway is not
/// rejected altogether.
#[tokio::test(start_paused = true)]
async fn a_call_that_is_accepted_after_throttling_keeps_the_direct_path() {
    let (table, relayed) = relayed_table();
    throttle(&table, &relayed).await;
    sleep(MAX_THROTTLED_TIME / 2).await;
    table.is_throttled.store(false, Ordering::Relaxed);
    assert!(relayed.read("t").await.is_ok());
    throttle(&table, &relayed).await;
    sleep(MAX_THROTTLED_TIME).await;
    assert_eq!(relayed.read("t").await, Err(TableError::Throttled));
    assert!(relayed.direct().is_some(), "the time starts again");
}

/// Guards against a path that is abandoned because the gateway rarely calls the table.
#[tokio::test(start_paused = true)]
async fn two_throttled_calls_that_are_far_apart_do_not_abandon_the_direct_path() {
    let (table, relayed) = relayed_table();
    throttle(&table, &relayed).await;
    sleep(MAX_THROTTLED_TIME * 2).await;
    assert_eq!(relayed.read("t").await, Err(TableError::Throttled));
    assert!(relayed.direct().is_some(), "two calls show too little");
    assert_eq!(relayed.read("t").await, Err(TableError::Throttled));
    assert!(relayed.direct().is_none(), "the direct path is still used");
}

/// Guards against a path that only one of several waiting tasks sees abandoned. The followers of the
/// other tables then paused for up to 0.6 s more before their first relayed call.
#[tokio::test(start_paused = true)]
async fn all_waiting_tasks_are_notified_when_the_direct_path_is_abandoned() {
    let (table, relayed) = relayed_table();
    throttle(&table, &relayed).await;
    let waiting = (0..3).map(|_| relayed.wait_until_abandoned());
    let notified = timeout(MAX_THROTTLED_TIME + RESOLUTION, join_all(waiting)).await;
    assert!(notified.is_ok(), "a task was not notified");
    assert!(relayed.direct().is_none(), "the direct path is still used");
}
