//! How long a call of a service waits for its answer.
//!
//! A lost answer should be noticed soon, and a slow one should still be taken.
//! So the wait follows the time that answers took of late; it doubles when
//! several calls in a row had none, up to a bound.

use std::time::Duration;

use parking_lot::Mutex;

/// A call waits for so many times the usual time of an answer.
const USUAL_FACTOR: f64 = 6.0;
/// Calls in a row without an answer after which the wait doubles: fewer may just
/// have lost theirs.
const EXPIRED_IN_A_ROW: u32 = 3;
/// Weight of the newest answer in the usual time.
const NEWEST_WEIGHT: f64 = 0.2;

/// Waits of the calls of one service.
#[derive(Debug)]
pub struct Patience {
    least: Duration,
    most: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    usual: Option<Duration>,
    wait: Duration,
    expired: u32,
}

impl Patience {
    /// Waits between `least` and `most`; the first calls wait for `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        let state = State {
            usual: None,
            wait: most,
            expired: 0,
        };
        Patience {
            least,
            most,
            state: Mutex::new(state),
        }
    }

    /// How long the next call waits.
    pub fn wait(&self) -> Duration {
        self.state.lock().wait
    }

    /// A call was answered after this time.
    pub fn answered(&self, time: Duration) {
        let mut state = self.state.lock();
        let usual = match state.usual {
            None => time,
            Some(usual) => usual.mul_f64(1.0 - NEWEST_WEIGHT) + time.mul_f64(NEWEST_WEIGHT),
        };
        state.usual = Some(usual);
        state.expired = 0;
        state.wait = usual.mul_f64(USUAL_FACTOR).clamp(self.least, self.most);
    }

    /// A call had no answer.
    pub fn expired(&self) {
        let mut state = self.state.lock();
        state.expired += 1;
        if state.expired.is_multiple_of(EXPIRED_IN_A_ROW) {
            state.wait = (state.wait * 2).min(self.most);
        }
    }
}
