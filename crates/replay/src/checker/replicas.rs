//! No more replicas of a model are loaded than the system decided: whatever an
//! engine loads, the decision in the table at that moment lets it hold, and no
//! decision is taken back while the engine still holds it.

use std::collections::{BTreeMap, BTreeSet};

use gorsebank_contract::BackEndPlan;
use gorsebank_emulator::model::engine::EngineEvent;
use gorsebank_world::{Artifact, BackEndId};

use crate::checker::{Rule, Violation};
use crate::history::History;

enum Step<'a> {
    Decision(&'a BackEndPlan),
    Engine(&'a EngineEvent),
}

/// Checks the rule.
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
    for (at, step) in steps(history, id) {
        match step {
            Step::Decision(decision) => plan = decision.clone(),
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
                what: format!("{id} holds {artifact}, which the table does not decide"),
            });
        }
    }
    violations
}

/// Decisions and engine events in order. Engine times are whole milliseconds,
/// so that decisions count from the beginning of theirs.
fn steps<'a>(history: &'a History, id: &BackEndId) -> Vec<(u64, Step<'a>)> {
    let mut steps: BTreeMap<(u64, u8, usize), Step<'a>> = BTreeMap::new();
    for (number, decision) in history.decisions.iter().enumerate() {
        if decision.back_end == *id {
            let millisecond = decision.at / 1_000 * 1_000;
            steps.insert((millisecond, 0, number), Step::Decision(&decision.plan));
        }
    }
    let records = history.engines.get(id).map(|engine| &engine.records);
    for (number, record) in records.into_iter().flatten().enumerate() {
        steps.insert((record.at * 1_000, 1, number), Step::Engine(&record.event));
    }
    steps.into_iter().map(|(key, step)| (key.0, step)).collect()
}
