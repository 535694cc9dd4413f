//! Callers: they send requests, wait for the end, and some ask again elsewhere
//! when a node dies.

use gorsebank_contract::PriorityClass;
use gorsebank_world::NodeId;

use crate::trace::format::RequestEvent;

/// One request as its caller means it.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Model or service.
    pub of: String,
    /// Whether `of` is a service.
    pub is_service: bool,
    /// Nodes in the order in which they are asked.
    pub nodes: Vec<NodeId>,
    /// Priority.
    pub class: PriorityClass,
    /// When it must be over, in microseconds.
    pub deadline: u64,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Asks again elsewhere when a node dies.
    pub is_persistent: bool,
}

/// The callers of a request event that happens at `now`, each with its moment.
/// `index` keeps keys of different events apart.
pub fn plans(
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
