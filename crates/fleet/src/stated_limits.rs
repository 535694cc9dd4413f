//! Limits that back ends in need state in their answers: requests a second that they take from
//! all gateways together, for as long as they say so.
//!
//! In: what each answer says. Out: the limit in force at a back end.
//!
//! Answers on different connections pass each other, so an answer without a limit lifts one
//! only if its request was sent after the limit was last stated.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;

use crate::quarantine::BackEndHash;

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

/// The newest word of a back end.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Stated {
    /// Requests a second; none once it has lifted its limit.
    rate: Option<f64>,
    at: Timestamp,
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
        let former = known.and_then(|known| known.rate);
        let rate = match statement {
            Statement::PerSecond(rate) => Some(rate),
            Statement::Unlimited if known.is_some_and(|known| known.at <= sent) => None,
            Statement::Unlimited | Statement::Unreadable => return false,
        };
        self.stated.insert(back_end, Stated { rate, at: now });
        rate != former
    }

    /// Requests a second that a back end takes of all gateways together; none if it takes what
    /// it is sent.
    pub fn rate(&self, back_end: BackEndHash) -> Option<f64> {
        self.stated.get(&back_end)?.rate
    }

    /// Back ends that state a limit.
    pub fn count(&self) -> usize {
        let stated = self.stated.values();
        stated.filter(|stated| stated.rate.is_some()).count()
    }
}
