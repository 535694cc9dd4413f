//! A node's decision logic as a whole: shared tables and the paths between.
//!
//! In: [`Event`]s from any worker. Out: [`Action`]s for the host.
//!
//! Lock order. Snapshots (`machines`, then `configuration` for reading) are
//! taken before any other lock, and `configuration` for writing only with no
//! other lock held. Of `membership`, `placement`, `queues`, `front`, `claims`
//! `watcher` and `writer` a worker holds one at a time; what one decides for
//! another is passed on as a value after its lock is free.

mod apply;
mod receive;
mod spread;

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
use crate::membership::{Identity, Membership, Standing, View};
use crate::placement::Placement;
use crate::queues::Queues;
use crate::settings::CoordinationSettings;
use crate::time::{Periodic, Timestamp};
use crate::watcher::Watcher;

/// Nodes of a cell that read the platform's machine list.
const MACHINE_LIST_READERS: usize = 2;
/// Duty names in rendezvous hashing.
const MACHINE_LIST_DUTY: &str = "machine-list";
const CONFIGURATION_DUTY: &str = "configuration";

/// A node's figures, for operators and metrics.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// The live nodes of the cell.
    pub view: Arc<View>,
    /// The configuration revision that is in force here.
    pub revision: Revision,
    /// Whether the machine list is known.
    pub knows_machines: bool,
    /// Whether this node holds the placement lease.
    pub is_holder: bool,
    /// Requests at this front without a final answer.
    pub pending: usize,
    /// Tickets in queues that this node owns.
    pub waiting: usize,
    /// Queues that this node keeps.
    pub queues: usize,
    /// Claims recorded here.
    pub claims: usize,
    /// The claim epoch that is known here.
    pub claim_epoch: Epoch,
    /// Loads ordered by this node.
    pub loads_ordered: u64,
    /// What became of requests.
    pub front: FrontCounts,
}

#[derive(Debug)]
struct Claims {
    rounds: ClaimRounds,
    member: ClaimMember,
}

/// The decision logic of one node. All methods may be called from any thread.
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
    machine_list_reads: Mutex<Periodic>,
    requests: AtomicU64,
}

/// Outputs of one call, with messages to this node itself still to be handled.
struct Turn {
    now: Timestamp,
    actions: Vec<Action>,
    own: VecDeque<PeerMessage>,
}

impl Node {
    /// A node that starts at `now`. `seed` drives every random choice.
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
            machine_list_reads: Mutex::new(Periodic::every(
                settings.membership.machine_list_interval,
            )),
            requests: AtomicU64::new(0),
            identity,
            settings,
        }
    }

    /// Who this node is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// An id for a new request.
    pub fn new_request(&self) -> RequestId {
        let number = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        let scope = crate::rendezvous::weight("requests", &self.identity.node)
            .wrapping_add(self.identity.incarnation.0);
        RequestId(scope, number)
    }

    /// What a request for a model of that name waits for.
    pub fn resolve(&self, name: &str) -> Result<QueueKey, ResolveError> {
        self.configuration.read().resolve(name)
    }

    /// Reads the configuration.
    pub fn with_configuration<T>(&self, read: impl FnOnce(&Configuration) -> T) -> T {
        read(&self.configuration.read())
    }

    /// The machine list as this node knows it.
    pub fn machines(&self) -> Arc<MachineTable> {
        Arc::clone(&self.machines.read())
    }

    /// Nodes that are known before the machine list was read.
    pub fn add_seeds(&self, entries: &[NodeEntry]) {
        self.membership.lock().set_candidates(entries);
    }

    /// Where another node listens.
    pub fn peer(&self, node: &NodeId) -> Option<NodeEntry> {
        self.membership.lock().entry(node).cloned()
    }

    /// Figures for operators and metrics.
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

    /// Whether a stopping node has handed everything over: no request is open
    /// here and no other node relies on its claims.
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

    /// Handles one event.
    pub fn handle(&self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut turn = Turn {
            now,
            actions: Vec::new(),
            own: VecDeque::new(),
        };
        self.dispatch(&mut turn, event);
        while let Some(message) = turn.own.pop_front() {
            self.receive(&mut turn, &self.identity.node, message);
        }
        turn.actions
    }

    fn dispatch(&self, turn: &mut Turn, event: Event) {
        let now = turn.now;
        match event {
            Event::Tick => self.tick(turn),
            Event::Received { from, message } => self.receive(turn, &from, message),
            Event::RequestArrived(arrival) => {
                let (view, machines) = (self.view(), self.machines());
                let output = self.front.lock().arrive(now, arrival, &view, &machines);
                self.apply_front(turn, output);
            }
            Event::RequestAbandoned(request) => {
                let output = self.front.lock().abandoned(now, request);
                self.apply_front(turn, output);
            }
            Event::AttemptEnded { id, outcome } => {
                let output = self.front.lock().attempt_ended(now, id, outcome);
                self.apply_front(turn, output);
            }
            Event::TableAnswered { tag, answer } => match tag {
                TransactionTag::Placement(number) => {
                    let view = self.view();
                    let output = self
                        .placement
                        .lock()
                        .table_answered(now, number, answer, &view);
                    self.apply_placement(turn, output);
                    self.tick_placement(turn);
                }
                TransactionTag::Configuration(number) => {
                    let output = {
                        let configuration = self.configuration.read();
                        self.writer
                            .lock()
                            .answered(now, number, answer, &configuration)
                    };
                    self.apply_writer(turn, output);
                    self.step_writer(turn);
                }
            },
            Event::MachineListRead(list) => {
                let replaced = self.machines().read(list);
                self.take_machines(turn, replaced, true);
            }
            Event::OrderAnswered {
                back_end,
                fence,
                sequence,
                result,
            } => {
                self.placement
                    .lock()
                    .order_answered(now, &back_end, fence, sequence, result);
                self.tick_placement(turn);
            }
            Event::ReportRead { back_end, report } => {
                let view = self.view();
                let news = self.watcher.lock().read(&back_end, report, view.fence);
                if let (Some(news), Some(holder)) = (news, &view.holder) {
                    let message = PeerMessage::Report {
                        back_end: news.back_end,
                        report: news.report,
                    };
                    self.send(turn, holder.clone(), message);
                }
            }
            Event::ChangeRequested { id, change } => {
                if self.membership.lock().state() == NodeState::Leaving {
                    let result = Err(ChangeError::Stopping);
                    turn.actions.push(Action::AnswerChange { id, result });
                    return;
                }
                self.writer.lock().submit(now, id, change);
                self.step_writer(turn);
            }
            Event::StopRequested => {
                self.placement.lock().stop();
                self.membership.lock().leave();
                self.tick(turn);
            }
        }
    }

    fn tick(&self, turn: &mut Turn) {
        let now = turn.now;
        self.membership.lock().expire(now);
        self.send_heartbeats(turn);
        self.read_machine_list(turn);
        self.read_reports(turn);
        self.tick_placement(turn);
        self.tick_queues(turn);
        let (view, machines) = (self.view(), self.machines());
        let output = self.front.lock().tick(now, &view, &machines);
        self.apply_front(turn, output);
        let output = {
            let mut claims = self.claims.lock();
            claims.member.tick(now);
            claims.rounds.tick(now)
        };
        self.apply_rounds(turn, output);
        self.step_writer(turn);
    }

    fn send_heartbeats(&self, turn: &mut Turn) {
        let held = self.placement.lock().fence();
        let revision = self.configuration.read().complete();
        let machines = self.machines().version();
        let epoch = self.claims.lock().rounds.group().epoch;
        let standing = Standing {
            revision,
            held,
            epoch,
            machines,
        };
        let beat = {
            let mut membership = self.membership.lock();
            membership.set_held(held);
            membership.heartbeat(turn.now, standing)
        };
        let Some((heartbeat, receivers)) = beat else {
            return;
        };
        for to in receivers {
            let message = PeerMessage::Heartbeat(heartbeat.clone());
            turn.actions.push(Action::Send { to, message });
        }
    }

    fn read_machine_list(&self, turn: &mut Turn) {
        let unknown = self.machines().version() == 0;
        let on_duty = unknown
            || self.view().is_among_first(
                MACHINE_LIST_DUTY,
                &self.identity.node,
                MACHINE_LIST_READERS,
            );
        if on_duty && self.machine_list_reads.lock().due(turn.now) {
            turn.actions.push(Action::ReadMachineList);
        }
    }

    fn read_reports(&self, turn: &mut Turn) {
        let (view, machines) = (self.view(), self.machines());
        let due = self
            .watcher
            .lock()
            .tick(turn.now, &self.identity.node, &view, &machines);
        turn.actions.extend(
            due.into_iter()
                .map(|machine| Action::ReadReport { machine }),
        );
    }

    fn tick_placement(&self, turn: &mut Turn) {
        let (view, machines) = (self.view(), self.machines());
        let output = {
            let configuration = self.configuration.read();
            self.placement
                .lock()
                .tick(turn.now, &view, &machines, &configuration)
        };
        self.apply_placement(turn, output);
    }

    fn tick_queues(&self, turn: &mut Turn) {
        let view = self.view();
        let (returned, decisions, demands) = {
            let mut queues = self.queues.lock();
            queues.apply_view(&view);
            let returned = queues.hand_back(&view, &self.identity.node);
            let decisions = queues.review(turn.now);
            let demands = queues.demands(turn.now);
            (returned, decisions, demands)
        };
        for (front, id) in returned {
            self.send(turn, front, PeerMessage::Returned(vec![id]));
        }
        self.apply_decisions(turn, decisions);
        self.send_demands(turn, &view, demands);
    }

    fn step_writer(&self, turn: &mut Turn) {
        let on_duty = self.view().owner(CONFIGURATION_DUTY) == Some(&self.identity.node);
        let output = {
            let configuration = self.configuration.read();
            self.writer.lock().step(turn.now, &configuration, on_duty)
        };
        self.apply_writer(turn, output);
    }

    /// Settings that this node runs under.
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
