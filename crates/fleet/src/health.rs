//! Recent health of a back end, as observed by one gateway.
//!
//! Input: outcomes of requests. Output: failure rate, mean latency, and whether the back end is
//! paused. A back end that cannot be reached is sent no requests for a pause, which doubles with
//! each further failure and ends with the first response.

use gorsebank_coordination::Timestamp;

/// Weight of the newest outcome in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Pause after the first failed connection.
const MIN_PAUSE_MS: u64 = 400;
/// Upper bound of the pause.
const MAX_PAUSE_MS: u64 = 4_000;
/// Half-life of the failure rate while no requests are sent.
const FAILURE_HALF_LIFE_MS: f64 = 4_000.0;
/// Time after the last response for which a mean latency is used. After it, a back end that was
/// slow for a while is tried again even if the other back ends could take all requests.
const LATENCY_LIFETIME_MS: u64 = 5_000;

/// Moving averages over one back end's responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    failure_rate_updated: Timestamp,
    latency: Option<MeanLatency>,
    pause_ms: u64,
    /// When the latest pause began.
    paused_at: Timestamp,
    paused_until: Timestamp,
}

/// A moving average of response times.
#[derive(Clone, Copy, Debug)]
struct MeanLatency {
    /// The average, in milliseconds.
    mean: f64,
    /// When the last response was received.
    updated: Timestamp,
}

impl Health {
    /// Records a response that was received `latency` milliseconds after the request was sent.
    pub fn record_response(&mut self, now: Timestamp, latency: u64) {
        self.update_failure_rate(now, 0.0);
        let latency = latency as f64;
        let previous = self.latency(now).unwrap_or(latency);
        self.latency = Some(MeanLatency {
            mean: previous + SMOOTHING_FACTOR * (latency - previous),
            updated: now,
        });
        self.pause_ms = 0;
        self.paused_until = Timestamp(0);
    }

    /// Records an error response of the back end.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.update_failure_rate(now, 1.0);
        self.pause_ms = 0;
    }

    /// Records a failed connection, a connection that broke, or a timeout.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        self.update_failure_rate(now, 1.0);
        self.pause_ms = (self.pause_ms * 2).clamp(MIN_PAUSE_MS, MAX_PAUSE_MS);
        self.paused_at = now;
        self.paused_until = now + self.pause_ms;
    }

    /// Whether the gateway currently sends the back end no requests.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Whether this is so because of a failure at `since` or later.
    pub fn is_paused_since(&self, now: Timestamp, since: Timestamp) -> bool {
        self.is_paused(now) && self.paused_at >= since
    }

    /// Recent fraction of failed requests, 0 to 1.
    pub fn failure_rate(&self, now: Timestamp) -> f64 {
        let age = now.since(self.failure_rate_updated) as f64;
        self.failure_rate * (-age / FAILURE_HALF_LIFE_MS).exp2()
    }

    /// Mean response time in milliseconds; `None` if there was no recent response.
    pub fn latency(&self, now: Timestamp) -> Option<f64> {
        let known = self.latency?;
        (now.since(known.updated) < LATENCY_LIFETIME_MS).then_some(known.mean)
    }

    fn update_failure_rate(&mut self, now: Timestamp, outcome: f64) {
        let previous = self.failure_rate(now);
        self.failure_rate = previous + SMOOTHING_FACTOR * (outcome - previous);
        self.failure_rate_updated = now;
    }
}
