//! Callers: they send requests, wait for the end, and some ask again elsewhere
//! when a node dies.

use gorsebank_contract::PriorityClass;
use gorsebank_world::NodeId;

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
