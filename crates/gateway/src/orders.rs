//! Gives orders to engines and asks for their state, for the placement holder.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gorsebank_fleet::EngineReport;
use gorsebank_fleet::placement::OrderResult;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::attempt::stated_rest;
use crate::back_end::{BackEnd, Connection};
use crate::lines::{self, Rank};
use crate::patience::Patience;
use crate::ports::FencedOrder;
use crate::shared::Shared;

/// An engine answers within this time, or not at all.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// While engines answer orders quickly, one without an answer after this time is
/// believed to have none.
const LEAST_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// How long orders wait for their answers.
pub fn patience() -> Patience {
    Patience::new(LEAST_ANSWER_TIMEOUT, ANSWER_TIMEOUT)
}

/// Asks an engine for its state.
pub async fn ask(shared: &Shared, engine: &Arc<BackEnd>) -> Option<EngineReport> {
    let request = shared.platform.report_request(&engine.id);
    let asked = Instant::now();
    let suspended = shared.clock.suspended();
    let Ok(answered) = timeout(ANSWER_TIMEOUT, send(shared, engine, request)).await else {
        engine.drop_unproved(asked);
        return None;
    };
    let (response, connection) = answered?;
    note_if_leaving(shared, engine, &response);
    let status = response.status();
    let rest = stated_rest(response.headers());
    let body = timeout(ANSWER_TIMEOUT, response.into_body().collect())
        .await
        .ok()?
        .ok()?;
    engine.keep(connection, rest, shared.idle_connections(&engine.service));
    // What lay there while the machine was suspended says nothing of now.
    if !status.is_success() || shared.clock.was_suspended_since(suspended) {
        return None;
    }
    match shared.platform.report(&body.to_bytes()) {
        Ok(report) => Some(report),
        Err(error) => {
            let fields = format_args!("engine={} error=\"{error}\"", engine.id);
            lines::write(Rank::Decision, "report_refused", fields);
            None
        }
    }
}

/// Gives an order. `still_valid` is asked right before it is written.
pub async fn order(
    shared: &Shared,
    engine: &Arc<BackEnd>,
    order: &FencedOrder<'_>,
    still_valid: impl Fn() -> bool,
) -> OrderResult {
    let request = shared.platform.order_request(order);
    let sending = send_if(shared, engine, request, still_valid);
    let began = Instant::now();
    let (response, connection) = match timeout(shared.order_patience.wait(), sending).await {
        Ok(Ok(answered)) => answered,
        Ok(Err(Unsent)) => return OrderResult::NotSent,
        Err(_) => {
            shared.order_patience.expired();
            engine.drop_unproved(began);
            return OrderResult::Unanswered;
        }
    };
    let Some(response) = response else {
        return OrderResult::Unanswered;
    };
    shared.order_patience.answered(began.elapsed());
    note_if_leaving(shared, engine, &response);
    let result = shared.platform.order_result(response.status());
    let rest = stated_rest(response.headers());
    if let Ok(Ok(_)) = timeout(ANSWER_TIMEOUT, response.into_body().collect()).await {
        engine.keep(connection, rest, shared.idle_connections(&engine.service));
    }
    result
}

/// An engine may say with any answer that it leaves. Whoever is misdirected was answered by
/// another one.
fn note_if_leaving(shared: &Shared, engine: &BackEnd, response: &Response<Incoming>) {
    let status = response.status();
    let marks = shared.platform.answer_marks(status, response.headers());
    if marks.is_leaving && status != StatusCode::MISDIRECTED_REQUEST {
        shared.note_departure(engine);
    }
}

async fn send(
    shared: &Shared,
    engine: &Arc<BackEnd>,
    request: Request<Bytes>,
) -> Option<(Response<Incoming>, Connection)> {
    let (response, connection) = send_if(shared, engine, request, || true).await.ok()?;
    Some((response?, connection))
}

/// Nothing was written: there is no connection, or the order is no longer valid.
struct Unsent;

/// A connection is made first, so that nothing lies between the check and the write.
/// Out: no response if the connection was lost after that.
async fn send_if(
    shared: &Shared,
    engine: &Arc<BackEnd>,
    request: Request<Bytes>,
    still_valid: impl Fn() -> bool,
) -> Result<(Option<Response<Incoming>>, Connection), Unsent> {
    let mut connection = match engine.kept_connection(shared.clock.suspended()) {
        Some(connection) => connection,
        None => engine.connect().await.map_err(|_| Unsent)?,
    };
    if !still_valid() {
        return Err(Unsent);
    }
    let request = request.map(Full::new);
    let response = connection.http.sender.send_request(request).await.ok();
    Ok((response, connection))
}
