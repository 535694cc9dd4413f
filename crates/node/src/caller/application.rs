//! Calls of application services: `/services/{service}/{path}`.
//!
//! A call that is safe by its method may be repeated; any other is sent at
//! most once. With an `Idempotency-Key` that holds across callers' retries.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{Request, Response, Uri};
use gorsebank_contract::PriorityClass;
use gorsebank_world::{MachineRole, QueueKey, ServiceId};

use crate::caller::answer;
use crate::caller::attempt::OutgoingRequest;
use crate::caller::error::CallerError;
use crate::caller::headers;
use crate::caller::openai::{read_body, refuse_invalid};
use crate::caller::request::{OpenRequest, RequestTerms};
use crate::host::Host;

/// Any method on `/services/{service}/{path}`.
pub async fn call(
    State(host): State<Arc<Host>>,
    Path((service, path)): Path<(String, String)>,
    request: Request<Body>,
) -> Response<Body> {
    match prepare(&host, &service, &path, request).await {
        Ok((terms, outgoing)) => answer::answer(OpenRequest::open(&host, terms), outgoing).await,
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
    let time_allowed = headers::time_allowed(&head.headers)?.unwrap_or(limits.interactive_deadline);
    let terms = RequestTerms {
        queue: QueueKey::Service(service.clone()),
        class: PriorityClass::Interactive,
        time_allowed,
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
