//! Back ends that have said that they leave: in a row, in an answer, or to another gateway.
//!
//! In: what each of them says, and what other gateways tell. Out: whether a life of a back end
//! leaves, and what is to be told on. A departure is not taken back within that life, so it is
//! kept when the back end's row goes and comes again. What is told counts by age, so no clock is
//! compared between gateways.

use std::collections::HashMap;

use gorsebank_coordination::Timestamp;
use serde::{Deserialize, Serialize};

use crate::quarantine::BackEndHash;
use crate::telling::{MEMORY, newest};

/// What one gateway tells another of a back end that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldDeparture {
    /// The back end, in its present life.
    #[serde(rename = "b")]
    pub back_end: BackEndHash,
    /// How long ago it said so, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
}

/// The departures that this gateway knows of.
#[derive(Debug, Default)]
pub struct Departures {
    said: HashMap<BackEndHash, Timestamp>,
}

impl Departures {
    /// A back end says that it leaves. True if that is news.
    pub fn note(&mut self, now: Timestamp, back_end: BackEndHash) -> bool {
        self.forget_old(now);
        self.said.insert(back_end, now).is_none()
    }

    /// Another gateway tells of back ends that leave. Out: those that are news. What is known
    /// does not grow younger by being told, or it would go round for ever.
    pub fn take(&mut self, now: Timestamp, told: &[ToldDeparture]) -> Vec<BackEndHash> {
        self.forget_old(now);
        let mut news = Vec::new();
        for departure in told.iter().filter(|departure| departure.age < MEMORY) {
            if !self.contains(departure.back_end) {
                self.said.insert(departure.back_end, now - departure.age);
                news.push(departure.back_end);
            }
        }
        news
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.said.retain(|_, at| now.since(*at) < MEMORY);
    }

    /// Whether a back end has said that it leaves.
    pub fn contains(&self, back_end: BackEndHash) -> bool {
        self.said.contains_key(&back_end)
    }

    /// What other gateways should know.
    pub fn told(&self, now: Timestamp) -> Vec<ToldDeparture> {
        let told = self.said.iter().map(|(back_end, at)| ToldDeparture {
            back_end: *back_end,
            age: now.since(*at),
        });
        newest(told, |departure| departure.age)
    }
}
