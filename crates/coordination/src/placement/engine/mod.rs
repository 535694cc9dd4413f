//! The placement holder's record of one engine: plans, targets and inventory.
//!
//! In: machine list entries, results of orders, reports, targets. Out: lists of
//! artifacts to load and to unload, and orders.
//!
//! `committed` is the plan in the table, `next` is the plan that the holder
//! intends to write, `targets` lists the artifacts that should be loaded, and
//! `inventory` is the last report of the engine. Orders follow from the
//! difference between targets and inventory. An order is given only if every
//! version of the plan that may be in force permits it.

mod exchange;
mod memory;

use std::collections::BTreeMap;
use std::sync::Arc;

use gorsebank_contract::{
    BackEndPlan, EngineReport, EngineRole, Incarnation, Inventory, OrderAction, Sequence,
    SourceTier,
};
use gorsebank_world::{Artifact, Machine, MachineState};

use crate::settings::PlacementSettings;
use crate::time::Timestamp;

/// Pause after a refused order before the engine gets further orders, in
/// milliseconds.
const REFUSED_PAUSE_MS: u64 = 500;
/// Number of consecutive failed inspections after which an engine is out of
/// service.
const MAX_FAILED_INSPECTIONS: u32 = 2;
/// Time without memory for a target after which another engine is chosen, in
/// milliseconds.
const STUCK_MS: u64 = 5_000;
/// Time for which a new holder waits for the first report of an engine, in
/// milliseconds.
const FIRST_REPORT_TIMEOUT_MS: u64 = 2_000;
/// Time without a response after which an unlisted engine is removed, in
/// milliseconds.
const UNLISTED_RETENTION_MS: u64 = 600_000;
/// Interval between inspections of an engine without reported changes, in
/// milliseconds. Watchers report changes, and these inspections find the changes
/// whose reports were lost.
const QUIET_INSPECT_INTERVAL_MS: u64 = 60_000;

/// Consequence of an order's result for the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The holder continues.
    Continue,
    /// A higher fencing token is in force, so the holder must step down.
    Fenced,
}

/// An artifact that should be loaded.
#[derive(Clone, Copy, Debug)]
struct Target {
    bytes: u64,
    since: Timestamp,
}

#[derive(Clone, Debug)]
struct InFlightOrder {
    action: OrderAction,
    sent: Timestamp,
}

/// The holder's record of one engine's state.
#[derive(Debug)]
pub struct Engine {
    /// The entry of the machine list.
    pub machine: Machine,
    /// The plan in the table.
    pub committed: Arc<BackEndPlan>,
    /// The plan in a transaction without a response.
    pub in_flight: Option<Arc<BackEndPlan>>,
    /// The plan that the holder intends to write.
    pub next: Arc<BackEndPlan>,
    /// The artifacts that should be loaded.
    targets: BTreeMap<Artifact, Target>,
    /// Whether the engine changed since `missing` and `surplus` were computed.
    is_stale: bool,
    /// Targets that are not loaded.
    missing: Vec<Artifact>,
    /// Loaded artifacts that are no targets.
    surplus: Vec<Artifact>,
    /// The role that operators configured.
    role: EngineRole,
    /// Whether `next` may differ from `committed`.
    pub plan_changed: bool,
    /// The inventory that the engine last reported.
    pub inventory: Inventory,
    /// The incarnation of the engine that was inspected under this fencing token,
    /// and whether a transaction has committed since the inspection. Without the
    /// commit, a holder that was replaced without its knowledge could give orders
    /// to an engine that restarted and lost the higher fencing token.
    inspected: Option<(Incarnation, bool)>,
    orders: BTreeMap<Sequence, InFlightOrder>,
    /// Load orders without a response, by sequence number. These loads may still
    /// start, so their memory counts as used until the engine answers a later
    /// order.
    uncertain_loads: BTreeMap<Sequence, (Artifact, u64)>,
    inspection_in_flight: Option<Sequence>,
    next_inspection: Timestamp,
    refused_until: Timestamp,
    failed_inspections: u32,
    last_answer: Timestamp,
    sequence: Sequence,
}

impl Engine {
    /// Creates the record of an engine that has not been inspected.
    pub fn new(now: Timestamp, machine: Machine, committed: BackEndPlan) -> Self {
        let committed = Arc::new(committed);
        let mut next = Arc::clone(&committed);
        if next.capacity != machine.memory {
            Arc::make_mut(&mut next).capacity = machine.memory;
        }
        Engine {
            machine,
            next,
            committed,
            in_flight: None,
            targets: BTreeMap::new(),
            is_stale: true,
            missing: Vec::new(),
            surplus: Vec::new(),
            role: EngineRole::Serve,
            plan_changed: true,
            inventory: Inventory::default(),
            inspected: None,
            orders: BTreeMap::new(),
            uncertain_loads: BTreeMap::new(),
            inspection_in_flight: None,
            next_inspection: now,
            refused_until: now,
            failed_inspections: 0,
            last_answer: now,
            sequence: Sequence(0),
        }
    }

    /// The artifacts that should be loaded.
    pub fn targets(&self) -> impl Iterator<Item = &Artifact> {
        self.targets.keys()
    }

    /// Whether the artifact should be loaded.
    pub fn is_target(&self, artifact: &Artifact) -> bool {
        self.targets.contains_key(artifact)
    }

    /// Adds artifacts, with their bytes, to the targets.
    pub fn add_targets(
        &mut self,
        now: Timestamp,
        artifacts: impl IntoIterator<Item = (Artifact, u64)>,
    ) {
        for (artifact, bytes) in artifacts {
            self.targets
                .entry(artifact)
                .or_insert(Target { bytes, since: now });
        }
        self.is_stale = true;
    }

    /// Removes the targets that got no memory for a long time. The returned
    /// artifacts can be placed on other engines.
    pub fn remove_stuck_targets(&mut self, now: Timestamp) -> Vec<Artifact> {
        let stuck: Vec<Artifact> = self
            .targets
            .iter()
            .filter(|(_, target)| now.since(target.since) > STUCK_MS)
            .map(|(artifact, _)| artifact)
            .filter(|artifact| !self.may_hold(artifact) && !self.has_reservation(artifact))
            .cloned()
            .collect();
        for artifact in &stuck {
            self.remove_target(artifact);
        }
        stuck
    }

    /// Removes an artifact and its dependent adapters from the targets.
    pub fn remove_target(&mut self, artifact: &Artifact) {
        self.targets
            .retain(|other, _| other != artifact && other.base() != *artifact);
        self.is_stale = true;
    }

    /// Removes all targets.
    pub fn clear_targets(&mut self) {
        self.targets.clear();
        self.is_stale = true;
    }

    /// Records that the plan in flight was committed.
    pub fn record_commit(&mut self) {
        if let Some(plan) = self.in_flight.take() {
            self.committed = plan;
            self.is_stale = true;
        }
    }

    /// Recomputes `missing` and `surplus` if the engine changed, and returns
    /// whether it did.
    pub fn refresh(&mut self) -> bool {
        if !std::mem::take(&mut self.is_stale) {
            return false;
        }
        self.missing = self
            .targets
            .keys()
            .filter(|artifact| !self.may_hold(artifact))
            .cloned()
            .collect();
        self.surplus = self
            .inventory
            .loaded
            .keys()
            .filter(|artifact| !self.is_target(artifact))
            .cloned()
            .collect();
        true
    }

    /// Targets that were not loaded at the last refresh.
    pub fn missing(&self) -> &[Artifact] {
        &self.missing
    }

    /// Loads in flight, with their bytes and the milliseconds since their orders.
    pub fn running_loads(&self, now: Timestamp) -> impl Iterator<Item = (&Artifact, u64, u64)> {
        self.orders
            .values()
            .filter_map(move |order| match &order.action {
                OrderAction::Load { artifact, bytes } => {
                    Some((artifact, *bytes, now.since(order.sent)))
                }
                _ => None,
            })
    }

    /// Whether the holder may send orders other than inspections.
    pub fn may_receive_orders(&self) -> bool {
        matches!(self.inspected, Some((_, true)))
    }

    /// Whether the engine was inspected under this fencing token.
    pub fn is_inspected(&self) -> bool {
        self.inspected.is_some()
    }

    /// Whether the engine was inspected, and a transaction must commit before the
    /// engine may get orders.
    pub fn is_awaiting_commit(&self) -> bool {
        matches!(self.inspected, Some((_, false)))
    }

    /// The incarnation of the engine that was inspected.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.inspected.map(|(incarnation, _)| incarnation)
    }

    /// Records the commit of a transaction that was sent after the inspection of
    /// `confirmed_incarnation`.
    pub fn confirm(&mut self, confirmed_incarnation: Incarnation) {
        if let Some((incarnation, confirmed)) = &mut self.inspected
            && *incarnation == confirmed_incarnation
        {
            *confirmed = true;
        }
    }

    /// Whether requests may be sent to the engine.
    pub fn is_in_service(&self) -> bool {
        self.machine.state == MachineState::Live
            && self.is_inspected()
            && self.failed_inspections < MAX_FAILED_INSPECTIONS
    }

    /// Whether the first report under this fencing token is still expected.
    pub fn is_awaiting_first_report(&self, now: Timestamp) -> bool {
        !self.is_inspected() && now.since(self.last_answer) < FIRST_REPORT_TIMEOUT_MS
    }

    /// Whether the engine is unlisted or draining, and has not responded for a
    /// long time.
    pub fn is_removable(&self, now: Timestamp) -> bool {
        self.machine.state == MachineState::Draining
            && now.since(self.last_answer) > UNLISTED_RETENTION_MS
    }

    /// Schedules an inspection at once, after a problem with the engine.
    pub fn inspect_soon(&mut self, now: Timestamp) {
        self.next_inspection = now;
    }

    /// Applies the report that a watcher read; `None` if the engine did not
    /// respond.
    pub fn apply_report(&mut self, now: Timestamp, report: Option<EngineReport>) {
        let known = EngineReport {
            incarnation: self.incarnation().unwrap_or_default(),
            version: self.inventory.version,
        };
        if report != Some(known) {
            self.inspect_soon(now);
        }
    }

    /// Whether the engine may be chosen for new loads.
    pub fn is_eligible(&self) -> bool {
        self.may_receive_orders() && self.is_in_service() && self.is_serving()
    }

    /// Whether the present and the configured role are the role in which models
    /// are loaded.
    fn is_serving(&self) -> bool {
        self.role == EngineRole::Serve && self.inventory.role == EngineRole::Serve
    }

    /// Sets the configured role. An engine that must leave the serving role loses
    /// all targets first.
    pub fn set_role(&mut self, role: EngineRole) {
        self.role = role;
        if !self.is_serving() && !self.targets.is_empty() {
            self.clear_targets();
        }
    }

    /// The role to order now, if it differs from the present role and no artifact
    /// uses memory or may do so soon.
    pub fn due_role_change(&self, now: Timestamp) -> Option<EngineRole> {
        let is_changing = self
            .orders
            .values()
            .any(|order| matches!(order.action, OrderAction::ChangeRole { .. }));
        let is_due = self.may_receive_orders()
            && now >= self.refused_until
            && self.role != self.inventory.role
            && !is_changing
            && self.memory_users().is_empty();
        is_due.then_some(self.role)
    }

    /// Whether requests for the artifact may be sent to the engine.
    pub fn is_ready(&self, artifact: &Artifact) -> bool {
        let loaded = |needed: &Artifact| {
            self.inventory.loaded.contains_key(needed) && self.is_target(needed)
        };
        self.is_in_service() && artifact.required().iter().all(loaded)
    }

    /// Whether a load of the artifact may be ordered now: the artifact is a
    /// target and not loaded, its base is loaded, and the plan has memory for it.
    pub fn may_load(&self, now: Timestamp, artifact: &Artifact, bytes: u64) -> bool {
        let has_base = artifact
            .required()
            .iter()
            .all(|needed| needed == artifact || self.inventory.loaded.contains_key(needed));
        let has_memory = self.is_reserved(artifact)
            || (self.is_standby(artifact) && self.standby_free() >= bytes);
        self.may_receive_orders()
            && self.is_serving()
            && now >= self.refused_until
            && self.is_target(artifact)
            && !self.may_hold(artifact)
            && has_base
            && has_memory
    }

    /// Artifacts to unload now. A base is listed only after its adapters are
    /// unloaded.
    pub fn unloads(&self, now: Timestamp) -> Vec<Artifact> {
        if !self.may_receive_orders() || now < self.refused_until {
            return Vec::new();
        }
        self.surplus
            .iter()
            .filter(|artifact| self.inventory.loaded.contains_key(*artifact))
            .filter(|artifact| !self.is_target(artifact))
            .filter(|artifact| !self.has_unload_order(artifact))
            .filter(|artifact| artifact.adapter.is_some() || !self.has_adapter_of(artifact))
            .cloned()
            .collect()
    }

    fn has_unload_order(&self, artifact: &Artifact) -> bool {
        self.orders.values().any(
            |order| matches!(&order.action, OrderAction::Unload { artifact: other } if other == artifact),
        )
    }

    fn has_adapter_of(&self, base: &Artifact) -> bool {
        self.memory_users()
            .keys()
            .any(|artifact| artifact.adapter.is_some() && artifact.base() == *base)
    }

    /// The tier from which the engine would load the artifact.
    pub fn tier(&self, artifact: &Artifact) -> SourceTier {
        self.inventory
            .cached
            .get(artifact)
            .copied()
            .unwrap_or(SourceTier::Remote)
    }

    /// Expected duration of a load, in milliseconds.
    pub fn load_time(&self, artifact: &Artifact, bytes: u64, settings: &PlacementSettings) -> u64 {
        let bandwidth = match self.tier(artifact) {
            SourceTier::Memory => settings.memory_bandwidth,
            SourceTier::Disk => settings.disk_bandwidth,
            SourceTier::Remote => settings.store_bandwidth,
        };
        bytes.saturating_mul(1_000) / bandwidth.max(1)
    }

    /// Milliseconds since the load of the artifact was ordered, if one is in
    /// flight.
    pub fn load_elapsed(&self, now: Timestamp, artifact: &Artifact) -> Option<u64> {
        self.orders
            .values()
            .find(|order| matches!(&order.action, OrderAction::Load { artifact: other, .. } if other == artifact))
            .map(|order| now.since(order.sent))
    }
}
