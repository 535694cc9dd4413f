//! The placement holder of a cell, which decides on how many and on which
//! engines each model is loaded.
//!
//! In: demand from queue owners, table responses, responses of engines, the
//! machine list, time. Out: transactions, fenced orders, replica sets for queue
//! owners.
//!
//! A load passes these steps: the holder decides in memory, writes the decision
//! to the table under the lease, sends the order to the engine, and announces the
//! replica. A crash at any step leaves a decision in the table that covers all
//! that the engine may have loaded.

mod announce;
mod artifact_demand;
mod decisions;
pub mod engine;
pub mod lease_keeper;
pub mod load_slowdown;
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
    Sequence, TableRow, Transaction, TransactionResult,
};
use gorsebank_world::{Artifact, BackEndId, Machine, MachineRole, MachineState, NodeId};

use crate::claim_group::ClaimGroupManager;
use crate::configuration::Configuration;
use crate::machines::MachineTable;
use crate::membership::{Identity, View};
use crate::placement::artifact_demand::ArtifactDemand;
use crate::placement::engine::{Engine, OrderOutcome};
use crate::placement::lease_keeper::{LeaseEvent, LeaseKeeper, cell_prefix};
use crate::placement::load_slowdown::LoadSlowdown;
use crate::placement::policy::KeepAlivePolicy;
use crate::placement::review::StandbyState;
use crate::placement::store_budget::StoreBudget;
use crate::settings::{ClaimSettings, PlacementSettings};
use crate::time::{Periodic, Timestamp};

/// Interval between two reviews of the standby decisions, in milliseconds.
const STANDBY_REVIEW_INTERVAL_MS: u64 = 2_000;
/// Interval between two reviews of idle artifacts, in milliseconds.
const IDLE_REVIEW_INTERVAL_MS: u64 = 2_000;

/// An action that the holder requests.
#[derive(Clone, Debug)]
pub enum PlacementOutput {
    /// Run the transaction with this number.
    Transact(u64, Transaction),
    /// Send an order to an engine.
    Order(Machine, Order),
    /// Send a message to a node.
    Send(NodeId, PeerMessage),
    /// Apply a claim group, which is now in force.
    GroupInForce(ClaimGroup),
}

/// Placement state of one node. All state but the lease keeper is empty unless
/// the node holds the lease.
#[derive(Debug)]
pub struct Placement {
    identity: Identity,
    settings: PlacementSettings,
    claim_settings: ClaimSettings,
    lease: LeaseKeeper,
    engines: BTreeMap<BackEndId, Engine>,
    unlisted_plans: BTreeMap<BackEndId, BackEndPlan>,
    demands: BTreeMap<Artifact, ArtifactDemand>,
    policy: KeepAlivePolicy,
    store: StoreBudget,
    slowdown: LoadSlowdown,
    groups: Option<ClaimGroupManager>,
    awaiting_commit: Vec<(BackEndId, Incarnation)>,
    group_in_flight: Option<ClaimGroup>,
    standby_reviews: Periodic,
    idle_reviews: Periodic,
    last_version: u64,
    /// The configuration, machine list and engines for which every artifact had a
    /// standby engine at the last review.
    standby_reviewed: Option<StandbyState>,
    /// Version of the machine list that was last applied to the engines.
    machines_version: u64,
    /// Artifacts whose replicas may have changed since the last announcement.
    dirty: BTreeSet<Artifact>,
    /// Whether the replicas of all artifacts may have changed.
    is_all_dirty: bool,
    is_stopping: bool,
    loads_ordered: u64,
}

impl Placement {
    /// Creates the state of a node without the lease, which first reads the lease
    /// at `start`.
    pub fn new(
        identity: Identity,
        settings: PlacementSettings,
        claim_settings: ClaimSettings,
        start: Timestamp,
    ) -> Self {
        Placement {
            lease: LeaseKeeper::new(identity.clone(), settings.clone(), start),
            store: StoreBudget::new(&settings),
            slowdown: LoadSlowdown::default(),
            identity,
            settings,
            claim_settings,
            engines: BTreeMap::new(),
            unlisted_plans: BTreeMap::new(),
            demands: BTreeMap::new(),
            policy: KeepAlivePolicy::default(),
            groups: None,
            awaiting_commit: Vec::new(),
            group_in_flight: None,
            standby_reviews: Periodic::every(STANDBY_REVIEW_INTERVAL_MS),
            idle_reviews: Periodic::every(IDLE_REVIEW_INTERVAL_MS),
            last_version: 0,
            standby_reviewed: None,
            machines_version: 0,
            dirty: BTreeSet::new(),
            is_all_dirty: false,
            is_stopping: false,
            loads_ordered: 0,
        }
    }

    /// The fencing token under which this node holds the lease.
    pub fn fence(&self) -> Option<Fence> {
        self.lease.fence()
    }

    /// Number of loads ordered since the start of the node.
    pub fn loads_ordered(&self) -> u64 {
        self.loads_ordered
    }

    /// Stops all decisions at the next tick, so that another node can acquire the
    /// lease.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    fn step_down(&mut self, now: Timestamp) {
        self.lease.step_down(now);
        self.engines.clear();
        self.unlisted_plans.clear();
        self.demands.clear();
        self.groups = None;
        self.awaiting_commit.clear();
        self.group_in_flight = None;
        self.machines_version = 0;
        self.standby_reviewed = None;
        self.dirty.clear();
    }

    /// Executes all steps that are due.
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
        if self.is_stopping && self.fence().is_some() {
            self.step_down(now);
        }
        if !self.is_stopping
            && let Some((number, transaction)) = self.lease.tick(now, view)
        {
            output.push(PlacementOutput::Transact(number, transaction));
        }
        let Some(fence) = self.fence() else {
            return output;
        };
        self.apply_machines(now, machines);
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
        self.record_late_loads(now);
        self.update_reservations(configuration);
        output.extend(self.write_decisions(now));
        output.extend(self.order_changes(now, fence, configuration));
        output.extend(self.announce(now, fence, configuration));
        output
    }

    /// Applies the table's response to transaction `number`.
    pub fn apply_table_response(
        &mut self,
        now: Timestamp,
        number: u64,
        answer: TransactionResult,
        view: &View,
    ) -> Vec<PlacementOutput> {
        let (event, next) = self.lease.apply_response(now, number, answer, view);
        let mut output: Vec<PlacementOutput> = next
            .into_iter()
            .map(|(number, transaction)| PlacementOutput::Transact(number, transaction))
            .collect();
        match event {
            LeaseEvent::Acquired { fence, rows } => self.begin_holding(now, fence, &rows),
            LeaseEvent::Committed(_) => output.extend(self.apply_commit()),
            LeaseEvent::Lost => self.step_down(now),
            LeaseEvent::Nothing => {}
        }
        output
    }

    fn begin_holding(&mut self, now: Timestamp, fence: Fence, rows: &[TableRow]) {
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
                self.unlisted_plans.insert(BackEndId::from(id), plan);
            }
        }
        self.groups = Some(ClaimGroupManager::new(
            self.claim_settings.clone(),
            fence,
            group,
        ));
        self.standby_reviews.make_due();
        self.store = StoreBudget::new(&self.settings);
        self.store.try_start(now, 0);
    }

    fn apply_commit(&mut self) -> Vec<PlacementOutput> {
        for engine in self.engines.values_mut() {
            engine.record_commit();
        }
        for (id, incarnation) in std::mem::take(&mut self.awaiting_commit) {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.confirm(incarnation);
            }
        }
        let Some(group) = self.group_in_flight.take() else {
            return Vec::new();
        };
        if let Some(groups) = &mut self.groups {
            groups.record_written(group.clone());
        }
        vec![PlacementOutput::GroupInForce(group)]
    }

    /// The claim group keeper, if this node holds the lease.
    pub fn claim_groups(&mut self) -> Option<&mut ClaimGroupManager> {
        self.groups.as_mut()
    }

    /// Adds, updates and removes engines as in the machine list. An added engine
    /// gets its last committed plan, also if the engine was listed before.
    fn apply_machines(&mut self, now: Timestamp, machines: &MachineTable) {
        if machines.version() == self.machines_version {
            return;
        }
        self.machines_version = machines.version();
        self.is_all_dirty = true;
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
            engine.machine.state = MachineState::Draining;
        }
        self.remove_engines(now);
    }

    fn add_engine(&mut self, now: Timestamp, machine: &Machine) {
        let previous = self.engines.remove(&machine.id);
        let plan = previous
            .map(|engine| BackEndPlan::clone(&engine.committed))
            .or_else(|| self.unlisted_plans.remove(&machine.id))
            .unwrap_or_default();
        let engine = Engine::new(now, machine.clone(), plan);
        self.engines.insert(machine.id.clone(), engine);
    }

    fn remove_engines(&mut self, now: Timestamp) {
        let removable: Vec<BackEndId> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.is_removable(now) && engine.in_flight.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in removable {
            if let Some(engine) = self.engines.remove(&id) {
                self.unlisted_plans
                    .insert(id, BackEndPlan::clone(&engine.committed));
            }
        }
    }

    /// Updates the slowdown estimate with loads that are late but have not ended.
    fn record_late_loads(&mut self, now: Timestamp) {
        for engine in self.engines.values() {
            for (artifact, bytes, elapsed) in engine.running_loads(now) {
                let expected = engine.load_time(artifact, bytes, &self.settings);
                self.slowdown.record_running(now, expected, elapsed);
            }
        }
    }

    fn inspect(&mut self, now: Timestamp, fence: Fence) -> Vec<PlacementOutput> {
        let mut output = Vec::new();
        for engine in self.engines.values_mut() {
            if let Some(order) = engine.build_inspection(now, fence, &self.settings) {
                output.push(PlacementOutput::Order(engine.machine.clone(), order));
            }
        }
        output
    }

    /// Applies an engine's response to an order.
    pub fn apply_order_result(
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
        if let Some((load, elapsed)) = engine.completed_load(now, sequence, &result) {
            let expected = engine.load_time(&load.0, load.1, &self.settings);
            self.slowdown.record_completed(now, expected, elapsed);
        }
        self.dirty.extend(engine.targets().cloned());
        let was_inspected = engine.is_inspected();
        let previous_incarnation = engine.incarnation();
        match engine.apply_result(now, sequence, result) {
            OrderOutcome::Fenced => self.step_down(now),
            OrderOutcome::Continue => {
                if engine.is_inspected() && !was_inspected {
                    adopt_loaded(now, engine);
                    self.is_all_dirty = true;
                } else if engine.incarnation() != previous_incarnation {
                    engine.clear_targets();
                }
            }
        }
    }

    /// Schedules an inspection after a front reported trouble with a back end.
    pub fn inspect_back_end(&mut self, now: Timestamp, back_end: &BackEndId) {
        if let Some(engine) = self.engines.get_mut(back_end) {
            engine.inspect_soon(now);
        }
    }

    /// Applies a watcher's report about an engine.
    pub fn apply_engine_report(
        &mut self,
        now: Timestamp,
        back_end: &BackEndId,
        report: Option<EngineReport>,
    ) {
        if let Some(engine) = self.engines.get_mut(back_end) {
            engine.apply_report(now, report);
        }
    }
}

/// Makes targets of the artifacts that a new holder finds loaded or loading with
/// the permission of a plan. They stay targets until their keep-alive times end.
fn adopt_loaded(now: Timestamp, engine: &mut Engine) {
    let held = engine
        .inventory
        .loaded
        .iter()
        .chain(&engine.inventory.loading);
    let permitted: Vec<(Artifact, u64)> = held
        .filter(|(artifact, _)| engine.next.permits(artifact))
        .map(|(artifact, bytes)| (artifact.clone(), *bytes))
        .collect();
    engine.add_targets(now, permitted);
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
