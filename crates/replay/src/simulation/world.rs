//! The simulation: its state, its events, and the loop that runs a trace and returns the history.
//! Times are in microseconds.

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
/// Interval between two ticks of a node, unless the trace sets another.
const DEFAULT_TICK_US: u64 = 50 * MILLISECOND;
/// Interval at which operators read the configuration of all nodes.
const PROBE_INTERVAL_US: u64 = 500 * MILLISECOND;

/// An event of the simulation.
#[derive(Debug)]
pub enum SimEvent {
    /// The timer of a node fires.
    Tick { node: NodeId, incarnation: u32 },
    /// An event reaches the decision logic of a node.
    ToNode {
        node: NodeId,
        incarnation: u32,
        event: Box<Event>,
    },
    /// A transaction reaches the table.
    TableArrives {
        node: NodeId,
        incarnation: u32,
        tag: TransactionTag,
        transaction: Box<Transaction>,
    },
    /// A read request of a node reaches the machine list.
    ListArrives { node: NodeId, incarnation: u32 },
    /// A node's request for a report reaches an engine.
    ReportArrives {
        node: NodeId,
        incarnation: u32,
        back_end: BackEndId,
    },
    /// An order reaches an engine.
    OrderArrives {
        node: NodeId,
        incarnation: u32,
        back_end: BackEndId,
        order: Box<Order>,
    },
    /// A load on an engine ends.
    LoadEnds {
        back_end: BackEndId,
        incarnation: u32,
        artifact: Artifact,
        is_remote: bool,
        reply: OrderReply,
    },
    /// A request reaches a back end. `waited` is the incarnation of the process if the request
    /// waited while the process was suspended.
    CallArrives {
        back_end: BackEndId,
        waited: Option<u32>,
        call: Box<Call>,
    },
    /// A back end has generated an event of a response.
    EventGenerated {
        back_end: BackEndId,
        incarnation: u32,
        to: StreamEnd,
        id: EventId,
        is_last: bool,
    },
    /// A back end has generated a complete response.
    ResponseEnds {
        back_end: BackEndId,
        incarnation: u32,
        artifact: Option<Artifact>,
    },
    /// A node's request for the rest of a stream reaches a back end.
    ResumeArrives {
        back_end: BackEndId,
        to: StreamEnd,
        stream: String,
        next: u64,
    },
    /// An event of a stream, or a notice of its failure, reaches a node.
    StreamArrives { to: StreamEnd, item: StreamItem },
    /// The deadline of an attempt passes at a node.
    AttemptTimesOut { to: StreamEnd, id: TicketId },
    /// A caller sends its request, as the first attempt or as a retry.
    CallerSends { caller: usize },
    /// An event of the trace.
    FromTrace(usize),
    /// A random fault, generated from the seed.
    Fault(Box<crate::trace::format::FaultEvent>),
    /// A node starts.
    NodeStarts { node: NodeId },
    /// A back end restarts.
    BackEndStarts { back_end: BackEndId },
    /// A back end is killed.
    BackEndDies { back_end: BackEndId },
    /// A stopping node checks whether it may exit.
    StopCheck {
        node: NodeId,
        incarnation: u32,
        asked: u64,
        restart: Option<u64>,
    },
    /// Operators read the configuration of every node.
    Probe,
}

/// Recipient of the response of an engine to an order.
#[derive(Clone, Debug)]
pub struct OrderReply {
    /// The node.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: u32,
    /// Fencing token of the order.
    pub fence: Fence,
    /// Sequence number of the order.
    pub sequence: Sequence,
}

/// The node's end of a connection for one request.
#[derive(Clone, Debug)]
pub struct StreamEnd {
    /// The node.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: u32,
    /// The request.
    pub request: RequestId,
    /// The number of the connection.
    pub connection: u32,
}

/// A part of a response, or its failure, as a node receives it.
#[derive(Clone, Debug)]
pub enum StreamItem {
    /// A stream event.
    Event { id: EventId, is_last: bool },
    /// The connection broke.
    Broken,
    /// The request did not reach the back end.
    NotSent,
    /// The back end confirmed that it did not start the request.
    NotStarted,
}

/// State of a simulation.
pub struct Simulation {
    pub(super) now: u64,
    pub(super) queue: EventQueue<SimEvent>,
    pub(super) random: ChaCha8Rng,
    pub(super) seed: u64,
    pub(super) settings: CoordinationSettings,
    /// Interval between two ticks of a node.
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
    pub(super) last_arrivals: HashMap<(String, String), u64>,
    pub(super) history: History,
    pub(super) issued_fences: u64,
    /// Number of events in each complete response, by stream.
    pub(super) stream_lengths: HashMap<String, u64>,
}

/// Runs a trace with a seed, without the mechanism `ablation` if one is given. Returns the history
/// as back ends, callers and operators observed it.
pub fn simulate(trace: &Trace, seed: u64, ablation: Option<Ablation>) -> History {
    let mut simulation = Simulation::new(trace, seed, ablation);
    simulation.run();
    simulation.finish()
}

impl Simulation {
    /// Creates the initial state of a trace.
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
        table.model.transact(&initial_rows(header));
        let mut simulation = Simulation {
            now: 0,
            queue: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            seed,
            settings: settings(header),
            tick: header
                .settings
                .tick
                .map_or(DEFAULT_TICK_US, |tick| tick.as_micros() as u64),
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
            last_arrivals: HashMap::new(),
            history: History::default(),
            issued_fences: 0,
            stream_lengths: HashMap::new(),
        };
        simulation.schedule_start();
        simulation
    }

    fn schedule_start(&mut self) {
        for place in self.trace.header.nodes.clone() {
            let node = NodeId::from(place.id);
            let at = place.start_delay.as_micros() as u64;
            self.queue.add(at, SimEvent::NodeStarts { node });
        }
        for index in 0..self.trace.events.len() {
            let at = self.trace.events[index].at;
            self.queue.add(at, SimEvent::FromTrace(index));
        }
        self.queue.add(PROBE_INTERVAL_US, SimEvent::Probe);
    }

    fn run(&mut self) {
        let end = self.trace.header.duration.as_micros() as u64;
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
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

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick { node, incarnation } => self.tick(node, incarnation),
            SimEvent::ToNode {
                node,
                incarnation,
                event,
            } => self.node_event(node, incarnation, event),
            SimEvent::TableArrives {
                node,
                incarnation,
                tag,
                transaction,
            } => self.table_arrives(node, incarnation, tag, &transaction),
            SimEvent::ReportArrives {
                node,
                incarnation,
                back_end,
            } => self.report_arrives(node, incarnation, back_end),
            SimEvent::ListArrives { node, incarnation } => self.list_arrives(node, incarnation),
            SimEvent::OrderArrives {
                node,
                incarnation,
                back_end,
                order,
            } => self.order_arrives(node, incarnation, back_end, order),
            SimEvent::LoadEnds {
                back_end,
                incarnation,
                artifact,
                is_remote,
                reply,
            } => self.load_ends(&back_end, incarnation, &artifact, is_remote, reply),
            SimEvent::CallArrives {
                back_end,
                waited,
                call,
            } => self.call_arrives(back_end, waited, call),
            SimEvent::EventGenerated {
                back_end,
                incarnation,
                to,
                id,
                is_last,
            } => self.event_generated(&back_end, incarnation, to, id, is_last),
            SimEvent::ResponseEnds {
                back_end,
                incarnation,
                artifact,
            } => self.response_ends(&back_end, incarnation, artifact.as_ref()),
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
            SimEvent::Fault(fault) => self.inject_fault(&fault),
            SimEvent::NodeStarts { node } => self.node_starts(&node),
            SimEvent::BackEndStarts { back_end } => self.back_end_starts(&back_end),
            SimEvent::BackEndDies { back_end } => self.back_end_dies(&back_end),
            SimEvent::StopCheck {
                node,
                incarnation,
                asked,
                restart,
            } => self.stop_check(node, incarnation, asked, restart),
            SimEvent::Probe => self.probe(),
        }
    }

    fn trace_event(&mut self, index: usize) {
        match self.trace.events[index].event.clone() {
            TraceEvent::Request(request) => self.plan_callers(index, &request),
            TraceEvent::Change(change) => self.operator_changes(&change),
            TraceEvent::Fault(fault) => self.inject_fault(&fault),
        }
    }

    pub(super) fn node_starts(&mut self, id: &NodeId) {
        let now = self.now;
        let (settings, seed) = (self.settings.clone(), self.seed);
        let Some(node) = self.nodes.get_mut(id).filter(|node| node.node.is_none()) else {
            return;
        };
        node.start(now, &settings, seed);
        let incarnation = node.incarnation;
        let node = id.clone();
        self.log_event(format!("{id} starts"));
        self.queue.add(now, SimEvent::Tick { node, incarnation });
    }

    fn tick(&mut self, node: NodeId, incarnation: u32) {
        if let Some(resumes) = self.resume_time(&node, incarnation) {
            if resumes > 0 {
                self.queue
                    .add(resumes, SimEvent::Tick { node, incarnation });
            }
            return;
        }
        self.deliver_event(&node, Event::Tick);
        let next = self.now + self.tick;
        self.queue.add(next, SimEvent::Tick { node, incarnation });
    }

    fn node_event(&mut self, node: NodeId, incarnation: u32, event: Box<Event>) {
        match self.resume_time(&node, incarnation) {
            Some(0) => {}
            Some(resumes) => self.queue.add(
                resumes,
                SimEvent::ToNode {
                    node,
                    incarnation,
                    event,
                },
            ),
            None => self.deliver_event(&node, *event),
        }
    }

    /// Time at which a suspended node resumes, `None` if the node can handle an event now, and 0 if
    /// the incarnation has ended.
    pub(super) fn resume_time(&self, node: &NodeId, incarnation: u32) -> Option<u64> {
        let node = self.nodes.get(node)?;
        if node.incarnation != incarnation || node.node.is_none() {
            return Some(0);
        }
        (node.paused_until > self.now).then_some(node.paused_until)
    }

    /// Delivers an event to the decision logic of a node and executes the resulting actions.
    pub(super) fn deliver_event(&mut self, id: &NodeId, event: Event) {
        let now = Timestamp(self.now / MILLISECOND);
        let Some(node) = self.nodes.get(id).and_then(|node| node.node.as_ref()) else {
            return;
        };
        let actions = node.handle(now, event);
        for action in actions {
            self.execute_action(id, action);
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
                incarnation: node.incarnation,
                versions: operator::row_revisions(running),
                undisturbed_since: node.undisturbed_since,
            });
        }
        self.queue
            .add(self.now + PROBE_INTERVAL_US, SimEvent::Probe);
    }

    /// Adds a line to the log of the history, for human readers.
    pub(super) fn log_event(&mut self, text: String) {
        self.history.log.push((self.now, text));
    }
}

fn settings(header: &Header) -> CoordinationSettings {
    let mut settings = CoordinationSettings::default();
    let overrides = &header.settings;
    let placement: &mut PlacementSettings = &mut settings.placement;
    placement.store_starts_per_second = header.store.starts_per_second;
    placement.store_concurrency = header.store.concurrency;
    placement.store_bandwidth = header.store.bandwidth.as_u64();
    if let Some(least) = overrides.keep_alive_min {
        placement.keep_alive_min = least.as_millis() as u64;
    }
    if let Some(most) = overrides.keep_alive_max {
        placement.keep_alive_max = most.as_millis() as u64;
    }
    if let Some(share) = overrides.standby_share {
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

/// Builds the transaction that writes the initial configuration to the table.
fn initial_rows(header: &Header) -> Transaction {
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
