//! Quarantine of requests that crash back ends: gateways do not send these requests to back ends.
//!
//! A request may crash any process that executes it, and its caller sends it again, to any gateway.
//! Requests that run at the same time fail too and are also sent again, but these must be served.
//! Gateways therefore notify each other which requests were running when back ends crashed, and
//! which of these requests were served. Each gateway decides by the same rules.
//!
//! A shared part of prompts may crash back ends as well, in requests that are no two alike. So what is
//! quarantined is either a whole request or a part, and each has a fingerprint. A part is suspected
//! while the back end has not begun to write the response, and is cleared as soon as another response
//! on it has begun without a crash. The parts that sound requests share are cleared so all the time.
//!
//! Input: crashes and complete responses for this gateway's requests, and notices of other
//! gateways. Output: whether a request is quarantined, and the notices to send. Notices carry an
//! age, so that no clocks are compared between gateways.
//!
//! Invariants: a crash counts once, however often a notice of it is received. A request that was
//! served is cleared of all earlier crashes. No collection grows beyond the bounds below.

mod blame;
mod recent;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use gorsebank_coordination::Timestamp;
use gorsebank_world::BackEndId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Born, Fingerprint};
use recent::RecentlyServed;

pub use blame::{MIN_CRASHES, Suspect, SuspectCrashes, attribute_crashes};

/// Time after the last crash for which a request stays quarantined. Then one more attempt is
/// permitted, since an engine or an adapter may have been repaired. If a back end crashes under
/// it, the request is quarantined again at once.
pub const QUARANTINE_MS: u64 = 600_000;
/// Time for which an event is kept: three times the duration of a quarantine entry.
const RETENTION_MS: u64 = 3 * QUARANTINE_MS;
/// Maximum number of events, of about 200 bytes each; the oldest are dropped first. Each crash
/// event needs a request that was running at a back end when it crashed, so a flood of requests
/// that crash back ends causes no more events than the back ends have slots.
const MAX_EVENTS: usize = 4_096;
/// Maximum number of quarantine entries that are persisted. With [`MAX_PERSISTED_CRASHES`] crashes
/// of about 100 bytes each they fit into a row of 64 kB.
const MAX_PERSISTED_ENTRIES: usize = 60;
/// Number of crashes per request that are persisted: more than are needed to quarantine it, since
/// some may turn out to be caused by another request.
const MAX_PERSISTED_CRASHES: usize = 2 * MIN_CRASHES;
/// Time within which repeated clearances of a request count as one unless the later one clears a
/// crash, since each hop between gateways adds its own delay.
const SAME_CLEARANCE_MS: u64 = 1_000;

/// Hash of a back end's name and start time, as it is sent to other gateways. A collision only
/// counts one crash too few.
pub type IncarnationHash = u64;

/// The hash of an incarnation of a back end. Crashes of different incarnations under one name count
/// separately.
pub fn incarnation_hash(back_end: &BackEndId, born: Option<Born>) -> IncarnationHash {
    let name = xxh3_64(back_end.as_str().as_bytes());
    born.map_or(name, |Born(start)| {
        xxh3_64_with_seed(&start.to_le_bytes(), name)
    })
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The process of this back end exited while it was running the request.
    Ended(IncarnationHash),
    /// A back end sent the complete response.
    Served,
}

/// Notice from one gateway to another about the outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The outcome of the request.
    pub outcome: RunOutcome,
    /// Time since the outcome, in milliseconds.
    pub age: u64,
    /// Position of the part in the prompt if the notice concerns a part; gateways of earlier builds
    /// leave it out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<u8>,
}

impl OutcomeNotice {
    fn suspect(&self) -> Suspect {
        Suspect {
            fingerprint: self.fingerprint,
            part: self.part,
        }
    }
}

/// Position up to which one gateway has received another gateway's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPosition {
    /// Random number that identifies the sender's process.
    pub process: u64,
    /// Number of the sender's events that were received.
    pub events: u64,
}

/// Origin of an event in the distribution tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The event was observed by this gateway, or received from one of its children.
    Below,
    /// The event was received from this gateway's parent, or from another root.
    Beside,
}

/// An event. Events are stored in the order in which this gateway received them.
#[derive(Clone, Copy, Debug)]
struct Event {
    suspect: Suspect,
    outcome: RunOutcome,
    at: Timestamp,
    source: EventSource,
}

/// The crashes that count against a suspect.
#[derive(Clone, Debug, Default)]
struct CountedCrashes {
    /// Position of the part in the prompt; `None` for a whole request.
    part: Option<u8>,
    /// When each back end crashed.
    times: BTreeMap<IncarnationHash, Timestamp>,
}

impl CountedCrashes {
    fn to_suspect_crashes(&self) -> SuspectCrashes {
        SuspectCrashes {
            part: self.part,
            back_ends: self.times.keys().copied().collect(),
        }
    }
}

/// The known crashes, and the requests that are quarantined because of them.
#[derive(Debug)]
pub struct Quarantine {
    process: u64,
    events: VecDeque<Event>,
    /// Number of events that were dropped, and so the number of the first event that is kept.
    dropped: u64,
    known_crashes: HashSet<(Fingerprint, IncarnationHash)>,
    /// Crashes that count against each suspect.
    crashes: HashMap<Fingerprint, CountedCrashes>,
    cleared: HashMap<Fingerprint, Timestamp>,
    /// Back ends whose recorded exits up to a time were refuted by a later response.
    refuted: HashMap<IncarnationHash, Timestamp>,
    recently_served: RecentlyServed,
    /// Parts of prompts on which back ends have begun to write. They are few and recur, and requests
    /// must not displace them.
    recently_begun: RecentlyServed,
    /// Quarantined requests, with the time of the last crash under each.
    quarantined: HashMap<Fingerprint, Timestamp>,
    quarantine_changes: u64,
}

impl Quarantine {
    /// Starts without any events. `process` is a random number.
    pub fn new(process: u64) -> Self {
        Quarantine {
            process,
            events: VecDeque::new(),
            dropped: 0,
            known_crashes: HashSet::new(),
            crashes: HashMap::new(),
            cleared: HashMap::new(),
            refuted: HashMap::new(),
            recently_served: RecentlyServed::default(),
            recently_begun: RecentlyServed::default(),
            quarantined: HashMap::new(),
            quarantine_changes: 0,
        }
    }

    /// Remaining time for which the request is quarantined, in milliseconds; `None` if it may be
    /// sent to back ends.
    pub fn remaining_ms(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<u64> {
        let last_crash = *self.quarantined.get(&fingerprint)?;
        let left = QUARANTINE_MS.saturating_sub(shift(now).since(last_crash));
        (left > 0).then_some(left)
    }

    /// Number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// How often the set of quarantined requests has changed.
    pub fn change_count(&self) -> u64 {
        self.quarantine_changes
    }

    /// Records that a back end crashed while it was running this gateway's request, or one with this part
    /// in its prompt.
    pub fn record_crash(&mut self, now: Timestamp, suspect: Suspect, back_end: IncarnationHash) {
        let now = shift(now);
        let outcome = RunOutcome::Ended(back_end);
        self.add_event(now, suspect, outcome, now, EventSource::Below);
    }

    /// Records that a back end sent the complete response to this gateway's request and is alive.
    pub fn record_served(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let now = shift(now);
        self.recently_served.record(now, fingerprint);
        self.clear_if_suspected(now, fingerprint);
    }

    /// Records that a back end has begun to write a response to a prompt with this part, and is alive.
    pub fn record_part_begun(&mut self, now: Timestamp, part: Fingerprint) {
        let now = shift(now);
        self.recently_begun.record(now, part);
        self.clear_if_suspected(now, part);
    }

    fn clear_if_suspected(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        if let Some(crashes) = self.crashes.get(&fingerprint) {
            let suspect = Suspect {
                fingerprint,
                part: crashes.part,
            };
            self.add_event(now, suspect, RunOutcome::Served, now, EventSource::Below);
        }
    }

    /// Records that a back end was alive at `at`: exits of it that were recorded for an earlier time
    /// did not happen, and count against no request.
    pub fn refute_exits(&mut self, at: Timestamp, back_end: IncarnationHash) {
        let at = shift(at);
        let refuted = self.refuted.entry(back_end).or_insert(at);
        *refuted = at.max(*refuted);
        self.crashes.retain(|_, crashes| {
            let times = &mut crashes.times;
            if times.get(&back_end).is_some_and(|crash| *crash <= at) {
                times.remove(&back_end);
            }
            !times.is_empty()
        });
        self.update_quarantined();
    }

    fn is_refuted(&self, back_end: IncarnationHash, at: Timestamp) -> bool {
        let refuted = self.refuted.get(&back_end);
        refuted.is_some_and(|refuted| at <= *refuted)
    }

    /// Merges the notices of another gateway. Returns true if any of them was new.
    pub fn merge(
        &mut self,
        now: Timestamp,
        notices: &[OutcomeNotice],
        source: EventSource,
    ) -> bool {
        let now = shift(now);
        let mut is_new = false;
        for notice in notices.iter().filter(|notice| notice.age < RETENTION_MS) {
            let at = now - notice.age;
            is_new |= self.add_event(now, notice.suspect(), notice.outcome, at, source);
        }
        is_new
    }

    /// The position of a gateway that has received all events of this one.
    pub fn position(&self) -> EventPosition {
        EventPosition {
            process: self.process,
            events: self.dropped + self.events.len() as u64,
        }
    }

    /// Whether there are events after this position.
    pub fn is_ahead_of(&self, position: Option<EventPosition>) -> bool {
        !self.events.is_empty() && position != Some(self.position())
    }

    /// Notices of the events after a position; of all events if the position is that of another
    /// process.
    pub fn notices_since(
        &self,
        now: Timestamp,
        position: Option<EventPosition>,
    ) -> Vec<OutcomeNotice> {
        let now = shift(now);
        self.events_after(position)
            .map(|event| event.notice(now))
            .collect()
    }

    /// Like [`Quarantine::notices_since`], but only the events observed by this gateway and the
    /// gateways below it.
    pub fn subtree_notices_since(
        &self,
        now: Timestamp,
        position: Option<EventPosition>,
    ) -> Vec<OutcomeNotice> {
        let now = shift(now);
        self.events_after(position)
            .filter(|event| event.source == EventSource::Below)
            .map(|event| event.notice(now))
            .collect()
    }

    /// The newest crashes of each quarantined request, to be persisted so that they outlast this
    /// process. At most `MAX_PERSISTED_ENTRIES` requests are included, those with the latest expiry
    /// first.
    pub fn entry_notices(&self, now: Timestamp) -> Vec<OutcomeNotice> {
        let now = shift(now);
        let quarantined = self.quarantined.iter();
        let mut newest_entries: Vec<(Timestamp, Fingerprint)> = quarantined
            .map(|(fingerprint, last_crash)| (*last_crash, *fingerprint))
            .collect();
        // Ties are broken by fingerprint, so that gateways with the same entries select the
        // same subset.
        newest_entries.sort_unstable_by_key(|entry| Reverse(*entry));
        newest_entries.truncate(MAX_PERSISTED_ENTRIES);
        newest_entries
            .into_iter()
            .flat_map(|(_, fingerprint)| self.newest_crashes(now, fingerprint))
            .collect()
    }

    fn newest_crashes(&self, now: Timestamp, fingerprint: Fingerprint) -> Vec<OutcomeNotice> {
        let Some(crashes) = self.crashes.get(&fingerprint) else {
            return Vec::new();
        };
        let notice = |(back_end, at): (&IncarnationHash, &Timestamp)| OutcomeNotice {
            fingerprint,
            outcome: RunOutcome::Ended(*back_end),
            age: now.since(*at),
            part: crashes.part,
        };
        let mut notices: Vec<OutcomeNotice> = crashes.times.iter().map(notice).collect();
        notices.sort_by_key(|crash| crash.age);
        notices.truncate(MAX_PERSISTED_CRASHES);
        notices
    }

    fn events_after(&self, position: Option<EventPosition>) -> impl Iterator<Item = &Event> {
        let known = position
            .filter(|position| position.process == self.process)
            .map_or(0, |position| position.events);
        let first = known.saturating_sub(self.dropped);
        let is_valid = |event: &&Event| match event.outcome {
            RunOutcome::Ended(back_end) => !self.is_refuted(back_end, event.at),
            RunOutcome::Served => true,
        };
        self.events.iter().skip(first as usize).filter(is_valid)
    }

    /// Returns true if the event was new.
    fn add_event(
        &mut self,
        now: Timestamp,
        suspect: Suspect,
        outcome: RunOutcome,
        at: Timestamp,
        source: EventSource,
    ) -> bool {
        self.remove_expired(now);
        let is_new = match outcome {
            RunOutcome::Ended(back_end) => self.add_crash(suspect, back_end, at),
            RunOutcome::Served => self.clear_crashes(suspect.fingerprint, at),
        };
        if !is_new {
            return false;
        }
        self.events.push_back(Event {
            suspect,
            outcome,
            at,
            source,
        });
        // A request that many callers send may be running at several back ends that crash at
        // once. Gateways that have served it recently therefore clear it at once, before it is
        // quarantined for long.
        if matches!(outcome, RunOutcome::Ended(_)) && self.is_vouched_for(now, suspect.fingerprint)
        {
            self.add_event(now, suspect, RunOutcome::Served, now, EventSource::Below);
        }
        true
    }

    /// Whether this gateway has served the request, or seen a response on the part begin, of late.
    fn is_vouched_for(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.recently_served.contains(now, fingerprint)
            || self.recently_begun.contains(now, fingerprint)
    }

    /// Returns true if the crash was not known.
    fn add_crash(&mut self, suspect: Suspect, back_end: IncarnationHash, at: Timestamp) -> bool {
        let fingerprint = suspect.fingerprint;
        if self.is_refuted(back_end, at) || !self.known_crashes.insert((fingerprint, back_end)) {
            return false;
        }
        let cleared = self.cleared.get(&fingerprint);
        if cleared.is_none_or(|cleared| at > *cleared) {
            let crashes = self.crashes.entry(fingerprint).or_default();
            crashes.part = crashes.part.or(suspect.part);
            crashes.times.insert(back_end, at);
            if crashes.times.len() >= MIN_CRASHES {
                self.update_quarantined();
            }
        }
        true
    }

    /// Returns true if the clearance was not known.
    fn clear_crashes(&mut self, fingerprint: Fingerprint, at: Timestamp) -> bool {
        let known = self.cleared.get(&fingerprint).copied();
        let is_same = known.is_some_and(|known| at.since(known) < SAME_CLEARANCE_MS);
        let crashes = self.crashes.get(&fingerprint);
        let clears = crashes.is_some_and(|it| it.times.values().any(|crash| *crash <= at));
        if is_same && !clears {
            return false;
        }
        self.cleared
            .insert(fingerprint, known.map_or(at, |known| known.max(at)));
        if let Some(crashes) = self.crashes.get_mut(&fingerprint) {
            crashes.times.retain(|_, crashed_at| *crashed_at > at);
            if crashes.times.is_empty() {
                self.crashes.remove(&fingerprint);
            }
        }
        if self.quarantined.contains_key(&fingerprint) {
            self.update_quarantined();
        }
        true
    }

    /// Updates the set of quarantined requests. Only requests with enough crashes are examined, so
    /// a flood of other requests adds no cost.
    fn update_quarantined(&mut self) {
        let suspects = self.crashes.iter();
        let suspects: HashMap<Fingerprint, SuspectCrashes> = suspects
            .filter(|(_, crashes)| crashes.times.len() >= MIN_CRASHES)
            .map(|(fingerprint, crashes)| (*fingerprint, crashes.to_suspect_crashes()))
            .collect();
        let last_crash = |fingerprint: Fingerprint| {
            let last = self.crashes.get(&fingerprint)?.times.values().max()?;
            Some((fingerprint, *last))
        };
        let quarantined: HashMap<_, _> = attribute_crashes(&suspects)
            .into_iter()
            .filter_map(last_crash)
            .collect();
        let is_unchanged = quarantined.len() == self.quarantined.len()
            && quarantined
                .keys()
                .all(|known| self.quarantined.contains_key(known));
        self.quarantine_changes += u64::from(!is_unchanged);
        self.quarantined = quarantined;
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some(oldest) = self.events.front().copied() {
            if self.events.len() < MAX_EVENTS && now.since(oldest.at) < RETENTION_MS {
                return;
            }
            self.events.pop_front();
            self.dropped += 1;
            match oldest.outcome {
                RunOutcome::Ended(back_end) => {
                    let fingerprint = oldest.suspect.fingerprint;
                    self.known_crashes.remove(&(fingerprint, back_end));
                    self.remove_crash(fingerprint, back_end);
                }
                RunOutcome::Served => {
                    self.cleared.remove(&oldest.suspect.fingerprint);
                }
            }
        }
    }

    fn remove_crash(&mut self, fingerprint: Fingerprint, back_end: IncarnationHash) {
        let Some(crashes) = self.crashes.get_mut(&fingerprint) else {
            return;
        };
        crashes.times.remove(&back_end);
        if crashes.times.is_empty() {
            self.crashes.remove(&fingerprint);
        }
    }
}

/// Shifts a time so that the zero point lies before the start of this process, and older events
/// have non-negative times.
fn shift(now: Timestamp) -> Timestamp {
    now + RETENTION_MS
}

impl Event {
    fn notice(&self, now: Timestamp) -> OutcomeNotice {
        OutcomeNotice {
            fingerprint: self.suspect.fingerprint,
            outcome: self.outcome,
            age: now.since(self.at),
            part: self.suspect.part,
        }
    }
}
