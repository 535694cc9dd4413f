//! Places models while this process has the lease.
//!
//! In: what gateways tell of their demand, discovery, reports of engines. Out: orders under the
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

use gorsebank_contract::TableRow;
use gorsebank_coordination::Timestamp;
use gorsebank_fleet::placement::{
    Action, ActionKind, OrderKind, OrderResult, Planner, StoreRecords,
};
use gorsebank_fleet::{Born, EngineReport, Incarnation, LeaseKeeper, PlacedRow};
use gorsebank_world::{BackEndId, ModelId};
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::holder::loads_key;
use crate::lines::{self, Rank};
use crate::orders;
use crate::placed_rows::{self, MOST_ROWS, RowToWrite, RowWrite, WrittenRow};
use crate::ports::{FencedOrder, WatchedTable};
use crate::shared::Shared;
use crate::watch::{LOST_PAUSE, row_name};

/// Plans are made at least this often.
const PLAN_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two writes of rows at least: rows that change one by one are written
/// together. The next turn writes what waits; orders wait for half of it on average.
const WRITE_PAUSE: Duration = Duration::from_millis(40);
/// Between two plans the planner rests for so many times as long as the last one took.
const PLAN_REST: u32 = 2;
/// A new holder plans once so many of the gateways have told of their demand ...
const HEARD_PART: f64 = 0.8;
/// ... or after this time.
const LONGEST_HEARING: Duration = Duration::from_millis(1_000);
/// Pause between two looks at who has.
const HEARING_PAUSE: Duration = Duration::from_millis(50);
/// A model that still cannot be loaded has another line after this time, in milliseconds.
const UNMET_PAUSE: u64 = 3_000;

/// What came of an action.
enum Done {
    Asked(Asked),
    Written(Vec<WrittenRow>),
}

/// What came of an action at one life of an engine.
struct Asked {
    engine: BackEndId,
    born: Option<Born>,
    answer: Answer,
}

/// What an engine answered.
enum Answer {
    Reported(Option<EngineReport>),
    Ordered(OrderKind, OrderResult),
}

/// Places models while the lease is held. Dropping it begins nothing more.
pub struct Placement {
    shared: Arc<Shared>,
    keeper: Arc<Mutex<LeaseKeeper>>,
    planner: Planner,
    published: BTreeMap<BackEndId, (PlacedRow, u64)>,
    /// Rows that wait for the write under way to end.
    queued: BTreeMap<BackEndId, PlacedRow>,
    /// Engines whose row waits or is being written, with what is to be done once it stands.
    writing: BTreeMap<BackEndId, Option<Action>>,
    /// A write is under way: there is one at a time, of as many rows as wait.
    is_writing: bool,
    /// When the last write began.
    written_at: Option<Instant>,
    unmet: BTreeMap<ModelId, Timestamp>,
    results: mpsc::UnboundedReceiver<Done>,
    done: mpsc::UnboundedSender<Done>,
}

impl Placement {
    /// Begins with nothing planned.
    pub fn new(shared: Arc<Shared>, keeper: Arc<Mutex<LeaseKeeper>>) -> Self {
        let (done, results) = mpsc::unbounded_channel();
        let records = StoreRecords::new();
        Placement {
            keeper,
            planner: Planner::new(shared.now(), shared.settings.bounds.loads, records),
            published: BTreeMap::new(),
            queued: BTreeMap::new(),
            writing: BTreeMap::new(),
            is_writing: false,
            written_at: None,
            unmet: BTreeMap::new(),
            results,
            done,
            shared,
        }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        self.inherit().await;
        self.hear_demand().await;
        let shared = self.shared.clone();
        let mut changes = shared.subscribe();
        loop {
            let began = Instant::now();
            self.turn();
            // Plans take their part of the processor and no more, however much changes.
            sleep(began.elapsed() * PLAN_REST).await;
            let woken = async {
                tokio::select! {
                    done = self.results.recv() => done,
                    _ = changes.changed() => None,
                    () = shared.demand_rows.news.notified() => None,
                }
            };
            let pause = if self.queued.is_empty() {
                PLAN_PAUSE
            } else {
                WRITE_PAUSE
            };
            if let Ok(Some(done)) = timeout(pause, woken).await {
                self.take(done);
                while let Ok(done) = self.results.try_recv() {
                    self.take(done);
                }
            }
        }
    }

    /// Gateways tell a new holder of their demand as soon as they know it. Before most
    /// of them have, it is not known which models are in demand.
    async fn hear_demand(&self) {
        let shared = &self.shared;
        let began = Instant::now();
        while began.elapsed() < LONGEST_HEARING {
            let heard = shared.demand_rows.heard(shared.now()).len();
            if heard as f64 >= shared.known_gateways() as f64 * HEARD_PART {
                return;
            }
            // The time is the bound: news only shorten the wait.
            let _ = timeout(HEARING_PAUSE, shared.demand_rows.news.notified()).await;
        }
    }

    /// Rows of a table as they stand, however long it takes.
    async fn read_rows(&self, table: &str) -> Vec<TableRow> {
        loop {
            match self.shared.table().read(table).await {
                Ok(snapshot) => return snapshot.rows,
                Err(_) => sleep(LOST_PAUSE).await,
            }
        }
    }

    /// Reads the rows of former holders.
    async fn inherit(&mut self) {
        let tables = self.shared.platform.tables();
        let rows = self.read_rows(tables.loads).await;
        let key = loads_key(&self.shared);
        let row = rows.iter().find(|row| row.key == key);
        // Ages are those of the last renewal: loads count for longer, never shorter.
        let records = row.and_then(|row| serde_json::from_str::<StoreRecords>(&row.value).ok());
        self.planner = Planner::new(
            self.shared.now(),
            self.shared.settings.bounds.loads,
            records.unwrap_or_default(),
        );
        let rows = self.read_rows(tables.placed).await;
        self.observe();
        for row in rows {
            let id = BackEndId::from(row_name(&row.key));
            let placed: PlacedRow = serde_json::from_str(&row.value).unwrap_or_default();
            self.planner.inherit(&id, &placed);
            self.published.insert(id, (placed, row.modified));
        }
    }

    fn observe(&mut self) {
        let now = self.shared.now();
        let (reports, ended) = self
            .shared
            .directory(|directory| (directory.reports(), directory.ended(now)));
        self.planner.observe(now, &reports, &ended);
        self.planner.set_limits(&self.shared.engine_limits());
    }

    fn take(&mut self, done: Done) {
        let now = self.shared.now();
        match done {
            Done::Asked(asked) => self.take_answer(now, asked),
            Done::Written(rows) => {
                self.is_writing = false;
                rows.into_iter().for_each(|row| self.written(now, row));
                self.write_queued();
            }
        }
    }

    /// An answer counts for the life that was asked: the next one has begun anew.
    fn take_answer(&mut self, now: Timestamp, asked: Asked) {
        let id = &asked.engine;
        if !self.planner.plans_for(id, asked.born) {
            return;
        }
        match asked.answer {
            Answer::Reported(report) => self.planner.reported(now, id, report),
            Answer::Ordered(order, result) => self.planner.ordered(now, id, &order, result),
        }
    }

    /// What waited for a row begins once the row stands, and only then.
    fn written(&mut self, now: Timestamp, written: WrittenRow) {
        let WrittenRow { id, row, write } = written;
        if matches!(write, RowWrite::NotTried) {
            // A newer row may be waiting already.
            self.queued.entry(id).or_insert(row);
            return;
        }
        let action = self.writing.remove(&id).flatten();
        let stands = match write {
            RowWrite::Committed(version) => {
                self.published.insert(id.clone(), (row, version));
                true
            }
            RowWrite::Refused(version) => {
                let other = PlacedRow::default();
                self.published.insert(id.clone(), (other, version));
                false
            }
            RowWrite::Unknown | RowWrite::NotTried => false,
        };
        let Some(action) = action else {
            return;
        };
        let fence = self.keeper.lock().fence(now);
        let Some(fence) = fence.filter(|_| stands) else {
            self.planner.abandoned(now, &id);
            return;
        };
        // The row that was written may be older than the plan that wants the action.
        self.publish(now, fence);
        self.begin_when_told(action, fence);
    }

    /// Begins an action, once a row that is being written for its engine stands.
    fn begin_when_told(&mut self, action: Action, fence: u64) {
        match self.writing.get_mut(&action.engine) {
            Some(next) => *next = Some(action),
            None => self.begin(action, fence),
        }
    }

    fn turn(&mut self) {
        let now = self.shared.now();
        let Some(fence) = self.keeper.lock().fence(now) else {
            return;
        };
        let Some(configuration) = self.shared.configuration() else {
            return;
        };
        self.observe();
        let rows = self.shared.demand_rows.fresh(now);
        let actions = self.planner.plan(now, &configuration, &rows);
        self.log_unmet(now);
        let records = self.planner.store_records(now);
        self.shared.set_store_records(records);
        self.publish(now, fence);
        for action in actions {
            self.begin_when_told(action, fence);
        }
    }

    /// A line when a model cannot be loaded, and now and then while it lasts.
    fn log_unmet(&mut self, now: Timestamp) {
        let wishes = self.planner.unmet_wishes();
        self.unmet
            .retain(|model, _| wishes.iter().any(|wish| wish.model == *model));
        for wish in wishes {
            let told = self.unmet.get(&wish.model);
            if told.is_some_and(|at| now.since(*at) < UNMET_PAUSE) {
                continue;
            }
            self.unmet.insert(wish.model.clone(), now);
            let fields = format_args!(
                "model={} worth={:.2} obstacle=\"{:?}\"",
                wish.model, wish.worth, wish.obstacle
            );
            lines::write(Rank::Decision, "load_put_off", fields);
        }
    }

    /// Queues rows that changed, unless one on the same engine is being written.
    fn publish(&mut self, now: Timestamp, fence: u64) {
        for (id, row) in self.planner.rows(now, fence) {
            let known = self.published.get(&id);
            let is_known = known.is_some_and(|(published, _)| says_the_same(published, &row));
            let is_under_way = self.writing.contains_key(&id) && !self.queued.contains_key(&id);
            if is_known || is_under_way {
                continue;
            }
            self.writing.entry(id.clone()).or_insert(None);
            self.queued.insert(id, row);
        }
        self.write_queued();
    }

    /// Begins to write what waits, unless a write is under way.
    fn write_queued(&mut self) {
        let is_early = self.written_at.is_some_and(|at| at.elapsed() < WRITE_PAUSE);
        if self.is_writing || is_early || self.queued.is_empty() {
            return;
        }
        self.written_at = Some(Instant::now());
        let mut rows = Vec::new();
        while rows.len() < MOST_ROWS
            && let Some((id, row)) = self.queued.pop_first()
        {
            let version = self.published.get(&id).map_or(0, |(_, version)| *version);
            rows.push(RowToWrite { id, row, version });
        }
        self.is_writing = true;
        let (shared, done) = (self.shared.clone(), self.done.clone());
        tokio::spawn(async move {
            let written = placed_rows::write(&shared, rows).await;
            // The receiver is gone when the lease was lost; the next holder reads the rows.
            let _ = done.send(Done::Written(written));
        });
    }

    fn begin(&mut self, action: Action, fence: u64) {
        let engine = action.engine.clone();
        let find = |directory: &Directory| directory.back_end(&engine);
        let back_end = self.shared.directory(find);
        // What was sized for one life is not sent to the next one.
        let is_meant = |back_end: &Arc<BackEnd>| {
            let life = Incarnation::new(back_end.born);
            life.may_be(action.born) || action.kind == ActionKind::Report
        };
        let Some(back_end) = back_end.filter(is_meant) else {
            self.planner.abandoned(self.shared.now(), &action.engine);
            return;
        };
        let done = self.done.clone();
        let shared = self.shared.clone();
        let keeper = self.keeper.clone();
        tokio::spawn(async move {
            let answer = match &action.kind {
                ActionKind::Report => {
                    let report = orders::ask(&shared, &back_end).await;
                    log_report(&action, report.as_ref());
                    Answer::Reported(report)
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
                    Answer::Ordered(order.clone(), result)
                }
            };
            // The receiver is gone when the lease was lost.
            let _ = done.send(Done::Asked(Asked {
                engine: action.engine,
                born: action.born,
                answer,
            }));
        });
    }
}

/// The time until a load is done changes all the time; the load itself counts.
fn says_the_same(published: &PlacedRow, row: &PlacedRow) -> bool {
    let model = |row: &PlacedRow| row.loading.as_ref().map(|load| load.model.clone());
    published.born == row.born
        && published.holdings == row.holdings
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
