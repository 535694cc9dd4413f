//! Resumes a stream through any node: `GET /v1/streams/{stream}` with a
//! `Last-Event-ID` header that names the last event that the caller received.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, Response};
use gorsebank_coordination::EventId;
use gorsebank_world::BackEndId;

use crate::caller::error::CallerError;
use crate::caller::openai::refuse_invalid;
use crate::caller::stream::{self, StreamSource};
use crate::host::Host;

const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Handles `GET /v1/streams/{stream}`.
pub async fn resume_stream(
    State(host): State<Arc<Host>>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Response<Body> {
    let mut source = match stream_source(&host, &name, &headers) {
        Ok(source) => source,
        Err(error) => return refuse_invalid(&host, error),
    };
    if source.fetch_first().await.is_err() {
        let reason = "its back end does not have it, or nothing is left of it";
        let error = CallerError::UnknownStream(name, reason.to_owned());
        return refuse_invalid(&host, error);
    }
    stream::respond_resumed(host, source)
}

fn stream_source(
    host: &Host,
    name: &str,
    headers: &HeaderMap,
) -> Result<StreamSource, CallerError> {
    let unknown = |reason: &str| CallerError::UnknownStream(name.to_owned(), reason.to_owned());
    let (_, back_end) = name
        .split_once('@')
        .ok_or_else(|| unknown("its name has no back end"))?;
    let machines = host.node().machines();
    let machine = machines
        .back_end(&BackEndId::from(back_end))
        .ok_or_else(|| unknown("its back end is not there"))?;
    let next = next_event_number(name, headers)?;
    let stall = host.settings().limits.stream_stall;
    let http = host.http().clone();
    Ok(StreamSource::resuming(
        http,
        machine.address,
        name,
        next,
        stall,
    ))
}

fn next_event_number(name: &str, headers: &HeaderMap) -> Result<u64, CallerError> {
    let invalid = |reason: String| CallerError::Header {
        name: LAST_EVENT_ID_HEADER,
        reason,
    };
    let Some(value) = headers.get(LAST_EVENT_ID_HEADER) else {
        return Ok(0);
    };
    let text = value
        .to_str()
        .map_err(|_| invalid("it is not plain text".to_owned()))?;
    let id: EventId = text.parse().map_err(|error| invalid(format!("{error}")))?;
    if id.stream != name {
        return Err(invalid("it belongs to another stream".to_owned()));
    }
    Ok(id.number + 1)
}
