//! Access to the table by one of two paths: directly, or through another gateway.
//!
//! In: calls of the table. Out: the responses. Two consecutive calls without a response show that
//! the table cannot be reached directly. A throttled call counts as a response: too many gateways
//! may be writing at the same time, which another path would not improve. Only if every call is
//! throttled for some time does the table refuse to serve this gateway.
//!
//! After that, calls are relayed by another gateway, and one call per second probes the direct
//! path. A gateway relays calls only by its own direct path, so a call takes at most one hop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use gorsebank_contract::{Transaction, TransactionResult};
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::client::RelayClient;
use super::message::{RelayRequest, RelayResponse};
use crate::call_pacer::CallPacer;
use crate::event_log::{self, LogPriority};
use crate::ports::{Platform, TableChanges, TableError, TableSnapshot, WatchedTable};

/// Number of consecutive direct calls without a response after which calls are relayed.
const MAX_FAILURES: u32 = 2;
/// Time after which the direct path is abandoned if every direct call is throttled. Together with
/// the wait and the pause of the previous call (0.55 s) and the relayed call, the gap in the
/// updates of a gateway that follows the table is shorter than 1.7 s. Users' lowest propagation
/// bound is 2 s, and the bound on the revocation of keys is 3 s.
const MAX_THROTTLED_TIME: Duration = Duration::from_millis(1_000);
/// Minimum number of consecutive throttled calls after which a call abandons the direct path. Two calls
/// of a gateway that rarely calls the table may be far apart.
const MIN_THROTTLED_CALLS: u32 = 3;
/// Resolution of timers.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);
/// Time between two probes of the direct path while calls are relayed.
const PROBE_PAUSE: Duration = Duration::from_millis(1_000);
/// Time for which no calls are relayed after no other gateway could relay one.
const RELAY_FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Maximum number of gateways that are asked to relay one call.
const MAX_PEERS_PER_CALL: usize = 2;
/// Time limit for a relayed call, in addition to the requested wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The table, accessed directly or through other gateways.
pub struct RelayedTable {
    platform: Arc<dyn Platform>,
    calls: IntCounterVec,
    client: RelayClient,
    state: Mutex<State>,
    /// Notified when the direct path is abandoned, for pending direct calls.
    direct_abandoned: Notify,
    pacer: CallPacer,
}

#[derive(Default)]
struct State {
    peers: Vec<SocketAddr>,
    /// Number of consecutive direct calls without a response.
    failures: u32,
    /// Since when the table has accepted no direct call and throttled at least one.
    throttled_since: Option<Instant>,
    /// Number of direct calls that were throttled since then.
    throttled_calls: u32,
    /// When the direct path is probed next; `None` while calls are direct.
    probe_at: Option<Instant>,
    /// Until when no calls are relayed, after no other gateway could relay one.
    no_relay_until: Option<Instant>,
    /// The gateway that last relayed a call.
    last_peer: Option<SocketAddr>,
}

/// The path of a call to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPath {
    Direct,
    Relayed,
}

impl RelayedTable {
    /// Creates the access to the table of a platform, without other gateways. `calls` is the
    /// metric that counts calls by path and result.
    pub fn new(platform: Arc<dyn Platform>, calls: IntCounterVec) -> Self {
        RelayedTable {
            platform,
            calls,
            client: RelayClient::default(),
            state: Mutex::default(),
            direct_abandoned: Notify::new(),
            pacer: CallPacer::default(),
        }
    }

    /// Sets the addresses of the gateways that can relay calls.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.state.lock().peers = peers;
    }

    /// The client for requests to other gateways.
    pub fn client(&self) -> &RelayClient {
        &self.client
    }

    /// The pace of the calls that many gateways may make at the same time.
    pub fn pacer(&self) -> &CallPacer {
        &self.pacer
    }

    /// The table by the direct path, unless that path was abandoned.
    pub fn direct(&self) -> Option<&dyn WatchedTable> {
        let is_abandoned = self.state.lock().probe_at.is_some();
        (!is_abandoned).then(|| self.platform.table())
    }

    fn choose_path(&self) -> CallPath {
        let now = Instant::now();
        let mut state = self.state.lock();
        let Some(probe_at) = state.probe_at else {
            return CallPath::Direct;
        };
        let is_relay_paused = state.no_relay_until.is_some_and(|until| now < until);
        if now >= probe_at || is_relay_paused || state.peers.is_empty() {
            state.probe_at = Some(now + PROBE_PAUSE);
            return CallPath::Direct;
        }
        CallPath::Relayed
    }

    /// Records the response to a direct call that the table accepted at `accepted_at`. Resumes the
    /// direct path if it was abandoned, unless the table has throttled a call since then.
    fn record_success(&self, accepted_at: Instant) {
        self.count_call("direct");
        let mut state = self.state.lock();
        state.failures = 0;
        if state
            .throttled_since
            .is_some_and(|since| accepted_at < since)
        {
            return;
        }
        state.throttled_since = None;
        state.throttled_calls = 0;
        let was_relayed = state.probe_at.take().is_some();
        drop(state);
        if was_relayed {
            self.client.close_idle_connections();
            event_log::write(LogPriority::State, "table_way", format_args!("way=direct"));
        }
    }

    /// Records that a direct call was throttled. Abandons the direct path if calls have been
    /// throttled for too long.
    fn record_throttled(&self) {
        let (since, calls) = {
            let mut state = self.state.lock();
            state.throttled_calls += 1;
            let since = *state.throttled_since.get_or_insert_with(Instant::now);
            (since, state.throttled_calls)
        };
        if since.elapsed() > MAX_THROTTLED_TIME && calls >= MIN_THROTTLED_CALLS {
            // The path is abandoned without a second failure, since a gateway that follows the
            // table has to learn of revoked keys within the bound on their revocation.
            self.record_failures(MAX_FAILURES);
        } else {
            self.count_call("throttled");
        }
    }

    /// Waits until the direct path is abandoned because every call was throttled. Never returns if
    /// no direct call was throttled since the last successful one. If calls are relayed already,
    /// waits until the path is abandoned again. A task that pauses before its next call of the
    /// table can end the pause then, since calls are relayed.
    pub async fn wait_until_abandoned(&self) {
        let abandoned = self.direct_abandoned.notified();
        loop {
            let (throttled_since, is_abandoned) = {
                let state = self.state.lock();
                (state.throttled_since, state.probe_at.is_some())
            };
            let Some(throttled_since) = throttled_since else {
                return std::future::pending().await;
            };
            if is_abandoned {
                // Another task may have abandoned the path since this wait began.
                return abandoned.await;
            }
            let abandon_at = throttled_since + MAX_THROTTLED_TIME;
            if Instant::now() > abandon_at {
                return self.record_failures(MAX_FAILURES);
            }
            sleep_until(abandon_at + TIMER_RESOLUTION).await;
        }
    }

    /// Records an event that counts as `count` consecutive direct calls without a response.
    /// Abandons the direct path after [`MAX_FAILURES`] of them.
    fn record_failures(&self, count: u32) {
        self.count_call("direct_failed");
        let mut state = self.state.lock();
        state.failures += count;
        let is_newly_abandoned = state.failures >= MAX_FAILURES && state.probe_at.is_none();
        if !is_newly_abandoned {
            return;
        }
        state.probe_at = Some(Instant::now() + PROBE_PAUSE);
        let peers = state.peers.len();
        drop(state);
        self.direct_abandoned.notify_waiters();
        let fields = format_args!("way=relayed failures={MAX_FAILURES} gateways={peers}");
        event_log::write(LogPriority::State, "table_way", fields);
    }

    /// Increments the metric of calls for a path or result.
    pub fn count_call(&self, result: &str) {
        self.calls.with_label_values(&[result]).inc();
    }

    fn record_read<T>(&self, accepted_at: Instant, result: &Result<T, TableError>) {
        match result {
            Ok(_) | Err(TableError::HistoryGone | TableError::InvalidResponse(_)) => {
                self.record_success(accepted_at)
            }
            Err(TableError::Throttled) => self.record_throttled(),
            Err(TableError::Unavailable(_) | TableError::NoResponse(_)) => self.record_failures(1),
        }
    }

    /// The gateways that are asked to relay a call. The one that last relayed a call is the first.
    fn candidates(&self) -> Vec<SocketAddr> {
        let state = self.state.lock();
        let mut peers = state.peers.clone();
        peers.shuffle(&mut rand::rng());
        if let Some(last) = state.last_peer
            && let Some(index) = peers.iter().position(|peer| *peer == last)
        {
            peers.swap(0, index);
        }
        peers.truncate(MAX_PEERS_PER_CALL);
        peers
    }

    /// Sends a call to other gateways in turn, until one of them returns a response of the table.
    async fn relay(&self, request: RelayRequest, wait: Duration) -> Option<RelayResponse> {
        for peer in self.candidates() {
            let response = self
                .client
                .call(peer, &request, wait + RESPONSE_TIMEOUT)
                .await;
            if let Some(response) = response.filter(is_from_table) {
                self.count_call("relayed");
                self.state.lock().last_peer = Some(peer);
                return Some(response);
            }
            if request.is_write() {
                // The write may have been executed. The writer reads before it writes again.
                break;
            }
        }
        self.count_call("relay_failed");
        let mut state = self.state.lock();
        state.last_peer = None;
        state.no_relay_until = Some(Instant::now() + RELAY_FAILURE_PAUSE);
        None
    }

    async fn read_by_path(&self, table: &str) -> Result<TableSnapshot, TableError> {
        if self.choose_path() == CallPath::Direct {
            let requested_at = Instant::now();
            let result = self.platform.table().read(table).await;
            self.record_read(Instant::now(), &result);
            self.pace_after(requested_at, Duration::ZERO, !is_lost(&result));
            return result;
        }
        let table = table.to_owned();
        let request = RelayRequest::Read { table };
        match self.relay(request, Duration::ZERO).await {
            Some(RelayResponse::Rows(rows)) => Ok(rows),
            Some(RelayResponse::Failed(error)) => Err(error),
            _ => Err(relay_failed()),
        }
    }

    async fn changes_by_path(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<TableChanges, TableError> {
        if self.choose_path() == CallPath::Direct {
            let abandoned = self.direct_abandoned.notified();
            // The table accepts the call at once, but may respond more than a second later.
            let accepted_at = Instant::now();
            return tokio::select! {
                result = self.platform.table().changes(table, version, wait) => {
                    self.record_read(accepted_at, &result);
                    self.pace_after(accepted_at, wait, !is_lost(&result));
                    result
                }
                () = abandoned => Err(table_unreachable()),
            };
        }
        let request = RelayRequest::Changes {
            table: table.to_owned(),
            version,
            wait_ms: wait.as_millis() as u64,
        };
        match self.relay(request, wait).await {
            Some(RelayResponse::Changes(changes)) => Ok(changes),
            Some(RelayResponse::Failed(error)) => Err(error),
            _ => Err(relay_failed()),
        }
    }

    async fn transact_by_path(&self, transaction: Transaction) -> TransactionResult {
        if self.choose_path() == CallPath::Direct {
            let requested_at = Instant::now();
            let response = self.platform.table().transact(transaction).await;
            self.record_write(&response);
            let has_responded = response != TransactionResult::Unknown;
            self.pace_after(requested_at, Duration::ZERO, has_responded);
            return response;
        }
        self.relay_write(RelayRequest::Transact(transaction)).await
    }

    async fn remove_by_path(&self, key: &str, version: u64) -> TransactionResult {
        if self.choose_path() == CallPath::Direct {
            let response = self.platform.table().remove(key, version).await;
            self.record_write(&response);
            return response;
        }
        let key = key.to_owned();
        self.relay_write(RelayRequest::Remove { key, version })
            .await
    }

    /// Records the time of a direct call, which may have waited for a change for up to `wait`.
    fn pace_after(&self, requested_at: Instant, wait: Duration, has_responded: bool) {
        let time = requested_at.elapsed().saturating_sub(wait);
        let begins = self.pacer.record_call(has_responded.then_some(time));
        if begins {
            let fields = format_args!("responded={has_responded} call_ms={}", time.as_millis());
            event_log::write(LogPriority::State, "table_pace", fields);
        }
    }

    fn record_write(&self, response: &TransactionResult) {
        match response {
            TransactionResult::Committed { .. } | TransactionResult::Conflict { .. } => {
                self.record_success(Instant::now())
            }
            TransactionResult::Refused { throttled: true } => self.record_throttled(),
            TransactionResult::Refused { throttled: false } | TransactionResult::Unknown => {
                self.record_failures(1)
            }
        }
    }

    async fn relay_write(&self, request: RelayRequest) -> TransactionResult {
        match self.relay(request, Duration::ZERO).await {
            Some(RelayResponse::Transacted(response)) => response,
            _ => TransactionResult::Unknown,
        }
    }
}

/// Whether a call had no response.
fn is_lost<T>(result: &Result<T, TableError>) -> bool {
    matches!(result, Err(TableError::NoResponse(_)))
}

/// Whether a response of another gateway contains a response of the table.
fn is_from_table(response: &RelayResponse) -> bool {
    match response {
        RelayResponse::Rows(_) | RelayResponse::Changes(_) => true,
        RelayResponse::Updates(_)
        | RelayResponse::RunningCounts(_)
        | RelayResponse::DemandReceived { .. }
        | RelayResponse::Quota(_)
        | RelayResponse::Tunnel(_)
        | RelayResponse::Origin(_)
        | RelayResponse::Acknowledged => false,
        RelayResponse::Transacted(response) => matches!(
            response,
            TransactionResult::Committed { .. } | TransactionResult::Conflict { .. }
        ),
        RelayResponse::Failed(error) => {
            matches!(
                error,
                TableError::HistoryGone | TableError::InvalidResponse(_)
            )
        }
    }
}

/// The error of a call on the direct path after that path was abandoned.
pub fn table_unreachable() -> TableError {
    TableError::NoResponse("the table is out of reach".to_owned())
}

fn relay_failed() -> TableError {
    TableError::NoResponse("no other gateway reaches the table".to_owned())
}

impl WatchedTable for RelayedTable {
    fn read<'a>(&'a self, table: &'a str) -> BoxFuture<'a, Result<TableSnapshot, TableError>> {
        self.read_by_path(table).boxed()
    }

    fn changes<'a>(
        &'a self,
        table: &'a str,
        version: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<TableChanges, TableError>> {
        self.changes_by_path(table, version, wait).boxed()
    }

    fn transact(&self, transaction: Transaction) -> BoxFuture<'_, TransactionResult> {
        self.transact_by_path(transaction).boxed()
    }

    fn remove<'a>(&'a self, key: &'a str, version: u64) -> BoxFuture<'a, TransactionResult> {
        self.remove_by_path(key, version).boxed()
    }
}
