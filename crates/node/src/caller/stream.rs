//! Answer streams: each event is checked and passed on as it comes.
//!
//! In: server-sent events of an engine, each with the id `stream:number`. Out:
//! the same events towards the caller, in order and each once. A stream that
//! breaks is resumed after the last event passed on; one that cannot be ends in
//! an explicit error event, never in a clean close.

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
use gorsebank_coordination::{EventId, StreamGuard, Verdict};
use http_body_util::{BodyStream, Full};
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::timeout;

use crate::caller::attempt::REQUEST_ID_HEADER;
use crate::caller::request::OpenRequest;
use crate::host::Host;

/// The data of a stream's last event, as the OpenAI API has it.
const LAST_EVENT: &str = "[DONE]";
/// Times that a stream is resumed without an event in between.
const MAX_RESUMES: u32 = 4;
/// Pause before a stream is resumed; doubles each time.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

type Events = Pin<Box<dyn Stream<Item = Result<SourceEvent, ()>> + Send>>;

/// An engine's stream, followed across broken connections.
pub struct StreamSource {
    http: HttpClient,
    address: SocketAddr,
    name: String,
    events: Option<Events>,
    guard: StreamGuard,
    stall: Duration,
    first: Option<SourceEvent>,
    resumed: u64,
    rejected: u64,
}

impl StreamSource {
    /// Follows the stream that `response` begins.
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
            guard: StreamGuard::new(name, 0),
            stall,
            first: None,
            resumed: 0,
            rejected: 0,
        }
    }

    /// Follows a stream of which the caller has everything before `next`.
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
            guard: StreamGuard::new(name, next),
            stall,
            first: None,
            resumed: 0,
            rejected: 0,
        }
    }

    /// Waits for the first event, so that an attempt that fails before it can
    /// still be repeated.
    pub async fn fetch_first(&mut self) -> Result<(), AttemptOutcome> {
        self.first = self.next_event().await;
        match self.first {
            Some(_) => Ok(()),
            None => Err(AttemptOutcome::LostBeforeAnswer),
        }
    }

    /// The next event for the caller; `None` if the stream broke for good, or
    /// after the last.
    async fn next_event(&mut self) -> Option<SourceEvent> {
        if let Some(first) = self.first.take() {
            return Some(first);
        }
        if self.guard.is_finished() {
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
                tokio::time::sleep(RESUME_PAUSE * 2u32.pow(resumes - 1)).await;
            }
            resumes += 1;
            self.reconnect().await;
        }
    }

    /// The next event that belongs here; `None` if the connection is of no
    /// more use.
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
            let verdict = event.id.parse::<EventId>().map_or(Verdict::Foreign, |id| {
                self.guard.judge(&id, event.data == LAST_EVENT)
            });
            match verdict {
                Verdict::Forward => return Some(event),
                Verdict::Duplicate => self.rejected += 1,
                Verdict::Gap | Verdict::Foreign => {
                    self.rejected += 1;
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
            self.resumed += 1;
            self.events = Some(events_of(response));
        }
    }

    fn resume_request(&self) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(Method::GET)
            .uri(format!("http://{}/v1/streams/{}", self.address, self.name));
        if let Some(last) = self.guard.next().checked_sub(1) {
            builder = builder.header("last-event-id", format!("{}:{last}", self.name));
        }
        builder.body(Full::default()).ok()
    }

    fn is_finished(&self) -> bool {
        self.guard.is_finished()
    }

    /// Moves this stream's counts to the node's.
    fn count(&mut self, host: &Host) {
        let metrics = host.metrics();
        metrics
            .streams_resumed
            .inc_by(std::mem::take(&mut self.resumed));
        metrics
            .events_rejected
            .inc_by(std::mem::take(&mut self.rejected));
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

/// A stream that is passed on, with the request it answers.
struct Passage {
    open: OpenRequest,
    source: StreamSource,
}

/// The response that passes a stream on.
pub fn respond(open: OpenRequest, source: StreamSource) -> Response<Body> {
    let name = source.name.clone();
    let passage = Box::new(Passage { open, source });
    let events = stream::unfold(Some(passage), |passage| async { step(passage?).await });
    let mut response = Sse::new(events)
        .keep_alive(KeepAlive::default())
        .into_response();
    if let Ok(name) = HeaderValue::from_str(&name) {
        response.headers_mut().insert(REQUEST_ID_HEADER, name);
    }
    response
}

type Item = Result<SseEvent, std::convert::Infallible>;

/// Passes one event on; there is no passage after the last.
async fn step(mut passage: Box<Passage>) -> Option<(Item, Option<Box<Passage>>)> {
    let Passage { open, source } = &mut *passage;
    let event = source.next_event().await;
    source.count(open.host());
    match event {
        Some(event) => {
            if source.is_finished() {
                open.attempt_ended(AttemptOutcome::Completed);
            }
            Some((Ok(passed_on(event)), Some(passage)))
        }
        None if source.is_finished() => None,
        None => {
            open.host().metrics().streams_broken.inc();
            open.attempt_ended(AttemptOutcome::LostDuringAnswer);
            Some((Ok(interrupted()), None))
        }
    }
}

/// The response that passes on the rest of a stream that another node began.
pub fn respond_rest(host: std::sync::Arc<Host>, source: StreamSource) -> Response<Body> {
    let events = stream::unfold(Some((host, source)), |state| async {
        let (host, mut source) = state?;
        let event = source.next_event().await;
        source.count(&host);
        let item: (Item, _) = match event {
            Some(event) => (Ok(passed_on(event)), Some((host, source))),
            None if source.is_finished() => return None,
            None => {
                host.metrics().streams_broken.inc();
                (Ok(interrupted()), None)
            }
        };
        Some(item)
    });
    Sse::new(events)
        .keep_alive(KeepAlive::default())
        .into_response()
}

fn passed_on(event: SourceEvent) -> SseEvent {
    SseEvent::default().id(event.id).data(event.data)
}

fn interrupted() -> SseEvent {
    let body = json!({"error": {
        "message": "the answer broke off; the request may have run",
        "type": "server_error",
        "param": null,
        "code": "stream_interrupted",
        "ran": "unknown",
    }});
    SseEvent::default().event("error").data(body.to_string())
}
