//! Sends a request to one back end once, and reports whether it may have run.
//!
//! Only three observations show that a back end did not run a request: nothing was written, the
//! back end says so, or another incarnation responded. After anything else, including silence, the
//! request may have run.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::header::HeaderName;
use http::response::Parts;
use http::{HeaderMap, Request, StatusCode};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::attempts::{Attempts, CONNECTION_LOST, NO_PATH, NOT_CONNECTED, PAUSED, QUARANTINED};
use crate::back_end::{BackEnd, Connection, Exchange, InFlight, PendingPrefill};
use crate::collected_body::CollectedBody;
use crate::directory::Directory;
use crate::event_log::{self, LogPriority};
use crate::http_connection::SendError;
use crate::links::{self, ConnectError};
use crate::lost_connection;
use crate::ports::{AttemptHeaders, ResponseMetadata};
use crate::request::Call;
use crate::response_memory::CollectError;
use crate::shared::Shared;
use crate::unread_body::discard;

/// How many idle connections of the pool are tried before a new one is opened.
const MAX_IDLE_TRIES: usize = 3;
/// Header that states how long a back end keeps an idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A back end's response whose body has not been read yet.
#[derive(Debug)]
pub struct BackEndResponse {
    /// The response head.
    pub head: Parts,
    /// The unread body.
    pub body: Incoming,
    /// What the gateway's own headers in the response say.
    pub metadata: ResponseMetadata,
    /// The back end that responded.
    pub back_end: Arc<BackEnd>,
    connection: Connection,
    in_flight: InFlight,
    prefill: Option<PendingPrefill>,
    sent: Instant,
}

/// The result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// A response head arrived that belongs to the request.
    Responded(Box<BackEndResponse>),
    /// Nothing was sent, for the given reason.
    NotSent(&'static str),
    /// The request may have run; the reason says why there is no usable response.
    MayHaveRun(&'static str),
}

impl AttemptResult {
    /// Who stated that this attempt did not run the request; `None` if it may have run.
    fn not_run_by(&self) -> Option<&'static str> {
        match self {
            AttemptResult::Responded(response) => {
                response.metadata.has_not_run.then_some("back_end")
            }
            AttemptResult::NotSent(_) => Some("gateway"),
            AttemptResult::MayHaveRun(_) => None,
        }
    }
}

/// Sends `call` to `back_end`. If no response head has arrived after `head_timeout`, the attempt is
/// abandoned, provided that another back end can take over.
pub async fn send(
    call: &Call,
    back_end: &Arc<BackEnd>,
    last_event: Option<&str>,
    head_timeout: Duration,
    attempts: &mut Attempts,
) -> AttemptResult {
    let load = AttemptLoad {
        in_flight: back_end.count_in_flight(),
        prefill: back_end.begin_prefill(&call.metadata),
    };
    let sent = Instant::now();
    let mut attempt = ActiveAttempt {
        call,
        back_end,
        last_event,
        head_timeout,
        attempts,
        exchange: None,
    };
    let result = attempt.send(load).await;
    let exchange = attempt.exchange;
    let result_label = match &result {
        AttemptResult::Responded(response) => {
            call.shared.metrics.record_first_byte_time(sent.elapsed());
            response.head.status.as_str().to_owned()
        }
        AttemptResult::NotSent(reason) | AttemptResult::MayHaveRun(reason) => (*reason).to_owned(),
    };
    call.shared
        .metrics
        .attempts
        .with_label_values(&[&result_label])
        .inc();
    let not_run_by = result.not_run_by();
    if let Some(source) = not_run_by {
        call.shared.metrics.record_not_run(source);
    }
    if !matches!(&result, AttemptResult::Responded(response) if response.head.status.is_success()) {
        let may_have_run = not_run_by.is_none();
        let fields = format_args!(
            "request={} back_end={} result={result_label} may_have_run={may_have_run} not_run_by={} attempt={} \
             connection={} exchange={} took_ms={} row_version={} row_age_ms={}",
            call.metadata.id,
            back_end.id,
            not_run_by.unwrap_or("-"),
            call.attempts.load(Ordering::Relaxed),
            exchange.map_or(0, |exchange| exchange.connection),
            exchange.map_or(0, |exchange| exchange.position),
            sent.elapsed().as_millis(),
            back_end.row().version,
            call.shared.now().since(back_end.row().seen),
        );
        event_log::write(LogPriority::Decision, "attempt", fields);
    }
    result
}

/// Counts one attempt in the load of its back end until dropped.
struct AttemptLoad {
    in_flight: InFlight,
    prefill: PendingPrefill,
}

/// One attempt in progress.
struct ActiveAttempt<'a> {
    call: &'a Call,
    back_end: &'a Arc<BackEnd>,
    last_event: Option<&'a str>,
    head_timeout: Duration,
    attempts: &'a mut Attempts,
    /// The exchange in which the request was last written, in whole or in part.
    exchange: Option<Exchange>,
}

impl ActiveAttempt<'_> {
    async fn send(&mut self, load: AttemptLoad) -> AttemptResult {
        let suspended = self.call.shared.clock.total_suspension();
        for _ in 0..MAX_IDLE_TRIES {
            let links = &self.call.shared.links;
            let now = self.call.shared.now();
            let attempts = &self.attempts;
            let is_usable =
                |it: &Connection| attempts.may_use(it) && links.is_usable(now, self.back_end, it);
            let idle = self.back_end.take_idle_connection(suspended, is_usable);
            let Some(connection) = idle else {
                break;
            };
            match self.exchange(connection, true).await {
                ExchangeResult::Unsent => {}
                result => return self.conclude(result, load).await,
            }
        }
        let started_at = Instant::now();
        let connecting = timeout_at(
            self.call.deadline(),
            links::connect(&self.call.shared, self.back_end),
        )
        .await;
        self.call
            .shared
            .metrics
            .record_connect_time(started_at.elapsed());
        let connection = match connecting {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return self.conclude_unconnected(error),
            Err(_) => return self.conclude_unconnected(ConnectError::BackEnd("deadline")),
        };
        let result = self.exchange(connection, false).await;
        self.conclude(result, load).await
    }

    async fn conclude(&self, result: ExchangeResult, load: AttemptLoad) -> AttemptResult {
        match result {
            ExchangeResult::Unsent => {
                self.call.shared.record_unreachable(self.back_end);
                AttemptResult::NotSent("connection_closed")
            }
            ExchangeResult::Withheld(reason) => AttemptResult::NotSent(reason),
            ExchangeResult::Failed(CONNECTION_LOST) => {
                let reason = lost_connection::check_back_end(self.call, self.back_end, false).await;
                record_failure(self.call, self.back_end, reason)
            }
            ExchangeResult::Failed(QUARANTINED) => {
                self.call.mark_may_have_run();
                self.call.clear_in_doubt();
                AttemptResult::MayHaveRun(QUARANTINED)
            }
            ExchangeResult::Failed(reason) => record_failure(self.call, self.back_end, reason),
            ExchangeResult::Head(head) => accept(self.call, self.back_end, *head, load),
        }
    }

    fn conclude_unconnected(&self, error: ConnectError) -> AttemptResult {
        let fields = format_args!(
            "request={} back_end={} result={error}",
            self.call.metadata.id, self.back_end.id
        );
        event_log::write(LogPriority::Decision, "back_end_connect", fields);
        match error {
            ConnectError::BackEnd(_) => {
                self.call.shared.record_unreachable(self.back_end);
                AttemptResult::NotSent(NOT_CONNECTED)
            }
            ConnectError::Confirmed => {
                self.call.shared.record_own_fault(self.back_end);
                AttemptResult::NotSent(NOT_CONNECTED)
            }
            ConnectError::NoPath => {
                self.call.shared.record_unreachable(self.back_end);
                AttemptResult::NotSent(NO_PATH)
            }
        }
    }

    async fn exchange(&mut self, mut connection: Connection, is_pooled: bool) -> ExchangeResult {
        // The request may have been quarantined since the back end was chosen.
        if self.call.quarantine_left().is_some() {
            return ExchangeResult::Withheld(QUARANTINED);
        }
        // The back end may have requested a pause, or started to drain, while a connection was
        // opened.
        let now = self.call.shared.now();
        if self.call.shared.pause_left(now, self.back_end).is_some() {
            return ExchangeResult::Withheld(PAUSED);
        }
        let id = &self.back_end.id;
        let is_active = |directory: &Directory| directory.is_active(id);
        if !self.call.shared.directory(is_active) {
            return ExchangeResult::Unsent;
        }
        let request = build_request(self.call, self.back_end, self.last_event);
        self.exchange = Some(connection.begin_exchange());
        self.attempts.record_connection(&connection);
        let sent = Instant::now();
        let mut silence_guard = SilenceGuard {
            back_end: self.back_end,
            sent,
            head_timeout: self.head_timeout,
            may_be_silent: is_pooled,
        };
        self.call.mark_in_doubt();
        self.back_end.record_prompt(now, &self.call.metadata);
        let mut sending = pin!(connection.http.send(request));
        let mut quarantined = pin!(self.call.wait_for_quarantine());
        let mut until = self.call.deadline().min(sent + self.head_timeout);
        let result = loop {
            let answered = tokio::select! {
                answered = timeout_at(until, sending.as_mut()) => answered,
                // Dropping the request cancels it at the back end, before that crashes.
                () = quarantined.as_mut() => return ExchangeResult::Failed(QUARANTINED),
            };
            match answered {
                Ok(result) => break result,
                Err(_) if Instant::now() >= self.call.deadline() => {
                    return ExchangeResult::Failed("no_head");
                }
                Err(_) if self.attempts.reserve_failover(self.call) => {
                    return ExchangeResult::Failed("no_head");
                }
                Err(_) => until = self.call.deadline().min(until + self.head_timeout),
            }
        };
        silence_guard.may_be_silent = false;
        match result {
            // The response head tells whether the request ran.
            Ok(response) => {
                let (parts, body) = response.into_parts();
                ExchangeResult::Head(Box::new(ResponseHead {
                    parts,
                    body,
                    connection,
                    sent,
                }))
            }
            Err(_) if connection.http.is_head_too_long() => {
                ExchangeResult::Failed("response_head_too_long")
            }
            Err(error @ SendError::InvalidStatus(_)) => {
                self.log_invalid_response(&error);
                ExchangeResult::Failed("invalid_status")
            }
            // The bytes came from the back end, whichever gateway carried them.
            Err(error @ SendError::Malformed(_)) => {
                self.log_invalid_response(&error);
                let shared = &self.call.shared;
                shared.record_stated_end(self.back_end, &connection);
                ExchangeResult::Failed(CONNECTION_LOST)
            }
            Err(SendError::Unsent) => {
                self.call.shared.links.record_lost(&connection);
                self.call.clear_in_doubt();
                ExchangeResult::Unsent
            }
            Err(SendError::Failed(_)) => {
                let shared = &self.call.shared;
                shared.links.record_lost(&connection);
                shared.record_stated_end(self.back_end, &connection);
                ExchangeResult::Failed(CONNECTION_LOST)
            }
        }
    }

    fn log_invalid_response(&self, error: &SendError) {
        let fields = format_args!(
            "request={} back_end={} error=\"{error}\"",
            self.call.metadata.id, self.back_end.id
        );
        event_log::write(LogPriority::Decision, "invalid_response", fields);
    }
}

/// Closes the idle connections of a back end when a wait on one of them was in vain.
///
/// Connections can go silent without a reset, and then all open connections to the back end do so
/// together. The guard is dropped when the wait for a response head ends. If no head arrived within
/// the timeout, even if the wait ended at the caller's deadline, the next request must not wait on
/// such a connection too.
struct SilenceGuard<'a> {
    back_end: &'a BackEnd,
    sent: Instant,
    head_timeout: Duration,
    may_be_silent: bool,
}

impl Drop for SilenceGuard<'_> {
    fn drop(&mut self) {
        if self.may_be_silent && self.sent.elapsed() >= self.head_timeout {
            self.back_end.close_idle_since(self.sent);
        }
    }
}

fn record_failure(call: &Call, back_end: &BackEnd, reason: &'static str) -> AttemptResult {
    call.mark_may_have_run();
    call.clear_in_doubt();
    call.shared.record_unreachable(back_end);
    AttemptResult::MayHaveRun(reason)
}

struct ResponseHead {
    parts: Parts,
    body: Incoming,
    connection: Connection,
    sent: Instant,
}

enum ExchangeResult {
    /// Nothing was written, although the back end did not fail.
    Withheld(&'static str),
    /// The connection was closed before anything was written.
    Unsent,
    /// Part of the request was written, and no response head arrived.
    Failed(&'static str),
    /// A response head arrived.
    Head(Box<ResponseHead>),
}

fn build_request(
    call: &Call,
    back_end: &BackEnd,
    last_event: Option<&str>,
) -> Request<CollectedBody> {
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = call.head.uri.clone();
    *request.headers_mut() = call.head.headers.clone();
    let head = AttemptHeaders {
        back_end: &back_end.id,
        time_left: call.deadline().saturating_duration_since(Instant::now()),
        priority: call.priority(),
        tenant: call.tenant.as_ref().map(|tenant| tenant.id.as_str()),
        last_event,
    };
    call.shared
        .platform
        .set_attempt_headers(request.headers_mut(), &head);
    request
}

/// Checks that the response belongs to this request.
fn accept(
    call: &Call,
    back_end: &Arc<BackEnd>,
    head: ResponseHead,
    load: AttemptLoad,
) -> AttemptResult {
    let platform = &call.shared.platform;
    let metadata = platform.response_metadata(head.parts.status, &head.parts.headers);
    if metadata.request_id.as_deref().unwrap_or_default() != call.metadata.id {
        let fields = format_args!(
            "back_end={} request={} received={} status={} not_run={}",
            back_end.id,
            call.metadata.id,
            metadata.request_id.as_deref().unwrap_or("-"),
            head.parts.status.as_u16(),
            metadata.has_not_run,
        );
        event_log::write(LogPriority::Decision, "foreign_response", fields);
        return record_failure(call, back_end, "foreign_answer");
    }
    // A misdirected request reached a back end other than the intended one, which responded.
    if head.parts.status != StatusCode::MISDIRECTED_REQUEST {
        call.shared.record_response(back_end, head.sent, &metadata);
    }
    if metadata.has_not_run && head.parts.status == StatusCode::SERVICE_UNAVAILABLE {
        call.shared.record_rejection(back_end);
    }
    if !metadata.has_not_run {
        call.mark_may_have_run();
    }
    call.clear_in_doubt();
    AttemptResult::Responded(Box::new(BackEndResponse {
        head: head.parts,
        body: head.body,
        metadata,
        back_end: back_end.clone(),
        connection: head.connection,
        in_flight: load.in_flight,
        prefill: Some(load.prefill),
        sent: head.sent,
    }))
}

impl BackEndResponse {
    /// Whether the response reports a failure of the back end.
    pub fn is_failure(&self) -> bool {
        self.head.status.is_server_error()
    }

    /// Whether the status implies that the request did not run, although the back end did not state
    /// this in its headers.
    pub fn has_unconfirmed_not_run_status(&self) -> bool {
        let implies_not_run = matches!(
            self.head.status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        );
        implies_not_run && !self.metadata.has_not_run
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut off, takes too long, or is longer than the memory allows.
    pub async fn read_body(
        &mut self,
        shared: &Shared,
        until: Instant,
    ) -> Result<CollectedBody, CollectError> {
        let back_end = self.back_end.id.as_str();
        let collecting = shared.response_memory.collect(&mut self.body, back_end);
        let collected = timeout_at(until, collecting).await;
        collected.unwrap_or(Err(CollectError::Truncated))
    }

    /// Reads the complete body without keeping it. Returns whether its end was reached in time.
    pub async fn discard_body(&mut self, until: Instant) -> bool {
        let discarding = timeout_at(until, discard(&mut self.body));
        discarding.await.unwrap_or(false)
    }

    /// Returns the connection to the pool after the body was read completely.
    pub fn return_connection(self, shared: &Shared) {
        let keep_alive = keep_alive_timeout(&self.head.headers);
        let max_idle = shared.max_idle_connections(&self.back_end.service);
        self.back_end
            .return_connection(self.connection, keep_alive, max_idle);
        drop(self.in_flight);
    }

    /// Records how the connection ended before the end of the response.
    pub fn record_stated_end(&self, shared: &Shared) {
        shared.record_stated_end(&self.back_end, &self.connection);
    }

    /// Records the end of the prefill, which the first event shows.
    pub fn record_prefill_end(&mut self) {
        drop(self.prefill.take());
    }

    /// Time since the request was sent.
    pub fn age(&self) -> Duration {
        self.sent.elapsed()
    }
}

/// How long the back end keeps an idle connection open, if its response states this.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
