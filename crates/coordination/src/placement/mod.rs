//! The placement holder of a cell: which models are loaded, where, how often.
//!
//! In: demand from queue owners, table answers, engines' answers, the machine
//! list, time. Out: transactions, fenced orders, replica sets for queue owners.
//!
//! Order of events for a load: decide in memory, write the decision to the
//! table under the lease, order the engine, announce the replica. A crash at
//! any point leaves a decision that covers whatever the engine may hold.

mod announce;
mod decisions;
pub mod engine;
pub mod lease_keeper;
pub mod load_pace;
mod need;
mod orders;
pub mod policy;
mod replicas;
mod review;
pub mod scheduler;
pub mod standby;
pub mod store_budget;

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_contract::{
    BackEndPlan, ClaimGroup, EngineReport, Fence, Incarnation, Order, OrderResult, PeerMessage,
    Sequence, TableAnswer, TableRow, Transaction,
};
use gorsebank_world::{Artifact, BackEndId, Machine, MachineRole, MachineState, NodeId};

use crate::claim_group::ClaimGroupKeeper;
use crate::configuration::Configuration;
use crate::machines::MachineTable;
use crate::membership::{Identity, View};
use crate::placement::engine::{Engine, OrderOutcome};
use crate::placement::lease_keeper::{LeaseEvent, LeaseKeeper, cell_prefix};
use crate::placement::load_pace::LoadPace;
use crate::placement::need::Need;
use crate::placement::policy::KeepAlivePolicy;
use crate::placement::review::StandbyState;
use crate::placement::store_budget::StoreBudget;
use crate::settings::{ClaimSettings, PlacementSettings};
use crate::time::{Periodic, Timestamp};

/// Standing decisions are reviewed so often, in milliseconds.
const STANDBY_INTERVAL: u64 = 2_000;
/// Idle artifacts are reviewed so often.
const IDLE_INTERVAL: u64 = 2_000;

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
    /// Configuration, machine list and engines at which every artifact that can
    /// stand by did so.
    standby_reviewed: Option<StandbyState>,
    /// The machine list that the engines follow.
    machines_seen: u64,
    /// Artifacts whose replicas may have changed since owners were told.
    dirty: BTreeSet<Artifact>,
    /// All of them may have.
    all_dirty: bool,
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
            standby_reviewed: None,
            machines_seen: 0,
            dirty: BTreeSet::new(),
            all_dirty: false,
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
        self.machines_seen = 0;
        self.standby_reviewed = None;
        self.dirty.clear();
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

    /// The keeper of the claim group, if this node holds the lease.
    pub fn claim_groups(&mut self) -> Option<&mut ClaimGroupKeeper> {
        self.groups.as_mut()
    }

    /// Engines come and go with the machine list. What an engine may hold comes
    /// from the table, also for one that was listed before.
    fn follow_machines(&mut self, now: Timestamp, machines: &MachineTable) {
        if machines.version() == self.machines_seen {
            return;
        }
        self.machines_seen = machines.version();
        self.all_dirty = true;
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
            .map(|engine| BackEndPlan::clone(&engine.committed))
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
                self.orphaned
                    .insert(id, BackEndPlan::clone(&engine.committed));
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
        self.dirty.extend(engine.targets().cloned());
        let was_inspected = engine.is_inspected();
        let former_life = engine.incarnation();
        match engine.answered(now, sequence, result) {
            OrderOutcome::Fenced => self.step_down(now),
            OrderOutcome::Continue => {
                if engine.is_inspected() && !was_inspected {
                    adopt(now, engine);
                    self.all_dirty = true;
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
}

/// What a new holder finds loaded, or being loaded, under a decision is wanted
/// until its keep-alive time is over.
fn adopt(now: Timestamp, engine: &mut Engine) {
    let held = engine
        .inventory
        .loaded
        .iter()
        .chain(&engine.inventory.loading);
    let decided: Vec<(Artifact, u64)> = held
        .filter(|(artifact, _)| engine.next.permits(artifact))
        .map(|(artifact, bytes)| (artifact.clone(), *bytes))
        .collect();
    engine.want(now, decided);
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
