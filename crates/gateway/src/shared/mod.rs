//! State that all requests of a process share. The modules below implement the operations on this
//! state, grouped by topic.
//!
//! Lock order: `configuration`, `directory`, `demand`, `retries`, `prefill_models`, `members`,
//! `feed.parents`, then any other lock. No lock is held across an await point.

mod back_end_limits;
mod brittle;
mod gateways;
mod outcomes;
mod prefill_pacing;
mod quotas;
mod responses;
mod running;
mod shares;
mod software_versions;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use gorsebank_contract::TableRow;
use gorsebank_coordination::Timestamp;
use gorsebank_fleet::placement::StoreRecords;
use gorsebank_fleet::split::WeightedSplit;
use gorsebank_fleet::{
    BrittleServices, Configuration, Demand, LivenessProofs, PausedBackEnds, PrefillModel,
    PrefillSpeedSample, RetryWindow,
};
use gorsebank_world::ServiceId;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};

use gateways::{MIN_GATEWAYS, Members};
pub use shares::RetryPermit;
pub use software_versions::OriginSource;

use crate::adaptive_timeout::AdaptiveTimeout;
use crate::back_end_limits::BackEndLimits;
use crate::clock::Clock;
use crate::demand_rows::DemandRows;
use crate::directory::Directory;
use crate::engine_queues::EngineQueues;
use crate::feed::Feed;
use crate::lease_session::LeaseRetries;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::orders;
use crate::ports::{Platform, RowFault, UNREADABLE_VALUE};
use crate::prefill_pacing::PrefillPacing;
use crate::quarantine::SharedQuarantine;
use crate::refused_rows::RefusedRows;
use crate::relay::RelayedTable;
use crate::request_memory::RequestMemory;
use crate::response_memory::ResponseMemory;
use crate::settings::GatewaySettings;
use crate::stream_origins::SharedOrigins;
use crate::tenant_quotas::TenantQuotas;
use crate::timer_lag::TimerLag;

/// A caller whose time limit is shorter than usual by more than this margin is considered to be
/// retrying.
const RETRY_MARGIN: Duration = Duration::from_millis(100);

/// State of a process.
pub struct Shared {
    /// The clock for all state that depends on time.
    pub clock: Clock,
    /// Settings at the start of the process.
    pub settings: GatewaySettings,
    pub platform: Arc<dyn Platform>,
    pub metrics: Metrics,
    /// Demand of the callers of this gateway.
    pub demand: Mutex<Demand>,
    /// Notified when the demand contains an entry that should be sent immediately.
    pub urgent_demand: Notify,
    /// Notified when the placement holder changes.
    pub new_holder: Notify,
    /// Cached tables, and the sources of their updates.
    pub feed: Feed,
    /// Table rows that could not be parsed.
    pub refused_rows: RefusedRows,
    /// Quotas of tenants.
    pub tenant_quotas: TenantQuotas,
    /// Quarantined requests.
    pub quarantine: SharedQuarantine,
    /// Rate limits that back ends state.
    pub back_end_limits: BackEndLimits,
    /// Memory of request bodies.
    pub request_memory: RequestMemory,
    /// Memory of responses that are collected.
    pub response_memory: ResponseMemory,
    /// Links to back ends, and the gateways that help when links are cut.
    pub links: Links,
    /// The software versions that began streams.
    pub stream_origins: SharedOrigins,
    /// When the table is called again for leases that others hold.
    pub lease_retries: Mutex<LeaseRetries>,
    /// Services whose back ends fail if they have to reject many requests.
    brittle: Mutex<BrittleServices>,
    /// Proofs that back ends are alive whose exit was recorded.
    liveness: Mutex<LivenessProofs>,
    /// Requests that contend for engines that are full.
    pub engine_queues: EngineQueues,
    /// Send times of prompts at engines.
    pub prefill_pacing: PrefillPacing,
    /// Back ends that have asked this gateway for a pause.
    paused: Mutex<PausedBackEnds>,
    /// Demand of all gateways, while this gateway is the placement holder.
    pub demand_rows: DemandRows,
    /// Timeout of orders to engines.
    pub order_timeout: AdaptiveTimeout,
    configuration: RwLock<Option<Arc<Configuration>>>,
    directory: RwLock<Directory>,
    retries: Mutex<HashMap<ServiceId, RetryWindow>>,
    split: Mutex<WeightedSplit>,
    prefill_models: Mutex<HashMap<ServiceId, PrefillModel>>,
    usual_deadlines: Mutex<HashMap<Arc<str>, Duration>>,
    changes: watch::Sender<u64>,
    resumes: watch::Sender<u64>,
    gateways: AtomicUsize,
    /// Number of orders and polls sent so far.
    messages: AtomicU64,
    stopping: AtomicBool,
    stopping_since: AtomicU64,
    back_ends_read: AtomicBool,
    members: Mutex<Members>,
    placing: AtomicBool,
    store_records: Mutex<Option<StoreRecords>>,
    timer_lag: Arc<TimerLag>,
    table: Arc<RelayedTable>,
}

impl Shared {
    /// Creates the state of a starting process.
    pub fn new(
        clock: Clock,
        settings: GatewaySettings,
        platform: Arc<dyn Platform>,
    ) -> eyre::Result<Self> {
        let mut directory = Directory::new(settings.zone.clone());
        if settings.bounds.prefers_warm_back_ends {
            directory.prefer_warm();
        }
        if settings.is_initial_start {
            directory.set_version_history_complete();
        }
        let metrics = Metrics::new()?;
        let calls = metrics.table_calls.clone();
        let table = Arc::new(RelayedTable::new(platform.clone(), calls));
        Ok(Shared {
            request_memory: RequestMemory::new(settings.memory_megabytes),
            response_memory: ResponseMemory::new(settings.memory_megabytes),
            settings,
            platform,
            demand: Mutex::default(),
            urgent_demand: Notify::new(),
            new_holder: Notify::new(),
            feed: Feed::new(clock.clone()),
            clock,
            refused_rows: RefusedRows::new(metrics.refused_rows.clone()),
            tenant_quotas: TenantQuotas::default(),
            quarantine: SharedQuarantine::default(),
            back_end_limits: BackEndLimits::default(),
            links: Links::default(),
            stream_origins: SharedOrigins::default(),
            lease_retries: Mutex::default(),
            brittle: Mutex::default(),
            liveness: Mutex::default(),
            engine_queues: EngineQueues::default(),
            prefill_pacing: PrefillPacing::default(),
            paused: Mutex::default(),
            demand_rows: DemandRows::default(),
            order_timeout: orders::adaptive_timeout(),
            configuration: RwLock::new(None),
            directory: RwLock::new(directory),
            retries: Mutex::default(),
            split: Mutex::new(WeightedSplit::new(rand::random())),
            prefill_models: Mutex::default(),
            usual_deadlines: Mutex::default(),
            changes: watch::channel(0).0,
            resumes: watch::channel(0).0,
            gateways: AtomicUsize::new(MIN_GATEWAYS),
            messages: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            stopping_since: AtomicU64::new(0),
            back_ends_read: AtomicBool::new(false),
            members: Mutex::default(),
            placing: AtomicBool::new(false),
            store_records: Mutex::new(None),
            timer_lag: Arc::default(),
            table,
            metrics,
        })
    }

    /// The table service, through the path that currently works.
    pub fn table(&self) -> &Arc<RelayedTable> {
        &self.table
    }

    /// Whether this gateway is the placement holder.
    pub fn is_placing(&self) -> bool {
        self.placing.load(Ordering::Relaxed)
    }

    /// Records that this gateway has acquired or lost the placement lease.
    pub fn set_placing(&self, placing: bool) {
        let previous = self.placing.swap(placing, Ordering::Relaxed);
        if previous != placing {
            self.demand_rows.clear();
            *self.store_records.lock() = None;
            self.new_holder.notify_one();
        }
    }

    /// Records of loads from the weight stores; `None` until the planner has set them.
    pub fn store_records(&self) -> Option<StoreRecords> {
        self.store_records.lock().clone()
    }

    /// Replaces the records of loads from the weight stores.
    pub fn set_store_records(&self, records: StoreRecords) {
        *self.store_records.lock() = Some(records);
    }

    /// Mean delay with which timers of this process fire.
    pub fn timer_lag(&self) -> Duration {
        self.timer_lag.average()
    }

    /// The timer lag, for the task that measures it.
    pub fn timer_lag_average(&self) -> Arc<TimerLag> {
        self.timer_lag.clone()
    }

    /// Monotonic time since the start of the process, including suspensions of the machine.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Notifies all waiting tasks that the machine has resumed from a suspension, so that they
    /// check the time again.
    pub fn notify_resumed(&self) {
        self.resumes.send_modify(|count| *count += 1);
        self.notify_changed();
    }

    /// Notifies its receiver when the machine has resumed from a suspension.
    pub fn resumes(&self) -> watch::Receiver<u64> {
        self.resumes.subscribe()
    }

    /// The active configuration.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().clone()
    }

    /// Time since the latest moment for which it is verified that the table held no newer
    /// configuration than the active one. Returns `None` if there is no such moment.
    pub fn configuration_age(&self) -> Option<Duration> {
        let table = self.platform.tables().configuration;
        self.feed.verified_age(table)
    }

    /// [`Shared::configuration_age`] in milliseconds, for the log; -1 if there is no such moment.
    pub fn configuration_age_ms(&self) -> i64 {
        let age = self.configuration_age();
        age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// The active configuration and, where callers have API keys, the time since the moment for
    /// which it is verified. The time is computed only where callers have API keys, because it has
    /// a cost.
    pub fn configuration_for_caller(&self) -> Option<(Arc<Configuration>, Option<Duration>)> {
        let known = self.configuration()?;
        if known.tenants.is_none() {
            return Some((known, None));
        }
        // The age is read first: a configuration that is activated between both reads is not older.
        let age = self.configuration_age();
        Some((self.configuration()?, age))
    }

    /// Activates a configuration unless the active one is at least as new. Returns whether the
    /// configuration was activated.
    pub fn set_configuration(&self, configuration: Configuration) -> bool {
        let mut current = self.configuration.write();
        let known = current.as_ref().map_or(0, |known| known.version);
        if configuration.version <= known {
            return false;
        }
        *current = Some(Arc::new(configuration));
        drop(current);
        self.notify_changed();
        true
    }

    /// Records that a row written by another gateway could not be parsed.
    pub fn record_refused_row(&self, row: &TableRow, error: &dyn std::fmt::Display) {
        let fault = if row.value == UNREADABLE_VALUE {
            RowFault::Bytes
        } else {
            RowFault::Shape
        };
        let rows = &self.refused_rows;
        rows.record(&row.key, row.modified, fault, error);
    }

    /// Reads the directory.
    pub fn directory<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(&self.directory.read())
    }

    /// Changes the directory and notifies waiting requests.
    pub fn change_directory(&self, change: impl FnOnce(&mut Directory)) {
        change(&mut self.directory.write());
        self.notify_changed();
    }

    /// Records that the table of back ends has been read.
    pub fn record_back_ends_read(&self) {
        self.back_ends_read.store(true, Ordering::Release);
    }

    /// Whether the table of back ends has been read since the start.
    pub fn has_read_back_ends(&self) -> bool {
        self.back_ends_read.load(Ordering::Acquire)
    }

    /// Notifies its receiver of changes of the configuration, of the directory, and of other state
    /// that waiting requests depend on.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Chooses the service of the next request on a route.
    pub fn choose_service(&self, services: &[(ServiceId, u32)]) -> Option<ServiceId> {
        if let [(only, _)] = services {
            return Some(only.clone());
        }
        self.split.lock().next(services).cloned()
    }

    /// Whether the caller's time limit is shorter than the usual one of the route, which indicates
    /// that the caller is retrying.
    pub fn is_retrying(&self, route: &Arc<str>, deadline: Option<Duration>) -> bool {
        let Some(deadline) = deadline else {
            return false;
        };
        let mut usual = self.usual_deadlines.lock();
        let usual = usual.entry(route.clone()).or_insert(deadline);
        *usual = deadline.max(*usual);
        deadline + RETRY_MARGIN < *usual
    }

    /// Runs `act` on the prefill model of a service.
    pub fn with_prefill_model<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut PrefillModel) -> T,
    ) -> T {
        let mut prefill_models = self.prefill_models.lock();
        match prefill_models.get_mut(service) {
            Some(known) => act(known),
            None => act(prefill_models.entry(service.clone()).or_default()),
        }
    }

    /// Recent measurements of engine speeds by this gateway.
    pub fn prefill_speed_samples(&self) -> BTreeMap<ServiceId, PrefillSpeedSample> {
        let now = self.now();
        let gateways = self.max_gateway_count();
        let mut prefill_models = self.prefill_models.lock();
        let samples = prefill_models
            .iter_mut()
            .map(|(service, known)| (service.clone(), known.sample(now, gateways)));
        samples.filter(|(_, sample)| !sample.is_empty()).collect()
    }

    /// Starts a planned stop.
    pub fn stop(&self) {
        self.stopping_since.store(self.now().0, Ordering::Relaxed);
        self.stopping.store(true, Ordering::Relaxed);
        self.notify_changed();
    }

    /// An identifier for an order or a poll. Callers choose the identifiers of their requests, so this
    /// one only has to differ from those of the connections on which it is used.
    pub fn next_message_id(&self) -> String {
        let number = self.messages.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.settings.node)
    }

    /// Whether a planned stop has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Milliseconds since the planned stop started; `None` if there is no planned stop.
    pub fn stopping_for_ms(&self) -> Option<u64> {
        let since = Timestamp(self.stopping_since.load(Ordering::Relaxed));
        self.is_stopping().then(|| self.now().since(since))
    }

    /// Whether callers should send requests to this gateway.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.has_read_back_ends()
            && self.quarantine.is_initialized()
            && self.configuration.read().is_some()
    }

    fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}
