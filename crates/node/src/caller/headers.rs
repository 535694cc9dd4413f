//! Parses the headers in which callers state the time limit and the idempotency
//! key of a request.
//!
//! - `Request-Timeout: 20s` or `Request-Deadline: 2026-01-31T08:00:00Z`
//! - `Idempotency-Key: KEY` for requests that may run at most once

use std::time::Duration;

use axum::http::HeaderMap;
use jiff::Timestamp as WallClock;

use crate::caller::error::CallerError;

const TIMEOUT_HEADER: &str = "request-timeout";
const DEADLINE_HEADER: &str = "request-deadline";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// The longest time limit that a caller may state; longer ones are shortened to it.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3_600);

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, CallerError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| CallerError::Header {
        name,
        reason: "it is not plain text".to_owned(),
    })
}

/// The time limit of the request, if its headers state one.
pub fn time_limit(headers: &HeaderMap) -> Result<Option<Duration>, CallerError> {
    if let Some(value) = text(headers, TIMEOUT_HEADER)? {
        let wait = humantime::parse_duration(value).map_err(|error| CallerError::Header {
            name: TIMEOUT_HEADER,
            reason: format!("`{value}`: {error}"),
        })?;
        return Ok(Some(wait.min(MAX_WAIT)));
    }
    let Some(value) = text(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let deadline: WallClock = value.parse().map_err(|error| CallerError::Header {
        name: DEADLINE_HEADER,
        reason: format!("`{value}`: {error}"),
    })?;
    let remaining = deadline.duration_since(WallClock::now());
    match Duration::try_from(remaining) {
        Ok(wait) if !wait.is_zero() => Ok(Some(wait.min(MAX_WAIT))),
        _ => Err(CallerError::DeadlinePassed(value.to_owned())),
    }
}

/// The idempotency key of the request, if its headers state one.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, CallerError> {
    let Some(value) = text(headers, IDEMPOTENCY_KEY_HEADER)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        return Err(CallerError::Header {
            name: IDEMPOTENCY_KEY_HEADER,
            reason: format!("it must have 1 to {MAX_KEY_BYTES} characters"),
        });
    }
    Ok(Some(value.to_owned()))
}
