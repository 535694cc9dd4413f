//! How many replicas an artifact has, and where the next one goes.
//!
//! In: what queue owners need. Out: targets of engines.

use gorsebank_contract::Fence;
use gorsebank_world::{Artifact, BackEndId, MachineState, NodeId};

use crate::configuration::Configuration;
use crate::placement::need::Need;
use crate::placement::scheduler::{self, Choice, Wanted};
use crate::placement::{Placement, parts_of};
use crate::queues::Demand;
use crate::time::Timestamp;

/// Least time between two decisions to add replicas of one artifact.
const SCALE_UP_INTERVAL: u64 = 3_000;
/// Replicas are added when more than this share of the slots is wanted.
const FULL_SHARE: f64 = 0.8;
/// A cold artifact gets a further replica at once for so many rounds of
/// requests that wait.
const COLD_ROUNDS: u32 = 4;
/// An artifact must have been idle for so long before another may evict it.
const EVICTION_IDLE: u64 = 2_000;

/// The replicas that there are.
#[derive(Clone, Copy, Debug, Default)]
struct Present {
    in_service: u32,
    /// Slots for the artifact on engines in service.
    slots: u32,
    /// A replica is being loaded.
    is_coming: bool,
    /// Slots of an engine.
    typical_slots: u32,
}

impl Present {
    /// How many replicas there should be.
    fn wanted(&self, now: Timestamp, need: &Need) -> u32 {
        let load = need.waiting + need.running;
        if self.in_service == 0 {
            let rounds = self.typical_slots.max(1) * COLD_ROUNDS;
            return need.waiting.div_ceil(rounds);
        }
        let is_full = f64::from(load) > f64::from(self.slots) * FULL_SHARE;
        let is_recent = now.since(need.scaled) < SCALE_UP_INTERVAL;
        if !is_full || self.is_coming || is_recent {
            return self.in_service;
        }
        let each = f64::from(self.slots) / f64::from(self.in_service) * FULL_SHARE;
        (f64::from(load) / each.max(1.0)).ceil() as u32
    }
}

impl Placement {
    /// Takes in what a queue owner needs.
    pub fn demanded(
        &mut self,
        now: Timestamp,
        owner: &NodeId,
        demand: &Demand,
        configuration: &Configuration,
    ) {
        let Some(fence) = self.fence() else {
            return;
        };
        self.note_need(now, fence, owner, demand);
        if demand.waiting > 0 || demand.running > 0 {
            self.ensure(now, &demand.artifact, configuration);
        }
    }

    fn note_need(&mut self, now: Timestamp, fence: Fence, owner: &NodeId, demand: &Demand) {
        let artifact = &demand.artifact;
        let is_idle = demand.waiting == 0 && demand.running == 0;
        let is_new = !self.needs.contains_key(artifact);
        let need = self
            .needs
            .entry(artifact.clone())
            .or_insert_with(|| Need::new(now, owner.clone()));
        need.owner = owner.clone();
        need.waiting = demand.waiting;
        need.running = demand.running;
        need.deadline = now + demand.remaining;
        need.heard = now;
        let told = need.announced.as_ref().map(|(version, _)| *version);
        if told.is_some_and(|version| demand.known != (fence, version)) {
            need.announced = None;
        }
        let was_idle = need.idle_since.is_some();
        if is_idle {
            need.idle_since.get_or_insert(now);
        } else if need.idle_since.take().is_some() || is_new {
            self.policy.returned(now, artifact);
        }
        self.dirty.insert(artifact.clone());
        if is_idle != was_idle {
            self.mark_neighbours(artifact);
        }
    }

    /// Artifacts that share engines with this one get other shares of slots.
    fn mark_neighbours(&mut self, artifact: &Artifact) {
        for engine in self.engines.values() {
            if engine.wants(artifact) {
                self.dirty.extend(engine.targets().cloned());
            }
        }
    }

    /// Makes sure that enough replicas are wanted.
    fn ensure(&mut self, now: Timestamp, artifact: &Artifact, configuration: &Configuration) {
        let Some(deployment) = configuration.deployment(artifact) else {
            return;
        };
        let present = self.present(artifact);
        let Some(need) = self.needs.get(artifact) else {
            return;
        };
        let wanted = present.wanted(now, need).min(deployment.max_replicas);
        if present.in_service >= wanted || self.may_be_there(now, artifact) {
            return;
        }
        if let Some(need) = self.needs.get_mut(artifact) {
            need.scaled = now;
        }
        for _ in present.in_service..wanted {
            let Some(choice) = self.choose(now, artifact, configuration) else {
                return;
            };
            self.take_up(now, artifact, &choice, configuration);
        }
    }

    /// An engine that has not reported to this holder yet may have it.
    fn may_be_there(&self, now: Timestamp, artifact: &Artifact) -> bool {
        self.engines
            .values()
            .any(|engine| engine.is_awaited(now) && engine.next.permits(artifact))
    }

    fn present(&self, artifact: &Artifact) -> Present {
        let mut present = Present::default();
        let live = self
            .engines
            .values()
            .filter(|engine| engine.machine.state == MachineState::Live);
        for engine in live {
            present.typical_slots = present.typical_slots.max(engine.machine.slots);
            if engine.wants(artifact) && engine.is_in_service() {
                present.in_service += 1;
                present.slots += self.slots_for(engine, artifact);
                present.is_coming |= !engine.is_ready(artifact);
            }
        }
        present
    }

    pub(super) fn choose(
        &self,
        now: Timestamp,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> Option<Choice> {
        let parts = parts_of(artifact, configuration)?;
        let deployment = configuration.deployment(artifact)?;
        let wanted = Wanted {
            parts: &parts,
            store_delay: self.store.delay(self.waiting_loads()),
            table_works: self.table_works(now),
        };
        let eligible = self.engines.values().filter(|engine| {
            let machine = &engine.machine;
            let labels = configuration.back_end_labels(&machine.id, &machine.labels);
            deployment.back_ends.matches(&labels) && !engine.wants(artifact)
        });
        let idle = |id: &BackEndId, candidate: &Artifact| self.idle_on(now, id, candidate);
        scheduler::choose(&wanted, eligible, &idle, &self.settings)
    }

    fn table_works(&self, now: Timestamp) -> bool {
        self.lease.waiting_for(now) < self.settings.table_patience
    }

    /// Loads from the weight store that are wanted and have not started.
    pub(super) fn waiting_loads(&self) -> u32 {
        self.engines
            .values()
            .map(|engine| engine.missing().len() as u32)
            .sum()
    }

    /// How long an artifact has been idle; one that nobody asked for under this
    /// holder counts as idle for long.
    fn idle_time(&self, now: Timestamp, artifact: &Artifact) -> Option<u64> {
        match self.needs.get(artifact) {
            Some(need) => need.idle_time(now),
            None => Some(now.0),
        }
    }

    /// How long an artifact has been idle on an engine; `None` while it, or an
    /// adapter that needs it there, is in use.
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
        shortest.filter(|idle| *idle >= EVICTION_IDLE)
    }

    fn take_up(
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
            engine.give_up(victim);
        }
        engine.want(now, parts);
    }
}
