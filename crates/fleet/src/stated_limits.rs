//! Rate limits that overloaded back ends state in their responses, in requests per second from all
//! gateways together. A limit applies until a later response states another one or none.
//!
//! Input: the statement in each response, and notices of other gateways. Output: the limit in
//! force at a back end, and the notices to send on. Notices carry an age, so that no clocks are
//! compared between gateways.
//!
//! Responses on different connections can overtake each other. A response without a limit
//! therefore removes a limit only if its request was sent after the limit was last stated.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use serde::{Deserialize, Serialize};

use crate::notices::{RETENTION_MS, select_newest};
use crate::quarantine::IncarnationHash;

/// Time after which a back end with a limit is sent a request again, even if others could take
/// the request, to learn its current limit. Gateways pass on statements within half of this time,
/// so only a few of them send such a request.
const REFRESH_INTERVAL_MS: u64 = 1_500;
/// Minimum difference in age at which an unchanged statement counts as newer. Each hop adds time,
/// and a statement must not become younger by being passed on.
const SAME_STATEMENT_MS: u64 = 500;

/// The rate limit that a response states.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// No limit is stated: the back end accepts all requests.
    #[default]
    Unlimited,
    /// The back end accepts this number of requests per second from all gateways together.
    PerSecond(f64),
    /// The statement cannot be parsed; the previous limit stays in force.
    Unreadable,
}

impl StatedLimit {
    /// Parses a rate in requests per second, a decimal number.
    pub fn parse(text: &[u8]) -> Self {
        let text = std::str::from_utf8(text).ok();
        let rate = text.and_then(|text| text.trim().parse().ok());
        match rate.filter(|rate| is_valid_rate(*rate)) {
            Some(rate) => StatedLimit::PerSecond(rate),
            None => StatedLimit::Unreadable,
        }
    }
}

fn is_valid_rate(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}

/// The latest statement of a back end.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LatestStatement {
    /// Requests per second; `None` if the back end has removed its limit.
    rate: Option<f64>,
    at: Timestamp,
}

/// Notice from one gateway to another about a back end's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The incarnation of the back end.
    #[serde(rename = "b")]
    pub back_end: IncarnationHash,
    /// Requests per second; `None` if the back end has removed its limit.
    #[serde(rename = "r")]
    pub rate: Option<f64>,
    /// Time since the back end's statement, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
}

/// The rate limits that this gateway knows, by incarnation of the back ends.
#[derive(Debug, Default)]
pub struct StatedLimits {
    stated: HashMap<IncarnationHash, LatestStatement>,
}

impl StatedLimits {
    /// Records the statement in a response to a request that was sent at `sent`. Returns true if
    /// the limit in force has changed.
    pub fn record(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        back_end: IncarnationHash,
        statement: StatedLimit,
    ) -> bool {
        let known = self.stated.get(&back_end).copied();
        let rate = match statement {
            StatedLimit::PerSecond(rate) => Some(rate),
            StatedLimit::Unlimited if known.is_some_and(|known| known.at <= sent) => None,
            StatedLimit::Unlimited | StatedLimit::Unreadable => return false,
        };
        self.remove_expired(now);
        self.set(back_end, LatestStatement { rate, at: now })
    }

    /// Merges the notices of another gateway and returns the back ends whose limit has changed.
    pub fn merge(&mut self, now: Timestamp, notices: &[LimitNotice]) -> Vec<IncarnationHash> {
        let is_usable =
            |limit: &&LimitNotice| limit.age < RETENTION_MS && limit.rate.is_none_or(is_valid_rate);
        let mut changed = Vec::new();
        for limit in notices.iter().filter(is_usable) {
            let stated = LatestStatement {
                rate: limit.rate,
                at: now - limit.age,
            };
            let is_newer = self.stated.get(&limit.back_end).is_none_or(|known| {
                let min_difference = if known.rate == stated.rate {
                    SAME_STATEMENT_MS
                } else {
                    0
                };
                stated.at > known.at + min_difference
            });
            if is_newer && self.set(limit.back_end, stated) {
                changed.push(limit.back_end);
            }
        }
        changed
    }

    /// The notices to send to other gateways.
    pub fn notices(&self, now: Timestamp) -> Vec<LimitNotice> {
        let stated = self.stated.iter().map(|(back_end, stated)| LimitNotice {
            back_end: *back_end,
            rate: stated.rate,
            age: now.since(stated.at),
        });
        select_newest(stated, |limit| limit.age)
    }

    /// Stores a statement. Returns true if the limit in force has changed.
    fn set(&mut self, back_end: IncarnationHash, stated: LatestStatement) -> bool {
        let previous = self.stated.insert(back_end, stated);
        previous.and_then(|previous| previous.rate) != stated.rate
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.stated
            .retain(|_, stated| now.since(stated.at) < RETENTION_MS);
    }

    /// Requests per second that a back end accepts from all gateways together; `None` if it has
    /// stated no limit.
    pub fn rate(&self, back_end: IncarnationHash) -> Option<f64> {
        self.stated.get(&back_end)?.rate
    }

    /// Whether a back end with a limit has made no statement for a while, so that it should be
    /// sent a request: only its responses show whether it accepts more again.
    pub fn needs_refresh(&self, now: Timestamp, back_end: IncarnationHash) -> bool {
        let stated = self.stated.get(&back_end);
        stated.is_some_and(|stated| {
            stated.rate.is_some() && now.since(stated.at) >= REFRESH_INTERVAL_MS
        })
    }

    /// Limits in force by back end, in requests per second.
    pub fn in_force(&self) -> HashMap<IncarnationHash, f64> {
        let stated = self.stated.iter();
        stated
            .filter_map(|(back_end, stated)| Some((*back_end, stated.rate?)))
            .collect()
    }

    /// Whether no statement of any back end is known.
    pub fn is_empty(&self) -> bool {
        self.stated.is_empty()
    }

    /// Number of back ends with a limit in force.
    pub fn count(&self) -> usize {
        self.in_force().len()
    }
}
