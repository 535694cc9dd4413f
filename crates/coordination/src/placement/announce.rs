//! Sends the replica sets of demanded artifacts to their queue owners.
//!
//! In: artifacts whose replicas may have changed. Out: replica sets, each only
//! if it differs from the set that was last sent to its owner.

use gorsebank_contract::{Fence, PeerMessage, ReplicaOffer, ReplicaSet, SourceTier};
use gorsebank_world::{Artifact, BackEndId};

use crate::configuration::Configuration;
use crate::placement::artifact_demand::AnnouncedReplicas;
use crate::placement::engine::Engine;
use crate::placement::{Placement, PlacementOutput, parts_of};
use crate::time::Timestamp;

/// Retry delay that owners report for an artifact that fits on no engine, in
/// milliseconds.
const NO_PLACE_RETRY_MS: u64 = 5_000;
/// Ratio of the slots that an engine offers to all its artifacts together to the
/// slots that it has.
const OVERBOOKING_FACTOR: f64 = 1.5;
/// Granularity of the expected times that owners get, in milliseconds.
const EXPECTED_STEP_MS: u64 = 1_000;

impl Placement {
    /// Builds messages with the replica sets that changed since they were last
    /// sent.
    pub(super) fn announce(
        &mut self,
        now: Timestamp,
        fence: Fence,
        configuration: &Configuration,
    ) -> Vec<PlacementOutput> {
        let mut output = Vec::new();
        let dirty = std::mem::take(&mut self.dirty);
        let artifacts: Vec<Artifact> = if std::mem::take(&mut self.is_all_dirty) {
            self.demands.keys().cloned().collect()
        } else {
            dirty.into_iter().collect()
        };
        for artifact in artifacts {
            let Some(state) = self.replica_state(now, &artifact, configuration) else {
                continue;
            };
            let Some(demand) = self.demands.get_mut(&artifact) else {
                continue;
            };
            let sent = demand.announced.as_ref().map(|(_, state)| state);
            if sent == Some(&state) {
                continue;
            }
            self.last_version += 1;
            let set = ReplicaSet {
                artifact,
                fence,
                version: self.last_version,
                ready: state.ready.clone(),
                expected: state.expected.map(|at| at.since(now)),
                retry_after_ms: state.no_place.then_some(NO_PLACE_RETRY_MS),
            };
            output.push(PlacementOutput::Send(
                state.owner.clone(),
                PeerMessage::Replicas(set),
            ));
            demand.announced = Some((self.last_version, state));
        }
        output
    }

    /// Slots of an engine for one artifact. The slots are divided among the
    /// artifacts in use on the engine, and overbooked, because the artifacts are
    /// seldom busy at the same moment.
    pub(super) fn slots_for(&self, engine: &Engine, artifact: &Artifact) -> u32 {
        let others = engine
            .targets()
            .filter(|other| *other != artifact)
            .filter_map(|other| self.demands.get(other))
            .filter(|demand| demand.waiting > 0 || demand.running > 0)
            .count() as u32;
        let slots = engine.machine.slots;
        let share = f64::from(slots) * OVERBOOKING_FACTOR / f64::from(others + 1);
        (share as u32).clamp(1, slots)
    }

    /// The time at which an artifact is expected to be ready on an engine: the
    /// end of the running load, or of a new load behind the backlog of the weight
    /// store. The time is rounded up, so that small changes cause no messages.
    fn expected_ready(
        &self,
        now: Timestamp,
        engine: &Engine,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> Option<Timestamp> {
        let mut duration = 0;
        for part in artifact.required() {
            let bytes = configuration.memory(&part)?;
            duration += match engine.load_elapsed(now, &part) {
                Some(elapsed) => {
                    let total = engine.load_time(&part, bytes, &self.settings) as f64;
                    ((total * self.slowdown.factor(now)) as u64).saturating_sub(elapsed)
                }
                None if engine.inventory.loaded.contains_key(&part) => 0,
                None => self.load_duration_with_delay(now, engine, &part, bytes),
            };
        }
        let rounded = (now + duration).0.div_ceil(EXPECTED_STEP_MS) * EXPECTED_STEP_MS;
        Some(Timestamp(rounded))
    }

    fn load_duration_with_delay(
        &self,
        now: Timestamp,
        engine: &Engine,
        artifact: &Artifact,
        bytes: u64,
    ) -> u64 {
        let load = engine.load_time(artifact, bytes, &self.settings) as f64;
        let store_delay = match engine.tier(artifact) {
            SourceTier::Remote => self.store.delay(self.queued_loads()),
            SourceTier::Memory | SourceTier::Disk => 0,
        };
        (load * self.slowdown.factor(now)) as u64 + store_delay
    }

    /// Whether an engine that the deployment selects has enough memory for the
    /// artifact, apart from the standby share, if nothing else were loaded.
    fn has_fitting_engine(&self, artifact: &Artifact, configuration: &Configuration) -> bool {
        let Some(parts) = parts_of(artifact, configuration) else {
            return false;
        };
        let Some(deployment) = configuration.deployment(artifact) else {
            return false;
        };
        let bytes: u64 = parts.iter().map(|(_, bytes)| bytes).sum();
        self.engines.values().any(|engine| {
            let machine = &engine.machine;
            let labels = configuration.back_end_labels(&machine.id, &machine.labels);
            engine.is_eligible()
                && engine.next.capacity >= bytes + engine.next.standby.bytes
                && deployment.back_ends.matches(&labels)
        })
    }

    fn replica_state(
        &self,
        now: Timestamp,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> Option<AnnouncedReplicas> {
        let demand = self.demands.get(artifact)?;
        let target_engines: Vec<(&BackEndId, &Engine)> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.is_target(artifact))
            .collect();
        let ready = target_engines
            .iter()
            .filter(|(_, engine)| engine.is_ready(artifact))
            .map(|(id, engine)| ReplicaOffer {
                back_end: (*id).clone(),
                slots: self.slots_for(engine, artifact),
            })
            .collect();
        let expected = target_engines
            .iter()
            .filter(|(_, engine)| !engine.is_ready(artifact))
            .filter_map(|(_, engine)| self.expected_ready(now, engine, artifact, configuration))
            .min();
        let is_settled = self.engines.values().all(Engine::is_inspected);
        Some(AnnouncedReplicas {
            owner: demand.owner.clone(),
            ready,
            expected,
            no_place: target_engines.is_empty()
                && is_settled
                && demand.has_waiting_requests()
                && !self.has_fitting_engine(artifact, configuration),
        })
    }
}
