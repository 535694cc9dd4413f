//! What all requests of a process share.
//!
//! Lock order: `configuration`, `directory`, `demand`, `retries`, `reading`, `members`,
//! `feed.parents`, then any other.
//! No lock is held over an await.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::feeders::Place;
use gorsebank_fleet::placement::StoreRecords;
use gorsebank_fleet::quarantine::{BackEndHash, Fate, Source, ToldFate};
use gorsebank_fleet::running::Counts;
use gorsebank_fleet::split::Split;
use gorsebank_fleet::{
    Configuration, Demand, Fingerprint, ReadingModel, ReadingSample, RetryWindow,
};
use gorsebank_world::{BackEndId, NodeId, ServiceId};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::demand_rows::DemandRows;
use crate::directory::Directory;
use crate::feed::{Feed, Member};
use crate::lateness::Lateness;
use crate::metrics::Metrics;
use crate::orders;
use crate::patience::Patience;
use crate::ports::Platform;
use crate::quarantine::{QuarantineNews, SharedQuarantine};
use crate::relay::{RelayedTable, RootCounts};
use crate::settings::GatewaySettings;

/// Gateways are reckoned to be at least so many, until the table was read.
const LEAST_GATEWAYS: usize = 4;
/// Tables that rules hang on.
const TABLES_FOLLOWED: f64 = 3.0;
/// Part of the table's rates that following uses; the rest is for the placement holder.
const TABLE_PART: f64 = 0.5;
/// Idle connections take up at most the inverse of this of a back end's connections.
const IDLE_DIVISOR: usize = 2;
/// A caller with so much less time than usual has tried before.
const RETURNING_MARGIN: Duration = Duration::from_millis(100);
/// Gateways that may have joined and are not yet known.
const UNKNOWN_GATEWAYS: usize = 2;

/// What came of asking for a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryGrant {
    /// Whether it may be made.
    pub granted: bool,
    /// Retries that are left of this gateway's share.
    pub left: f64,
    /// Gateways that the budget is shared by.
    pub gateways: usize,
}

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
    /// Requests that are kept away from back ends.
    pub quarantine: SharedQuarantine,
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

/// The gateways that are known.
#[derive(Debug, Default)]
struct Members {
    count: usize,
    answering: Vec<Member>,
    /// Who places models, as the lease says.
    holder: Option<NodeId>,
}

impl Shared {
    /// State of a process that has just started.
    pub fn new(
        clock: Clock,
        settings: GatewaySettings,
        platform: Arc<dyn Platform>,
    ) -> eyre::Result<Self> {
        let directory = Directory::new(settings.zone.clone());
        let metrics = Metrics::new()?;
        let calls = metrics.table_calls.clone();
        let table = Arc::new(RelayedTable::new(platform.clone(), calls));
        Ok(Shared {
            settings,
            platform,
            metrics,
            demand: Mutex::default(),
            urgent_demand: Notify::new(),
            new_holder: Notify::new(),
            feed: Feed::new(clock.clone()),
            clock,
            quarantine: SharedQuarantine::default(),
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
        })
    }

    /// The table, by whichever way reaches it.
    pub fn table(&self) -> &Arc<RelayedTable> {
        &self.table
    }

    /// So many gateways have a row, and these answer others.
    pub fn set_members(&self, count: usize, answering: Vec<Member>) {
        self.gateways
            .store(count.max(LEAST_GATEWAYS), Ordering::Relaxed);
        let own = self.settings.node.as_str();
        let others = answering.iter().filter(|member| member.name != own);
        self.table
            .set_peers(others.map(|member| member.address).collect());
        let mut members = self.members.lock();
        members.count = count;
        members.answering = answering;
        self.place_in_feed(&members);
    }

    /// The lease says who places models.
    pub fn set_holder(&self, holder: Option<NodeId>) {
        let mut members = self.members.lock();
        if members.holder == holder {
            return;
        }
        members.holder = holder;
        self.place_in_feed(&members);
        drop(members);
        self.new_holder.notify_one();
    }

    fn place_in_feed(&self, members: &Members) {
        let own = self.settings.node.as_str();
        let holder = members.holder.as_ref().map(NodeId::as_str);
        let mut parents = self.feed.parents.lock();
        if parents.set_members(own, &members.answering, holder) {
            self.feed.moved.notify_one();
        }
    }

    /// Where the gateway that places models answers; none if there is none, or if it is
    /// not known.
    pub fn holder_address(&self) -> Option<SocketAddr> {
        let members = self.members.lock();
        let holder = members.holder.as_ref()?.as_str();
        let mut answering = members.answering.iter();
        Some(answering.find(|member| member.name == holder)?.address)
    }

    /// Gateways that have a row.
    pub fn known_gateways(&self) -> usize {
        self.members.lock().count
    }

    /// Whether this gateway may place models: others can tell it of their demand, or
    /// there are no others.
    pub fn can_place(&self) -> bool {
        let own = self.settings.node.as_str();
        let members = self.members.lock();
        let answers = members.answering.iter().any(|member| member.name == own);
        answers || members.answering.is_empty()
    }

    /// Processor of the strongest machine that is known, in thousandths of a core.
    pub fn strongest_millicores(&self) -> u32 {
        let members = self.members.lock();
        let millicores = members.answering.iter().map(|member| member.row.millicores);
        millicores.max().unwrap_or(0)
    }

    /// Processor of one machine.
    pub fn millicores_of(&self, name: &NodeId) -> Option<u32> {
        let members = self.members.lock();
        let mut answering = members.answering.iter();
        let member = answering.find(|member| member.name == name.as_str())?;
        Some(member.row.millicores)
    }

    /// What this gateway has running at back ends.
    pub fn own_running(&self) -> Counts {
        self.directory(Directory::running)
    }

    /// What this gateway and all below it have running, for another root.
    pub fn root_counts(&self) -> RootCounts {
        let own = self.own_running();
        let now = self.now();
        RootCounts {
            from: self.settings.node.clone(),
            counts: self.feed.running.lock().below(now, &own),
        }
    }

    /// Another root told its counts.
    pub fn note_root(&self, told: RootCounts) {
        let now = self.now();
        let mut running = self.feed.running.lock();
        running.note_root(now, told.from.as_str(), told.counts);
    }

    /// Gateways that this one feeds told of requests under which back ends ended.
    pub fn note_told_fates(&self, told: &[ToldFate]) {
        self.note_told_ends(told);
        if self.quarantine.take(self.now(), told, Source::Below) {
            self.changed();
        }
    }

    /// The gateway at `address` answered with news of such requests.
    pub fn note_quarantine_news(&self, address: SocketAddr, news: &QuarantineNews) {
        self.note_told_ends(&news.events);
        if self.quarantine.take_news(self.now(), address, news) {
            self.changed();
        }
    }

    /// Whoever was at an engine when it ended tells all others before they send there.
    fn note_told_ends(&self, told: &[ToldFate]) {
        let ended = told.iter().filter_map(|event| match event.fate {
            Fate::Ended(back_end) => Some(back_end),
            Fate::Served => None,
        });
        let ended: HashSet<BackEndHash> = ended.collect();
        if !ended.is_empty() {
            self.directory(|directory| directory.note_ended(&ended));
            self.changed();
        }
    }

    /// A back end ended under a request of this gateway.
    pub fn note_end_under(&self, request: Fingerprint, back_end: &BackEndId) {
        if self.quarantine.note_end(self.now(), request, back_end) {
            self.changed();
        }
    }

    /// A back end answered a request of this gateway whole, and lives.
    pub fn note_whole_answer(&self, request: Fingerprint) {
        if self.quarantine.note_served(self.now(), request) {
            self.changed();
        }
    }

    /// What all gateways have running at back ends; none if it is not known.
    pub fn running_sums(&self) -> Option<Counts> {
        let own = self.own_running();
        let (now, place) = (self.now(), self.feed.parents.lock().place());
        let mut running = self.feed.running.lock();
        match place {
            Place::Root => Some(running.at_root(now, &own)),
            _ => running.sums(now, &own),
        }
    }

    /// A root takes in its own sums.
    pub fn sum_up_running(&self) {
        let own = self.own_running();
        let now = self.now();
        let mut running = self.feed.running.lock();
        let sums = running.at_root(now, &own);
        running.note_sums(now, &sums, &own);
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
        self.back_ends_read.store(true, Ordering::Relaxed);
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

    /// Counts a request to a service for the retry budget.
    pub fn count_request(&self, service: &ServiceId) {
        self.with_window(service, |window, now| window.request(now));
    }

    /// Takes one retry out of this gateway's share, if there is one.
    pub fn withdraw_retry(&self, service: &ServiceId) -> RetryGrant {
        let gateways = self.possible_gateways();
        self.with_window(service, |window, now| RetryGrant {
            granted: window.withdraw(now, gateways),
            left: window.left(now, gateways),
            gateways,
        })
    }

    fn with_window<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut RetryWindow, Timestamp) -> T,
    ) -> T {
        let now = self.now();
        let share = self.settings.bounds.retries;
        let mut retries = self.retries.lock();
        let window = retries
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(share));
        act(window, now)
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

    /// Gateways that there may be.
    pub fn possible_gateways(&self) -> usize {
        self.gateways.load(Ordering::Relaxed) + UNKNOWN_GATEWAYS
    }

    /// Least time between two reads of one table by this gateway, so that all
    /// gateways together stay within the table's rate, should all of them follow it.
    pub fn read_pause(&self) -> Duration {
        let calls = TABLES_FOLLOWED * self.possible_gateways() as f64;
        Duration::from_secs_f64(calls / (self.settings.bounds.table_reads * TABLE_PART))
    }

    /// Idle connections that this gateway may keep to one back end of a service.
    pub fn idle_connections(&self, service: &ServiceId) -> usize {
        let configuration = self.configuration();
        let known = configuration
            .as_ref()
            .and_then(|known| known.service(service));
        let most = known.map_or(0, |service| service.max_connections as usize);
        (most / (IDLE_DIVISOR * self.possible_gateways())).max(1)
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
            && self.back_ends_read.load(Ordering::Relaxed)
            && self.configuration.read().is_some()
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}
