//! What is learned when the connection to a back end is lost under a request.
//!
//! In: the request, and the back end that it was sent to. Out: whether that back end's
//! process has ended, with a line. Where something before a back end takes connections for
//! it, an end is known only when its row goes. A request is not held up by it for longer than a look
//! takes; one whose caller leaves meanwhile is noted all the same.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use crate::attempts::{BACK_END_ENDED, CONNECTION_LOST};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::lines::{self, Rank};
use crate::request::Call;

/// A request waits so long at most for the look at its back end: a refused connection is
/// known within a round trip, and one that is dropped shows nothing.
const LOOK_WAIT: Duration = Duration::from_millis(100);

/// Notes that the connection to `back_end` was lost while `call` was there. Out: whether the
/// back end has ended, as a reason for lines, as far as it is known in time.
pub async fn note(call: &Call, back_end: &Arc<BackEnd>) -> &'static str {
    let lost = Instant::now();
    let (shared, back_end) = (call.shared.clone(), back_end.clone());
    let (request, fingerprint) = (call.ticket.id.clone(), call.fingerprint);
    let noting = tokio::spawn(async move {
        let id = &back_end.id;
        // One that said that it leaves, or whose row is gone, ends as planned.
        let was_active = shared.directory(|directory: &Directory| directory.is_active(id));
        let ended = back_end.look_for_end(shared.now(), lost).await;
        let fields = format_args!(
            "request={request} fingerprint={fingerprint} back_end={id} ended={ended} \
             planned={}",
            !was_active
        );
        lines::write(Rank::Decision, "connection_lost", fields);
        if ended && was_active {
            shared.note_end_under(fingerprint, back_end.life_hash);
        } else if was_active {
            back_end.note_lost(shared.now(), fingerprint);
        }
        ended
    });
    // What is not known in time is noted later, and counts from then on.
    match timeout(LOOK_WAIT, noting).await {
        Ok(Ok(true)) => BACK_END_ENDED,
        _ => CONNECTION_LOST,
    }
}
