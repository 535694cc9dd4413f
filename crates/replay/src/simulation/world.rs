//! The simulated world: its parts, its event queue, and the run.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

use gorsebank_contract::{Compare, Fence, Order, Put, RequestId, Sequence, TicketId, Transaction};
use gorsebank_coordination::settings::PlacementSettings;
use gorsebank_coordination::{
    ChangeId, CoordinationSettings, Event, EventId, Timestamp, TransactionTag,
};
use gorsebank_emulator::model::store::{StoreModel, StoreSettings};
use gorsebank_world::{
    Artifact, BackEndId, CellId, Labels, Machine, MachineList, MachineState, NodeEntry, NodeId,
    Row, RowKey, ZoneId,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ablation::Ablation;
use crate::history::{ConfigurationReading, EngineHistory, History};
use crate::simulation::back_end::{Call, SimBackEnd};
use crate::simulation::caller::CallerPlan;
use crate::simulation::network::Network;
use crate::simulation::node_host::{CELL, SimNode};
use crate::simulation::operator;
use crate::simulation::platform::{LaggingList, Store, Table};
use crate::simulation::queue::EventQueue;
use crate::trace::format::{BackEndEntry, Header, TraceEvent};
use crate::trace::parse::Trace;

/// Microseconds in a millisecond.
pub const MILLISECOND: u64 = 1_000;
/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;
/// Between two ticks of a node, unless the trace says otherwise.
const TICK: u64 = 50 * MILLISECOND;
/// Between two readings of the configuration by operators.
const PROBE: u64 = 500 * MILLISECOND;

/// What happens next in the world.
#[derive(Debug)]
pub enum SimEvent {
    /// A node's clock ticks.
    Tick { node: NodeId, life: u32 },
    /// Something reaches a node's decision logic.
    ToNode {
        node: NodeId,
        life: u32,
        event: Box<Event>,
    },
    /// A transaction reaches the table.
    TableArrives {
        node: NodeId,
        life: u32,
        tag: TransactionTag,
        transaction: Box<Transaction>,
    },
    /// A node's reading reaches the machine list.
    ListArrives { node: NodeId, life: u32 },
    /// A node's reading reaches an engine.
    ReportArrives {
        node: NodeId,
        life: u32,
        back_end: BackEndId,
    },
    /// An order reaches an engine.
    OrderArrives {
        node: NodeId,
        life: u32,
        back_end: BackEndId,
        order: Box<Order>,
    },
    /// A load is over.
    LoadEnds {
        back_end: BackEndId,
        life: u32,
        artifact: Artifact,
        is_remote: bool,
        reply: OrderReply,
    },
    /// A request reaches a back end; if it has waited for a process that
    /// stood still, the life of that process.
    CallArrives {
        back_end: BackEndId,
        waited: Option<u32>,
        call: Box<Call>,
    },
    /// A back end has made an event of an answer.
    EventMade {
        back_end: BackEndId,
        life: u32,
        to: StreamEnd,
        id: EventId,
        is_last: bool,
    },
    /// A back end has made the whole answer.
    AnswerEnds {
        back_end: BackEndId,
        life: u32,
        artifact: Option<Artifact>,
    },
    /// A node asks for the rest of a stream.
    ResumeArrives {
        back_end: BackEndId,
        to: StreamEnd,
        stream: String,
        next: u64,
    },
    /// Something of an answer reaches a node.
    StreamArrives { to: StreamEnd, item: StreamItem },
    /// A node has waited for an answer until its deadline.
    AttemptTimesOut { to: StreamEnd, id: TicketId },
    /// A caller sends its request for the first time or again.
    CallerSends { caller: usize },
    /// An event of the trace.
    FromTrace(usize),
    /// A fault made from the seed.
    Fault(Box<crate::trace::format::FaultEvent>),
    /// A node starts.
    NodeStarts { node: NodeId },
    /// A back end starts again.
    BackEndStarts { back_end: BackEndId },
    /// A back end dies.
    BackEndDies { back_end: BackEndId },
    /// A stopping node looks whether it may end.
    StopCheck {
        node: NodeId,
        life: u32,
        asked: u64,
        restart: Option<u64>,
    },
    /// Operators read the configuration everywhere.
    Probe,
}

/// To whom an engine answers an order.
#[derive(Clone, Debug)]
pub struct OrderReply {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub life: u32,
    /// The order's fence.
    pub fence: Fence,
    /// The order's sequence.
    pub sequence: Sequence,
}

/// The node's end of a connection for one request.
#[derive(Clone, Debug)]
pub struct StreamEnd {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub life: u32,
    /// The request.
    pub request: RequestId,
    /// The connection.
    pub connection: u32,
}

/// What arrives of an answer.
#[derive(Clone, Debug)]
pub enum StreamItem {
    /// An event.
    Event { id: EventId, is_last: bool },
    /// The connection broke.
    Broken,
    /// Nothing was sent.
    NotSent,
    /// The back end attests that it did not start.
    NotStarted,
}

/// The world.
pub struct Simulation {
    pub(super) now: u64,
    pub(super) queue: EventQueue<SimEvent>,
    pub(super) random: ChaCha8Rng,
    pub(super) seed: u64,
    pub(super) settings: CoordinationSettings,
    /// Between two ticks of a node.
    tick: u64,
    pub(super) ablation: Option<Ablation>,
    pub(super) trace: Trace,
    pub(super) nodes: BTreeMap<NodeId, SimNode>,
    pub(super) back_ends: BTreeMap<BackEndId, SimBackEnd>,
    pub(super) network: Network,
    pub(super) table: Table,
    pub(super) list: LaggingList,
    pub(super) store: Store,
    pub(super) callers: Vec<CallerPlan>,
    pub(super) changes: HashMap<ChangeId, usize>,
    pub(super) last_on_link: HashMap<(String, String), u64>,
    pub(super) history: History,
    pub(super) fences_given: u64,
    /// Events of every whole answer, by stream.
    pub(super) wholes: HashMap<String, u64>,
}

/// Plays a trace on a seed; gives what back ends, callers and operators saw.
pub fn play(trace: &Trace, seed: u64, ablation: Option<Ablation>) -> History {
    let mut simulation = Simulation::new(trace, seed, ablation);
    simulation.run();
    simulation.finish()
}

impl Simulation {
    /// The world at the beginning of a trace.
    pub fn new(trace: &Trace, seed: u64, ablation: Option<Ablation>) -> Self {
        let header = &trace.header;
        let list = machine_list(header);
        let mut network = Network::new(header.links.clone());
        let mut nodes = BTreeMap::new();
        for place in &header.nodes {
            network.place(&place.id, &place.zone);
            let id = NodeId::from(place.id.as_str());
            let zone = ZoneId::from(place.zone.as_str());
            nodes.insert(id.clone(), SimNode::new(id, zone));
        }
        let mut back_ends = BTreeMap::new();
        for (entry, machine) in header.back_ends.iter().zip(&list.back_ends) {
            network.place(&entry.id, &entry.zone);
            let back_end = SimBackEnd::new(entry.clone(), machine.clone());
            back_ends.insert(machine.id.clone(), back_end);
        }
        let store = StoreModel::new(StoreSettings {
            starts_per_second: header.store.starts_per_second,
            concurrency: header.store.concurrency,
            bandwidth: header.store.bandwidth.as_u64(),
        });
        let mut table = Table::default();
        table.model.transact(&first_rows(header));
        let mut simulation = Simulation {
            now: 0,
            queue: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            seed,
            settings: settings(header),
            tick: header
                .settings
                .tick
                .map_or(TICK, |tick| tick.as_micros() as u64),
            ablation,
            trace: trace.clone(),
            nodes,
            back_ends,
            network,
            table,
            list: LaggingList::new(list, header.machine_list_lag.as_micros() as u64),
            store: Store::new(store),
            callers: Vec::new(),
            changes: HashMap::new(),
            last_on_link: HashMap::new(),
            history: History::default(),
            fences_given: 0,
            wholes: HashMap::new(),
        };
        simulation.schedule_start();
        simulation
    }

    fn schedule_start(&mut self) {
        for place in self.trace.header.nodes.clone() {
            let node = NodeId::from(place.id);
            let at = place.starts.as_micros() as u64;
            self.queue.add(at, SimEvent::NodeStarts { node });
        }
        for index in 0..self.trace.events.len() {
            let at = self.trace.events[index].at;
            self.queue.add(at, SimEvent::FromTrace(index));
        }
        self.queue.add(PROBE, SimEvent::Probe);
    }

    fn run(&mut self) {
        let end = self.trace.header.duration.as_micros() as u64;
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(event);
        }
        self.now = end;
    }

    fn finish(mut self) -> History {
        self.history.end = self.now;
        for (id, back_end) in self.back_ends {
            let engine = EngineHistory {
                memory: back_end.entry.memory.as_u64(),
                records: back_end.engine.history().to_vec(),
            };
            self.history.engines.insert(id, engine);
        }
        self.history
    }

    fn happen(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick { node, life } => self.tick(node, life),
            SimEvent::ToNode { node, life, event } => self.node_event(node, life, event),
            SimEvent::TableArrives {
                node,
                life,
                tag,
                transaction,
            } => self.table_arrives(node, life, tag, &transaction),
            SimEvent::ReportArrives {
                node,
                life,
                back_end,
            } => self.report_arrives(node, life, back_end),
            SimEvent::ListArrives { node, life } => self.list_arrives(node, life),
            SimEvent::OrderArrives {
                node,
                life,
                back_end,
                order,
            } => self.order_arrives(node, life, back_end, order),
            SimEvent::LoadEnds {
                back_end,
                life,
                artifact,
                is_remote,
                reply,
            } => self.load_ends(&back_end, life, &artifact, is_remote, reply),
            SimEvent::CallArrives {
                back_end,
                waited,
                call,
            } => self.call_arrives(back_end, waited, call),
            SimEvent::EventMade {
                back_end,
                life,
                to,
                id,
                is_last,
            } => self.event_made(&back_end, life, to, id, is_last),
            SimEvent::AnswerEnds {
                back_end,
                life,
                artifact,
            } => self.answer_ends(&back_end, life, artifact.as_ref()),
            SimEvent::ResumeArrives {
                back_end,
                to,
                stream,
                next,
            } => self.resume_arrives(back_end, to, stream, next),
            SimEvent::StreamArrives { to, item } => self.stream_arrives(to, item),
            SimEvent::AttemptTimesOut { to, id } => self.attempt_times_out(&to, id),
            SimEvent::CallerSends { caller } => self.caller_sends(caller),
            SimEvent::FromTrace(index) => self.trace_event(index),
            SimEvent::Fault(fault) => self.fault(&fault),
            SimEvent::NodeStarts { node } => self.node_starts(&node),
            SimEvent::BackEndStarts { back_end } => self.back_end_starts(&back_end),
            SimEvent::BackEndDies { back_end } => self.back_end_dies(&back_end),
            SimEvent::StopCheck {
                node,
                life,
                asked,
                restart,
            } => self.stop_check(node, life, asked, restart),
            SimEvent::Probe => self.probe(),
        }
    }

    fn trace_event(&mut self, index: usize) {
        match self.trace.events[index].event.clone() {
            TraceEvent::Request(request) => self.plan_callers(index, &request),
            TraceEvent::Change(change) => self.operator_changes(&change),
            TraceEvent::Fault(fault) => self.fault(&fault),
        }
    }

    pub(super) fn node_starts(&mut self, id: &NodeId) {
        let now = self.now;
        let (settings, seed) = (self.settings.clone(), self.seed);
        let Some(node) = self.nodes.get_mut(id).filter(|node| node.node.is_none()) else {
            return;
        };
        node.start(now, &settings, seed);
        let life = node.life;
        let node = id.clone();
        self.note(format!("{id} starts"));
        self.queue.add(now, SimEvent::Tick { node, life });
    }

    fn tick(&mut self, node: NodeId, life: u32) {
        if let Some(resumes) = self.defer(&node, life) {
            if resumes > 0 {
                self.queue.add(resumes, SimEvent::Tick { node, life });
            }
            return;
        }
        self.tell(&node, Event::Tick);
        let next = self.now + self.tick;
        self.queue.add(next, SimEvent::Tick { node, life });
    }

    fn node_event(&mut self, node: NodeId, life: u32, event: Box<Event>) {
        match self.defer(&node, life) {
            Some(0) => {}
            Some(resumes) => self
                .queue
                .add(resumes, SimEvent::ToNode { node, life, event }),
            None => self.tell(&node, *event),
        }
    }

    /// `None` if the node can take something now; otherwise when it can, or 0
    /// if that life is over.
    pub(super) fn defer(&self, node: &NodeId, life: u32) -> Option<u64> {
        let node = self.nodes.get(node)?;
        if node.life != life || node.node.is_none() {
            return Some(0);
        }
        (node.paused_until > self.now).then_some(node.paused_until)
    }

    /// Hands an event to a node and carries out what follows.
    pub(super) fn tell(&mut self, id: &NodeId, event: Event) {
        let now = Timestamp(self.now / MILLISECOND);
        let Some(node) = self.nodes.get(id).and_then(|node| node.node.as_ref()) else {
            return;
        };
        let actions = node.handle(now, event);
        for action in actions {
            self.perform(id, action);
        }
    }

    fn probe(&mut self) {
        for (id, node) in &self.nodes {
            let Some(running) = &node.node else {
                continue;
            };
            if node.paused_until > self.now {
                continue;
            }
            self.history.readings.push(ConfigurationReading {
                at: self.now,
                node: id.clone(),
                life: node.life,
                versions: operator::versions(running),
                undisturbed_since: node.undisturbed_since,
            });
        }
        self.queue.add(self.now + PROBE, SimEvent::Probe);
    }

    /// Notes something for people who read the history.
    pub(super) fn note(&mut self, text: String) {
        self.history.log.push((self.now, text));
    }
}

fn settings(header: &Header) -> CoordinationSettings {
    let mut settings = CoordinationSettings::default();
    let stated = &header.settings;
    let placement: &mut PlacementSettings = &mut settings.placement;
    placement.store_starts_per_second = header.store.starts_per_second;
    placement.store_concurrency = header.store.concurrency;
    placement.store_bandwidth = header.store.bandwidth.as_u64();
    if let Some(least) = stated.keep_alive_min {
        placement.keep_alive_min = least.as_millis() as u64;
    }
    if let Some(most) = stated.keep_alive_max {
        placement.keep_alive_max = most.as_millis() as u64;
    }
    if let Some(share) = stated.standby_share {
        placement.standby_share = share;
    }
    settings
}

fn machine_list(header: &Header) -> MachineList {
    let address = |index: usize| SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + index as u16));
    let nodes = header
        .nodes
        .iter()
        .enumerate()
        .map(|(index, place)| NodeEntry {
            id: NodeId::from(place.id.as_str()),
            address: address(index),
            zone: ZoneId::from(place.zone.as_str()),
            cell: CellId::from(CELL),
        })
        .collect();
    let back_ends = header
        .back_ends
        .iter()
        .enumerate()
        .map(|(index, entry)| machine(entry, address(header.nodes.len() + index)))
        .collect();
    MachineList { nodes, back_ends }
}

fn machine(entry: &BackEndEntry, address: SocketAddr) -> Machine {
    Machine {
        id: BackEndId::from(entry.id.as_str()),
        address,
        zone: ZoneId::from(entry.zone.as_str()),
        service: entry.service.as_str().into(),
        role: entry.role,
        memory: entry.memory.as_u64(),
        slots: entry.slots,
        state: MachineState::Live,
        labels: Labels::default(),
    }
}

/// The configuration at the start, as the table has it.
fn first_rows(header: &Header) -> Transaction {
    let mut puts = Vec::new();
    for (index, entry) in header.rows.iter().enumerate() {
        let key = RowKey {
            kind: entry.spec.kind(),
            name: entry.name.as_str().into(),
        };
        let row = Row {
            revision: index as u64 + 1,
            labels: entry.labels.clone(),
            spec: Some(entry.spec.clone()),
            key,
        };
        puts.push(Put {
            key: format!("configuration/rows/{}", row.key),
            value: serde_json::json!(row).to_string(),
        });
    }
    puts.push(Put {
        key: "configuration/head".to_owned(),
        value: serde_json::json!({"revision": header.rows.len()}).to_string(),
    });
    Transaction {
        compares: Vec::<Compare>::new(),
        puts,
        reads: Vec::new(),
    }
}
