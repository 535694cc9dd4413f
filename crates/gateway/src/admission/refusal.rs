//! Refuses requests that no back end can take in time, and logs what requests wait for.
//!
//! The input is what is missing. The output is a failure that tells the caller when to retry, and
//! one log line.

use std::time::Duration;

use tokio::time::Instant;

use super::full_engines::record_refusal;
use super::waits::Missing;
use crate::event_log::{self, LogPriority};
use crate::failure::Failure;
use crate::request::Call;

/// Minimum `Retry-After` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Margin between the expected end of a load and the `Retry-After` of a request that needs it.
const LOAD_RETRY_MARGIN: Duration = Duration::from_millis(600);

/// Refuses a request that nothing can serve in time; `Retry-After` is when that is expected to
/// change.
pub(super) fn refuse(call: &Call, missing: &Missing) -> Failure {
    let (reason, retry_after) = match missing {
        Missing::BackEnd => ("no_back_end", MIN_RETRY_AFTER),
        Missing::SoftwareVersion => ("no_software_version", MIN_RETRY_AFTER),
        Missing::Capacity(wait) => ("back_end_limit", MIN_RETRY_AFTER.max(*wait)),
        Missing::FullEngines(full) => {
            let retry_after = MIN_RETRY_AFTER.max(full.return_after);
            record_refusal(call, retry_after);
            ("engines_full", retry_after)
        }
        Missing::Pause(left) => ("back_end_pause", MIN_RETRY_AFTER.max(*left)),
        Missing::Adapter => ("no_adapter", MIN_RETRY_AFTER),
        Missing::Model(load) if load.copy.is_none() => ("no_model", MIN_RETRY_AFTER),
        Missing::Model(load) => ("no_model", load.time_left + LOAD_RETRY_MARGIN),
    };
    log_refusal(call, missing, reason, retry_after);
    call.refuse(reason, retry_after)
}

/// Refuses a quarantined request at once; `Retry-After` is the remaining quarantine.
pub(super) fn refuse_quarantined(call: &Call, left: Duration) -> Failure {
    let fields = format_args!(
        "request={} reason=quarantined fingerprint={} parts={} waited_ms={} retry_after_ms={}",
        call.metadata.id,
        call.fingerprint,
        call.part_names().join(","),
        call.age().as_millis(),
        left.as_millis(),
    );
    event_log::write(LogPriority::Decision, "refused", fields);
    call.refuse("quarantined", left)
}

/// Logs that a request starts to wait.
pub(super) fn log_wait(call: &Call, missing: &Missing, until: Instant) {
    let wait_fields = wait_fields(missing);
    let missing_name = match missing {
        Missing::Model(_) => "model",
        Missing::Adapter => "adapter",
        Missing::BackEnd => "back_end",
        Missing::SoftwareVersion => "software_version",
        Missing::Capacity(_) => "room",
        Missing::FullEngines(_) => "full_engines",
        Missing::Pause(_) => "pause",
    };
    let fields = format_args!(
        "request={} missing={missing_name} {wait_fields} longest_ms={} objective_ms={} returning={} configuration={}",
        call.metadata.id,
        until.saturating_duration_since(Instant::now()).as_millis(),
        call.route.objective.as_millis(),
        call.is_returning,
        call.configuration.version,
    );
    event_log::write(LogPriority::Decision, "waiting", fields);
}

/// Log fields: when the load is expected to end, whether it is ordered, and the nearest copy.
fn wait_fields(missing: &Missing) -> String {
    match missing {
        Missing::Model(load) => format!(
            "expected_ms={} load_ordered={} nearest_copy={}",
            load.time_left.as_millis(),
            load.is_ordered,
            load.copy
                .map_or("Unknown".to_owned(), |copy| format!("{copy:?}"))
        ),
        Missing::Capacity(wait) | Missing::Pause(wait) => {
            format!("expected_ms={} load_ordered=false", wait.as_millis())
        }
        Missing::FullEngines(full) => format!(
            "expected_ms={} load_ordered=false engines={} running={} bound={} ahead={}",
            full.expected.as_millis(),
            full.engines,
            full.running,
            full.bound,
            full.ahead,
        ),
        Missing::Adapter | Missing::BackEnd | Missing::SoftwareVersion => {
            "expected_ms=0 load_ordered=false".to_owned()
        }
    }
}

fn log_refusal(call: &Call, missing: &Missing, reason: &str, retry_after: Duration) {
    let wait_fields = wait_fields(missing);
    let fields = format_args!(
        "request={} reason={reason} {wait_fields} waited_ms={} objective_ms={} returning={} retry_after_ms={} configuration={}",
        call.metadata.id,
        call.age().as_millis(),
        call.route.objective.as_millis(),
        call.is_returning,
        retry_after.as_millis(),
        call.configuration.version,
    );
    event_log::write(LogPriority::Decision, "refused", fields);
}
