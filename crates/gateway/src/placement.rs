//! Places models and adapters on engines while this process holds the placement lease.
//!
//! The input is the demand that gateways send, discovery, and the reports of engines. The output is
//! orders under the fencing token of the lease, and rows that state for all gateways what each
//! engine holds.
//!
//! A crash between the write of a row and its order leaves a row that names an operation that was
//! never ordered; the next holder polls every engine whose row names an operation in progress. A
//! crash after an order leaves an engine whose sequence number is higher than the next holder
//! expects, so the first order of that holder is refused and the state is read again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::TableRow;
use gorsebank_coordination::Timestamp;
use gorsebank_fleet::placement::{
    Action, ActionKind, OrderKind, OrderResult, Planner, StoreRecords,
};
use gorsebank_fleet::{Born, EngineReport, Incarnation, LeaseKeeper, PlacedRow};
use gorsebank_world::BackEndId;
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::holder::store_records_key;
use crate::orders;
use crate::placed_rows::{
    self, AttemptedRow, MAX_ROWS_PER_TRANSACTION, RowToWrite, RowWriteResult,
};
use crate::placement_log::{self, PlacementLog, PlacementStart};
use crate::ports::{FencedOrder, WatchedTable};
use crate::shared::Shared;
use crate::table_followers::{NO_RESPONSE_PAUSE, row_name};

/// Maximum time between two plans.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between two writes of rows, so that rows that change one after the other are
/// written together. Rows that are not due yet are written in a later iteration; an order waits for
/// half of the interval on average.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(40);
/// Ratio of the pause after a plan to the duration of the plan, which bounds the planner's share of
/// the processor.
const PLAN_PAUSE_FACTOR: u32 = 2;
/// Fraction of the known gateways whose demand a new holder waits for before its first plan.
const REPORTING_GATEWAY_FRACTION: f64 = 0.8;
/// Maximum time that a new holder waits for the demand of gateways before its first plan.
const MAX_DEMAND_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum interval between two checks for how many gateways have sent their demand.
const DEMAND_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The completion of an asynchronous operation of the placement loop.
enum Completion {
    EngineResponded(EngineResponse),
    RowsWritten(Vec<AttemptedRow>),
}

/// The response of one incarnation of an engine.
struct EngineResponse {
    engine: BackEndId,
    born: Option<Born>,
    content: ResponseContent,
}

/// The content of an engine's response.
enum ResponseContent {
    Reported(Option<EngineReport>),
    Ordered(OrderKind, OrderResult),
}

/// The placement loop, which runs while the lease is held. After it is dropped, no further
/// operation starts.
pub struct Placement {
    shared: Arc<Shared>,
    lease: Arc<Mutex<LeaseKeeper>>,
    planner: Planner,
    published: BTreeMap<BackEndId, (PlacedRow, u64)>,
    /// The era of the table, in which `published` was read.
    era: watch::Receiver<u64>,
    /// Rows that wait for the write in progress to end.
    queued: BTreeMap<BackEndId, PlacedRow>,
    /// Engines whose row is queued or being written, with the action to start once the row is
    /// written.
    waiting_actions: BTreeMap<BackEndId, Option<Action>>,
    /// Whether a write is in progress. Only one write runs at a time, and it contains all queued
    /// rows up to the maximum of a transaction.
    is_write_in_progress: bool,
    /// The start of the last write.
    last_write_at: Option<Instant>,
    log: PlacementLog,
    completions: mpsc::UnboundedReceiver<Completion>,
    completion_sender: mpsc::UnboundedSender<Completion>,
}

impl Placement {
    /// Creates the loop with an empty planner.
    pub fn new(shared: Arc<Shared>, lease: Arc<Mutex<LeaseKeeper>>) -> Self {
        let (completion_sender, completions) = mpsc::unbounded_channel();
        let records = StoreRecords::new();
        Placement {
            lease,
            planner: Planner::new(
                shared.now(),
                shared.settings.bounds.load_rate_limit,
                records,
            ),
            published: BTreeMap::new(),
            era: shared.feed.subscribe_to_era(),
            queued: BTreeMap::new(),
            waiting_actions: BTreeMap::new(),
            is_write_in_progress: false,
            last_write_at: None,
            log: PlacementLog::default(),
            completions,
            completion_sender,
            shared,
        }
    }

    /// Runs until the loop is dropped.
    pub async fn run(mut self) {
        let started_at = Instant::now();
        self.restore().await;
        self.await_demand().await;
        self.log_start(started_at.elapsed());
        let shared = self.shared.clone();
        let mut changes = shared.subscribe();
        loop {
            self.read_published_after_restore().await;
            let started_at = Instant::now();
            self.run_iteration();
            // The pause bounds the processor time for plans, however often the input changes.
            sleep(started_at.elapsed() * PLAN_PAUSE_FACTOR).await;
            let woken = async {
                tokio::select! {
                    completion = self.completions.recv() => completion,
                    _ = changes.changed() => None,
                    () = shared.demand_rows.updated.notified() => None,
                }
            };
            let pause = if self.queued.is_empty() {
                MAX_PLAN_INTERVAL
            } else {
                MIN_WRITE_INTERVAL
            };
            if let Ok(Some(completion)) = timeout(pause, woken).await {
                self.apply(completion);
                while let Ok(completion) = self.completions.try_recv() {
                    self.apply(completion);
                }
            }
        }
    }

    /// Waits until most gateways have sent their demand. Each gateway sends it as soon as it knows
    /// the new holder, and the models in demand are not known earlier.
    async fn await_demand(&self) {
        let shared = &self.shared;
        let started_at = Instant::now();
        while started_at.elapsed() < MAX_DEMAND_WAIT {
            let reporting = shared.demand_rows.reporting_gateways(shared.now()).len();
            if reporting as f64 >= shared.known_gateway_count() as f64 * REPORTING_GATEWAY_FRACTION
            {
                return;
            }
            // The loop has a time limit; a notification only shortens the wait.
            let _ = timeout(DEMAND_CHECK_INTERVAL, shared.demand_rows.updated.notified()).await;
        }
    }

    fn log_start(&self, waited: Duration) {
        let shared = &self.shared;
        placement_log::write_start(&PlacementStart {
            rows: self.published.len(),
            back_ends: shared.directory(|directory| directory.reports().len()),
            reporting_gateways: shared.demand_rows.reporting_gateways(shared.now()).len(),
            known_gateways: shared.known_gateway_count(),
            waited,
        });
    }

    /// Reads the rows of a table, and retries until the table responds.
    async fn read_rows(&self, table: &str) -> Vec<TableRow> {
        loop {
            match self.shared.table().read(table).await {
                Ok(snapshot) => return snapshot.rows,
                Err(_) => sleep(NO_RESPONSE_PAUSE).await,
            }
        }
    }

    /// Reads the rows that previous holders wrote.
    async fn restore(&mut self) {
        let tables = self.shared.platform.tables();
        let rows = self.read_rows(tables.saved_state).await;
        let key = store_records_key(&self.shared);
        let row = rows.iter().find(|row| row.key == key);
        // The ages in the row are those at the last renewal of the lease, so loads may be counted
        // for too long and never for too short a time.
        let records = row.and_then(|row| serde_json::from_str::<StoreRecords>(&row.value).ok());
        self.planner = Planner::new(
            self.shared.now(),
            self.shared.settings.bounds.load_rate_limit,
            records.unwrap_or_default(),
        );
        self.read_published().await;
        self.observe();
        for (id, (placed, _)) in &self.published {
            self.planner.restore(id, placed);
        }
    }

    /// Reads the rows that this holder or previous ones wrote.
    async fn read_published(&mut self) {
        self.era.mark_unchanged();
        let rows = self.read_rows(self.shared.platform.tables().placed).await;
        let published = rows.into_iter().map(|row| {
            let placed = serde_json::from_str(&row.value).unwrap_or_default();
            (BackEndId::from(row_name(&row.key)), (placed, row.modified))
        });
        self.published = published.collect();
    }

    /// Reads the rows again if the table was restored: it may lack rows of this holder, which are
    /// then written again.
    async fn read_published_after_restore(&mut self) {
        if self.era.has_changed().unwrap_or(false) {
            self.read_published().await;
        }
    }

    fn observe(&mut self) {
        let now = self.shared.now();
        let (reports, exited) = self
            .shared
            .directory(|directory| (directory.reports(), directory.exited(now)));
        self.planner.observe(now, &reports, &exited);
        self.planner
            .set_limits(&self.shared.stated_limits_by_name());
    }

    fn apply(&mut self, completion: Completion) {
        let now = self.shared.now();
        match completion {
            Completion::EngineResponded(response) => self.apply_response(now, response),
            Completion::RowsWritten(rows) => {
                self.is_write_in_progress = false;
                rows.into_iter()
                    .for_each(|row| self.apply_row_write(now, row));
                self.write_queued();
            }
        }
    }

    /// Applies a response to the incarnation that sent it. A new incarnation starts with an empty
    /// state, to which the response does not apply.
    fn apply_response(&mut self, now: Timestamp, response: EngineResponse) {
        let id = &response.engine;
        if !self.planner.plans_for(id, response.born) {
            return;
        }
        match response.content {
            ResponseContent::Reported(report) => self.planner.apply_report(now, id, report),
            ResponseContent::Ordered(order, result) => {
                self.planner.apply_order_result(now, id, &order, result)
            }
        }
    }

    /// Handles the result of a row write. The action that waited for the row starts only if the row
    /// was written.
    fn apply_row_write(&mut self, now: Timestamp, attempted: AttemptedRow) {
        let AttemptedRow { id, row, result } = attempted;
        if matches!(result, RowWriteResult::NotAttempted) {
            // A newer row may already be queued.
            self.queued.entry(id).or_insert(row);
            return;
        }
        let action = self.waiting_actions.remove(&id).flatten();
        let is_written = match result {
            RowWriteResult::Committed(version) => {
                self.published.insert(id.clone(), (row, version));
                true
            }
            RowWriteResult::Conflict(version) => {
                let other = PlacedRow::default();
                self.published.insert(id.clone(), (other, version));
                false
            }
            RowWriteResult::Unknown | RowWriteResult::NotAttempted => false,
        };
        let Some(action) = action else {
            return;
        };
        let fence = self.lease.lock().fence(now);
        let Some(fence) = fence.filter(|_| is_written) else {
            self.planner.cancel_action(now, &id);
            return;
        };
        // The row that was written may be older than the plan that contains the action.
        self.publish(now, fence);
        self.start_after_row(action, fence);
    }

    /// Starts an action, after the write of a row for its engine if there is one.
    fn start_after_row(&mut self, action: Action, fence: u64) {
        match self.waiting_actions.get_mut(&action.engine) {
            Some(next) => *next = Some(action),
            None => self.start(action, fence),
        }
    }

    fn run_iteration(&mut self) {
        let now = self.shared.now();
        let Some(fence) = self.lease.lock().fence(now) else {
            return;
        };
        let Some(configuration) = self.shared.configuration() else {
            return;
        };
        self.observe();
        let rows = self.shared.demand_rows.recent_rows(now);
        let actions = self.planner.plan(now, &configuration, &rows);
        self.log.write_deferred(now, self.planner.deferred_loads());
        self.log.write_chosen(self.planner.chosen_loads());
        self.log.write_reservations(self.planner.reservations());
        placement_log::write_ended_loads(&self.shared, &self.planner.take_ended_loads());
        let records = self.planner.store_records(now);
        self.log.write_load_windows(&records);
        self.shared.set_store_records(records);
        self.publish(now, fence);
        for action in actions {
            self.start_after_row(action, fence);
        }
    }

    /// Queues the rows that changed, unless a row of the same engine is being written.
    fn publish(&mut self, now: Timestamp, fence: u64) {
        for (id, row) in self.planner.rows(now, fence) {
            let known = self.published.get(&id);
            let is_known = known.is_some_and(|(published, _)| is_equivalent(published, &row));
            let is_being_written =
                self.waiting_actions.contains_key(&id) && !self.queued.contains_key(&id);
            if is_known || is_being_written {
                continue;
            }
            self.waiting_actions.entry(id.clone()).or_insert(None);
            self.queued.insert(id, row);
        }
        self.write_queued();
    }

    /// Starts to write the queued rows, unless a write is in progress or the last one started too
    /// recently.
    fn write_queued(&mut self) {
        let is_early = self
            .last_write_at
            .is_some_and(|at| at.elapsed() < MIN_WRITE_INTERVAL);
        if self.is_write_in_progress || is_early || self.queued.is_empty() {
            return;
        }
        self.last_write_at = Some(Instant::now());
        let mut rows = Vec::new();
        while rows.len() < MAX_ROWS_PER_TRANSACTION
            && let Some((id, row)) = self.queued.pop_first()
        {
            let version = self.published.get(&id).map_or(0, |(_, version)| *version);
            rows.push(RowToWrite { id, row, version });
        }
        self.is_write_in_progress = true;
        let (shared, completion_sender) = (self.shared.clone(), self.completion_sender.clone());
        tokio::spawn(async move {
            let written = placed_rows::write(&shared, rows).await;
            // The receiver is dropped when the lease is lost; the next holder reads the rows.
            let _ = completion_sender.send(Completion::RowsWritten(written));
        });
    }

    fn start(&mut self, action: Action, fence: u64) {
        let engine = action.engine.clone();
        let find = |directory: &Directory| directory.back_end(&engine);
        let back_end = self.shared.directory(find);
        // An order that was computed for one incarnation is not sent to another one.
        let is_intended = |back_end: &Arc<BackEnd>| {
            let incarnation = Incarnation::new(back_end.born);
            incarnation.may_match(action.born) || action.kind == ActionKind::Report
        };
        let Some(back_end) = back_end.filter(is_intended) else {
            self.planner
                .cancel_action(self.shared.now(), &action.engine);
            return;
        };
        let completion_sender = self.completion_sender.clone();
        let shared = self.shared.clone();
        let lease = self.lease.clone();
        tokio::spawn(async move {
            let content = match &action.kind {
                ActionKind::Report => {
                    let report = orders::poll_engine(&shared, &back_end).await;
                    placement_log::write_report(&action, report.as_ref());
                    ResponseContent::Reported(report)
                }
                ActionKind::Order { order, sequence } => {
                    let fenced = FencedOrder {
                        order,
                        engine: &action.engine,
                        sequence: *sequence,
                        holder: &shared.settings.node,
                        fence,
                    };
                    let valid = || lease.lock().fence(shared.now()) == Some(fence);
                    let result = orders::send_order(&shared, &back_end, &fenced, valid).await;
                    placement_log::write_order(&shared, &action, order, *sequence, fence, result);
                    ResponseContent::Ordered(order.clone(), result)
                }
            };
            // The receiver is dropped when the lease is lost.
            let _ = completion_sender.send(Completion::EngineResponded(EngineResponse {
                engine: action.engine,
                born: action.born,
                content,
            }));
        });
    }
}

/// Whether two rows are equal apart from the remaining time of a load, which changes all the time.
fn is_equivalent(published: &PlacedRow, row: &PlacedRow) -> bool {
    let model = |row: &PlacedRow| row.loading.as_ref().map(|load| load.model.clone());
    published.born == row.born
        && published.holdings == row.holdings
        && published.unloading == row.unloading
        && model(published) == model(row)
        && published.orphaned_loads == row.orphaned_loads
        && published.unanswered_loads == row.unanswered_loads
        && published.unanswered_adapter_loads == row.unanswered_adapter_loads
}
