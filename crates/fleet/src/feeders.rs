//! Which gateways follow the table for the others: a tree of two steps at most.
//!
//! In: the gateways that are known, with what their machines can carry. Out: the place
//! of each in the tree, and the order in which it asks others for changes of the table.
//!
//! Two or three roots follow the table, whatever the number of gateways. Up to
//! [`MOST_WITHOUT_MIDDLES`] gateways ask these; of more, some in the middle ask the roots
//! and all others ask those. Every gateway orders all alike, the strongest machines first
//! and equal ones by the same hash, so all agree without a word as far as they know the
//! same gateways. What is told has an age, so gateways that do not agree cannot feed each
//! other in a circle: nobody confirms what goes round, and it is soon too old to be taken.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Roots of a small fleet: one may be gone.
const FEW_ROOTS: usize = 2;
/// Roots of a large one: each feeds several gateways that feed others.
const MANY_ROOTS: usize = 3;
/// In a fleet of up to so many gateways feeding costs little, so the one that places
/// models may feed others too.
const SMALL_FLEET: usize = 16;
/// Up to so many gateways ask the roots.
const MOST_WITHOUT_MIDDLES: usize = 64;
/// A gateway in the middle feeds so many at most: each costs it some ten messages a second.
const MOST_FED: usize = 24;
/// Leaves ask gateways of their own zone if each of these then feeds so many at most, half as
/// many again as on average. Bytes between zones are what feeding costs most: 2.0 GB in a day
/// of 985 gateways, and 0.25 to 0.39 of worth at 300.
const MOST_FED_IN_ZONE: usize = 36;
/// Gateways that a leaf asks first.
const PARENTS_OF_A_LEAF: usize = 2;
/// Gateways that are asked at most, one after the other.
const MOST_ASKED: usize = 3;
/// Rows that a whole core can pass on, in megabits a second; measured: a feeder used 0.3
/// cores for 13 megabits a second.
const MEGABITS_PER_CORE: f64 = 40.0;

/// A gateway that may feed others.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Capacity of its machine's link in megabits a second; 0 if it is not known.
    pub link_megabits: u32,
    /// Processor that it has, in thousandths of a core; 0 if it is not known.
    pub millicores: u32,
    /// Its zone; none if it is not known.
    pub zone: Option<&'a str>,
    /// It places models, which is work enough.
    pub places_models: bool,
}

impl Candidate<'_> {
    /// What it could pass on, in kilobits a second.
    fn capacity(&self) -> u64 {
        let by_processor = f64::from(self.millicores) * MEGABITS_PER_CORE;
        (u64::from(self.link_megabits) * 1_000).min(by_processor as u64)
    }
}

/// A gateway's place in the tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Place {
    /// It follows the table itself.
    #[default]
    Root,
    /// It is fed by roots and feeds others.
    Middle,
    /// It is fed by roots, in a small fleet.
    LeafOfRoot,
    /// It is fed by gateways in the middle.
    LeafOfMiddle,
}

/// Where one gateway takes the table's changes from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedOrder {
    /// Its place.
    pub place: Place,
    /// Indices of the gateways that it asks, in this order; empty at a root.
    pub asks: Vec<usize>,
    /// Indices of all roots, the best first.
    pub roots: Vec<usize>,
}

impl FeedOrder {
    /// The order of the gateway `own` among all candidates, itself included. A gateway
    /// that is not among them asks all the same; one that knows nobody follows the table.
    pub fn new(own: &str, candidates: &[Candidate<'_>]) -> Self {
        let is_small = candidates.len() <= SMALL_FLEET;
        let mut ranked: Vec<usize> = (0..candidates.len()).collect();
        ranked.sort_by_key(|index| {
            let candidate = &candidates[*index];
            let name = candidate.name;
            (
                candidate.places_models && !is_small,
                Reverse(candidate.capacity()),
                xxh3_64(name.as_bytes()),
                name,
            )
        });
        let tree = Tree::new(ranked);
        let is_own = |index: &usize| candidates[*index].name == own;
        let place = tree.place(is_own);
        let asks = match place {
            Place::Root => Vec::new(),
            Place::Middle | Place::LeafOfRoot => tree.asks_of_roots(own),
            Place::LeafOfMiddle => tree.asks_of_middles(own, candidates),
        };
        let asks = asks.into_iter().filter(|index| !is_own(index));
        FeedOrder {
            place,
            asks: asks.take(MOST_ASKED).collect(),
            roots: tree.roots().to_vec(),
        }
    }
}

/// All gateways, the best feeders first.
struct Tree {
    ranked: Vec<usize>,
    roots: usize,
    middles: usize,
}

impl Tree {
    fn new(ranked: Vec<usize>) -> Self {
        let count = ranked.len();
        let (roots, middles) = if count <= MOST_WITHOUT_MIDDLES {
            (FEW_ROOTS, 0)
        } else {
            (MANY_ROOTS, count.div_ceil(MOST_FED))
        };
        Tree {
            roots: roots.min(count),
            middles,
            ranked,
        }
    }

    fn roots(&self) -> &[usize] {
        &self.ranked[..self.roots]
    }

    fn middles(&self) -> &[usize] {
        &self.ranked[self.roots..self.roots + self.middles]
    }

    fn place(&self, is_own: impl Fn(&usize) -> bool) -> Place {
        if self.roots == 0 || self.roots().iter().any(&is_own) {
            Place::Root
        } else if self.middles().iter().any(&is_own) {
            Place::Middle
        } else if self.middles == 0 {
            Place::LeafOfRoot
        } else {
            Place::LeafOfMiddle
        }
    }

    /// The roots, beginning with another one for each name, and then the next in rank,
    /// which follows the table when it is asked.
    fn asks_of_roots(&self, own: &str) -> Vec<usize> {
        let mut asks = rotated(self.roots(), own);
        asks.extend(&self.ranked[self.roots..]);
        asks
    }

    /// Two gateways in the middle, and then a root.
    fn asks_of_middles(&self, own: &str, candidates: &[Candidate<'_>]) -> Vec<usize> {
        let near = self.middles_in_zone(own, candidates);
        let mut asks = rotated(near.as_deref().unwrap_or(self.middles()), own);
        asks.truncate(PARENTS_OF_A_LEAF);
        asks.extend(rotated(self.roots(), own));
        asks
    }

    /// Gateways in the middle of a gateway's own zone, if there are enough for all in it.
    fn middles_in_zone(&self, own: &str, candidates: &[Candidate<'_>]) -> Option<Vec<usize>> {
        let own = candidates.iter().find(|candidate| candidate.name == own)?;
        let zone = own.zone?;
        let is_near = |candidate: &Candidate<'_>| candidate.zone == Some(zone);
        let middles = self.middles().iter().copied();
        let near: Vec<usize> = middles
            .filter(|index| is_near(&candidates[*index]))
            .collect();
        let fed = candidates
            .iter()
            .filter(|candidate| is_near(candidate))
            .count();
        let are_enough = near.len() >= PARENTS_OF_A_LEAF && fed <= near.len() * MOST_FED_IN_ZONE;
        are_enough.then_some(near)
    }
}

fn rotated(indices: &[usize], own: &str) -> Vec<usize> {
    let mut rotated = indices.to_vec();
    let first = xxh3_64(own.as_bytes()) as usize % rotated.len().max(1);
    rotated.rotate_left(first);
    rotated
}
