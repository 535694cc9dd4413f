//! The policies that are compared.

use std::fmt;
use std::time::Duration;

use gorsebank_world::Spec;

use crate::compare::clairvoyant;
use crate::compare::figures::Figures;
use crate::history::History;
use crate::simulation;
use crate::trace::Trace;
use crate::trace::format::{Header, TraceEvent};

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Ours, at a weight of cold starts against idle hours from 0 to 1; `None`
    /// for the weight that the trace's deployment states.
    Ours(Option<f64>),
    /// Every model stays loaded for so long after its last use; when memory is
    /// short the one that was idle longest goes.
    FixedKeepAlive(Duration),
    /// Each router decides alone over the engines of its zone, with a fixed
    /// keep-alive.
    RoutersAlone(Duration),
    /// The bound that knows the trace and keeps models over gaps up to this.
    Clairvoyant(Duration),
}

impl fmt::Display for Policy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = |duration: &Duration| humantime::format_duration(*duration);
        match self {
            Policy::Ours(None) => write!(formatter, "ours"),
            Policy::Ours(Some(weight)) => write!(formatter, "ours, weight {weight}"),
            Policy::FixedKeepAlive(keep) => write!(formatter, "fixed {}", time(keep)),
            Policy::RoutersAlone(keep) => write!(formatter, "alone {}", time(keep)),
            Policy::Clairvoyant(keep) => write!(formatter, "bound {}", time(keep)),
        }
    }
}

/// Plays a policy on a trace.
pub fn play(trace: &Trace, policy: Policy, seed: u64) -> Figures {
    match policy {
        Policy::Ours(weight) => {
            let mut trace = trace.clone();
            if let Some(weight) = weight {
                set_weight(&mut trace.header, weight);
            }
            Figures::of(&simulation::play(&trace, seed, None))
        }
        Policy::FixedKeepAlive(keep) => {
            let trace = with_keep_alive(trace, keep);
            Figures::of(&simulation::play(&trace, seed, None))
        }
        Policy::RoutersAlone(keep) => {
            let trace = with_keep_alive(trace, keep);
            Figures::of(&alone(&trace, seed))
        }
        Policy::Clairvoyant(keep) => clairvoyant::figures(trace, keep.as_micros() as u64),
    }
}

fn set_weight(header: &mut Header, weight: f64) {
    for row in &mut header.rows {
        if let Spec::Deployment(deployment) = &mut row.spec {
            deployment.cold_start_weight = weight;
        }
    }
}

fn with_keep_alive(trace: &Trace, keep: Duration) -> Trace {
    let mut trace = trace.clone();
    trace.header.settings.keep_alive_min = Some(keep);
    trace.header.settings.keep_alive_max = Some(keep);
    trace
}

/// Each node by itself, with the engines of its zone and the requests that come
/// to it; the histories together.
fn alone(trace: &Trace, seed: u64) -> History {
    let mut together = History::default();
    for (index, place) in trace.header.nodes.iter().enumerate() {
        let mut own = trace.clone();
        own.header.nodes = vec![place.clone()];
        own.header
            .back_ends
            .retain(|entry| entry.zone == place.zone);
        for event in &mut own.events {
            if let TraceEvent::Request(request) = &mut event.event {
                request.count = share_of(request.count, index, trace.header.nodes.len());
            }
        }
        own.events.retain(
            |event| !matches!(&event.event, TraceEvent::Request(request) if request.count == 0),
        );
        let history = simulation::play(&own, seed, None);
        together.callers.extend(history.callers);
        together.executions.extend(history.executions);
        together.engines.extend(history.engines);
        together.end = history.end;
    }
    together
}

/// How many of `count` requests, spread over `nodes` in turn, come to one.
fn share_of(count: u32, index: usize, nodes: usize) -> u32 {
    let (nodes, index) = (nodes as u32, index as u32);
    count / nodes + u32::from(index < count % nodes)
}
