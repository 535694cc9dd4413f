//! Serves requests whose response is a stream of events.
//!
//! Complete events are forwarded as they arrive. When a back end breaks off, a resumable stream
//! continues at another back end after the last complete event, and only after the old connection
//! was closed. From its first event on, it continues at back ends of one software version only, since
//! what two versions write does not fit together. Any other stream is cut off, so that the caller notices.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gorsebank_fleet::CopyTier;
use gorsebank_fleet::events::EventSplitter;
use gorsebank_world::ModelId;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use tokio_stream::wrappers::ReceiverStream;

use crate::admission::{self, admit};
use crate::attempt::{AttemptResult, BackEndResponse, send};
use crate::attempts::{Attempts, CONNECTION_LOST, NextStep, QUARANTINED};
use crate::back_end::BackEnd;
use crate::event_log::{self, LogPriority};
use crate::failure::Failure;
use crate::lost_connection;
use crate::request::{Call, RequiredVersion, ResponseBody, TruncatedBody, response_head};
use crate::single_response::evaluate_response;
use crate::stream_memory::StreamAccount;
use crate::take_up;

/// Maximum number of events buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 16;
/// A back end that is silent for this many gap objectives is abandoned.
const SILENT_GAPS: u32 = 4;
/// Minimum silence after which a back end is abandoned. Sound back ends may be silent for a second,
/// and callers give up no sooner than after two.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);
/// Silence after which a back end is abandoned if the route has no gap objective.
const DEFAULT_SILENCE: Duration = Duration::from_secs(3);
/// A back end must start its response within this multiple of the objective.
const FIRST_EVENT_FACTOR: f64 = 1.6;

/// Number of events from one back end after which it has survived the begin of the response. A crash as
/// it begins may still let the first event out.
const BEGUN_EVENTS: u64 = 2;

/// Reason: the response of a back end ended inside an event.
const PARTIAL_EVENT: &str = "partial_event";

/// Counts the request as running on its model until dropped.
struct RunningGuard {
    call: Arc<Call>,
    model: Option<ModelId>,
}

impl RunningGuard {
    fn begin(call: &Arc<Call>) -> Self {
        let model = call.metadata.model.clone();
        if let Some(model) = &model {
            let mut demand = call.shared.demand.lock();
            demand.record_running(&call.service, model, 1);
        }
        RunningGuard {
            call: call.clone(),
            model,
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if let Some(model) = &self.model {
            let mut demand = self.call.shared.demand.lock();
            demand.record_running(&self.call.service, model, -1);
        }
    }
}

/// Serves a stream. Returns the response head and body; a spawned task forwards the events.
pub async fn serve(call: Arc<Call>) -> Result<Response<ResponseBody>, Failure> {
    take_up::require_first_version(&call).await?;
    record_arrival(&call);
    let running = RunningGuard::begin(&call);
    let mut attempts = Attempts::default();
    loop {
        let back_end = admit(&call, &attempts.tried).await?;
        call.refuse_while_stopping()?;
        log_taken_up(&call, &back_end);
        attempts.record_send(&call, &back_end.id);
        let head_timeout = head_timeout(&call);
        let last_event = call.metadata.last_event.as_deref();
        let next = match send(&call, &back_end, last_event, head_timeout, &mut attempts).await {
            AttemptResult::NotSent(reason) => attempts.after_not_sent(&call, reason),
            AttemptResult::MayHaveRun(reason) => attempts.after_may_have_run(&call, reason),
            AttemptResult::Responded(response) if response.head.status == StatusCode::OK => {
                return Ok(forward_stream(call, running, attempts, *response));
            }
            AttemptResult::Responded(response) => {
                match evaluate_response(&call, &mut attempts, *response).await {
                    Ok(response) => return Ok(response),
                    Err(next) => next,
                }
            }
        };
        if let NextStep::GiveUp(failure) = next {
            return Err(failure);
        }
    }
}

fn record_arrival(call: &Call) {
    let Some(model) = &call.metadata.model else {
        return;
    };
    let now = call.shared.now();
    let adapter = call.metadata.adapter.as_ref();
    let is_urgent = admission::load_time(call, model, CopyTier::WeightStore) > call.route.objective;
    let mut demand = call.shared.demand.lock();
    demand.record_arrival(now, &call.service, model, adapter, is_urgent);
}

/// Logs where a stream continues that the caller takes up after an earlier request.
fn log_taken_up(call: &Call, back_end: &BackEnd) {
    let metadata = &call.metadata;
    if metadata.last_event.is_none() && metadata.resumes.is_none() {
        return;
    }
    let fields = format_args!(
        "request={} resumes={} last_event={:?} back_end={} software_version={}",
        metadata.id,
        metadata.resumes.as_deref().unwrap_or("-"),
        metadata.last_event,
        back_end.id,
        back_end.software_version,
    );
    event_log::write(LogPriority::Decision, "stream_taken_up", fields);
}

/// Maximum time until a back end's response head while another back end could be tried.
fn head_timeout(call: &Call) -> Duration {
    call.route.objective.mul_f64(FIRST_EVENT_FACTOR)
}

fn forward_stream(
    call: Arc<Call>,
    running: RunningGuard,
    attempts: Attempts,
    response: BackEndResponse,
) -> Response<ResponseBody> {
    let head = response_head(&call, response.head.status, &response.head.headers);
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let is_complete = Arc::new(AtomicBool::new(false));
    let forwarder = StreamForwarder {
        last_event: call.metadata.last_event.clone(),
        memory: call.shared.response_memory.streams.open(),
        call,
        attempts,
        sender,
        is_complete: is_complete.clone(),
        first_event: None,
        events: 0,
        last_forwarded: None,
        max_gap: Duration::ZERO,
        max_gap_end: Duration::ZERO,
        segment_events: 0,
        segment_last_event: None,
        _running: running,
    };
    tokio::spawn(forwarder.run(response));
    let events = ReceiverStream::new(receiver).map(|event| Ok(Frame::data(event)));
    // However the forwarding task ends, the body of an incomplete stream ends with an error.
    let end =
        stream::once(
            async move { (!is_complete.load(Ordering::Acquire)).then_some(TruncatedBody) },
        );
    let end = end.filter_map(async |truncated| truncated.map(Err));
    head.map(|()| StreamBody::new(events.chain(end)).boxed_unsync())
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Why the segment of a stream that comes from one back end ended.
enum SegmentEnd {
    /// The stream is complete.
    Complete,
    /// The caller has disconnected.
    CallerLeft,
    /// The deadline has passed.
    TimedOut,
    /// The back end broke off or went silent.
    Broken(&'static str),
}

/// Forwards one stream from back ends to the caller.
struct StreamForwarder {
    call: Arc<Call>,
    attempts: Attempts,
    sender: mpsc::Sender<Bytes>,
    /// The memory of events that the caller has not received.
    memory: StreamAccount,
    /// Whether the last event was forwarded.
    is_complete: Arc<AtomicBool>,
    last_event: Option<String>,
    first_event: Option<Duration>,
    events: u64,
    last_forwarded: Option<Instant>,
    max_gap: Duration,
    /// When the longest gap ended, measured from the request's arrival.
    max_gap_end: Duration,
    /// Number of events of the current segment.
    segment_events: u64,
    /// When the last event of the current segment arrived.
    segment_last_event: Option<Instant>,
    _running: RunningGuard,
}

impl StreamForwarder {
    async fn run(mut self, response: BackEndResponse) {
        let mut response = response;
        loop {
            let back_end = response.back_end.clone();
            let end = self.forward_events(&mut response).await;
            let reason = match end {
                SegmentEnd::Complete => {
                    let latency = self.first_event.unwrap_or_default().as_millis() as u64;
                    let now = self.call.shared.now();
                    back_end.update_health(|health| health.record_response(now, latency));
                    self.record_length();
                    let shared = &self.call.shared;
                    shared.record_alive(&back_end);
                    shared.record_complete_response(self.call.fingerprint);
                    shared.record_parts_begun(&self.call.shared_parts);
                    response.return_connection(&self.call.shared);
                    self.is_complete.store(true, Ordering::Release);
                    return self.log_stream_end("served", back_end.id.as_str());
                }
                SegmentEnd::CallerLeft => {
                    return self.log_stream_end("caller_left", back_end.id.as_str());
                }
                SegmentEnd::TimedOut => {
                    return self.log_stream_end("timed_out", back_end.id.as_str());
                }
                SegmentEnd::Broken(reason) => reason,
            };
            if matches!(reason, CONNECTION_LOST | PARTIAL_EVENT) {
                response.record_stated_end(&self.call.shared);
            }
            // Closing the connection cancels the request before it continues at another back end.
            drop(response);
            let reason = match reason {
                CONNECTION_LOST | PARTIAL_EVENT => {
                    let has_begun = self.segment_events >= BEGUN_EVENTS;
                    lost_connection::check_back_end(&self.call, &back_end, has_begun).await
                }
                reason => reason,
            };
            if reason != QUARANTINED {
                self.call.shared.record_unreachable(&back_end);
            }
            let call = self.call.clone();
            let next = tokio::select! {
                next = self.resume(reason) => next,
                () = call.wait_for_deadline() => None,
            };
            match next {
                Some(next) => response = next,
                None => return self.log_stream_end(reason, back_end.id.as_str()),
            }
        }
    }

    async fn forward_events(&mut self, response: &mut BackEndResponse) -> SegmentEnd {
        let mut splitter = EventSplitter::default();
        self.memory.release_incomplete(0);
        self.segment_events = 0;
        self.segment_last_event = None;
        let call = self.call.clone();
        let mut deadline_passed = pin!(call.wait_for_deadline());
        let mut quarantined = pin!(call.wait_for_quarantine());
        loop {
            let silent_at = Instant::now() + self.silence_timeout();
            let until = silent_at.min(self.call.deadline());
            let has_begun = self.segment_events >= BEGUN_EVENTS;
            let frame = tokio::select! {
                () = self.sender.closed() => return SegmentEnd::CallerLeft,
                () = &mut deadline_passed => return SegmentEnd::TimedOut,
                // The back end would crash once it begins to write.
                () = &mut quarantined, if !has_begun => return SegmentEnd::Broken(QUARANTINED),
                frame = timeout_at(until, response.body.frame()) => frame,
            };
            let data = match frame {
                Err(_) if Instant::now() >= self.call.deadline() => return SegmentEnd::TimedOut,
                Err(_) if self.attempts.reserve_failover(&self.call) => {
                    return SegmentEnd::Broken("silent");
                }
                Err(_) => continue,
                Ok(None) if splitter.has_partial() => return SegmentEnd::Broken(PARTIAL_EVENT),
                Ok(None) => return SegmentEnd::Complete,
                Ok(Some(Err(_))) => return SegmentEnd::Broken(CONNECTION_LOST),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let incomplete_bytes = splitter.buffered_bytes() + data.len();
            let back_end = response.back_end.id.as_str();
            tokio::select! {
                () = self.sender.closed() => return SegmentEnd::CallerLeft,
                () = &mut deadline_passed => return SegmentEnd::TimedOut,
                () = self.memory.reserve(incomplete_bytes, back_end) => {}
            }
            if splitter.push(&data).is_err() {
                return SegmentEnd::Broken("event_too_long");
            }
            let events_before = self.events;
            while let Some(event) = splitter.next_event() {
                if self.is_repeated(event.id.as_deref()) {
                    continue;
                }
                self.fix_version(&response.back_end);
                match self.send_event(&event.bytes).await {
                    Ok(()) => self.record_event(event.id),
                    Err(end) => return end,
                }
            }
            self.memory.release_incomplete(splitter.buffered_bytes());
            self.record_speed(response, self.events - events_before);
        }
    }

    /// Passes an event on to the caller's connection. A caller whose connection went silent accepts no
    /// data and does not disconnect either.
    async fn send_event(&mut self, event: &Bytes) -> Result<(), SegmentEnd> {
        let sending = async {
            let event = self.memory.hold(event).await;
            self.sender.send(event).await
        };
        let sent = tokio::select! {
            sent = timeout_at(self.call.deadline(), sending) => sent,
            () = self.sender.closed() => return Err(SegmentEnd::CallerLeft),
        };
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(SegmentEnd::CallerLeft),
            Err(_) => Err(SegmentEnd::TimedOut),
        }
    }

    /// Measures the engine's speed from the `events` that were just forwarded.
    fn record_speed(&mut self, response: &mut BackEndResponse, events: u64) {
        let Some(model) = self.call.metadata.model.as_ref().filter(|_| events > 0) else {
            return;
        };
        let shared = &self.call.shared;
        let service = &self.call.service;
        let now = Instant::now();
        if let Some(before) = self.segment_last_event.replace(now) {
            self.report_pause(&response.back_end, now - before);
            let gap = milliseconds(now - before) / events as f64;
            let engine = &response.back_end.id;
            shared.with_prefill_model(service, |known| {
                known.record_gap(shared.now(), engine, model, gap);
            });
            return;
        }
        response.record_prefill_end();
        let engine = &response.back_end.id;
        let latency = milliseconds(response.age());
        // The engine may have cached the shared prefixes for another gateway.
        let tokens = self.call.metadata.prompt.own_tokens;
        shared.with_prefill_model(service, |known| {
            known.record_prefill(shared.now(), engine, model, latency, tokens);
        });
    }

    /// Measures how long a complete stream ran from its first event on.
    fn record_length(&self) {
        let (Some(began), Some(ended)) = (self.first_event, self.last_forwarded) else {
            return;
        };
        let ran = ended.saturating_duration_since(self.call.arrived() + began);
        let queues = &self.call.shared.engine_queues;
        queues.record_stream(&self.call.service, self.events, milliseconds(ran));
    }

    /// Fixes the software version of the stream, which its first event determines.
    fn fix_version(&self, back_end: &BackEnd) {
        let call = &self.call;
        if call.required_version().is_some() {
            return;
        }
        if !call.shared.are_rows_current() {
            return call.require_version(RequiredVersion::Unknown);
        }
        let version = &back_end.software_version;
        if call.route.kind.may_retry()
            && let Some(stream) = take_up::stream_key(call)
        {
            call.shared.record_origin(&call.service, stream, version);
        }
        call.require_version(RequiredVersion::Exactly(version.clone()));
    }

    fn record_event(&mut self, id: Option<String>) {
        self.events += 1;
        self.segment_events += 1;
        if self.segment_events == BEGUN_EVENTS {
            self.call.shared.record_parts_begun(&self.call.shared_parts);
        }
        let now = Instant::now();
        let since_arrival = now - self.call.arrived();
        self.first_event.get_or_insert(since_arrival);
        if let Some(last) = self.last_forwarded.replace(now)
            && now - last > self.max_gap
        {
            self.max_gap = now - last;
            self.max_gap_end = since_arrival;
        }
        if id.is_some() {
            self.last_event = id;
        }
    }

    /// Reports a pause that is longer than the gap objective, in the background, if prompts of the model are paced.
    fn report_pause(&self, back_end: &Arc<BackEnd>, pause: Duration) {
        let (Some(model), Some(objective)) =
            (&self.call.metadata.model, self.call.route.gap_objective)
        else {
            return;
        };
        let configuration = &self.call.configuration;
        if pause <= objective || !configuration.loads_outlast_callers(&self.call.service, model) {
            return;
        }
        let (shared, back_end) = (self.call.shared.clone(), back_end.clone());
        tokio::spawn(async move { shared.report_long_pause(&back_end, pause, objective).await });
    }

    /// Whether the caller already has an event with this number or a higher one.
    fn is_repeated(&self, id: Option<&str>) -> bool {
        let number = id.and_then(|id| id.parse::<u64>().ok());
        let last = self
            .last_event
            .as_ref()
            .and_then(|id| id.parse::<u64>().ok());
        matches!((number, last), (Some(number), Some(last)) if number <= last)
    }

    /// How long a back end may stay silent.
    fn silence_timeout(&self) -> Duration {
        if !self.call.route.kind.may_retry() {
            return self.call.route.timeout;
        }
        let gap_objective = self.call.route.gap_objective;
        let silence = gap_objective.map_or(DEFAULT_SILENCE, |gap| gap * SILENT_GAPS);
        let silence = silence.max(MIN_SILENCE);
        if self.events == 0 {
            return silence.max(self.call.route.objective.mul_f64(FIRST_EVENT_FACTOR));
        }
        silence
    }

    /// Sends the request to another back end and returns its response, which continues after the
    /// last event. `None` if the stream cannot be resumed.
    async fn resume(&mut self, reason: &'static str) -> Option<BackEndResponse> {
        let mut next = self.attempts.after_may_have_run(&self.call, reason);
        while let NextStep::Retry = next {
            let back_end = admit(&self.call, &self.attempts.tried).await.ok()?;
            self.attempts.record_send(&self.call, &back_end.id);
            self.record_resumed(reason, &back_end);
            let head_timeout = head_timeout(&self.call);
            let last_event = self.last_event.as_deref();
            let attempts = &mut self.attempts;
            next = match send(&self.call, &back_end, last_event, head_timeout, attempts).await {
                AttemptResult::NotSent(reason) => self.attempts.after_not_sent(&self.call, reason),
                AttemptResult::MayHaveRun(reason) => {
                    self.attempts.after_may_have_run(&self.call, reason)
                }
                AttemptResult::Responded(response) if response.head.status == StatusCode::OK => {
                    return Some(*response);
                }
                AttemptResult::Responded(response) if response.metadata.has_not_run => self
                    .attempts
                    .after_not_run(&self.call, response.metadata.pause),
                AttemptResult::Responded(_) => self
                    .attempts
                    .after_may_have_run(&self.call, "resume_refused"),
            };
        }
        None
    }

    /// Logs and counts that the stream continues at another back end within its response.
    fn record_resumed(&self, reason: &str, back_end: &BackEnd) {
        let began_at = match self.call.required_version() {
            Some(RequiredVersion::Exactly(version)) => Some(version),
            Some(RequiredVersion::Unknown) | None => None,
        };
        let keeps_version = began_at.is_none_or(|began| *began == back_end.software_version);
        let metrics = &self.call.shared.metrics;
        metrics.record_stream_resumed("response", keeps_version);
        let fields = format_args!(
            "request={} reason={reason} events={} back_end={} software_version={} began_at={} \
             last_event={:?}",
            self.call.metadata.id,
            self.events,
            back_end.id,
            back_end.software_version,
            began_at.map_or("-", |began| began.as_str()),
            self.last_event
        );
        event_log::write(LogPriority::Decision, "stream_resumed", fields);
    }

    fn log_stream_end(&self, outcome: &str, back_end: &str) {
        let fields = format_args!(
            "request={} events={} first_event_ms={} longest_pause_ms={} longest_pause_end_ms={} \
             pause_objective_ms={}",
            self.call.metadata.id,
            self.events,
            self.first_event.unwrap_or_default().as_millis(),
            self.max_gap.as_millis(),
            self.max_gap_end.as_millis(),
            self.call
                .route
                .gap_objective
                .unwrap_or_default()
                .as_millis(),
        );
        let priority = if outcome == "served" {
            LogPriority::Served
        } else {
            LogPriority::Decision
        };
        event_log::write(priority, "stream_end", fields);
        self.call
            .log_end(outcome, StatusCode::OK.as_u16(), back_end);
    }
}
