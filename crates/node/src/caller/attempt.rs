//! One attempt of a request at a back end.
//!
//! In: the request to send to the back end. Out: the response of the back end,
//! or an outcome that states whether the request may have reached it.

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

/// Carries the name that the node gave to the attempt; back ends return the
/// header in their response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// A back end sets this response header if it did not start the request.
pub const NOT_STARTED_HEADER: &str = "gorsebank-not-started";
/// Carries the priority class of the request to engines.
pub const PRIORITY_HEADER: &str = "gorsebank-priority";
/// Headers that concern one connection only, which the node does not forward.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::HOST,
];

/// A request to be sent to a back end.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub path: String,
    /// The headers that the caller sent.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The priority class.
    pub class: PriorityClass,
}

/// The name of an attempt, which is also the name of its stream on the back
/// end. The name contains the id of the back end, so that any node can resume
/// the stream.
pub fn stream_name(id: TicketId, back_end: &BackEndId) -> String {
    format!("{}-{}@{back_end}", id.request, id.attempt.0)
}

/// The headers without those that concern one connection only.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in &CONNECTION_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded
}

/// Sends the request. Returns the response with its body unread, or the outcome
/// of a failed attempt.
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
        Ok(Err(_)) | Err(_) => return Err(AttemptOutcome::LostBeforeResponse),
    };
    if response.headers().contains_key(NOT_STARTED_HEADER) {
        return Err(AttemptOutcome::NotStarted);
    }
    let is_of_other_request = response
        .headers()
        .get(REQUEST_ID_HEADER)
        .is_some_and(|value| value.as_bytes() != name.as_bytes());
    if is_of_other_request {
        return Err(AttemptOutcome::LostBeforeResponse);
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
    *headers = forwarded_headers(&outgoing.headers);
    headers.insert(REQUEST_ID_HEADER, HeaderValue::from_str(name).ok()?);
    let class = match outgoing.class {
        PriorityClass::Interactive => "interactive",
        PriorityClass::Batch => "batch",
    };
    headers.insert(PRIORITY_HEADER, HeaderValue::from_static(class));
    Some(request)
}

/// Reads the complete body of a response of at most `max_bytes` bytes within
/// `limit`. Returns the outcome of the attempt if that fails.
pub async fn read_complete_body(
    response: Response<Incoming>,
    max_bytes: u64,
    limit: Duration,
) -> Result<Response<Bytes>, AttemptOutcome> {
    let (head, body) = response.into_parts();
    let read = Limited::new(body, max_bytes as usize).collect();
    match timeout(limit, read).await {
        Ok(Ok(body)) => Ok(Response::from_parts(head, body.to_bytes())),
        Ok(Err(_)) | Err(_) => Err(AttemptOutcome::LostBeforeResponse),
    }
}
