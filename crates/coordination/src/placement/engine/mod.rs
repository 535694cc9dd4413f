//! One engine as the placement holder sees it: decided, wanted and observed.
//!
//! `committed` is the decision that the table has; `next` is what the holder
//! wants it to have; `target` is what shall be loaded now; `inventory` is what
//! the engine last reported. Orders follow from the difference between target
//! and inventory, and only as far as every version of the decision that may be
//! in force permits them.

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

/// Pause before an order that was refused is given again.
const REFUSED_PAUSE: u64 = 500;
/// So many inspections without an answer put an engine out of service.
const FAILED_INSPECTIONS: u32 = 2;
/// What could not be given memory for so long is looked for elsewhere.
const STUCK: u64 = 5_000;
/// A new holder waits so long for the first report of an engine.
const FIRST_REPORT: u64 = 2_000;
/// An engine that is listed no more is forgotten after so long.
const FORGET_UNLISTED: u64 = 600_000;
/// An engine of which nothing new is heard is inspected so often: watchers say
/// when something changed, and this finds what their words were lost about.
const QUIET_INSPECT_INTERVAL: u64 = 60_000;

/// What an order's result means for the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Go on.
    Continue,
    /// A higher fence rules: step down.
    Fenced,
}

/// An artifact that shall be loaded.
#[derive(Clone, Copy, Debug)]
struct Wish {
    bytes: u64,
    since: Timestamp,
}

#[derive(Clone, Debug)]
struct InFlightOrder {
    action: OrderAction,
    sent: Timestamp,
}

/// The holder's record of one engine.
#[derive(Debug)]
pub struct Engine {
    /// The machine as listed.
    pub machine: Machine,
    /// The decision in the table.
    pub committed: Arc<BackEndPlan>,
    /// The decision in a transaction without an answer.
    pub in_flight: Option<Arc<BackEndPlan>>,
    /// The decision that the holder wants.
    pub next: Arc<BackEndPlan>,
    /// What shall be loaded now.
    target: BTreeMap<Artifact, Wish>,
    /// Something changed since the work lists were made.
    stale: bool,
    /// Wanted and not there.
    missing: Vec<Artifact>,
    /// There and not wanted.
    surplus: Vec<Artifact>,
    /// The role that operators chose.
    role: EngineRole,
    /// `next` may differ from `committed`.
    pub plan_changed: bool,
    /// What the engine last reported.
    pub inventory: Inventory,
    /// The life of the engine that was inspected under this fence, and whether
    /// a transaction committed since. Without the latter a holder that was
    /// replaced unawares could order about an engine that restarted and forgot
    /// the higher fence.
    inspected: Option<(Incarnation, bool)>,
    orders: BTreeMap<Sequence, InFlightOrder>,
    /// Loads without an answer, which may yet start: their memory counts as
    /// taken until the engine answered a later order.
    doubtful: BTreeMap<Sequence, (Artifact, u64)>,
    inspecting: Option<Sequence>,
    next_inspection: Timestamp,
    refused_until: Timestamp,
    failed_inspections: u32,
    last_answer: Timestamp,
    sequence: Sequence,
}

impl Engine {
    /// An engine that was not inspected yet.
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
            target: BTreeMap::new(),
            stale: true,
            missing: Vec::new(),
            surplus: Vec::new(),
            role: EngineRole::Serve,
            plan_changed: true,
            inventory: Inventory::default(),
            inspected: None,
            orders: BTreeMap::new(),
            doubtful: BTreeMap::new(),
            inspecting: None,
            next_inspection: now,
            refused_until: now,
            failed_inspections: 0,
            last_answer: now,
            sequence: Sequence(0),
        }
    }

    /// What shall be loaded now.
    pub fn targets(&self) -> impl Iterator<Item = &Artifact> {
        self.target.keys()
    }

    /// Whether the artifact shall be loaded now.
    pub fn wants(&self, artifact: &Artifact) -> bool {
        self.target.contains_key(artifact)
    }

    /// Wants artifacts, with their bytes, to be loaded.
    pub fn want(&mut self, now: Timestamp, artifacts: impl IntoIterator<Item = (Artifact, u64)>) {
        for (artifact, bytes) in artifacts {
            self.target
                .entry(artifact)
                .or_insert(Wish { bytes, since: now });
        }
        self.stale = true;
    }

    /// Wants what could not be loaded for long no more; gives it back, so that
    /// another place is looked for.
    pub fn give_up_stuck(&mut self, now: Timestamp) -> Vec<Artifact> {
        let stuck: Vec<Artifact> = self
            .target
            .iter()
            .filter(|(_, wish)| now.since(wish.since) > STUCK)
            .map(|(artifact, _)| artifact)
            .filter(|artifact| !self.may_hold(artifact) && !self.is_decided(artifact))
            .cloned()
            .collect();
        for artifact in &stuck {
            self.give_up(artifact);
        }
        stuck
    }

    /// Wants an artifact, and the adapters that need it, no more.
    pub fn give_up(&mut self, artifact: &Artifact) {
        self.target
            .retain(|other, _| other != artifact && other.base() != *artifact);
        self.stale = true;
    }

    /// Wants nothing any more.
    pub fn give_up_all(&mut self) {
        self.target.clear();
        self.stale = true;
    }

    /// A decision took effect.
    pub fn committed(&mut self) {
        if let Some(plan) = self.in_flight.take() {
            self.committed = plan;
            self.stale = true;
        }
    }

    /// Makes the work lists anew if something changed; says whether it did.
    pub fn refresh(&mut self) -> bool {
        if !std::mem::take(&mut self.stale) {
            return false;
        }
        self.missing = self
            .target
            .keys()
            .filter(|artifact| !self.may_hold(artifact))
            .cloned()
            .collect();
        self.surplus = self
            .inventory
            .loaded
            .keys()
            .filter(|artifact| !self.wants(artifact))
            .cloned()
            .collect();
        true
    }

    /// Wanted and not there, as of the last refresh.
    pub fn missing(&self) -> &[Artifact] {
        &self.missing
    }

    /// Loads that were ordered and have not ended, with their bytes and times.
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

    /// Whether orders may be given.
    pub fn is_claimed(&self) -> bool {
        matches!(self.inspected, Some((_, true)))
    }

    /// Whether the engine reported under this fence.
    pub fn is_inspected(&self) -> bool {
        self.inspected.is_some()
    }

    /// Whether it waits for a committed transaction before it takes orders.
    pub fn wants_commit(&self) -> bool {
        matches!(self.inspected, Some((_, false)))
    }

    /// The life of the engine that was inspected.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.inspected.map(|(incarnation, _)| incarnation)
    }

    /// A transaction committed that was sent after that life was inspected.
    pub fn confirm(&mut self, life: Incarnation) {
        if let Some((incarnation, confirmed)) = &mut self.inspected
            && *incarnation == life
        {
            *confirmed = true;
        }
    }

    /// Whether requests may be sent to it.
    pub fn is_in_service(&self) -> bool {
        self.machine.state == MachineState::Live
            && self.is_inspected()
            && self.failed_inspections < FAILED_INSPECTIONS
    }

    /// Whether its first report under this fence is still to be expected.
    pub fn is_awaited(&self, now: Timestamp) -> bool {
        !self.is_inspected() && now.since(self.last_answer) < FIRST_REPORT
    }

    /// Whether it is listed no more and has been silent for long.
    pub fn is_forgettable(&self, now: Timestamp) -> bool {
        self.machine.state == MachineState::Leaving && now.since(self.last_answer) > FORGET_UNLISTED
    }

    /// Somebody had trouble with it: look at it now.
    pub fn suspect(&mut self, now: Timestamp) {
        self.next_inspection = now;
    }

    /// Its watcher read its report, or got no answer.
    pub fn reported(&mut self, now: Timestamp, report: Option<EngineReport>) {
        let known = EngineReport {
            incarnation: self.incarnation().unwrap_or_default(),
            version: self.inventory.version,
        };
        if report != Some(known) {
            self.suspect(now);
        }
    }

    /// Whether it may be chosen for new loads.
    pub fn is_eligible(&self) -> bool {
        self.is_claimed() && self.is_in_service() && self.serves()
    }

    /// Whether it has, and shall have, the role in which models are loaded.
    fn serves(&self) -> bool {
        self.role == EngineRole::Serve && self.inventory.role == EngineRole::Serve
    }

    /// Wants the engine to have a role; one that serves no more gives up what
    /// it holds first.
    pub fn choose_role(&mut self, role: EngineRole) {
        self.role = role;
        if !self.serves() && !self.target.is_empty() {
            self.give_up_all();
        }
    }

    /// Whether the role can be changed now: it differs, and nothing takes
    /// memory or may be about to.
    pub fn role_change(&self, now: Timestamp) -> Option<EngineRole> {
        let is_changing = self
            .orders
            .values()
            .any(|order| matches!(order.action, OrderAction::ChangeRole { .. }));
        let is_due = self.is_claimed()
            && now >= self.refused_until
            && self.role != self.inventory.role
            && !is_changing
            && self.memory_users().is_empty();
        is_due.then_some(self.role)
    }

    /// Whether requests for the artifact may be sent here.
    pub fn is_ready(&self, artifact: &Artifact) -> bool {
        let loaded =
            |needed: &Artifact| self.inventory.loaded.contains_key(needed) && self.wants(needed);
        self.is_in_service() && artifact.required().iter().all(loaded)
    }

    /// Whether a load of the artifact may be ordered now: it is wanted, not
    /// there, its base is there, and memory is decided for it.
    pub fn can_load(&self, now: Timestamp, artifact: &Artifact, bytes: u64) -> bool {
        let has_base = artifact
            .required()
            .iter()
            .all(|needed| needed == artifact || self.inventory.loaded.contains_key(needed));
        let has_memory = self.is_reserved(artifact)
            || (self.is_standby(artifact) && self.standby_free() >= bytes);
        self.is_claimed()
            && self.serves()
            && now >= self.refused_until
            && self.wants(artifact)
            && !self.may_hold(artifact)
            && has_base
            && has_memory
    }

    /// Artifacts that shall be unloaded now, adapters before their base.
    pub fn unloads(&self, now: Timestamp) -> Vec<Artifact> {
        if !self.is_claimed() || now < self.refused_until {
            return Vec::new();
        }
        self.surplus
            .iter()
            .filter(|artifact| self.inventory.loaded.contains_key(*artifact))
            .filter(|artifact| !self.wants(artifact))
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

    /// Where the engine would load the artifact from.
    pub fn tier(&self, artifact: &Artifact) -> SourceTier {
        self.inventory
            .cached
            .get(artifact)
            .copied()
            .unwrap_or(SourceTier::Remote)
    }

    /// How long a load is expected to take, in milliseconds.
    pub fn load_time(&self, artifact: &Artifact, bytes: u64, settings: &PlacementSettings) -> u64 {
        let bandwidth = match self.tier(artifact) {
            SourceTier::Memory => settings.memory_bandwidth,
            SourceTier::Disk => settings.disk_bandwidth,
            SourceTier::Remote => settings.store_bandwidth,
        };
        bytes.saturating_mul(1_000) / bandwidth.max(1)
    }

    /// How long the ordered load of the artifact has been running.
    pub fn load_elapsed(&self, now: Timestamp, artifact: &Artifact) -> Option<u64> {
        self.orders
            .values()
            .find(|order| matches!(&order.action, OrderAction::Load { artifact: other, .. } if other == artifact))
            .map(|order| now.since(order.sent))
    }
}
