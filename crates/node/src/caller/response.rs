//! Executes the attempts of a request until there is a response for the caller.
//!
//! In: an open request and the request to send. Out: the HTTP response.

use axum::body::Body;
use axum::http::{HeaderValue, Response, header};
use axum::response::IntoResponse;
use gorsebank_contract::AttemptOutcome;
use gorsebank_world::Machine;
use hyper::body::Incoming;

use crate::caller::attempt::{self, OutgoingRequest, REQUEST_ID_HEADER};
use crate::caller::error::{CallerError, refusal_code};
use crate::caller::request::OpenRequest;
use crate::caller::stream;
use crate::host::Command;

/// Carries out the commands of the decision logic until there is a response.
pub async fn respond(mut open: OpenRequest, outgoing: OutgoingRequest) -> Response<Body> {
    while let Some(command) = open.next_command().await {
        match command {
            Command::Refuse(refusal) => {
                let code = refusal_code(refusal.reason);
                let metrics = open.host().metrics();
                metrics.refused.with_label_values(&[code]).inc();
                let mut response = CallerError::Refused(refusal).into_response();
                if let Ok(id) = HeaderValue::from_str(&open.request().to_string()) {
                    response.headers_mut().insert(REQUEST_ID_HEADER, id);
                }
                return response;
            }
            Command::Dispatch(id, machine) => {
                let name = attempt::stream_name(id, &machine.id);
                match run_attempt(&mut open, &outgoing, &machine, &name).await {
                    Ok(BackEndResponse::Complete(response)) => {
                        open.finish_attempt(AttemptOutcome::Completed);
                        return response;
                    }
                    Ok(BackEndResponse::Stream(source)) => return stream::respond(open, *source),
                    Err(outcome) => open.finish_attempt(outcome),
                }
            }
        }
    }
    CallerError::Overloaded.into_response()
}

enum BackEndResponse {
    Complete(Response<Body>),
    Stream(Box<stream::StreamSource>),
}

async fn run_attempt(
    open: &mut OpenRequest,
    outgoing: &OutgoingRequest,
    machine: &Machine,
    name: &str,
) -> Result<BackEndResponse, AttemptOutcome> {
    let http = open.host().http().clone();
    let limit = open.time_left();
    let response = attempt::send(&http, machine.address, name, outgoing, limit).await?;
    if is_event_stream(&response) {
        let stall = open.host().settings().limits.stream_stall;
        let mut source = stream::StreamSource::new(http, machine.address, name, response, stall);
        source.fetch_first().await?;
        open.record_first_byte();
        return Ok(BackEndResponse::Stream(Box::new(source)));
    }
    let max_bytes = open.host().settings().limits.response.as_u64();
    let complete = attempt::read_complete_body(response, max_bytes, open.time_left()).await?;
    open.record_first_byte();
    let (mut head, body) = complete.into_parts();
    head.headers = attempt::forwarded_headers(&head.headers);
    if let Ok(name) = HeaderValue::from_str(name) {
        head.headers.insert(REQUEST_ID_HEADER, name);
    }
    Ok(BackEndResponse::Complete(Response::from_parts(
        head,
        Body::from(body),
    )))
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
}
