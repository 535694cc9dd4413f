//! The HTTP API for operators: configuration, metrics, probes and node status.

pub mod configuration;
pub mod error;
pub mod probes;

use std::sync::Arc;

use axum::Router;
use axum::routing::get;

use crate::host::Host;

/// The routes of the admin listener.
pub fn router(host: Arc<Host>) -> Router {
    let row = get(configuration::read)
        .put(configuration::apply)
        .patch(configuration::label)
        .delete(configuration::delete);
    Router::new()
        .route("/healthz", get(probes::get_health))
        .route("/readyz", get(probes::get_readiness))
        .route("/metrics", get(probes::get_metrics))
        .route("/v1/status", get(probes::get_status))
        .route("/v1/configuration/{kind}", get(configuration::list))
        .route("/v1/configuration/{kind}/{name}", row)
        .with_state(host)
}
