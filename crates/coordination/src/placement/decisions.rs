//! Writes memory decisions to the table before the engines get orders.
//!
//! In: targets of engines. Out: transactions with changed plans, one at a time.

use std::sync::Arc;

use gorsebank_contract::{ClaimGroup, Put};
use gorsebank_world::{Artifact, BackEndId};

use crate::claim_group::ClaimGroupManager;
use crate::configuration::Configuration;
use crate::configuration_writer::to_json;
use crate::placement::engine::Engine;
use crate::placement::lease_keeper::cell_prefix;
use crate::placement::{Placement, PlacementOutput};
use crate::time::Timestamp;

/// Upper limit of plans in one transaction. etcd accepts 128 operations in a
/// transaction by default, and the lease and the claim group need some of them.
const MAX_PLANS_PER_TRANSACTION: usize = 100;

impl Placement {
    /// Reserves memory for target artifacts, and removes the reservations of
    /// artifacts that are no targets and cannot be loaded.
    pub(super) fn update_reservations(&mut self, configuration: &Configuration) {
        for engine in self.engines.values_mut() {
            let is_changed = engine.refresh();
            if !engine.may_receive_orders() || (!is_changed && engine.missing().is_empty()) {
                continue;
            }
            remove_unused_reservations(engine);
            for artifact in engine.missing().to_vec() {
                if let Some(bytes) = configuration.memory(&artifact) {
                    reserve(engine, &artifact, bytes);
                }
            }
        }
    }

    /// Builds one transaction with the changed plans. Plans that a load waits for
    /// go first. Plans above the limit wait for the next transaction.
    pub(super) fn write_decisions(&mut self, now: Timestamp) -> Option<PlacementOutput> {
        if self.lease.is_busy() {
            return None;
        }
        let changed = self.changed_plans();
        let puts = self.rows_of(&changed);
        let is_awaiting_commit = self.engines.values().any(Engine::is_awaiting_commit);
        let (number, transaction) = self.lease.decide(now, puts, is_awaiting_commit)?;
        for id in &changed {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.plan_changed = false;
                engine.in_flight = Some(Arc::clone(&engine.next));
            }
        }
        self.awaiting_commit = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.is_awaiting_commit())
            .filter_map(|(id, engine)| Some((id.clone(), engine.incarnation()?)))
            .collect();
        self.group_in_flight = self.wanted_group().cloned();
        Some(PlacementOutput::Transact(number, transaction))
    }

    fn changed_plans(&mut self) -> Vec<BackEndId> {
        let mut changed = Vec::new();
        for (id, engine) in &mut self.engines {
            if !engine.plan_changed {
                continue;
            }
            if engine.next == engine.committed {
                engine.plan_changed = false;
                continue;
            }
            changed.push((engine.missing().is_empty(), id.clone()));
        }
        changed.sort();
        changed
            .into_iter()
            .take(MAX_PLANS_PER_TRANSACTION)
            .map(|(_, id)| id)
            .collect()
    }

    fn rows_of(&self, changed: &[BackEndId]) -> Vec<Put> {
        let prefix = cell_prefix(&self.identity.cell);
        let plans = changed.iter().filter_map(|id| {
            let engine = self.engines.get(id)?;
            Some(Put {
                key: format!("{prefix}plans/{id}"),
                value: to_json(&engine.next),
            })
        });
        let group = self.wanted_group().map(|group| Put {
            key: format!("{prefix}claims"),
            value: to_json(group),
        });
        plans.chain(group).collect()
    }

    fn wanted_group(&self) -> Option<&ClaimGroup> {
        self.groups
            .as_ref()
            .and_then(ClaimGroupManager::row_to_write)
    }
}

fn remove_unused_reservations(engine: &mut Engine) {
    let unused: Vec<Artifact> = engine
        .next
        .reservations
        .keys()
        .filter(|artifact| !engine.is_target(artifact) && !engine.may_hold(artifact))
        .cloned()
        .collect();
    for artifact in unused {
        Arc::make_mut(&mut engine.next)
            .reservations
            .remove(&artifact);
        engine.plan_changed = true;
    }
}

/// Reserves memory for a target artifact that cannot use the standby share.
fn reserve(engine: &mut Engine, artifact: &Artifact, bytes: u64) {
    let has_reservation = engine.next.reservations.contains_key(artifact);
    let has_standby_memory = engine.is_standby(artifact)
        && (engine.may_hold(artifact) || engine.standby_free() >= bytes);
    if has_reservation || has_standby_memory || engine.next.free_bytes() < bytes {
        return;
    }
    Arc::make_mut(&mut engine.next)
        .reservations
        .insert(artifact.clone(), bytes);
    engine.plan_changed = true;
}
