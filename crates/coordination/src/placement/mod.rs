//! The placement holder of a cell: which models are loaded, where, how often.
//!
//! In: demand from queue owners, table answers, engines' answers, the machine
//! list, time. Out: transactions, fenced orders, replica sets for queue owners.
//!
//! Order of events for a load: decide in memory, write the decision to the
//! table under the lease, order the engine, announce the replica. A crash at
//! any point leaves a decision that covers whatever the engine may hold.

pub mod engine;
pub mod lease_keeper;
pub mod load_pace;
pub mod policy;
pub mod scheduler;
pub mod standby;
pub mod store_budget;

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_contract::{
    BackEndPlan, ClaimGroup, EngineReport, Fence, Incarnation, Inventory, Order, OrderAction,
    OrderResult, PeerMessage, Put, ReplicaOffer, ReplicaSet, Sequence, SourceTier, TableAnswer,
    TableRow, Transaction,
};
use gorsebank_world::{Artifact, BackEndId, Machine, MachineRole, MachineState, NodeId};

use crate::claim_group::ClaimGroupKeeper;
use crate::configuration::Configuration;
use crate::configuration_writer::to_json;
use crate::machines::MachineTable;
use crate::membership::{Identity, View};
use crate::placement::engine::{Engine, OrderOutcome};
use crate::placement::lease_keeper::{LeaseEvent, LeaseKeeper, cell_prefix};
use crate::placement::load_pace::LoadPace;
use crate::placement::policy::KeepAlivePolicy;
use crate::placement::scheduler::{Choice, Wanted};
use crate::placement::standby::Dormant;
use crate::placement::store_budget::StoreBudget;
use crate::queues::Demand;
use crate::settings::{ClaimSettings, PlacementSettings};
use crate::time::{Periodic, Timestamp};

/// Standing decisions are reviewed so often, in milliseconds.
const STANDBY_INTERVAL: u64 = 2_000;
/// Idle artifacts are reviewed so often.
const IDLE_INTERVAL: u64 = 1_000;
/// An artifact without a word from its owner for so long counts as idle.
const SILENT_DEMAND: u64 = 25_000;
/// Owners are told of an artifact's replicas for so long after their last word.
const FORGOTTEN_DEMAND: u64 = 600_000;
/// An artifact must have been idle for so long before another may evict it.
const EVICTION_IDLE: u64 = 2_000;
/// When to come back if an artifact has no place and none is in sight.
const NO_PLACE_RETRY: u64 = 5_000;
/// Expected times are told to owners in steps of so long.
const EXPECTED_STEP: u64 = 1_000;
/// Least time between two decisions to add a replica of one artifact.
const SCALE_UP_INTERVAL: u64 = 3_000;

/// What the holder wants done.
#[derive(Clone, Debug)]
pub enum PlacementOutput {
    /// Run a transaction.
    Transact(u64, Transaction),
    /// Send an order.
    Order(Machine, Order),
    /// Send a message.
    Send(NodeId, PeerMessage),
    /// A claim group is in force.
    GroupInForce(ClaimGroup),
}

/// What the holder knows of an artifact that was asked for.
#[derive(Debug)]
struct Need {
    owner: NodeId,
    waiting: u32,
    running: u32,
    deadline: Timestamp,
    heard: Timestamp,
    idle_since: Option<Timestamp>,
    scaled: Timestamp,
    announced: Option<Announced>,
}

/// The replica set as last announced to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Announced {
    owner: NodeId,
    ready: Vec<ReplicaOffer>,
    expected: Option<Timestamp>,
    no_place: bool,
}

impl Need {
    fn is_wanted(&self) -> bool {
        self.waiting > 0
    }

    /// How long it has been idle; `None` while it is in use.
    fn idle_time(&self, now: Timestamp) -> Option<u64> {
        if let Some(since) = self.idle_since {
            return Some(now.since(since));
        }
        let silence = now.since(self.heard);
        (silence >= SILENT_DEMAND).then_some(silence)
    }
}

/// One node's part in placement. All but the lease keeper is empty unless the
/// node holds the lease.
#[derive(Debug)]
pub struct Placement {
    identity: Identity,
    settings: PlacementSettings,
    claim_settings: ClaimSettings,
    lease: LeaseKeeper,
    engines: BTreeMap<BackEndId, Engine>,
    orphaned: BTreeMap<BackEndId, BackEndPlan>,
    needs: BTreeMap<Artifact, Need>,
    policy: KeepAlivePolicy,
    store: StoreBudget,
    pace: LoadPace,
    groups: Option<ClaimGroupKeeper>,
    confirming: Vec<(BackEndId, Incarnation)>,
    writing_group: Option<ClaimGroup>,
    standby_reviews: Periodic,
    idle_reviews: Periodic,
    versions: u64,
    stopping: bool,
    loads_ordered: u64,
}

impl Placement {
    /// A node that holds no lease and first looks at it at `start`.
    pub fn new(
        identity: Identity,
        settings: PlacementSettings,
        claim_settings: ClaimSettings,
        start: Timestamp,
    ) -> Self {
        Placement {
            lease: LeaseKeeper::new(identity.clone(), settings.clone(), start),
            store: StoreBudget::new(&settings),
            pace: LoadPace::default(),
            identity,
            settings,
            claim_settings,
            engines: BTreeMap::new(),
            orphaned: BTreeMap::new(),
            needs: BTreeMap::new(),
            policy: KeepAlivePolicy::default(),
            groups: None,
            confirming: Vec::new(),
            writing_group: None,
            standby_reviews: Periodic::every(STANDBY_INTERVAL),
            idle_reviews: Periodic::every(IDLE_INTERVAL),
            versions: 0,
            stopping: false,
            loads_ordered: 0,
        }
    }

    /// The fence under which this node holds the lease.
    pub fn fence(&self) -> Option<Fence> {
        self.lease.fence()
    }

    /// Loads ordered so far.
    pub fn loads_ordered(&self) -> u64 {
        self.loads_ordered
    }

    /// What each engine shall hold now, for operators.
    pub fn targets(&self) -> BTreeMap<BackEndId, Vec<Artifact>> {
        self.engines
            .iter()
            .map(|(id, engine)| (id.clone(), engine.target().iter().cloned().collect()))
            .collect()
    }

    /// Decides nothing more; the next holder takes over.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    fn step_down(&mut self, now: Timestamp) {
        self.lease.step_down(now);
        self.engines.clear();
        self.orphaned.clear();
        self.needs.clear();
        self.groups = None;
        self.confirming.clear();
        self.writing_group = None;
    }

    /// Goes on with whatever is due.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: &View,
        machines: &MachineTable,
        configuration: &Configuration,
    ) -> Vec<PlacementOutput> {
        let mut output = Vec::new();
        if self.fence().is_some_and(|fence| view.fence > fence) {
            self.step_down(now);
        }
        if self.stopping && self.fence().is_some() {
            self.step_down(now);
        }
        if !self.stopping
            && let Some((number, transaction)) = self.lease.tick(now, view)
        {
            output.push(PlacementOutput::Transact(number, transaction));
        }
        let Some(fence) = self.fence() else {
            return output;
        };
        self.follow_machines(now, machines);
        output.extend(self.inspect(now, fence));
        self.review(now, configuration);
        if let Some(groups) = &mut self.groups {
            let messages = groups.tick(now, view, self.lease.is_fresh(now));
            output.extend(
                messages
                    .into_iter()
                    .map(|(to, message)| PlacementOutput::Send(to, message)),
            );
        }
        self.note_late_loads(now);
        self.settle_reservations(configuration);
        output.extend(self.write(now));
        output.extend(self.give_orders(now, fence, configuration));
        output.extend(self.announce(now, fence, configuration));
        output
    }

    /// Takes in the table's answer to transaction `number`.
    pub fn table_answered(
        &mut self,
        now: Timestamp,
        number: u64,
        answer: TableAnswer,
        view: &View,
    ) -> Vec<PlacementOutput> {
        let (event, next) = self.lease.answered(now, number, answer, view);
        let mut output: Vec<PlacementOutput> = next
            .into_iter()
            .map(|(number, transaction)| PlacementOutput::Transact(number, transaction))
            .collect();
        match event {
            LeaseEvent::Acquired { fence, rows } => self.take_office(now, fence, &rows),
            LeaseEvent::Committed(_) => output.extend(self.committed()),
            LeaseEvent::Lost => self.step_down(now),
            LeaseEvent::Nothing => {}
        }
        output
    }

    fn take_office(&mut self, now: Timestamp, fence: Fence, rows: &[TableRow]) {
        let prefix = cell_prefix(&self.identity.cell);
        let mut group = ClaimGroup::default();
        for row in rows {
            let Some(name) = row.key.strip_prefix(&prefix) else {
                continue;
            };
            if name == "claims" {
                group = serde_json::from_str(&row.value).unwrap_or_default();
            }
            if let Some(id) = name.strip_prefix("plans/")
                && let Ok(plan) = serde_json::from_str::<BackEndPlan>(&row.value)
            {
                self.orphaned.insert(BackEndId::from(id), plan);
            }
        }
        self.groups = Some(ClaimGroupKeeper::new(
            self.claim_settings.clone(),
            fence,
            group,
        ));
        self.standby_reviews.hurry();
        self.store = StoreBudget::new(&self.settings);
        self.store.take(now, 0);
    }

    fn committed(&mut self) -> Vec<PlacementOutput> {
        for engine in self.engines.values_mut() {
            engine.committed();
        }
        for (id, life) in std::mem::take(&mut self.confirming) {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.confirm(life);
            }
        }
        let Some(group) = self.writing_group.take() else {
            return Vec::new();
        };
        if let Some(groups) = &mut self.groups {
            groups.written(group.clone());
        }
        vec![PlacementOutput::GroupInForce(group)]
    }

    /// The claim group in force, if this node holds the lease.
    pub fn claim_group(&self) -> Option<&ClaimGroup> {
        self.groups.as_ref().map(ClaimGroupKeeper::current)
    }

    /// The keeper of the claim group, if this node holds the lease.
    pub fn claim_groups(&mut self) -> Option<&mut ClaimGroupKeeper> {
        self.groups.as_mut()
    }

    /// Engines come and go with the machine list. What an engine may hold comes
    /// from the table, also for one that was listed before.
    fn follow_machines(&mut self, now: Timestamp, machines: &MachineTable) {
        if machines.version() == 0 {
            return;
        }
        let listed = machines
            .back_ends()
            .filter(|machine| machine.role == MachineRole::Engine);
        let mut present = BTreeSet::new();
        for machine in listed {
            present.insert(machine.id.clone());
            match self.engines.get_mut(&machine.id) {
                Some(engine) if engine.machine.address == machine.address => {
                    engine.machine = machine.clone();
                }
                _ => self.add_engine(now, machine),
            }
        }
        let unlisted = self
            .engines
            .iter_mut()
            .filter(|(id, _)| !present.contains(*id));
        for (_, engine) in unlisted {
            engine.machine.state = MachineState::Leaving;
        }
        self.forget_engines(now);
    }

    fn add_engine(&mut self, now: Timestamp, machine: &Machine) {
        let known = self.engines.remove(&machine.id);
        let plan = known
            .map(|engine| engine.committed)
            .or_else(|| self.orphaned.remove(&machine.id))
            .unwrap_or_default();
        let engine = Engine::new(now, machine.clone(), plan);
        self.engines.insert(machine.id.clone(), engine);
    }

    fn forget_engines(&mut self, now: Timestamp) {
        let forgotten: Vec<BackEndId> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.is_forgettable(now) && engine.in_flight.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in forgotten {
            if let Some(engine) = self.engines.remove(&id) {
                self.orphaned.insert(id, engine.committed);
            }
        }
    }

    /// A load that takes longer than expected tells as much before it ends.
    fn note_late_loads(&mut self, now: Timestamp) {
        for engine in self.engines.values() {
            for (artifact, bytes, elapsed) in engine.running_loads(now) {
                let expected = engine.load_time(artifact, bytes, &self.settings);
                self.pace.note_running(now, expected, elapsed);
            }
        }
    }

    fn inspect(&mut self, now: Timestamp, fence: Fence) -> Vec<PlacementOutput> {
        let mut output = Vec::new();
        for engine in self.engines.values_mut() {
            if let Some(order) = engine.inspection(now, fence, &self.settings) {
                output.push(PlacementOutput::Order(engine.machine.clone(), order));
            }
        }
        output
    }

    /// Takes in an engine's answer to an order.
    pub fn order_answered(
        &mut self,
        now: Timestamp,
        back_end: &BackEndId,
        fence: Fence,
        sequence: Sequence,
        result: OrderResult,
    ) {
        if self.fence() != Some(fence) {
            return;
        }
        let Some(engine) = self.engines.get_mut(back_end) else {
            return;
        };
        if let Some((load, elapsed)) = engine.ended_load(now, sequence, &result) {
            let expected = engine.load_time(&load.0, load.1, &self.settings);
            self.pace.note(now, expected, elapsed);
        }
        let was_inspected = engine.is_inspected();
        let former_life = engine.incarnation();
        match engine.answered(now, sequence, result) {
            OrderOutcome::Fenced => self.step_down(now),
            OrderOutcome::Continue => {
                if engine.is_inspected() && !was_inspected {
                    adopt(engine);
                } else if engine.incarnation() != former_life {
                    engine.give_up_all();
                }
            }
        }
    }

    /// A front had trouble with a back end.
    pub fn suspected(&mut self, now: Timestamp, back_end: &BackEndId) {
        if let Some(engine) = self.engines.get_mut(back_end) {
            engine.suspect(now);
        }
    }

    /// A watcher told of an engine.
    pub fn reported(&mut self, now: Timestamp, back_end: &BackEndId, report: Option<EngineReport>) {
        if let Some(engine) = self.engines.get_mut(back_end) {
            engine.reported(now, report);
        }
    }

    /// Takes in what a queue owner needs.
    pub fn demanded(
        &mut self,
        now: Timestamp,
        owner: &NodeId,
        demand: &Demand,
        configuration: &Configuration,
    ) {
        if self.fence().is_none() {
            return;
        }
        self.note_need(now, owner, demand);
        if demand.waiting > 0 {
            self.ensure(now, &demand.artifact, configuration);
        }
    }

    fn note_need(&mut self, now: Timestamp, owner: &NodeId, demand: &Demand) {
        let need = self
            .needs
            .entry(demand.artifact.clone())
            .or_insert_with(|| Need {
                owner: owner.clone(),
                waiting: 0,
                running: 0,
                deadline: now,
                heard: now,
                idle_since: None,
                scaled: Timestamp(0),
                announced: None,
            });
        need.owner = owner.clone();
        need.waiting = demand.waiting;
        need.running = demand.running;
        need.deadline = now + demand.remaining;
        need.heard = now;
        let is_idle = demand.waiting == 0 && demand.running == 0;
        if is_idle {
            need.idle_since.get_or_insert(now);
        } else if let Some(since) = need.idle_since.take() {
            self.policy.returned(&demand.artifact, now.since(since));
        }
    }

    /// Makes sure that enough replicas are wanted.
    fn ensure(&mut self, now: Timestamp, artifact: &Artifact, configuration: &Configuration) {
        let Some(deployment) = configuration.deployment(artifact) else {
            return;
        };
        let holders: Vec<&Engine> = self
            .engines
            .values()
            .filter(|engine| engine.target().contains(artifact))
            .filter(|engine| engine.machine.state == MachineState::Live)
            .collect();
        let in_service = holders
            .iter()
            .filter(|engine| engine.is_in_service())
            .count() as u32;
        let slots: u32 = holders.iter().map(|engine| engine.machine.slots).sum();
        let is_coming = holders
            .iter()
            .any(|engine| !engine.is_ready(artifact) && engine.is_in_service());
        let may_be_there = self
            .engines
            .values()
            .any(|engine| engine.is_awaited(now) && engine.next.permits(artifact));
        if may_be_there {
            return;
        }
        let Some(need) = self.needs.get_mut(artifact) else {
            return;
        };
        let overloaded =
            need.waiting > slots && !is_coming && now.since(need.scaled) >= SCALE_UP_INTERVAL;
        let wanted = if overloaded { in_service + 1 } else { 1 };
        if in_service >= wanted.min(deployment.max_replicas) {
            return;
        }
        need.scaled = now;
        if let Some(choice) = self.choose(now, artifact, configuration) {
            self.take_up(artifact, &choice);
        }
    }

    fn choose(
        &self,
        now: Timestamp,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> Option<Choice> {
        let parts = parts_of(artifact, configuration)?;
        let deployment = configuration.deployment(artifact)?;
        let wanted = Wanted {
            parts: &parts,
            store_delay: self.store.delay(self.waiting_loads()),
            table_works: self.table_works(now),
        };
        let eligible = self.engines.values().filter(|engine| {
            let machine = &engine.machine;
            let labels = configuration.back_end_labels(&machine.id, &machine.labels);
            deployment.back_ends.matches(&labels) && !engine.target().contains(artifact)
        });
        let idle = |id: &BackEndId, candidate: &Artifact| self.idle_on(now, id, candidate);
        scheduler::choose(&wanted, eligible, &idle, &self.settings)
    }

    fn table_works(&self, now: Timestamp) -> bool {
        self.lease.waiting_for(now) < self.settings.table_patience
    }

    /// Loads from the weight store that are wanted and have not started.
    fn waiting_loads(&self) -> u32 {
        self.engines
            .values()
            .map(|engine| engine.missing().len() as u32)
            .sum()
    }

    /// How long an artifact has been idle on an engine; `None` while it, or an
    /// adapter that needs it there, is in use.
    fn idle_on(&self, now: Timestamp, id: &BackEndId, artifact: &Artifact) -> Option<u64> {
        let engine = self.engines.get(id)?;
        let mut shortest = self.idle_time(now, artifact);
        if artifact.adapter.is_none() {
            let dependents = engine
                .target()
                .iter()
                .filter(|other| other.adapter.is_some() && other.base() == *artifact);
            for dependent in dependents {
                shortest = shortest.min(self.idle_time(now, dependent));
            }
        }
        shortest.filter(|idle| *idle >= EVICTION_IDLE)
    }

    /// How long an artifact has been idle; one that nobody asked for under this
    /// holder counts as idle for long.
    fn idle_time(&self, now: Timestamp, artifact: &Artifact) -> Option<u64> {
        match self.needs.get(artifact) {
            Some(need) => need.idle_time(now),
            None => Some(now.0),
        }
    }

    fn take_up(&mut self, artifact: &Artifact, choice: &Choice) {
        let Some(engine) = self.engines.get_mut(&choice.back_end) else {
            return;
        };
        for victim in &choice.victims {
            engine.give_up(victim);
        }
        engine.want(artifact.required());
    }

    fn review(&mut self, now: Timestamp, configuration: &Configuration) {
        if self.standby_reviews.due(now) && !self.lease.is_busy() {
            self.review_standby(configuration);
        }
        if self.idle_reviews.due(now) {
            self.review_idle(now, configuration);
        }
    }

    fn review_standby(&mut self, configuration: &Configuration) {
        let dormant: Vec<Dormant> = configuration
            .deployed_artifacts()
            .into_iter()
            .filter_map(|artifact| self.dormant(&artifact, configuration))
            .collect();
        standby::assign(&dormant, &mut self.engines, &self.settings);
    }

    fn dormant(&self, artifact: &Artifact, configuration: &Configuration) -> Option<Dormant> {
        let deployment = configuration.deployment(artifact)?;
        let allowed = self
            .engines
            .values()
            .filter(|engine| {
                let machine = &engine.machine;
                let labels = configuration.back_end_labels(&machine.id, &machine.labels);
                deployment.back_ends.matches(&labels)
            })
            .map(|engine| engine.machine.id.clone())
            .collect();
        Some(Dormant {
            parts: parts_of(artifact, configuration)?,
            allowed,
        })
    }

    /// Gives up what was idle for its keep-alive time.
    fn review_idle(&mut self, now: Timestamp, configuration: &Configuration) {
        let mut expired = Vec::new();
        for (id, engine) in &self.engines {
            for artifact in engine.target() {
                if self.is_expired(now, id, artifact, configuration) {
                    expired.push((id.clone(), artifact.clone()));
                }
            }
        }
        for (id, artifact) in expired {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.give_up(&artifact);
            }
        }
    }

    fn is_expired(
        &self,
        now: Timestamp,
        id: &BackEndId,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> bool {
        let Some(deployment) = configuration.deployment(artifact) else {
            return true;
        };
        let weight = deployment.cold_start_weight;
        let keep_alive = self.policy.keep_alive(artifact, weight, &self.settings);
        self.idle_on(now, id, artifact)
            .is_some_and(|idle| idle >= keep_alive)
    }

    /// Reserves memory for what is wanted, and ends reservations of what is
    /// neither wanted nor there.
    fn settle_reservations(&mut self, configuration: &Configuration) {
        for engine in self.engines.values_mut() {
            let is_changed = engine.refresh();
            if !engine.is_claimed() || (!is_changed && engine.missing().is_empty()) {
                continue;
            }
            drop_reservations(engine);
            for artifact in engine.missing().to_vec() {
                if let Some(bytes) = configuration.memory(&artifact) {
                    reserve(engine, &artifact, bytes);
                }
            }
        }
    }

    /// One transaction with every decision that changed.
    fn write(&mut self, now: Timestamp) -> Option<PlacementOutput> {
        if self.lease.is_busy() {
            return None;
        }
        let puts = self.changed_rows();
        let confirm = self.engines.values().any(Engine::wants_commit);
        let (number, transaction) = self.lease.decide(now, puts, confirm)?;
        for engine in self.engines.values_mut() {
            if std::mem::take(&mut engine.plan_changed) && engine.next != engine.committed {
                engine.in_flight = Some(engine.next.clone());
            }
        }
        self.confirming = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.wants_commit())
            .filter_map(|(id, engine)| Some((id.clone(), engine.incarnation()?)))
            .collect();
        self.writing_group = self
            .groups
            .as_ref()
            .and_then(ClaimGroupKeeper::wanted_row)
            .cloned();
        Some(PlacementOutput::Transact(number, transaction))
    }

    fn changed_rows(&self) -> Vec<Put> {
        let prefix = cell_prefix(&self.identity.cell);
        let plans = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.plan_changed && engine.next != engine.committed)
            .map(|(id, engine)| Put {
                key: format!("{prefix}plans/{id}"),
                value: to_json(&engine.next),
            });
        let group = self
            .groups
            .as_ref()
            .and_then(ClaimGroupKeeper::wanted_row)
            .map(|group| Put {
                key: format!("{prefix}claims"),
                value: to_json(group),
            });
        plans.chain(group).collect()
    }

    fn give_orders(
        &mut self,
        now: Timestamp,
        fence: Fence,
        configuration: &Configuration,
    ) -> Vec<PlacementOutput> {
        let mut output = Vec::new();
        for engine in self.engines.values_mut() {
            for artifact in engine.unloads(now) {
                let order = engine.order(now, fence, OrderAction::Unload { artifact });
                output.push(PlacementOutput::Order(engine.machine.clone(), order));
            }
        }
        output.extend(self.order_loads(now, fence, configuration));
        output
    }

    /// Orders loads as far as the weight store's budget goes, the most urgent
    /// first.
    fn order_loads(
        &mut self,
        now: Timestamp,
        fence: Fence,
        configuration: &Configuration,
    ) -> Vec<PlacementOutput> {
        let mut loads = self.possible_loads(now, configuration);
        loads.sort_by_key(|load| (load.deadline, load.back_end.clone()));
        let mut running: u32 = self.engines.values().map(Engine::load_count).sum();
        let mut output = Vec::new();
        for load in loads {
            let Some(engine) = self.engines.get_mut(&load.back_end) else {
                continue;
            };
            if !engine.can_load(now, &load.artifact, load.bytes) {
                continue;
            }
            let is_remote = engine.tier(&load.artifact) == SourceTier::Remote;
            if is_remote && !self.store.take(now, running) {
                continue;
            }
            running += u32::from(is_remote);
            self.loads_ordered += 1;
            let action = OrderAction::Load {
                artifact: load.artifact,
                bytes: load.bytes,
            };
            let order = engine.order(now, fence, action);
            output.push(PlacementOutput::Order(engine.machine.clone(), order));
        }
        output
    }

    fn possible_loads(&self, now: Timestamp, configuration: &Configuration) -> Vec<PossibleLoad> {
        let mut loads = Vec::new();
        for (id, engine) in &self.engines {
            for artifact in engine.missing() {
                let Some(bytes) = configuration.memory(artifact) else {
                    continue;
                };
                if engine.can_load(now, artifact, bytes) {
                    loads.push(PossibleLoad {
                        deadline: self.urgency(now, engine, artifact),
                        back_end: id.clone(),
                        artifact: artifact.clone(),
                        bytes,
                    });
                }
            }
        }
        loads
    }

    /// The earliest deadline of a request that waits for the artifact or for
    /// an adapter of it on the same engine; far off if none does.
    fn urgency(&self, now: Timestamp, engine: &Engine, artifact: &Artifact) -> Timestamp {
        engine
            .target()
            .iter()
            .filter(|other| *other == artifact || other.base() == *artifact)
            .filter_map(|other| self.needs.get(other))
            .filter(|need| need.is_wanted())
            .map(|need| need.deadline)
            .min()
            .unwrap_or(now + NO_PLACE_RETRY * 1_000)
    }

    /// Tells owners about their replicas where something changed.
    fn announce(
        &mut self,
        now: Timestamp,
        fence: Fence,
        configuration: &Configuration,
    ) -> Vec<PlacementOutput> {
        let mut output = Vec::new();
        let artifacts: Vec<Artifact> = self
            .needs
            .iter()
            .filter(|(_, need)| now.since(need.heard) < FORGOTTEN_DEMAND)
            .map(|(artifact, _)| artifact.clone())
            .collect();
        for artifact in artifacts {
            let Some(state) = self.replica_state(now, &artifact, configuration) else {
                continue;
            };
            let Some(need) = self.needs.get_mut(&artifact) else {
                continue;
            };
            if need.announced.as_ref() == Some(&state) {
                continue;
            }
            self.versions += 1;
            let set = ReplicaSet {
                artifact,
                fence,
                version: self.versions,
                ready: state.ready.clone(),
                expected: state.expected.map(|at| at.since(now)),
                no_place: state.no_place.then_some(NO_PLACE_RETRY),
            };
            output.push(PlacementOutput::Send(
                state.owner.clone(),
                PeerMessage::Replicas(set),
            ));
            need.announced = Some(state);
        }
        output
    }

    /// An engine's slots, shared among the artifacts that are in use on it.
    fn slots_for(&self, engine: &Engine, artifact: &Artifact) -> u32 {
        let others = engine
            .target()
            .iter()
            .filter(|other| *other != artifact)
            .filter_map(|other| self.needs.get(other))
            .filter(|need| need.waiting > 0 || need.running > 0)
            .count() as u32;
        (engine.machine.slots / (others + 1)).max(1)
    }

    /// When an artifact is expected to be ready on an engine: the load that
    /// runs ends, or the store's backlog and a load are over. Rounded, so that
    /// owners are not told of every small change.
    fn expected_ready(
        &self,
        now: Timestamp,
        engine: &Engine,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> Option<Timestamp> {
        let mut time = 0;
        for part in artifact.required() {
            let bytes = configuration.memory(&part)?;
            time += match engine.load_elapsed(now, &part) {
                Some(elapsed) => {
                    let whole = engine.load_time(&part, bytes, &self.settings) as f64;
                    ((whole * self.pace.factor(now)) as u64).saturating_sub(elapsed)
                }
                None if engine.inventory.loaded.contains_key(&part) => 0,
                None => self.unstarted_time(now, engine, &part, bytes),
            };
        }
        let rounded = (now + time).0.div_ceil(EXPECTED_STEP) * EXPECTED_STEP;
        Some(Timestamp(rounded))
    }

    fn unstarted_time(
        &self,
        now: Timestamp,
        engine: &Engine,
        artifact: &Artifact,
        bytes: u64,
    ) -> u64 {
        let load = engine.load_time(artifact, bytes, &self.settings) as f64;
        let wait = match engine.tier(artifact) {
            SourceTier::Remote => self.store.delay(self.waiting_loads()),
            SourceTier::Memory | SourceTier::Disk => 0,
        };
        (load * self.pace.factor(now)) as u64 + wait
    }

    fn replica_state(
        &self,
        now: Timestamp,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> Option<Announced> {
        let need = self.needs.get(artifact)?;
        let wanted_on: Vec<(&BackEndId, &Engine)> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.target().contains(artifact))
            .collect();
        let ready = wanted_on
            .iter()
            .filter(|(_, engine)| engine.is_ready(artifact))
            .map(|(id, engine)| ReplicaOffer {
                back_end: (*id).clone(),
                slots: self.slots_for(engine, artifact),
            })
            .collect();
        let expected = wanted_on
            .iter()
            .filter(|(_, engine)| !engine.is_ready(artifact))
            .filter_map(|(_, engine)| self.expected_ready(now, engine, artifact, configuration))
            .min();
        let is_settled = self.engines.values().all(Engine::is_inspected);
        Some(Announced {
            owner: need.owner.clone(),
            ready,
            expected,
            no_place: wanted_on.is_empty() && is_settled && need.is_wanted(),
        })
    }

    /// Artifacts that the engine reported, for tests and operators.
    pub fn inventory(&self, id: &BackEndId) -> Option<&Inventory> {
        self.engines.get(id).map(|engine| &engine.inventory)
    }
}

struct PossibleLoad {
    deadline: Timestamp,
    back_end: BackEndId,
    artifact: Artifact,
    bytes: u64,
}

/// What a new holder finds loaded, or being loaded, under a decision is wanted
/// until its keep-alive time is over.
fn adopt(engine: &mut Engine) {
    let held = engine
        .inventory
        .loaded
        .keys()
        .chain(engine.inventory.loading.keys());
    let decided: Vec<Artifact> = held
        .filter(|artifact| engine.next.permits(artifact))
        .cloned()
        .collect();
    engine.want(decided);
}

fn drop_reservations(engine: &mut Engine) {
    let ended: Vec<Artifact> = engine
        .next
        .reservations
        .keys()
        .filter(|artifact| !engine.target().contains(*artifact) && !engine.may_hold(artifact))
        .cloned()
        .collect();
    for artifact in ended {
        engine.next.reservations.remove(&artifact);
        engine.plan_changed = true;
    }
}

/// Reserves memory for a wanted artifact that the standby share does not serve.
fn reserve(engine: &mut Engine, artifact: &Artifact, bytes: u64) {
    let is_decided = engine.next.reservations.contains_key(artifact);
    let stands_by = engine.is_standby(artifact)
        && (engine.may_hold(artifact) || engine.standby_free() >= bytes);
    if is_decided || stands_by || engine.next.free() < bytes {
        return;
    }
    engine.next.reservations.insert(artifact.clone(), bytes);
    engine.plan_changed = true;
}

fn parts_of(artifact: &Artifact, configuration: &Configuration) -> Option<Vec<(Artifact, u64)>> {
    artifact
        .required()
        .into_iter()
        .map(|part| {
            let bytes = configuration.memory(&part)?;
            Some((part, bytes))
        })
        .collect()
}
