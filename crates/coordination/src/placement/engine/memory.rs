//! An engine's memory: what may take it, and what is left.
//!
//! Every answer is on the safe side: what may be in force or may yet start
//! counts as if it were.

use std::collections::BTreeMap;

use gorsebank_contract::{BackEndPlan, OrderAction};
use gorsebank_world::Artifact;

use crate::placement::engine::Engine;

impl Engine {
    /// The versions of the decision that may be in force now or soon.
    pub(super) fn decisions(&self) -> impl Iterator<Item = &BackEndPlan> {
        [
            Some(self.committed.as_ref()),
            self.in_flight.as_deref(),
            Some(self.next.as_ref()),
        ]
        .into_iter()
        .flatten()
    }

    /// Whether memory is reserved for the artifact by itself.
    pub fn is_reserved(&self, artifact: &Artifact) -> bool {
        self.decisions()
            .all(|plan| plan.reservations.contains_key(artifact))
    }

    /// Whether the artifact may be loaded into the standby share.
    pub fn is_standby(&self, artifact: &Artifact) -> bool {
        self.decisions()
            .all(|plan| plan.standby.members.contains_key(artifact))
    }

    /// Bytes of the standby share that are in use or about to be.
    pub fn standby_used(&self) -> u64 {
        self.memory_users()
            .iter()
            .filter(|(artifact, _)| !self.is_reserved(artifact))
            .map(|(_, bytes)| bytes)
            .sum()
    }

    /// Bytes of the standby share that another artifact may take.
    pub fn standby_free(&self) -> u64 {
        let share = self.decisions().map(|plan| plan.standby.bytes).min();
        share.unwrap_or(0).saturating_sub(self.standby_used())
    }

    /// Everything that takes or may be about to take memory.
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
        for (artifact, bytes) in self.doubtful.values() {
            users.insert(artifact, *bytes);
        }
        users
    }

    /// Whether the artifact takes or may be about to take memory.
    pub fn may_hold(&self, artifact: &Artifact) -> bool {
        !self.is_inspected() || self.memory_users().contains_key(artifact)
    }

    /// Whether a load of the artifact is running or ordered.
    pub fn is_loading(&self, artifact: &Artifact) -> bool {
        let ordered = self.orders.values().any(
            |order| matches!(&order.action, OrderAction::Load { artifact: other, .. } if other == artifact),
        );
        let doubtful = self.doubtful.values().any(|(other, _)| other == artifact);
        ordered || doubtful || self.inventory.loading.contains_key(artifact)
    }

    /// Loads that are running or ordered.
    pub fn load_count(&self) -> u32 {
        self.memory_users()
            .keys()
            .filter(|artifact| self.is_loading(artifact))
            .count() as u32
    }

    pub(super) fn is_decided(&self, artifact: &Artifact) -> bool {
        self.next.reservations.contains_key(artifact)
    }

    /// Wanted artifacts that are not there and have no reservation, with their
    /// bytes.
    pub(super) fn lacking(&self) -> impl Iterator<Item = (&Artifact, u64)> {
        self.target
            .iter()
            .filter(|(artifact, _)| !self.may_hold(artifact) && !self.is_decided(artifact))
            .map(|(artifact, wish)| (artifact, wish.bytes))
    }

    /// Bytes that could be reserved for a further artifact, once what is given
    /// up is gone and what is wanted has its memory.
    pub fn free_to_reserve(&self) -> u64 {
        let released: u64 = self
            .inventory
            .loaded
            .iter()
            .filter(|(artifact, _)| !self.wants(artifact) && self.is_decided(artifact))
            .map(|(_, bytes)| bytes)
            .sum();
        let promised: u64 = self
            .lacking()
            .filter(|(artifact, _)| !self.is_standby(artifact))
            .map(|(_, bytes)| bytes)
            .sum();
        (self.next.free() + released).saturating_sub(promised)
    }

    /// Bytes of the standby share for a further artifact, in the same sense.
    pub fn standby_to_spare(&self) -> u64 {
        let released: u64 = self
            .inventory
            .loaded
            .iter()
            .filter(|(artifact, _)| !self.wants(artifact) && !self.is_reserved(artifact))
            .map(|(_, bytes)| bytes)
            .sum();
        let promised: u64 = self
            .lacking()
            .filter(|(artifact, _)| self.is_standby(artifact))
            .map(|(_, bytes)| bytes)
            .sum();
        (self.standby_free() + released).saturating_sub(promised)
    }
}
