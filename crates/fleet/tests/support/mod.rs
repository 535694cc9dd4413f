//! A model of engines for tests of placement: one order at a time, a sequence
//! number, stale reports, lost answers, orders carried out late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::placement::{
    Action, ActionKind, LoadRateLimit, Obstacle, OrderKind, OrderResult, Planner,
};
use gorsebank_fleet::{
    BackEndReport, Born, Configuration, DemandRow, Engine, EngineReport, Holdings, Limits,
    ModelDemand, ModelSpec, PlacedRow, Service,
};
use gorsebank_world::{AdapterId, BackEndId, ModelId, ServiceId};
use proptest::prelude::*;

/// Adapter places of an engine.
pub const ADAPTER_SLOTS: usize = 4;
/// The weight store's rate.
pub const LOADS_PER_SECOND: f64 = 2.0;
const MEMORY_MB: f64 = 200.0;
const REPORT_LAG: u64 = 150;
pub const LOAD_TIME: u64 = 1_200;
const UNLOAD_TIME: u64 = 60;
const ADAPTER_TIME: u64 = 30;

/// The bound on loads that the weight store of these tests keeps.
pub fn load_bound() -> LoadRateLimit {
    LoadRateLimit {
        window: Duration::from_secs(5),
        overage: 1.1,
        extra: 3.0,
    }
}

/// The service of all engines.
pub fn service() -> ServiceId {
    ServiceId::from("llm")
}

/// A configuration with twelve models of 45 to 78 MB, every second with adapters.
pub fn configuration() -> Configuration {
    let models = (0..12)
        .map(|number| {
            let spec = ModelSpec {
                memory_mb: 45.0 + 3.0 * f64::from(number),
                adapter_mb: 1.0,
                rank: number as usize,
                adapters: if number % 2 == 0 {
                    adapters(9)
                } else {
                    Vec::new()
                },
                load: Duration::from_millis(LOAD_TIME),
                load_from_memory: Duration::from_millis(LOAD_TIME / 4),
                load_from_disk: Duration::from_millis(LOAD_TIME / 2),
            };
            (ModelId::from(format!("m{number}")), spec)
        })
        .collect();
    let engine = Engine {
        models,
        memory_mb: MEMORY_MB,
        adapter_slots: ADAPTER_SLOTS,
        loads_per_second: LOADS_PER_SECOND,
        slots: 64,
    };
    let service = Service {
        id: service(),
        max_connections: 100,
        warm_up_rate: None,
        engine: Some(engine),
    };
    let limits = Limits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    Configuration::new(1, Vec::new(), vec![service], limits)
}

fn adapters(count: u32) -> Vec<AdapterId> {
    (1..=count)
        .map(|number| AdapterId::from(format!("a{number}")))
        .collect()
}

fn row_of(models: BTreeMap<ModelId, ModelDemand>) -> DemandRow {
    DemandRow {
        services: BTreeMap::from([(service(), models)]),
        ..DemandRow::default()
    }
}

/// Demand by model: its name, requests a second, waiting requests.
#[allow(dead_code)]
pub fn demand(models: &[(&str, f64, u32)]) -> DemandRow {
    let models = models.iter().map(|(model, rate, waiting)| {
        let demand = ModelDemand {
            rate: *rate,
            urgent_rate: *rate,
            waiting: *waiting,
            waiting_weight: f64::from(*waiting),
            ..ModelDemand::default()
        };
        (ModelId::from(*model), demand)
    });
    row_of(models.collect())
}

/// Demand by model: its name, requests a second, running requests.
#[allow(dead_code)]
pub fn running(models: &[(&str, f64, u32)]) -> DemandRow {
    let models = models.iter().map(|(model, rate, running)| {
        let demand = ModelDemand {
            rate: *rate,
            urgent_rate: *rate,
            running: *running,
            ..ModelDemand::default()
        };
        (ModelId::from(*model), demand)
    });
    row_of(models.collect())
}

/// Demand by model: its number, requests a second, waiting requests, missing adapters.
#[allow(dead_code)]
pub fn demand_row(models: &[(usize, f64, u32, usize)]) -> DemandRow {
    let models = models.iter().map(|(number, rate, waiting, missing)| {
        let demand = ModelDemand {
            rate: *rate,
            urgent_rate: *rate / 2.0,
            running: (*rate * 2.0) as u32,
            waiting: *waiting,
            waiting_weight: f64::from(*waiting),
            adapters: BTreeMap::new(),
            missing_adapters: adapters(*missing as u32).into_iter().collect(),
        };
        (ModelId::from(format!("m{number}")), demand)
    });
    row_of(models.collect())
}

/// What an engine is busy with.
struct Work {
    order: OrderKind,
    done_at: u64,
    /// It takes weights from the weight store.
    from_store: bool,
}

/// An engine.
pub struct EngineModel {
    /// Its name; another one after most restarts.
    pub id: BackEndId,
    /// Its start, if it tells it.
    pub born: Option<Born>,
    holdings: Holdings,
    pending: Vec<(ModelId, AdapterId, u64)>,
    work: Option<Work>,
    sequence: u64,
    starts: u32,
    /// Time in which the runs of a model that is to be unloaded end.
    pub unload_time: u64,
    /// Models of which it has a copy in host memory.
    pub copies: Vec<ModelId>,
    history: VecDeque<(u64, EngineReport)>,
}

impl EngineModel {
    /// Whether it loads a model now.
    #[allow(dead_code)]
    pub fn is_loading(&self, model: &str) -> bool {
        let order = OrderKind::LoadModel(model.into());
        self.work.as_ref().is_some_and(|work| work.order == order)
    }

    /// An engine that holds these models.
    pub fn new(number: usize, models: &[&str]) -> Self {
        EngineModel {
            id: BackEndId::from(format!("engine-{number}-0")),
            born: Some(Born(0)),
            holdings: models
                .iter()
                .map(|model| ((*model).into(), Default::default()))
                .collect(),
            pending: Vec::new(),
            work: None,
            sequence: 0,
            starts: 0,
            unload_time: UNLOAD_TIME,
            copies: Vec::new(),
            history: VecDeque::new(),
        }
    }

    /// Whether it holds a model.
    #[allow(dead_code)]
    pub fn holds(&self, model: &ModelId) -> bool {
        self.holdings.contains_key(model)
    }

    /// Adapters that it holds.
    #[allow(dead_code)]
    pub fn adapters(&self) -> Vec<String> {
        let names = self.holdings.iter().flat_map(|(model, adapters)| {
            adapters
                .iter()
                .map(move |adapter| format!("{model}/{adapter}"))
        });
        names.collect()
    }

    /// Whether it takes weights from the weight store now.
    fn takes_from_store(&self) -> bool {
        self.work.as_ref().is_some_and(|work| work.from_store)
    }

    /// A load from a crowded weight store ends later.
    fn put_off(&mut self, time: u64) {
        if let Some(work) = self.work.as_mut().filter(|work| work.from_store) {
            work.done_at += time;
        }
    }

    fn advance(&mut self, now: u64) {
        if self.work.as_ref().is_some_and(|work| work.done_at <= now)
            && let Some(work) = self.work.take()
        {
            match work.order {
                OrderKind::LoadModel(model) => {
                    self.holdings.entry(model).or_default();
                }
                OrderKind::UnloadModel(model) => {
                    self.holdings.remove(&model);
                }
                OrderKind::LoadAdapter(..) | OrderKind::UnloadAdapter(..) => {}
            }
        }
        let (done, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(_, _, done_at)| *done_at <= now);
        self.pending = pending;
        let done: Vec<(ModelId, AdapterId, u64)> = done;
        for (model, adapter, _) in done {
            if let Some(adapters) = self.holdings.get_mut(&model) {
                adapters.insert(adapter);
            }
        }
        let report = self.report();
        self.history.push_back((now, report));
        while self
            .history
            .front()
            .is_some_and(|(at, _)| at + 2 * REPORT_LAG < now)
        {
            self.history.pop_front();
        }
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            born: self.born,
            holdings: self.holdings.clone(),
            pending: self
                .pending
                .iter()
                .map(|(model, adapter, _)| (model.clone(), adapter.clone()))
                .collect(),
            busy: self.work.is_some(),
            sequence: self.sequence,
            in_memory: self.copies.iter().cloned().collect(),
            ..EngineReport::default()
        }
    }

    /// Its state of some time ago.
    fn stale_report(&self, now: u64) -> EngineReport {
        let old = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| at + REPORT_LAG <= now);
        old.map_or_else(|| self.report(), |(_, report)| report.clone())
    }

    fn memory(&self) -> f64 {
        let configuration = configuration();
        let (_, spec) = configuration.engine_services().next().expect("one service");
        let size = |model: &ModelId| spec.models[model].memory_mb;
        let held: f64 = self
            .holdings
            .iter()
            .map(|(model, adapters)| size(model) + adapters.len() as f64)
            .sum();
        let coming = match &self.work {
            Some(Work {
                order: OrderKind::LoadModel(model),
                ..
            }) => size(model),
            _ => 0.0,
        };
        held + coming + self.pending.len() as f64
    }

    fn adapter_count(&self) -> usize {
        let held: usize = self.holdings.values().map(|adapters| adapters.len()).sum();
        held + self.pending.len()
    }

    /// Carries out an order if its condition holds.
    fn order(&mut self, now: u64, order: &OrderKind, sequence: u64) -> OrderResult {
        if self.work.is_some() || sequence != self.sequence {
            return OrderResult::Conflict;
        }
        match order {
            OrderKind::LoadModel(model) if self.holdings.contains_key(model) => {
                return OrderResult::InForce;
            }
            OrderKind::LoadModel(model) => self.begin(order, now + self.load_time(model)),
            OrderKind::UnloadModel(_) => self.begin(order, now + self.unload_time),
            OrderKind::LoadAdapter(model, adapter) => {
                let key = (model.clone(), adapter.clone(), now + ADAPTER_TIME);
                self.pending.push(key);
            }
            OrderKind::UnloadAdapter(model, adapter) => {
                if let Some(adapters) = self.holdings.get_mut(model) {
                    adapters.remove(adapter);
                }
                self.sequence += 1;
                return OrderResult::InForce;
            }
        }
        self.sequence += 1;
        OrderResult::Accepted
    }

    /// Time of a load, by where the weights are.
    fn load_time(&self, model: &ModelId) -> u64 {
        if self.copies.contains(model) {
            LOAD_TIME / 4
        } else {
            LOAD_TIME
        }
    }

    fn begin(&mut self, order: &OrderKind, done_at: u64) {
        let from_store = match order {
            OrderKind::LoadModel(model) => !self.copies.contains(model),
            _ => false,
        };
        self.work = Some(Work {
            order: order.clone(),
            done_at,
            from_store,
        });
    }
}

/// Engines and the holder.
pub struct World {
    /// The present holder's plans.
    pub planner: Planner,
    /// The engines.
    pub engines: Vec<EngineModel>,
    /// When loads from the weight store began.
    pub loads: Vec<u64>,
    /// What was overcommitted.
    pub broken: Vec<String>,
    /// Why loads were put off.
    #[allow(dead_code)]
    pub obstacles: Vec<Obstacle>,
    /// Decide what happens to orders; used round and round.
    pub faults: Vec<u8>,
    /// An engine that answers nothing any more, while discovery still shows it.
    pub silent: Option<BackEndId>,
    /// Loads that the weight store makes at full speed at once; more of them share it.
    pub full_speed_loads: usize,
    /// When the last turn was.
    turned: u64,
    /// Rows of the table, those of engines that are gone among them.
    published: BTreeMap<BackEndId, PlacedRow>,
    late: Vec<(u64, BackEndId, OrderKind, u64)>,
    orders: usize,
    /// Engines that ended while requests were there.
    pub ended_under_requests: BTreeSet<BackEndId>,
}

impl World {
    /// Engines that all hold the same models.
    pub fn new(count: usize, models: &[&str]) -> Self {
        World {
            planner: Planner::new(Timestamp(0), load_bound(), Default::default()),
            engines: (0..count)
                .map(|number| EngineModel::new(number, models))
                .collect(),
            loads: Vec::new(),
            broken: Vec::new(),
            obstacles: Vec::new(),
            faults: Vec::new(),
            silent: None,
            full_speed_loads: usize::MAX,
            turned: 0,
            published: BTreeMap::new(),
            late: Vec::new(),
            orders: 0,
            ended_under_requests: BTreeSet::new(),
        }
    }

    /// What discovery shows.
    pub fn reports(&self) -> Vec<BackEndReport> {
        self.engines
            .iter()
            .map(|engine| BackEndReport {
                id: engine.id.clone(),
                born: engine.born,
                service: service(),
                address: "127.0.0.1:1".parse().expect("an address"),
                zone: "hall".into(),
                slots: 64,
                warm_up_left_ms: 0,
                draining: false,
                holdings: engine.holdings.clone(),
                in_memory: engine.copies.iter().cloned().collect(),
                on_disk: Default::default(),
            })
            .collect()
    }

    /// Engines that hold a model.
    #[allow(dead_code)]
    pub fn holders(&self, model: &str) -> usize {
        let model = ModelId::from(model);
        let holds = |engine: &&EngineModel| engine.holdings.contains_key(&model);
        self.engines.iter().filter(holds).count()
    }

    /// Another node takes over; it knows what the lease's row told `told` ago,
    /// and the engines' rows.
    #[allow(dead_code)]
    pub fn change_holder(&mut self, now: u64, told: u64) {
        let mut loads = self.planner.store_records(Timestamp(now));
        for record in loads.values_mut() {
            record.recent.retain(|load| load.age_ms >= told);
        }
        let rows = std::mem::take(&mut self.published);
        self.planner = Planner::new(Timestamp(now), load_bound(), loads);
        self.observe(now);
        for (id, row) in &rows {
            self.planner.restore(id, row);
        }
        self.published = rows;
    }

    /// Engines lose what they hold and finish what they do, so that loads are
    /// wanted all the time.
    #[allow(dead_code)]
    pub fn forget_models(&mut self) {
        for number in 0..self.engines.len() {
            self.restart(number);
        }
    }

    /// An engine starts anew: empty, with another name.
    #[allow(dead_code)]
    pub fn restart(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        let starts = engine.starts + 1;
        *engine = EngineModel::new(number, &[]);
        engine.starts = starts;
        engine.id = BackEndId::from(format!("engine-{number}-{starts}"));
    }

    /// The holder looks at what discovery shows.
    pub fn observe(&mut self, now: u64) {
        let reports = self.reports();
        self.planner
            .observe(Timestamp(now), &reports, &self.ended_under_requests);
    }

    /// Every engine that loads the model ends, and comes back. Out: how many did.
    #[allow(dead_code)]
    pub fn end_engines_that_load(&mut self, model: &str) -> usize {
        let numbers = 0..self.engines.len();
        let loads = |number: &usize| self.engines[*number].is_loading(model);
        let ending: Vec<usize> = numbers.filter(loads).collect();
        for number in &ending {
            self.restart(*number);
        }
        ending.len()
    }

    /// An engine starts anew under its name, at this time.
    #[allow(dead_code)]
    pub fn restart_under_its_name(&mut self, now: u64, number: usize) {
        let engine = &mut self.engines[number];
        let (id, starts) = (engine.id.clone(), engine.starts);
        *engine = EngineModel::new(number, &[]);
        engine.id = id;
        engine.starts = starts;
        engine.born = Some(Born(now));
    }

    /// One turn of the holder.
    pub fn turn(&mut self, now: u64, rows: &[DemandRow]) {
        self.share_weight_store(now);
        for engine in &mut self.engines {
            engine.advance(now);
        }
        self.carry_out_late(now);
        self.observe(now);
        let actions = self.planner.plan(Timestamp(now), &configuration(), rows);
        let unmet = self.planner.deferred_loads().iter();
        self.obstacles.extend(unmet.map(|wish| wish.obstacle));
        let written = self.planner.rows(Timestamp(now), 1);
        self.published.extend(written);
        for action in actions {
            self.carry_out(now, action);
        }
    }

    /// Loads beyond those that go at full speed make each of them slower.
    fn share_weight_store(&mut self, now: u64) {
        let passed = (now - self.turned) as f64;
        self.turned = now;
        let loads = self
            .engines
            .iter()
            .filter(|engine| engine.takes_from_store());
        let loads = loads.count();
        if loads > self.full_speed_loads {
            let part = self.full_speed_loads as f64 / loads as f64;
            let put_off = (passed * (1.0 - part)) as u64;
            self.engines
                .iter_mut()
                .for_each(|engine| engine.put_off(put_off));
        }
    }

    fn carry_out_late(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.late = later;
        let due: Vec<(u64, BackEndId, OrderKind, u64)> = due;
        for (_, id, order, sequence) in due {
            self.order(now, &id, &order, sequence);
        }
    }

    /// Carries out one action at once.
    pub fn carry_out(&mut self, now: u64, action: Action) {
        let id = action.engine;
        match action.kind {
            ActionKind::Report => {
                let answers =
                    |engine: &&EngineModel| engine.id == id && self.silent.as_ref() != Some(&id);
                let engine = self.engines.iter().find(answers);
                let report = engine.map(|engine| engine.stale_report(now));
                self.planner.apply_report(Timestamp(now), &id, report);
            }
            ActionKind::Order { order, sequence } => {
                let result = self.order_with_faults(now, &id, &order, sequence);
                self.planner
                    .apply_order_result(Timestamp(now), &id, &order, result);
            }
        }
    }

    fn order_with_faults(
        &mut self,
        now: u64,
        id: &BackEndId,
        order: &OrderKind,
        sequence: u64,
    ) -> OrderResult {
        self.orders += 1;
        let fault = match self.faults.len() {
            0 => 0,
            length => self.faults[self.orders % length],
        };
        match fault {
            1..=3 => {
                let at = now + 500 * u64::from(fault) * 3;
                self.late.push((at, id.clone(), order.clone(), sequence));
                OrderResult::Unanswered
            }
            4 | 5 => {
                self.order(now, id, order, sequence);
                OrderResult::Unanswered
            }
            _ => self.order(now, id, order, sequence),
        }
    }

    fn order(&mut self, now: u64, id: &BackEndId, order: &OrderKind, sequence: u64) -> OrderResult {
        let Some(engine) = self.engines.iter_mut().find(|engine| engine.id == *id) else {
            return OrderResult::Refused;
        };
        let from_store = match order {
            OrderKind::LoadModel(model) => !engine.copies.contains(model),
            _ => false,
        };
        let result = engine.order(now, order, sequence);
        if result == OrderResult::Accepted && from_store {
            self.loads.push(now);
        }
        if engine.memory() > MEMORY_MB {
            self.broken
                .push(format!("{id}: {order:?} at {now}: {} MB", engine.memory()));
        }
        if engine.adapter_count() > ADAPTER_SLOTS {
            self.broken
                .push(format!("{id}: {order:?} at {now}: adapter places"));
        }
        result
    }
}

/// Loads of the weight store that may begin in any five seconds.
#[allow(dead_code)]
pub fn most_loads() -> usize {
    (LOADS_PER_SECOND * 5.0 * 1.1 + 3.0) as usize
}

/// Demand that moves from model to model.
#[allow(dead_code)]
pub fn moving_demand() -> impl Strategy<Value = Vec<DemandRow>> {
    let model = (0usize..12, 0.0f64..4.0, 0u32..3, 0usize..6);
    let row = prop::collection::vec(model, 1..6);
    prop::collection::vec(row, 4..10)
        .prop_map(|rows| rows.into_iter().map(|models| demand_row(&models)).collect())
}

/// What strikes a holder and its engines in sixteen seconds.
#[allow(dead_code)]
pub struct Trouble {
    /// Faults of orders, one after the other.
    pub faults: Vec<u8>,
    /// When another holder takes over.
    pub holder_changes: Vec<u64>,
    /// Engines that start again, and when.
    pub restarts: Vec<(usize, u64)>,
}

/// Plays this demand: engines are never ordered to hold more than they can, and the weight store's
/// bound on loads is kept over every window.
#[allow(dead_code)]
pub fn play_without_overcommitment(
    rows: &[DemandRow],
    trouble: Trouble,
    restart: impl Fn(&mut World, u64, usize),
) -> Result<(), TestCaseError> {
    let mut world = World::new(4, &["m0", "m1"]);
    world.faults = trouble.faults;
    for now in (0..16_000u64).step_by(40) {
        let is_now = |at: &u64| now <= *at && *at < now + 40;
        if trouble.holder_changes.iter().any(is_now) {
            world.change_holder(now, 700);
        }
        for (engine, _) in trouble.restarts.iter().filter(|(_, at)| is_now(at)) {
            restart(&mut world, now, *engine);
        }
        let index = (now / 2_000) as usize % rows.len();
        world.turn(now, &rows[index..=index]);
        prop_assert!(world.broken.is_empty(), "{:?} at {now}", world.broken);
    }
    for start in &world.loads {
        let within = world
            .loads
            .iter()
            .filter(|at| **at >= *start && **at < start + 5_000);
        prop_assert!(within.count() <= most_loads());
    }
    Ok(())
}
