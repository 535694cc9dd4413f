//! Outcomes of attempts and requests, as values.

use serde::{Deserialize, Serialize};

/// Whether a request that was not answered ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run and will not.
    No,
    /// It may have run, or may be running.
    Unknown,
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No capacity is expected before the deadline.
    NoCapacity,
    /// The deadline passed.
    DeadlinePassed,
    /// The model cannot be loaded anywhere now.
    NoPlace,
    /// Attempts or the retry budget are used up.
    RetriesExhausted,
    /// The request's idempotency key was used before.
    KeyUsed,
    /// It cannot be made certain that the idempotency key is unused.
    KeyInDoubt,
    /// The connection to the back end broke after the request was sent.
    ConnectionLost,
    /// The node is stopping.
    Stopping,
}

/// The final answer to a request that was not answered by a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it ran.
    pub ran: Ran,
    /// When to come back, in milliseconds from now, worked out from the
    /// capacity that is expected.
    pub retry_after: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, retry_after: Option<u64>) -> Self {
        Refusal {
            reason,
            ran: Ran::No,
            retry_after,
        }
    }

    /// A refusal of a request that may have run.
    pub fn maybe_run(reason: RefusalReason) -> Self {
        Refusal {
            reason,
            ran: Ran::Unknown,
            retry_after: None,
        }
    }
}

/// How an attempt at a back end ended, as the front saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The whole answer went to the caller.
    Completed,
    /// No byte of the request reached the back end.
    NotSent,
    /// The back end attests that it did not start the request.
    NotStarted,
    /// The request was sent and the connection broke before any of the answer
    /// went to the caller.
    LostBeforeAnswer,
    /// The answer broke off after part of it went to the caller.
    LostDuringAnswer,
    /// The caller went away.
    CallerGone,
}
