//! Identifiers of requests, the tickets by which requests wait in a queue, and the grants that permit
//! a front to send them.

use std::fmt;
use std::str::FromStr;

use gorsebank_world::{BackEndId, QueueKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identifies a request uniquely across all nodes and their incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64, pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:08x}", self.0, self.1)
    }
}

/// The text is not a valid request ID.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no request id")]
pub struct RequestIdError(String);

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const SCOPE_DIGITS: usize = 16;
        let invalid = || RequestIdError(text.to_owned());
        let (scope, number) = text.split_at_checked(SCOPE_DIGITS).ok_or_else(invalid)?;
        let parse_hex = |digits: &str| u64::from_str_radix(digits, 16).map_err(|_| invalid());
        Ok(RequestId(parse_hex(scope)?, parse_hex(number)?))
    }
}

/// The number of an attempt to run a request, starting at 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketId {
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
    #[serde(rename = "a")]
    pub attempt: Attempt,
}

/// Priority of a request. Classes that compare as lower are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// A user waits for the response.
    #[default]
    Interactive,
    /// The response is not urgent, as for nightly summaries.
    Batch,
}

/// The entry of a request in its queue. The body of the request stays on the front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The request and its attempt.
    #[serde(rename = "t")]
    pub id: TicketId,
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueKey,
    #[serde(rename = "c")]
    pub class: PriorityClass,
    /// Time left until the deadline, in milliseconds.
    #[serde(rename = "d")]
    pub remaining: u64,
}

/// Permission to send one request to one back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The request and its attempt.
    #[serde(rename = "t")]
    pub id: TicketId,
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueKey,
    /// The back end to which the request is sent.
    #[serde(rename = "b")]
    pub back_end: BackEndId,
    /// Number of further requests of the same queue that the front may send to the back end while
    /// the grant is valid, without a ticket for each.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub credits: u32,
    /// Whether the front may keep the slot for its next request after this one has ended, instead of
    /// releasing it. True only if no request is waiting.
    #[serde(rename = "k", default, skip_serializing_if = "std::ops::Not::not")]
    pub retainable: bool,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}
