//! Simulates operators, who change labels and read the configuration of every node.

use std::collections::BTreeMap;

use gorsebank_coordination::{Change, Edit, Node};
use gorsebank_world::{RowKey, RowKind};

use crate::trace::format::ChangeEvent;

/// Builds the change that an operator requests at a node. A conditional change expects the revision
/// that the node has.
pub fn change_from_event(event: &ChangeEvent, node: &Node) -> Change {
    let key = RowKey {
        kind: event.kind,
        name: event.name.as_str().into(),
    };
    let revision = node
        .with_configuration(|configuration| configuration.row(&key).map_or(0, |row| row.revision));
    Change {
        key,
        expected: event.conditional.then_some(revision),
        edit: Edit::Label(event.labels.clone()),
    }
}

/// Revisions of all live rows in the configuration of a node.
pub fn row_revisions(node: &Node) -> BTreeMap<RowKey, u64> {
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
