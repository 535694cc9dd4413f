//! Limits how often a gateway of a large fleet calls a table that is slow.
//!
//! In: the response times of direct calls. Out: when the next call may be made. A table that is
//! overloaded executes calls that nobody waits for any more, so it stays overloaded for as long as
//! all gateways repeat their calls on their own. All calls that other gateways could make instead
//! share one pace, at which the combined rate of the fleet is bounded.
//!
//! Gateways that follow the table for others, and holders of leases, are not limited: they are few, and
//! all others depend on their calls.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, sleep_until};

/// Response time from which a table is slow.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(250);
/// Time for which a table counts as slow after a slow response, or none.
const SLOW_LIFETIME: Duration = Duration::from_secs(5);
/// Maximum combined rate of the paced calls of all gateways while the table is slow.
const CALLS_PER_SECOND: f64 = 25.0;

/// The pace of one gateway's calls.
#[derive(Debug)]
pub struct CallPacer {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Until when the table counts as slow.
    slow_until: Instant,
    /// When the next call may be made while the table is slow.
    next_at: Instant,
}

impl Default for CallPacer {
    fn default() -> Self {
        let now = Instant::now();
        CallPacer {
            state: Mutex::new(State {
                slow_until: now,
                next_at: now,
            }),
        }
    }
}

impl CallPacer {
    /// Records a direct call that took `time` apart from a requested wait; `None` without a response.
    /// Returns whether the table counts as slow from now on and did not before.
    pub fn record_call(&self, time: Option<Duration>) -> bool {
        if time.is_some_and(|time| time <= SLOW_RESPONSE_TIME) {
            return false;
        }
        let now = Instant::now();
        let mut state = self.state.lock();
        let begins = now >= state.slow_until;
        state.slow_until = now + SLOW_LIFETIME;
        begins
    }

    /// Whether a recent call had a slow response, or none.
    pub fn is_slow(&self) -> bool {
        Instant::now() < self.state.lock().slow_until
    }

    /// Time until the next call may be made.
    pub fn time_left(&self) -> Duration {
        let now = Instant::now();
        let state = self.state.lock();
        if now < state.slow_until {
            state.next_at.saturating_duration_since(now)
        } else {
            Duration::ZERO
        }
    }

    /// Reserves the next call of one of `gateways` gateways and returns when it may be made.
    pub fn reserve(&self, gateways: usize) -> Instant {
        let interval = Duration::from_secs_f64(gateways as f64 / CALLS_PER_SECOND);
        let now = Instant::now();
        let mut state = self.state.lock();
        if now >= state.slow_until {
            return now;
        }
        let at = state.next_at.max(now);
        state.next_at = at + interval.mul_f64(0.5 + rand::random::<f64>());
        at
    }

    /// Waits for the next call of one of `gateways` gateways.
    pub async fn wait(&self, gateways: usize) {
        sleep_until(self.reserve(gateways)).await;
    }
}
