//! Requests that are kept away from back ends, since back ends end under them.
//!
//! A request may end whatever process runs it, and its caller comes back with it, at any
//! gateway. What ran beside it ends too, comes back too, and must be served. So gateways tell
//! each other under which requests back ends ended, and which of those were served; each
//! decides by the same rules.
//!
//! In: ends and whole answers, of this gateway's requests and as others tell them. Out: the
//! verdict on a request, and what is to be told on. What was told counts by age, so no clock
//! is compared between gateways.
//!
//! Invariants: an end counts once however often it is told; a request that was served counts
//! as innocent of all that ended before; nothing grows beyond the bounds below.

mod blame;
mod recent;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use gorsebank_coordination::Timestamp;
use gorsebank_world::BackEndId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Born, Fingerprint};
use recent::RecentlyServed;

pub use blame::{ENDS_TO_BLAME, blame};

/// A verdict stands so long after the last end, in milliseconds; then one more try is let
/// through, since an engine or an adapter may have been mended. If a back end ends under it,
/// the verdict stands again at once.
pub const VERDICT_TIME: u64 = 600_000;
/// An end is remembered so long, in milliseconds: three verdicts.
const MEMORY: u64 = 3 * VERDICT_TIME;
/// Events that are remembered at most, about 200 bytes each; the oldest go first. Each takes
/// a request that was at a back end when it ended, so a flood of requests that end back ends
/// makes no more than their slots.
const MOST_EVENTS: usize = 4_096;
/// Verdicts that are kept where they outlast all processes, at most; with [`ENDS_KEPT`] of
/// about 100 bytes each they fit into a row of 64 kB.
const MOST_KEPT: usize = 60;
/// Ends of one request that are kept: more than blame needs, since some may be put down to
/// another request.
const ENDS_KEPT: usize = 2 * ENDS_TO_BLAME;
/// Acquittals of one request that lie closer than this are one, in milliseconds, unless the
/// later one clears an end: each hop adds the time that it took.
const SAME_ACQUITTAL: u64 = 1_000;

/// A back end's name as it is told. Names that collide would count one end too few.
pub type BackEndHash = u64;

/// A back end's name as it is told. Each life of one that starts again under its name ends for
/// itself.
pub fn hash(back_end: &BackEndId, born: Option<Born>) -> BackEndHash {
    let name = xxh3_64(back_end.as_str().as_bytes());
    born.map_or(name, |Born(start)| {
        xxh3_64_with_seed(&start.to_le_bytes(), name)
    })
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// This back end's process ended while the request was there.
    Ended(BackEndHash),
    /// A back end answered it whole.
    Served,
}

/// What one gateway tells another of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldOutcome {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What happened to it.
    pub outcome: RunOutcome,
    /// How long ago, in milliseconds.
    pub age: u64,
}

/// How far one gateway knows what another one tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The teller's process.
    pub process: u64,
    /// Events of it that are known.
    pub events: u64,
}

/// Who told of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This gateway saw it, or one that it feeds told of it.
    Below,
    /// The gateway that feeds this one, or another root, told of it.
    Beside,
}

/// An event, in the order in which this gateway learned of it.
#[derive(Clone, Copy, Debug)]
struct Event {
    fingerprint: Fingerprint,
    outcome: RunOutcome,
    at: Timestamp,
    source: Source,
}

/// What is known of requests under which back ends ended.
#[derive(Debug)]
pub struct Quarantine {
    process: u64,
    events: VecDeque<Event>,
    /// Events that were forgotten: the number of the first one kept.
    forgotten: u64,
    known: HashSet<(Fingerprint, BackEndHash)>,
    /// Ends that count against each request, and when they were.
    ends: HashMap<Fingerprint, BTreeMap<BackEndHash, Timestamp>>,
    acquitted: HashMap<Fingerprint, Timestamp>,
    served: RecentlyServed,
    /// Requests that are kept away, and when the last end under each was.
    verdicts: HashMap<Fingerprint, Timestamp>,
    verdict_changes: u64,
}

impl Quarantine {
    /// Nothing is known yet. `process` is a random number.
    pub fn new(process: u64) -> Self {
        Quarantine {
            process,
            events: VecDeque::new(),
            forgotten: 0,
            known: HashSet::new(),
            ends: HashMap::new(),
            acquitted: HashMap::new(),
            served: RecentlyServed::default(),
            verdicts: HashMap::new(),
            verdict_changes: 0,
        }
    }

    /// How much longer the request is kept away from back ends, in milliseconds; none if it
    /// may be sent.
    pub fn verdict(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<u64> {
        let last_end = *self.verdicts.get(&fingerprint)?;
        let left = VERDICT_TIME.saturating_sub(since_before_start(now).since(last_end));
        (left > 0).then_some(left)
    }

    /// How many requests there is a verdict on.
    pub fn verdict_count(&self) -> usize {
        self.verdicts.len()
    }

    /// How often other requests than before were kept away.
    pub fn verdict_changes(&self) -> u64 {
        self.verdict_changes
    }

    /// A back end ended while this gateway's request was there.
    pub fn note_end(&mut self, now: Timestamp, fingerprint: Fingerprint, back_end: BackEndHash) {
        let now = since_before_start(now);
        let outcome = RunOutcome::Ended(back_end);
        self.take_in(now, fingerprint, outcome, now, Source::Below);
    }

    /// A back end answered this gateway's request whole, and lives.
    pub fn note_served(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let now = since_before_start(now);
        self.served.note(now, fingerprint);
        if self.ends.contains_key(&fingerprint) {
            self.take_in(now, fingerprint, RunOutcome::Served, now, Source::Below);
        }
    }

    /// Another gateway tells of events. True if any was news.
    pub fn take(&mut self, now: Timestamp, told: &[ToldOutcome], source: Source) -> bool {
        let now = since_before_start(now);
        let mut is_news = false;
        for event in told.iter().filter(|event| event.age < MEMORY) {
            let at = now - event.age;
            is_news |= self.take_in(now, event.fingerprint, event.outcome, at, source);
        }
        is_news
    }

    /// Where one is who knows everything that this gateway does.
    pub fn position(&self) -> Position {
        Position {
            process: self.process,
            events: self.forgotten + self.events.len() as u64,
        }
    }

    /// Whether there is anything to tell one who is at this position.
    pub fn is_ahead_of(&self, position: Option<Position>) -> bool {
        !self.events.is_empty() && position != Some(self.position())
    }

    /// Events after a position; all that are remembered if it is another process's.
    pub fn since(&self, now: Timestamp, position: Option<Position>) -> Vec<ToldOutcome> {
        let now = since_before_start(now);
        self.from(position)
            .map(|event| event.told_at(now))
            .collect()
    }

    /// The same, of what this gateway and those that it feeds saw.
    pub fn seen_below_since(&self, now: Timestamp, position: Option<Position>) -> Vec<ToldOutcome> {
        let now = since_before_start(now);
        self.from(position)
            .filter(|event| event.source == Source::Below)
            .map(|event| event.told_at(now))
            .collect()
    }

    /// The ends that verdicts hang on, the newest of each request: to be kept where they
    /// outlast this process. At most `MOST_KEPT` verdicts are included, latest expiry first.
    pub fn verdict_events(&self, now: Timestamp) -> Vec<ToldOutcome> {
        let now = since_before_start(now);
        let verdicts = self.verdicts.iter();
        let mut newest_verdicts: Vec<(Timestamp, Fingerprint)> = verdicts
            .map(|(fingerprint, last_end)| (*last_end, *fingerprint))
            .collect();
        // Ties are broken by fingerprint, so that gateways with the same verdicts select the
        // same subset.
        newest_verdicts.sort_unstable_by_key(|verdict| Reverse(*verdict));
        newest_verdicts.truncate(MOST_KEPT);
        newest_verdicts
            .into_iter()
            .flat_map(|(_, fingerprint)| self.newest_ends(now, fingerprint))
            .collect()
    }

    fn newest_ends(&self, now: Timestamp, fingerprint: Fingerprint) -> Vec<ToldOutcome> {
        let ends = self.ends.get(&fingerprint).into_iter().flatten();
        let mut told: Vec<ToldOutcome> = ends
            .map(|(back_end, at)| ToldOutcome {
                fingerprint,
                outcome: RunOutcome::Ended(*back_end),
                age: now.since(*at),
            })
            .collect();
        told.sort_by_key(|end| end.age);
        told.truncate(ENDS_KEPT);
        told
    }

    fn from(&self, position: Option<Position>) -> impl Iterator<Item = &Event> {
        let known = position
            .filter(|position| position.process == self.process)
            .map_or(0, |position| position.events);
        let first = known.saturating_sub(self.forgotten);
        self.events.iter().skip(first as usize)
    }

    /// True if it was news.
    fn take_in(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        outcome: RunOutcome,
        at: Timestamp,
        source: Source,
    ) -> bool {
        self.forget_old(now);
        let is_news = match outcome {
            RunOutcome::Ended(back_end) => self.accuse(fingerprint, back_end, at),
            RunOutcome::Served => self.acquit(fingerprint, at),
        };
        if !is_news {
            return false;
        }
        self.events.push_back(Event {
            fingerprint,
            outcome,
            at,
            source,
        });
        // A request that many callers make may be at several back ends that end at once. The
        // gateways that served it of late say so before it is kept away for long.
        if matches!(outcome, RunOutcome::Ended(_)) && self.served.contains(now, fingerprint) {
            self.take_in(now, fingerprint, RunOutcome::Served, now, Source::Below);
        }
        true
    }

    /// True if it was not known.
    fn accuse(&mut self, fingerprint: Fingerprint, back_end: BackEndHash, at: Timestamp) -> bool {
        if !self.known.insert((fingerprint, back_end)) {
            return false;
        }
        let acquitted = self.acquitted.get(&fingerprint);
        if acquitted.is_none_or(|acquitted| at > *acquitted) {
            let ends = self.ends.entry(fingerprint).or_default();
            ends.insert(back_end, at);
            if ends.len() >= ENDS_TO_BLAME {
                self.judge();
            }
        }
        true
    }

    /// True if it was not known.
    fn acquit(&mut self, fingerprint: Fingerprint, at: Timestamp) -> bool {
        let known = self.acquitted.get(&fingerprint).copied();
        let is_same = known.is_some_and(|known| at.since(known) < SAME_ACQUITTAL);
        let ends = self.ends.get(&fingerprint).into_iter().flatten();
        let clears = ends.into_iter().any(|(_, ended)| *ended <= at);
        if is_same && !clears {
            return false;
        }
        self.acquitted
            .insert(fingerprint, known.map_or(at, |known| known.max(at)));
        if let Some(ends) = self.ends.get_mut(&fingerprint) {
            ends.retain(|_, ended| *ended > at);
            if ends.is_empty() {
                self.ends.remove(&fingerprint);
            }
        }
        if self.verdicts.contains_key(&fingerprint) {
            self.judge();
        }
        true
    }

    /// Only requests with ends enough are looked at: a flood of others costs nothing here.
    fn judge(&mut self) {
        let suspects = self.ends.iter();
        let suspects: HashMap<Fingerprint, BTreeSet<BackEndHash>> = suspects
            .filter(|(_, ends)| ends.len() >= ENDS_TO_BLAME)
            .map(|(fingerprint, ends)| (*fingerprint, ends.keys().copied().collect()))
            .collect();
        let last_end = |fingerprint: Fingerprint| {
            let last = self.ends.get(&fingerprint)?.values().max()?;
            Some((fingerprint, *last))
        };
        let verdicts: HashMap<_, _> = blame(&suspects).into_iter().filter_map(last_end).collect();
        let same = verdicts.len() == self.verdicts.len()
            && verdicts
                .keys()
                .all(|known| self.verdicts.contains_key(known));
        self.verdict_changes += u64::from(!same);
        self.verdicts = verdicts;
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some(oldest) = self.events.front().copied() {
            if self.events.len() < MOST_EVENTS && now.since(oldest.at) < MEMORY {
                return;
            }
            self.events.pop_front();
            self.forgotten += 1;
            match oldest.outcome {
                RunOutcome::Ended(back_end) => {
                    self.known.remove(&(oldest.fingerprint, back_end));
                    self.forget_end(oldest.fingerprint, back_end);
                }
                RunOutcome::Served => {
                    self.acquitted.remove(&oldest.fingerprint);
                }
            }
        }
    }

    fn forget_end(&mut self, fingerprint: Fingerprint, back_end: BackEndHash) {
        let Some(ends) = self.ends.get_mut(&fingerprint) else {
            return;
        };
        ends.remove(&back_end);
        if ends.is_empty() {
            self.ends.remove(&fingerprint);
        }
    }
}

/// Time that begins before this process did, so that older events have a place in it.
fn since_before_start(now: Timestamp) -> Timestamp {
    now + MEMORY
}

impl Event {
    fn told_at(&self, now: Timestamp) -> ToldOutcome {
        ToldOutcome {
            fingerprint: self.fingerprint,
            outcome: self.outcome,
            age: now.since(self.at),
        }
    }
}
