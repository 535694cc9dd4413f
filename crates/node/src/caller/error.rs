//! Errors towards callers, in the shape of the OpenAI API.

use axum::Json;
use axum::http::{HeaderValue, Method, StatusCode, Uri, header};
use axum::response::{IntoResponse, Response};
use gorsebank_contract::{Ran, Refusal, RefusalReason};
use gorsebank_coordination::ResolveError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Says in every error whether the request ran: `no` or `unknown`.
pub const RAN_HEADER: &str = "gorsebank-ran";
/// `Retry-After` of an overloaded node, in seconds.
const OVERLOADED_RETRY_SECONDS: u64 = 1;

/// The body of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// For people.
    pub message: String,
    /// The class of error.
    #[serde(rename = "type")]
    pub kind: String,
    /// The field or header at fault.
    pub param: Option<String>,
    /// The error by name.
    pub code: String,
    /// Whether the request ran: `no` or `unknown`.
    pub ran: Ran,
}

/// An error towards a caller.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallerError {
    /// The body is no JSON, or not of the expected shape.
    #[error("the body is not understood: {0}")]
    Body(String),
    /// The body broke off.
    #[error("the body broke off: {0}")]
    BodyCut(String),
    /// The body is too large.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(u64),
    /// A header is wrong.
    #[error("header `{name}` is wrong: {reason}")]
    Header {
        /// The header.
        name: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// The deadline has passed.
    #[error("the deadline {0} has passed")]
    DeadlinePassed(String),
    /// The model cannot be served.
    #[error("{0}")]
    Model(ResolveError),
    /// There is no such service.
    #[error("service `{0}` does not exist")]
    UnknownService(String),
    /// There is no such path.
    #[error("path `{0}` does not exist")]
    UnknownPath(String),
    /// The path takes other methods.
    #[error("method {0} is not allowed here")]
    WrongMethod(String),
    /// There is no such stream.
    #[error("stream `{0}` cannot be resumed: {1}")]
    UnknownStream(String, String),
    /// The node has too many open requests.
    #[error("this node has as many open requests as it takes")]
    Overloaded,
    /// The request was refused, or its outcome is unknown.
    #[error("{}", describe(.0))]
    Refused(Refusal),
}

impl CallerError {
    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            CallerError::Body(_)
            | CallerError::BodyCut(_)
            | CallerError::Header { .. }
            | CallerError::DeadlinePassed(_) => StatusCode::BAD_REQUEST,
            CallerError::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            CallerError::Model(_)
            | CallerError::UnknownService(_)
            | CallerError::UnknownPath(_)
            | CallerError::UnknownStream(..) => StatusCode::NOT_FOUND,
            CallerError::WrongMethod(_) => StatusCode::METHOD_NOT_ALLOWED,
            CallerError::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            CallerError::Refused(refusal) => refusal_status(refusal),
        }
    }

    /// The rest of the body was not read, so the connection ends with the answer. A
    /// caller that is not told so sends its next request on a connection that closes.
    fn leaves_body_unread(&self) -> bool {
        matches!(self, CallerError::BodyTooLarge(_))
    }

    /// The error's name.
    pub fn code(&self) -> &'static str {
        match self {
            CallerError::Body(_) => "invalid_body",
            CallerError::BodyCut(_) => "body_cut",
            CallerError::BodyTooLarge(_) => "body_too_large",
            CallerError::Header { .. } => "invalid_header",
            CallerError::DeadlinePassed(_) => "deadline_in_the_past",
            CallerError::Model(ResolveError::Unknown(_)) => "model_not_found",
            CallerError::Model(ResolveError::AdapterOfAnotherModel { .. }) => {
                "adapter_of_another_model"
            }
            CallerError::Model(ResolveError::NotDeployed(_)) => "model_not_deployed",
            CallerError::UnknownService(_) => "service_not_found",
            CallerError::UnknownPath(_) => "path_not_found",
            CallerError::WrongMethod(_) => "method_not_allowed",
            CallerError::UnknownStream(..) => "stream_not_found",
            CallerError::Overloaded => "overloaded",
            CallerError::Refused(refusal) => refusal_code(refusal.reason),
        }
    }

    fn param(&self) -> Option<String> {
        match self {
            CallerError::Header { name, .. } => Some((*name).to_owned()),
            CallerError::Model(_) => Some("model".to_owned()),
            _ => None,
        }
    }

    fn ran(&self) -> Ran {
        match self {
            CallerError::Refused(refusal) => refusal.ran,
            _ => Ran::No,
        }
    }

    fn retry_after_seconds(&self) -> Option<u64> {
        match self {
            CallerError::Refused(refusal) => {
                refusal.retry_after.map(|wait| wait.div_ceil(1_000).max(1))
            }
            CallerError::Overloaded => Some(OVERLOADED_RETRY_SECONDS),
            _ => None,
        }
    }

    /// The body.
    pub fn body(&self) -> ErrorBody {
        let kind = if self.status().is_client_error() {
            "invalid_request_error"
        } else {
            "server_error"
        };
        ErrorBody {
            error: ErrorDetail {
                message: self.to_string(),
                kind: kind.to_owned(),
                param: self.param(),
                code: self.code().to_owned(),
                ran: self.ran(),
            },
        }
    }
}

impl IntoResponse for CallerError {
    fn into_response(self) -> Response {
        let mut response = (self.status(), Json(self.body())).into_response();
        let ran = match self.ran() {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        let headers = response.headers_mut();
        headers.insert(RAN_HEADER, HeaderValue::from_static(ran));
        if let Some(seconds) = self.retry_after_seconds() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.leaves_body_unread() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

fn refusal_status(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.ran) {
        (RefusalReason::KeyUsed, _) => StatusCode::CONFLICT,
        (RefusalReason::ConnectionLost, _) => StatusCode::BAD_GATEWAY,
        (RefusalReason::DeadlinePassed, _) => StatusCode::GATEWAY_TIMEOUT,
        (_, Ran::Unknown) => StatusCode::BAD_GATEWAY,
        (_, Ran::No) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// A refusal's reason by name.
pub fn refusal_code(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoCapacity => "no_capacity",
        RefusalReason::DeadlinePassed => "deadline_passed",
        RefusalReason::NoPlace => "no_place",
        RefusalReason::RetriesExhausted => "retries_exhausted",
        RefusalReason::KeyUsed => "idempotency_key_used",
        RefusalReason::KeyInDoubt => "idempotency_key_in_doubt",
        RefusalReason::ConnectionLost => "connection_lost",
        RefusalReason::Stopping => "stopping",
    }
}

fn describe(refusal: &Refusal) -> String {
    let reason = match refusal.reason {
        RefusalReason::NoCapacity => "no capacity is expected before the deadline",
        RefusalReason::DeadlinePassed => "the deadline passed",
        RefusalReason::NoPlace => "the model cannot be loaded anywhere now",
        RefusalReason::RetriesExhausted => "no back end took the request",
        RefusalReason::KeyUsed => "the idempotency key was used before",
        RefusalReason::KeyInDoubt => "it is not certain that the idempotency key is unused",
        RefusalReason::ConnectionLost => "the connection to the back end broke",
        RefusalReason::Stopping => "this node is stopping",
    };
    let ran = match refusal.ran {
        Ran::No => "the request did not run",
        Ran::Unknown => "the request may have run",
    };
    format!("{reason}; {ran}")
}

/// Answers a request that the layers before the routes turned away.
pub async fn overloaded(_error: tower::BoxError) -> Response {
    CallerError::Overloaded.into_response()
}

/// Answers a request for a path that does not exist.
pub async fn unknown_path(uri: Uri) -> Response {
    CallerError::UnknownPath(uri.path().to_owned()).into_response()
}

/// Answers a request with a method that its path does not take.
pub async fn wrong_method(method: Method) -> Response {
    CallerError::WrongMethod(method.to_string()).into_response()
}
