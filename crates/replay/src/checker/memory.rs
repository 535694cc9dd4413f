//! Checks that the accelerator memory of a back end is never overcommitted.
//!
//! The artifacts that an engine holds fit into its memory, no plan reserves more
//! than the capacity, and no order loads an artifact that does not fit.

use std::collections::BTreeMap;

use gorsebank_emulator::model::engine::EngineEvent;
use gorsebank_world::{Artifact, BackEndId};

use crate::checker::{Rule, Violation};
use crate::history::{EngineHistory, History};

/// Returns the violations of [`Rule::Memory`] in the history.
pub fn check(history: &History) -> Vec<Violation> {
    let engines = history
        .engines
        .iter()
        .flat_map(|(id, engine)| check_engine(id, engine));
    let plans = history
        .plans
        .iter()
        .filter(|record| record.plan.reserved_bytes() > record.plan.capacity)
        .map(|record| Violation {
            rule: Rule::Memory,
            at: record.at,
            what: format!("the plan for {} exceeds its memory", record.back_end),
        });
    engines.chain(plans).collect()
}

fn check_engine(id: &BackEndId, engine: &EngineHistory) -> Vec<Violation> {
    let mut held: BTreeMap<&Artifact, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in &engine.records {
        let mut refused = None;
        match &record.event {
            EngineEvent::Started => held.clear(),
            EngineEvent::LoadStarted { artifact, bytes } => {
                held.insert(artifact, *bytes);
            }
            EngineEvent::Unloaded { artifact } => {
                held.remove(artifact);
            }
            EngineEvent::OverCommitRefused { artifact } => refused = Some(artifact),
            EngineEvent::Loaded { .. }
            | EngineEvent::RoleChanged { .. }
            | EngineEvent::Ran { .. } => {}
        }
        let used: u64 = held.values().sum();
        if used > engine.memory || refused.is_some() {
            violations.push(Violation {
                rule: Rule::Memory,
                at: record.at * 1_000,
                what: format!(
                    "{id} uses {used} of {} bytes{}",
                    engine.memory,
                    refused.map_or_else(String::new, |artifact| format!(
                        " and refused an order to load {artifact}"
                    ))
                ),
            });
        }
    }
    violations
}
