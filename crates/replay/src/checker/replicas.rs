//! Checks that no more replicas of a model are loaded than the table's plans permit.
//!
//! The plan in the table permits every artifact that the engine holds, both when
//! a load starts and until the artifact is unloaded: a plan does not drop an
//! artifact that the engine still holds.

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_contract::BackEndPlan;
use gorsebank_emulator::model::engine::EngineEvent;
use gorsebank_world::{Artifact, BackEndId};

use crate::checker::{Rule, Violation};
use crate::history::History;

enum Step<'a> {
    Plan(&'a BackEndPlan),
    Engine(&'a EngineEvent),
}

/// Returns the violations of [`Rule::Replicas`] in the history.
pub fn check(history: &History) -> Vec<Violation> {
    history
        .engines
        .keys()
        .flat_map(|id| check_engine(history, id))
        .collect()
}

fn check_engine(history: &History, id: &BackEndId) -> Vec<Violation> {
    let mut plan = BackEndPlan::default();
    let mut held: BTreeSet<Artifact> = BTreeSet::new();
    let mut violations = Vec::new();
    for (at, step) in sorted_steps(history, id) {
        match step {
            Step::Plan(new_plan) => plan = new_plan.clone(),
            Step::Engine(EngineEvent::Started) => held.clear(),
            Step::Engine(EngineEvent::LoadStarted { artifact, .. }) => {
                held.insert(artifact.clone());
            }
            Step::Engine(EngineEvent::Unloaded { artifact }) => {
                held.remove(artifact);
            }
            Step::Engine(_) => {}
        }
        if let Some(artifact) = held.iter().find(|artifact| !plan.permits(artifact)) {
            violations.push(Violation {
                rule: Rule::Replicas,
                at,
                what: format!("{id} holds {artifact}, which its plan does not permit"),
            });
        }
    }
    violations
}

/// Returns the plans and the events of an engine in the order of time.
///
/// Times of engine events are whole milliseconds, so a plan takes effect at the
/// beginning of its millisecond.
fn sorted_steps<'a>(history: &'a History, id: &BackEndId) -> Vec<(u64, Step<'a>)> {
    let mut steps: BTreeMap<(u64, u8, usize), Step<'a>> = BTreeMap::new();
    for (number, record) in history.plans.iter().enumerate() {
        if record.back_end == *id {
            let millisecond = record.at / 1_000 * 1_000;
            steps.insert((millisecond, 0, number), Step::Plan(&record.plan));
        }
    }
    let records = history.engines.get(id).map(|engine| &engine.records);
    for (number, record) in records.into_iter().flatten().enumerate() {
        steps.insert((record.at * 1_000, 1, number), Step::Engine(&record.event));
    }
    steps.into_iter().map(|(key, step)| (key.0, step)).collect()
}
