//! Keeps loads from the weight store under its rate.
//!
//! Loads of a holder that was just lost fall into the same span as the first of
//! the next holder, and orders may be carried out late. So a holder begins with
//! half of the rate, and what two holders may begin together in one span stays
//! within the rate and its overage.

use std::collections::VecDeque;

use gorsebank_coordination::Timestamp;

/// Span over which loads are counted, in milliseconds.
const SPAN: u64 = 5_000;
/// Part of the store's rate that a holder uses in its first span.
const FIRST_PART: f64 = 0.5;
/// Part of it that it uses from then on.
const LATER_PART: f64 = 0.8;
/// The bound over one span is this part of the rate ...
const BOUND_PART: f64 = 1.1;
/// ... and so many loads.
const BOUND_EXTRA: f64 = 3.0;

/// Loads of late.
#[derive(Debug, Default)]
pub struct LoadPace {
    since: Option<Timestamp>,
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
        let since = *self.since.get_or_insert(now);
        let span_loads = loads_per_second * SPAN as f64 / 1_000.0;
        let part = if now.since(since) < SPAN {
            FIRST_PART
        } else {
            let both = BOUND_PART + BOUND_EXTRA / span_loads.max(f64::MIN_POSITIVE);
            LATER_PART.min(both - FIRST_PART)
        };
        (self.started.len() as f64) < (span_loads * part).max(1.0)
    }

    /// A load is ordered.
    pub fn note(&mut self, now: Timestamp) {
        self.started.push_back(now);
    }
}
