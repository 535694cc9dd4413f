//! Tells queue owners about replicas of what they asked for.
//!
//! In: artifacts whose replicas may have changed. Out: replica sets, each only
//! if it differs from what its owner was told last.

use gorsebank_contract::{Fence, PeerMessage, ReplicaOffer, ReplicaSet, SourceTier};
use gorsebank_world::{Artifact, BackEndId};

use crate::configuration::Configuration;
use crate::placement::engine::Engine;
use crate::placement::need::Announced;
use crate::placement::{Placement, PlacementOutput, parts_of};
use crate::time::Timestamp;

/// When to come back if an artifact has no place and none is in sight.
const NO_PLACE_RETRY: u64 = 5_000;
/// So many times its slots an engine is promised to several artifacts.
const OVERBOOKING: f64 = 1.5;
/// Expected times are told to owners in steps of so long.
const EXPECTED_STEP: u64 = 1_000;

impl Placement {
    /// Tells owners about their replicas where something changed.
    pub(super) fn announce(
        &mut self,
        now: Timestamp,
        fence: Fence,
        configuration: &Configuration,
    ) -> Vec<PlacementOutput> {
        let mut output = Vec::new();
        let dirty = std::mem::take(&mut self.dirty);
        let artifacts: Vec<Artifact> = if std::mem::take(&mut self.all_dirty) {
            self.needs.keys().cloned().collect()
        } else {
            dirty.into_iter().collect()
        };
        for artifact in artifacts {
            let Some(state) = self.replica_state(now, &artifact, configuration) else {
                continue;
            };
            let Some(need) = self.needs.get_mut(&artifact) else {
                continue;
            };
            let told = need.announced.as_ref().map(|(_, told)| told);
            if told == Some(&state) {
                continue;
            }
            self.versions += 1;
            let set = ReplicaSet {
                artifact,
                fence,
                version: self.versions,
                ready: state.ready.clone(),
                expected: state.expected.map(|at| at.since(now)),
                no_place: state.no_place.then_some(NO_PLACE_RETRY),
            };
            output.push(PlacementOutput::Send(
                state.owner.clone(),
                PeerMessage::Replicas(set),
            ));
            need.announced = Some((self.versions, state));
        }
        output
    }

    /// An engine's slots, shared among the artifacts that are in use on it and
    /// overbooked a little, since they are seldom busy at the same moment.
    pub(super) fn slots_for(&self, engine: &Engine, artifact: &Artifact) -> u32 {
        let others = engine
            .targets()
            .filter(|other| *other != artifact)
            .filter_map(|other| self.needs.get(other))
            .filter(|need| need.waiting > 0 || need.running > 0)
            .count() as u32;
        let slots = engine.machine.slots;
        let share = f64::from(slots) * OVERBOOKING / f64::from(others + 1);
        (share as u32).clamp(1, slots)
    }

    /// When an artifact is expected to be ready on an engine: the load that
    /// runs ends, or the store's backlog and a load are over. Rounded, so that
    /// owners are not told of every small change.
    fn expected_ready(
        &self,
        now: Timestamp,
        engine: &Engine,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> Option<Timestamp> {
        let mut time = 0;
        for part in artifact.required() {
            let bytes = configuration.memory(&part)?;
            time += match engine.load_elapsed(now, &part) {
                Some(elapsed) => {
                    let whole = engine.load_time(&part, bytes, &self.settings) as f64;
                    ((whole * self.pace.factor(now)) as u64).saturating_sub(elapsed)
                }
                None if engine.inventory.loaded.contains_key(&part) => 0,
                None => self.unstarted_time(now, engine, &part, bytes),
            };
        }
        let rounded = (now + time).0.div_ceil(EXPECTED_STEP) * EXPECTED_STEP;
        Some(Timestamp(rounded))
    }

    fn unstarted_time(
        &self,
        now: Timestamp,
        engine: &Engine,
        artifact: &Artifact,
        bytes: u64,
    ) -> u64 {
        let load = engine.load_time(artifact, bytes, &self.settings) as f64;
        let wait = match engine.tier(artifact) {
            SourceTier::Remote => self.store.delay(self.waiting_loads()),
            SourceTier::Memory | SourceTier::Disk => 0,
        };
        (load * self.pace.factor(now)) as u64 + wait
    }

    /// Whether an engine that may hold the artifact is large enough for it, if
    /// everything else on it were gone.
    fn fits_somewhere(&self, artifact: &Artifact, configuration: &Configuration) -> bool {
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
    ) -> Option<Announced> {
        let need = self.needs.get(artifact)?;
        let wanted_on: Vec<(&BackEndId, &Engine)> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.wants(artifact))
            .collect();
        let ready = wanted_on
            .iter()
            .filter(|(_, engine)| engine.is_ready(artifact))
            .map(|(id, engine)| ReplicaOffer {
                back_end: (*id).clone(),
                slots: self.slots_for(engine, artifact),
            })
            .collect();
        let expected = wanted_on
            .iter()
            .filter(|(_, engine)| !engine.is_ready(artifact))
            .filter_map(|(_, engine)| self.expected_ready(now, engine, artifact, configuration))
            .min();
        let is_settled = self.engines.values().all(Engine::is_inspected);
        Some(Announced {
            owner: need.owner.clone(),
            ready,
            expected,
            no_place: wanted_on.is_empty()
                && is_settled
                && need.is_wanted()
                && !self.fits_somewhere(artifact, configuration),
        })
    }
}
