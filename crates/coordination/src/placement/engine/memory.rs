//! Memory accounting of an engine: which artifacts use memory, and how much is
//! free.
//!
//! In: the plans, the inventory and the orders of the engine. Out: artifacts
//! and bytes. All results are conservative: a decision that may be in force
//! counts as in force, and a load that may still start counts as started.

use std::collections::BTreeMap;

use gorsebank_contract::{BackEndPlan, OrderAction};
use gorsebank_world::Artifact;

use crate::placement::engine::Engine;

impl Engine {
    /// The versions of the plan that may be in force now or soon.
    pub(super) fn decisions(&self) -> impl Iterator<Item = &BackEndPlan> {
        [
            Some(self.committed.as_ref()),
            self.in_flight.as_deref(),
            Some(self.next.as_ref()),
        ]
        .into_iter()
        .flatten()
    }

    /// Whether all versions of the plan reserve memory for the artifact.
    pub fn is_reserved(&self, artifact: &Artifact) -> bool {
        self.decisions()
            .all(|plan| plan.reservations.contains_key(artifact))
    }

    /// Whether all versions of the plan permit the artifact in the standby share.
    pub fn is_standby(&self, artifact: &Artifact) -> bool {
        self.decisions()
            .all(|plan| plan.standby.members.contains_key(artifact))
    }

    /// Bytes of the standby share that are in use or may be soon.
    pub fn standby_used(&self) -> u64 {
        self.memory_users()
            .iter()
            .filter(|(artifact, _)| !self.is_reserved(artifact))
            .map(|(_, bytes)| bytes)
            .sum()
    }

    /// Bytes of the standby share that are available to another artifact.
    pub fn standby_free(&self) -> u64 {
        let share = self.decisions().map(|plan| plan.standby.bytes).min();
        share.unwrap_or(0).saturating_sub(self.standby_used())
    }

    /// All artifacts that use memory or may do so soon, with their bytes.
    pub(super) fn memory_users(&self) -> BTreeMap<&Artifact, u64> {
        let mut users: BTreeMap<&Artifact, u64> = BTreeMap::new();
        let held = self.inventory.loaded.iter().chain(&self.inventory.loading);
        for (artifact, bytes) in held {
            users.insert(artifact, *bytes);
        }
        for order in self.orders.values() {
            if let OrderAction::Load { artifact, bytes } = &order.action {
                users.insert(artifact, *bytes);
            }
        }
        for (artifact, bytes) in self.uncertain_loads.values() {
            users.insert(artifact, *bytes);
        }
        users
    }

    /// Whether the artifact uses memory or may do so soon. The result is true
    /// for each artifact until the engine was inspected.
    pub fn may_hold(&self, artifact: &Artifact) -> bool {
        !self.is_inspected() || self.memory_users().contains_key(artifact)
    }

    /// Whether a load of the artifact is running or ordered.
    pub fn is_loading(&self, artifact: &Artifact) -> bool {
        let is_ordered = self.orders.values().any(
            |order| matches!(&order.action, OrderAction::Load { artifact: other, .. } if other == artifact),
        );
        let is_uncertain = self
            .uncertain_loads
            .values()
            .any(|(other, _)| other == artifact);
        is_ordered || is_uncertain || self.inventory.loading.contains_key(artifact)
    }

    /// Number of loads that are running or ordered.
    pub fn load_count(&self) -> u32 {
        self.memory_users()
            .keys()
            .filter(|artifact| self.is_loading(artifact))
            .count() as u32
    }

    pub(super) fn has_reservation(&self, artifact: &Artifact) -> bool {
        self.next.reservations.contains_key(artifact)
    }

    /// Target artifacts that use no memory and have no reservation, with their
    /// bytes.
    pub(super) fn targets_without_memory(&self) -> impl Iterator<Item = (&Artifact, u64)> {
        self.targets
            .iter()
            .filter(|(artifact, _)| !self.may_hold(artifact) && !self.has_reservation(artifact))
            .map(|(artifact, target)| (artifact, target.bytes))
    }

    /// Bytes that can be reserved for another artifact after all artifacts that
    /// are no targets are unloaded and all targets have their memory.
    pub fn free_to_reserve(&self) -> u64 {
        let released: u64 = self
            .inventory
            .loaded
            .iter()
            .filter(|(artifact, _)| !self.is_target(artifact) && self.has_reservation(artifact))
            .map(|(_, bytes)| bytes)
            .sum();
        let promised: u64 = self
            .targets_without_memory()
            .filter(|(artifact, _)| !self.is_standby(artifact))
            .map(|(_, bytes)| bytes)
            .sum();
        (self.next.free_bytes() + released).saturating_sub(promised)
    }

    /// Bytes of the standby share that are available to another artifact under
    /// the same conditions as in `free_to_reserve`.
    pub fn spare_standby(&self) -> u64 {
        let released: u64 = self
            .inventory
            .loaded
            .iter()
            .filter(|(artifact, _)| !self.is_target(artifact) && !self.is_reserved(artifact))
            .map(|(_, bytes)| bytes)
            .sum();
        let promised: u64 = self
            .targets_without_memory()
            .filter(|(artifact, _)| self.is_standby(artifact))
            .map(|(_, bytes)| bytes)
            .sum();
        (self.standby_free() + released).saturating_sub(promised)
    }
}
