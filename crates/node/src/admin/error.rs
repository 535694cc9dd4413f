//! Error responses of the admin API.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use gorsebank_coordination::ChangeError;
use serde::{Deserialize, Serialize};

/// An error response and its JSON body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminError {
    /// A description of the error for operators.
    pub message: String,
    /// The present version of the row, if the change expected another version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<u64>,
    #[serde(skip)]
    status: u16,
}

impl AdminError {
    /// An error with status 400, for a request that is not valid.
    pub fn bad_request(message: impl Into<String>) -> Self {
        AdminError::new(StatusCode::BAD_REQUEST, message)
    }

    /// An error with status 404, for a row or kind that does not exist.
    pub fn not_found(message: impl Into<String>) -> Self {
        AdminError::new(StatusCode::NOT_FOUND, message)
    }

    fn new(status: StatusCode, message: impl Into<String>) -> Self {
        AdminError {
            message: message.into(),
            current_version: None,
            status: status.as_u16(),
        }
    }
}

impl From<ChangeError> for AdminError {
    fn from(error: ChangeError) -> Self {
        let status = match &error {
            ChangeError::Conflict { .. } => StatusCode::CONFLICT,
            ChangeError::Missing(_) => StatusCode::NOT_FOUND,
            ChangeError::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
            ChangeError::Unknown | ChangeError::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        };
        let current_version = match &error {
            ChangeError::Conflict { current, .. } => Some(*current),
            _ => None,
        };
        AdminError {
            current_version,
            ..AdminError::new(status, error.to_string())
        }
    }
}

impl IntoResponse for AdminError {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        (status, Json(self)).into_response()
    }
}
