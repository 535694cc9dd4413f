//! Why a request gets no answer of a back end, and what the caller is told.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};

use crate::ports::Platform;
use crate::request::AnswerBody;
use crate::tenancy::{BEYOND_LIMIT, SentAway};

/// How callers state their keys.
const KEY_SCHEME: &str = "Bearer";

/// Why a request failed at the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route fits.
    NoRoute,
    /// The caller may not use the route, by its key.
    Unauthorized {
        /// Why.
        reason: &'static str,
    },
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body could not be read.
    BadBody,
    /// It was not run and never will be.
    Refused {
        /// Why.
        reason: &'static str,
        /// When it makes sense to come back.
        retry_after: Duration,
    },
    /// It is beyond its tenant's limit: it was not run and never will be.
    BeyondLimit {
        /// When there is room for it.
        retry_after: Duration,
    },
    /// It may have run, and there is no answer.
    Unknown {
        /// Why.
        reason: &'static str,
    },
    /// It may have run, and time is up.
    TimedOut,
}

impl From<SentAway> for Failure {
    fn from(sent_away: SentAway) -> Self {
        match sent_away {
            SentAway::Unauthorized { reason } => Failure::Unauthorized { reason },
            SentAway::BeyondLimit { retry_after } => Failure::BeyondLimit { retry_after },
            SentAway::Unknown {
                reason,
                retry_after,
            } => Failure::Refused {
                reason,
                retry_after,
            },
        }
    }
}

impl Failure {
    /// The status that says no more than is true.
    pub fn status(&self) -> StatusCode {
        match self {
            Failure::NoConfiguration | Failure::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Failure::NoRoute => StatusCode::NOT_FOUND,
            Failure::BeyondLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
            Failure::Unauthorized { .. } => StatusCode::UNAUTHORIZED,
            Failure::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Failure::BadBody => StatusCode::BAD_REQUEST,
            Failure::Unknown { .. } => StatusCode::BAD_GATEWAY,
            Failure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// A word for logs and counters.
    pub fn reason(&self) -> &'static str {
        match self {
            Failure::NoConfiguration => "no_configuration",
            Failure::NoRoute => "no_route",
            Failure::BodyTooLarge => "body_too_large",
            Failure::BadBody => "bad_body",
            Failure::Refused { reason, .. }
            | Failure::Unknown { reason }
            | Failure::Unauthorized { reason } => reason,
            Failure::BeyondLimit { .. } => BEYOND_LIMIT,
            Failure::TimedOut => "timed_out",
        }
    }

    /// The answer to the caller.
    pub fn answer(&self, platform: &dyn Platform) -> Response<AnswerBody> {
        let text = Bytes::from(format!("{}\n", self.reason()));
        let body = Full::new(text)
            .map_err(|never| match never {})
            .boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = self.status();
        let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        if matches!(self, Failure::Unauthorized { .. }) {
            let scheme = HeaderValue::from_static(KEY_SCHEME);
            response
                .headers_mut()
                .insert(header::WWW_AUTHENTICATE, scheme);
        }
        if let Some(pause) = self.retry_after() {
            platform.mark_retry_after(response.headers_mut(), pause);
        }
        response
    }

    /// When it makes sense to come back; none if nobody can say.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Failure::Refused { retry_after, .. } | Failure::BeyondLimit { retry_after } => {
                Some(*retry_after)
            }
            Failure::NoConfiguration => Some(Duration::from_millis(500)),
            _ => None,
        }
    }
}
