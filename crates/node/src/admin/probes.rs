//! Probes, metrics and a short account of the node's state.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};

use crate::host::Host;

/// `GET /healthz`: the process runs.
pub async fn healthy() -> &'static str {
    "ok\n"
}

/// `GET /readyz`: the node can take requests.
pub async fn ready(State(host): State<Arc<Host>>) -> Response {
    let status = host.node().status();
    let reason = if host.is_stopping() {
        "stopping"
    } else if !status.knows_machines {
        "the machine list is not known yet"
    } else {
        return "ready\n".into_response();
    };
    (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response()
}

/// `GET /metrics`.
pub async fn metrics(State(host): State<Arc<Host>>) -> Response {
    match host.metrics().render(&host.node().status()) {
        Ok(text) => text.into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

/// A short account of a node's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node.
    pub node: String,
    /// Live nodes of its cell.
    pub live_nodes: Vec<String>,
    /// The placement holder, as far as known.
    pub holder: Option<String>,
    /// The highest fence known.
    pub fence: u64,
    /// The configuration revision in force here.
    pub revision: u64,
    /// The claim epoch in force, 0 if none is known yet.
    pub claim_epoch: u64,
    /// Requests without a final answer.
    pub pending: usize,
    /// Loads ordered by this node.
    pub loads_ordered: u64,
}

/// `GET /v1/status`.
pub async fn status(State(host): State<Arc<Host>>) -> Json<StatusReport> {
    let status = host.node().status();
    Json(StatusReport {
        node: host.node().identity().node.to_string(),
        live_nodes: status.view.nodes.keys().map(ToString::to_string).collect(),
        holder: status.view.holder.as_ref().map(ToString::to_string),
        fence: status.view.fence.0,
        revision: status.revision.0,
        claim_epoch: status.claim_epoch.0,
        pending: status.pending,
        loads_ordered: status.loads_ordered,
    })
}
