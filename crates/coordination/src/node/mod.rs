//! Combines the components of a node's decision logic and routes events and
//! outputs between them.
//!
//! The inputs are [`Event`]s from any worker thread. The outputs are [`Action`]s
//! for the host.
//!
//! Lock order: `machines`, and after it `configuration` for reading, are locked
//! before any other lock. `configuration` is locked for writing only while no
//! other lock is held. Of `membership`, `placement`, `queues`, `front`,
//! `claims`, `watcher` and `writer`, a worker locks only one at a time. The
//! output of one component for another is passed on as a value after the lock
//! of the first component has been released.

mod apply;
mod receive;
mod replication;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use gorsebank_contract::{Epoch, NodeState, PeerMessage, RequestId, Revision};
use gorsebank_world::{MachineList, NodeEntry, NodeId, QueueKey};
use parking_lot::{Mutex, RwLock};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::claim_member::ClaimMember;
use crate::claim_round::ClaimRounds;
use crate::configuration::{Configuration, ResolveError};
use crate::configuration_writer::ConfigurationWriter;
use crate::event::{Action, ChangeError, Event, TransactionTag};
use crate::front::{Front, FrontCounts};
use crate::machines::MachineTable;
use crate::membership::{HeartbeatState, Identity, Membership, View};
use crate::placement::Placement;
use crate::queues::Queues;
use crate::settings::CoordinationSettings;
use crate::time::{Periodic, Timestamp};
use crate::watcher::Watcher;

/// Number of nodes of a cell that read the platform's machine list.
const MACHINE_LIST_READERS: usize = 2;
/// Rendezvous key of the nodes that read the machine list.
const MACHINE_LIST_KEY: &str = "machine-list";
/// Rendezvous key of the node that polls the head row of the configuration.
const CONFIGURATION_KEY: &str = "configuration";

/// Status of a node, for operators and metrics.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// Live nodes of the cell.
    pub view: Arc<View>,
    /// Revision of the configuration on this node.
    pub revision: Revision,
    /// Whether the machine list is known.
    pub knows_machines: bool,
    /// Whether this node holds the placement lease.
    pub is_holder: bool,
    /// Number of requests at this front without a final response.
    pub pending: usize,
    /// Number of tickets in the queues that this node owns.
    pub waiting: usize,
    /// Number of queues on this node.
    pub queues: usize,
    /// Number of claims recorded by this node.
    pub claims: usize,
    /// Claim epoch known to this node.
    pub claim_epoch: Epoch,
    /// Number of loads ordered by this node.
    pub loads_ordered: u64,
    /// Counts of request outcomes.
    pub front: FrontCounts,
}

/// Both roles of a node in claiming: client of the claim group, and member.
#[derive(Debug)]
struct Claims {
    rounds: ClaimRounds,
    member: ClaimMember,
}

/// Decision logic of one node. All methods may be called from any thread.
#[derive(Debug)]
pub struct Node {
    identity: Identity,
    settings: CoordinationSettings,
    machines: RwLock<Arc<MachineTable>>,
    configuration: RwLock<Configuration>,
    membership: Mutex<Membership>,
    placement: Mutex<Placement>,
    queues: Mutex<Queues>,
    front: Mutex<Front>,
    claims: Mutex<Claims>,
    writer: Mutex<ConfigurationWriter>,
    watcher: Mutex<Watcher>,
    machine_list_timer: Mutex<Periodic>,
    last_request_number: AtomicU64,
}

/// Context of the handling of one event: the time, the actions for the host, and
/// the messages from this node to itself that have yet to be handled.
struct EventContext {
    now: Timestamp,
    actions: Vec<Action>,
    local_messages: VecDeque<PeerMessage>,
}

impl Node {
    /// Creates a node that starts at `now`. All random numbers derive from `seed`.
    pub fn new(
        identity: Identity,
        settings: CoordinationSettings,
        now: Timestamp,
        seed: u64,
    ) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let heartbeat = settings.membership.heartbeat_interval;
        let placement = Placement::new(
            identity.clone(),
            settings.placement.clone(),
            settings.claims.clone(),
            now + heartbeat * 2,
        );
        Node {
            machines: RwLock::default(),
            configuration: RwLock::default(),
            membership: Mutex::new(Membership::new(
                identity.clone(),
                settings.membership.clone(),
            )),
            placement: Mutex::new(placement),
            queues: Mutex::new(Queues::new(settings.routing.clone())),
            front: Mutex::new(Front::new(
                identity.node.clone(),
                settings.routing.clone(),
                random,
            )),
            claims: Mutex::new(Claims {
                rounds: ClaimRounds::new(settings.claims.clone()),
                member: ClaimMember::new(settings.claims.clone()),
            }),
            writer: Mutex::new(ConfigurationWriter::new(
                identity.node.clone(),
                identity.incarnation,
            )),
            watcher: Mutex::default(),
            machine_list_timer: Mutex::new(Periodic::every(
                settings.membership.machine_list_interval,
            )),
            last_request_number: AtomicU64::new(0),
            identity,
            settings,
        }
    }

    /// Returns the identity of this node.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns an id for a new request.
    pub fn new_request(&self) -> RequestId {
        let number = self.last_request_number.fetch_add(1, Ordering::Relaxed) + 1;
        let scope = crate::rendezvous::weight("requests", &self.identity.node)
            .wrapping_add(self.identity.incarnation.0);
        RequestId(scope, number)
    }

    /// Returns the queue in which a request for the model `name` waits.
    pub fn resolve(&self, name: &str) -> Result<QueueKey, ResolveError> {
        self.configuration.read().resolve(name)
    }

    /// Calls `read` with the configuration.
    pub fn with_configuration<T>(&self, read: impl FnOnce(&Configuration) -> T) -> T {
        read(&self.configuration.read())
    }

    /// Returns the machine list as this node knows it.
    pub fn machines(&self) -> Arc<MachineTable> {
        Arc::clone(&self.machines.read())
    }

    /// Sets the nodes that are known before the machine list has been read.
    pub fn add_seeds(&self, entries: &[NodeEntry]) {
        self.membership.lock().set_candidates(entries);
    }

    /// Returns the entry of another node, with its address.
    pub fn peer(&self, node: &NodeId) -> Option<NodeEntry> {
        self.membership.lock().entry(node).cloned()
    }

    /// Returns the status of this node for operators and metrics.
    pub fn status(&self) -> NodeStatus {
        let revision = self.configuration.read().complete();
        let view = self.view();
        let (is_holder, loads_ordered) = {
            let placement = self.placement.lock();
            (placement.fence().is_some(), placement.loads_ordered())
        };
        let (waiting, queues) = {
            let queues = self.queues.lock();
            (queues.waiting_count(), queues.queue_count())
        };
        let (pending, front) = {
            let front = self.front.lock();
            (front.pending_count(), front.counts())
        };
        let (claims, claim_epoch) = {
            let claims = self.claims.lock();
            (claims.member.record_count(), claims.rounds.group().epoch)
        };
        NodeStatus {
            view,
            revision,
            knows_machines: self.machines().version() > 0,
            is_holder,
            pending,
            waiting,
            queues,
            claims,
            claim_epoch,
            loads_ordered,
            front,
        }
    }

    /// Whether a stopping node has completed its work: no request or change is open
    /// on this node, and no other node depends on the claims that it records.
    pub fn is_drained(&self) -> bool {
        let is_idle = self.front.lock().pending_count() == 0 && self.writer.lock().is_idle();
        let is_member = {
            let claims = self.claims.lock();
            claims
                .rounds
                .group()
                .members
                .contains_key(&self.identity.node)
        };
        let is_alone = self.view().active().next().is_none();
        is_idle && (!is_member || is_alone)
    }

    fn view(&self) -> Arc<View> {
        self.membership.lock().view()
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle(&self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut context = EventContext {
            now,
            actions: Vec::new(),
            local_messages: VecDeque::new(),
        };
        self.dispatch(&mut context, event);
        while let Some(message) = context.local_messages.pop_front() {
            self.receive(&mut context, &self.identity.node, message);
        }
        context.actions
    }

    fn dispatch(&self, context: &mut EventContext, event: Event) {
        let now = context.now;
        match event {
            Event::Tick => self.tick(context),
            Event::Received { from, message } => self.receive(context, &from, message),
            Event::RequestArrived(arrival) => {
                let (view, machines) = (self.view(), self.machines());
                let output = self
                    .front
                    .lock()
                    .accept_request(now, arrival, &view, &machines);
                self.apply_front(context, output);
            }
            Event::RequestAbandoned(request) => {
                let output = self.front.lock().cancel_request(now, request);
                self.apply_front(context, output);
            }
            Event::AttemptEnded { id, outcome } => {
                let output = self.front.lock().apply_outcome(now, id, outcome);
                self.apply_front(context, output);
            }
            Event::TableAnswered { tag, answer } => match tag {
                TransactionTag::Placement(number) => {
                    let view = self.view();
                    let output = self
                        .placement
                        .lock()
                        .apply_table_response(now, number, answer, &view);
                    self.apply_placement(context, output);
                    self.tick_placement(context);
                }
                TransactionTag::Configuration(number) => {
                    let output = {
                        let configuration = self.configuration.read();
                        self.writer
                            .lock()
                            .handle_answer(now, number, answer, &configuration)
                    };
                    self.apply_writer(context, output);
                    self.tick_writer(context);
                }
            },
            Event::MachineListRead(list) => {
                let updated = self.machines().with_read_list(list);
                self.apply_machine_list(context, updated, true);
            }
            Event::OrderAnswered {
                back_end,
                fence,
                sequence,
                result,
            } => {
                self.placement
                    .lock()
                    .apply_order_result(now, &back_end, fence, sequence, result);
                self.tick_placement(context);
            }
            Event::ReportRead { back_end, report } => {
                let view = self.view();
                let update = self
                    .watcher
                    .lock()
                    .handle_report(&back_end, report, view.fence);
                if let (Some(update), Some(holder)) = (update, &view.holder) {
                    let message = PeerMessage::Report {
                        back_end: update.back_end,
                        report: update.report,
                    };
                    self.send(context, holder.clone(), message);
                }
            }
            Event::ChangeRequested { id, change } => {
                if self.membership.lock().state() == NodeState::Draining {
                    let result = Err(ChangeError::Stopping);
                    context.actions.push(Action::AnswerChange { id, result });
                    return;
                }
                self.writer.lock().submit(now, id, change);
                self.tick_writer(context);
            }
            Event::StopRequested => {
                self.placement.lock().stop();
                self.membership.lock().start_draining();
                self.tick(context);
            }
        }
    }

    fn tick(&self, context: &mut EventContext) {
        let now = context.now;
        self.membership.lock().expire(now);
        self.send_heartbeats(context);
        self.read_machine_list(context);
        self.read_reports(context);
        self.tick_placement(context);
        self.tick_queues(context);
        let (view, machines) = (self.view(), self.machines());
        let output = self.front.lock().tick(now, &view, &machines);
        self.apply_front(context, output);
        let output = {
            let mut claims = self.claims.lock();
            claims.member.tick(now);
            claims.rounds.tick(now)
        };
        self.apply_rounds(context, output);
        self.tick_writer(context);
    }

    fn send_heartbeats(&self, context: &mut EventContext) {
        let held_fence = self.placement.lock().fence();
        let revision = self.configuration.read().complete();
        let machines = self.machines().version();
        let epoch = self.claims.lock().rounds.group().epoch;
        let state = HeartbeatState {
            revision,
            held_fence,
            epoch,
            machines,
        };
        let due_heartbeat = {
            let mut membership = self.membership.lock();
            membership.set_held_fence(held_fence);
            membership.heartbeat(context.now, state)
        };
        let Some((heartbeat, receivers)) = due_heartbeat else {
            return;
        };
        for to in receivers {
            let message = PeerMessage::Heartbeat(heartbeat.clone());
            context.actions.push(Action::Send { to, message });
        }
    }

    fn read_machine_list(&self, context: &mut EventContext) {
        let is_unknown = self.machines().version() == 0;
        let is_reader = is_unknown
            || self.view().is_among_first(
                MACHINE_LIST_KEY,
                &self.identity.node,
                MACHINE_LIST_READERS,
            );
        if is_reader && self.machine_list_timer.lock().due(context.now) {
            context.actions.push(Action::ReadMachineList);
        }
    }

    fn read_reports(&self, context: &mut EventContext) {
        let (view, machines) = (self.view(), self.machines());
        let due = self
            .watcher
            .lock()
            .tick(context.now, &self.identity.node, &view, &machines);
        context.actions.extend(
            due.into_iter()
                .map(|machine| Action::ReadReport { machine }),
        );
    }

    fn tick_placement(&self, context: &mut EventContext) {
        let (view, machines) = (self.view(), self.machines());
        let output = {
            let configuration = self.configuration.read();
            self.placement
                .lock()
                .tick(context.now, &view, &machines, &configuration)
        };
        self.apply_placement(context, output);
    }

    fn tick_queues(&self, context: &mut EventContext) {
        let view = self.view();
        let (returned, decisions, demands) = {
            let mut queues = self.queues.lock();
            queues.apply_view(&view);
            let returned = queues.return_tickets(&view, &self.identity.node);
            let decisions = queues.review(context.now);
            let demands = queues.due_demands(context.now);
            (returned, decisions, demands)
        };
        for (front, id) in returned {
            self.send(context, front, PeerMessage::Returned(vec![id]));
        }
        self.apply_decisions(context, decisions);
        self.send_demands(context, &view, demands);
    }

    fn tick_writer(&self, context: &mut EventContext) {
        let is_head_reader = self.view().owner(CONFIGURATION_KEY) == Some(&self.identity.node);
        let output = {
            let configuration = self.configuration.read();
            self.writer
                .lock()
                .tick(context.now, &configuration, is_head_reader)
        };
        self.apply_writer(context, output);
    }

    /// Returns the settings of this node.
    pub fn settings(&self) -> &CoordinationSettings {
        &self.settings
    }
}

fn machines_message(table: &MachineTable) -> PeerMessage {
    let machines: MachineList = table.list().clone();
    PeerMessage::Machines {
        version: table.version(),
        machines,
    }
}
