//! Assigns keys to nodes by rendezvous hashing, without communication between
//! the nodes. The inputs are a key and the nodes; the output is the node that is
//! responsible for the key, or the nodes in order of their rank for the key.

use gorsebank_world::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `node` for `key`. The node with the highest weight is
/// responsible for the key.
pub fn weight(key: &str, node: &NodeId) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}

/// Returns the node among `nodes` that is responsible for `key`.
pub fn first<'a>(key: &str, nodes: impl IntoIterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    nodes
        .into_iter()
        .max_by_key(|node| (weight(key, node), *node))
}

/// Returns all of `nodes` in descending order of their weight for `key`.
pub fn ranked<'a>(key: &str, nodes: impl IntoIterator<Item = &'a NodeId>) -> Vec<&'a NodeId> {
    let mut ranked: Vec<&NodeId> = nodes.into_iter().collect();
    ranked.sort_by_key(|node| std::cmp::Reverse((weight(key, node), *node)));
    ranked
}
