//! Pauses between tries that fail: each twice as long as the one before, up to a bound.

use std::time::Duration;

use tokio::time::sleep;

/// Pauses of one task.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Begins with a pause of `first`; none is longer than `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Backoff {
            first,
            longest,
            next: first,
        }
    }

    /// Waits for the next pause.
    pub async fn wait(&mut self) {
        sleep(self.next_pause()).await;
    }

    /// Half of the next pause to one and a half of it, so that tasks which failed together
    /// do not try again together.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.longest);
        pause.mul_f64(0.5 + rand::random::<f64>())
    }

    /// A try succeeded: the next pause is the first one again.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
