//! Measures the timer lag of this process: the mean delay with which its timers fire.
//!
//! On a machine without enough CPU capacity all tasks run late. A gateway with a high timer lag
//! is not a candidate for the placement lease.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Pause between two measurements.
const MEASUREMENT_PAUSE: Duration = Duration::from_millis(250);
/// Weight of the newest measurement in the moving average, which spans about two seconds.
const NEWEST_WEIGHT: f64 = 0.12;

/// Moving average of the timer lag, in microseconds.
#[derive(Debug, Default)]
pub struct TimerLag(AtomicU64);

impl TimerLag {
    /// Average of recent measurements.
    pub fn average(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }

    /// Adds one measurement.
    pub fn record(&self, lag: Duration) {
        let previous = self.average().as_secs_f64();
        let average = previous + (lag.as_secs_f64() - previous) * NEWEST_WEIGHT;
        let micros = Duration::from_secs_f64(average).as_micros() as u64;
        self.0.store(micros, Ordering::Relaxed);
    }
}

/// Measures until the future is dropped.
pub async fn measure(timer_lag: Arc<TimerLag>) {
    loop {
        let started_at = Instant::now();
        sleep(MEASUREMENT_PAUSE).await;
        timer_lag.record(started_at.elapsed().saturating_sub(MEASUREMENT_PAUSE));
    }
}
