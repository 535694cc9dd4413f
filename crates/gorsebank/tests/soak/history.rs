//! What callers and back ends saw, and what was done to the system.

use std::collections::BTreeMap;
use std::time::Duration;

/// How a request may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It runs once at most.
    Mutating,
    /// Events; runs once at most.
    Stream,
    /// Events that may go on at another back end.
    Resumable,
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer, whole or broken off.
    Answer {
        /// Its status.
        status: u16,
        /// Whether it ended as a whole one.
        whole: bool,
        /// Whose seal it bears.
        seal: Option<String>,
        /// Its body.
        body: String,
    },
    /// The connection was closed without an answer.
    Closed,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Try {
    /// Its id.
    pub id: String,
    /// What it is.
    pub kind: Kind,
    /// Which process took it: a number that no other process has.
    pub process: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How.
    pub end: End,
}

/// What was done to a process, or to the table.
#[derive(Clone, Debug)]
pub struct Done {
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub until: Duration,
    /// What.
    pub what: What,
}

/// What was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// The process was killed.
    Killed(usize),
    /// The process was asked to stop.
    Stopped(usize),
    /// The process stood still.
    Paused(usize),
    /// The table, or the way to it, was in disorder.
    Table,
    /// A back end's connections went silent, or were reset.
    BackEndCutOff,
    /// A back end's process ended.
    BackEndEnded,
}

/// A back end that left.
#[derive(Clone, Debug)]
pub struct Left {
    /// Its name.
    pub back_end: String,
    /// When it said so.
    pub said: Duration,
    /// When it was counted what it had run, after the bound on news.
    pub counted: Duration,
    /// Requests that had arrived by then.
    pub arrived: usize,
    /// Requests that had arrived in the end.
    pub arrived_in_the_end: usize,
}

/// A limit that a back end stated.
#[derive(Clone, Debug)]
pub struct Limited {
    /// Its name.
    pub back_end: String,
    /// Requests a second.
    pub rate: f64,
    /// When it said so first.
    pub from: Duration,
    /// When it said so last.
    pub until: Duration,
    /// When requests arrived there, and of which process, in order.
    pub arrivals: Vec<(Duration, usize)>,
}

/// A back end that said in its answers that it leaves.
#[derive(Clone, Debug)]
pub struct Departed {
    /// Its name.
    pub back_end: String,
    /// When it began to say so.
    pub said: Duration,
}

/// A back end that turned requests away and wanted a pause after each.
#[derive(Clone, Debug)]
pub struct PauseWanted {
    /// Its name.
    pub back_end: String,
    /// When it turned a request of a process away, in order.
    pub turned_away: Vec<(Duration, usize)>,
    /// When requests arrived there, and of which process, in order.
    pub arrivals: Vec<(Duration, usize)>,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests.
    pub tries: Vec<Try>,
    /// Back ends at which each request arrived, by its id.
    pub runs: BTreeMap<String, Vec<String>>,
    /// Fences of the orders that each back end got, in order.
    pub fences: BTreeMap<String, Vec<u64>>,
    /// When each request under which back ends end arrived at one, in order, by its body.
    pub endings: BTreeMap<Vec<u8>, Vec<Duration>>,
    /// Most models that each engine was made to hold at once.
    pub most_models: BTreeMap<String, usize>,
    /// What was done.
    pub done: Vec<Done>,
    /// Back ends that left.
    pub left: Vec<Left>,
    /// Limits that back ends stated.
    pub limits: Vec<Limited>,
    /// Back ends that said in their answers that they leave.
    pub departed: Vec<Departed>,
    /// Back ends that wanted pauses.
    pub pauses: Vec<PauseWanted>,
    /// Gateways that did not serve all kinds in time once everything was over.
    pub not_recovered: Vec<String>,
    /// Gateways that did not have the last configuration in time.
    pub behind: Vec<String>,
}

impl History {
    /// Whether anything that `counts` was under way between two times.
    pub fn overlaps(&self, from: Duration, until: Duration, counts: impl Fn(What) -> bool) -> bool {
        let during = |done: &Done| done.from <= until && done.until >= from;
        let mut done = self.done.iter();
        done.any(|done| counts(done.what) && during(done))
    }
}
