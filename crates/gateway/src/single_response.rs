//! Serves requests whose response is not a stream.
//!
//! The response is read completely before its head is forwarded. A response that is cut off is
//! therefore never forwarded as complete, and a request that may be repeated can be sent again
//! instead.

use std::time::Duration;

use crate::admission::admit;
use crate::attempt::{AttemptResult, BackEndResponse, send};
use crate::attempts::{Attempts, BACK_END_ENDED, NextStep};
use crate::collected_body::CollectedBody;
use crate::event_log::{self, LogPriority};
use crate::failure::Failure;
use crate::lost_connection;
use crate::request::{Call, ResponseBody, response_head};
use crate::response_memory::CollectError;
use gorsebank_fleet::RequestedPause;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::Instant;

/// Minimum time that a back end is given before another one is tried.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// A back end is given this multiple of its mean latency.
const LATENCY_FACTOR: f64 = 4.0;

/// Serves a request with a single response.
pub async fn serve(call: &Call) -> Result<Response<ResponseBody>, Failure> {
    let mut attempts = Attempts::default();
    loop {
        let back_end = admit(call, &attempts.tried).await?;
        call.refuse_while_stopping()?;
        attempts.record_send(call, &back_end.id);
        let head_timeout = head_timeout(call, back_end.health().latency(call.shared.now()));
        let next = match send(call, &back_end, None, head_timeout, &mut attempts).await {
            AttemptResult::NotSent(reason) => attempts.after_not_sent(call, reason),
            AttemptResult::MayHaveRun(reason) => attempts.after_may_have_run(call, reason),
            AttemptResult::Responded(response) => {
                match evaluate_response(call, &mut attempts, *response).await {
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

/// Maximum time until a back end's response head while another back end could be tried.
fn head_timeout(call: &Call, mean_latency: Option<f64>) -> Duration {
    let latency_limit =
        Duration::from_millis((mean_latency.unwrap_or(0.0) * LATENCY_FACTOR) as u64);
    latency_limit
        .max(call.route.objective)
        .max(MIN_RESPONSE_TIMEOUT)
}

/// Turns a back end's response into the response to the caller, or returns what to do next.
pub async fn evaluate_response(
    call: &Call,
    attempts: &mut Attempts,
    mut response: BackEndResponse,
) -> Result<Response<ResponseBody>, NextStep> {
    let back_end = response.back_end.clone();
    if response.metadata.has_not_run {
        return Err(evaluate_rejection(call, attempts, response).await);
    }
    let body = match response.read_body(&call.shared, call.deadline()).await {
        Ok(body) => body,
        Err(CollectError::Truncated) => {
            return Err(evaluate_truncated(call, attempts, response).await);
        }
        Err(CollectError::TooLong) => {
            return Err(evaluate_too_long(call, attempts, &response));
        }
    };
    let latency = response.age().as_millis() as u64;
    let now = call.shared.now();
    call.shared.record_complete_response(call.fingerprint);
    call.shared.record_parts_begun(&call.shared_parts);
    if response.has_unconfirmed_not_run_status() {
        back_end.update_health(|health| health.record_failure(now));
        return Err(attempts.after_may_have_run(call, "untrue_promise"));
    }
    if response.is_failure() {
        back_end.update_health(|health| health.record_failure(now));
        if attempts.take_retry_after_failure(call) {
            response.return_connection(&call.shared);
            return Err(NextStep::Retry);
        }
    } else {
        back_end.update_health(|health| health.record_response(now, latency));
    }
    Ok(forward_response(call, response, body))
}

/// Evaluates a response that states that the request did not run. Its body is not needed, but an
/// incomplete response states nothing.
async fn evaluate_rejection(
    call: &Call,
    attempts: &mut Attempts,
    mut response: BackEndResponse,
) -> NextStep {
    if !response.discard_body(call.deadline()).await {
        return evaluate_truncated(call, attempts, response).await;
    }
    let back_end = response.back_end.clone();
    record_absence(call, &response);
    let pause = response.metadata.pause;
    let is_full = response.head.status == StatusCode::SERVICE_UNAVAILABLE;
    response.return_connection(&call.shared);
    if is_full && pause == RequestedPause::None {
        attempts.record_full(call, &back_end);
    }
    attempts.after_not_run(call, pause)
}

async fn evaluate_truncated(
    call: &Call,
    attempts: &mut Attempts,
    response: BackEndResponse,
) -> NextStep {
    call.mark_may_have_run();
    let back_end = &response.back_end;
    let mut reason = "answer_cut";
    if Instant::now() < call.deadline()
        && lost_connection::check_back_end(call, back_end, false).await == BACK_END_ENDED
    {
        reason = BACK_END_ENDED;
    }
    call.shared.record_unreachable(back_end);
    response.record_stated_end(&call.shared);
    attempts.after_may_have_run(call, reason)
}

/// Evaluates a response that does not end, or at least not within the memory for it.
fn evaluate_too_long(call: &Call, attempts: &mut Attempts, response: &BackEndResponse) -> NextStep {
    let back_end = &response.back_end;
    let fields = format_args!(
        "request={} back_end={} status={} max_bytes={}",
        call.metadata.id,
        back_end.id,
        response.head.status.as_u16(),
        call.shared.response_memory.max_body_bytes(),
    );
    event_log::write(LogPriority::Decision, "response_too_long", fields);
    let now = call.shared.now();
    back_end.update_health(|health| health.record_failure(now));
    attempts.after_may_have_run(call, "response_too_long")
}

fn record_absence(call: &Call, response: &BackEndResponse) {
    let is_misdirected = response.head.status == http::StatusCode::MISDIRECTED_REQUEST;
    let Some(model) = call.metadata.model.as_ref().filter(|_| is_misdirected) else {
        return;
    };
    let adapter = call.metadata.adapter.as_ref();
    response
        .back_end
        .record_absent(call.shared.now(), model, adapter);
}

fn forward_response(
    call: &Call,
    response: BackEndResponse,
    body: CollectedBody,
) -> Response<ResponseBody> {
    let status = response.head.status;
    let head = response_head(call, status, &response.head.headers);
    let outcome = if status.is_success() {
        "served"
    } else {
        "back_end_failed"
    };
    call.log_end(outcome, status.as_u16(), response.back_end.id.as_str());
    response.return_connection(&call.shared);
    let body = body.map_err(|never| match never {}).boxed_unsync();
    head.map(|()| body)
}
