//! HTTP handlers of the OpenAI-compatible API. In: requests of callers. Out: the
//! responses of back ends, or errors.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use axum::response::IntoResponse;
use bytes::BytesMut;
use gorsebank_contract::PriorityClass;
use gorsebank_world::QueueKey;
use http_body_util::BodyExt;
use serde_json::{Map, Value, json};
use tokio::time::timeout;

use crate::caller::attempt::OutgoingRequest;
use crate::caller::error::CallerError;
use crate::caller::headers;
use crate::caller::request::{OpenRequest, RequestTerms};
use crate::caller::response;
use crate::host::Host;

/// The number of bytes that the node reads and discards after a body exceeded its size
/// limit. A caller that sends more is unlikely to read the response.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// The longest time for which the node reads and discards the rest of a body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The `service_tier` value that marks batch requests.
const BATCH_TIER: &str = "flex";

/// Handles `POST /v1/chat/completions`.
pub async fn create_chat_completion(
    State(host): State<Arc<Host>>,
    request: Request<Body>,
) -> Response<Body> {
    run(host, request, "/v1/chat/completions").await
}

/// Handles `POST /v1/completions`.
pub async fn create_completion(
    State(host): State<Arc<Host>>,
    request: Request<Body>,
) -> Response<Body> {
    run(host, request, "/v1/completions").await
}

/// Handles `GET /v1/models`: lists the names of the models that are served.
pub async fn list_models(State(host): State<Arc<Host>>) -> Json<Value> {
    let names = host
        .node()
        .with_configuration(|configuration| configuration.served_names());
    let data: Vec<Value> = names
        .into_iter()
        .map(|name| json!({"id": name, "object": "model", "owned_by": "gorsebank"}))
        .collect();
    Json(json!({"object": "list", "data": data}))
}

async fn run(host: Arc<Host>, request: Request<Body>, path: &str) -> Response<Body> {
    match prepare(&host, request, path).await {
        Ok((terms, outgoing)) => response::respond(OpenRequest::open(&host, terms), outgoing).await,
        Err(error) => refuse_invalid(&host, error),
    }
}

/// Counts an invalid request and returns the response to it.
pub fn refuse_invalid(host: &Host, error: CallerError) -> Response<Body> {
    let metrics = host.metrics();
    metrics
        .invalid_requests
        .with_label_values(&[error.code()])
        .inc();
    error.into_response()
}

async fn prepare(
    host: &Host,
    request: Request<Body>,
    path: &str,
) -> Result<(RequestTerms, OutgoingRequest), CallerError> {
    let (head, body) = request.into_parts();
    let bytes = read_body(body, host.settings().limits.body.as_u64()).await?;
    let mut fields: Map<String, Value> =
        serde_json::from_slice(&bytes).map_err(|error| CallerError::Body(error.to_string()))?;
    let queue = requested_queue(host, &fields)?;
    let class = priority(&fields)?;
    let key = headers::idempotency_key(&head.headers)?;
    let terms = RequestTerms {
        class,
        time_limit: time_limit(host, &head.headers, class)?,
        repeatable: key.is_none(),
        key: key.map(|key| format!("{path} {key}")),
        queue,
    };
    fields.insert("model".to_owned(), Value::from(terms.queue.to_string()));
    let body = serde_json::to_vec(&fields).map_err(|error| CallerError::Body(error.to_string()))?;
    let mut forwarded = head.headers;
    forwarded.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let outgoing = OutgoingRequest {
        method: Method::POST,
        path: path.to_owned(),
        headers: forwarded,
        body: Bytes::from(body),
        class,
    };
    Ok((terms, outgoing))
}

/// Reads the complete body, of at most `max_bytes` bytes. The rest of a larger body is
/// read and discarded, because closing a connection with unread bytes resets it and the
/// caller would lose the response.
pub async fn read_body(mut body: Body, max_bytes: u64) -> Result<Bytes, CallerError> {
    let mut complete = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallerError::IncompleteBody(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (complete.len() + data.len()) as u64 > max_bytes {
            let _ = timeout(DISCARD_TIMEOUT, discard_rest(body)).await;
            return Err(CallerError::BodyTooLarge(max_bytes));
        }
        complete.extend_from_slice(&data);
    }
    Ok(complete.freeze())
}

/// Reads and discards the rest of the body, up to `MAX_DISCARDED_BYTES`. Read errors are
/// ignored.
async fn discard_rest(mut body: Body) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

fn requested_queue(host: &Host, fields: &Map<String, Value>) -> Result<QueueKey, CallerError> {
    match fields.get("model") {
        Some(Value::String(name)) => host.node().resolve(name).map_err(CallerError::Model),
        Some(_) => Err(CallerError::Body("field `model` is no text".to_owned())),
        None => Err(CallerError::Body("field `model` is missing".to_owned())),
    }
}

fn priority(fields: &Map<String, Value>) -> Result<PriorityClass, CallerError> {
    match fields.get("service_tier") {
        None | Some(Value::Null) => Ok(PriorityClass::Interactive),
        Some(Value::String(tier)) if tier == BATCH_TIER => Ok(PriorityClass::Batch),
        Some(Value::String(_)) => Ok(PriorityClass::Interactive),
        Some(_) => Err(CallerError::Body(
            "field `service_tier` is no text".to_owned(),
        )),
    }
}

fn time_limit(
    host: &Host,
    headers: &HeaderMap,
    class: PriorityClass,
) -> Result<std::time::Duration, CallerError> {
    let limits = &host.settings().limits;
    let default = match class {
        PriorityClass::Interactive => limits.interactive_deadline,
        PriorityClass::Batch => limits.batch_deadline,
    };
    Ok(headers::time_limit(headers)?.unwrap_or(default))
}
