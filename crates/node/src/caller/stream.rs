//! Response streams: each event is checked and forwarded when it arrives.
//!
//! In: server-sent events of an engine, each with the id `stream:number`. Out:
//! the same events to the caller, in order and each once. A broken stream is
//! resumed after the last event that was forwarded. A stream that cannot be
//! resumed ends with an explicit error event, so that the caller never takes it
//! for complete.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::http::{HeaderValue, Method, Request, Response};
use axum::response::IntoResponse;
use axum::response::sse::{Event as SseEvent, KeepAlive, Sse};
use eventsource_stream::{Event as SourceEvent, Eventsource};
use futures_util::{Stream, StreamExt, stream};
use gorsebank_clients::HttpClient;
use gorsebank_contract::AttemptOutcome;
use gorsebank_coordination::{EventDecision, EventId, StreamChecker};
use http_body_util::{BodyStream, Full};
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::timeout;

use crate::caller::attempt::REQUEST_ID_HEADER;
use crate::caller::request::OpenRequest;
use crate::host::Host;

/// The data of the last event of a stream in the OpenAI API.
const LAST_EVENT_DATA: &str = "[DONE]";
/// The largest number of attempts to resume a stream without an event in between.
const MAX_RESUMES: u32 = 4;
/// The wait before the second attempt to resume a stream; it doubles with each
/// further attempt.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);

type Events = Pin<Box<dyn Stream<Item = Result<SourceEvent, ()>> + Send>>;

/// The event stream of an engine, which is resumed when its connection breaks.
pub struct StreamSource {
    http: HttpClient,
    address: SocketAddr,
    name: String,
    events: Option<Events>,
    checker: StreamChecker,
    stall: Duration,
    first: Option<SourceEvent>,
    resume_count: u64,
    rejected_event_count: u64,
}

impl StreamSource {
    /// A source that begins with the events in `response`.
    pub fn new(
        http: HttpClient,
        address: SocketAddr,
        name: &str,
        response: Response<Incoming>,
        stall: Duration,
    ) -> Self {
        StreamSource {
            http,
            address,
            name: name.to_owned(),
            events: Some(events_of(response)),
            checker: StreamChecker::new(name, 0),
            stall,
            first: None,
            resume_count: 0,
            rejected_event_count: 0,
        }
    }

    /// A source that resumes a stream at the event number `next`.
    pub fn resuming(
        http: HttpClient,
        address: SocketAddr,
        name: &str,
        next: u64,
        stall: Duration,
    ) -> Self {
        StreamSource {
            http,
            address,
            name: name.to_owned(),
            events: None,
            checker: StreamChecker::new(name, next),
            stall,
            first: None,
            resume_count: 0,
            rejected_event_count: 0,
        }
    }

    /// Waits for the first event. An attempt that fails before its first event can
    /// still be retried.
    pub async fn fetch_first(&mut self) -> Result<(), AttemptOutcome> {
        self.first = self.next_event().await;
        match self.first {
            Some(_) => Ok(()),
            None => Err(AttemptOutcome::LostBeforeResponse),
        }
    }

    /// The next event for the caller, or `None` after the last event and if the
    /// stream could not be resumed.
    async fn next_event(&mut self) -> Option<SourceEvent> {
        if let Some(first) = self.first.take() {
            return Some(first);
        }
        if self.checker.is_finished() {
            return None;
        }
        let mut resumes = 0;
        loop {
            if let Some(event) = self.read().await {
                return Some(event);
            }
            if resumes == MAX_RESUMES {
                return None;
            }
            if resumes > 0 {
                tokio::time::sleep(RESUME_BACKOFF * 2u32.pow(resumes - 1)).await;
            }
            resumes += 1;
            self.reconnect().await;
        }
    }

    /// Reads the next event in the order of the stream. Returns `None` and drops the
    /// connection if it failed, stalled or sent an event that does not follow.
    async fn read(&mut self) -> Option<SourceEvent> {
        loop {
            let events = self.events.as_mut()?;
            let event = match timeout(self.stall, events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(()))) | Ok(None) | Err(_) => {
                    self.events = None;
                    return None;
                }
            };
            let decision = event
                .id
                .parse::<EventId>()
                .map_or(EventDecision::Foreign, |id| {
                    self.checker.check_event(&id, event.data == LAST_EVENT_DATA)
                });
            match decision {
                EventDecision::Forward => return Some(event),
                EventDecision::Duplicate => self.rejected_event_count += 1,
                EventDecision::Gap | EventDecision::Foreign => {
                    self.rejected_event_count += 1;
                    self.events = None;
                    return None;
                }
            }
        }
    }

    async fn reconnect(&mut self) {
        let Some(request) = self.resume_request() else {
            return;
        };
        if let Ok(Ok(response)) = timeout(self.stall, self.http.send(request)).await
            && response.status().is_success()
        {
            self.resume_count += 1;
            self.events = Some(events_of(response));
        }
    }

    fn resume_request(&self) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(Method::GET)
            .uri(format!("http://{}/v1/streams/{}", self.address, self.name));
        if let Some(last) = self.checker.next().checked_sub(1) {
            builder = builder.header("last-event-id", format!("{}:{last}", self.name));
        }
        builder.body(Full::default()).ok()
    }

    fn is_finished(&self) -> bool {
        self.checker.is_finished()
    }

    /// Adds the counts of this stream to the metrics of the node and resets them.
    fn record_metrics(&mut self, host: &Host) {
        let metrics = host.metrics();
        metrics
            .streams_resumed
            .inc_by(std::mem::take(&mut self.resume_count));
        metrics
            .events_rejected
            .inc_by(std::mem::take(&mut self.rejected_event_count));
    }
}

fn events_of(response: Response<Incoming>) -> Events {
    let data = BodyStream::new(response.into_body()).filter_map(|frame| async {
        match frame {
            Ok(frame) => frame.into_data().ok().map(Ok),
            Err(error) => Some(Err(error)),
        }
    });
    Box::pin(data.eventsource().map(|event| event.map_err(|_| ())))
}

/// A stream that is forwarded, with its request.
struct ForwardedStream {
    open: OpenRequest,
    source: StreamSource,
}

/// The response that forwards a stream to the caller.
pub fn respond(open: OpenRequest, source: StreamSource) -> Response<Body> {
    let name = source.name.clone();
    let forwarded = Box::new(ForwardedStream { open, source });
    let events = stream::unfold(Some(forwarded), |forwarded| async {
        forward_next(forwarded?).await
    });
    let mut response = Sse::new(events)
        .keep_alive(KeepAlive::default())
        .into_response();
    if let Ok(name) = HeaderValue::from_str(&name) {
        response.headers_mut().insert(REQUEST_ID_HEADER, name);
    }
    response
}

type Item = Result<SseEvent, std::convert::Infallible>;

/// Forwards one event. Returns no stream after the last event.
async fn forward_next(
    mut forwarded: Box<ForwardedStream>,
) -> Option<(Item, Option<Box<ForwardedStream>>)> {
    let ForwardedStream { open, source } = &mut *forwarded;
    let event = source.next_event().await;
    source.record_metrics(open.host());
    match event {
        Some(event) => {
            if source.is_finished() {
                open.finish_attempt(AttemptOutcome::Completed);
            }
            Some((Ok(to_caller_event(event)), Some(forwarded)))
        }
        None if source.is_finished() => None,
        None => {
            open.host().metrics().streams_broken.inc();
            open.finish_attempt(AttemptOutcome::LostDuringResponse);
            Some((Ok(interruption_event()), None))
        }
    }
}

/// The response that forwards the rest of a stream that any node may have begun.
pub fn respond_resumed(host: std::sync::Arc<Host>, source: StreamSource) -> Response<Body> {
    let events = stream::unfold(Some((host, source)), |state| async {
        let (host, mut source) = state?;
        let event = source.next_event().await;
        source.record_metrics(&host);
        let item: (Item, _) = match event {
            Some(event) => (Ok(to_caller_event(event)), Some((host, source))),
            None if source.is_finished() => return None,
            None => {
                host.metrics().streams_broken.inc();
                (Ok(interruption_event()), None)
            }
        };
        Some(item)
    });
    Sse::new(events)
        .keep_alive(KeepAlive::default())
        .into_response()
}

fn to_caller_event(event: SourceEvent) -> SseEvent {
    SseEvent::default().id(event.id).data(event.data)
}

fn interruption_event() -> SseEvent {
    let body = json!({"error": {
        "message": "the answer broke off; the request may have run",
        "type": "server_error",
        "param": null,
        "code": "stream_interrupted",
        "ran": "unknown",
    }});
    SseEvent::default().event("error").data(body.to_string())
}
