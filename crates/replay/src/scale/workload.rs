//! The load of a scale run: busy models, dormant adapters that wake, changes.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Figures of the target, each for one node unless said otherwise. Source: the
/// users' first letter, divided by its 1,300 nodes.
pub mod target {
    /// Nodes.
    pub const NODES: f64 = 1_300.0;
    /// Requests a second at the peak.
    pub const REQUESTS_PER_SECOND: f64 = 49_000.0;
    /// Wake-ups a second: 34% of 62,000 adapters in an hour.
    pub const WAKES_PER_SECOND: f64 = 0.34 * 62_000.0 / 3_600.0;
    /// Configuration changes a second: 12,000 a day.
    pub const CHANGES_PER_SECOND: f64 = 12_000.0 / 86_400.0;
    /// Base models.
    pub const MODELS: usize = 86;
    /// Mean time that a request runs: 245 tokens, 35 ms each.
    pub const SERVICE_MILLISECONDS: u64 = 245 * 35;
}

/// Rates of a run of a given size.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Requests a second to busy models, over all nodes.
    pub requests: f64,
    /// Wake-ups a second, over all nodes.
    pub wakes: f64,
    /// Configuration changes a second, over all nodes. Not scaled: every node
    /// hears of every change.
    pub changes: f64,
}

impl Rates {
    /// The target's rates, in proportion to the nodes.
    pub fn for_nodes(nodes: usize) -> Self {
        let share = nodes as f64 / target::NODES;
        Rates {
            requests: target::REQUESTS_PER_SECOND * share,
            wakes: target::WAKES_PER_SECOND * share,
            changes: target::CHANGES_PER_SECOND,
        }
    }
}

/// The time until the next event of a Poisson process, in microseconds.
pub fn gap(rate: f64, random: &mut ChaCha8Rng) -> u64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    (-uniform.ln() / rate * 1e6) as u64
}
