//! What is looked at now and then: standing decisions, idle artifacts.

use gorsebank_contract::Revision;
use gorsebank_world::{Artifact, BackEndId};

use crate::configuration::Configuration;
use crate::placement::standby::{self, Dormant, Homes};
use crate::placement::{Placement, parts_of};
use crate::time::Timestamp;

/// What was known of an artifact's use is forgotten after so long in disuse.
const FORGOTTEN_DEMAND: u64 = 600_000;

/// What standing decisions were reviewed against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StandbyState {
    revision: Revision,
    machines: u64,
    claimed: usize,
}

impl Placement {
    pub(super) fn review(&mut self, now: Timestamp, configuration: &Configuration) {
        if self.standby_reviews.due(now) && !self.lease.is_busy() {
            self.review_standby(configuration);
        }
        if self.idle_reviews.due(now) {
            for engine in self.engines.values_mut() {
                let stuck = engine.give_up_stuck(now);
                self.dirty.extend(stuck);
            }
            self.review_idle(now, configuration);
            self.forget_needs(now);
        }
    }

    /// Gives deployed artifacts that have no home one. After every artifact was
    /// looked at, only those are whose rows changed since.
    fn review_standby(&mut self, configuration: &Configuration) {
        let claimed = self.engines.values().filter(|it| it.is_eligible()).count();
        let state = StandbyState {
            revision: configuration.complete(),
            machines: self.machines_seen,
            claimed,
        };
        let reviewed = self.standby_reviewed.replace(state);
        if reviewed == Some(state) {
            return;
        }
        let changed = reviewed
            .filter(|reviewed| (reviewed.machines, reviewed.claimed) == (state.machines, claimed))
            .and_then(|reviewed| configuration.artifacts_changed_above(reviewed.revision));
        let is_done = match changed {
            Some(artifacts) => {
                let homes = standby::homes_among(&self.engines, &artifacts);
                self.stand_by(artifacts.into_iter(), homes, configuration)
            }
            None => {
                let homes = standby::homes_of(&self.engines);
                self.stand_by(configuration.deployed_artifacts(), homes, configuration)
            }
        };
        if !is_done {
            self.standby_reviewed = None;
        }
    }

    /// Gives those of the artifacts a home that have none; says whether all
    /// have one now.
    fn stand_by(
        &mut self,
        artifacts: impl Iterator<Item = Artifact>,
        mut homes: Homes,
        configuration: &Configuration,
    ) -> bool {
        let dormant: Vec<Dormant> = artifacts
            .filter(|artifact| !homes.contains_key(artifact))
            .take(standby::MEMBERS_PER_ROUND)
            .filter_map(|artifact| self.dormant(&artifact, configuration))
            .collect();
        let is_left = standby::assign(&dormant, &mut self.engines, &mut homes, &self.settings);
        dormant.len() < standby::MEMBERS_PER_ROUND && !is_left
    }

    fn dormant(&self, artifact: &Artifact, configuration: &Configuration) -> Option<Dormant> {
        let deployment = configuration.deployment(artifact)?;
        let allowed = self
            .engines
            .values()
            .filter(|engine| {
                let machine = &engine.machine;
                let labels = configuration.back_end_labels(&machine.id, &machine.labels);
                deployment.back_ends.matches(&labels)
            })
            .map(|engine| engine.machine.id.clone())
            .collect();
        Some(Dormant {
            parts: parts_of(artifact, configuration)?,
            allowed,
        })
    }

    /// Gives up what was idle for its keep-alive time.
    fn review_idle(&mut self, now: Timestamp, configuration: &Configuration) {
        let mut expired = Vec::new();
        for (id, engine) in &self.engines {
            for artifact in engine.targets() {
                if self.is_expired(now, id, artifact, configuration) {
                    expired.push((id.clone(), artifact.clone()));
                }
            }
        }
        for (id, artifact) in expired {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.give_up(&artifact);
            }
            self.dirty.insert(artifact);
        }
    }

    /// Forgets artifacts that are loaded nowhere and were not asked for in long.
    fn forget_needs(&mut self, now: Timestamp) {
        let engines = &self.engines;
        self.needs.retain(|artifact, need| {
            now.since(need.heard) < FORGOTTEN_DEMAND
                || engines.values().any(|engine| engine.wants(artifact))
        });
    }

    fn is_expired(
        &self,
        now: Timestamp,
        id: &BackEndId,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> bool {
        let (Some(deployment), Some(bytes)) = (
            configuration.deployment(artifact),
            configuration.memory(artifact),
        ) else {
            return true;
        };
        let (Some(idle), Some(engine)) = (self.idle_on(now, id, artifact), self.engines.get(id))
        else {
            return false;
        };
        let share = bytes as f64 / engine.next.capacity.max(1) as f64;
        let keep_alive = self.policy.keep_alive(
            now - idle,
            artifact,
            share,
            deployment.cold_start_weight,
            &self.settings,
        );
        idle >= keep_alive
    }
}
