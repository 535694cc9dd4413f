//! A node's share of the retry budget of all nodes.
//!
//! The bound holds for every span of the window's length and for all nodes
//! together. Each node spends at most `ratio` times its own requests of the
//! window plus an equal part of the fixed allowance, so the sum keeps the bound
//! without any message. Retries are counted before they are sent.

use std::collections::VecDeque;

use gorsebank_coordination::Timestamp;

/// Part of the ratio that is spent; the rest covers requests that leave the window.
const RATIO_USED: f64 = 0.7;
/// Part of the fixed allowance that is spent; the rest covers restarted nodes,
/// which have forgotten what they spent.
const ALLOWANCE_USED: f64 = 0.5;

/// The bound that all nodes keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries on top, over all nodes.
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

    /// A request arrived.
    pub fn request(&mut self, now: Timestamp) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry, if the share of one of `nodes` nodes allows it.
    pub fn withdraw(&mut self, now: Timestamp, nodes: usize) -> bool {
        let allowed = self.left(now, nodes) >= 1.0;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Retries that are left in the share of one of `nodes` nodes; below 0 when the
    /// share has shrunk since they were taken.
    pub fn left(&mut self, now: Timestamp, nodes: usize) -> f64 {
        self.expire(now);
        let allowance = self.share.allowance * ALLOWANCE_USED / nodes.max(1) as f64;
        let earned = self.share.ratio * RATIO_USED * self.requests.len() as f64;
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
