//! Reasons why a request gets no response from a back end, and the responses to its caller.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};

use crate::ports::Platform;
use crate::request::ResponseBody;
use crate::tenancy::{QUOTA_EXCEEDED, Rejection};

/// Authentication scheme that callers must use for their keys.
const AUTHENTICATION_SCHEME: &str = "Bearer";

/// Why a request failed at the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The gateway has no configuration yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The caller's key does not permit the use of the route.
    Unauthorized {
        /// Why the key was rejected.
        reason: &'static str,
    },
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body could not be read.
    BadBody,
    /// The request was not run and will not be.
    Refused {
        /// Why the request was refused.
        reason: &'static str,
        /// Time after which a retry makes sense.
        retry_after: Duration,
    },
    /// The request exceeds its tenant's quota; it was not run and will not be.
    QuotaExceeded {
        /// Time after which the quota allows the request.
        retry_after: Duration,
    },
    /// The request may have run, and there is no response.
    OutcomeUnknown {
        /// Why there is no response.
        reason: &'static str,
    },
    /// The request may have run, and the deadline has passed.
    TimedOut,
}

impl From<Rejection> for Failure {
    fn from(rejection: Rejection) -> Self {
        match rejection {
            Rejection::Unauthorized { reason } => Failure::Unauthorized { reason },
            Rejection::QuotaExceeded { retry_after } => Failure::QuotaExceeded { retry_after },
            Rejection::Unknown {
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
    /// The response status, which claims no more than is known.
    pub fn status(&self) -> StatusCode {
        match self {
            Failure::NoConfiguration | Failure::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Failure::NoRoute => StatusCode::NOT_FOUND,
            Failure::QuotaExceeded { .. } => StatusCode::TOO_MANY_REQUESTS,
            Failure::Unauthorized { .. } => StatusCode::UNAUTHORIZED,
            Failure::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Failure::BadBody => StatusCode::BAD_REQUEST,
            Failure::OutcomeUnknown { .. } => StatusCode::BAD_GATEWAY,
            Failure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Outcome for log lines and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Failure::NoConfiguration => "no_configuration",
            Failure::NoRoute => "no_route",
            Failure::BodyTooLarge => "body_too_large",
            Failure::BadBody => "bad_body",
            Failure::Refused { reason, .. }
            | Failure::OutcomeUnknown { reason }
            | Failure::Unauthorized { reason } => reason,
            Failure::QuotaExceeded { .. } => QUOTA_EXCEEDED,
            Failure::TimedOut => "timed_out",
        }
    }

    /// Builds the response to the caller.
    pub fn to_response(&self, platform: &dyn Platform) -> Response<ResponseBody> {
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
            let scheme = HeaderValue::from_static(AUTHENTICATION_SCHEME);
            response
                .headers_mut()
                .insert(header::WWW_AUTHENTICATE, scheme);
        }
        if let Some(pause) = self.retry_after() {
            platform.set_retry_after(response.headers_mut(), pause);
        }
        response
    }

    /// Time after which a retry makes sense; `None` if this is unknown.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Failure::Refused { retry_after, .. } | Failure::QuotaExceeded { retry_after } => {
                Some(*retry_after)
            }
            Failure::NoConfiguration => Some(Duration::from_millis(500)),
            _ => None,
        }
    }
}
