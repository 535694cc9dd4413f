//! The HTTP API for callers: the OpenAI-compatible API and the calls of
//! application services.

pub mod application;
pub mod attempt;
pub mod error;
pub mod headers;
pub mod openai;
pub mod request;
pub mod response;
pub mod resume;
pub mod stream;

use std::sync::Arc;

use axum::Router;
use axum::error_handling::HandleErrorLayer;
use axum::routing::{any, get, post};
use tower::ServiceBuilder;
use tower::limit::ConcurrencyLimitLayer;
use tower::load_shed::LoadShedLayer;

use crate::host::Host;

/// The routes for callers. The outer layers limit the number of open requests:
/// a request beyond the limit is rejected at once, before its body is read.
pub fn router(host: Arc<Host>) -> Router {
    let limit = host.settings().limits.open_requests;
    let limits = ServiceBuilder::new()
        .layer(HandleErrorLayer::new(error::respond_overloaded))
        .layer(LoadShedLayer::new())
        .layer(ConcurrencyLimitLayer::new(limit));
    Router::new()
        .route("/v1/chat/completions", post(openai::create_chat_completion))
        .route("/v1/completions", post(openai::create_completion))
        .route("/v1/models", get(openai::list_models))
        .route("/v1/streams/{stream}", get(resume::resume_stream))
        .route(
            "/services/{service}/{*path}",
            any(application::forward_call),
        )
        .fallback(error::respond_unknown_path)
        .method_not_allowed_fallback(error::respond_method_not_allowed)
        .layer(limits)
        .with_state(host)
}
