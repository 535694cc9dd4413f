//! Determines whether a back end crashed when a connection to it is lost during a request.
//!
//! The inputs are the request and its back end. The request is a suspect of a crash, and so are the
//! shared parts of its prompt unless the back end had begun to write the response. The output is whether the back end's process has
//! exited; it is also logged. If a proxy accepts connections in front of a back end, an exit is
//! known only once the back end's row is removed. The request waits no longer than `CHECK_TIMEOUT`
//! for the result. The check is completed even if the caller disconnects meanwhile.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_fleet::quarantine::Suspect;
use tokio::time::{Instant, timeout};

use crate::attempts::{BACK_END_ENDED, CONNECTION_LOST};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::event_log::{self, LogPriority};
use crate::links::exit_evidence;
use crate::request::Call;

/// Maximum time for which a request waits for the check of its back end. A refused connection is
/// known within a round trip, and a connection attempt without a reply shows nothing.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Records that the connection to `back_end` was lost while it handled `call`, and whether it had begun
/// to write the response. Returns a reason for log lines, which says whether the process is known in
/// time to have exited.
pub async fn check_back_end(call: &Call, back_end: &Arc<BackEnd>, has_begun: bool) -> &'static str {
    let lost_at = Instant::now();
    let (shared, back_end) = (call.shared.clone(), back_end.clone());
    let (request, fingerprint) = (call.metadata.id.clone(), call.fingerprint);
    let parts = call.part_names();
    let mut suspects = vec![Suspect::request(fingerprint)];
    if !has_begun {
        suspects.extend(Suspect::parts(&call.shared_parts));
    }
    let check = tokio::spawn(async move {
        let id = &back_end.id;
        // A back end that is draining, or whose row is removed, exits as planned.
        let was_active = shared.directory(|directory: &Directory| directory.is_active(id));
        let check = exit_evidence::has_exited(&shared, &back_end);
        let has_exited = back_end.check_for_exit(shared.now(), lost_at, check).await;
        let fields = format_args!(
            "request={request} fingerprint={fingerprint} parts={} begun={has_begun} back_end={id} \
             ended={has_exited} planned={}",
            parts.join(","),
            !was_active
        );
        event_log::write(LogPriority::Decision, "connection_lost", fields);
        if has_exited && was_active {
            shared.log_exit(&back_end, "own");
            shared.record_crash(&suspects, back_end.incarnation_hash);
        } else if was_active {
            back_end.record_lost(shared.now(), &suspects);
        }
        has_exited
    });
    // A result that comes later is still recorded, and applies from then on.
    match timeout(CHECK_TIMEOUT, check).await {
        Ok(Ok(true)) => BACK_END_ENDED,
        _ => CONNECTION_LOST,
    }
}
