//! A node's decision logic as a whole: shared tables and the paths between.
//!
//! In: [`Event`]s from any worker. Out: [`Action`]s for the host.
//!
//! Lock order. Snapshots (`machines`, then `configuration` for reading) are
//! taken before any other lock, and `configuration` for writing only with no
//! other lock held. Of `membership`, `placement`, `queues`, `front`, `claims`
//! `watcher` and `writer` a worker holds one at a time; what one decides for
//! another is passed on as a value after its lock is free.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use gorsebank_contract::{
    ClaimGroup, Epoch, NodeState, PeerMessage, RequestId, Revision, TicketId,
};
use gorsebank_world::{MachineList, NodeEntry, NodeId, QueueKey};
use parking_lot::{Mutex, RwLock};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::claim_member::ClaimMember;
use crate::claim_round::{ClaimRounds, RoundOutput};
use crate::configuration::{Configuration, ResolveError};
use crate::configuration_writer::{ConfigurationWriter, Learned, WriterOutput};
use crate::event::{Action, ChangeError, Event, TransactionTag};
use crate::front::{Front, FrontCounts, FrontOutput};
use crate::machines::MachineTable;
use crate::membership::{Identity, Membership, Standing, View};
use crate::placement::{Placement, PlacementOutput};
use crate::queue::Decision;
use crate::queues::{Demand, Queues, Release};
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

    fn send_demands(&self, turn: &mut Turn, view: &View, demands: Vec<Demand>) {
        let Some(holder) = &view.holder else {
            return;
        };
        for demand in demands {
            let message = PeerMessage::Demand {
                artifact: demand.artifact,
                waiting: demand.waiting,
                running: demand.running,
                remaining: demand.remaining,
                known: demand.known,
            };
            self.send(turn, holder.clone(), message);
        }
    }

    fn step_writer(&self, turn: &mut Turn) {
        let on_duty = self.view().owner(CONFIGURATION_DUTY) == Some(&self.identity.node);
        let output = {
            let configuration = self.configuration.read();
            self.writer.lock().step(turn.now, &configuration, on_duty)
        };
        self.apply_writer(turn, output);
    }

    fn receive(&self, turn: &mut Turn, from: &NodeId, message: PeerMessage) {
        let now = turn.now;
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.heard(turn, from, heartbeat),
            PeerMessage::Tickets(tickets) => {
                let machines = self.machines();
                let (decisions, demands) = {
                    let mut queues = self.queues.lock();
                    let decisions = queues.offer(now, from, &tickets, &machines);
                    (decisions, queues.demands(now))
                };
                self.apply_decisions(turn, decisions);
                let view = self.view();
                self.send_demands(turn, &view, demands);
            }
            PeerMessage::Grants(grants) => {
                let (view, machines) = (self.view(), self.machines());
                for grant in grants {
                    let output = self
                        .front
                        .lock()
                        .granted(now, from, grant, &view, &machines);
                    self.apply_front(turn, output);
                }
            }
            PeerMessage::Refused { id, refusal } => {
                let output = self.front.lock().refused(id, refusal);
                self.apply_front(turn, output);
            }
            PeerMessage::Returned(ids) => {
                let view = self.view();
                let output = self.front.lock().returned(now, &ids, &view);
                self.apply_front(turn, output);
            }
            PeerMessage::Recall(queue) => {
                let output = self.front.lock().recalled(now, &queue);
                self.apply_front(turn, output);
            }
            PeerMessage::Cancel { queue, id } => self.queues.lock().cancel(&queue, id),
            PeerMessage::Released {
                queue,
                back_end,
                slots,
                service_time,
                troubled,
            } => {
                let release = Release {
                    queue,
                    back_end,
                    slots,
                    service_time,
                    troubled,
                };
                self.released(turn, from, &release);
            }
            PeerMessage::Held(held) => self.queues.lock().correct_held(now, from, &held),
            PeerMessage::Demand {
                artifact,
                waiting,
                running,
                remaining,
                known,
            } => {
                let demand = Demand {
                    artifact,
                    waiting,
                    running,
                    remaining,
                    known,
                };
                {
                    let configuration = self.configuration.read();
                    self.placement
                        .lock()
                        .demanded(now, from, &demand, &configuration);
                }
                if demand.waiting > 0 {
                    self.tick_placement(turn);
                }
            }
            PeerMessage::Replicas(set) => {
                let machines = self.machines();
                let decisions = self.queues.lock().set_replicas(now, &set, &machines);
                self.apply_decisions(turn, decisions);
            }
            PeerMessage::Report { back_end, report } => {
                self.placement.lock().reported(now, &back_end, report);
                self.tick_placement(turn);
            }
            PeerMessage::Suspect { back_end } => self.placement.lock().suspected(now, &back_end),
            PeerMessage::Machines { version, machines } => {
                let replaced = self.machines().received(version, machines);
                self.take_machines(turn, replaced, false);
            }
            PeerMessage::MachinesWanted => {
                let message = machines_message(&self.machines());
                self.send(turn, from.clone(), message);
            }
            PeerMessage::ConfigurationWanted { above } => {
                let message = self.configuration_above(above);
                self.send(turn, from.clone(), message);
            }
            PeerMessage::Configuration {
                above,
                complete,
                rows,
            } => {
                let learned = Learned {
                    above,
                    complete,
                    rows,
                };
                self.learn(turn, learned, Some(from));
            }
            message => self.receive_claim_message(turn, from, message),
        }
    }

    fn receive_claim_message(&self, turn: &mut Turn, from: &NodeId, message: PeerMessage) {
        let now = turn.now;
        match message {
            PeerMessage::Claim {
                epoch,
                key,
                request,
            } => {
                let answer = self.claims.lock().member.claim(now, epoch, &key, request);
                let message = PeerMessage::ClaimAnswered {
                    epoch,
                    request,
                    answer,
                };
                self.send(turn, from.clone(), message);
            }
            PeerMessage::ClaimAnswered {
                epoch,
                request,
                answer,
            } => {
                let output = self
                    .claims
                    .lock()
                    .rounds
                    .answered(from, epoch, request, answer);
                self.apply_rounds(turn, output);
            }
            PeerMessage::ClaimEnded {
                key,
                request,
                withdrawn,
            } => self.claims.lock().member.end(&key, request, withdrawn),
            PeerMessage::ClaimSeal { current, next } => {
                let sealed = self.claims.lock().member.seal(current, next);
                if let Some(records) = sealed {
                    let message = PeerMessage::ClaimSealed { next, records };
                    self.send(turn, from.clone(), message);
                }
            }
            PeerMessage::ClaimSealed { next, records } => {
                if let Some(groups) = self.placement.lock().claim_groups() {
                    groups.sealed(from, next, records);
                }
            }
            PeerMessage::ClaimInstall {
                group,
                records,
                quarantine,
            } => {
                let epoch = group.epoch;
                let taken = self
                    .claims
                    .lock()
                    .member
                    .install(now, group, records, quarantine);
                if taken {
                    let message = PeerMessage::ClaimInstalled { epoch };
                    self.send(turn, from.clone(), message);
                }
            }
            PeerMessage::ClaimInstalled { epoch } => {
                if let Some(groups) = self.placement.lock().claim_groups() {
                    groups.installed(from, epoch);
                }
                self.tick_placement(turn);
            }
            PeerMessage::ClaimGroupChanged(group) => self.take_group(turn, group),
            PeerMessage::ClaimGroupWanted => {
                let group = self.claims.lock().rounds.group().clone();
                let message = PeerMessage::ClaimGroupChanged(group);
                self.send(turn, from.clone(), message);
            }
            _ => {}
        }
    }

    fn heard(&self, turn: &mut Turn, from: &NodeId, heartbeat: gorsebank_contract::Heartbeat) {
        let own_revision = self.configuration.read().complete();
        let own_machines = self.machines().version();
        let own_epoch = self.claims.lock().rounds.group().epoch;
        let is_same_cell = heartbeat.cell == self.identity.cell;
        if heartbeat.revision > own_revision {
            let message = PeerMessage::ConfigurationWanted {
                above: own_revision,
            };
            self.send(turn, from.clone(), message);
        }
        if is_same_cell && heartbeat.machines > own_machines {
            self.send(turn, from.clone(), PeerMessage::MachinesWanted);
        }
        if is_same_cell && heartbeat.epoch > own_epoch {
            self.send(turn, from.clone(), PeerMessage::ClaimGroupWanted);
        }
        let is_current = is_same_cell && heartbeat.machines <= own_machines;
        self.front.lock().heard(turn.now, from, is_current);
        self.membership.lock().observe(turn.now, from, heartbeat);
    }

    fn configuration_above(&self, above: Revision) -> PeerMessage {
        let configuration = self.configuration.read();
        PeerMessage::Configuration {
            above,
            complete: configuration.complete(),
            rows: configuration.rows_above(above),
        }
    }

    /// Merges rows and, if they were news, passes them on: to the whole cell
    /// when they came from outside it, and to one node of every other cell
    /// when this node wrote them.
    fn learn(&self, turn: &mut Turn, learned: Learned, from: Option<&NodeId>) {
        let merged =
            self.configuration
                .write()
                .merge(learned.above, learned.complete, learned.rows.clone());
        match merged {
            Ok(true) => {
                let message = PeerMessage::Configuration {
                    above: learned.above,
                    complete: learned.complete,
                    rows: learned.rows,
                };
                let receivers = {
                    let membership = self.membership.lock();
                    membership.spread(from, learned.complete)
                };
                for to in receivers {
                    self.send(turn, to, message.clone());
                }
            }
            Ok(false) => {}
            Err(gap) => {
                if let Some(from) = from {
                    let above = gap.complete;
                    self.send(
                        turn,
                        from.clone(),
                        PeerMessage::ConfigurationWanted { above },
                    );
                }
            }
        }
    }

    fn take_machines(&self, turn: &mut Turn, table: Option<MachineTable>, tell: bool) {
        let Some(table) = table else {
            return;
        };
        let table = Arc::new(table);
        *self.machines.write() = Arc::clone(&table);
        let (view, nodes) = {
            let mut membership = self.membership.lock();
            membership.set_candidates(&table.list().nodes);
            (membership.view(), membership.near())
        };
        let decisions = self.queues.lock().apply_machines(turn.now, &table);
        self.apply_decisions(turn, decisions);
        if tell {
            let message = machines_message(&table);
            for to in nodes
                .into_iter()
                .filter(|node| view.nodes.contains_key(node))
            {
                self.send(turn, to, message.clone());
            }
        }
    }

    fn take_group(&self, turn: &mut Turn, group: ClaimGroup) {
        let output = {
            let mut claims = self.claims.lock();
            claims.member.put_in_force(group.epoch);
            if claims.rounds.set_group(group) {
                claims.rounds.tick(turn.now)
            } else {
                Vec::new()
            }
        };
        self.apply_rounds(turn, output);
    }

    fn released(&self, turn: &mut Turn, from: &NodeId, release: &Release) {
        let decisions = self.queues.lock().release(turn.now, from, release);
        self.apply_decisions(turn, decisions);
        if !release.troubled {
            return;
        }
        if let Some(holder) = self.view().holder.clone() {
            let back_end = release.back_end.clone();
            self.send(turn, holder, PeerMessage::Suspect { back_end });
        }
    }

    fn apply_decisions(&self, turn: &mut Turn, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant(front, grant) => {
                    self.send(turn, front, PeerMessage::Grants(vec![grant]));
                }
                Decision::Recall(front, queue) => {
                    self.send(turn, front, PeerMessage::Recall(queue));
                }
                Decision::Refuse(front, id, refusal) => {
                    self.send(turn, front, PeerMessage::Refused { id, refusal });
                }
            }
        }
    }

    fn apply_front(&self, turn: &mut Turn, outputs: Vec<FrontOutput>) {
        for output in outputs {
            match output {
                FrontOutput::Offer(owner, ticket) => {
                    self.send(turn, owner, PeerMessage::Tickets(vec![ticket]));
                }
                FrontOutput::Cancel(owner, queue, id) => {
                    self.send(turn, owner, PeerMessage::Cancel { queue, id });
                }
                FrontOutput::Claim(request, key) => {
                    let output = self.claims.lock().rounds.start(turn.now, request, key);
                    self.apply_rounds(turn, output);
                }
                FrontOutput::WithdrawClaim(request, key) => {
                    let output = self.claims.lock().rounds.end(request, &key, true);
                    self.apply_rounds(turn, output);
                }
                FrontOutput::CompleteClaim(request, key) => {
                    let output = self.claims.lock().rounds.end(request, &key, false);
                    self.apply_rounds(turn, output);
                }
                FrontOutput::Dispatch(id, back_end) => self.dispatch_to(turn, id, &back_end),
                FrontOutput::Refuse(request, refusal) => {
                    turn.actions.push(Action::Refuse { request, refusal });
                }
                FrontOutput::Account(owner, held) => {
                    self.send(turn, owner, PeerMessage::Held(held));
                }
                FrontOutput::Release(owner, release) => {
                    let message = PeerMessage::Released {
                        queue: release.queue,
                        back_end: release.back_end,
                        slots: release.slots,
                        service_time: release.service_time,
                        troubled: release.troubled,
                    };
                    self.send(turn, owner, message);
                }
            }
        }
    }

    fn dispatch_to(&self, turn: &mut Turn, id: TicketId, back_end: &gorsebank_world::BackEndId) {
        match self.machines().back_end(back_end) {
            Some(machine) => turn.actions.push(Action::Dispatch {
                id,
                machine: machine.clone(),
            }),
            None => {
                let outcome = gorsebank_contract::AttemptOutcome::NotSent;
                let output = self.front.lock().attempt_ended(turn.now, id, outcome);
                self.apply_front(turn, output);
            }
        }
    }

    fn apply_rounds(&self, turn: &mut Turn, outputs: Vec<RoundOutput>) {
        for output in outputs {
            match output {
                RoundOutput::Send(to, message) => self.send(turn, to, message),
                RoundOutput::Decided(request, verdict) => {
                    let output = self.front.lock().claimed(turn.now, request, verdict);
                    self.apply_front(turn, output);
                }
                RoundOutput::GroupSeen(group) => self.take_group(turn, group),
            }
        }
    }

    fn apply_placement(&self, turn: &mut Turn, outputs: Vec<PlacementOutput>) {
        for output in outputs {
            match output {
                PlacementOutput::Transact(number, transaction) => {
                    turn.actions.push(Action::Transact {
                        tag: TransactionTag::Placement(number),
                        transaction,
                    });
                }
                PlacementOutput::Order(machine, order) => {
                    turn.actions.push(Action::Order { machine, order });
                }
                PlacementOutput::Send(to, message) => self.send(turn, to, message),
                PlacementOutput::GroupInForce(group) => {
                    let nodes = self.membership.lock().near();
                    for to in nodes {
                        let message = PeerMessage::ClaimGroupChanged(group.clone());
                        self.send(turn, to, message);
                    }
                    self.take_group(turn, group);
                }
            }
        }
    }

    fn apply_writer(&self, turn: &mut Turn, outputs: Vec<WriterOutput>) {
        for output in outputs {
            match output {
                WriterOutput::Transact(number, transaction) => {
                    turn.actions.push(Action::Transact {
                        tag: TransactionTag::Configuration(number),
                        transaction,
                    });
                }
                WriterOutput::Learned(learned) => self.learn(turn, learned, None),
                WriterOutput::Answer(id, result) => {
                    turn.actions.push(Action::AnswerChange { id, result });
                }
            }
        }
    }

    fn send(&self, turn: &mut Turn, to: NodeId, message: PeerMessage) {
        if to == self.identity.node {
            turn.own.push_back(message);
        } else {
            turn.actions.push(Action::Send { to, message });
        }
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
