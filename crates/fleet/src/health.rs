//! How well a back end has answered of late, as one gateway saw it.
//!
//! A back end that does not answer at all is left alone for a while; the pause
//! doubles with each further failure and ends with the first answer.

use gorsebank_coordination::Timestamp;

/// Weight of the newest answer in the running means.
const NEWEST_WEIGHT: f64 = 0.2;
/// First pause after a connection failed, in milliseconds.
const FIRST_PAUSE: u64 = 400;
/// Longest pause, in milliseconds.
const LONGEST_PAUSE: u64 = 4_000;
/// The failure rate halves in this time without requests, in milliseconds.
const FAILURE_HALF_LIFE: f64 = 4_000.0;
/// A mean time to answer is believed for so long after the last answer, in milliseconds: a back end
/// that was slow for a while gets another try, though its peers could take all requests.
const LATENCY_LIFETIME: u64 = 5_000;

/// Running means over one back end's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    failure_noted: Timestamp,
    latency: Option<MeanLatency>,
    pause: u64,
    paused_until: Timestamp,
}

/// A running mean of times to answer.
#[derive(Clone, Copy, Debug)]
struct MeanLatency {
    /// In milliseconds.
    mean: f64,
    /// When the last answer came.
    noted: Timestamp,
}

impl Health {
    /// An answer came, `latency` milliseconds after the request was sent.
    pub fn answered(&mut self, now: Timestamp, latency: u64) {
        self.note(now, 0.0);
        let latency = latency as f64;
        let former = self.latency(now).unwrap_or(latency);
        self.latency = Some(MeanLatency {
            mean: former + NEWEST_WEIGHT * (latency - former),
            noted: now,
        });
        self.pause = 0;
        self.paused_until = Timestamp(0);
    }

    /// It answered with an error of its own.
    pub fn failed(&mut self, now: Timestamp) {
        self.note(now, 1.0);
        self.pause = 0;
    }

    /// It could not be reached, or broke off, or said nothing.
    pub fn unreachable(&mut self, now: Timestamp) {
        self.note(now, 1.0);
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.paused_until = now + self.pause;
    }

    /// Whether it is left alone for now.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Share of failures of late, 0 to 1.
    pub fn failure_rate(&self, now: Timestamp) -> f64 {
        let age = now.since(self.failure_noted) as f64;
        self.failure_rate * (-age / FAILURE_HALF_LIFE).exp2()
    }

    /// Mean time to answer in milliseconds, if one is known that is not too old.
    pub fn latency(&self, now: Timestamp) -> Option<f64> {
        let known = self.latency?;
        (now.since(known.noted) < LATENCY_LIFETIME).then_some(known.mean)
    }

    fn note(&mut self, now: Timestamp, outcome: f64) {
        let former = self.failure_rate(now);
        self.failure_rate = former + NEWEST_WEIGHT * (outcome - former);
        self.failure_noted = now;
    }
}
