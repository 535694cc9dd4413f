//! Sends orders and polls to engines for the placement holder.
//!
//! The input is an order or a poll of an engine. The output is the result of the order, or the
//! engine's report. Each message uses an idle connection to the engine, or a new one;
//! only polls may pass through another gateway.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gorsebank_fleet::EngineReport;
use gorsebank_fleet::placement::OrderResult;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::adaptive_timeout::AdaptiveTimeout;
use crate::attempt::keep_alive_timeout;
use crate::back_end::{BackEnd, Connection, ConnectionPath};
use crate::collected_body::CollectedBody;
use crate::event_log::{self, LogPriority};
use crate::links;
use crate::ports::FencedOrder;
use crate::shared::Shared;
use crate::unread_body::discard;

/// Maximum time for a response of an engine.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum length of an engine's report in bytes, for hundreds of models and adapters.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Minimum time for which an order waits for its response. While engines respond quickly, an order
/// without a response after this time is taken to have none.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// The timeout of orders, which adapts to the response times of engines.
pub fn adaptive_timeout() -> AdaptiveTimeout {
    AdaptiveTimeout::new(MIN_RESPONSE_TIMEOUT, RESPONSE_TIMEOUT)
}

/// Polls an engine for its state. Returns `None` if the engine does not respond or its report
/// cannot be read.
pub async fn poll_engine(shared: &Arc<Shared>, engine: &Arc<BackEnd>) -> Option<EngineReport> {
    let id = shared.next_message_id();
    let request = shared.platform.report_request(&engine.id, &id);
    let sent_at = Instant::now();
    let suspended = shared.clock.total_suspension();
    let Ok(result) = timeout(RESPONSE_TIMEOUT, send(shared, engine, &id, request)).await else {
        engine.close_idle_since(sent_at);
        return None;
    };
    let (response, connection) = result?;
    record_if_draining(shared, engine, &response);
    let status = response.status();
    let keep_alive = keep_alive_timeout(response.headers());
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES).collect();
    let body = timeout(RESPONSE_TIMEOUT, body).await.ok()?.ok()?;
    engine.return_connection(
        connection,
        keep_alive,
        shared.max_idle_connections(&engine.service),
    );
    // A response that arrived while the machine was suspended does not describe the present state.
    if !status.is_success() || shared.clock.was_suspended_since(suspended) {
        return None;
    }
    match shared.platform.parse_report(&body.to_bytes()) {
        Ok(report) => Some(report),
        Err(error) => {
            let fields = format_args!("engine={} error=\"{error}\"", engine.id);
            event_log::write(LogPriority::Decision, "report_refused", fields);
            None
        }
    }
}

/// Sends an order. `still_valid` is called right before the order is written to the connection.
pub async fn send_order(
    shared: &Arc<Shared>,
    engine: &Arc<BackEnd>,
    order: &FencedOrder<'_>,
    still_valid: impl Fn() -> bool,
) -> OrderResult {
    let id = shared.next_message_id();
    let request = shared.platform.order_request(order, &id);
    let sending = send_if_valid(shared, engine, &id, request, OrderPath::Direct, still_valid);
    let sent_at = Instant::now();
    let (response, connection) = match timeout(shared.order_timeout.current(), sending).await {
        Ok(Ok(result)) => result,
        Ok(Err(NotWritten)) => return OrderResult::NotSent,
        Err(_) => {
            shared.order_timeout.record_timeout();
            engine.close_idle_since(sent_at);
            return OrderResult::Unanswered;
        }
    };
    let Some(response) = response else {
        return OrderResult::Unanswered;
    };
    shared.order_timeout.record_response(sent_at.elapsed());
    record_if_draining(shared, engine, &response);
    let result = shared.platform.order_result(response.status());
    let keep_alive = keep_alive_timeout(response.headers());
    let discarding = timeout(RESPONSE_TIMEOUT, discard(response.into_body()));
    if !discarding.await.unwrap_or(false) {
        // An incomplete response states nothing.
        return OrderResult::Unanswered;
    }
    engine.return_connection(
        connection,
        keep_alive,
        shared.max_idle_connections(&engine.service),
    );
    result
}

/// Records an engine whose response announces that it is draining. A response for a misdirected
/// request comes from another engine and is ignored.
fn record_if_draining(shared: &Shared, engine: &BackEnd, response: &Response<Incoming>) {
    let status = response.status();
    let metadata = shared
        .platform
        .response_metadata(status, response.headers());
    if metadata.is_draining && status != StatusCode::MISDIRECTED_REQUEST {
        shared.record_drain(engine);
    }
}

async fn send(
    shared: &Arc<Shared>,
    engine: &Arc<BackEnd>,
    id: &str,
    request: Request<Bytes>,
) -> Option<(Response<Incoming>, Connection)> {
    let (response, connection) =
        send_if_valid(shared, engine, id, request, OrderPath::Any, || true)
            .await
            .ok()?;
    Some((response?, connection))
}

/// The paths by which a message may reach an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderPath {
    /// Polls may pass through another gateway.
    Any,
    /// Orders of one fencing token must come from one machine.
    Direct,
}

async fn connect(
    shared: &Arc<Shared>,
    engine: &Arc<BackEnd>,
    path: OrderPath,
) -> Option<Connection> {
    match path {
        OrderPath::Any => links::connect(shared, engine).await.ok(),
        OrderPath::Direct => links::connect_directly(shared, engine).await.ok(),
    }
}

/// The request was not written: there is no connection, or the order is no longer valid.
struct NotWritten;

/// Sends a request if `still_valid` returns true. The connection is made before that call, so that
/// no wait lies between the check and the write. Returns no response if the connection was lost
/// after the write, or if the response belongs to another request; then the connection must not be
/// used again.
async fn send_if_valid(
    shared: &Arc<Shared>,
    engine: &Arc<BackEnd>,
    id: &str,
    request: Request<Bytes>,
    path: OrderPath,
    still_valid: impl Fn() -> bool,
) -> Result<(Option<Response<Incoming>>, Connection), NotWritten> {
    let now = shared.now();
    let is_usable = |connection: &Connection| {
        let is_permitted = path == OrderPath::Any || connection.path == ConnectionPath::Direct;
        is_permitted && shared.links.is_usable(now, engine, connection)
    };
    let suspended = shared.clock.total_suspension();
    let mut connection = match engine.take_idle_connection(suspended, is_usable) {
        Some(connection) => connection,
        None => connect(shared, engine, path).await.ok_or(NotWritten)?,
    };
    if !still_valid() {
        return Err(NotWritten);
    }
    let request = request.map(CollectedBody::from);
    let response = connection.http.send(request).await.ok();
    let response = response.filter(|response| belongs(shared, engine, id, response));
    Ok((response, connection))
}

/// Whether a response belongs to the request `id`. An engine may send a surplus response to an earlier
/// request in the place of the one that is due. A response without an identifier is accepted, since
/// an engine may not echo one at these endpoints.
fn belongs(shared: &Shared, engine: &BackEnd, id: &str, response: &Response<Incoming>) -> bool {
    let platform = &shared.platform;
    let metadata = platform.response_metadata(response.status(), response.headers());
    let received = metadata.request_id.as_deref();
    let belongs = received.is_none_or(|received| received == id);
    if !belongs {
        let fields = format_args!(
            "engine={} request={id} received={} status={}",
            engine.id,
            received.unwrap_or("-"),
            response.status().as_u16(),
        );
        event_log::write(LogPriority::Decision, "foreign_response", fields);
    }
    belongs
}
