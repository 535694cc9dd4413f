//! Limits that back ends in need state in their answers: requests a second that they take from
//! all gateways together, for as long as they say so.
//!
//! In: what each answer says, and what other gateways tell. Out: the limit in force at a back
//! end, and what is to be told on. What is told counts by age, so no clock is compared between
//! gateways.
//!
//! Answers on different connections pass each other, so an answer without a limit lifts one
//! only if its request was sent after the limit was last stated.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use serde::{Deserialize, Serialize};

use crate::quarantine::BackEndHash;
use crate::telling::{MEMORY, newest};

/// A back end with a limit is asked again after this time, in milliseconds, though others could
/// take the request. Gateways tell each other of statements within half of it, so few of them ask.
const ASKED_AGAIN_AFTER: u64 = 1_500;
/// The same statement told again counts as new only if it is so much younger, in milliseconds: each
/// hop takes time, and a statement must not grow younger by going round.
const SAME_STATEMENT: u64 = 500;

/// What an answer says of the requests that its back end takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// Nothing: it takes what it is sent.
    #[default]
    Unlimited,
    /// So many requests a second of all gateways together.
    PerSecond(f64),
    /// Something that cannot be read: what it said before stands.
    Unreadable,
}

impl Statement {
    /// Reads requests a second, as a decimal number.
    pub fn parse(text: &[u8]) -> Self {
        let text = std::str::from_utf8(text).ok();
        let rate = text.and_then(|text| text.trim().parse().ok());
        match rate.filter(|rate| is_rate(*rate)) {
            Some(rate) => Statement::PerSecond(rate),
            None => Statement::Unreadable,
        }
    }
}

fn is_rate(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}

/// The newest statement of a back end.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stated {
    /// Requests a second; none once it has lifted its limit.
    rate: Option<f64>,
    at: Timestamp,
}

/// What one gateway tells another of a back end's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldLimit {
    /// The back end, in its present life.
    #[serde(rename = "b")]
    pub back_end: BackEndHash,
    /// Requests a second; none if it has lifted its limit.
    #[serde(rename = "r")]
    pub rate: Option<f64>,
    /// How long ago it said so, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
}

/// The limits that this gateway knows of. Each life of a back end states its own.
#[derive(Debug, Default)]
pub struct StatedLimits {
    stated: HashMap<BackEndHash, Stated>,
}

impl StatedLimits {
    /// A back end's answer to a request that was sent at `sent` says this. True if the limit in
    /// force is another one than before.
    pub fn note(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        back_end: BackEndHash,
        statement: Statement,
    ) -> bool {
        let known = self.stated.get(&back_end).copied();
        let rate = match statement {
            Statement::PerSecond(rate) => Some(rate),
            Statement::Unlimited if known.is_some_and(|known| known.at <= sent) => None,
            Statement::Unlimited | Statement::Unreadable => return false,
        };
        self.forget_old(now);
        self.set(back_end, Stated { rate, at: now })
    }

    /// Another gateway tells what back ends said. Out: those whose limit is another one now.
    pub fn take(&mut self, now: Timestamp, told: &[ToldLimit]) -> Vec<BackEndHash> {
        let is_usable = |limit: &&ToldLimit| limit.age < MEMORY && limit.rate.is_none_or(is_rate);
        let mut changed = Vec::new();
        for limit in told.iter().filter(is_usable) {
            let stated = Stated {
                rate: limit.rate,
                at: now - limit.age,
            };
            let is_news = self.stated.get(&limit.back_end).is_none_or(|known| {
                let same = if known.rate == stated.rate {
                    SAME_STATEMENT
                } else {
                    0
                };
                stated.at > known.at + same
            });
            if is_news && self.set(limit.back_end, stated) {
                changed.push(limit.back_end);
            }
        }
        changed
    }

    /// What other gateways should know.
    pub fn told(&self, now: Timestamp) -> Vec<ToldLimit> {
        let stated = self.stated.iter().map(|(back_end, stated)| ToldLimit {
            back_end: *back_end,
            rate: stated.rate,
            age: now.since(stated.at),
        });
        newest(stated, |limit| limit.age)
    }

    /// True if the limit is another one than before.
    fn set(&mut self, back_end: BackEndHash, stated: Stated) -> bool {
        let former = self.stated.insert(back_end, stated);
        former.and_then(|former| former.rate) != stated.rate
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.stated
            .retain(|_, stated| now.since(stated.at) < MEMORY);
    }

    /// Requests a second that a back end takes of all gateways together; none if it takes what
    /// it is sent.
    pub fn rate(&self, back_end: BackEndHash) -> Option<f64> {
        self.stated.get(&back_end)?.rate
    }

    /// Whether a back end that states a limit has said nothing for a while: only its answers can
    /// tell that it takes more again.
    pub fn needs_statement(&self, now: Timestamp, back_end: BackEndHash) -> bool {
        let stated = self.stated.get(&back_end);
        stated.is_some_and(|stated| {
            stated.rate.is_some() && now.since(stated.at) >= ASKED_AGAIN_AFTER
        })
    }

    /// Back ends that state a limit, with the requests a second that each takes.
    pub fn in_force(&self) -> HashMap<BackEndHash, f64> {
        let stated = self.stated.iter();
        stated
            .filter_map(|(back_end, stated)| Some((*back_end, stated.rate?)))
            .collect()
    }

    /// Whether no back end has stated a limit of late.
    pub fn is_empty(&self) -> bool {
        self.stated.is_empty()
    }

    /// How many back ends state a limit.
    pub fn count(&self) -> usize {
        self.in_force().len()
    }
}
