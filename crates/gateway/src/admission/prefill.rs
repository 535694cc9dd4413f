//! Sends the prompt of a request to an engine that can prefill it without a long pause in the
//! streams that run there, at the time that the engine's owner assigns.

use std::slice;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_fleet::SendTime;
use gorsebank_world::BackEndId;
use tokio::time::sleep;

use super::eligible;
use super::full_engines::has_room;
use super::waits::begin_within;
use crate::back_end::BackEnd;
use crate::candidates::{ChosenBackEnd, choose_back_end};
use crate::event_log::{self, LogPriority};
use crate::failure::Failure;
use crate::prefill_pacing::PrefillRequest;
use crate::request::Call;

/// Returns the back end that takes the prompt, after waiting for its send time: the chosen one, or
/// the second choice if the prompt would have to wait at the first. Returns the chosen one at once
/// if the prompt is not paced.
///
/// # Errors
///
/// Returns a refusal if the process began to stop meanwhile and has no time left for the request.
pub(super) async fn wait_for_send_time(
    call: &Call,
    chosen: ChosenBackEnd,
    tried: &[BackEndId],
) -> Result<Arc<BackEnd>, Failure> {
    let first = chosen.back_end;
    // A send time under a stated limit must not be delayed any more.
    if chosen.rate.is_some() || !is_paced(call) {
        return Ok(first);
    }
    let Err(first_wait) = reserve(call, &first, true).await else {
        return unless_stopping(call, first);
    };
    let mut soonest = first;
    if let Some(second) = second_choice(call, &soonest, tried) {
        let Err(second_wait) = reserve(call, &second, true).await else {
            return unless_stopping(call, second);
        };
        if second_wait < first_wait {
            soonest = second;
        }
    }
    if let Err(wait) = reserve(call, &soonest, false).await {
        log_unscheduled(call, &soonest, wait);
    }
    unless_stopping(call, soonest)
}

/// Whether the prompt is paced. A stream that continues after an interruption is already late for
/// its next event.
fn is_paced(call: &Call) -> bool {
    let Some(model) = &call.metadata.model else {
        return false;
    };
    let is_new = !call.may_have_run() && call.metadata.last_event.is_none();
    let configuration = &call.configuration;
    is_new && configuration.loads_outlast_callers(&call.service, model)
}

fn unless_stopping(call: &Call, back_end: Arc<BackEnd>) -> Result<Arc<BackEnd>, Failure> {
    if call.time_left_to_send() == Some(Duration::ZERO) {
        return Err(call.refuse("stopping", Duration::ZERO));
    }
    Ok(back_end)
}

fn second_choice(call: &Call, first: &Arc<BackEnd>, tried: &[BackEndId]) -> Option<Arc<BackEnd>> {
    let now = call.shared.now();
    let mut others = eligible(call, now, tried).ok()?;
    others.retain(|other| other.id != first.id && has_room(call, now, slice::from_ref(other)));
    let second = choose_back_end(call, now, &others)?;
    second.rate.is_none().then_some(second.back_end)
}

/// Waits for the send time of the prompt at an engine. Returns the time that it would have to wait
/// if it was not scheduled because it has an alternative.
async fn reserve(
    call: &Call,
    engine: &Arc<BackEnd>,
    has_alternative: bool,
) -> Result<(), Duration> {
    let tokens = engine.uncached_tokens(&call.metadata);
    let Some(gap) = call.route.gap_objective.filter(|_| tokens > 0) else {
        return Ok(());
    };
    // A request that is late already is sent at once.
    let max_wait = begin_within(call).unwrap_or_default();
    let max_wait = call
        .time_left_to_send()
        .map_or(max_wait, |left| left.min(max_wait));
    let request = PrefillRequest {
        engine: engine.incarnation_hash,
        gap_ms: gap.as_millis() as u64,
        tokens,
        max_wait_ms: max_wait.as_millis() as u64,
        has_alternative,
        pause_ms: 0,
    };
    match call.shared.reserve_prefill(request).await {
        None | Some(SendTime::In(0)) => Ok(()),
        Some(SendTime::In(wait)) => {
            let wait = Duration::from_millis(wait);
            log_wait(call, engine, &request, wait);
            // The slot that the request is about to use is taken for other requests.
            let _in_flight = engine.count_in_flight();
            sleep(wait).await;
            Ok(())
        }
        Some(SendTime::Later(wait)) => Err(Duration::from_millis(wait)),
    }
}

fn log_wait(call: &Call, engine: &BackEnd, request: &PrefillRequest, wait: Duration) {
    let fields = format_args!(
        "request={} back_end={} tokens={} wait_ms={} max_wait_ms={} priority={}",
        call.metadata.id,
        engine.id,
        request.tokens,
        wait.as_millis(),
        request.max_wait_ms,
        call.priority(),
    );
    event_log::write(LogPriority::Decision, "prompt_paced", fields);
}

fn log_unscheduled(call: &Call, engine: &BackEnd, wait: Duration) {
    let fields = format_args!(
        "request={} back_end={} wait_ms={}",
        call.metadata.id,
        engine.id,
        wait.as_millis(),
    );
    event_log::write(LogPriority::Decision, "prompt_unscheduled", fields);
}
