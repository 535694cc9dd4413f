//! A timeout for calls of a service that adapts to recent response times.
//!
//! A lost response should be noticed soon, and a slow one should still be accepted. The timeout is
//! therefore a multiple of the moving average of response times. It doubles, up to a bound, when
//! several calls in a row had no response.

use std::time::Duration;

use parking_lot::Mutex;

/// The timeout is this multiple of the average response time.
const AVERAGE_FACTOR: f64 = 6.0;
/// Number of consecutive calls without a response after which the timeout doubles. With fewer, the
/// responses may just have been lost.
const TIMEOUTS_BEFORE_DOUBLING: u32 = 3;
/// Weight of the latest response in the moving average.
const LATEST_WEIGHT: f64 = 0.2;

/// Timeout for the calls of one service.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    min: Duration,
    max: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    average: Option<Duration>,
    timeout: Duration,
    consecutive_timeouts: u32,
}

impl AdaptiveTimeout {
    /// Creates a timeout between `min` and `max`; the first calls use `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        let state = State {
            average: None,
            timeout: max,
            consecutive_timeouts: 0,
        };
        AdaptiveTimeout {
            min,
            max,
            state: Mutex::new(state),
        }
    }

    /// The timeout of the next call.
    pub fn current(&self) -> Duration {
        self.state.lock().timeout
    }

    /// Records a call whose response took `time`.
    pub fn record_response(&self, time: Duration) {
        let mut state = self.state.lock();
        let average = match state.average {
            None => time,
            Some(average) => average.mul_f64(1.0 - LATEST_WEIGHT) + time.mul_f64(LATEST_WEIGHT),
        };
        state.average = Some(average);
        state.consecutive_timeouts = 0;
        state.timeout = average.mul_f64(AVERAGE_FACTOR).clamp(self.min, self.max);
    }

    /// Records a call without a response.
    pub fn record_timeout(&self) {
        let mut state = self.state.lock();
        state.consecutive_timeouts += 1;
        if state
            .consecutive_timeouts
            .is_multiple_of(TIMEOUTS_BEFORE_DOUBLING)
        {
            state.timeout = (state.timeout * 2).min(self.max);
        }
    }
}
