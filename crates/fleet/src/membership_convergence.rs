//! Detects when a gateway knows enough other gateways while all of them start at the same time.
//!
//! Input: the number of gateways in each read of the table of members. Output: whether the table
//! should be read again.
//!
//! The table stores the rows of hundreds of gateways one after the other, which takes seconds. A
//! gateway that starts with the first few rows selects its parents among these, however weak they
//! are: 985 gateways requested 10,000 rows from the first thirteen, and only a third of them were
//! ready after 24 s.

/// Number of gateways below which the choice of parents does no harm, whatever rows are known.
const SMALL_FLEET_SIZE: usize = 64;
/// Relative growth between two reads below which the list is complete or nearly so. The missing
/// rows hardly change which gateways become parents.
const MAX_GROWTH: f64 = 0.1;

/// Growth of the list of members over the reads so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipConvergence {
    last_count: usize,
}

impl MembershipConvergence {
    /// Records the number of gateways in a read. Returns true if no further read is needed.
    pub fn observe(&mut self, gateways: usize) -> bool {
        let previous = std::mem::replace(&mut self.last_count, gateways);
        let grown = gateways.saturating_sub(previous) as f64;
        gateways < SMALL_FLEET_SIZE || grown < previous as f64 * MAX_GROWTH
    }
}
