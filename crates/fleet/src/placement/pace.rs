//! Keeps loads from the weight store under its bound.
//!
//! The bound holds over every window, for all holders together, and counts the
//! moment at which a load begins. A load whose order was acknowledged began by
//! then. One whose order had no answer may begin at any time until the engine is
//! seen to have taken another order, or the order is too old; it counts all that
//! while. Orders to one engine are sent on the condition of its sequence number,
//! so of several for one number only one can begin a load.
//!
//! A holder begins with the loads of those before it: the lease's row tells of
//! them, and an engine's row tells of each load before it is ordered.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::BackEndId;
use serde::{Deserialize, Serialize};

use super::OrderResult;
use crate::incarnation::Born;

/// Loads that are left for what a holder cannot know.
const RESERVE: f64 = 2.0;
/// Time from an order until its acknowledgement, and as long for the way of the
/// report that a former holder had of it, in milliseconds.
const ORDER_TIME: u64 = 500;
/// An order without an answer is carried out within this time or never, in milliseconds.
const OPEN_LIFETIME: u64 = 13_000;

/// The bound on loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBound {
    /// Window over which loads are counted.
    pub window: Duration,
    /// Part of the weight store's rate that may begin, 1 for all of it.
    pub overage: f64,
    /// Loads on top, in each window.
    pub extra: f64,
}

impl Default for LoadBound {
    fn default() -> Self {
        LoadBound {
            window: Duration::from_secs(5),
            overage: 1.0,
            extra: 0.0,
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
    /// The sequence number under which it was ordered, if it may not have begun yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open: Option<u64>,
    /// The start of the engine's life in which it was ordered; none if that is not known, or if
    /// that life is over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Born>,
}

#[derive(Debug)]
struct Load {
    time: Timestamp,
    /// The sequence number under which it was ordered, while it may not have begun yet.
    open: Option<u64>,
    /// Whether an order under that number had no answer.
    unanswered: bool,
    /// Whether the engine has started again since: its numbers began anew.
    is_of_former_life: bool,
}

impl Load {
    /// Whether it was ordered under this number of the engine's present life and may not have
    /// begun yet.
    fn is_open_as(&self, sequence: u64) -> bool {
        self.open == Some(sequence) && !self.is_of_former_life
    }

    fn counts(&self, now: Timestamp, span: u64) -> bool {
        let lifetime = match self.open {
            Some(_) => OPEN_LIFETIME + span,
            None => span,
        };
        now.since(self.time) <= lifetime
    }
}

/// Loads of late.
#[derive(Debug)]
pub struct LoadPace {
    bound: LoadBound,
    loads: BTreeMap<BackEndId, Vec<Load>>,
}

impl LoadPace {
    /// A holder begins at `now`, and knows of loads of those before it.
    pub fn new(now: Timestamp, bound: LoadBound, former: &[RecentLoad]) -> Self {
        let mut pace = LoadPace {
            bound,
            loads: BTreeMap::new(),
        };
        for load in former {
            let load_of = Load {
                time: now - load.age,
                open: load.open,
                unanswered: load.open.is_some(),
                is_of_former_life: false,
            };
            let loads = pace.loads.entry(load.engine.clone()).or_default();
            loads.push(load_of);
        }
        pace
    }

    /// Whether another load may begin now.
    pub fn allows(&self, now: Timestamp, loads_per_second: f64) -> bool {
        let span = self.span();
        let loads = self.loads.values().flatten();
        let count = loads.filter(|load| load.counts(now, span)).count();
        let bound = loads_per_second * self.bound.window.as_secs_f64() * self.bound.overage;
        let most = (bound + self.bound.extra - RESERVE).floor();
        (count as f64) < most.max(1.0)
    }

    /// Whether a load that was ordered at an engine under this sequence number
    /// counts still: the order may be repeated without another load.
    pub fn is_open(&self, now: Timestamp, engine: &BackEndId, sequence: u64) -> bool {
        let span = self.span();
        let mut loads = self.loads.get(engine).into_iter().flatten();
        loads.any(|load| load.is_open_as(sequence) && load.counts(now, span))
    }

    /// A load is about to be ordered at an engine under this sequence number.
    pub fn note(&mut self, now: Timestamp, engine: &BackEndId, sequence: u64) {
        self.forget_old(now);
        let loads = self.loads.entry(engine.clone()).or_default();
        let former = loads.iter_mut().find(|load| load.is_open_as(sequence));
        match former {
            Some(load) => load.time = now,
            None => loads.push(Load {
                time: now,
                open: Some(sequence),
                unanswered: false,
                is_of_former_life: false,
            }),
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        let span = self.span();
        for loads in self.loads.values_mut() {
            loads.retain(|load| load.counts(now, span));
        }
        self.loads.retain(|_, loads| !loads.is_empty());
    }

    /// What came of the order of a load.
    pub fn ordered(&mut self, now: Timestamp, engine: &BackEndId, result: OrderResult) {
        let Some(loads) = self.loads.get_mut(engine) else {
            return;
        };
        let Some(index) = loads.iter().rposition(|load| load.open.is_some()) else {
            return;
        };
        match result {
            OrderResult::Unanswered => loads[index].unanswered = true,
            OrderResult::NotSent if loads[index].unanswered => {}
            // An earlier order that had no answer may be why this one was refused.
            _ if result == OrderResult::Accepted || loads[index].unanswered => {
                loads[index].time = now;
                loads[index].open = None;
            }
            _ => {
                loads.remove(index);
            }
        }
    }

    /// An engine has started again under its name, and counts its orders anew. What was ordered
    /// before and had no answer may yet begin.
    pub fn engine_restarted(&mut self, now: Timestamp, engine: &BackEndId) {
        for load in self.loads.get_mut(engine).into_iter().flatten() {
            load.is_of_former_life = true;
            if load.open.is_some() {
                load.time = now;
                load.unanswered = true;
            }
        }
    }

    /// The order of a load was not sent.
    pub fn unsent(&mut self, engine: &BackEndId) {
        if let Some(loads) = self.loads.get_mut(engine) {
            loads.retain(|load| load.open.is_none() || load.unanswered);
        }
    }

    /// An engine was seen to have taken `sequence` orders: what was ordered under
    /// a lower number has begun by now, or never will.
    pub fn taken(&mut self, now: Timestamp, engine: &BackEndId, sequence: u64) {
        let loads = self.loads.get_mut(engine).into_iter().flatten();
        for load in loads {
            let is_settled = load.open.is_some_and(|ordered| ordered < sequence);
            if load.unanswered && is_settled && !load.is_of_former_life {
                load.time = now;
                load.open = None;
            }
        }
    }

    /// A former holder's row tells of a load at an engine. It may have been
    /// ordered just now, unless it is known already.
    pub fn note_unless_known(&mut self, now: Timestamp, engine: &BackEndId) {
        let loads = self.loads.entry(engine.clone()).or_default();
        if loads.iter().all(|load| load.is_of_former_life) {
            loads.push(Load {
                time: now,
                open: None,
                unanswered: false,
                is_of_former_life: false,
            });
        }
    }

    /// Loads of late, for the next holder. `born` tells when engines started.
    pub fn recent(
        &self,
        now: Timestamp,
        born: impl Fn(&BackEndId) -> Option<Born>,
    ) -> Vec<RecentLoad> {
        let span = self.span();
        let mut recent = Vec::new();
        for (engine, loads) in &self.loads {
            for load in loads.iter().filter(|load| load.counts(now, span)) {
                recent.push(RecentLoad {
                    engine: engine.clone(),
                    age: now.since(load.time),
                    open: load.open,
                    born: born(engine).filter(|_| !load.is_of_former_life),
                });
            }
        }
        recent
    }

    fn span(&self) -> u64 {
        self.bound.window.as_millis() as u64 + ORDER_TIME
    }
}
