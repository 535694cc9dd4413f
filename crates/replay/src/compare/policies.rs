//! The placement policies that are compared, and their runs on a trace.

use std::fmt;
use std::time::Duration;

use gorsebank_world::Spec;

use crate::compare::clairvoyant;
use crate::compare::metrics::PolicyMetrics;
use crate::history::History;
use crate::simulation;
use crate::trace::Trace;
use crate::trace::format::{Header, TraceEvent};

/// A placement policy, or the clairvoyant bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The policy of gorsebank, with a weight of cold starts against idle hours
    /// from 0 to 1. `None` uses the weight that the trace's deployment states.
    Gorsebank(Option<f64>),
    /// Every model stays loaded for the given time after its last use. If memory is
    /// short, the model that was idle longest is unloaded.
    FixedKeepAlive(Duration),
    /// Each router places models on the engines of its own zone only, with a fixed
    /// keep-alive.
    IndependentRouters(Duration),
    /// The bound that knows the trace, and keeps models loaded over gaps up to the
    /// given time.
    Clairvoyant(Duration),
}

impl fmt::Display for Policy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = |duration: &Duration| humantime::format_duration(*duration);
        match self {
            Policy::Gorsebank(None) => write!(formatter, "ours"),
            Policy::Gorsebank(Some(weight)) => write!(formatter, "ours, weight {weight}"),
            Policy::FixedKeepAlive(keep) => write!(formatter, "fixed {}", time(keep)),
            Policy::IndependentRouters(keep) => write!(formatter, "alone {}", time(keep)),
            Policy::Clairvoyant(keep) => write!(formatter, "bound {}", time(keep)),
        }
    }
}

/// Runs a policy on a trace and returns its metrics.
pub fn run_policy(trace: &Trace, policy: Policy, seed: u64) -> PolicyMetrics {
    match policy {
        Policy::Gorsebank(weight) => {
            let mut trace = trace.clone();
            if let Some(weight) = weight {
                set_weight(&mut trace.header, weight);
            }
            PolicyMetrics::of(&simulation::simulate(&trace, seed, None))
        }
        Policy::FixedKeepAlive(keep) => {
            let trace = with_keep_alive(trace, keep);
            PolicyMetrics::of(&simulation::simulate(&trace, seed, None))
        }
        Policy::IndependentRouters(keep) => {
            let trace = with_keep_alive(trace, keep);
            PolicyMetrics::of(&run_independent_routers(&trace, seed))
        }
        Policy::Clairvoyant(keep) => clairvoyant::compute_metrics(trace, keep.as_micros() as u64),
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

/// Replays the trace for each node separately, with the engines of its zone and the
/// requests that it receives, and returns the merged history.
fn run_independent_routers(trace: &Trace, seed: u64) -> History {
    let mut merged = History::default();
    for (index, place) in trace.header.nodes.iter().enumerate() {
        let mut node_trace = trace.clone();
        node_trace.header.nodes = vec![place.clone()];
        node_trace
            .header
            .back_ends
            .retain(|entry| entry.zone == place.zone);
        for event in &mut node_trace.events {
            if let TraceEvent::Request(request) = &mut event.event {
                request.count = count_at_node(request.count, index, trace.header.nodes.len());
            }
        }
        node_trace.events.retain(
            |event| !matches!(&event.event, TraceEvent::Request(request) if request.count == 0),
        );
        let history = simulation::simulate(&node_trace, seed, None);
        merged.callers.extend(history.callers);
        merged.executions.extend(history.executions);
        merged.engines.extend(history.engines);
        merged.end = history.end;
    }
    merged
}

/// Returns how many of `count` requests, distributed round-robin over `nodes` nodes,
/// the node at `index` receives.
fn count_at_node(count: u32, index: usize, nodes: usize) -> u32 {
    let (nodes, index) = (nodes as u32, index as u32);
    count / nodes + u32::from(index < count % nodes)
}
