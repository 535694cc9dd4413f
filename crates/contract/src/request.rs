//! Requests on their way: tickets and grants.

use std::fmt;
use std::str::FromStr;

use gorsebank_world::{BackEndId, QueueKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Names a request; unique over all nodes and their lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64, pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:08x}", self.0, self.1)
    }
}

/// A text that is no request id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no request id")]
pub struct RequestIdError(String);

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const SCOPE_DIGITS: usize = 16;
        let refuse = || RequestIdError(text.to_owned());
        let (scope, number) = text.split_at_checked(SCOPE_DIGITS).ok_or_else(refuse)?;
        let digits = |digits: &str| u64::from_str_radix(digits, 16).map_err(|_| refuse());
        Ok(RequestId(digits(scope)?, digits(number)?))
    }
}

/// The number of a try of one request, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

/// Names one try of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketId {
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// The try.
    #[serde(rename = "a")]
    pub attempt: Attempt,
}

/// Priority of a request. Lower classes are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// Work that can wait, such as night summaries.
    Batch,
}

/// A request's place in the queue of its model. The body stays at the front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Request and try.
    #[serde(rename = "t")]
    pub id: TicketId,
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueKey,
    /// Priority.
    #[serde(rename = "c")]
    pub class: PriorityClass,
    /// Time left until the deadline, in milliseconds.
    #[serde(rename = "d")]
    pub remaining: u64,
}

/// Leave to send one request to one back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Request and try.
    #[serde(rename = "t")]
    pub id: TicketId,
    /// The queue.
    #[serde(rename = "q")]
    pub queue: QueueKey,
    /// Where to send it.
    #[serde(rename = "b")]
    pub back_end: BackEndId,
    /// Further requests of the same queue that the front may send there
    /// within the grant's validity, without asking.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub credits: u32,
    /// Nothing waits: once the request has ended, the front may keep the slot
    /// for its next request instead of giving it back.
    #[serde(rename = "k", default, skip_serializing_if = "std::ops::Not::not")]
    pub retainable: bool,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}
