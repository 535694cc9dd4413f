//! Orders to engines, from the difference between target and inventory.
//!
//! In: engines and the weight store's budget. Out: unloads, and loads as far as
//! the budget goes, the most urgent first.

use gorsebank_contract::{Fence, OrderAction, SourceTier};
use gorsebank_world::{Artifact, BackEndId};

use crate::configuration::Configuration;
use crate::placement::engine::Engine;
use crate::placement::{Placement, PlacementOutput};
use crate::time::Timestamp;

/// A load that no request waits for has a deadline so far off.
const NOT_URGENT: u64 = 5_000_000;

struct PossibleLoad {
    deadline: Timestamp,
    back_end: BackEndId,
    artifact: Artifact,
    bytes: u64,
}

impl Placement {
    pub(super) fn give_orders(
        &mut self,
        now: Timestamp,
        fence: Fence,
        configuration: &Configuration,
    ) -> Vec<PlacementOutput> {
        let mut output = Vec::new();
        for (id, engine) in &mut self.engines {
            engine.choose_role(configuration.engine_role(id));
            if let Some(role) = engine.role_change(now) {
                let order = engine.order(now, fence, OrderAction::ChangeRole { role });
                output.push(PlacementOutput::Order(engine.machine.clone(), order));
            }
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
            .targets()
            .filter(|other| *other == artifact || other.base() == *artifact)
            .filter_map(|other| self.needs.get(other))
            .filter(|need| need.is_wanted())
            .map(|need| need.deadline)
            .min()
            .unwrap_or(now + NOT_URGENT)
    }
}
