//! Checks that accepted configuration changes reach all nodes and are never
//! reverted.
//!
//! The version of a row never decreases within one incarnation of a node, every
//! node that no fault touches has an accepted version within a fixed time, and
//! no two changes are accepted at the same revision.

use std::collections::BTreeMap;

use gorsebank_world::{NodeId, RowKey};

use crate::checker::{Rule, Violation};
use crate::history::{ChangeRecord, History};

/// Time within which a node without faults has an accepted version, in
/// microseconds. The system's target allows 14 s.
const PROPAGATION_BOUND_US: u64 = 7_000_000;

/// Returns the violations of [`Rule::Configuration`] in the history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = find_reversions(history);
    violations.extend(
        history
            .changes
            .iter()
            .flat_map(|change| find_missing_update(history, change)),
    );
    violations.extend(find_duplicate_revisions(history));
    violations
}

/// Returns the readings in which a row's version is lower than in an earlier
/// reading at the same incarnation of the node.
fn find_reversions(history: &History) -> Vec<Violation> {
    let mut seen: BTreeMap<(&NodeId, u32, &RowKey), u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for reading in &history.readings {
        for (key, version) in &reading.versions {
            let highest = seen
                .entry((&reading.node, reading.incarnation, key))
                .or_default();
            if version < highest {
                violations.push(Violation {
                    rule: Rule::Configuration,
                    at: reading.at,
                    what: format!(
                        "version of {key} decreased from {highest} to {version} at {}",
                        reading.node
                    ),
                });
            }
            *highest = (*highest).max(*version);
        }
    }
    violations
}

/// Returns the first reading that lacks the accepted change after the
/// propagation bound.
fn find_missing_update(history: &History, change: &ChangeRecord) -> Option<Violation> {
    let (revision, accepted) = change.accepted?;
    let late = history.readings.iter().find(|reading| {
        let since = accepted.max(reading.undisturbed_since);
        let version = reading.versions.get(&change.key).copied().unwrap_or(0);
        reading.at > since + PROPAGATION_BOUND_US && version < revision
    })?;
    Some(Violation {
        rule: Rule::Configuration,
        at: late.at,
        what: format!(
            "{} does not have version {revision} of {}",
            late.node, change.key
        ),
    })
}

/// Returns accepted changes whose revision another accepted change has too: one
/// of the two updates is lost.
fn find_duplicate_revisions(history: &History) -> Vec<Violation> {
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
