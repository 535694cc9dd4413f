//! Requests with one whole answer.
//!
//! The answer is read whole before its head is passed on, so that one that
//! breaks off never looks complete, and a request that may run again can be
//! sent again in its place.

use std::time::Duration;

use crate::admission::admit;
use crate::attempt::{Answer, AttemptEnd, send};
use crate::attempts::{Attempts, BACK_END_ENDED, Next};
use crate::failure::Failure;
use crate::lost_connection;
use crate::request::{AnswerBody, Call, answer_head};
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Full};
use tokio::time::Instant;

/// Least time that a back end is given before another is asked.
const LEAST_HEAD_TIME: Duration = Duration::from_millis(100);
/// A back end is given this many times its mean latency.
const LATENCY_FACTOR: f64 = 4.0;

/// Serves a request with one whole answer.
pub async fn serve(call: &Call) -> Result<Response<AnswerBody>, Failure> {
    let mut attempts = Attempts::default();
    loop {
        let back_end = admit(call, &attempts.tried).await?;
        attempts.begin(call, &back_end.id);
        let patience = patience(call, back_end.health().latency(call.shared.now()));
        let next = match send(call, &back_end, None, patience, &mut attempts).await {
            AttemptEnd::NotSent(reason) => attempts.not_sent(call, reason),
            AttemptEnd::MayHaveRun(reason) => attempts.may_have_run(call, reason),
            AttemptEnd::Answered(answer) => match settle(call, &mut attempts, *answer).await {
                Ok(response) => return Ok(response),
                Err(next) => next,
            },
        };
        if let Next::Over(failure) = next {
            return Err(failure);
        }
    }
}

/// How long one back end may take while another could be asked.
fn patience(call: &Call, mean_latency: Option<f64>) -> Duration {
    let usual = Duration::from_millis((mean_latency.unwrap_or(0.0) * LATENCY_FACTOR) as u64);
    usual.max(call.route.objective).max(LEAST_HEAD_TIME)
}

/// Turns an answer into the caller's, or says what to do next.
pub async fn settle(
    call: &Call,
    attempts: &mut Attempts,
    mut answer: Answer,
) -> Result<Response<AnswerBody>, Next> {
    let back_end = answer.back_end.clone();
    let Some(body) = answer.read_whole(call.deadline()).await else {
        call.expose();
        let mut reason = "answer_cut";
        if Instant::now() < call.deadline()
            && lost_connection::note(call, &back_end).await == BACK_END_ENDED
        {
            reason = BACK_END_ENDED;
        }
        back_end.note(|health| health.unreachable(call.shared.now()));
        return Err(attempts.may_have_run(call, reason));
    };
    let latency = answer.age().as_millis() as u64;
    let now = call.shared.now();
    if answer.marks.not_run {
        note_absence(call, &answer);
        let pause = answer.marks.pause;
        answer.keep_connection(&call.shared);
        return Err(attempts.not_run(call, pause));
    }
    call.shared.note_whole_answer(call.fingerprint);
    if answer.promises_falsely() {
        back_end.note(|health| health.failed(now));
        return Err(attempts.may_have_run(call, "untrue_promise"));
    }
    if answer.is_failure() {
        back_end.note(|health| health.failed(now));
        if attempts.failed(call) {
            answer.keep_connection(&call.shared);
            return Err(Next::Again);
        }
    } else {
        back_end.note(|health| health.answered(now, latency));
    }
    Ok(pass_on(call, answer, body))
}

fn note_absence(call: &Call, answer: &Answer) {
    let misdirected = answer.head.status == http::StatusCode::MISDIRECTED_REQUEST;
    let Some(model) = call.ticket.model.as_ref().filter(|_| misdirected) else {
        return;
    };
    let adapter = call.ticket.adapter.as_ref();
    answer
        .back_end
        .note_absent(call.shared.now(), model, adapter);
}

fn pass_on(call: &Call, answer: Answer, body: Bytes) -> Response<AnswerBody> {
    let status = answer.head.status;
    let response = answer_head(call, status, &answer.head.headers);
    let outcome = if status.is_success() {
        "served"
    } else {
        "back_end_failed"
    };
    call.log_end(outcome, status.as_u16(), answer.back_end.id.as_str());
    answer.keep_connection(&call.shared);
    let body = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    response.map(|()| body)
}
