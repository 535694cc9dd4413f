//! A node's share of the retry budget of all nodes.
//!
//! The budget bounds the retries of all nodes together within every time span of the window's
//! length. Each node spends at most `ratio` times its own requests within the window, plus an equal
//! share of the fixed allowance, so the sum keeps the bound without any message between nodes.
//! Retries are counted before they are sent.
//!
//! Input: requests, retries, and the number of nodes. Output: whether a retry may be sent.

use std::collections::VecDeque;

use gorsebank_coordination::Timestamp;

/// Fraction of the ratio that is spent. The rest covers requests that leave the window before
/// their retries do.
const RATIO_FRACTION: f64 = 0.7;
/// Fraction of the fixed allowance that is spent. The rest covers restarted nodes, which no longer
/// know what they spent.
const ALLOWANCE_FRACTION: f64 = 0.5;

/// The retry budget that all nodes together keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries within the window, over all nodes.
    pub allowance: f64,
    /// Length of the window in milliseconds.
    pub window: u64,
}

/// Requests and retries of one service within the window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    share: RetryShare,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryWindow {
    /// An empty window.
    pub fn new(share: RetryShare) -> Self {
        RetryWindow {
            share,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Spends one retry if the share of one of `nodes` nodes permits it. Returns whether it does.
    pub fn take(&mut self, now: Timestamp, nodes: usize) -> bool {
        let allowed = self.left(now, nodes) >= 1.0;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Retries left in the share of one of `nodes` nodes; negative if the share has shrunk since
    /// the retries were spent.
    pub fn left(&mut self, now: Timestamp, nodes: usize) -> f64 {
        self.expire(now);
        let allowance = self.share.allowance * ALLOWANCE_FRACTION / nodes.max(1) as f64;
        let earned = self.share.ratio * RATIO_FRACTION * self.requests.len() as f64;
        allowance + earned - self.retries.len() as f64
    }

    fn expire(&mut self, now: Timestamp) {
        let window = self.share.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) > window) {
                times.pop_front();
            }
        }
    }
}
