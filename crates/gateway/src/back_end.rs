//! One incarnation of a back end as this gateway uses it: connections, requests in flight, health.
//!
//! A connection carries one request at a time. It returns to the pool only after a complete
//! response that matched its request. In any other case it is closed, which also cancels the
//! request at the back end.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::health::Health;
use gorsebank_fleet::quarantine::{self, Suspect};
use gorsebank_fleet::running::{self, BackEndHash};
use gorsebank_fleet::{BackEndReport, Born, CachedPrefixes};
use gorsebank_world::{AdapterId, BackEndId, ModelId, ServiceId, SoftwareVersion};
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::clock::MIN_SUSPENSION;
use crate::http_connection::HttpConnection;
use crate::ports::RequestMetadata;
use crate::relay::tunnel::TunnelStatus;

/// How long an idle connection is kept if the back end states no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Fraction of the stated keep-alive timeout during which an idle connection is used.
const KEEP_ALIVE_FRACTION: f64 = 0.85;
/// How long an observed exit is assumed to hold, in milliseconds: more than twice the time after
/// which a row is removed. The limit is needed because a back end that refuses connections under
/// overload looks the same.
const EXIT_LIFETIME_MS: u64 = 10_000;
/// Maximum number of requests and parts with a lost connection that are remembered per back end. A back
/// end has fewer slots, and prompts have few parts.
const MAX_LOST_SUSPECTS: usize = 1_024;
/// Maximum time from the exit of a back end's process to the removal of its row, in milliseconds:
/// three heartbeats of 1.2 s, as users set them, and the delivery of the update.
const LOST_WINDOW_MS: u64 = 6_000;
/// How long a back end is not asked for a model or adapter that it said is absent, in milliseconds.
const ABSENCE_LIFETIME_MS: u64 = 1_500;

/// The number of the next connection to a back end.
static NEXT_CONNECTION_NUMBER: AtomicU64 = AtomicU64::new(1);

/// An incarnation of a back end, with what this gateway knows of it.
#[derive(Debug)]
pub struct BackEnd {
    /// The identity that the back end reported when it was first seen.
    pub id: BackEndId,
    /// When the process started, if the back end reports this.
    pub born: Option<Born>,
    /// Hash of the name, under which gateways exchange how many requests run there. All
    /// incarnations share it, because counts of a previous incarnation are gone within a second.
    pub hash: BackEndHash,
    /// Hash of this incarnation, which identifies it in messages between gateways.
    pub incarnation_hash: quarantine::IncarnationHash,
    /// Number of requests that the back end runs concurrently.
    pub slots: u32,
    /// The service that the back end belongs to.
    pub service: ServiceId,
    /// Version of the back end's software.
    pub software_version: SoftwareVersion,
    /// The address that the back end listens on.
    pub address: SocketAddr,
    /// Whether the back end is in this gateway's zone.
    pub same_zone: bool,
    in_flight: AtomicU32,
    is_retired: AtomicBool,
    idle: Mutex<Vec<Connection>>,
    health: Mutex<Health>,
    absent: Mutex<HashMap<(ModelId, Option<AdapterId>), Timestamp>>,
    cached_prefixes: Mutex<CachedPrefixes>,
    pending_prefill_tokens: AtomicU32,
    latest_row: Mutex<SeenRow>,
    exit_check: tokio::sync::Mutex<Option<ExitCheck>>,
    /// Until when the back end is warming up, according to its latest row.
    warm_up_until: Mutex<Timestamp>,
    /// When the process was observed to have exited.
    exited_at: Mutex<Option<Timestamp>>,
    /// Requests and parts whose connection was lost while the back end seemed alive, and when.
    lost_suspects: Mutex<VecDeque<(Suspect, Timestamp)>>,
    /// For how long the machine had been suspended in total when a connection was last taken, in
    /// milliseconds.
    suspended_ms: AtomicU64,
}

/// The latest check whether the back end's process still listens.
#[derive(Clone, Copy, Debug)]
struct ExitCheck {
    started: Instant,
}

/// The latest row of a back end, as seen by this gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SeenRow {
    /// The version of the table at which the row was written.
    pub version: u64,
    /// When this gateway saw the row.
    pub seen: Timestamp,
}

/// The path of a connection to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPath {
    /// The gateway's own link.
    Direct,
    /// The link of the gateway at this address.
    Peer(SocketAddr),
}

/// An open connection to a back end. Dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    /// The HTTP connection.
    pub http: HttpConnection,
    /// The path of the connection.
    pub path: ConnectionPath,
    /// What is known of the tunnel, if the connection is one.
    pub tunnel: Arc<TunnelStatus>,
    number: u64,
    exchanges: u32,
    last_used: Instant,
    keep_alive: Duration,
}

/// One exchange of a request and its response on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Identifies the connection within the process.
    pub connection: u64,
    /// Position of the exchange on the connection; 1 is the first.
    pub position: u32,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight(Arc<BackEnd>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a prompt as not yet prefilled until dropped.
#[derive(Debug)]
pub struct PendingPrefill {
    back_end: Arc<BackEnd>,
    tokens: u32,
}

impl Drop for PendingPrefill {
    fn drop(&mut self) {
        let tokens = &self.back_end.pending_prefill_tokens;
        tokens.fetch_sub(self.tokens, Ordering::Relaxed);
    }
}

impl BackEnd {
    /// Creates a back end that discovery has just reported.
    pub fn new(report: &BackEndReport, same_zone: bool) -> Self {
        BackEnd {
            id: report.id.clone(),
            born: report.born,
            hash: running::hash(&report.id),
            incarnation_hash: quarantine::incarnation_hash(&report.id, report.born),
            slots: report.slots,
            service: report.service.clone(),
            software_version: report.software_version.clone(),
            address: report.address,
            same_zone,
            in_flight: AtomicU32::new(0),
            is_retired: AtomicBool::new(false),
            idle: Mutex::new(Vec::new()),
            health: Mutex::new(Health::default()),
            absent: Mutex::new(HashMap::new()),
            cached_prefixes: Mutex::default(),
            pending_prefill_tokens: AtomicU32::new(0),
            latest_row: Mutex::default(),
            exit_check: tokio::sync::Mutex::default(),
            warm_up_until: Mutex::new(Timestamp(0)),
            exited_at: Mutex::default(),
            lost_suspects: Mutex::default(),
            suspended_ms: AtomicU64::new(0),
        }
    }

    /// The latest row of the back end.
    pub fn row(&self) -> SeenRow {
        *self.latest_row.lock()
    }

    /// Records a newer row of the back end.
    pub fn record_row(&self, row: SeenRow) {
        *self.latest_row.lock() = row;
    }

    /// Records until when the back end is warming up.
    pub fn record_warm_up(&self, until: Timestamp) {
        *self.warm_up_until.lock() = until;
    }

    /// Whether the back end is warming up, so that its capacity is low.
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        now < *self.warm_up_until.lock()
    }

    /// Counts a request as in flight.
    pub fn count_in_flight(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
    }

    /// Number of requests of this gateway in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Health, computed from recent responses.
    pub fn health(&self) -> Health {
        *self.health.lock()
    }

    /// Updates the health, for instance with the result of an attempt.
    pub fn update_health(&self, update: impl FnOnce(&mut Health)) {
        update(&mut self.health.lock());
    }

    /// Retires a removed back end: idle connections are closed, the others after their request.
    pub fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
        self.idle.lock().clear();
    }

    /// Records that the back end reported this model or adapter as absent.
    pub fn record_absent(&self, now: Timestamp, model: &ModelId, adapter: Option<&AdapterId>) {
        let key = (model.clone(), adapter.cloned());
        self.absent.lock().insert(key, now);
    }

    /// Whether the back end recently reported this model or adapter as absent.
    pub fn is_absent(&self, now: Timestamp, model: &ModelId, adapter: Option<&AdapterId>) -> bool {
        let mut absent = self.absent.lock();
        if absent.is_empty() {
            return false;
        }
        absent.retain(|_, recorded_at| now.since(*recorded_at) < ABSENCE_LIFETIME_MS);
        absent.contains_key(&(model.clone(), adapter.cloned()))
    }

    /// Number of prompt tokens that the back end does not have cached and has to prefill.
    pub fn uncached_tokens(&self, metadata: &RequestMetadata) -> u32 {
        let Some(model) = &metadata.model else {
            return 0;
        };
        let prefixes = self.cached_prefixes.lock();
        prefixes.uncached_tokens(model, metadata.adapter.as_ref(), &metadata.prompt)
    }

    /// Counts the prompt of a request that is about to be sent as prefill work.
    pub fn begin_prefill(self: &Arc<Self>, metadata: &RequestMetadata) -> PendingPrefill {
        let tokens = self.uncached_tokens(metadata);
        self.pending_prefill_tokens
            .fetch_add(tokens, Ordering::Relaxed);
        PendingPrefill {
            back_end: self.clone(),
            tokens,
        }
    }

    /// Records the prefixes of a prompt that is written to the back end as cached there.
    pub fn record_prompt(&self, now: Timestamp, metadata: &RequestMetadata) {
        if let Some(model) = &metadata.model {
            let mut prefixes = self.cached_prefixes.lock();
            prefixes.record(now, model, metadata.adapter.as_ref(), &metadata.prompt);
        }
    }

    /// Number of tokens of this gateway's requests that are not prefilled yet.
    pub fn pending_prefill_tokens(&self) -> u32 {
        self.pending_prefill_tokens.load(Ordering::Relaxed)
    }

    /// Takes a ready connection that is usable from the pool, if there is one. `suspended` is the
    /// total time for which the machine has been suspended: the back end may have closed
    /// connections that are older than a suspension.
    pub fn take_idle_connection(
        &self,
        suspended: Duration,
        is_usable: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let last_known_ms = self
            .suspended_ms
            .swap(suspended.as_millis() as u64, Ordering::Relaxed);
        if suspended >= Duration::from_millis(last_known_ms) + MIN_SUSPENSION {
            idle.clear();
        }
        idle.retain(Connection::is_reusable);
        let index = idle
            .iter()
            .rposition(|connection| connection.http.is_ready() && is_usable(connection))?;
        Some(idle.remove(index))
    }

    /// Closes idle connections that brought no response after `since`, when another idle connection
    /// went silent: they may be silent too.
    pub fn close_idle_since(&self, since: Instant) {
        self.idle
            .lock()
            .retain(|connection| connection.last_used > since);
    }

    /// Whether the pool has a usable connection.
    pub fn has_idle_connection(&self) -> bool {
        let idle = self.idle.lock();
        idle.iter().any(Connection::is_reusable)
    }

    /// Checks whether the process has exited after a connection was lost at `lost_at`. One `check`
    /// serves all requests that lost a connection before it.
    pub async fn check_for_exit(
        &self,
        now: Timestamp,
        lost_at: Instant,
        check: impl Future<Output = bool>,
    ) -> bool {
        let mut last = self.exit_check.lock().await;
        if self.has_exited(now) || last.is_some_and(|check| check.started >= lost_at) {
            return self.has_exited(now);
        }
        *last = Some(ExitCheck {
            started: Instant::now(),
        });
        if check.await {
            self.record_exit(now);
        }
        self.has_exited(now)
    }

    /// Whether the process was observed to have exited, so that its row will be removed soon. A row
    /// that remains for longer shows that the back end is alive after all.
    pub fn has_exited(&self, now: Timestamp) -> bool {
        let exited_at = *self.exited_at.lock();
        exited_at.is_some_and(|at| now.since(at) < EXIT_LIFETIME_MS)
    }

    /// Withdraws the recorded exit if the back end was alive at least `margin_ms` milliseconds after
    /// it. Returns whether there was such an exit.
    pub fn refute_exit(&self, alive_at: Timestamp, margin_ms: u64) -> bool {
        let mut exited_at = self.exited_at.lock();
        let is_refuted = exited_at.is_some_and(|at| alive_at >= at + margin_ms);
        if is_refuted {
            *exited_at = None;
        }
        is_refuted
    }

    /// Records that the process has exited, as observed by this gateway or another one.
    pub fn record_exit(&self, now: Timestamp) {
        *self.exited_at.lock() = Some(now);
    }

    /// Records a request whose connection was lost while the address still accepts connections: the
    /// back end is alive, or a proxy in front of it is. The suspects are the request and parts of its
    /// prompt.
    pub fn record_lost(&self, now: Timestamp, suspects: &[Suspect]) {
        let mut lost = self.lost_suspects.lock();
        lost.extend(suspects.iter().map(|suspect| (*suspect, now)));
        while lost.len() > MAX_LOST_SUSPECTS {
            lost.pop_front();
        }
    }

    /// Suspects of requests whose connection was lost shortly before the row was removed. If the back
    /// end did not drain, they were running when its process exited.
    pub fn recent_suspects(&self, now: Timestamp) -> Vec<Suspect> {
        let lost = self.lost_suspects.lock();
        let recent = lost
            .iter()
            .filter(|(_, at)| now.since(*at) < LOST_WINDOW_MS);
        recent.map(|(suspect, _)| *suspect).collect()
    }

    /// Returns a connection to the pool after a complete response, if fewer than `max_idle` are
    /// idle. `keep_alive` is the timeout that the response states.
    pub fn return_connection(
        &self,
        mut connection: Connection,
        keep_alive: Option<Duration>,
        max_idle: usize,
    ) {
        if self.is_retired.load(Ordering::Relaxed) {
            return;
        }
        connection.last_used = Instant::now();
        connection.keep_alive = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |stated| {
            stated.mul_f64(KEEP_ALIVE_FRACTION)
        });
        let mut idle = self.idle.lock();
        idle.retain(Connection::is_reusable);
        if idle.len() < max_idle && connection.is_reusable() {
            idle.push(connection);
        }
    }

    /// Closes the idle connections that must not be used any more.
    pub fn close_unusable(&self) {
        self.idle.lock().retain(Connection::is_reusable);
    }
}

impl Connection {
    /// Creates a connection that was just opened. Once the status of its tunnel makes it unusable,
    /// [`BackEnd::close_unusable`] has to be called.
    pub fn new(http: HttpConnection, path: ConnectionPath, tunnel: Arc<TunnelStatus>) -> Self {
        Connection {
            http,
            path,
            tunnel,
            number: NEXT_CONNECTION_NUMBER.fetch_add(1, Ordering::Relaxed),
            exchanges: 0,
            last_used: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
        }
    }

    /// Identifies the connection within the process.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Counts an exchange that begins on the connection.
    pub fn begin_exchange(&mut self) -> Exchange {
        self.exchanges += 1;
        Exchange {
            connection: self.number,
            position: self.exchanges,
        }
    }

    /// Time since the last complete response on the connection, or since it was opened.
    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    fn is_reusable(&self) -> bool {
        !self.http.is_closed()
            && !self.tunnel.is_carrier_stopping()
            && self.last_used.elapsed() < self.keep_alive
    }
}
