//! Error responses for callers, in the format of the OpenAI API.

use axum::Json;
use axum::http::{HeaderValue, Method, StatusCode, Uri, header};
use axum::response::{IntoResponse, Response};
use gorsebank_contract::{ExecutionStatus, Refusal, RefusalReason};
use gorsebank_coordination::ResolveError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// States in every error response whether the request ran: `no` or `unknown`.
pub const RAN_HEADER: &str = "gorsebank-ran";
/// The `Retry-After` value of an overloaded node, in seconds.
const OVERLOADED_RETRY_SECONDS: u64 = 1;

/// The JSON body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The description of the error.
    pub error: ErrorDetail,
}

/// The description of an error in the body of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The error message for people.
    pub message: String,
    /// The class of the error.
    #[serde(rename = "type")]
    pub kind: String,
    /// The field or header that caused the error.
    pub param: Option<String>,
    /// The error code.
    pub code: String,
    /// Whether the request ran: `no` or `unknown`.
    pub ran: ExecutionStatus,
}

/// An error that the node returns to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallerError {
    /// The body is not valid JSON, or does not have the expected fields.
    #[error("the body is not understood: {0}")]
    Body(String),
    /// The connection failed before the complete body was received.
    #[error("the body broke off: {0}")]
    IncompleteBody(String),
    /// The body exceeds the size limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(u64),
    /// A header has an invalid value.
    #[error("header `{name}` is wrong: {reason}")]
    Header {
        /// The name of the header.
        name: &'static str,
        /// Why the value is invalid.
        reason: String,
    },
    /// The deadline that the caller stated has passed.
    #[error("the deadline {0} has passed")]
    DeadlinePassed(String),
    /// The model cannot be served.
    #[error("{0}")]
    Model(ResolveError),
    /// No back end offers the service.
    #[error("service `{0}` does not exist")]
    UnknownService(String),
    /// The path has no route.
    #[error("path `{0}` does not exist")]
    UnknownPath(String),
    /// The route of the path does not support the method.
    #[error("method {0} is not allowed here")]
    MethodNotAllowed(String),
    /// The stream cannot be resumed, for the reason in the second field.
    #[error("stream `{0}` cannot be resumed: {1}")]
    UnknownStream(String, String),
    /// The node has reached its limit of open requests.
    #[error("this node has as many open requests as it takes")]
    Overloaded,
    /// The node rejected the request, or its outcome is unknown.
    #[error("{}", describe(.0))]
    Refused(Refusal),
}

impl CallerError {
    /// The HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            CallerError::Body(_)
            | CallerError::IncompleteBody(_)
            | CallerError::Header { .. }
            | CallerError::DeadlinePassed(_) => StatusCode::BAD_REQUEST,
            CallerError::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            CallerError::Model(_)
            | CallerError::UnknownService(_)
            | CallerError::UnknownPath(_)
            | CallerError::UnknownStream(..) => StatusCode::NOT_FOUND,
            CallerError::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            CallerError::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            CallerError::Refused(refusal) => refusal_status(refusal),
        }
    }

    /// Whether a part of the request body was not read, so that the node closes the
    /// connection after the response. Without `Connection: close` in the response a
    /// caller would send its next request on the connection that is being closed.
    fn has_unread_body(&self) -> bool {
        matches!(self, CallerError::BodyTooLarge(_))
    }

    /// The error code.
    pub fn code(&self) -> &'static str {
        match self {
            CallerError::Body(_) => "invalid_body",
            CallerError::IncompleteBody(_) => "body_cut",
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
            CallerError::MethodNotAllowed(_) => "method_not_allowed",
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

    fn ran(&self) -> ExecutionStatus {
        match self {
            CallerError::Refused(refusal) => refusal.ran,
            _ => ExecutionStatus::No,
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

    /// The JSON body of the response.
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
            ExecutionStatus::No => "no",
            ExecutionStatus::Unknown => "unknown",
        };
        let headers = response.headers_mut();
        headers.insert(RAN_HEADER, HeaderValue::from_static(ran));
        if let Some(seconds) = self.retry_after_seconds() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.has_unread_body() {
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
        (_, ExecutionStatus::Unknown) => StatusCode::BAD_GATEWAY,
        (_, ExecutionStatus::No) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The error code of a refusal.
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
        ExecutionStatus::No => "the request did not run",
        ExecutionStatus::Unknown => "the request may have run",
    };
    format!("{reason}; {ran}")
}

/// Responds to a request that the concurrency limit rejected.
pub async fn respond_overloaded(_error: tower::BoxError) -> Response {
    CallerError::Overloaded.into_response()
}

/// Responds to a request for a path that does not exist.
pub async fn respond_unknown_path(uri: Uri) -> Response {
    CallerError::UnknownPath(uri.path().to_owned()).into_response()
}

/// Responds to a request with a method that its path does not support.
pub async fn respond_method_not_allowed(method: Method) -> Response {
    CallerError::MethodNotAllowed(method.to_string()).into_response()
}
