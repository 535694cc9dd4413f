//! HTTP handlers for health probes, metrics and the status of the node.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};

use crate::host::Host;

/// `GET /healthz`: reports that the process is running.
pub async fn get_health() -> &'static str {
    "ok\n"
}

/// `GET /readyz`: reports whether the node accepts requests.
pub async fn get_readiness(State(host): State<Arc<Host>>) -> Response {
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

/// `GET /metrics`: returns the metrics in the Prometheus text format.
pub async fn get_metrics(State(host): State<Arc<Host>>) -> Response {
    match host.metrics().render(&host.node().status()) {
        Ok(text) => text.into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

/// A summary of the state of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// The id of the node.
    pub node: String,
    /// The live nodes in the cell of the node.
    pub live_nodes: Vec<String>,
    /// The node that holds the placement lease, if the node knows it.
    pub holder: Option<String>,
    /// The highest fencing token that the node has received.
    pub fence: u64,
    /// The configuration revision that the node has applied.
    pub revision: u64,
    /// The current claim epoch, or 0 if the node knows none yet.
    pub claim_epoch: u64,
    /// The number of requests without a final response.
    pub pending: usize,
    /// The number of loads that the node has ordered.
    pub loads_ordered: u64,
}

/// `GET /v1/status`: returns the status of the node.
pub async fn get_status(State(host): State<Arc<Host>>) -> Json<StatusReport> {
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
