//! The table as this gateway reaches it: by itself, or through another gateway.
//!
//! Two calls in a row without an answer show that the table is out of reach. A call
//! that the table throttles is an answer: too many gateways may write at once, and no
//! other way would be better. Only when every call is throttled for a while does the
//! table keep this gateway out.
//! From then on calls go through another gateway, and one call a second tries
//! the direct way again. A gateway that relays uses only its own way, so calls
//! make one hop at most.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use gorsebank_contract::{TableAnswer, Transaction};
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::client::RelayClient;
use super::message::{RelayAnswer, RelayRequest};
use crate::lines::{self, Rank};
use crate::ports::{Platform, TableChanges, TableError, TableSnapshot, WatchedTable};

/// Direct calls without an answer, in a row, after which others relay.
const FAILURES: u32 = 2;
/// When every direct call is throttled for so long, the table keeps this gateway out. With the
/// wait and pause of a call before (0.55 s) and the way through another gateway, a gateway that
/// follows the table goes without news for less than 1.7 s: users' least bound on news is 2 s,
/// that on keys which were taken away 3 s.
const THROTTLED_TOO_LONG: Duration = Duration::from_millis(1_000);
/// Timers are this exact.
const JUST_AFTER: Duration = Duration::from_millis(1);
/// Pause between two direct calls while others relay.
const PROBE_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause after no other gateway could relay.
const HOPELESS_PAUSE: Duration = Duration::from_millis(400);
/// Gateways that are asked to relay one call.
const PEERS_TRIED: usize = 2;
/// A relayed call is answered within this time, beside the wait that was asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The table, by whichever way reaches it.
pub struct RelayedTable {
    platform: Arc<dyn Platform>,
    calls: IntCounterVec,
    client: RelayClient,
    state: Mutex<State>,
    /// Rings when the direct way is given up, for calls that wait on it.
    given_up: Notify,
}

#[derive(Default)]
struct State {
    peers: Vec<SocketAddr>,
    failures: u32,
    /// Since when every direct call was throttled.
    throttled_since: Option<Instant>,
    probe_at: Option<Instant>,
    hopeless_until: Option<Instant>,
    last_peer: Option<SocketAddr>,
}

/// Which way a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Direct,
    Relayed,
}

impl RelayedTable {
    /// The table of a platform; no other gateway is known yet. `calls` counts
    /// calls by way and result.
    pub fn new(platform: Arc<dyn Platform>, calls: IntCounterVec) -> Self {
        RelayedTable {
            platform,
            calls,
            client: RelayClient::default(),
            state: Mutex::default(),
            given_up: Notify::new(),
        }
    }

    /// Where other gateways answer.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.state.lock().peers = peers;
    }

    /// Connections to other gateways.
    pub fn client(&self) -> &RelayClient {
        &self.client
    }

    /// The direct way, unless it was given up.
    pub fn direct(&self) -> Option<&dyn WatchedTable> {
        let is_given_up = self.state.lock().probe_at.is_some();
        (!is_given_up).then(|| self.platform.table())
    }

    fn way(&self) -> Way {
        let now = Instant::now();
        let mut state = self.state.lock();
        let Some(probe_at) = state.probe_at else {
            return Way::Direct;
        };
        let hopeless = state.hopeless_until.is_some_and(|until| now < until);
        if now >= probe_at || hopeless || state.peers.is_empty() {
            state.probe_at = Some(now + PROBE_PAUSE);
            return Way::Direct;
        }
        Way::Relayed
    }

    /// A direct call was answered.
    fn note_reached(&self) {
        self.count("direct");
        let mut state = self.state.lock();
        state.failures = 0;
        state.throttled_since = None;
        let was_relayed = state.probe_at.take().is_some();
        drop(state);
        if was_relayed {
            self.client.clear();
            lines::write(Rank::Decision, "table_way", format_args!("way=direct"));
        }
    }

    /// A direct call was throttled.
    fn note_throttled(&self) {
        let since = *self
            .state
            .lock()
            .throttled_since
            .get_or_insert_with(Instant::now);
        if since.elapsed() > THROTTLED_TOO_LONG {
            // No second failure is waited for: a gateway that follows the table has to hear of
            // keys that were taken away while their bound lasts.
            self.note_failures(FAILURES);
        } else {
            self.count("throttled");
        }
    }

    /// Returns when the direct way is given up since the table keeps this gateway out, and never
    /// if another way is taken already. Whoever waits for its next try of the table need not
    /// wait any longer then: the way through another gateway is open.
    pub async fn kept_out(&self) {
        loop {
            let kept_out_at = {
                let state = self.state.lock();
                let throttled_since = state.throttled_since.filter(|_| state.probe_at.is_none());
                throttled_since.map(|since| since + THROTTLED_TOO_LONG)
            };
            let Some(kept_out_at) = kept_out_at else {
                return std::future::pending().await;
            };
            if Instant::now() > kept_out_at {
                return self.note_failures(FAILURES);
            }
            sleep_until(kept_out_at + JUST_AFTER).await;
        }
    }

    /// A direct call had no answer, or the table is out of order.
    fn note_failed(&self) {
        self.note_failures(1);
    }

    /// Something that counts as so many direct calls in a row without an answer.
    fn note_failures(&self, count: u32) {
        self.count("direct_failed");
        let mut state = self.state.lock();
        state.failures += count;
        let gives_up = state.failures >= FAILURES && state.probe_at.is_none();
        if !gives_up {
            return;
        }
        state.probe_at = Some(Instant::now() + PROBE_PAUSE);
        let peers = state.peers.len();
        drop(state);
        self.given_up.notify_waiters();
        let fields = format_args!("way=relayed failures={FAILURES} gateways={peers}");
        lines::write(Rank::Decision, "table_way", fields);
    }

    /// Counts a call by its way and result.
    pub fn count(&self, result: &str) {
        self.calls.with_label_values(&[result]).inc();
    }

    fn note<T>(&self, result: &Result<T, TableError>) {
        match result {
            Ok(_) | Err(TableError::HistoryGone | TableError::Content(_)) => self.note_reached(),
            Err(TableError::Throttled) => self.note_throttled(),
            Err(TableError::Unavailable(_) | TableError::Lost(_)) => self.note_failed(),
        }
    }

    /// Gateways to ask, the one that last answered first.
    fn candidates(&self) -> Vec<SocketAddr> {
        let state = self.state.lock();
        let mut peers = state.peers.clone();
        peers.shuffle(&mut rand::rng());
        if let Some(last) = state.last_peer
            && let Some(index) = peers.iter().position(|peer| *peer == last)
        {
            peers.swap(0, index);
        }
        peers.truncate(PEERS_TRIED);
        peers
    }

    /// Hands a call to others, until one of them reaches the table.
    async fn relay(&self, request: RelayRequest, wait: Duration) -> Option<RelayAnswer> {
        for peer in self.candidates() {
            let answer = self
                .client
                .call(peer, &request, wait + ANSWER_TIMEOUT)
                .await;
            if let Some(answer) = answer.filter(reached) {
                self.count("relayed");
                self.state.lock().last_peer = Some(peer);
                return Some(answer);
            }
            if request.is_write() {
                // It may have been made: the writer reads before it writes again.
                break;
            }
        }
        self.count("relay_failed");
        let mut state = self.state.lock();
        state.last_peer = None;
        state.hopeless_until = Some(Instant::now() + HOPELESS_PAUSE);
        None
    }

    async fn read_any(&self, table: &str) -> Result<TableSnapshot, TableError> {
        if self.way() == Way::Direct {
            let result = self.platform.table().read(table).await;
            self.note(&result);
            return result;
        }
        let table = table.to_owned();
        let request = RelayRequest::Read { table };
        match self.relay(request, Duration::ZERO).await {
            Some(RelayAnswer::Rows(rows)) => Ok(rows),
            Some(RelayAnswer::Failed(error)) => Err(error),
            _ => Err(not_relayed()),
        }
    }

    async fn changes_any(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<TableChanges, TableError> {
        if self.way() == Way::Direct {
            let given_up = self.given_up.notified();
            return tokio::select! {
                result = self.platform.table().changes(table, version, wait) => {
                    self.note(&result);
                    result
                }
                () = given_up => Err(out_of_reach()),
            };
        }
        let request = RelayRequest::Changes {
            table: table.to_owned(),
            version,
            wait: wait.as_millis() as u64,
        };
        match self.relay(request, wait).await {
            Some(RelayAnswer::Changes(changes)) => Ok(changes),
            Some(RelayAnswer::Failed(error)) => Err(error),
            _ => Err(not_relayed()),
        }
    }

    async fn transact_any(&self, transaction: Transaction) -> TableAnswer {
        if self.way() == Way::Direct {
            let answer = self.platform.table().transact(transaction).await;
            self.note_write(&answer);
            return answer;
        }
        self.relay_write(RelayRequest::Transact(transaction)).await
    }

    async fn remove_any(&self, key: &str, version: u64) -> TableAnswer {
        if self.way() == Way::Direct {
            let answer = self.platform.table().remove(key, version).await;
            self.note_write(&answer);
            return answer;
        }
        let key = key.to_owned();
        self.relay_write(RelayRequest::Remove { key, version })
            .await
    }

    fn note_write(&self, answer: &TableAnswer) {
        match answer {
            TableAnswer::Committed { .. } | TableAnswer::Conflict { .. } => self.note_reached(),
            TableAnswer::Refused { throttled: true } => self.note_throttled(),
            TableAnswer::Refused { throttled: false } | TableAnswer::Unknown => self.note_failed(),
        }
    }

    async fn relay_write(&self, request: RelayRequest) -> TableAnswer {
        match self.relay(request, Duration::ZERO).await {
            Some(RelayAnswer::Transacted(answer)) => answer,
            _ => TableAnswer::Unknown,
        }
    }
}

/// Whether the gateway that answered had an answer of the table.
fn reached(answer: &RelayAnswer) -> bool {
    match answer {
        RelayAnswer::Rows(_) | RelayAnswer::Changes(_) => true,
        RelayAnswer::News(_)
        | RelayAnswer::Running(_)
        | RelayAnswer::Heard { .. }
        | RelayAnswer::Allowance(_)
        | RelayAnswer::Noted => false,
        RelayAnswer::Transacted(answer) => matches!(
            answer,
            TableAnswer::Committed { .. } | TableAnswer::Conflict { .. }
        ),
        RelayAnswer::Failed(error) => {
            matches!(error, TableError::HistoryGone | TableError::Content(_))
        }
    }
}

/// The direct way was given up.
pub fn out_of_reach() -> TableError {
    TableError::Lost("the table is out of reach".to_owned())
}

fn not_relayed() -> TableError {
    TableError::Lost("no other gateway reaches the table".to_owned())
}

impl WatchedTable for RelayedTable {
    fn read<'a>(&'a self, table: &'a str) -> BoxFuture<'a, Result<TableSnapshot, TableError>> {
        self.read_any(table).boxed()
    }

    fn changes<'a>(
        &'a self,
        table: &'a str,
        version: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<TableChanges, TableError>> {
        self.changes_any(table, version, wait).boxed()
    }

    fn transact(&self, transaction: Transaction) -> BoxFuture<'_, TableAnswer> {
        self.transact_any(transaction).boxed()
    }

    fn remove<'a>(&'a self, key: &'a str, version: u64) -> BoxFuture<'a, TableAnswer> {
        self.remove_any(key, version).boxed()
    }
}
