//! Periodic reviews of standby decisions and idle artifacts.
//!
//! In: the configuration, demand, engines, time. Out: members of standby shares,
//! and removed targets of engines.

use gorsebank_contract::Revision;
use gorsebank_world::{Artifact, BackEndId};

use crate::configuration::Configuration;
use crate::placement::standby::{self, StandbyCandidate, StandbyEngines};
use crate::placement::{Placement, parts_of};
use crate::time::Timestamp;

/// Time without demand after which the record of an unloaded artifact is removed,
/// in milliseconds.
const DEMAND_RETENTION_MS: u64 = 600_000;

/// The inputs of a review of standby decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StandbyState {
    revision: Revision,
    machines: u64,
    eligible: usize,
}

impl Placement {
    pub(super) fn review(&mut self, now: Timestamp, configuration: &Configuration) {
        if self.standby_reviews.due(now) && !self.lease.is_busy() {
            self.review_standby(configuration);
        }
        if self.idle_reviews.due(now) {
            for engine in self.engines.values_mut() {
                let stuck = engine.remove_stuck_targets(now);
                self.dirty.extend(stuck);
            }
            self.review_idle(now, configuration);
            self.remove_old_demands(now);
        }
    }

    /// Assigns standby engines to deployed artifacts without one. After a review
    /// of all artifacts, only artifacts with changed rows are reviewed, until the
    /// machine list or the eligible engines change.
    fn review_standby(&mut self, configuration: &Configuration) {
        let eligible = self
            .engines
            .values()
            .filter(|engine| engine.is_eligible())
            .count();
        let state = StandbyState {
            revision: configuration.complete(),
            machines: self.machines_version,
            eligible,
        };
        let reviewed = self.standby_reviewed.replace(state);
        if reviewed == Some(state) {
            return;
        }
        let changed = reviewed
            .filter(|reviewed| (reviewed.machines, reviewed.eligible) == (state.machines, eligible))
            .and_then(|reviewed| configuration.artifacts_changed_above(reviewed.revision));
        let is_complete = match changed {
            Some(artifacts) => {
                let standby_engines = standby::standby_engines_among(&self.engines, &artifacts);
                self.assign_standby(artifacts.into_iter(), standby_engines, configuration)
            }
            None => {
                let standby_engines = standby::standby_engines_of(&self.engines);
                self.assign_standby(
                    configuration.deployed_artifacts(),
                    standby_engines,
                    configuration,
                )
            }
        };
        if !is_complete {
            self.standby_reviewed = None;
        }
    }

    /// Assigns standby engines to those of the artifacts without one, and returns
    /// whether all artifacts have one now.
    fn assign_standby(
        &mut self,
        artifacts: impl Iterator<Item = Artifact>,
        mut standby_engines: StandbyEngines,
        configuration: &Configuration,
    ) -> bool {
        let candidates: Vec<StandbyCandidate> = artifacts
            .filter(|artifact| !standby_engines.contains_key(artifact))
            .take(standby::MAX_MEMBERS_PER_REVIEW)
            .filter_map(|artifact| self.standby_candidate(&artifact, configuration))
            .collect();
        let has_unassigned = standby::assign(
            &candidates,
            &mut self.engines,
            &mut standby_engines,
            &self.settings,
        );
        candidates.len() < standby::MAX_MEMBERS_PER_REVIEW && !has_unassigned
    }

    fn standby_candidate(
        &self,
        artifact: &Artifact,
        configuration: &Configuration,
    ) -> Option<StandbyCandidate> {
        let deployment = configuration.deployment(artifact)?;
        let permitted_engines = self
            .engines
            .values()
            .filter(|engine| {
                let machine = &engine.machine;
                let labels = configuration.back_end_labels(&machine.id, &machine.labels);
                deployment.back_ends.matches(&labels)
            })
            .map(|engine| engine.machine.id.clone())
            .collect();
        Some(StandbyCandidate {
            parts: parts_of(artifact, configuration)?,
            permitted_engines,
        })
    }

    /// Removes the targets that have been idle for their keep-alive times.
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
                engine.remove_target(&artifact);
            }
            self.dirty.insert(artifact);
        }
    }

    /// Removes the records of artifacts that are targets nowhere and have had no
    /// demand for a long time.
    fn remove_old_demands(&mut self, now: Timestamp) {
        let engines = &self.engines;
        self.demands.retain(|artifact, demand| {
            now.since(demand.received_at) < DEMAND_RETENTION_MS
                || engines.values().any(|engine| engine.is_target(artifact))
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
        let memory_fraction = bytes as f64 / engine.next.capacity.max(1) as f64;
        let keep_alive = self.policy.keep_alive(
            now - idle,
            artifact,
            memory_fraction,
            deployment.cold_start_weight,
            &self.settings,
        );
        idle >= keep_alive
    }
}
