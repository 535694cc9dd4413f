//! Rendezvous hashing: which of several nodes has a duty, without agreement.

use gorsebank_world::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `node` for `duty`; the highest has it.
pub fn weight(duty: &str, node: &NodeId) -> u64 {
    let seed = xxh3_64_with_seed(duty.as_bytes(), 0);
    xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}

/// The node that has `duty` among `nodes`.
pub fn first<'a>(duty: &str, nodes: impl IntoIterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    nodes
        .into_iter()
        .max_by_key(|node| (weight(duty, node), *node))
}

/// All of `nodes`, in the order in which they take `duty`.
pub fn ranked<'a>(duty: &str, nodes: impl IntoIterator<Item = &'a NodeId>) -> Vec<&'a NodeId> {
    let mut ranked: Vec<&NodeId> = nodes.into_iter().collect();
    ranked.sort_by_key(|node| std::cmp::Reverse((weight(duty, node), *node)));
    ranked
}
