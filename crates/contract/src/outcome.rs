//! Outcomes of requests and of the attempts to send them to back ends.

use serde::{Deserialize, Serialize};

/// Whether a request without a complete response ran on a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// The request did not run and will not run.
    No,
    /// The request may have run or may still be running.
    Unknown,
}

/// The reason why a request was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No capacity is expected to become available before the deadline.
    NoCapacity,
    /// The deadline passed.
    DeadlinePassed,
    /// No engine can load the model at present.
    NoPlace,
    /// The attempts of the request or the retry budget are exhausted.
    RetriesExhausted,
    /// The idempotency key of the request has been used before.
    KeyUsed,
    /// The node cannot determine whether the idempotency key has been used before.
    KeyInDoubt,
    /// The connection to the back end broke after the request was sent.
    ConnectionLost,
    /// The node is shutting down.
    Stopping,
}

/// The final response to a request for which no back end returned a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub ran: ExecutionStatus,
    /// Time in milliseconds after which a retry makes sense, computed from the expected capacity.
    pub retry_after: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, retry_after: Option<u64>) -> Self {
        Refusal {
            reason,
            ran: ExecutionStatus::No,
            retry_after,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Refusal {
            reason,
            ran: ExecutionStatus::Unknown,
            retry_after: None,
        }
    }
}

/// The end of an attempt to run a request on a back end, as observed by the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The complete response was sent to the caller.
    Completed,
    /// No byte of the request reached the back end.
    NotSent,
    /// The back end stated that it did not start the request.
    NotStarted,
    /// The request was sent, and the connection failed before any part of the response was sent to
    /// the caller.
    #[serde(rename = "LostBeforeAnswer")]
    LostBeforeResponse,
    /// The response was interrupted after part of it was sent to the caller.
    #[serde(rename = "LostDuringAnswer")]
    LostDuringResponse,
    /// The caller disconnected.
    #[serde(rename = "CallerGone")]
    CallerDisconnected,
}
