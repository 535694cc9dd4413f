//! The clock of an emulator process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use gorsebank_contract::Incarnation;

/// A clock that counts the milliseconds since its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// The milliseconds since the creation of the clock.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// An incarnation that is greater than that of any earlier process, taken from the
/// time of day.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}
