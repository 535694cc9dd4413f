//! A monotonic clock that also advances while the machine is suspended.
//!
//! The clock behind `Instant` of tokio and of the standard library stops during a suspension. By
//! that clock, a lease would still be valid, a deadline far away, and received state fresh.
//! Therefore all times that other processes rely on use the clock in this module, and `Instant` is
//! used only for waiting.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Minimum difference between the two clocks that counts as a suspension. The clocks are read one
/// after the other, so smaller differences occur without a suspension.
pub const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Maximum time between two reads of one clock that are considered simultaneous.
const MAX_READ_GAP: Duration = Duration::from_millis(2);
/// Maximum number of attempts to read both clocks simultaneously.
const MAX_READ_ATTEMPTS: usize = 4;

/// Source of the time.
pub trait TimeSource: fmt::Debug + Send + Sync {
    /// Time since the machine started, including suspensions.
    fn since_boot(&self) -> Duration;
}

/// The kernel's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct KernelTime;

impl TimeSource for KernelTime {
    fn since_boot(&self) -> Duration {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => time.into(),
            // Linux has this clock since 2.6.39, and reading it cannot fail for another reason.
            Err(error) => unreachable!("cannot read CLOCK_BOOTTIME: {error}"),
        }
    }
}

/// The clock of a process.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Arc<dyn TimeSource>,
    start: Duration,
    start_instant: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new(Arc::new(KernelTime))
    }
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new(source: Arc<dyn TimeSource>) -> Self {
        Clock {
            start: source.since_boot(),
            start_instant: Instant::now(),
            source,
        }
    }

    /// Time since the machine started.
    pub fn since_boot(&self) -> Duration {
        self.source.since_boot()
    }

    /// Time since this clock started.
    pub fn now(&self) -> Timestamp {
        let since_start = self.since_boot().saturating_sub(self.start);
        Timestamp(since_start.as_millis() as u64)
    }

    /// Total time for which the machine has been suspended since this clock started.
    pub fn total_suspension(&self) -> Duration {
        let (since_boot, instant_elapsed) = self.read_both();
        let since_start = since_boot.saturating_sub(self.start);
        since_start.saturating_sub(instant_elapsed)
    }

    /// Reads both clocks, simultaneously unless the scheduler interrupts the thread between the
    /// reads at every attempt.
    fn read_both(&self) -> (Duration, Duration) {
        let mut since_boot = self.since_boot();
        for _ in 0..MAX_READ_ATTEMPTS {
            let instant_elapsed = self.start_instant.elapsed();
            let after = self.since_boot();
            if after.saturating_sub(since_boot) < MAX_READ_GAP {
                return (since_boot, instant_elapsed);
            }
            since_boot = after;
        }
        (since_boot, self.start_instant.elapsed())
    }

    /// Whether the machine has been suspended since [`Clock::total_suspension`] returned `before`.
    pub fn was_suspended_since(&self, before: Duration) -> bool {
        self.total_suspension() >= before + MIN_SUSPENSION
    }
}
