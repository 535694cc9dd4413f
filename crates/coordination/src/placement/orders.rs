//! Orders to engines, from the difference between targets and inventory.
//!
//! In: engines and the budget of the weight store. Out: role changes, unloads,
//! and as many loads as the budget permits, the most urgent first.

use gorsebank_contract::{Fence, OrderAction, SourceTier};
use gorsebank_world::{Artifact, BackEndId};

use crate::configuration::Configuration;
use crate::placement::engine::Engine;
use crate::placement::{Placement, PlacementOutput};
use crate::time::Timestamp;

/// Deadline of a load that no request waits for, in milliseconds from now.
const NOT_URGENT_MS: u64 = 5_000_000;

struct LoadCandidate {
    deadline: Timestamp,
    back_end: BackEndId,
    artifact: Artifact,
    bytes: u64,
}

impl Placement {
    pub(super) fn order_changes(
        &mut self,
        now: Timestamp,
        fence: Fence,
        configuration: &Configuration,
    ) -> Vec<PlacementOutput> {
        let mut output = Vec::new();
        for (id, engine) in &mut self.engines {
            engine.set_role(configuration.engine_role(id));
            if let Some(role) = engine.due_role_change(now) {
                let order = engine.build_order(now, fence, OrderAction::ChangeRole { role });
                output.push(PlacementOutput::Order(engine.machine.clone(), order));
            }
            for artifact in engine.unloads(now) {
                let order = engine.build_order(now, fence, OrderAction::Unload { artifact });
                output.push(PlacementOutput::Order(engine.machine.clone(), order));
            }
        }
        output.extend(self.order_loads(now, fence, configuration));
        output
    }

    /// Orders as many loads as the budget of the weight store permits, the most
    /// urgent first.
    fn order_loads(
        &mut self,
        now: Timestamp,
        fence: Fence,
        configuration: &Configuration,
    ) -> Vec<PlacementOutput> {
        let mut loads = self.load_candidates(now, configuration);
        loads.sort_by_key(|load| (load.deadline, load.back_end.clone()));
        let mut running: u32 = self.engines.values().map(Engine::load_count).sum();
        let mut output = Vec::new();
        for load in loads {
            let Some(engine) = self.engines.get_mut(&load.back_end) else {
                continue;
            };
            if !engine.may_load(now, &load.artifact, load.bytes) {
                continue;
            }
            let is_remote = engine.tier(&load.artifact) == SourceTier::Remote;
            if is_remote && !self.store.try_start(now, running) {
                continue;
            }
            running += u32::from(is_remote);
            self.loads_ordered += 1;
            let action = OrderAction::Load {
                artifact: load.artifact,
                bytes: load.bytes,
            };
            let order = engine.build_order(now, fence, action);
            output.push(PlacementOutput::Order(engine.machine.clone(), order));
        }
        output
    }

    fn load_candidates(&self, now: Timestamp, configuration: &Configuration) -> Vec<LoadCandidate> {
        let mut loads = Vec::new();
        for (id, engine) in &self.engines {
            for artifact in engine.missing() {
                let Some(bytes) = configuration.memory(artifact) else {
                    continue;
                };
                if engine.may_load(now, artifact, bytes) {
                    loads.push(LoadCandidate {
                        deadline: self.earliest_deadline(now, engine, artifact),
                        back_end: id.clone(),
                        artifact: artifact.clone(),
                        bytes,
                    });
                }
            }
        }
        loads
    }

    /// The earliest deadline of a request that waits for the artifact, or for an
    /// adapter of the artifact on the same engine. The deadline is far in the
    /// future if no request waits.
    fn earliest_deadline(&self, now: Timestamp, engine: &Engine, artifact: &Artifact) -> Timestamp {
        engine
            .targets()
            .filter(|other| *other == artifact || other.base() == *artifact)
            .filter_map(|other| self.demands.get(other))
            .filter(|demand| demand.has_waiting_requests())
            .map(|demand| demand.deadline)
            .min()
            .unwrap_or(now + NOT_URGENT_MS)
    }
}
