//! The request queues that this node owns.
//!
//! In: tickets, releases, replica sets, the machine list, time. Out: decisions
//! about tickets, and demand reports for the placement holder.

use crate::collections::HashMap;
use std::collections::BTreeSet;

use gorsebank_contract::{Fence, HeldSlots, NodeState, ReplicaOffer, ReplicaSet, Ticket, TicketId};
use gorsebank_world::{
    Artifact, BackEndId, MachineRole, MachineState, NodeId, QueueKey, ServiceId,
};

use crate::machines::MachineTable;
use crate::membership::View;
use crate::queue::{Decision, ModelQueue, Replica};
use crate::settings::RoutingSettings;
use crate::time::{Periodic, Timestamp};

/// Interval of demand reports to the placement holder while tickets wait, in
/// milliseconds.
const WAITING_REPORT_INTERVAL_MS: u64 = 400;
/// Interval of demand reports to the placement holder while requests run and none
/// waits, in milliseconds.
const USED_REPORT_INTERVAL_MS: u64 = 10_000;
/// Interval at which waiting tickets are reviewed and idle queues are removed, in
/// milliseconds.
const REVIEW_INTERVAL_MS: u64 = 100;

/// Demand report of a queue for the placement holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The demanded artifact.
    pub artifact: Artifact,
    /// Number of waiting tickets.
    pub waiting: u32,
    /// Number of slots that fronts hold.
    pub running: u32,
    /// Time until the earliest deadline of a waiting ticket, in milliseconds.
    pub remaining: u64,
    /// Fencing token and version of the replica set that the owner has.
    pub known: (Fence, u64),
}

/// All queues that this node owns or owned.
#[derive(Debug)]
pub struct Queues {
    settings: RoutingSettings,
    queues: HashMap<QueueKey, ModelQueue>,
    reviews: Periodic,
    view_version: u64,
}

impl Queues {
    /// Creates an empty set of queues.
    pub fn new(settings: RoutingSettings) -> Self {
        Queues {
            settings,
            queues: HashMap::default(),
            reviews: Periodic::every(REVIEW_INTERVAL_MS),
            view_version: 0,
        }
    }

    /// Adds tickets of one front.
    pub fn offer(
        &mut self,
        now: Timestamp,
        front: &NodeId,
        tickets: &[Ticket],
        machines: &MachineTable,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for ticket in tickets {
            let queue = self
                .queues
                .entry(ticket.queue.clone())
                .or_insert_with(|| new_queue(&ticket.queue, now, machines));
            decisions.extend(queue.offer(now, front.clone(), ticket, &self.settings));
            decisions.extend(queue.process(now, &self.settings));
        }
        decisions
    }

    /// Removes a ticket.
    pub fn cancel(&mut self, queue: &QueueKey, id: TicketId) {
        if let Some(queue) = self.queues.get_mut(queue) {
            queue.cancel(id);
        }
    }

    /// Releases slots that a front held.
    pub fn release(&mut self, now: Timestamp, front: &NodeId, release: &Release) -> Vec<Decision> {
        let Some(queue) = self.queues.get_mut(&release.queue) else {
            return Vec::new();
        };
        queue.release(now, front, &release.back_end, release.slots);
        if release.has_failure {
            queue.suspend(&release.back_end, now + self.settings.suspension);
        }
        if let Some(milliseconds) = release.service_time {
            queue.record_service_time(milliseconds);
        }
        queue.process(now, &self.settings)
    }

    /// Replaces the number of slots that a front holds by the front's own report.
    pub fn apply_held_report(&mut self, now: Timestamp, front: &NodeId, held: &[HeldSlots]) {
        let mut reports: HashMap<&QueueKey, HashMap<&BackEndId, u32>> = HashMap::default();
        for slots in held {
            reports
                .entry(&slots.queue)
                .or_default()
                .insert(&slots.back_end, slots.slots);
        }
        let empty_report = HashMap::default();
        for (key, queue) in &mut self.queues {
            let report = reports.get(key).unwrap_or(&empty_report);
            queue.apply_held_report(now, front, report);
        }
    }

    /// Applies a replica set from the placement holder.
    pub fn set_replicas(
        &mut self,
        now: Timestamp,
        set: &ReplicaSet,
        machines: &MachineTable,
    ) -> Vec<Decision> {
        let key = QueueKey::Artifact(set.artifact.clone());
        let Some(queue) = self.queues.get_mut(&key) else {
            return Vec::new();
        };
        let usable = set
            .ready
            .iter()
            .filter_map(|offer| offered_replica(machines, offer))
            .collect();
        queue.set_replicas(now, set, usable);
        queue.process(now, &self.settings)
    }

    /// Applies a new machine list. Draining back ends get no further requests, and
    /// the queues of application services get the listed back ends.
    pub fn apply_machines(&mut self, now: Timestamp, machines: &MachineTable) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (key, queue) in &mut self.queues {
            match key {
                QueueKey::Service(service) => {
                    queue.use_replicas(service_replicas(machines, service));
                }
                QueueKey::Artifact(_) => {
                    for id in machines.unusable() {
                        queue.remove_back_end(id);
                    }
                }
            }
            decisions.extend(queue.process(now, &self.settings));
        }
        decisions
    }

    /// Removes the slots and the tickets of fronts that are no longer alive.
    pub fn apply_view(&mut self, view: &View) {
        if self.view_version == view.version {
            return;
        }
        self.view_version = view.version;
        for queue in self.queues.values_mut() {
            for front in queue.fronts() {
                if !view.nodes.contains_key(&front) {
                    queue.remove_front(&front);
                }
            }
        }
    }

    /// Returns the tickets of queues that another node owns now, or of all queues
    /// if this node is draining.
    pub fn return_tickets(&mut self, view: &View, this: &NodeId) -> Vec<(NodeId, TicketId)> {
        let is_draining = view
            .nodes
            .get(this)
            .is_none_or(|node| node.state == NodeState::Draining);
        let mut returned = Vec::new();
        for (key, queue) in &mut self.queues {
            if queue.waiting_count() == 0 {
                continue;
            }
            let is_owned = view.owner(&key.to_string()) == Some(this);
            if is_draining || !is_owned {
                returned.extend(queue.return_tickets());
            }
        }
        returned
    }

    /// Reviews the waiting tickets, and removes idle queues.
    pub fn review(&mut self, now: Timestamp) -> Vec<Decision> {
        if !self.reviews.due(now) {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        for queue in self.queues.values_mut() {
            if queue.waiting_count() > 0 {
                decisions.extend(queue.process(now, &self.settings));
            }
        }
        self.queues.retain(|_, queue| !queue.is_removable(now));
        decisions
    }

    /// Demand reports that are due.
    pub fn due_demands(&mut self, now: Timestamp) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (key, queue) in &mut self.queues {
            let Some(artifact) = key.artifact() else {
                continue;
            };
            if !queue.take_due_report(now, WAITING_REPORT_INTERVAL_MS, USED_REPORT_INTERVAL_MS) {
                continue;
            }
            demands.push(Demand {
                artifact: artifact.clone(),
                waiting: queue.waiting_count() as u32,
                running: queue.running_count(),
                remaining: queue.time_to_earliest_deadline(now).unwrap_or(0),
                known: queue.replica_version(),
            });
        }
        demands
    }

    /// Number of waiting tickets in all queues.
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(ModelQueue::waiting_count).sum()
    }

    /// Number of queues.
    pub fn queue_count(&self) -> usize {
        self.queues.len()
    }
}

/// Slots that a front returns to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The queue.
    pub queue: QueueKey,
    /// The back end.
    pub back_end: BackEndId,
    /// Number of returned slots.
    pub slots: u32,
    /// Mean service time of the completed requests in milliseconds, if there were
    /// any.
    pub service_time: Option<u64>,
    /// Whether the back end rejected a request, could not be reached, or lost the
    /// connection before its response.
    pub has_failure: bool,
}

fn new_queue(key: &QueueKey, now: Timestamp, machines: &MachineTable) -> ModelQueue {
    let mut queue = ModelQueue::new(key.clone(), now);
    if let QueueKey::Service(service) = key {
        queue.use_replicas(service_replicas(machines, service));
    }
    queue
}

fn usable_replica(machines: &MachineTable, id: &BackEndId) -> Option<Replica> {
    let machine = machines.back_end(id)?;
    if machine.state != MachineState::Live {
        return None;
    }
    Some(Replica {
        back_end: machine.id.clone(),
        slots: machine.slots,
    })
}

fn offered_replica(machines: &MachineTable, offer: &ReplicaOffer) -> Option<Replica> {
    let replica = usable_replica(machines, &offer.back_end)?;
    Some(Replica {
        slots: offer.slots,
        ..replica
    })
}

fn service_replicas(machines: &MachineTable, service: &ServiceId) -> Vec<Replica> {
    let ids: BTreeSet<&BackEndId> = machines
        .back_ends()
        .filter(|machine| machine.role == MachineRole::Application)
        .filter(|machine| machine.service == *service)
        .map(|machine| &machine.id)
        .collect();
    ids.into_iter()
        .filter_map(|id| usable_replica(machines, id))
        .collect()
}
