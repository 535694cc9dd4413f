//! The pace at which a tenant's room is given out while its requests compete.
//!
//! Input: the mean rate of the tenant's window, what was given out, and the places that wait. Output:
//! the units that may be given out until any later time.

use gorsebank_coordination::Timestamp;

/// Room of this time, at the mean rate of a window, may be given out at once.
const BURST_MS: f64 = 500.0;

/// Units that may be given out, which grow at the mean rate of a window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    units: f64,
    /// Refunded units, which were given out once and need not grow again.
    refunded: f64,
    units_per_ms: f64,
    at: Timestamp,
}

impl Pace {
    /// The pace at `now`, given the one before. `reserved` units belong to places, for which units
    /// grow beyond the burst.
    pub fn continued(
        previous: Option<Pace>,
        now: Timestamp,
        units_per_ms: f64,
        reserved: f64,
    ) -> Self {
        let burst = units_per_ms * BURST_MS;
        let grown = |pace: Pace| pace.units_until(now) - pace.refunded;
        Pace {
            units: previous.map_or(burst, grown).min(burst + reserved),
            refunded: previous.map_or(0.0, |pace| pace.refunded),
            units_per_ms,
            at: now,
        }
    }

    /// Units that may be given out until a later time.
    pub fn units_until(&self, at: Timestamp) -> f64 {
        self.units + self.refunded + at.since(self.at) as f64 * self.units_per_ms
    }

    /// Records that units were given out.
    pub fn spend(&mut self, units: f64) {
        let refunded = units.min(self.refunded);
        self.refunded -= refunded;
        self.units -= units - refunded;
    }

    /// Records that units were refunded.
    pub fn refund(&mut self, units: f64) {
        self.refunded += units;
    }
}
