//! The world of a scale run: cells of hollow nodes with engines between them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use gorsebank_contract::frame::{Envelope, encode};
use gorsebank_contract::{
    AttemptOutcome, Incarnation, OrderResult, PriorityClass, Put, RequestId, Revision, Transaction,
};
use gorsebank_coordination::{
    Action, Arrival, Change, ChangeId, Configuration, CoordinationSettings, Edit, Event, Identity,
    Node, Timestamp,
};
use gorsebank_emulator::model::engine::{EngineModel, OrderStart};
use gorsebank_emulator::model::table::TableModel;
use gorsebank_world::{
    AdapterSpec, BackEndId, CellId, DeploymentSpec, Labels, Machine, MachineList, MachineRole,
    MachineState, ModelSpec, NodeEntry, NodeId, Row, RowKey, RowKind, Spec, ZoneId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::scale::account::{Account, role_of_event, role_of_message};
use crate::scale::report::{ScaleReport, kinds_of, summarize};
use crate::scale::workload::{Rates, gap, target};
use crate::simulation::queue::EventQueue;

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;
/// Between two ticks of a node. Real nodes tick every 20 ms; what a tick costs
/// is reported by itself, so that it can be multiplied.
const TICK: u64 = 100 * MILLISECOND;
/// One-way latency within a cell and to its platform.
const LATENCY: u64 = 1_500;
/// One-way latency between cells.
const FAR_LATENCY: u64 = 30 * MILLISECOND;
/// How long a load takes.
const LOAD_TIME: u64 = 4 * SECOND;
/// Limits of a cell's weight store: with 263 runners to a cell, 26 times the
/// 10 of today, so are its limits.
const STORE_STARTS: f64 = 2.0 * 26.0;
const STORE_CONCURRENCY: u32 = 8 * 26;
/// Operators look so often whether changes are in force.
const LOOK: u64 = 200 * MILLISECOND;
/// The run settles for so long before it is measured; placement holders give
/// every adapter its standing decision in that time.
const WARM_UP: u64 = 90 * SECOND;
/// Bytes of a frame's length prefix.
const FRAME_PREFIX: u64 = 4;
/// Nodes in a cell at the target: 1,300 in 38 zones.
const NODES_PER_CELL: usize = 34;
/// Requests that an engine runs at once: 420,000 streams on 10,000 runners
/// are 42 each.
const SLOTS: u32 = 64;
const GIB: u64 = 1 << 30;
/// Accelerator memory of a base model and of an adapter.
const MODEL_BYTES: u64 = 100 * GIB;
const ADAPTER_BYTES: u64 = GIB;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct ScaleOptions {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub runners: usize,
    /// Adapters.
    pub adapters: usize,
    /// Seconds of virtual time that are measured.
    pub seconds: u64,
    /// Drives every random choice.
    pub seed: u64,
    /// Milliseconds between two heartbeats.
    pub heartbeat: u64,
}

#[derive(Debug)]
enum ScaleEvent {
    Tick(usize),
    Deliver(usize, Box<Event>),
    Arrive,
    Wake,
    Change,
    Look,
}

struct HollowNode {
    node: Node,
    account: Account,
    cell: usize,
}

struct Cell {
    table: TableModel,
    list: MachineList,
    engines: HashMap<BackEndId, EngineModel>,
}

struct World {
    options: ScaleOptions,
    rates: Rates,
    now: u64,
    queue: EventQueue<ScaleEvent>,
    random: ChaCha8Rng,
    nodes: Vec<HollowNode>,
    index: HashMap<NodeId, usize>,
    cells: Vec<Cell>,
    configuration_table: TableModel,
    changes: BTreeMap<u64, u64>,
    change_numbers: u64,
    counts: Counts,
    /// Requests for dormant adapters.
    waking: HashSet<RequestId>,
}

#[derive(Default)]
struct Counts {
    requests: u64,
    refused: u64,
    wakes: u64,
    wakes_refused: u64,
    transactions: u64,
    slowest_change: u64,
}

/// Runs hollow nodes and reports what each role cost.
pub fn run(options: ScaleOptions) -> ScaleReport {
    let configuration_bytes = configuration_memory(&options);
    let memory_before = resident_bytes();
    let mut world = World::new(options);
    world.run_until(WARM_UP);
    world.start_measuring();
    world.run_until(WARM_UP + options.seconds * SECOND);
    let memory = resident_bytes().saturating_sub(memory_before);
    world.report(memory, configuration_bytes)
}

impl World {
    fn new(options: ScaleOptions) -> Self {
        let cell_count = options.nodes.div_ceil(NODES_PER_CELL);
        let entries = node_entries(options.nodes, cell_count);
        let cells = (0..cell_count)
            .map(|cell| Cell::new(cell, cell_count, &options, &entries))
            .collect();
        let mut world = World {
            options,
            rates: Rates::for_nodes(options.nodes),
            now: 0,
            queue: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            nodes: Vec::new(),
            index: HashMap::new(),
            cells,
            configuration_table: TableModel::default(),
            changes: BTreeMap::new(),
            change_numbers: 0,
            counts: Counts::default(),
            waking: HashSet::new(),
        };
        world.configuration_table.transact(&first_rows(&options));
        for (index, entry) in entries.iter().enumerate() {
            world.add_node(index, entry);
        }
        world.queue.add(SECOND, ScaleEvent::Arrive);
        world.queue.add(20 * SECOND, ScaleEvent::Wake);
        world.queue.add(20 * SECOND, ScaleEvent::Change);
        world.queue.add(20 * SECOND, ScaleEvent::Look);
        world
    }

    fn add_node(&mut self, index: usize, entry: &NodeEntry) {
        let identity = Identity {
            node: entry.id.clone(),
            incarnation: Incarnation(1),
            cell: entry.cell.clone(),
            zone: entry.zone.clone(),
        };
        let mut settings = CoordinationSettings::default();
        settings.membership.heartbeat_interval = self.options.heartbeat;
        settings.membership.failure_timeout = self.options.heartbeat * 4;
        settings.placement.store_starts_per_second = STORE_STARTS;
        settings.placement.store_concurrency = STORE_CONCURRENCY;
        settings.placement.store_bandwidth = MODEL_BYTES / (LOAD_TIME / SECOND);
        let node = Node::new(identity, settings, Timestamp(0), index as u64);
        self.index.insert(entry.id.clone(), index);
        self.nodes.push(HollowNode {
            node,
            account: Account::default(),
            cell: index % self.cells.len(),
        });
        let phase = index as u64 * 7_919 % TICK;
        self.queue.add(phase, ScaleEvent::Tick(index));
    }

    fn run_until(&mut self, end: u64) {
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                self.queue.add(at, event);
                return;
            }
            self.now = at;
            self.happen(event);
        }
    }

    fn happen(&mut self, event: ScaleEvent) {
        match event {
            ScaleEvent::Tick(index) => {
                self.tell(index, Event::Tick);
                self.queue.add(self.now + TICK, ScaleEvent::Tick(index));
            }
            ScaleEvent::Deliver(index, event) => self.tell(index, *event),
            ScaleEvent::Arrive => self.arrive(),
            ScaleEvent::Wake => self.wake(),
            ScaleEvent::Change => self.change(),
            ScaleEvent::Look => {
                self.look_at_changes();
                self.queue.add(self.now + LOOK, ScaleEvent::Look);
            }
        }
    }

    fn tell(&mut self, index: usize, event: Event) {
        let role = role_of_event(&event);
        let now = Timestamp(self.now / MILLISECOND);
        let hollow = &mut self.nodes[index];
        let before = Instant::now();
        let actions = hollow.node.handle(now, event);
        hollow.account.spent(role, before.elapsed());
        for action in actions {
            self.perform(index, action);
        }
    }

    fn deliver(&mut self, after: u64, index: usize, event: Event) {
        let event = ScaleEvent::Deliver(index, Box::new(event));
        self.queue.add(self.now + after, event);
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(index, &to, message),
            Action::Transact { tag, transaction } => {
                self.counts.transactions += 1;
                let is_configuration = transaction
                    .reads
                    .iter()
                    .any(|read| read.starts_with("configuration/"));
                let cell = self.nodes[index].cell;
                let table = if is_configuration {
                    &mut self.configuration_table
                } else {
                    &mut self.cells[cell].table
                };
                let answer = table.transact(&transaction);
                self.deliver(2 * LATENCY, index, Event::TableAnswered { tag, answer });
            }
            Action::Order { machine, order } => {
                let cell = self.nodes[index].cell;
                let Some(engine) = self.cells[cell].engines.get_mut(&machine.id) else {
                    return;
                };
                let now = self.now / MILLISECOND;
                let (result, time) = match engine.order(now, &order) {
                    OrderStart::Settled(result) => (result, 0),
                    OrderStart::Loading { artifact, .. } => {
                        let result: OrderResult = engine.load_ended(now, &artifact);
                        (result, LOAD_TIME)
                    }
                };
                let event = Event::OrderAnswered {
                    back_end: machine.id,
                    fence: order.fence,
                    sequence: order.sequence,
                    result,
                };
                self.deliver(2 * LATENCY + time, index, event);
            }
            Action::ReadReport { machine } => {
                let cell = self.nodes[index].cell;
                let report = self.cells[cell]
                    .engines
                    .get(&machine.id)
                    .map(EngineModel::report);
                let event = Event::ReportRead {
                    back_end: machine.id,
                    report,
                };
                self.deliver(2 * LATENCY, index, event);
            }
            Action::ReadMachineList => {
                let list = self.cells[self.nodes[index].cell].list.clone();
                self.deliver(2 * LATENCY, index, Event::MachineListRead(list));
            }
            Action::Dispatch { id, .. } => {
                let event = Event::AttemptEnded {
                    id,
                    outcome: AttemptOutcome::Completed,
                };
                let time = target::SERVICE_MILLISECONDS * MILLISECOND;
                self.deliver(time, index, event);
            }
            Action::Refuse { request, .. } => {
                if self.waking.remove(&request) {
                    self.counts.wakes_refused += 1;
                } else {
                    self.counts.refused += 1;
                }
            }
            Action::AnswerChange { result, .. } => {
                if let Ok(row) = result {
                    self.changes.insert(row.revision, self.now);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &NodeId, message: gorsebank_contract::PeerMessage) {
        let Some(&receiver) = self.index.get(to) else {
            return;
        };
        let role = role_of_message(&message);
        let kind = message.kind();
        let from_id = self.nodes[from].node.identity().node.clone();
        let envelope = Envelope {
            from: from_id,
            message,
        };
        let bytes = encode(&envelope).map_or(0, |frame| frame.len() as u64 + FRAME_PREFIX);
        self.nodes[from].account.sent(role, kind, bytes);
        let is_near = self.nodes[from].cell == self.nodes[receiver].cell;
        let latency = if is_near { LATENCY } else { FAR_LATENCY };
        let event = Event::Received {
            from: envelope.from,
            message: envelope.message,
        };
        self.deliver(latency, receiver, event);
    }

    /// A request for one of the cell's busy models at a random node.
    fn arrive(&mut self) {
        let index = self.random.random_range(0..self.nodes.len());
        let cells = self.cells.len();
        let busy = target::MODELS.div_ceil(cells).max(1);
        let cell = self.nodes[index].cell;
        let model = (cell + cells * self.random.random_range(0..busy)) % target::MODELS;
        self.counts.requests += 1;
        self.request(index, &model_name(model), false);
        let next = self.now + gap(self.rates.requests, &mut self.random);
        self.queue.add(next, ScaleEvent::Arrive);
    }

    /// A request for a dormant adapter at a random node.
    fn wake(&mut self) {
        if self.options.adapters > 0 {
            let index = self.random.random_range(0..self.nodes.len());
            let adapter = self.random.random_range(0..self.options.adapters);
            self.counts.wakes += 1;
            self.request(index, &adapter_name(adapter), true);
        }
        let next = self.now + gap(self.rates.wakes, &mut self.random);
        self.queue.add(next, ScaleEvent::Wake);
    }

    fn request(&mut self, index: usize, name: &str, is_wake: bool) {
        let node = &self.nodes[index].node;
        let Ok(queue) = node.resolve(name) else {
            self.counts.refused += 1;
            return;
        };
        let request = node.new_request();
        if is_wake {
            self.waking.insert(request);
        }
        let arrival = Arrival {
            request,
            queue,
            class: PriorityClass::Interactive,
            deadline: Timestamp(self.now / MILLISECOND + 30_000),
            repeatable: true,
            key: None,
        };
        self.tell(index, Event::RequestArrived(arrival));
    }

    /// An operator labels an adapter at a random node.
    fn change(&mut self) {
        if self.options.adapters > 0 {
            let index = self.random.random_range(0..self.nodes.len());
            let adapter = self.random.random_range(0..self.options.adapters);
            self.change_numbers += 1;
            let stage = format!("s{}", self.change_numbers);
            let change = Change {
                key: RowKey {
                    kind: RowKind::Adapter,
                    name: adapter_name(adapter).into(),
                },
                expected: None,
                edit: Edit::Label(BTreeMap::from([("stage".to_owned(), Some(stage))])),
            };
            let id = ChangeId(self.change_numbers);
            self.tell(index, Event::ChangeRequested { id, change });
        }
        let next = self.now + gap(self.rates.changes, &mut self.random);
        self.queue.add(next, ScaleEvent::Change);
    }

    /// Changes that are in force everywhere are counted with the time since
    /// they were accepted, which is no less than they took.
    fn look_at_changes(&mut self) {
        let everywhere = self
            .nodes
            .iter()
            .map(|hollow| hollow.node.with_configuration(|it| it.complete().0))
            .min()
            .unwrap_or(0);
        let later = self.changes.split_off(&(everywhere + 1));
        let in_force = std::mem::replace(&mut self.changes, later);
        let newest = in_force.values().max();
        if let Some(accepted) = newest {
            let time = (self.now - accepted) / MILLISECOND;
            self.counts.slowest_change = self.counts.slowest_change.max(time);
        }
    }

    fn start_measuring(&mut self) {
        for hollow in &mut self.nodes {
            hollow.account.clear();
        }
        self.counts = Counts::default();
    }

    fn report(&self, memory: u64, configuration_bytes: u64) -> ScaleReport {
        let seconds = self.options.seconds as f64;
        let accounts: Vec<&Account> = self.nodes.iter().map(|hollow| &hollow.account).collect();
        let holders: Vec<&Account> = self
            .nodes
            .iter()
            .filter(|hollow| hollow.node.status().is_holder)
            .map(|hollow| &hollow.account)
            .collect();
        let mut roles = BTreeMap::new();
        for role in accounts.iter().flat_map(|account| account.roles.keys()) {
            roles
                .entry(*role)
                .or_insert_with(|| summarize(&accounts, Some(*role), seconds));
        }
        let on_credit = self
            .nodes
            .iter()
            .map(|hollow| hollow.node.status().front.on_credit)
            .sum();
        ScaleReport {
            nodes: self.nodes.len(),
            cells: self.cells.len(),
            runners: self.cells.iter().map(|cell| cell.engines.len()).sum(),
            adapters: self.options.adapters,
            seconds: self.options.seconds,
            requests: self.counts.requests,
            requests_unrefused: self.counts.requests.saturating_sub(self.counts.refused),
            sent_on_credit: on_credit,
            wakes: self.counts.wakes,
            wakes_refused: self.counts.wakes_refused,
            transactions_per_second: self.counts.transactions as f64 / seconds,
            changes: self.change_numbers,
            slowest_change: self.counts.slowest_change,
            resident_bytes_per_node: memory / self.nodes.len().max(1) as u64,
            configuration_bytes,
            roles,
            kinds: kinds_of(&accounts, seconds),
            total: summarize(&accounts, None, seconds),
            holders: summarize(&holders, None, seconds),
        }
    }
}

impl Cell {
    fn new(cell: usize, cells: usize, options: &ScaleOptions, entries: &[NodeEntry]) -> Self {
        let machines: Vec<Machine> = (0..options.runners)
            .filter(|runner| runner % cells == cell)
            .map(|runner| machine(runner, cell))
            .collect();
        let engines = machines
            .iter()
            .map(|machine| {
                let engine = EngineModel::new(0, machine.memory, Incarnation(1), BTreeMap::new());
                (machine.id.clone(), engine)
            })
            .collect();
        let table = TableModel::default();
        Cell {
            table,
            list: MachineList {
                nodes: known_nodes(cell, entries),
                back_ends: machines,
            },
            engines,
        }
    }
}

/// What a cell's machine list has of nodes: its own, and a few of every other.
fn known_nodes(cell: usize, entries: &[NodeEntry]) -> Vec<NodeEntry> {
    const GATEWAYS: usize = 3;
    let own = cell_id(cell);
    let mut others: HashMap<&CellId, usize> = HashMap::new();
    entries
        .iter()
        .filter(|entry| {
            let seen = others.entry(&entry.cell).or_default();
            *seen += 1;
            entry.cell == own || *seen <= GATEWAYS
        })
        .cloned()
        .collect()
}

fn cell_id(cell: usize) -> CellId {
    CellId::from(format!("zone-{cell}"))
}

fn node_entries(nodes: usize, cells: usize) -> Vec<NodeEntry> {
    (0..nodes)
        .map(|index| NodeEntry {
            id: NodeId::from(format!("node-{index}")),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            zone: ZoneId::from(format!("zone-{}", index % cells)),
            cell: cell_id(index % cells),
        })
        .collect()
}

fn machine(runner: usize, cell: usize) -> Machine {
    Machine {
        id: BackEndId::from(format!("runner-{runner}")),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 2)),
        zone: ZoneId::from(format!("zone-{cell}")),
        service: "runners".into(),
        role: MachineRole::Engine,
        memory: 640 * GIB,
        slots: SLOTS,
        state: MachineState::Live,
        labels: Labels::default(),
    }
}

fn model_name(model: usize) -> String {
    format!("model-{model}")
}

fn adapter_name(adapter: usize) -> String {
    format!("model-{}+adapter-{adapter}", adapter % target::MODELS)
}

fn first_rows(options: &ScaleOptions) -> Transaction {
    let deployment = DeploymentSpec {
        models: Default::default(),
        versions: Default::default(),
        back_ends: Default::default(),
        max_replicas: 1_000,
        cold_start_weight: 0.5,
    };
    let mut specs = vec![("all".to_owned(), Spec::Deployment(Box::new(deployment)))];
    for model in 0..target::MODELS {
        let memory = bytesize::ByteSize::b(MODEL_BYTES);
        specs.push((model_name(model), Spec::Model(ModelSpec { memory })));
    }
    for adapter in 0..options.adapters {
        let spec = AdapterSpec {
            model: model_name(adapter % target::MODELS).into(),
            memory: bytesize::ByteSize::b(ADAPTER_BYTES),
        };
        specs.push((adapter_name(adapter), Spec::Adapter(spec)));
    }
    let mut puts: Vec<Put> = specs.into_iter().enumerate().map(first_row).collect();
    puts.push(Put {
        key: "configuration/head".to_owned(),
        value: serde_json::json!({"revision": puts.len()}).to_string(),
    });
    Transaction {
        compares: Vec::new(),
        puts,
        reads: Vec::new(),
    }
}

fn first_row((index, (name, spec)): (usize, (String, Spec))) -> Put {
    let row = Row {
        key: RowKey {
            kind: spec.kind(),
            name: name.into(),
        },
        revision: index as u64 + 1,
        labels: Labels::default(),
        spec: Some(spec),
    };
    Put {
        key: format!("configuration/rows/{}", row.key),
        value: serde_json::json!(row).to_string(),
    }
}

/// Resident memory that a configuration takes in a node that shares it with
/// nobody.
fn configuration_memory(options: &ScaleOptions) -> u64 {
    let texts: Vec<String> = first_rows(options)
        .puts
        .into_iter()
        .filter(|put| put.key.starts_with("configuration/rows/"))
        .map(|put| put.value)
        .collect();
    let complete = Revision(texts.len() as u64);
    let before = resident_bytes();
    let rows: Vec<Arc<Row>> = texts
        .iter()
        .filter_map(|text| serde_json::from_str::<Row>(text).ok())
        .map(Arc::new)
        .collect();
    let mut configuration = Configuration::default();
    let merged = configuration.merge(Revision(0), complete, rows);
    let memory = resident_bytes().saturating_sub(before);
    assert_eq!(merged, Ok(true), "the rows connect");
    memory
}

/// Resident memory of this process, as the kernel accounts for it.
fn resident_bytes() -> u64 {
    let Ok(status) = std::fs::read_to_string("/proc/self/status") else {
        return 0;
    };
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|line| line.split_whitespace().next())
        .and_then(|number| number.parse::<u64>().ok())
        .map_or(0, |kibibytes| kibibytes * 1024)
}
