//! Keeps loads from the weight store under its bound.
//!
//! The bound holds over every window, for all holders together, and counts the
//! moment at which a load begins, some time after its order. So loads are
//! counted over the window and a margin, and a holder begins with the loads of
//! those before it: the lease's row tells of them, and an engine's row tells of
//! each load before it is ordered. A part of the rate is left for orders that
//! are carried out late.

use std::collections::VecDeque;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::BackEndId;
use serde::{Deserialize, Serialize};

/// Part of the weight store's rate that is used.
const PART: f64 = 0.9;
/// Time from an order until its load has begun, in milliseconds.
const ORDER_TIME: u64 = 500;

/// The bound on loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBound {
    /// Window over which loads are counted.
    pub window: Duration,
}

impl Default for LoadBound {
    fn default() -> Self {
        LoadBound {
            window: Duration::from_secs(5),
        }
    }
}

/// A load that was ordered not long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentLoad {
    /// Where.
    pub engine: BackEndId,
    /// How long ago, in milliseconds.
    pub age: u64,
}

/// Loads of late.
#[derive(Debug)]
pub struct LoadPace {
    bound: LoadBound,
    started: VecDeque<(Timestamp, BackEndId)>,
}

impl LoadPace {
    /// A holder begins at `now`, and knows of loads of those before it.
    pub fn new(now: Timestamp, bound: LoadBound, former: &[RecentLoad]) -> Self {
        let former = former.iter();
        let mut started: VecDeque<(Timestamp, BackEndId)> = former
            .map(|load| (now - load.age, load.engine.clone()))
            .collect();
        started.make_contiguous().sort();
        LoadPace { bound, started }
    }

    /// Whether another load may begin now.
    pub fn allows(&mut self, now: Timestamp, loads_per_second: f64) -> bool {
        let span = self.span();
        while self
            .started
            .front()
            .is_some_and(|(time, _)| now.since(*time) > span)
        {
            self.started.pop_front();
        }
        let most = loads_per_second * self.bound.window.as_secs_f64() * PART;
        (self.started.len() as f64) < most.floor().max(1.0)
    }

    /// A load is ordered at an engine.
    pub fn note(&mut self, now: Timestamp, engine: &BackEndId) {
        self.started.push_back((now, engine.clone()));
    }

    /// A former holder's row tells of a load at an engine. It may have been
    /// ordered just now, unless it is known already.
    pub fn note_unless_known(&mut self, now: Timestamp, engine: &BackEndId) {
        if !self.started.iter().any(|(_, known)| known == engine) {
            self.note(now, engine);
        }
    }

    /// Loads of late, for the next holder.
    pub fn recent(&self, now: Timestamp) -> Vec<RecentLoad> {
        let span = self.span();
        let loads = self.started.iter().map(|(time, engine)| RecentLoad {
            engine: engine.clone(),
            age: now.since(*time),
        });
        loads.filter(|load| load.age <= span).collect()
    }

    fn span(&self) -> u64 {
        self.bound.window.as_millis() as u64 + ORDER_TIME
    }
}
