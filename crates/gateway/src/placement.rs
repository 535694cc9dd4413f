//! Places models while this process has the lease.
//!
//! In: demand rows, discovery, reports of engines. Out: orders under the
//! lease's fence, and rows that tell gateways what is where.
//!
//! A crash between a row and its order leaves a row that says too little about
//! an engine; the next holder asks every engine whose row speaks of something
//! under way. A crash after an order leaves an engine whose sequence number is
//! higher than the next holder's report says, so its first order is refused
//! and the state is read again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{TableAnswer, Transaction};
use gorsebank_coordination::Timestamp;
use gorsebank_fleet::placement::{
    Action, ActionKind, OrderKind, OrderResult, Planner, RecentLoads,
};
use gorsebank_fleet::{EngineReport, LeaseKeeper, PlacedRow};
use gorsebank_world::BackEndId;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::demand_rows::{AbortOnDrop, DemandRows, follow_demand};
use crate::directory::Directory;
use crate::lines::{self, Rank};
use crate::orders;
use crate::ports::FencedOrder;
use crate::shared::Shared;
use crate::watch::{LOST_PAUSE, row_name};

/// Plans are made at least this often.
const PLAN_PAUSE: Duration = Duration::from_millis(100);

/// What came of an action.
enum Done {
    Reported(BackEndId, Option<EngineReport>),
    Ordered(BackEndId, OrderKind, OrderResult),
    Abandoned(BackEndId),
}

/// Places models while the lease is held. Dropping it begins nothing more.
pub struct Placement {
    shared: Arc<Shared>,
    keeper: Arc<Mutex<LeaseKeeper>>,
    planner: Planner,
    demand: Arc<DemandRows>,
    published: BTreeMap<BackEndId, (PlacedRow, u64)>,
    results: mpsc::UnboundedReceiver<Done>,
    done: mpsc::UnboundedSender<Done>,
}

impl Placement {
    /// Begins with nothing planned.
    pub fn new(shared: Arc<Shared>, keeper: Arc<Mutex<LeaseKeeper>>, former: RecentLoads) -> Self {
        let (done, results) = mpsc::unbounded_channel();
        Placement {
            keeper,
            planner: Planner::new(shared.now(), shared.settings.bounds.loads, former),
            demand: Arc::default(),
            published: BTreeMap::new(),
            results,
            done,
            shared,
        }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
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
        let loads = self.planner.recent_loads(now);
        self.keeper.lock().tell_loads(loads);
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
        let transaction = Transaction::put_if(key.clone(), version, value);
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
        let find = |directory: &Directory| directory.back_end(&engine);
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
