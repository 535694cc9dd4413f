//! Requests with one whole answer.
//!
//! The answer is read whole before its head is passed on, so that one that
//! breaks off never looks complete, and a request that may run again can be
//! sent again in its place.

use std::time::Duration;

use bytes::Bytes;
use gorsebank_world::BackEndId;
use http::Response;
use http_body_util::{BodyExt, Full};
use tokio::time::Instant;

use crate::admission::admit;
use crate::attempt::{Answer, AttemptEnd, send};
use crate::failure::Failure;
use crate::request::{AnswerBody, Call, answer_head};

/// Sends of one request at most, those that did not run included.
const MAX_SENDS: u32 = 4;
/// Least time that a back end is given before another is asked.
const LEAST_HEAD_TIME: Duration = Duration::from_millis(100);
/// A back end is given this many times its mean latency.
const LATENCY_FACTOR: f64 = 4.0;
/// Pause that a caller is asked for when back ends turn requests away.
const BUSY_PAUSE: Duration = Duration::from_millis(200);

/// What to do after an attempt.
pub enum Next {
    /// Send it to another back end.
    Again,
    /// It is over.
    Over(Failure),
}

/// Attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Back ends that it was sent to.
    pub tried: Vec<BackEndId>,
    /// Sends that may have run.
    pub ran: u32,
    sends: u32,
    counted: bool,
}

impl Attempts {
    /// It is about to be sent to `back_end`.
    pub fn begin(&mut self, call: &Call, back_end: &BackEndId) {
        self.sends += 1;
        self.tried.push(back_end.clone());
        call.attempts
            .store(self.sends, std::sync::atomic::Ordering::Relaxed);
    }

    /// Nothing was sent: another attempt costs nothing of the budget.
    pub fn not_sent(&mut self, call: &Call) -> Next {
        if self.sends < MAX_SENDS {
            return Next::Again;
        }
        Next::Over(call.refuse("not_connected", BUSY_PAUSE))
    }

    /// The back end says that it did not run.
    pub fn not_run(&mut self, call: &Call) -> Next {
        self.counted = true;
        if self.sends < MAX_SENDS && call.shared.withdraw_retry(&call.service) {
            return Next::Again;
        }
        Next::Over(call.refuse("turned_away", BUSY_PAUSE))
    }

    /// It may have run, and no answer can be passed on.
    pub fn may_have_run(&mut self, call: &Call, reason: &'static str) -> Next {
        self.ran += 1;
        if self.may_repeat(call) && call.shared.withdraw_retry(&call.service) {
            return Next::Again;
        }
        Next::Over(Failure::Unknown { reason })
    }

    /// Whether it may run at one more back end.
    pub fn may_repeat(&self, call: &Call) -> bool {
        call.route.kind.may_repeat() && self.ran < call.route.max_attempts && self.sends < MAX_SENDS
    }
}

/// Serves a request with one whole answer.
pub async fn serve(call: &Call) -> Result<Response<AnswerBody>, Failure> {
    let mut attempts = Attempts::default();
    loop {
        let back_end = admit(call, &attempts.tried).await?;
        attempts.begin(call, &back_end.id);
        let mean = back_end.health().latency();
        let until = head_deadline(call, &attempts, mean);
        let next = match send(call, &back_end, None, until).await {
            AttemptEnd::NotSent(_) => attempts.not_sent(call),
            AttemptEnd::MayHaveRun(reason) => attempts.may_have_run(call, reason),
            AttemptEnd::Answered(answer) => match settle(call, &mut attempts, *answer, until).await
            {
                Ok(response) => return Ok(response),
                Err(next) => next,
            },
        };
        if let Next::Over(failure) = next {
            return Err(failure);
        }
    }
}

/// A request that may run again does not wait for one back end for ever.
fn head_deadline(call: &Call, attempts: &Attempts, mean_latency: Option<f64>) -> Instant {
    let may_move_on = call.route.kind.may_repeat() && attempts.ran + 1 < call.route.max_attempts;
    if !may_move_on {
        return call.deadline;
    }
    let usual = Duration::from_millis((mean_latency.unwrap_or(0.0) * LATENCY_FACTOR) as u64);
    let patience = usual.max(call.route.objective).max(LEAST_HEAD_TIME);
    (Instant::now() + patience).min(call.deadline)
}

/// Turns an answer into the caller's, or says what to do next.
pub async fn settle(
    call: &Call,
    attempts: &mut Attempts,
    mut answer: Answer,
    until: Instant,
) -> Result<Response<AnswerBody>, Next> {
    let body_until = call.deadline.min(until + call.route.objective);
    let back_end = answer.back_end.clone();
    let Some(body) = answer.read_whole(body_until).await else {
        call.expose();
        back_end.note(|health| health.unreachable(call.shared.now()));
        return Err(attempts.may_have_run(call, "answer_cut"));
    };
    let latency = answer.age().as_millis() as u64;
    let now = call.shared.now();
    if answer.marks.not_run {
        note_absence(call, &answer);
        answer.keep_connection();
        return Err(attempts.not_run(call));
    }
    if answer.promises_falsely() {
        back_end.note(|health| health.failed(now));
        return Err(attempts.may_have_run(call, "untrue_promise"));
    }
    if answer.is_failure() {
        attempts.ran += 1;
        back_end.note(|health| health.failed(now));
        if attempts.may_repeat(call) && call.shared.withdraw_retry(&call.service) {
            answer.keep_connection();
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
    answer.keep_connection();
    let body = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    response.map(|()| body)
}
