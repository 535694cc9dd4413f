//! Decisions that are written to the table before any order.
//!
//! In: targets of engines. Out: changed plans, one transaction at a time.

use std::sync::Arc;

use gorsebank_contract::{ClaimGroup, Put};
use gorsebank_world::{Artifact, BackEndId};

use crate::claim_group::ClaimGroupKeeper;
use crate::configuration::Configuration;
use crate::configuration_writer::to_json;
use crate::placement::engine::Engine;
use crate::placement::lease_keeper::cell_prefix;
use crate::placement::{Placement, PlacementOutput};
use crate::time::Timestamp;

/// Plans in one transaction at the most: etcd takes 128 operations by default,
/// and the lease and the claim group need theirs.
const PLANS_PER_TRANSACTION: usize = 100;

impl Placement {
    /// Reserves memory for what is wanted, and ends reservations of what is
    /// neither wanted nor there.
    pub(super) fn settle_reservations(&mut self, configuration: &Configuration) {
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

    /// One transaction with the decisions that changed; those that a load waits
    /// for go first, and what is too much waits for the next one.
    pub(super) fn write(&mut self, now: Timestamp) -> Option<PlacementOutput> {
        if self.lease.is_busy() {
            return None;
        }
        let changed = self.changed_plans();
        let puts = self.rows_of(&changed);
        let confirm = self.engines.values().any(Engine::wants_commit);
        let (number, transaction) = self.lease.decide(now, puts, confirm)?;
        for id in &changed {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.plan_changed = false;
                engine.in_flight = Some(Arc::clone(&engine.next));
            }
        }
        self.confirming = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.wants_commit())
            .filter_map(|(id, engine)| Some((id.clone(), engine.incarnation()?)))
            .collect();
        self.writing_group = self.wanted_group().cloned();
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
            .take(PLANS_PER_TRANSACTION)
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
        self.groups.as_ref().and_then(ClaimGroupKeeper::wanted_row)
    }
}

fn drop_reservations(engine: &mut Engine) {
    let ended: Vec<Artifact> = engine
        .next
        .reservations
        .keys()
        .filter(|artifact| !engine.wants(artifact) && !engine.may_hold(artifact))
        .cloned()
        .collect();
    for artifact in ended {
        Arc::make_mut(&mut engine.next)
            .reservations
            .remove(&artifact);
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
    Arc::make_mut(&mut engine.next)
        .reservations
        .insert(artifact.clone(), bytes);
    engine.plan_changed = true;
}
