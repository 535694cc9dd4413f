//! Exponential backoff between failed attempts, with jitter and an upper bound.

use std::time::Duration;

use tokio::time::sleep;

/// The backoff of one task.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max_pause: Duration,
    next: Duration,
}

impl Backoff {
    /// Starts with a pause of `initial`; no pause is longer than `max_pause` before jitter.
    pub fn new(initial: Duration, max_pause: Duration) -> Self {
        Backoff {
            initial,
            max_pause,
            next: initial,
        }
    }

    /// Sleeps for the next pause.
    pub async fn wait(&mut self) {
        sleep(self.next_pause()).await;
    }

    /// Between half and one and a half times the next pause, at random, so that tasks that failed
    /// together do not retry together.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.max_pause);
        pause.mul_f64(0.5 + rand::random::<f64>())
    }

    /// Returns to the first pause after a success.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }
}
