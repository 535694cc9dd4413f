//! Steady time that also counts while the machine is suspended.
//!
//! The clock of tokio's and the standard library's `Instant` stands still then: by it a lease
//! is still valid, a deadline still far, and what was heard still fresh. So whatever others
//! rely on is reckoned by this clock, and `Instant` only waits.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// A machine that stood still for less than this was not suspended: the two clocks are read
/// one after the other.
pub const LEAST_SUSPENSION: Duration = Duration::from_millis(20);

/// Two looks at one clock that are closer than this belong to one moment.
const READ_TIME: Duration = Duration::from_millis(2);
/// Tries to read both clocks at one moment.
const READ_TRIES: usize = 4;

/// Where the time comes from.
pub trait TimeSource: fmt::Debug + Send + Sync {
    /// Time since the machine started, suspensions included.
    fn since_boot(&self) -> Duration;
}

/// The kernel's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct KernelTime;

impl TimeSource for KernelTime {
    fn since_boot(&self) -> Duration {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => time.into(),
            // Linux has had this clock since 2.6.39, and reading it has no other error.
            Err(error) => unreachable!("CLOCK_BOOTTIME: {error}"),
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
    /// A clock that starts now.
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

    /// How long the machine has been suspended, in all, since this clock started.
    pub fn suspended(&self) -> Duration {
        let (since_boot, steady) = self.read_both();
        let since_start = since_boot.saturating_sub(self.start);
        since_start.saturating_sub(steady)
    }

    /// Both clocks at one moment, as far as the thread was not put aside between them.
    fn read_both(&self) -> (Duration, Duration) {
        let mut since_boot = self.since_boot();
        for _ in 0..READ_TRIES {
            let steady = self.start_instant.elapsed();
            let after = self.since_boot();
            if after.saturating_sub(since_boot) < READ_TIME {
                return (since_boot, steady);
            }
            since_boot = after;
        }
        (since_boot, self.start_instant.elapsed())
    }

    /// Whether the machine was suspended since [`Clock::suspended`] said `before`.
    pub fn was_suspended_since(&self, before: Duration) -> bool {
        self.suspended() >= before + LEAST_SUSPENSION
    }
}
