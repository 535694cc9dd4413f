//! Sends the prompt of a request to an engine that can prefill it without a long pause in the
//! streams that run there, at the time that the engine's owner assigns.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_fleet::SendTime;
use tokio::time::sleep;

use super::waits::max_capacity_wait;
use crate::back_end::BackEnd;
use crate::candidates::choose_back_end;
use crate::event_log::{self, LogPriority};
use crate::prefill_pacing::PrefillRequest;
use crate::request::Call;

/// Returns the back end that takes the prompt, after waiting for its send time: `chosen`, or the
/// best of `eligible` besides it if the prompt would have to wait at `chosen`. Returns `chosen` at
/// once if prompts of the model are not paced.
pub(super) async fn wait_for_send_time(
    call: &Call,
    chosen: Arc<BackEnd>,
    eligible: &[Arc<BackEnd>],
) -> Arc<BackEnd> {
    let Some(model) = &call.metadata.model else {
        return chosen;
    };
    if !call.shared.paces_prefill(&call.service, model) {
        return chosen;
    }
    let Err(chosen_wait) = reserve(call, &chosen, eligible.len() > 1).await else {
        return chosen;
    };
    let mut soonest = chosen;
    if let Some(alternative) = second_choice(call, &soonest, eligible) {
        let Err(other_wait) = reserve(call, &alternative, true).await else {
            return alternative;
        };
        if other_wait < chosen_wait {
            soonest = alternative;
        }
    }
    // Without an alternative a send time is assigned in any case.
    let _ = reserve(call, &soonest, false).await;
    soonest
}

fn second_choice(
    call: &Call,
    chosen: &Arc<BackEnd>,
    eligible: &[Arc<BackEnd>],
) -> Option<Arc<BackEnd>> {
    let others = eligible.iter().filter(|other| other.id != chosen.id);
    let others: Vec<Arc<BackEnd>> = others.cloned().collect();
    let second = choose_back_end(call, call.shared.now(), &others)?;
    second.rate.is_none().then_some(second.back_end)
}

/// Waits for the send time of the prompt at an engine. Returns the time that it would have to wait
/// if it was not scheduled because it has an alternative.
async fn reserve(call: &Call, engine: &BackEnd, has_alternative: bool) -> Result<(), Duration> {
    let tokens = engine.uncached_tokens(&call.metadata);
    let Some(gap) = call.route.gap_objective.filter(|_| tokens > 0) else {
        return Ok(());
    };
    let request = PrefillRequest {
        engine: engine.incarnation_hash,
        gap_ms: gap.as_millis() as u64,
        tokens,
        max_wait_ms: max_capacity_wait(call).as_millis() as u64,
        has_alternative,
        pause_ms: 0,
    };
    match call.shared.reserve_prefill(request).await {
        None | Some(SendTime::In(0)) => Ok(()),
        Some(SendTime::In(wait)) => {
            let wait = Duration::from_millis(wait);
            log_wait(call, engine, &request, wait);
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
