//! Calls of application services: `/services/{service}/{path}`.
//!
//! The node may retry a call whose HTTP method is safe; it sends any other call
//! at most once. A call with an `Idempotency-Key` runs at most once even if the
//! caller sends it again.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{Request, Response, Uri};
use gorsebank_contract::PriorityClass;
use gorsebank_world::{MachineRole, QueueKey, ServiceId};

use crate::caller::attempt::OutgoingRequest;
use crate::caller::error::CallerError;
use crate::caller::headers;
use crate::caller::openai::{read_body, refuse_invalid};
use crate::caller::request::{OpenRequest, RequestTerms};
use crate::caller::response;
use crate::host::Host;

/// Handles every method on `/services/{service}/{path}`.
pub async fn forward_call(
    State(host): State<Arc<Host>>,
    Path((service, path)): Path<(String, String)>,
    request: Request<Body>,
) -> Response<Body> {
    match prepare(&host, &service, &path, request).await {
        Ok((terms, outgoing)) => response::respond(OpenRequest::open(&host, terms), outgoing).await,
        Err(error) => refuse_invalid(&host, error),
    }
}

async fn prepare(
    host: &Host,
    service: &str,
    path: &str,
    request: Request<Body>,
) -> Result<(RequestTerms, OutgoingRequest), CallerError> {
    let service = ServiceId::from(service);
    let exists = host
        .node()
        .machines()
        .back_ends()
        .any(|machine| machine.role == MachineRole::Application && machine.service == service);
    if !exists {
        return Err(CallerError::UnknownService(service.to_string()));
    }
    let (head, body) = request.into_parts();
    let key = headers::idempotency_key(&head.headers)?;
    let limits = &host.settings().limits;
    let time_limit = headers::time_limit(&head.headers)?.unwrap_or(limits.interactive_deadline);
    let terms = RequestTerms {
        queue: QueueKey::Service(service.clone()),
        class: PriorityClass::Interactive,
        time_limit,
        repeatable: key.is_none() && head.method.is_safe(),
        key: key.map(|key| format!("{service} {key}")),
    };
    let outgoing = OutgoingRequest {
        method: head.method,
        path: path_and_query(path, &head.uri),
        headers: head.headers,
        body: read_body(body, limits.body.as_u64()).await?,
        class: PriorityClass::Interactive,
    };
    Ok((terms, outgoing))
}

fn path_and_query(path: &str, uri: &Uri) -> String {
    match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    }
}
