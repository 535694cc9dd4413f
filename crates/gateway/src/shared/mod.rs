//! What all requests of a process share: the state here, and what is done with it, matter by
//! matter, in the modules below.
//!
//! Lock order: `configuration`, `directory`, `demand`, `retries`, `reading`, `members`,
//! `feed.parents`, then any other.
//! No lock is held over an await.

mod answers;
mod back_end_limits;
mod gateways;
mod limits;
mod outcomes;
mod running;
mod shares;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use gorsebank_contract::TableRow;
use gorsebank_coordination::Timestamp;
use gorsebank_fleet::placement::StoreRecords;
use gorsebank_fleet::split::Split;
use gorsebank_fleet::{
    Configuration, Demand, PausedBackEnds, ReadingModel, ReadingSample, RetryWindow,
};
use gorsebank_world::ServiceId;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};

use gateways::{LEAST_GATEWAYS, Members};
pub use shares::RetryGrant;

use crate::allowance::Allowance;
use crate::back_end_limits::BackEndLimits;
use crate::clock::Clock;
use crate::demand_rows::DemandRows;
use crate::directory::Directory;
use crate::feed::Feed;
use crate::lateness::Lateness;
use crate::metrics::Metrics;
use crate::orders;
use crate::patience::Patience;
use crate::ports::{Platform, RowFault, UNREADABLE_VALUE};
use crate::quarantine::SharedQuarantine;
use crate::refused_rows::RefusedRows;
use crate::relay::RelayedTable;
use crate::settings::GatewaySettings;

/// A caller with so much less time than usual has tried before.
const RETURNING_MARGIN: Duration = Duration::from_millis(100);

/// State of a process.
pub struct Shared {
    /// The one clock of what this process believes.
    pub clock: Clock,
    /// Settings at the start.
    pub settings: GatewaySettings,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Figures.
    pub metrics: Metrics,
    /// Demand of this gateway's callers.
    pub demand: Mutex<Demand>,
    /// Rings when demand says something that should be told at once.
    pub urgent_demand: Notify,
    /// Rings when another gateway places models than before.
    pub new_holder: Notify,
    /// What this gateway knows of the tables.
    pub feed: Feed,
    /// Rows of tables that could not be used.
    pub refused_rows: RefusedRows,
    /// Limits of tenants.
    pub allowance: Allowance,
    /// Requests that are kept away from back ends.
    pub quarantine: SharedQuarantine,
    /// Limits that back ends state.
    pub back_end_limits: BackEndLimits,
    /// Back ends that want no requests from this gateway for now.
    paused: Mutex<PausedBackEnds>,
    /// What all gateways have told of their demand, while this one places models.
    pub demand_rows: DemandRows,
    /// How long orders to engines wait for their answers.
    pub order_patience: Patience,
    configuration: RwLock<Option<Arc<Configuration>>>,
    directory: RwLock<Directory>,
    retries: Mutex<HashMap<ServiceId, RetryWindow>>,
    split: Mutex<Split>,
    reading: Mutex<HashMap<ServiceId, ReadingModel>>,
    usual_deadlines: Mutex<HashMap<Arc<str>, Duration>>,
    changes: watch::Sender<u64>,
    awakenings: watch::Sender<u64>,
    gateways: AtomicUsize,
    stopping: AtomicBool,
    stopping_since: AtomicU64,
    back_ends_read: AtomicBool,
    members: Mutex<Members>,
    placing: AtomicBool,
    store_records: Mutex<Option<StoreRecords>>,
    lateness: Arc<Lateness>,
    table: Arc<RelayedTable>,
}

impl Shared {
    /// State of a process that has just started.
    pub fn new(
        clock: Clock,
        settings: GatewaySettings,
        platform: Arc<dyn Platform>,
    ) -> eyre::Result<Self> {
        let mut directory = Directory::new(settings.zone.clone());
        if settings.bounds.spares_cold {
            directory.spare_cold();
        }
        let metrics = Metrics::new()?;
        let calls = metrics.table_calls.clone();
        let table = Arc::new(RelayedTable::new(platform.clone(), calls));
        Ok(Shared {
            settings,
            platform,
            demand: Mutex::default(),
            urgent_demand: Notify::new(),
            new_holder: Notify::new(),
            feed: Feed::new(clock.clone()),
            clock,
            refused_rows: RefusedRows::new(metrics.refused_rows.clone()),
            allowance: Allowance::default(),
            quarantine: SharedQuarantine::default(),
            back_end_limits: BackEndLimits::default(),
            paused: Mutex::default(),
            demand_rows: DemandRows::default(),
            order_patience: orders::patience(),
            configuration: RwLock::new(None),
            directory: RwLock::new(directory),
            retries: Mutex::default(),
            split: Mutex::new(Split::new(rand::random())),
            reading: Mutex::default(),
            usual_deadlines: Mutex::default(),
            changes: watch::channel(0).0,
            awakenings: watch::channel(0).0,
            gateways: AtomicUsize::new(LEAST_GATEWAYS),
            stopping: AtomicBool::new(false),
            stopping_since: AtomicU64::new(0),
            back_ends_read: AtomicBool::new(false),
            members: Mutex::default(),
            placing: AtomicBool::new(false),
            store_records: Mutex::new(None),
            lateness: Arc::default(),
            table,
            metrics,
        })
    }

    /// The table, by whichever way reaches it.
    pub fn table(&self) -> &Arc<RelayedTable> {
        &self.table
    }

    /// Whether this gateway places models.
    pub fn is_placing(&self) -> bool {
        self.placing.load(Ordering::Relaxed)
    }

    /// This gateway took the lease, or lost it.
    pub fn set_placing(&self, placing: bool) {
        let former = self.placing.swap(placing, Ordering::Relaxed);
        if former != placing {
            self.demand_rows.clear();
            *self.store_records.lock() = None;
            self.new_holder.notify_one();
        }
    }

    /// What is known of weight stores; none before the planner has told.
    pub fn store_records(&self) -> Option<StoreRecords> {
        self.store_records.lock().clone()
    }

    /// The planner tells what it knows of weight stores.
    pub fn set_store_records(&self, records: StoreRecords) {
        *self.store_records.lock() = Some(records);
    }

    /// How late this process's timers are, on average.
    pub fn lateness(&self) -> Duration {
        self.lateness.average()
    }

    /// Where lateness is noted.
    pub fn lateness_measured(&self) -> Arc<Lateness> {
        self.lateness.clone()
    }

    /// Steady time since the start, suspensions of the machine included.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The machine woke from a suspension: whoever waits looks at the time again.
    pub fn wake(&self) {
        self.awakenings.send_modify(|count| *count += 1);
        self.changed();
    }

    /// Rings when the machine woke from a suspension.
    pub fn awakenings(&self) -> watch::Receiver<u64> {
        self.awakenings.subscribe()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().clone()
    }

    /// Time since the latest moment for which it is proved that the table held no newer
    /// configuration than the one in force; none if that is proved for no moment.
    pub fn configuration_age(&self) -> Option<Duration> {
        let table = self.platform.tables().configuration;
        self.feed.proved_age(table)
    }

    /// The configuration in force and, where callers have keys, the time since the moment for
    /// which it is proved; other requests do not pay for asking.
    pub fn configuration_for_caller(&self) -> Option<(Arc<Configuration>, Option<Duration>)> {
        let known = self.configuration()?;
        if known.tenants.is_none() {
            return Some((known, None));
        }
        // The age first: a configuration that comes in between is no older.
        let age = self.configuration_age();
        Some((self.configuration()?, age))
    }

    /// Puts a configuration in force, unless a newer one is. True if it is news.
    pub fn set_configuration(&self, configuration: Configuration) -> bool {
        let mut current = self.configuration.write();
        let known = current.as_ref().map_or(0, |known| known.version);
        if configuration.version <= known {
            return false;
        }
        *current = Some(Arc::new(configuration));
        drop(current);
        self.changed();
        true
    }

    /// A row that gateways write for each other could not be read.
    pub fn refuse_row(&self, row: &TableRow, error: &dyn std::fmt::Display) {
        let fault = if row.value == UNREADABLE_VALUE {
            RowFault::Bytes
        } else {
            RowFault::Shape
        };
        let rows = &self.refused_rows;
        rows.refuse(&row.key, row.modified, fault, error);
    }

    /// Reads the directory.
    pub fn directory<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(&self.directory.read())
    }

    /// Changes the directory, and wakes requests that wait.
    pub fn change_directory(&self, change: impl FnOnce(&mut Directory)) {
        change(&mut self.directory.write());
        self.changed();
    }

    /// The back ends' table was read for the first time.
    pub fn note_back_ends_read(&self) {
        self.back_ends_read.store(true, Ordering::Release);
    }

    /// Whether the back ends' table was read since the start.
    pub fn has_read_back_ends(&self) -> bool {
        self.back_ends_read.load(Ordering::Acquire)
    }

    /// Rings whenever configuration or directory change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The service of the next request on a route.
    pub fn split(&self, services: &[(ServiceId, u32)]) -> Option<ServiceId> {
        if let [(only, _)] = services {
            return Some(only.clone());
        }
        self.split.lock().next(services).cloned()
    }

    /// Whether a caller has less time than callers of the route have at first.
    pub fn is_returning(&self, route: &Arc<str>, deadline: Option<Duration>) -> bool {
        let Some(deadline) = deadline else {
            return false;
        };
        let mut usual = self.usual_deadlines.lock();
        let usual = usual.entry(route.clone()).or_insert(deadline);
        *usual = deadline.max(*usual);
        deadline + RETURNING_MARGIN < *usual
    }

    /// Uses what is known of how engines of a service read prompts.
    pub fn reading<T>(&self, service: &ServiceId, act: impl FnOnce(&mut ReadingModel) -> T) -> T {
        let mut reading = self.reading.lock();
        match reading.get_mut(service) {
            Some(known) => act(known),
            None => act(reading.entry(service.clone()).or_default()),
        }
    }

    /// What this gateway has seen of late of how fast engines are.
    pub fn reading_samples(&self) -> BTreeMap<ServiceId, ReadingSample> {
        let now = self.now();
        let gateways = self.possible_gateways();
        let mut reading = self.reading.lock();
        let samples = reading
            .iter_mut()
            .map(|(service, known)| (service.clone(), known.sample(now, gateways)));
        samples.filter(|(_, sample)| !sample.is_empty()).collect()
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.stopping_since.store(self.now().0, Ordering::Relaxed);
        self.stopping.store(true, Ordering::Relaxed);
        self.changed();
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Milliseconds since the planned stop began.
    pub fn stopping_for(&self) -> Option<u64> {
        let since = Timestamp(self.stopping_since.load(Ordering::Relaxed));
        self.is_stopping().then(|| self.now().since(since))
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.has_read_back_ends()
            && self.quarantine.is_initialized()
            && self.configuration.read().is_some()
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}
