//! One request of a caller: its route, its body, its deadline, its end.
//!
//! In: a request as the connection gives it. Out: an answer, and one log line
//! that says how it ended. When the caller leaves, the future is dropped and
//! with it every attempt.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use gorsebank_fleet::{Configuration, Fingerprint, Route, Tenant};
use gorsebank_world::ServiceId;
use http::header::{self, HeaderName};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Version};
use http_body::Body as _;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::allowance::Grant;
use crate::failure::Failure;
use crate::lines::{self, Rank};
use crate::ports::Ticket;
use crate::shared::Shared;
use crate::tenancy::{self, Caller};
use crate::unread_body::discard;
use crate::{plain, stream};

/// An answer broke off; the caller's connection is closed with it.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer broke off")]
pub struct Broken;

/// The body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, Broken>;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
/// More of them, which the library has no names for.
const MORE_CONNECTION_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];
/// Refusal reason: the body was not fully received before the deadline.
const BODY_LATE: &str = "body_late";
/// Part of the grace of a planned stop after which no stream is begun.
const LAST_STREAM: f64 = 0.35;
/// However long the grace is, callers have gone elsewhere by then, and a stream
/// may last longer than what is left.
const LAST_STREAM_LIMIT: Duration = Duration::from_millis(2_800);
/// Part of the grace of a planned stop after which no other request is begun.
const LAST_REQUEST: f64 = 0.69;

/// A request that was read whole, with what is needed to send it.
pub struct Call {
    /// State of the process.
    pub shared: Arc<Shared>,
    /// The configuration at its arrival.
    pub configuration: Arc<Configuration>,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: ServiceId,
    /// Whose request it is, where callers have keys.
    pub tenant: Option<Arc<Tenant>>,
    /// What its head says.
    pub ticket: Ticket,
    /// Method, path and headers as they are sent on.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// What it asks for: the same for each try of its caller.
    pub fingerprint: Fingerprint,
    /// When its head was read.
    arrived: Instant,
    /// How long it may be held.
    held: Duration,
    /// For how long the machine had been suspended when it arrived.
    suspended_before: Duration,
    /// Whether the caller has less time than callers of this route have at
    /// first: it has most likely been refused before.
    pub returning: bool,
    /// Sends so far.
    pub attempts: AtomicU32,
    /// What it was counted for; none if its tenant has no limit.
    grant: Option<Grant>,
    exposed: AtomicBool,
    in_doubt: AtomicBool,
    ended: AtomicBool,
}

impl Drop for Call {
    /// A call that ends without a line was dropped because its caller left. What has not run
    /// does not count for its tenant.
    fn drop(&mut self) {
        if !self.ended.load(Ordering::Relaxed) {
            self.log_end("caller_left", 0, "-");
        }
        if !self.is_exposed()
            && let Some(grant) = self.grant.take()
        {
            self.shared.allowance.give_back(grant);
        }
    }
}

impl Call {
    /// A back end may have run it.
    pub fn expose(&self) {
        self.exposed.store(true, Ordering::Relaxed);
    }

    /// How much longer it is kept away from back ends, since they end under it.
    pub fn quarantined_for(&self) -> Option<Duration> {
        let now = self.shared.now();
        self.shared.quarantine.verdict(now, self.fingerprint)
    }

    /// It is being written to a back end, and nothing has come back: should it end now,
    /// for whatever reason, nobody knows whether it ran.
    pub fn begin_doubt(&self) {
        self.in_doubt.store(true, Ordering::Relaxed);
    }

    /// What came of the write is known.
    pub fn end_doubt(&self) {
        self.in_doubt.store(false, Ordering::Relaxed);
    }

    /// Whether a back end may have run it.
    pub fn is_exposed(&self) -> bool {
        self.exposed.load(Ordering::Relaxed) || self.in_doubt.load(Ordering::Relaxed)
    }

    /// In a stopping process: how much time is left to send it to a back end, so
    /// that its answer can end before the process is killed.
    pub fn time_to_begin(&self) -> Option<Duration> {
        let since = self.shared.stopping_for()?;
        let grace = self.shared.settings.bounds.grace;
        let last = if self.route.kind.is_stream() {
            grace.mul_f64(LAST_STREAM).min(LAST_STREAM_LIMIT)
        } else {
            grace.mul_f64(LAST_REQUEST)
        };
        Some(last.saturating_sub(Duration::from_millis(since)))
    }

    /// Rank of its tenant, or else of its route; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let own = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        own.unwrap_or(self.route.priority)
    }

    /// How long the request may be held.
    pub fn held(&self) -> Duration {
        self.held
    }

    /// When its head was read: so much earlier by the clock of `Instant` as the machine has
    /// been suspended since.
    pub fn arrived(&self) -> Instant {
        let suspended = self.shared.clock.suspended();
        let since = suspended.saturating_sub(self.suspended_before);
        self.arrived.checked_sub(since).unwrap_or(self.arrived)
    }

    /// When it must have its answer.
    pub fn deadline(&self) -> Instant {
        self.arrived() + self.held
    }

    /// Time since its head was read.
    pub fn age(&self) -> Duration {
        self.arrived().elapsed()
    }

    /// Returns when its time is over, also when that was while the machine was suspended.
    pub async fn until_over(&self) {
        let mut woken = self.shared.awakenings();
        while Instant::now() < self.deadline() {
            // A ring is a reason to look at the time again, and so is its end.
            let _ = timeout_at(self.deadline(), woken.changed()).await;
        }
    }

    /// A refusal, or what is still true if it may have run.
    pub fn refuse(&self, reason: &'static str, retry_after: Duration) -> Failure {
        if self.is_exposed() {
            return Failure::Unknown { reason };
        }
        Failure::Refused {
            reason,
            retry_after,
        }
    }

    /// Writes the line of the request's end and counts it.
    pub fn log_end(&self, outcome: &str, status: u16, back_end: &str) {
        self.ended.store(true, Ordering::Relaxed);
        let rank = if outcome == "served" {
            Rank::Served
        } else {
            Rank::Decision
        };
        let total = self.age();
        self.shared.metrics.ended(outcome, total);
        if let Some(tenant) = &self.tenant {
            let metrics = &self.shared.metrics;
            metrics.tenant_ended(tenant.id.as_str(), outcome);
        }
        let model = self
            .ticket
            .model
            .as_ref()
            .map_or("-", |model| model.as_str());
        let adapter = self.ticket.adapter.as_ref();
        lines::write(
            rank,
            "request_end",
            format_args!(
                "request={} outcome={outcome} status={status} route={} service={} back_end={back_end} \
                 model={model} adapter={} tenant={} attempts={} exposed={} total_ms={} left_ms={} objective_ms={} returning={} configuration={} \
                 fingerprint={}",
                self.ticket.id,
                self.route.name,
                self.service,
                adapter.map_or("-", |adapter| adapter.as_str()),
                self.tenant
                    .as_ref()
                    .map_or("-", |tenant| tenant.id.as_str()),
                self.attempts.load(Ordering::Relaxed),
                self.is_exposed(),
                total.as_millis(),
                self.deadline()
                    .saturating_duration_since(Instant::now())
                    .as_millis(),
                self.route.objective.as_millis(),
                self.returning,
                self.configuration.version,
                self.fingerprint,
            ),
        );
    }
}

/// Serves one request.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = Instant::now();
    shared.metrics.open_requests.inc();
    let open = OpenRequest(shared.clone());
    let (head, mut body) = request.into_parts();
    let expects_continue = head.headers.contains_key(header::EXPECT);
    let (mut response, body_consumed) = match read(&shared, head, &mut body, arrived).await {
        Ok(call) => (serve(call).await, true),
        Err(failure) => {
            shared.metrics.ended(failure.reason(), arrived.elapsed());
            let response = failure.answer(shared.platform.as_ref());
            // Reading the body makes hyper send 100 Continue, which asks the caller to send it.
            // This has already happened when the body is found to be too large.
            let may_discard = !expects_continue || failure == Failure::BodyTooLarge;
            let may_discard = may_discard && failure.reason() != BODY_LATE;
            let body_consumed = body.is_end_stream() || may_discard && discard(body).await;
            (response, body_consumed)
        }
    };
    if shared.is_stopping() || !body_consumed {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    drop(open);
    response
}

struct OpenRequest(Arc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.metrics.open_requests.dec();
    }
}

async fn serve(call: Call) -> Response<AnswerBody> {
    let call = Arc::new(call);
    let serving = async {
        if call.route.kind.is_stream() {
            stream::serve(call.clone()).await
        } else {
            plain::serve(&call).await
        }
    };
    let served = tokio::select! {
        biased;
        served = serving => Some(served),
        () = call.until_over() => None,
    };
    let failure = match served {
        Some(Ok(response)) => return response,
        Some(Err(failure)) => failure,
        None if call.is_exposed() => Failure::TimedOut,
        None => call.refuse("deadline", Duration::from_millis(500)),
    };
    call.log_end(failure.reason(), failure.status().as_u16(), "-");
    failure.answer(call.shared.platform.as_ref())
}

/// A line on a request that could not be taken in.
fn log_unread(ticket: &Ticket, route: &str, failure: Failure) -> Failure {
    let fields = format_args!(
        "request={} outcome={} status={} route={route} attempts=0 exposed=false",
        ticket.id,
        failure.reason(),
        failure.status().as_u16(),
    );
    lines::write(Rank::Decision, "request_end", fields);
    failure
}

async fn read(
    shared: &Arc<Shared>,
    mut head: Parts,
    body: &mut Incoming,
    arrived: Instant,
) -> Result<Call, Failure> {
    let ticket = shared.platform.ticket(&head.headers);
    let Some((configuration, age)) = shared.configuration_for_caller() else {
        return Err(log_unread(&ticket, "-", Failure::NoConfiguration));
    };
    let Some(route) = find_route(&configuration, &head) else {
        log_unrouted(&ticket, &head, configuration.version);
        return Err(Failure::NoRoute);
    };
    let caller = Caller {
        ticket: &ticket,
        route: &route,
        arrived,
    };
    let tenant = tenancy::tenant_of(shared, &caller, &configuration, age, &mut head.headers)
        .map_err(|sent_away| log_unread(&ticket, &route.name, sent_away.into()))?;
    let held = ticket
        .deadline
        .map_or(route.timeout, |own| own.min(route.timeout));
    let deadline = arrived + held;
    let suspended_before = shared.clock.suspended();
    let returning = shared.is_returning(&route.name, ticket.deadline);
    let limit = configuration.limits.max_body_bytes;
    let body = read_body(body, limit, deadline)
        .await
        .map_err(|failure| log_unread(&ticket, &route.name, failure))?;
    let grant = tenancy::count(shared, &caller, tenant.as_deref())
        .await
        .map_err(|sent_away| log_unread(&ticket, &route.name, sent_away.into()))?;
    let service = shared.split(&route.services).ok_or(Failure::NoRoute)?;
    shared.count_request(&service);
    strip_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = Version::HTTP_11;
    let fingerprint = fingerprint(&head, &ticket, &body);
    let call = Call {
        shared: shared.clone(),
        configuration,
        route,
        service,
        tenant,
        ticket,
        head,
        body,
        fingerprint,
        arrived,
        held,
        suspended_before,
        returning,
        attempts: AtomicU32::new(0),
        grant,
        exposed: AtomicBool::new(false),
        in_doubt: AtomicBool::new(false),
        ended: AtomicBool::new(false),
    };
    refuse_while_stopping(&call)?;
    Ok(call)
}

/// Method, host, target, model and body: all that a caller's next try has in common with
/// this one. Headers are left out: deadline, id and last event differ from try to try.
fn fingerprint(head: &Parts, ticket: &Ticket, body: &Bytes) -> Fingerprint {
    let host = head.headers.get(header::HOST);
    let target = head.uri.path_and_query();
    let model = ticket.model.as_ref().map_or("", |model| model.as_str());
    let adapter = ticket.adapter.as_ref();
    Fingerprint::of(&[
        head.method.as_str().as_bytes(),
        host.map_or(&[], |host| host.as_bytes()),
        target.map_or(&[], |target| target.as_str().as_bytes()),
        model.as_bytes(),
        adapter.map_or(&[], |adapter| adapter.as_str().as_bytes()),
        body,
    ])
}

/// A request that a stopping process could not finish is better off elsewhere.
fn refuse_while_stopping(call: &Call) -> Result<(), Failure> {
    if call.time_to_begin() != Some(Duration::ZERO) {
        return Ok(());
    }
    let failure = call.refuse("stopping", Duration::ZERO);
    call.log_end(failure.reason(), failure.status().as_u16(), "-");
    Err(failure)
}

fn find_route(configuration: &Configuration, head: &Parts) -> Option<Arc<Route>> {
    let named = head.headers.get(header::HOST);
    let host = match named.and_then(|host| host.to_str().ok()) {
        Some(host) => host,
        None => head.uri.host()?,
    };
    configuration.route(host, head.uri.path()).cloned()
}

fn log_unrouted(ticket: &Ticket, head: &Parts, version: u64) {
    let host = head.headers.get(header::HOST);
    let fields = format_args!(
        "request={} outcome=no_route status=404 host={host:?} path={} configuration={version}",
        ticket.id,
        head.uri.path(),
    );
    lines::write(Rank::Decision, "request_end", fields);
}

async fn read_body(body: &mut Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Failure> {
    let reading = Limited::new(body, limit).collect();
    match timeout_at(deadline, reading).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Failure::BodyTooLarge),
        Ok(Err(_)) => Err(Failure::BadBody),
        Err(_) => Err(Failure::Refused {
            reason: BODY_LATE,
            retry_after: Duration::ZERO,
        }),
    }
}

/// Takes out headers that concern one connection only.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    for name in MORE_CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// The head of an answer as the caller gets it.
pub fn answer_head(call: &Call, status: StatusCode, headers: &HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let mut headers = headers.clone();
    strip_connection_headers(&mut headers);
    if call.head.method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    *response.headers_mut() = headers;
    response
}
