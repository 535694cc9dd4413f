//! One attempt of a request at a back end.
//!
//! In: the request as it goes to the back end. Out: its answer, or a failure
//! that says how much of the request reached the back end.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Bytes;
use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, header};
use gorsebank_clients::{HttpClient, HttpError};
use gorsebank_contract::{AttemptOutcome, PriorityClass, TicketId};
use gorsebank_world::BackEndId;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

/// Carries the front's name of an attempt; back ends send it back.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// A back end attests with it that a request did not start.
pub const NOT_STARTED_HEADER: &str = "gorsebank-not-started";
/// Carries the priority class to engines.
pub const PRIORITY_HEADER: &str = "gorsebank-priority";
/// Headers that concern one connection and are not passed on.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::HOST,
];

/// What is sent to a back end.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Priority.
    pub class: PriorityClass,
}

/// The name of an attempt: it names the stream on the back end, and where that
/// is, so that any node can resume it.
pub fn stream_name(id: TicketId, back_end: &BackEndId) -> String {
    format!("{}-{}@{back_end}", id.request, id.attempt.0)
}

/// Headers that are passed on.
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in &CONNECTION_HEADERS {
        passed.remove(name);
    }
    passed.remove(header::CONTENT_LENGTH);
    passed
}

/// Sends the request; gives the head of the answer, or how the attempt ended.
pub async fn send(
    http: &HttpClient,
    address: SocketAddr,
    name: &str,
    outgoing: &OutgoingRequest,
    limit: Duration,
) -> Result<Response<Incoming>, AttemptOutcome> {
    let request = request(address, name, outgoing).ok_or(AttemptOutcome::NotSent)?;
    let response = match timeout(limit, http.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(HttpError::Connect(_))) => return Err(AttemptOutcome::NotSent),
        Ok(Err(_)) | Err(_) => return Err(AttemptOutcome::LostBeforeAnswer),
    };
    if response.headers().contains_key(NOT_STARTED_HEADER) {
        return Err(AttemptOutcome::NotStarted);
    }
    let is_foreign = response
        .headers()
        .get(REQUEST_ID_HEADER)
        .is_some_and(|value| value.as_bytes() != name.as_bytes());
    if is_foreign {
        return Err(AttemptOutcome::LostBeforeAnswer);
    }
    Ok(response)
}

fn request(
    address: SocketAddr,
    name: &str,
    outgoing: &OutgoingRequest,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(outgoing.method.clone())
        .uri(format!("http://{address}{}", outgoing.path))
        .body(Full::new(outgoing.body.clone()))
        .ok()?;
    let headers = request.headers_mut();
    *headers = passed_on(&outgoing.headers);
    headers.insert(REQUEST_ID_HEADER, HeaderValue::from_str(name).ok()?);
    let class = match outgoing.class {
        PriorityClass::Interactive => "interactive",
        PriorityClass::Batch => "batch",
    };
    headers.insert(PRIORITY_HEADER, HeaderValue::from_static(class));
    Some(request)
}

/// The whole body of an answer, or how the attempt ended.
pub async fn whole_body(
    response: Response<Incoming>,
    largest: u64,
    limit: Duration,
) -> Result<Response<Bytes>, AttemptOutcome> {
    let (head, body) = response.into_parts();
    let reading = Limited::new(body, largest as usize).collect();
    match timeout(limit, reading).await {
        Ok(Ok(body)) => Ok(Response::from_parts(head, body.to_bytes())),
        Ok(Err(_)) | Err(_) => Err(AttemptOutcome::LostBeforeAnswer),
    }
}
