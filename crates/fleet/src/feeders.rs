//! Which gateways follow the table for the others.
//!
//! In: the gateways that are known, with the capacity of their links. Out: the order in
//! which each asks others for changes of the table, and whether it follows the table itself.
//!
//! Every gateway orders them alike, the largest links first and equal ones by the same
//! hash, so all agree without a word as far as they know the same gateways. Those that know
//! others ask gateways further down the order, which follow the table for as long as they
//! are asked: a name that is gone costs one question, never the table's changes.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// So many gateways follow the table at least: one may be gone.
const LEAST_FEEDERS: usize = 2;
/// One gateway feeds so many at most: each costs it some twenty messages a second.
const MOST_FED: usize = 32;
/// Gateways that are asked before the table is, at most.
const MOST_ASKED: usize = 3;

/// A gateway that may feed others.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Capacity of its machine's link in megabits a second; 0 if it is not known.
    pub link_megabits: u32,
}

/// Where one gateway takes the table's changes from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedOrder {
    /// It follows the table itself.
    pub follows: bool,
    /// Indices of the gateways that it asks, in this order; empty if it follows.
    pub asks: Vec<usize>,
}

impl FeedOrder {
    /// The order of the gateway `own` among all candidates, itself included. A gateway
    /// that is not among them asks all the same; one that knows nobody follows the table.
    pub fn new(own: &str, candidates: &[Candidate<'_>]) -> Self {
        let mut ranked: Vec<usize> = (0..candidates.len()).collect();
        ranked.sort_by_key(|index| {
            let Candidate {
                name,
                link_megabits,
            } = candidates[*index];
            (Reverse(link_megabits), xxh3_64(name.as_bytes()), name)
        });
        let feeders = candidates.len().div_ceil(MOST_FED).max(LEAST_FEEDERS);
        let feeders = feeders.min(candidates.len());
        let is_own = |index: &usize| candidates[*index].name == own;
        if feeders == 0 || ranked[..feeders].iter().any(is_own) {
            return FeedOrder {
                follows: true,
                asks: Vec::new(),
            };
        }
        let first = xxh3_64(own.as_bytes()) as usize % feeders;
        ranked[..feeders].rotate_left(first);
        let others = ranked.into_iter().filter(|index| !is_own(index));
        FeedOrder {
            follows: false,
            asks: others.take(MOST_ASKED).collect(),
        }
    }
}
