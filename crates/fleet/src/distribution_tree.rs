//! Distribution tree of the gateways: which gateways follow the table directly, and which take its
//! changes from another gateway.
//!
//! Input: the known gateways with the capacity of their machines. Output: the position of each
//! gateway in the tree, and the order in which it requests changes of the table from others.
//!
//! Two or three roots follow the table, whatever the number of gateways. Up to
//! `MAX_GATEWAYS_WITHOUT_INTERMEDIATES` gateways are children of the roots. Above that, some
//! intermediate gateways are children of the roots, and all other gateways are children of these.
//! All gateways compute the same order, by descending capacity and then by the same hash, so they
//! agree without communication as far as they know the same gateways. Changes carry an age, so
//! gateways that disagree cannot supply each other in a cycle: no gateway in the cycle can confirm
//! the content, and it soon becomes too old to be applied.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Number of roots of a small fleet: one of them may fail.
const SMALL_FLEET_ROOTS: usize = 2;
/// Number of roots of a large fleet, in which each root supplies several intermediate gateways.
const LARGE_FLEET_ROOTS: usize = 3;
/// Number of gateways up to which supplying children costs little, so that the placement holder
/// may be a parent too.
const SMALL_FLEET_SIZE: usize = 16;
/// Number of gateways up to which all of them are children of the roots.
const MAX_GATEWAYS_WITHOUT_INTERMEDIATES: usize = 64;
/// Average number of children of an intermediate gateway, which determines how many there are.
/// Each child costs its parent some ten messages per second.
const CHILDREN_PER_INTERMEDIATE: usize = 24;
/// Maximum average number of children of a zone's intermediate gateways for which the zone's leaves
/// take their parents from their own zone; half as many again as [`CHILDREN_PER_INTERMEDIATE`].
/// Traffic between zones is the largest cost of the distribution: 985 gateways sent 2.0 GB in one
/// run, and with 300 gateways the traffic lowers the service quality score by 0.25 to 0.39.
const MAX_CHILDREN_IN_ZONE: usize = 36;
/// Number of intermediate gateways that a leaf requests changes from before it tries a root.
const PARENTS_PER_LEAF: usize = 2;
/// Maximum number of gateways that a gateway requests changes from, one after the other.
const MAX_PARENTS: usize = 3;
/// Rate at which one core can forward rows, in megabits per second. A parent used 0.3 cores for 13
/// megabits per second.
const MEGABITS_PER_SECOND_PER_CORE: f64 = 40.0;

/// A gateway that may be a parent of others.
#[derive(Clone, Copy, Debug)]
pub struct ParentCandidate<'a> {
    /// The gateway's name.
    pub name: &'a str,
    /// Capacity of the machine's network link, in megabits per second; 0 if unknown.
    pub link_megabits: u32,
    /// Processor capacity of the gateway, in thousandths of a core; 0 if unknown.
    pub millicores: u32,
    /// The gateway's zone; `None` if unknown.
    pub zone: Option<&'a str>,
    /// Whether the gateway is the placement holder, which is work enough in a large fleet.
    pub is_placement_holder: bool,
}

impl ParentCandidate<'_> {
    /// Rate at which the gateway could forward rows, in kilobits per second.
    fn capacity(&self) -> u64 {
        let by_processor = f64::from(self.millicores) * MEGABITS_PER_SECOND_PER_CORE;
        (u64::from(self.link_megabits) * 1_000).min(by_processor as u64)
    }
}

/// A gateway's position in the distribution tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TreePosition {
    /// The gateway follows the table itself.
    #[default]
    Root,
    /// An intermediate gateway: its parents are roots, and it has children.
    Middle,
    /// The gateway's parents are roots, and the fleet has no intermediate gateways.
    LeafOfRoot,
    /// The gateway's parents are intermediate gateways.
    LeafOfMiddle,
}

/// Gateways from which one gateway takes the table's changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ParentOrder {
    /// The gateway's position in the tree.
    pub position: TreePosition,
    /// Indices of the possible parents, in the order in which they are tried; empty at a root.
    pub parents: Vec<usize>,
    /// Indices of all roots, in rank order.
    pub roots: Vec<usize>,
}

impl ParentOrder {
    /// Determines the position and the parents of the gateway `own` among all candidates, which
    /// include it. A gateway that is not among the candidates is a leaf; one that knows no
    /// candidates is a root.
    pub fn new(own: &str, candidates: &[ParentCandidate<'_>]) -> Self {
        let is_small = candidates.len() <= SMALL_FLEET_SIZE;
        let mut ranked: Vec<usize> = (0..candidates.len()).collect();
        ranked.sort_by_key(|index| {
            let candidate = &candidates[*index];
            let name = candidate.name;
            (
                candidate.is_placement_holder && !is_small,
                Reverse(candidate.capacity()),
                xxh3_64(name.as_bytes()),
                name,
            )
        });
        let tree = Tree::new(ranked);
        let is_own = |index: &usize| candidates[*index].name == own;
        let position = tree.position(is_own);
        let parents = match position {
            TreePosition::Root => Vec::new(),
            TreePosition::Middle | TreePosition::LeafOfRoot => tree.parents_at_roots(own),
            TreePosition::LeafOfMiddle => tree.parents_of_leaf(own, candidates),
        };
        let parents = parents.into_iter().filter(|index| !is_own(index));
        ParentOrder {
            position,
            parents: parents.take(MAX_PARENTS).collect(),
            roots: tree.roots().to_vec(),
        }
    }
}

/// All gateways, ordered by their suitability as a parent.
struct Tree {
    ranked: Vec<usize>,
    roots: usize,
    intermediates: usize,
}

impl Tree {
    fn new(ranked: Vec<usize>) -> Self {
        let count = ranked.len();
        let (roots, intermediates) = if count <= MAX_GATEWAYS_WITHOUT_INTERMEDIATES {
            (SMALL_FLEET_ROOTS, 0)
        } else {
            (LARGE_FLEET_ROOTS, count.div_ceil(CHILDREN_PER_INTERMEDIATE))
        };
        Tree {
            roots: roots.min(count),
            intermediates,
            ranked,
        }
    }

    fn roots(&self) -> &[usize] {
        &self.ranked[..self.roots]
    }

    fn intermediates(&self) -> &[usize] {
        &self.ranked[self.roots..self.roots + self.intermediates]
    }

    fn position(&self, is_own: impl Fn(&usize) -> bool) -> TreePosition {
        if self.roots == 0 || self.roots().iter().any(&is_own) {
            TreePosition::Root
        } else if self.intermediates().iter().any(&is_own) {
            TreePosition::Middle
        } else if self.intermediates == 0 {
            TreePosition::LeafOfRoot
        } else {
            TreePosition::LeafOfMiddle
        }
    }

    /// The roots, rotated by the gateway's name so that the load spreads, and then the next
    /// gateways in rank, which follow the table once they receive a request.
    fn parents_at_roots(&self, own: &str) -> Vec<usize> {
        let mut parents = rotate_by_name(self.roots(), own);
        parents.extend(&self.ranked[self.roots..]);
        parents
    }

    /// Two intermediate gateways, and then the roots.
    fn parents_of_leaf(&self, own: &str, candidates: &[ParentCandidate<'_>]) -> Vec<usize> {
        let zone_intermediates = self.intermediates_in_zone(own, candidates);
        let mut parents = rotate_by_name(
            zone_intermediates
                .as_deref()
                .unwrap_or(self.intermediates()),
            own,
        );
        parents.truncate(PARENTS_PER_LEAF);
        parents.extend(rotate_by_name(self.roots(), own));
        parents
    }

    /// Intermediate gateways in the zone of the gateway `own`, if there are enough of them for all
    /// gateways of the zone.
    fn intermediates_in_zone(
        &self,
        own: &str,
        candidates: &[ParentCandidate<'_>],
    ) -> Option<Vec<usize>> {
        let own = candidates.iter().find(|candidate| candidate.name == own)?;
        let zone = own.zone?;
        let is_in_zone = |candidate: &ParentCandidate<'_>| candidate.zone == Some(zone);
        let intermediates = self.intermediates().iter().copied();
        let zone_intermediates: Vec<usize> = intermediates
            .filter(|index| is_in_zone(&candidates[*index]))
            .collect();
        let zone_size = candidates
            .iter()
            .filter(|candidate| is_in_zone(candidate))
            .count();
        let is_enough = zone_intermediates.len() >= PARENTS_PER_LEAF
            && zone_size <= zone_intermediates.len() * MAX_CHILDREN_IN_ZONE;
        is_enough.then_some(zone_intermediates)
    }
}

fn rotate_by_name(indices: &[usize], own: &str) -> Vec<usize> {
    let mut rotated = indices.to_vec();
    let offset = xxh3_64(own.as_bytes()) as usize % rotated.len().max(1);
    rotated.rotate_left(offset);
    rotated
}
