//! Keeps the placement lease, and places models while this process has it.
//!
//! In: the lease row, demand rows, discovery, reports of engines. Out: orders
//! under the lease's fence, and rows that tell gateways what is where.
//!
//! A crash between a row and its order leaves a row that says too little about
//! an engine; the next holder asks every engine whose row speaks of something
//! under way. A crash after an order leaves an engine whose sequence number is
//! higher than the next holder's report says, so its first order is refused
//! and the state is read again.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{Compare, Put, TableAnswer, Transaction};
use gorsebank_coordination::Timestamp;
use gorsebank_fleet::placement::{Action, ActionKind, OrderKind, OrderResult, Planner};
use gorsebank_fleet::{DemandRow, EngineReport, LeaseKeeper, LeaseRow, LeaseStep, PlacedRow};
use gorsebank_world::BackEndId;
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};

use crate::lines::{self, Rank};
use crate::orders;
use crate::ports::{FencedOrder, RowChange};
use crate::shared::Shared;
use crate::watch::row_name;

/// Part of the deployment's bound on turns of holders that a lease lasts: the
/// next holder begins sooner, and cool-down keeps turns apart.
const LEASE_PART: f64 = 0.7;
/// The lease is looked after at least this often.
const LONGEST_STEP: Duration = Duration::from_millis(250);
/// Pause after a call of the table without an answer.
const LOST_PAUSE: Duration = Duration::from_millis(200);
/// Plans are made at least this often.
const PLAN_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for a change of demand, in one call.
const DEMAND_WAIT: Duration = Duration::from_millis(2_000);
/// Demand that nobody has renewed counts for so long, in milliseconds.
const DEMAND_LIFETIME: u64 = 15_000;

/// Keeps the lease until the process ends; places models whenever it has it.
pub async fn run(shared: Arc<Shared>) {
    let process: u64 = rand::random();
    let lease = shared.settings.bounds.lease.mul_f64(LEASE_PART);
    let lease = lease.as_millis() as u64;
    let keeper = LeaseKeeper::new(shared.settings.node.clone(), process, lease);
    let keeper = Arc::new(Mutex::new(keeper));
    let mut placement: Option<AbortOnDrop> = None;
    loop {
        let was_holder = keeper.lock().is_holder();
        let step = keeper.lock().step(shared.now(), !shared.is_stopping());
        match step {
            LeaseStep::Wait(until) => {
                let pause = Duration::from_millis(until.since(shared.now()));
                sleep(pause.min(LONGEST_STEP)).await;
            }
            LeaseStep::Read => read_lease(&shared, &keeper).await,
            LeaseStep::Write { expected, row } => {
                write_lease(&shared, &keeper, expected, row).await;
            }
        }
        let is_holder = keeper.lock().is_holder();
        if is_holder && !was_holder {
            note_lease(&shared, &keeper, "taken");
            let placing = Placement::new(shared.clone(), keeper.clone()).run();
            placement = Some(AbortOnDrop(tokio::spawn(placing)));
        }
        if was_holder && !is_holder {
            note_lease(&shared, &keeper, "lost");
            drop(placement.take());
        }
    }
}

struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn note_lease(shared: &Shared, keeper: &Mutex<LeaseKeeper>, kind: &str) {
    shared
        .metrics
        .lease_changes
        .with_label_values(&[kind])
        .inc();
    let fence = keeper.lock().fence(shared.now());
    let fields = format_args!("change={kind} fence={}", fence.unwrap_or(0));
    lines::write(Rank::Decision, "lease", fields);
}

fn lease_key(shared: &Shared) -> String {
    format!("{}/placement", shared.platform.tables().lease)
}

async fn read_lease(shared: &Shared, keeper: &Mutex<LeaseKeeper>) {
    let table = shared.platform.tables().lease;
    match shared.platform.table().read(table).await {
        Ok(snapshot) => {
            let key = lease_key(shared);
            let row = snapshot.rows.iter().find(|row| row.key == key);
            let version = row.map_or(0, |row| row.modified);
            let lease = row.and_then(|row| serde_json::from_str::<LeaseRow>(&row.value).ok());
            keeper.lock().read(shared.now(), version, lease.as_ref());
        }
        Err(_) => sleep(LOST_PAUSE).await,
    }
}

async fn write_lease(shared: &Shared, keeper: &Mutex<LeaseKeeper>, expected: u64, row: LeaseRow) {
    let Ok(value) = serde_json::to_string(&row) else {
        return;
    };
    let key = lease_key(shared);
    let transaction = Transaction {
        compares: vec![Compare {
            key: key.clone(),
            modified: expected,
        }],
        puts: vec![Put { key, value }],
        reads: Vec::new(),
    };
    match shared.platform.table().transact(transaction).await {
        TableAnswer::Committed { revision, .. } => {
            keeper.lock().written(shared.now(), revision, &row);
        }
        TableAnswer::Conflict { .. } => keeper.lock().refused(),
        TableAnswer::Unknown => {
            keeper.lock().unanswered();
            sleep(LOST_PAUSE).await;
        }
    }
}

/// What came of an action.
enum Done {
    Reported(BackEndId, Option<EngineReport>),
    Ordered(BackEndId, OrderKind, OrderResult),
    Abandoned(BackEndId),
}

/// Places models while the lease is held. Dropping it begins nothing more.
struct Placement {
    shared: Arc<Shared>,
    keeper: Arc<Mutex<LeaseKeeper>>,
    planner: Planner,
    demand: Arc<DemandRows>,
    published: BTreeMap<BackEndId, (PlacedRow, u64)>,
    results: mpsc::UnboundedReceiver<Done>,
    done: mpsc::UnboundedSender<Done>,
}

impl Placement {
    fn new(shared: Arc<Shared>, keeper: Arc<Mutex<LeaseKeeper>>) -> Self {
        let (done, results) = mpsc::unbounded_channel();
        Placement {
            shared,
            keeper,
            planner: Planner::default(),
            demand: Arc::default(),
            published: BTreeMap::new(),
            results,
            done,
        }
    }

    async fn run(mut self) {
        let following = follow_demand(self.shared.clone(), self.demand.clone());
        let _following = AbortOnDrop(tokio::spawn(following));
        self.inherit().await;
        let mut changes = self.shared.subscribe();
        loop {
            self.turn().await;
            let woken = async {
                tokio::select! {
                    done = self.results.recv() => done,
                    _ = changes.changed() => None,
                    () = self.demand.news.notified() => None,
                }
            };
            if let Ok(Some(done)) = timeout(PLAN_PAUSE, woken).await {
                self.take(done);
                while let Ok(done) = self.results.try_recv() {
                    self.take(done);
                }
            }
        }
    }

    /// Reads the rows of former holders.
    async fn inherit(&mut self) {
        let table = self.shared.platform.tables().placed;
        let snapshot = loop {
            match self.shared.platform.table().read(table).await {
                Ok(snapshot) => break snapshot,
                Err(_) => sleep(LOST_PAUSE).await,
            }
        };
        self.observe();
        for row in snapshot.rows {
            let id = BackEndId::from(row_name(&row.key));
            let placed: PlacedRow = serde_json::from_str(&row.value).unwrap_or_default();
            self.planner.inherit(&id, &placed);
            self.published.insert(id, (placed, row.modified));
        }
    }

    fn observe(&mut self) {
        let now = self.shared.now();
        let reports = self.shared.directory(|directory| directory.reports());
        self.planner.observe(now, &reports);
    }

    fn take(&mut self, done: Done) {
        let now = self.shared.now();
        match done {
            Done::Reported(id, report) => self.planner.reported(now, &id, report),
            Done::Ordered(id, order, result) => self.planner.ordered(now, &id, &order, result),
            Done::Abandoned(id) => self.planner.abandoned(now, &id),
        }
    }

    async fn turn(&mut self) {
        let now = self.shared.now();
        let Some(fence) = self.keeper.lock().fence(now) else {
            return;
        };
        let Some(configuration) = self.shared.configuration() else {
            return;
        };
        self.observe();
        let rows = self.demand.fresh(now);
        let actions = self.planner.plan(now, &configuration, &rows);
        let unpublished = self.publish(now, fence).await;
        for action in actions {
            if unpublished.contains(&action.engine) {
                let _ = self.done.send(Done::Abandoned(action.engine));
                continue;
            }
            self.begin(action, fence);
        }
    }

    /// Writes rows that changed. Out: engines whose row could not be written.
    async fn publish(&mut self, now: Timestamp, fence: u64) -> Vec<BackEndId> {
        let mut failed = Vec::new();
        for (id, row) in self.planner.rows(now, fence) {
            let known = self.published.get(&id);
            if known.is_some_and(|(published, _)| says_the_same(published, &row)) {
                continue;
            }
            let version = known.map_or(0, |(_, version)| *version);
            if !self.write_row(&id, row, version).await {
                failed.push(id);
            }
        }
        failed
    }

    async fn write_row(&mut self, id: &BackEndId, row: PlacedRow, version: u64) -> bool {
        let Ok(value) = serde_json::to_string(&row) else {
            return false;
        };
        let key = format!("{}/{id}", self.shared.platform.tables().placed);
        let transaction = Transaction {
            compares: vec![Compare {
                key: key.clone(),
                modified: version,
            }],
            puts: vec![Put {
                key: key.clone(),
                value,
            }],
            reads: Vec::new(),
        };
        match self.shared.platform.table().transact(transaction).await {
            TableAnswer::Committed { revision, .. } => {
                self.published.insert(id.clone(), (row, revision));
                true
            }
            TableAnswer::Conflict { rows } => {
                let version = rows.iter().find(|row| row.key == key);
                let version = version.map_or(0, |row| row.modified);
                self.published
                    .insert(id.clone(), (PlacedRow::default(), version));
                false
            }
            TableAnswer::Unknown => false,
        }
    }

    fn begin(&self, action: Action, fence: u64) {
        let done = self.done.clone();
        let engine = action.engine.clone();
        let find = |directory: &crate::directory::Directory| directory.back_end(&engine);
        let Some(back_end) = self.shared.directory(find) else {
            let _ = done.send(Done::Abandoned(action.engine));
            return;
        };
        let shared = self.shared.clone();
        let keeper = self.keeper.clone();
        tokio::spawn(async move {
            let result = match &action.kind {
                ActionKind::Report => {
                    let report = orders::ask(&shared, &back_end).await;
                    log_report(&action, report.as_ref());
                    Done::Reported(action.engine.clone(), report)
                }
                ActionKind::Order { order, sequence } => {
                    let fenced = FencedOrder {
                        order,
                        engine: &action.engine,
                        sequence: *sequence,
                        holder: &shared.settings.node,
                        fence,
                    };
                    let valid = || keeper.lock().fence(shared.now()) == Some(fence);
                    let result = orders::order(&shared, &back_end, &fenced, valid).await;
                    log_order(&shared, &action, order, *sequence, fence, result);
                    Done::Ordered(action.engine.clone(), order.clone(), result)
                }
            };
            let _ = done.send(result);
        });
    }
}

/// The time until a load is done changes all the time; the load itself counts.
fn says_the_same(published: &PlacedRow, row: &PlacedRow) -> bool {
    let model = |row: &PlacedRow| row.loading.as_ref().map(|load| load.model.clone());
    published.holdings == row.holdings
        && published.unloading == row.unloading
        && model(published) == model(row)
}

fn log_report(action: &Action, report: Option<&EngineReport>) {
    let fields = format_args!(
        "engine={} reason=\"{}\" report={report:?}",
        action.engine, action.reason
    );
    lines::write(Rank::Decision, "engine_report", fields);
}

fn log_order(
    shared: &Shared,
    action: &Action,
    order: &OrderKind,
    sequence: u64,
    fence: u64,
    result: OrderResult,
) {
    let label = format!("{result:?}");
    shared.metrics.orders.with_label_values(&[&label]).inc();
    let fields = format_args!(
        "engine={} order={order:?} sequence={sequence} fence={fence} reason=\"{}\" result={label}",
        action.engine, action.reason
    );
    lines::write(Rank::Decision, "order", fields);
}

/// The newest demand rows of all gateways.
#[derive(Default)]
struct DemandRows {
    rows: Mutex<HashMap<String, (DemandRow, Timestamp)>>,
    news: Notify,
}

impl DemandRows {
    /// Rows that were written not long ago.
    fn fresh(&self, now: Timestamp) -> Vec<DemandRow> {
        self.rows
            .lock()
            .values()
            .filter(|(_, heard)| now.since(*heard) < DEMAND_LIFETIME)
            .map(|(row, _)| row.clone())
            .collect()
    }

    fn put(&self, now: Timestamp, key: String, row: DemandRow) {
        self.rows.lock().insert(key, (row, now));
        self.news.notify_one();
    }
}

/// Follows the demand rows of all gateways.
async fn follow_demand(shared: Arc<Shared>, demand: Arc<DemandRows>) {
    let table = shared.platform.tables().demand;
    let mut version = None;
    loop {
        let source = shared.platform.table();
        let changes = match version {
            None => source.read(table).await.map(|snapshot| {
                let rows = snapshot.rows.into_iter().map(RowChange::Put).collect();
                (rows, snapshot.version)
            }),
            Some(version) => source
                .changes(table, version, DEMAND_WAIT)
                .await
                .map(|changes| (changes.changes, changes.version)),
        };
        let Ok((changes, next)): Result<(Vec<RowChange>, u64), _> = changes else {
            version = None;
            sleep(LOST_PAUSE).await;
            continue;
        };
        version = Some(next);
        for change in changes {
            if let RowChange::Put(row) = change
                && let Ok(parsed) = serde_json::from_str(&row.value)
            {
                demand.put(shared.now(), row.key, parsed);
            }
        }
    }
}
