//! Keeps loads from the weight store under its rate.
//!
//! Each holder spends at most half of what a span allows, so that the loads of
//! a holder that was just lost, or orders that are carried out late, fit beside.

use std::collections::VecDeque;

use gorsebank_coordination::Timestamp;

/// Span over which loads are counted, in milliseconds.
const SPAN: u64 = 5_000;
/// Part of the store's rate that one holder uses.
const PART: f64 = 0.6;

/// Loads of late.
#[derive(Debug, Default)]
pub struct LoadPace {
    started: VecDeque<Timestamp>,
}

impl LoadPace {
    /// Whether another load may begin now.
    pub fn allows(&mut self, now: Timestamp, loads_per_second: f64) -> bool {
        while self
            .started
            .front()
            .is_some_and(|time| now.since(*time) > SPAN)
        {
            self.started.pop_front();
        }
        let most = loads_per_second * SPAN as f64 / 1_000.0 * PART;
        (self.started.len() as f64) < most.max(1.0)
    }

    /// A load is ordered.
    pub fn note(&mut self, now: Timestamp) {
        self.started.push_back(now);
    }
}
