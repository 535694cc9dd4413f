//! Plans the requests of callers: turns a request event of a trace into one plan per caller, with
//! the time at which it is sent.

use gorsebank_contract::PriorityClass;
use gorsebank_world::NodeId;

use crate::trace::format::RequestEvent;

/// Properties of the request that a caller sends.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Model or service.
    pub of: String,
    /// Whether `of` is a service.
    pub is_service: bool,
    /// Nodes in the order in which the caller tries them.
    pub nodes: Vec<NodeId>,
    /// Priority.
    pub class: PriorityClass,
    /// Deadline in microseconds from the start of the replay.
    pub deadline: u64,
    /// Number of tokens in the response.
    pub tokens: u32,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the caller retries at another node after its node failed.
    pub is_persistent: bool,
}

/// Plans the callers of a request event at `now`, each with its start time, in microseconds.
/// `index` makes the idempotency keys of different events distinct.
pub fn plan_callers(
    all_nodes: &[NodeId],
    index: usize,
    now: u64,
    request: &RequestEvent,
) -> Vec<(u64, CallerPlan)> {
    let spacing = request.over.as_micros() as u64 / u64::from(request.count.max(1));
    (0..request.count)
        .map(|number| {
            let at = now + spacing * u64::from(number);
            (at, plan(all_nodes, index, number, at, request))
        })
        .collect()
}

fn plan(
    all_nodes: &[NodeId],
    index: usize,
    number: u32,
    at: u64,
    request: &RequestEvent,
) -> CallerPlan {
    let mut nodes: Vec<NodeId> = if request.nodes.is_empty() {
        all_nodes.to_vec()
    } else {
        request.nodes.iter().map(|id| id.as_str().into()).collect()
    };
    let first = number as usize % nodes.len().max(1);
    nodes.rotate_left(first);
    let own_key = request.keyed.then(|| format!("key-{index}-{number}"));
    let key = request.key.clone().or(own_key);
    let is_service = request.service.is_some();
    CallerPlan {
        of: request
            .service
            .clone()
            .or_else(|| request.model.clone())
            .unwrap_or_default(),
        is_service,
        nodes,
        class: request.class,
        deadline: at + request.timeout.as_micros() as u64,
        tokens: request.tokens,
        repeatable: key.is_none() && !is_service,
        key,
        is_persistent: request.persistent,
    }
}
