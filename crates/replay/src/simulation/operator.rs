//! Operators: they change labels, and read the configuration at every node.

use std::collections::BTreeMap;

use gorsebank_coordination::{Change, Edit, Node};
use gorsebank_world::{RowKey, RowKind};

use crate::trace::format::ChangeEvent;

/// The change that an operator asks for at a node.
pub fn change_of(event: &ChangeEvent, node: &Node) -> Change {
    let key = RowKey {
        kind: event.kind,
        name: event.name.as_str().into(),
    };
    let seen = node
        .with_configuration(|configuration| configuration.row(&key).map_or(0, |row| row.revision));
    Change {
        key,
        expected: event.conditional.then_some(seen),
        edit: Edit::Label(event.labels.clone()),
    }
}

/// Versions of all rows that a node has in force.
pub fn versions(node: &Node) -> BTreeMap<RowKey, u64> {
    const KINDS: [RowKind; 5] = [
        RowKind::Deployment,
        RowKind::Model,
        RowKind::Version,
        RowKind::Adapter,
        RowKind::BackEnd,
    ];
    node.with_configuration(|configuration| {
        KINDS
            .into_iter()
            .flat_map(|kind| configuration.live_rows(kind))
            .map(|row| (row.key.clone(), row.revision))
            .collect()
    })
}
