//! Accelerator memory on a back end is never overcommitted: what an engine
//! holds fits, and no order ever asks for more.

use std::collections::BTreeMap;

use gorsebank_emulator::model::engine::EngineEvent;
use gorsebank_world::{Artifact, BackEndId};

use crate::checker::{Rule, Violation};
use crate::history::{EngineHistory, History};

/// Checks the rule.
pub fn check(history: &History) -> Vec<Violation> {
    let engines = history
        .engines
        .iter()
        .flat_map(|(id, engine)| check_engine(id, engine));
    let decisions = history
        .decisions
        .iter()
        .filter(|decision| decision.plan.booked() > decision.plan.capacity)
        .map(|decision| Violation {
            rule: Rule::Memory,
            at: decision.at,
            what: format!("the decision for {} is larger than it", decision.back_end),
        });
    engines.chain(decisions).collect()
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
                        " and is ordered to load {artifact}"
                    ))
                ),
            });
        }
    }
    violations
}
