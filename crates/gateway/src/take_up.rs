//! Streams that a caller takes up with a new request after an earlier one broke off.
//!
//! In: the request. Out: the software version that the stream must keep, or a refusal. A stream whose
//! version nobody knows is refused, since no back end checks whether it may continue the stream.

use std::time::Duration;

use gorsebank_fleet::StreamKey;
use tokio::time::Instant;

use crate::event_log::{self, LogPriority};
use crate::failure::Failure;
use crate::request::{Call, RequiredVersion};

/// `Retry-After` of a request to take up a stream whose version this gateway cannot find out; another
/// gateway may know it.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The key of the request's stream: that of the request that brought its first event. `None` if no id
/// tells which request that was.
pub fn stream_key(call: &Call) -> Option<StreamKey> {
    let metadata = &call.metadata;
    let first_request = match (&metadata.resumes, &metadata.last_event) {
        (Some(resumes), _) => resumes,
        (None, None) => &metadata.id,
        (None, Some(_)) => return None,
    };
    (!first_request.is_empty()).then(|| StreamKey::new(&call.service, first_request))
}

/// Fixes the software version of a stream that the caller takes up.
///
/// # Errors
///
/// Refuses the request if the version is not known.
pub async fn require_first_version(call: &Call) -> Result<(), Failure> {
    let metadata = &call.metadata;
    if metadata.resumes.is_none() && metadata.last_event.is_none() {
        return Ok(());
    }
    let Some(stream) = stream_key(call) else {
        return require_only_version(call).await;
    };
    let started = Instant::now();
    let found = call.shared.find_origin(&call.service, stream).await;
    let source = match &found {
        Ok((_, source)) => source.as_str(),
        Err(unknown) => unknown.as_str(),
    };
    let version = found.ok().map(|(version, _)| version);
    call.shared.metrics.record_stream_origin(source);
    let fields = format_args!(
        "request={} resumes={} last_event={:?} began_at={} source={source} took_ms={}",
        metadata.id,
        metadata.resumes.as_deref().unwrap_or("-"),
        metadata.last_event,
        version.as_ref().map_or("-", |it| it.as_str()),
        started.elapsed().as_millis(),
    );
    event_log::write(LogPriority::Decision, "stream_origin", fields);
    let Some(version) = version else {
        return Err(refuse_unknown(call));
    };
    call.shared.record_origin(&call.service, stream, &version);
    call.require_version(RequiredVersion::Exactly(version));
    Ok(())
}

/// A caller that does not name its first request can be served if only one version can have begun its
/// stream.
async fn require_only_version(call: &Call) -> Result<(), Failure> {
    let Some(version) = call.shared.origin_of_unnamed(&call.service).await else {
        call.shared.metrics.record_stream_origin("unnamed");
        return Err(refuse_unknown(call));
    };
    call.require_version(RequiredVersion::Exactly(version));
    Ok(())
}

fn refuse_unknown(call: &Call) -> Failure {
    call.refuse("unknown_stream_origin", UNKNOWN_RETRY_AFTER)
}
