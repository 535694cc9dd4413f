//! The request queue of one model or service, on the node that owns the queue.
//!
//! In: tickets, released slots, the replica set, time. Out: grants, refusals and
//! recalls of slots. Interactive tickets precede batch tickets, and within a
//! class the earliest deadline comes first. A ticket that cannot be served by its
//! deadline is refused as soon as that is known.

use crate::collections::HashMap;
use std::collections::BTreeMap;

use gorsebank_contract::{
    Fence, Grant, PriorityClass, Refusal, RefusalReason, ReplicaSet, Ticket, TicketId,
};
use gorsebank_world::{BackEndId, NodeId, QueueKey};

use crate::settings::RoutingSettings;
use crate::time::Timestamp;

/// Time after a grant during which the front's report of held slots is ignored,
/// in milliseconds. The report may have been written before the grant arrived.
const REPORT_IGNORE_MS: u64 = 2_000;
/// Weight of the newest service time in the moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Minimum `Retry-After`, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Interval between two recalls of unused slots while requests wait, in
/// milliseconds.
const RECALL_INTERVAL_MS: u64 = 1_000;
/// Number of grants within the grant validity from which a front gets credits.
const MIN_GRANTS_FOR_CREDITS: u32 = 4;
/// Time after which a queue without tickets and running requests is removed, in
/// milliseconds.
const IDLE_QUEUE_RETENTION_MS: u64 = 60_000;

/// A decision about one ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The front may send the request.
    Grant(NodeId, Grant),
    /// The front must refuse the request.
    Refuse(NodeId, TicketId, Refusal),
    /// The front must return its unused slots.
    Recall(NodeId, QueueKey),
}

/// A replica that the queue may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The back end.
    pub back_end: BackEndId,
    /// Number of concurrent requests at full speed.
    pub slots: u32,
}

/// Sort key of a waiting ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TicketSortKey {
    class: PriorityClass,
    deadline: Timestamp,
    number: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    front: NodeId,
    id: TicketId,
}

#[derive(Clone, Debug)]
struct ReplicaUse {
    slots: u32,
    /// Number of slots that each front holds.
    held: BTreeMap<NodeId, u32>,
    suspended_until: Timestamp,
}

impl ReplicaUse {
    fn used(&self) -> u32 {
        self.held.values().sum()
    }

    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.used())
    }
}

/// Grants to one front: the time of the last grant, and the number of grants since
/// a time.
#[derive(Clone, Copy, Debug)]
struct GrantRecord {
    last: Timestamp,
    since: Timestamp,
    count: u32,
}

/// The request queue of one model or service, and the use of its replicas.
#[derive(Debug)]
pub struct ModelQueue {
    key: QueueKey,
    waiting: BTreeMap<TicketSortKey, Waiting>,
    sort_keys: HashMap<TicketId, TicketSortKey>,
    replicas: BTreeMap<BackEndId, ReplicaUse>,
    replica_version: (Fence, u64),
    expected: Option<Timestamp>,
    no_place_until: Option<Timestamp>,
    last_number: u64,
    /// Mean service time in milliseconds, once a service time was recorded.
    service_time: Option<f64>,
    granted: BTreeMap<NodeId, GrantRecord>,
    last_recall: Timestamp,
    has_reported_use: bool,
    last_used: Timestamp,
    last_demand: Option<Timestamp>,
}

impl ModelQueue {
    /// Creates an empty queue.
    pub fn new(key: QueueKey, now: Timestamp) -> Self {
        ModelQueue {
            key,
            waiting: BTreeMap::new(),
            sort_keys: HashMap::default(),
            replicas: BTreeMap::new(),
            replica_version: (Fence(0), 0),
            expected: None,
            no_place_until: None,
            last_number: 0,
            service_time: None,
            granted: BTreeMap::new(),
            last_recall: Timestamp(0),
            has_reported_use: false,
            last_used: now,
            last_demand: None,
        }
    }

    /// Adds a ticket, or refuses it if the queue is full. A ticket that waits
    /// already keeps its position.
    pub fn offer(
        &mut self,
        now: Timestamp,
        front: NodeId,
        ticket: &Ticket,
        settings: &RoutingSettings,
    ) -> Option<Decision> {
        self.last_used = now;
        if self.sort_keys.contains_key(&ticket.id) {
            return None;
        }
        if self.waiting.len() >= settings.queue_limit {
            let refusal = Refusal::not_run(RefusalReason::NoCapacity, Some(self.retry_after(now)));
            return Some(Decision::Refuse(front, ticket.id, refusal));
        }
        self.last_number += 1;
        let sort_key = TicketSortKey {
            class: ticket.class,
            deadline: now + ticket.remaining,
            number: self.last_number,
        };
        self.sort_keys.insert(ticket.id, sort_key);
        self.waiting.insert(
            sort_key,
            Waiting {
                front,
                id: ticket.id,
            },
        );
        None
    }

    /// Removes a ticket.
    pub fn cancel(&mut self, id: TicketId) {
        if let Some(sort_key) = self.sort_keys.remove(&id) {
            self.waiting.remove(&sort_key);
        }
    }

    /// Removes all tickets and returns them, to be offered to another owner.
    pub fn return_tickets(&mut self) -> Vec<(NodeId, TicketId)> {
        self.sort_keys.clear();
        std::mem::take(&mut self.waiting)
            .into_values()
            .map(|waiting| (waiting.front, waiting.id))
            .collect()
    }

    /// Releases slots that a front held.
    pub fn release(&mut self, now: Timestamp, front: &NodeId, back_end: &BackEndId, slots: u32) {
        self.last_used = now;
        let Some(replica) = self.replicas.get_mut(back_end) else {
            return;
        };
        if let Some(held) = replica.held.get_mut(front) {
            *held = held.saturating_sub(slots);
        }
        replica.held.retain(|_, held| *held > 0);
    }

    /// Records the time of a request from its grant to the release of its slot.
    pub fn record_service_time(&mut self, milliseconds: u64) {
        let newest = milliseconds as f64;
        let mean = self.service_time.unwrap_or(newest);
        self.service_time = Some(mean + SERVICE_TIME_WEIGHT * (newest - mean));
    }

    /// Replaces the number of slots that a front holds by the front's own report.
    pub fn apply_held_report(
        &mut self,
        now: Timestamp,
        front: &NodeId,
        held: &HashMap<&BackEndId, u32>,
    ) {
        let has_recent_grant = self
            .granted
            .get(front)
            .is_some_and(|record| now.since(record.last) < REPORT_IGNORE_MS);
        if has_recent_grant {
            return;
        }
        for (back_end, replica) in &mut self.replicas {
            match held.get(back_end) {
                Some(slots) => {
                    replica.held.insert(front.clone(), *slots);
                }
                None => {
                    replica.held.remove(front);
                }
            }
        }
    }

    /// Suspends grants for a back end that rejected a request.
    pub fn suspend(&mut self, back_end: &BackEndId, until: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(back_end) {
            replica.suspended_until = until;
        }
    }

    /// Removes the slots and the tickets of a front that is no longer alive.
    pub fn remove_front(&mut self, front: &NodeId) {
        for replica in self.replicas.values_mut() {
            replica.held.remove(front);
        }
        self.granted.remove(front);
        let removed: Vec<TicketId> = self
            .waiting
            .values()
            .filter(|waiting| waiting.front == *front)
            .map(|waiting| waiting.id)
            .collect();
        for id in removed {
            self.cancel(id);
        }
    }

    /// Fronts that hold slots or have waiting tickets.
    pub fn fronts(&self) -> Vec<NodeId> {
        let holding = self
            .replicas
            .values()
            .flat_map(|replica| replica.held.keys());
        let waiting = self.waiting.values().map(|waiting| &waiting.front);
        let mut fronts: Vec<NodeId> = holding.chain(waiting).cloned().collect();
        fronts.sort();
        fronts.dedup();
        fronts
    }

    /// Applies the placement holder's replica set, and returns `false` if the set
    /// is outdated. `usable` lists its replicas on back ends that accept requests.
    pub fn set_replicas(&mut self, now: Timestamp, set: &ReplicaSet, usable: Vec<Replica>) -> bool {
        let version = (set.fence, set.version);
        if version < self.replica_version {
            return false;
        }
        self.replica_version = version;
        self.expected = set.expected.map(|remaining| now + remaining);
        self.no_place_until = set.retry_after_ms.map(|remaining| now + remaining);
        self.use_replicas(usable);
        true
    }

    /// Replaces the replicas. The held slots and the suspension of a back end that
    /// stays in the list are kept.
    pub fn use_replicas(&mut self, usable: Vec<Replica>) {
        let mut previous = std::mem::take(&mut self.replicas);
        for replica in usable {
            let known = previous.remove(&replica.back_end);
            let held = known.as_ref().map(|known| known.held.clone());
            let replica_use = ReplicaUse {
                slots: replica.slots,
                held: held.unwrap_or_default(),
                suspended_until: known.map_or(Timestamp(0), |known| known.suspended_until),
            };
            self.replicas.insert(replica.back_end, replica_use);
        }
    }

    /// Removes a back end that is draining or no longer listed.
    pub fn remove_back_end(&mut self, back_end: &BackEndId) {
        self.replicas.remove(back_end);
    }

    /// Grants free slots to waiting tickets, refuses the tickets that cannot be
    /// served in time, and recalls unused slots.
    pub fn process(&mut self, now: Timestamp, settings: &RoutingSettings) -> Vec<Decision> {
        let mut decisions = self.refuse_unservable(now);
        while let Some(decision) = self.grant_first(now, settings) {
            decisions.push(decision);
        }
        decisions.extend(self.recall(now));
        decisions
    }

    /// Recalls unused slots from the fronts while requests wait for slots.
    fn recall(&mut self, now: Timestamp) -> Vec<Decision> {
        let is_due = now.since(self.last_recall) >= RECALL_INTERVAL_MS;
        if self.waiting.is_empty() || !is_due || self.running_count() == 0 {
            return Vec::new();
        }
        self.last_recall = now;
        self.fronts()
            .into_iter()
            .map(|front| Decision::Recall(front, self.key.clone()))
            .collect()
    }

    fn grant_first(&mut self, now: Timestamp, settings: &RoutingSettings) -> Option<Decision> {
        let sort_key = *self.waiting.first_key_value()?.0;
        let back_end = self.choose_back_end(now, sort_key.class, settings)?;
        let waiting = self.waiting.remove(&sort_key)?;
        self.sort_keys.remove(&waiting.id);
        let record = self.record_grant(now, &waiting.front, settings.grant_validity);
        let is_steady = record.count >= MIN_GRANTS_FOR_CREDITS;
        let free = self.replicas.get(&back_end).map_or(0, ReplicaUse::free);
        let slots = self.replicas.get(&back_end).map_or(0, |it| it.slots);
        let retainable = self.waiting.is_empty() && free > slots / 4;
        let credits = if is_steady && retainable {
            (free / 4).min(settings.credit_limit)
        } else {
            0
        };
        let replica = self.replicas.get_mut(&back_end)?;
        *replica.held.entry(waiting.front.clone()).or_default() += 1 + credits;
        let grant = Grant {
            id: waiting.id,
            queue: self.key.clone(),
            back_end,
            credits,
            retainable,
        };
        Some(Decision::Grant(waiting.front, grant))
    }

    fn choose_back_end(
        &self,
        now: Timestamp,
        class: PriorityClass,
        settings: &RoutingSettings,
    ) -> Option<BackEndId> {
        self.replicas
            .iter()
            .filter(|(_, replica)| replica.suspended_until <= now)
            .filter(|(_, replica)| replica.used() < allowed_slots(replica.slots, class, settings))
            .max_by_key(|(_, replica)| replica.free())
            .map(|(back_end, _)| back_end.clone())
    }

    fn record_grant(&mut self, now: Timestamp, front: &NodeId, window: u64) -> GrantRecord {
        let record = self.granted.entry(front.clone()).or_insert(GrantRecord {
            last: now,
            since: now,
            count: 0,
        });
        if now.since(record.since) > window {
            record.since = now;
            record.count = 0;
        }
        record.last = now;
        record.count += 1;
        *record
    }

    fn refuse_unservable(&mut self, now: Timestamp) -> Vec<Decision> {
        let unservable: Vec<(TicketSortKey, Refusal)> = self
            .waiting
            .keys()
            .enumerate()
            .filter_map(|(position, sort_key)| {
                self.refusal_for(now, position, sort_key)
                    .map(|refusal| (*sort_key, refusal))
            })
            .collect();
        let mut decisions = Vec::new();
        for (sort_key, refusal) in unservable {
            if let Some(waiting) = self.waiting.remove(&sort_key) {
                self.sort_keys.remove(&waiting.id);
                decisions.push(Decision::Refuse(waiting.front, waiting.id, refusal));
            }
        }
        decisions
    }

    fn refusal_for(
        &self,
        now: Timestamp,
        position: usize,
        sort_key: &TicketSortKey,
    ) -> Option<Refusal> {
        if sort_key.deadline <= now {
            let retry_after = Some(self.retry_after(now));
            return Some(Refusal::not_run(RefusalReason::DeadlinePassed, retry_after));
        }
        if let Some(until) = self.no_place_until
            && until > now
            && self.replicas.is_empty()
        {
            let retry_after = Some(until.since(now).max(MIN_RETRY_AFTER_MS));
            return Some(Refusal::not_run(RefusalReason::NoPlace, retry_after));
        }
        let start = self.expected_start(now, position)?;
        if start <= sort_key.deadline {
            return None;
        }
        let retry_after = Some(self.retry_after(now));
        Some(Refusal::not_run(RefusalReason::NoCapacity, retry_after))
    }

    /// The expected start of the ticket at `position`, if it can be estimated.
    fn expected_start(&self, now: Timestamp, position: usize) -> Option<Timestamp> {
        let slots: u32 = self.replicas.values().map(|replica| replica.slots).sum();
        if slots == 0 {
            return self.expected.map(|ready| ready.max(now));
        }
        let rounds = position as f64 / f64::from(slots);
        Some(now + (rounds * self.service_time?) as u64)
    }

    /// Expected time until a new ticket would start, in milliseconds, and at least
    /// the minimum `Retry-After`.
    fn retry_after(&self, now: Timestamp) -> u64 {
        self.expected_start(now, self.waiting.len())
            .map_or(MIN_RETRY_AFTER_MS, |start| start.since(now))
            .max(MIN_RETRY_AFTER_MS)
    }

    /// Fence and version of the replica set that is in use.
    pub fn replica_version(&self) -> (Fence, u64) {
        self.replica_version
    }

    /// Number of waiting tickets.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Number of slots that fronts hold.
    pub fn running_count(&self) -> u32 {
        self.replicas.values().map(ReplicaUse::used).sum()
    }

    /// Milliseconds until the earliest deadline of a waiting ticket.
    pub fn time_to_earliest_deadline(&self, now: Timestamp) -> Option<u64> {
        self.waiting
            .keys()
            .map(|sort_key| sort_key.deadline)
            .min()
            .map(|deadline| deadline.since(now))
    }

    /// Whether a demand report to the placement holder is due. Reports are sent
    /// every `waiting_every` milliseconds while tickets wait, every `used_every`
    /// milliseconds while only requests run, and once when the use has ended.
    pub fn take_due_report(&mut self, now: Timestamp, waiting_every: u64, used_every: u64) -> bool {
        let interval = if !self.waiting.is_empty() {
            waiting_every
        } else if self.running_count() > 0 {
            used_every
        } else {
            return std::mem::take(&mut self.has_reported_use);
        };
        let is_due = self
            .last_demand
            .is_none_or(|last| now.since(last) >= interval);
        if is_due {
            self.last_demand = Some(now);
            self.has_reported_use = true;
        }
        is_due
    }

    /// Whether the queue is unused for long enough to be removed.
    pub fn is_removable(&self, now: Timestamp) -> bool {
        self.waiting.is_empty()
            && self.running_count() == 0
            && now.since(self.last_used) > IDLE_QUEUE_RETENTION_MS
    }
}

fn allowed_slots(slots: u32, class: PriorityClass, settings: &RoutingSettings) -> u32 {
    match class {
        PriorityClass::Interactive => slots,
        PriorityClass::Batch => ((f64::from(slots) * settings.batch_share) as u32).max(1),
    }
}
