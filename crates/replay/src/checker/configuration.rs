//! An accepted configuration is in force everywhere within seconds and never
//! reverts: no row's version falls within a node's life, and every node that
//! was reachable has the accepted version soon.

use std::collections::BTreeMap;

use gorsebank_world::{NodeId, RowKey};

use crate::checker::{Rule, Violation};
use crate::history::{ChangeRecord, History};

/// Within this time, in microseconds; the target allows 14 s.
const IN_FORCE: u64 = 7_000_000;

/// Checks the rule.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = reversions(history);
    violations.extend(
        history
            .changes
            .iter()
            .flat_map(|change| missing(history, change)),
    );
    violations.extend(lost_updates(history));
    violations
}

fn reversions(history: &History) -> Vec<Violation> {
    let mut seen: BTreeMap<(&NodeId, u32, &RowKey), u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for reading in &history.readings {
        for (key, version) in &reading.versions {
            let highest = seen.entry((&reading.node, reading.life, key)).or_default();
            if version < highest {
                violations.push(Violation {
                    rule: Rule::Configuration,
                    at: reading.at,
                    what: format!("{key} fell from {highest} to {version} at {}", reading.node),
                });
            }
            *highest = (*highest).max(*version);
        }
    }
    violations
}

fn missing(history: &History, change: &ChangeRecord) -> Option<Violation> {
    let (revision, accepted) = change.accepted?;
    let late = history.readings.iter().find(|reading| {
        let since = accepted.max(reading.undisturbed_since);
        let version = reading.versions.get(&change.key).copied().unwrap_or(0);
        reading.at > since + IN_FORCE && version < revision
    })?;
    Some(Violation {
        rule: Rule::Configuration,
        at: late.at,
        what: format!("{} has not version {revision} of {}", late.node, change.key),
    })
}

/// Two changes that were both accepted have different revisions.
fn lost_updates(history: &History) -> Vec<Violation> {
    let mut by_revision: BTreeMap<u64, &ChangeRecord> = BTreeMap::new();
    let mut violations = Vec::new();
    for change in &history.changes {
        let Some((revision, at)) = change.accepted else {
            continue;
        };
        if by_revision.insert(revision, change).is_some() {
            violations.push(Violation {
                rule: Rule::Configuration,
                at,
                what: format!("two changes were accepted as revision {revision}"),
            });
        }
    }
    violations
}
