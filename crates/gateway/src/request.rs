//! Handles one request of a caller, from its head to the end of its response.
//!
//! The input is a request as read from the caller's connection. The output is a response, and one
//! log line that states the outcome. When the caller disconnects, the future is dropped, which
//! cancels every attempt.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use gorsebank_fleet::{Configuration, Fingerprint, FingerprintHasher, Prompt, Route, Tenant};
use gorsebank_world::{ServiceId, SoftwareVersion};
use http::header::{self, HeaderName};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Version};
use http_body::Body as _;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout_at};

use crate::collected_body::{CollectedBody, SMALL_BODY_BYTES};
use crate::event_log::{self, LogPriority};
use crate::failure::Failure;
use crate::ports::RequestMetadata;
use crate::request_memory::BodyError;
use crate::shared::Shared;
use crate::tenancy::{self, Caller};
use crate::tenant_quotas::Grant;
use crate::unread_body::discard;
use crate::{single_response, stream};

/// The response body ended early. The gateway closes the caller's connection as well.
#[derive(Clone, Copy, Debug, Error)]
#[error("the response body ended early")]
pub struct TruncatedBody;

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, TruncatedBody>;

/// Hop-by-hop headers, which apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
/// Hop-by-hop headers for which the `http` crate has no constants.
const OTHER_HOP_BY_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];
/// Refusal reason: the body was not fully received before the deadline.
const BODY_LATE: &str = "body_late";
/// Refusal reason: the process is stopping.
const STOPPING: &str = "stopping";
/// Interval at which an incomplete body is checked against the time left in a planned stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Refusal reason: the body did not progress while memory was short.
const BODY_STALLED: &str = "body_stalled";
/// Refusal reason: there was no memory for the body.
const NO_BODY_MEMORY: &str = "no_body_memory";
/// Time after which a request that got no memory for its body may be repeated.
const BODY_MEMORY_PAUSE: Duration = Duration::from_secs(1);
/// Maximum number of shared parts of a prompt that are identified.
const MAX_IDENTIFIED_PARTS: usize = 32;
/// Separates fingerprints of parts from those of requests.
const PART_LABEL: &[u8] = b"prompt part";
/// Fraction of the grace period of a planned stop after which no request is sent to a back end.
const SEND_FRACTION: f64 = 0.35;
/// Upper bound for the time after which a stopping process sends no request, however long its grace
/// period is. Callers use other gateways by then, and a response may take longer than the rest of the
/// grace period.
const MAX_SEND_TIME: Duration = Duration::from_millis(2_800);
/// Fraction of the grace period within which a response must be expected to end.
const RESPONSE_FRACTION: f64 = 0.9;

/// A request that was read completely, with the state needed to forward it.
pub struct Call {
    /// Shared state of the process.
    pub shared: Arc<Shared>,
    /// The configuration that was current when the request arrived.
    pub configuration: Arc<Configuration>,
    /// The route that matched the request.
    pub route: Arc<Route>,
    /// The service that handles the request, chosen among the services of the route.
    pub service: ServiceId,
    /// The tenant that sent the request, if callers authenticate with keys.
    pub tenant: Option<Arc<Tenant>>,
    /// What the request's headers say.
    pub metadata: RequestMetadata,
    /// Method, path and headers as they are forwarded.
    pub head: Parts,
    /// The complete request body.
    pub body: CollectedBody,
    /// Identifies the content of the request; equal for every retry by the caller.
    pub fingerprint: Fingerprint,
    /// Identify the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<Fingerprint>,
    /// When the request's head was read.
    arrived: Instant,
    /// The longest time for which the gateway may work on the request.
    time_limit: Duration,
    /// For how long the machine had been suspended in total when the request arrived.
    suspended_at_arrival: Duration,
    /// Whether the caller's deadline is shorter than the usual initial deadline on this route. Such
    /// a request is most likely a retry after a refusal.
    pub is_returning: bool,
    /// How many times the request was sent to a back end so far.
    pub attempts: AtomicU32,
    /// The quota charge for the request; `None` if its tenant has no quota.
    quota_charge: Option<Grant>,
    /// The software version that the rest of the stream must have; unset while any will do.
    required_version: OnceLock<RequiredVersion>,
    may_have_run: AtomicBool,
    in_doubt: AtomicBool,
    is_end_logged: AtomicBool,
}

/// The software version of the back ends that may continue a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequiredVersion {
    /// The version that wrote the first event.
    Exactly(SoftwareVersion),
    /// It is not known which version wrote the first event, so no back end may continue the stream.
    Unknown,
}

impl Drop for Call {
    /// Logs a call that was dropped before its end was logged, because its caller disconnected. A
    /// request that did not run is not charged to its tenant.
    fn drop(&mut self) {
        if !self.is_end_logged.load(Ordering::Relaxed) {
            self.log_end("caller_left", 0, "-");
        }
        if !self.may_have_run()
            && let Some(charge) = self.quota_charge.take()
        {
            self.shared.tenant_quotas.refund(charge);
        }
    }
}

impl Call {
    /// Records that a back end may have run the request.
    pub fn mark_may_have_run(&self) {
        self.may_have_run.store(true, Ordering::Relaxed);
    }

    /// Fixes the software version of the stream, unless it is fixed already.
    pub fn require_version(&self, version: RequiredVersion) {
        self.required_version.get_or_init(|| version);
    }

    /// The software version that the rest of the stream must have; `None` while any will do.
    pub fn required_version(&self) -> Option<&RequiredVersion> {
        self.required_version.get()
    }

    /// How much longer the request is quarantined, because back ends crash while they run it or other
    /// requests with a part of its prompt.
    pub fn quarantine_left(&self) -> Option<Duration> {
        let parts = self.shared_parts.iter().copied();
        let fingerprints = std::iter::once(self.fingerprint).chain(parts);
        let now = self.shared.now();
        self.shared.quarantine.remaining(now, fingerprints)
    }

    /// Fingerprints of the shared parts of the prompt, for log lines.
    pub fn part_names(&self) -> Vec<String> {
        self.shared_parts
            .iter()
            .map(Fingerprint::to_string)
            .collect()
    }

    /// Returns once the request is quarantined.
    pub async fn wait_for_quarantine(&self) {
        let mut updates = self.shared.quarantine.subscribe();
        while self.quarantine_left().is_none() {
            // Waiting cannot fail, since the quarantine keeps the sender.
            let _ = updates.changed().await;
        }
    }

    /// Marks the request as in doubt: it is being written to a back end, and no response has
    /// arrived. If the call ends in this state, it is unknown whether the request ran.
    pub fn mark_in_doubt(&self) {
        self.in_doubt.store(true, Ordering::Relaxed);
    }

    /// Clears the in-doubt mark once the outcome of the write is known.
    pub fn clear_in_doubt(&self) {
        self.in_doubt.store(false, Ordering::Relaxed);
    }

    /// Whether a back end may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed) || self.in_doubt.load(Ordering::Relaxed)
    }

    /// How much time is left to send the request to a back end, so that its response ends before
    /// the process is killed. `None` if the process is not stopping.
    pub fn time_left_to_send(&self) -> Option<Duration> {
        let stopping_for_ms = self.shared.stopping_for_ms()?;
        let grace = self.shared.settings.bounds.shutdown_grace;
        let send_limit = max_send_time(&self.shared);
        let response_limit = grace.mul_f64(RESPONSE_FRACTION);
        let limit = send_limit.min(response_limit.saturating_sub(self.expected_response_time()));
        Some(limit.saturating_sub(Duration::from_millis(stopping_for_ms)))
    }

    /// How long a single response may take by what is known: its objective, or longer if the service's
    /// back ends have been slower. The length of a stream is not known.
    fn expected_response_time(&self) -> Duration {
        if self.route.kind.is_stream() {
            return Duration::ZERO;
        }
        let now = self.shared.now();
        let back_ends = self
            .shared
            .directory(|directory| directory.active_back_ends(now, &self.service, None));
        let latencies = back_ends
            .iter()
            .filter_map(|back_end| back_end.health().latency(now));
        let slowest = latencies.fold(0.0, f64::max);
        self.route
            .objective
            .max(Duration::from_millis(slowest as u64))
    }

    /// Refuses a request that a stopping process could not finish; the caller can use another gateway.
    ///
    /// # Errors
    ///
    /// Fails if the process is stopping and no time is left to send the request.
    pub fn refuse_while_stopping(&self) -> Result<(), Failure> {
        if self.time_left_to_send() == Some(Duration::ZERO) {
            return Err(self.refuse(STOPPING, Duration::ZERO));
        }
        Ok(())
    }

    /// Priority of the tenant, or else of the route; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let tenant_priority = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        tenant_priority.unwrap_or(self.route.priority)
    }

    /// The longest time for which the gateway may work on the request.
    pub fn time_limit(&self) -> Duration {
        self.time_limit
    }

    /// When the request's head was read. `Instant` does not advance while the machine is suspended,
    /// so time suspended since the arrival is subtracted.
    pub fn arrived(&self) -> Instant {
        let suspended = self.shared.clock.total_suspension();
        let suspended_since_arrival = suspended.saturating_sub(self.suspended_at_arrival);
        self.arrived
            .checked_sub(suspended_since_arrival)
            .unwrap_or(self.arrived)
    }

    /// When the request must have its response.
    pub fn deadline(&self) -> Instant {
        self.arrived() + self.time_limit
    }

    /// Time since the request's head was read.
    pub fn age(&self) -> Duration {
        self.arrived().elapsed()
    }

    /// Returns once the deadline has passed, including during a suspension of the machine.
    pub async fn wait_for_deadline(&self) {
        let mut resumes = self.shared.resumes();
        while Instant::now() < self.deadline() {
            // Both a resume notification and a closed channel only cause the time to be checked
            // again.
            let _ = timeout_at(self.deadline(), resumes.changed()).await;
        }
    }

    /// A refusal, or an unknown outcome if the request may have run.
    pub fn refuse(&self, reason: &'static str, retry_after: Duration) -> Failure {
        if self.may_have_run() {
            return Failure::OutcomeUnknown { reason };
        }
        Failure::Refused {
            reason,
            retry_after,
        }
    }

    /// Writes the log line on the end of the request and updates the metrics.
    pub fn log_end(&self, outcome: &str, status: u16, back_end: &str) {
        self.is_end_logged.store(true, Ordering::Relaxed);
        let priority = if outcome == "served" {
            LogPriority::Served
        } else {
            LogPriority::Decision
        };
        let total = self.age();
        self.shared.metrics.record_request_end(outcome, total);
        if let Some(tenant) = &self.tenant {
            let metrics = &self.shared.metrics;
            metrics.record_tenant_request_end(tenant.id.as_str(), outcome);
        }
        let model = self
            .metadata
            .model
            .as_ref()
            .map_or("-", |model| model.as_str());
        let adapter = self.metadata.adapter.as_ref();
        event_log::write(
            priority,
            "request_end",
            format_args!(
                "request={} outcome={outcome} status={status} route={} service={} back_end={back_end} \
                 model={model} adapter={} tenant={} attempts={} exposed={} total_ms={} left_ms={} objective_ms={} returning={} configuration={} \
                 configuration_age_ms={} timeout_ms={} weight={} fingerprint={}",
                self.metadata.id,
                self.route.name,
                self.service,
                adapter.map_or("-", |adapter| adapter.as_str()),
                self.tenant
                    .as_ref()
                    .map_or("-", |tenant| tenant.id.as_str()),
                self.attempts.load(Ordering::Relaxed),
                self.may_have_run(),
                total.as_millis(),
                self.deadline()
                    .saturating_duration_since(Instant::now())
                    .as_millis(),
                self.route.objective.as_millis(),
                self.is_returning,
                self.configuration.version,
                self.shared.configuration_age_ms(),
                self.route.timeout.as_millis(),
                self.route.weight_of(&self.service),
                self.fingerprint,
            ),
        );
    }
}

/// Handles one request of a caller and returns its response.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrived = Instant::now();
    shared.metrics.open_requests.inc();
    let open_request = OpenRequest(shared.clone());
    let (head, mut body) = request.into_parts();
    let expects_continue = head.headers.contains_key(header::EXPECT);
    let (mut response, body_consumed) = match read_request(&shared, head, &mut body, arrived).await
    {
        Ok(call) => (serve(call).await, true),
        Err(failure) => {
            shared
                .metrics
                .record_request_end(failure.reason(), arrived.elapsed());
            let response = failure.to_response(shared.platform.as_ref());
            // Reading the body makes hyper send 100 Continue, which asks the caller to send it.
            // This has already happened when the body is found to be too large.
            let may_discard = !expects_continue || failure == Failure::BodyTooLarge;
            let is_stalled = [BODY_LATE, BODY_STALLED].contains(&failure.reason());
            let may_discard = may_discard && !is_stalled;
            let body_consumed = body.is_end_stream() || may_discard && discard(body).await;
            (response, body_consumed)
        }
    };
    if shared.is_stopping() || !body_consumed {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    drop(open_request);
    response
}

struct OpenRequest(Arc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.metrics.open_requests.dec();
    }
}

async fn serve(call: Call) -> Response<ResponseBody> {
    let call = Arc::new(call);
    let serving = async {
        if call.route.kind.is_stream() {
            stream::serve(call.clone()).await
        } else {
            single_response::serve(&call).await
        }
    };
    let result = tokio::select! {
        biased;
        served = serving => Some(served),
        () = call.wait_for_deadline() => None,
    };
    let failure = match result {
        Some(Ok(response)) => return response,
        Some(Err(failure)) => failure,
        None if call.may_have_run() => Failure::TimedOut,
        None => call.refuse("deadline", Duration::from_millis(500)),
    };
    call.log_end(failure.reason(), failure.status().as_u16(), "-");
    failure.to_response(call.shared.platform.as_ref())
}

/// Logs the end of a request that was rejected before any attempt.
fn log_rejected(metadata: &RequestMetadata, route: &str, failure: Failure) -> Failure {
    let fields = format_args!(
        "request={} outcome={} status={} route={route} attempts=0 exposed=false",
        metadata.id,
        failure.reason(),
        failure.status().as_u16(),
    );
    event_log::write(LogPriority::Decision, "request_end", fields);
    failure
}

async fn read_request(
    shared: &Arc<Shared>,
    mut head: Parts,
    body: &mut Incoming,
    arrived: Instant,
) -> Result<Call, Failure> {
    let metadata = shared.platform.request_metadata(&head.headers);
    let Some((configuration, age)) = shared.configuration_for_caller() else {
        return Err(log_rejected(&metadata, "-", Failure::NoConfiguration));
    };
    let Some(route) = find_route(&configuration, &head) else {
        log_unrouted(shared, &metadata, &head, configuration.version);
        return Err(Failure::NoRoute);
    };
    let caller = Caller {
        metadata: &metadata,
        route: &route,
        arrived,
    };
    let tenant = tenancy::identify_tenant(shared, &caller, &configuration, age, &mut head.headers)
        .map_err(|rejection| log_rejected(&metadata, &route.name, rejection.into()))?;
    let time_limit = metadata
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = arrived + time_limit;
    let suspended_at_arrival = shared.clock.total_suspension();
    let is_returning = shared.is_retrying(&route.name, metadata.deadline);
    let limit = configuration.limits.max_body_bytes;
    let body = read_body(shared, body, limit, deadline)
        .await
        .map_err(|failure| log_rejected(&metadata, &route.name, failure))?;
    let quota_charge = tenancy::charge(shared, &caller, tenant.as_deref())
        .await
        .map_err(|rejection| log_rejected(&metadata, &route.name, rejection.into()))?;
    let service = shared
        .choose_service(&route.services)
        .ok_or(Failure::NoRoute)?;
    shared.count_request(&service);
    strip_hop_by_hop_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = Version::HTTP_11;
    let fingerprint = fingerprint(&head, &metadata, &body).await;
    let shared_parts = fingerprints_of_parts(&service, &metadata.prompt);
    let call = Call {
        shared: shared.clone(),
        configuration,
        route,
        service,
        tenant,
        metadata,
        head,
        body,
        fingerprint,
        shared_parts,
        arrived,
        time_limit,
        suspended_at_arrival,
        is_returning,
        attempts: AtomicU32::new(0),
        quota_charge,
        required_version: OnceLock::new(),
        may_have_run: AtomicBool::new(false),
        in_doubt: AtomicBool::new(false),
        is_end_logged: AtomicBool::new(false),
    };
    call.refuse_while_stopping().inspect_err(|failure| {
        call.log_end(failure.reason(), failure.status().as_u16(), "-");
    })?;
    Ok(call)
}

/// Fingerprint of method, host, target, model and body: everything that a retry by the caller has
/// in common with this request. Headers are left out, because deadline, id and last event differ
/// between retries.
async fn fingerprint(
    head: &Parts,
    metadata: &RequestMetadata,
    body: &CollectedBody,
) -> Fingerprint {
    let host = head.headers.get(header::HOST);
    let target = head.uri.path_and_query();
    let model = metadata.model.as_ref().map_or("", |model| model.as_str());
    let adapter = metadata.adapter.as_ref();
    let parts = [
        head.method.as_str().as_bytes(),
        host.map_or(&[], |host| host.as_bytes()),
        target.map_or(&[], |target| target.as_str().as_bytes()),
        model.as_bytes(),
        adapter.map_or(&[], |adapter| adapter.as_str().as_bytes()),
    ];
    let mut hasher = FingerprintHasher::default();
    for part in parts {
        hasher.begin_part(part.len());
        hasher.append(part);
    }
    hasher.begin_part(body.len());
    for piece in body.pieces() {
        hasher.append(piece);
        // A long body must not keep other requests from running.
        if body.len() > SMALL_BODY_BYTES {
            yield_now().await;
        }
    }
    hasher.finish()
}

/// Fingerprints of the shared parts of a prompt at a service. The number of parts is up to the caller, so
/// only the first ones are identified.
fn fingerprints_of_parts(service: &ServiceId, prompt: &Prompt) -> Vec<Fingerprint> {
    let parts = prompt.shared.iter().take(MAX_IDENTIFIED_PARTS);
    let service = service.as_str().as_bytes();
    parts
        .map(|part| Fingerprint::of(&[PART_LABEL, service, part.id.as_bytes()]))
        .collect()
}

fn find_route(configuration: &Configuration, head: &Parts) -> Option<Arc<Route>> {
    let host_header = head.headers.get(header::HOST);
    let host = match host_header.and_then(|host| host.to_str().ok()) {
        Some(host) => host,
        None => head.uri.host()?,
    };
    configuration.route(host, head.uri.path()).cloned()
}

fn log_unrouted(shared: &Shared, metadata: &RequestMetadata, head: &Parts, version: u64) {
    let host = head.headers.get(header::HOST);
    let fields = format_args!(
        "request={} outcome=no_route status=404 host={host:?} path={} configuration={version} \
         configuration_age_ms={}",
        metadata.id,
        head.uri.path(),
        shared.configuration_age_ms(),
    );
    event_log::write(LogPriority::Decision, "request_end", fields);
}

async fn read_body(
    shared: &Shared,
    body: &mut Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<CollectedBody, Failure> {
    let collecting = shared.request_memory.collect(body, limit);
    let not_received = |reason| Failure::Refused {
        reason,
        retry_after: Duration::ZERO,
    };
    let collected = tokio::select! {
        biased;
        collected = timeout_at(deadline, collecting) => {
            collected.map_err(|_| not_received(BODY_LATE))?
        }
        () = wait_for_end_of_sending(shared) => return Err(not_received(STOPPING)),
    };
    collected.map_err(|error| match error {
        BodyError::Broken => Failure::BadBody,
        BodyError::TooLong => Failure::BodyTooLarge,
        BodyError::Stalled => refuse_body(shared, BODY_STALLED),
        BodyError::NoMemory => refuse_body(shared, NO_BODY_MEMORY),
    })
}

/// Time from the beginning of a planned stop after which no request is sent to a back end.
fn max_send_time(shared: &Shared) -> Duration {
    let grace = shared.settings.bounds.shutdown_grace;
    grace.mul_f64(SEND_FRACTION).min(MAX_SEND_TIME)
}

/// Returns once the process is stopping and sends no more requests to back ends.
async fn wait_for_end_of_sending(shared: &Shared) {
    let may_send = || {
        let stopping_for = shared.stopping_for_ms().map(Duration::from_millis);
        stopping_for.is_none_or(|stopping_for| stopping_for < max_send_time(shared))
    };
    while may_send() {
        sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Counts and refuses a request for whose body memory is short.
fn refuse_body(shared: &Shared, reason: &'static str) -> Failure {
    let refused_bodies = &shared.metrics.refused_bodies;
    refused_bodies.with_label_values(&[reason]).inc();
    Failure::Refused {
        reason,
        retry_after: BODY_MEMORY_PAUSE,
    }
}

/// Removes hop-by-hop headers, including those that the `Connection` header lists.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    for name in OTHER_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Builds the response head that the caller receives.
pub fn response_head(call: &Call, status: StatusCode, headers: &HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let mut headers = headers.clone();
    strip_hop_by_hop_headers(&mut headers);
    if call.head.method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    *response.headers_mut() = headers;
    response
}
