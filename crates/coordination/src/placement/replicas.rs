//! Decides how many replicas an artifact has, and adds replicas to engines.
//!
//! In: demand reports of queue owners. Out: targets of engines.

use gorsebank_contract::Fence;
use gorsebank_world::{Artifact, BackEndId, MachineState, NodeId};

use crate::configuration::Configuration;
use crate::placement::artifact_demand::ArtifactDemand;
use crate::placement::scheduler::{self, Choice, PlacementRequest};
use crate::placement::{Placement, parts_of};
use crate::queues::Demand;
use crate::time::Timestamp;

/// Minimum time between two decisions to add replicas of one artifact, in
/// milliseconds.
const SCALE_UP_INTERVAL_MS: u64 = 3_000;
/// Fraction of the slots above which demand leads to further replicas.
const MAX_SLOT_FRACTION: f64 = 0.8;
/// Number of waiting requests per engine slot for which an artifact without a
/// replica gets one replica. Several replicas are added at once for more requests.
const COLD_REQUESTS_PER_SLOT: u32 = 4;
/// Minimum idle time of an artifact before another may evict it, in milliseconds.
const MIN_EVICTION_IDLE_MS: u64 = 2_000;

/// The present replicas of an artifact.
#[derive(Clone, Copy, Debug, Default)]
struct PresentReplicas {
    /// Number of replicas on engines in service, loaded or not.
    in_service: u32,
    /// Slots for the artifact on engines in service.
    slots: u32,
    /// Whether a replica is being loaded.
    is_loading: bool,
    /// Largest number of slots of a live engine.
    typical_slots: u32,
}

impl PresentReplicas {
    /// Number of replicas that the demand requires.
    fn required_count(&self, now: Timestamp, record: &ArtifactDemand) -> u32 {
        let load = record.waiting + record.running;
        if self.in_service == 0 {
            let requests_per_replica = self.typical_slots.max(1) * COLD_REQUESTS_PER_SLOT;
            return record.waiting.div_ceil(requests_per_replica);
        }
        let is_full = f64::from(load) > f64::from(self.slots) * MAX_SLOT_FRACTION;
        let is_recent = now.since(record.last_scale_up) < SCALE_UP_INTERVAL_MS;
        if !is_full || self.is_loading || is_recent {
            return self.in_service;
        }
        let slots_per_replica =
            f64::from(self.slots) / f64::from(self.in_service) * MAX_SLOT_FRACTION;
        (f64::from(load) / slots_per_replica.max(1.0)).ceil() as u32
    }
}

impl Placement {
    /// Applies a demand report of a queue owner.
    pub fn apply_demand(
        &mut self,
        now: Timestamp,
        owner: &NodeId,
        demand: &Demand,
        configuration: &Configuration,
    ) {
        let Some(fence) = self.fence() else {
            return;
        };
        self.record_demand(now, fence, owner, demand);
        if demand.waiting > 0 || demand.running > 0 {
            self.ensure_replicas(now, &demand.artifact, configuration);
        }
    }

    fn record_demand(&mut self, now: Timestamp, fence: Fence, owner: &NodeId, demand: &Demand) {
        let artifact = &demand.artifact;
        let is_idle = demand.waiting == 0 && demand.running == 0;
        let is_new = !self.demands.contains_key(artifact);
        let record = self
            .demands
            .entry(artifact.clone())
            .or_insert_with(|| ArtifactDemand::new(now, owner.clone()));
        record.owner = owner.clone();
        record.waiting = demand.waiting;
        record.running = demand.running;
        record.deadline = now + demand.remaining;
        record.received_at = now;
        let sent_version = record.announced.as_ref().map(|(version, _)| *version);
        if sent_version.is_some_and(|version| demand.known != (fence, version)) {
            record.announced = None;
        }
        let was_idle = record.idle_since.is_some();
        if is_idle {
            record.idle_since.get_or_insert(now);
        } else if record.idle_since.take().is_some() || is_new {
            self.policy.record_return(now, artifact);
        }
        self.dirty.insert(artifact.clone());
        if is_idle != was_idle {
            self.mark_co_located(artifact);
        }
    }

    /// Marks the artifacts that share engines with `artifact` for an announcement,
    /// because their shares of the slots change.
    fn mark_co_located(&mut self, artifact: &Artifact) {
        for engine in self.engines.values() {
            if engine.is_target(artifact) {
                self.dirty.extend(engine.targets().cloned());
            }
        }
    }

    /// Adds targets to engines until the artifact has enough replicas.
    fn ensure_replicas(
        &mut self,
        now: Timestamp,
        artifact: &Artifact,
        configuration: &Configuration,
    ) {
        let Some(deployment) = configuration.deployment(artifact) else {
            return;
        };
        let present_replicas = self.present_replicas(artifact);
        let Some(record) = self.demands.get(artifact) else {
            return;
        };
        let required = present_replicas
            .required_count(now, record)
            .min(deployment.max_replicas);
        if present_replicas.in_service >= required || self.may_be_loaded(now, artifact) {
            return;
        }
        if let Some(record) = self.demands.get_mut(artifact) {
            record.last_scale_up = now;
        }
        for _ in present_replicas.in_service..required {
            let Some(choice) = self.choose_engine(now, artifact, configuration) else {
                return;
            };
            self.place_replica(now, artifact, &choice, configuration);
        }
    }

    /// Whether an engine that has not reported to this holder yet may have the
    /// artifact loaded.
    fn may_be_loaded(&self, now: Timestamp, artifact: &Artifact) -> bool {
        self.engines
            .values()
            .any(|engine| engine.is_awaiting_first_report(now) && engine.next.permits(artifact))
    }

    fn present_replicas(&self, artifact: &Artifact) -> PresentReplicas {
        let mut present_replicas = PresentReplicas::default();
        let live = self
            .engines
            .values()
            .filter(|engine| engine.machine.state == MachineState::Live);
        for engine in live {
            present_replicas.typical_slots =
                present_replicas.typical_slots.max(engine.machine.slots);
            if engine.is_target(artifact) && engine.is_in_service() {
                present_replicas.in_service += 1;
                present_replicas.slots += self.slots_for(engine, artifact);
                present_replicas.is_loading |= !engine.is_ready(artifact);
            }
        }
        present_replicas
    }

    pub(super) fn choose_engine(
        &self,
        now: Timestamp,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> Option<Choice> {
        let parts = parts_of(artifact, configuration)?;
        let deployment = configuration.deployment(artifact)?;
        let request = PlacementRequest {
            parts: &parts,
            store_delay: self.store.delay(self.queued_loads()),
            is_table_available: self.is_table_available(now),
        };
        let eligible = self.engines.values().filter(|engine| {
            let machine = &engine.machine;
            let labels = configuration.back_end_labels(&machine.id, &machine.labels);
            deployment.back_ends.matches(&labels) && !engine.is_target(artifact)
        });
        let idle = |id: &BackEndId, candidate: &Artifact| self.idle_on(now, id, candidate);
        scheduler::choose(&request, eligible, &idle, &self.settings)
    }

    fn is_table_available(&self, now: Timestamp) -> bool {
        self.lease.pending_time(now) < self.settings.table_outage_timeout
    }

    /// Number of targets whose loads have not started.
    pub(super) fn queued_loads(&self) -> u32 {
        self.engines
            .values()
            .map(|engine| engine.missing().len() as u32)
            .sum()
    }

    /// Milliseconds for which an artifact has been idle. An artifact without
    /// demand under this holder counts as idle since the start of the clock.
    fn idle_time(&self, now: Timestamp, artifact: &Artifact) -> Option<u64> {
        match self.demands.get(artifact) {
            Some(record) => record.idle_time(now),
            None => Some(now.0),
        }
    }

    /// Milliseconds for which an artifact has been idle on an engine; `None` while
    /// the artifact, or an adapter that depends on it there, is in use, or if the
    /// idle time is too short for an eviction.
    pub(super) fn idle_on(
        &self,
        now: Timestamp,
        id: &BackEndId,
        artifact: &Artifact,
    ) -> Option<u64> {
        let engine = self.engines.get(id)?;
        let mut shortest = self.idle_time(now, artifact);
        if artifact.adapter.is_none() {
            let dependents = engine
                .targets()
                .filter(|other| other.adapter.is_some() && other.base() == *artifact);
            for dependent in dependents {
                shortest = shortest.min(self.idle_time(now, dependent));
            }
        }
        shortest.filter(|idle| *idle >= MIN_EVICTION_IDLE_MS)
    }

    fn place_replica(
        &mut self,
        now: Timestamp,
        artifact: &Artifact,
        choice: &Choice,
        configuration: &Configuration,
    ) {
        let parts = parts_of(artifact, configuration).unwrap_or_default();
        let Some(engine) = self.engines.get_mut(&choice.back_end) else {
            return;
        };
        self.dirty.extend(choice.victims.iter().cloned());
        self.dirty.insert(artifact.clone());
        for victim in &choice.victims {
            engine.remove_target(victim);
        }
        engine.add_targets(now, parts);
    }
}
