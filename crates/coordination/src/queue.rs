//! The one waiting queue of a model, kept by its owner.
//!
//! In: tickets, released slots, the replica set, time. Out: grants and
//! refusals, each as soon as it is known. Interactive tickets go before batch
//! tickets, and within a class the earliest deadline goes first. A ticket that
//! can no longer be served in time is refused the moment that is known.

use crate::collections::HashMap;
use std::collections::BTreeMap;

use gorsebank_contract::{
    Fence, Grant, PriorityClass, Refusal, RefusalReason, ReplicaSet, Ticket, TicketId,
};
use gorsebank_world::{BackEndId, NodeId, QueueKey};

use crate::settings::RoutingSettings;
use crate::time::Timestamp;

/// A front's account of its slots is not taken for so long after a grant to
/// it, in milliseconds: it may have been written before the grant came.
const ACCOUNT_DELAY: u64 = 2_000;
/// Weight of the newest service time in the running mean.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Least `Retry-After`, in milliseconds.
const MIN_RETRY_AFTER: u64 = 1_000;
/// Fronts are asked for unused slots so often while requests wait.
const RECALL_INTERVAL: u64 = 1_000;
/// A front that got so many grants within the life of one gets credits.
const STEADY_GRANTS: u32 = 4;
/// Queues without tickets and running requests are dropped after so long.
const IDLE_QUEUE_LIFE: u64 = 60_000;

/// A decision about one ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The front may send the request.
    Grant(NodeId, Grant),
    /// The front must refuse the request.
    Refuse(NodeId, TicketId, Refusal),
    /// The front must give back slots that are not in use.
    Recall(NodeId, QueueKey),
}

/// A replica that the queue may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The back end.
    pub back_end: BackEndId,
    /// Requests that it runs at once at full speed.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
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
    /// Slots that each front holds.
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

/// Grants to one front: the last, and how many since when.
#[derive(Clone, Copy, Debug)]
struct GrantRecord {
    last: Timestamp,
    since: Timestamp,
    count: u32,
}

/// One model's waiting queue and the use of its replicas.
#[derive(Debug)]
pub struct ModelQueue {
    key: QueueKey,
    waiting: BTreeMap<Place, Waiting>,
    places: HashMap<TicketId, Place>,
    replicas: BTreeMap<BackEndId, ReplicaUse>,
    replica_version: (Fence, u64),
    expected: Option<Timestamp>,
    no_place_until: Option<Timestamp>,
    numbers: u64,
    /// Mean service time in milliseconds, once any was seen.
    service_time: Option<f64>,
    granted: BTreeMap<NodeId, GrantRecord>,
    last_recall: Timestamp,
    reported_use: bool,
    last_used: Timestamp,
    last_demand: Option<Timestamp>,
}

impl ModelQueue {
    /// An empty queue.
    pub fn new(key: QueueKey, now: Timestamp) -> Self {
        ModelQueue {
            key,
            waiting: BTreeMap::new(),
            places: HashMap::default(),
            replicas: BTreeMap::new(),
            replica_version: (Fence(0), 0),
            expected: None,
            no_place_until: None,
            numbers: 0,
            service_time: None,
            granted: BTreeMap::new(),
            last_recall: Timestamp(0),
            reported_use: false,
            last_used: now,
            last_demand: None,
        }
    }

    /// Takes in a ticket; one that waits already is left where it is.
    pub fn offer(
        &mut self,
        now: Timestamp,
        front: NodeId,
        ticket: &Ticket,
        settings: &RoutingSettings,
    ) -> Option<Decision> {
        self.last_used = now;
        if self.places.contains_key(&ticket.id) {
            return None;
        }
        if self.waiting.len() >= settings.queue_limit {
            let refusal = Refusal::not_run(RefusalReason::NoCapacity, Some(self.retry_after(now)));
            return Some(Decision::Refuse(front, ticket.id, refusal));
        }
        self.numbers += 1;
        let place = Place {
            class: ticket.class,
            deadline: now + ticket.remaining,
            number: self.numbers,
        };
        self.places.insert(ticket.id, place);
        self.waiting.insert(
            place,
            Waiting {
                front,
                id: ticket.id,
            },
        );
        None
    }

    /// Takes a ticket out.
    pub fn cancel(&mut self, id: TicketId) {
        if let Some(place) = self.places.remove(&id) {
            self.waiting.remove(&place);
        }
    }

    /// Takes all tickets out, to be offered elsewhere.
    pub fn hand_back(&mut self) -> Vec<(NodeId, TicketId)> {
        self.places.clear();
        std::mem::take(&mut self.waiting)
            .into_values()
            .map(|waiting| (waiting.front, waiting.id))
            .collect()
    }

    /// Gives slots back that a front held.
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

    /// Notes how long a request took from grant to release.
    pub fn note_service_time(&mut self, milliseconds: u64) {
        let newest = milliseconds as f64;
        let mean = self.service_time.unwrap_or(newest);
        self.service_time = Some(mean + SERVICE_TIME_WEIGHT * (newest - mean));
    }

    /// Takes a front's own account of the slots that it holds.
    pub fn correct_held(
        &mut self,
        now: Timestamp,
        front: &NodeId,
        held: &HashMap<&BackEndId, u32>,
    ) {
        let is_fresh = self
            .granted
            .get(front)
            .is_some_and(|record| now.since(record.last) < ACCOUNT_DELAY);
        if is_fresh {
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

    /// Spares a back end that turned a request away.
    pub fn suspend(&mut self, back_end: &BackEndId, until: Timestamp) {
        if let Some(replica) = self.replicas.get_mut(back_end) {
            replica.suspended_until = until;
        }
    }

    /// Forgets what a front held that is gone, and the tickets it offered.
    pub fn forget_front(&mut self, front: &NodeId) {
        for replica in self.replicas.values_mut() {
            replica.held.remove(front);
        }
        self.granted.remove(front);
        let gone: Vec<TicketId> = self
            .waiting
            .values()
            .filter(|waiting| waiting.front == *front)
            .map(|waiting| waiting.id)
            .collect();
        for id in gone {
            self.cancel(id);
        }
    }

    /// Fronts that hold slots or wait.
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

    /// Takes in the placement holder's replica set, unless it is outdated.
    /// `usable` are those of its back ends that may get work.
    pub fn set_replicas(&mut self, now: Timestamp, set: &ReplicaSet, usable: Vec<Replica>) -> bool {
        let version = (set.fence, set.version);
        if version < self.replica_version {
            return false;
        }
        self.replica_version = version;
        self.expected = set.expected.map(|remaining| now + remaining);
        self.no_place_until = set.no_place.map(|remaining| now + remaining);
        self.use_replicas(usable);
        true
    }

    /// Replaces the replicas, keeping what is known of their use.
    pub fn use_replicas(&mut self, usable: Vec<Replica>) {
        let mut former = std::mem::take(&mut self.replicas);
        for replica in usable {
            let known = former.remove(&replica.back_end);
            let held = known.as_ref().map(|known| known.held.clone());
            let replica_use = ReplicaUse {
                slots: replica.slots,
                held: held.unwrap_or_default(),
                suspended_until: known.map_or(Timestamp(0), |known| known.suspended_until),
            };
            self.replicas.insert(replica.back_end, replica_use);
        }
    }

    /// Takes a back end out that is leaving or gone.
    pub fn remove_back_end(&mut self, back_end: &BackEndId) {
        self.replicas.remove(back_end);
    }

    /// Grants what can be granted and refuses what can no longer be served.
    pub fn pump(&mut self, now: Timestamp, settings: &RoutingSettings) -> Vec<Decision> {
        let mut decisions = self.refuse_hopeless(now);
        while let Some(decision) = self.grant_next(now, settings) {
            decisions.push(decision);
        }
        decisions.extend(self.recall(now));
        decisions
    }

    /// While requests wait for want of slots, fronts give back what they keep.
    fn recall(&mut self, now: Timestamp) -> Vec<Decision> {
        let is_due = now.since(self.last_recall) >= RECALL_INTERVAL;
        if self.waiting.is_empty() || !is_due || self.running_count() == 0 {
            return Vec::new();
        }
        self.last_recall = now;
        self.fronts()
            .into_iter()
            .map(|front| Decision::Recall(front, self.key.clone()))
            .collect()
    }

    fn grant_next(&mut self, now: Timestamp, settings: &RoutingSettings) -> Option<Decision> {
        let place = *self.waiting.first_key_value()?.0;
        let back_end = self.choose(now, place.class, settings)?;
        let waiting = self.waiting.remove(&place)?;
        self.places.remove(&waiting.id);
        let record = self.note_grant(now, &waiting.front, settings.grant_validity);
        let is_steady = record.count >= STEADY_GRANTS;
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

    fn choose(
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

    fn note_grant(&mut self, now: Timestamp, front: &NodeId, window: u64) -> GrantRecord {
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

    fn refuse_hopeless(&mut self, now: Timestamp) -> Vec<Decision> {
        let hopeless: Vec<(Place, Refusal)> = self
            .waiting
            .keys()
            .enumerate()
            .filter_map(|(position, place)| {
                self.judge(now, position, place)
                    .map(|refusal| (*place, refusal))
            })
            .collect();
        let mut decisions = Vec::new();
        for (place, refusal) in hopeless {
            if let Some(waiting) = self.waiting.remove(&place) {
                self.places.remove(&waiting.id);
                decisions.push(Decision::Refuse(waiting.front, waiting.id, refusal));
            }
        }
        decisions
    }

    fn judge(&self, now: Timestamp, position: usize, place: &Place) -> Option<Refusal> {
        if place.deadline <= now {
            let retry_after = Some(self.retry_after(now));
            return Some(Refusal::not_run(RefusalReason::DeadlinePassed, retry_after));
        }
        if let Some(until) = self.no_place_until
            && until > now
            && self.replicas.is_empty()
        {
            let retry_after = Some(until.since(now).max(MIN_RETRY_AFTER));
            return Some(Refusal::not_run(RefusalReason::NoPlace, retry_after));
        }
        let start = self.expected_start(now, position)?;
        if start <= place.deadline {
            return None;
        }
        let retry_after = Some(self.retry_after(now));
        Some(Refusal::not_run(RefusalReason::NoCapacity, retry_after))
    }

    /// When the ticket at `position` is expected to start, if that is known.
    fn expected_start(&self, now: Timestamp, position: usize) -> Option<Timestamp> {
        let slots: u32 = self.replicas.values().map(|replica| replica.slots).sum();
        if slots == 0 {
            return self.expected.map(|ready| ready.max(now));
        }
        let rounds = position as f64 / f64::from(slots);
        Some(now + (rounds * self.service_time?) as u64)
    }

    /// When a new ticket would be expected to start, in milliseconds from now.
    fn retry_after(&self, now: Timestamp) -> u64 {
        self.expected_start(now, self.waiting.len())
            .map_or(MIN_RETRY_AFTER, |start| start.since(now))
            .max(MIN_RETRY_AFTER)
    }

    /// Fence and version of the replica set that is in use.
    pub fn replica_version(&self) -> (Fence, u64) {
        self.replica_version
    }

    /// Tickets that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Slots that fronts hold.
    pub fn running_count(&self) -> u32 {
        self.replicas.values().map(ReplicaUse::used).sum()
    }

    /// Time left of the most urgent ticket.
    pub fn most_urgent(&self, now: Timestamp) -> Option<u64> {
        self.waiting
            .keys()
            .map(|place| place.deadline)
            .min()
            .map(|deadline| deadline.since(now))
    }

    /// Whether the placement holder should hear of this queue now: soon after
    /// a ticket waits, now and then while the model is in use, and at once when
    /// it is no more.
    pub fn demand_due(&mut self, now: Timestamp, waiting_every: u64, used_every: u64) -> bool {
        let interval = if !self.waiting.is_empty() {
            waiting_every
        } else if self.running_count() > 0 {
            used_every
        } else {
            return std::mem::take(&mut self.reported_use);
        };
        let due = self
            .last_demand
            .is_none_or(|last| now.since(last) >= interval);
        if due {
            self.last_demand = Some(now);
            self.reported_use = true;
        }
        due
    }

    /// Whether the queue can be dropped.
    pub fn is_forgettable(&self, now: Timestamp) -> bool {
        self.waiting.is_empty()
            && self.running_count() == 0
            && now.since(self.last_used) > IDLE_QUEUE_LIFE
    }
}

fn allowed_slots(slots: u32, class: PriorityClass, settings: &RoutingSettings) -> u32 {
    match class {
        PriorityClass::Interactive => slots,
        PriorityClass::Batch => ((f64::from(slots) * settings.batch_share) as u32).max(1),
    }
}
