//! The queues that this node owns.
//!
//! In: tickets, releases, replica sets, the machine list, time. Out: decisions
//! about tickets, and demand for the placement holder.

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

/// A waiting model is reported to the holder so often, in milliseconds.
const WAITING_DEMAND_INTERVAL: u64 = 400;
/// A model in use is reported to the holder so often.
const USED_DEMAND_INTERVAL: u64 = 10_000;
/// Tickets are judged anew and idle queues dropped so often.
const REVIEW_INTERVAL: u64 = 100;

/// A queue's needs, for the placement holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// What is wanted.
    pub artifact: Artifact,
    /// Tickets that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Time left of the most urgent, in milliseconds.
    pub remaining: u64,
    /// Fence and version of the replica set that the owner has.
    pub known: (Fence, u64),
}

/// All queues of which this node is or was owner.
#[derive(Debug)]
pub struct Queues {
    settings: RoutingSettings,
    queues: HashMap<QueueKey, ModelQueue>,
    reviews: Periodic,
    fronts_version: u64,
}

impl Queues {
    /// No queues.
    pub fn new(settings: RoutingSettings) -> Self {
        Queues {
            settings,
            queues: HashMap::default(),
            reviews: Periodic::every(REVIEW_INTERVAL),
            fronts_version: 0,
        }
    }

    /// Takes in tickets of one front.
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
            decisions.extend(queue.pump(now, &self.settings));
        }
        decisions
    }

    /// Takes a ticket out.
    pub fn cancel(&mut self, queue: &QueueKey, id: TicketId) {
        if let Some(queue) = self.queues.get_mut(queue) {
            queue.cancel(id);
        }
    }

    /// Gives slots back that a front held.
    pub fn release(&mut self, now: Timestamp, front: &NodeId, release: &Release) -> Vec<Decision> {
        let Some(queue) = self.queues.get_mut(&release.queue) else {
            return Vec::new();
        };
        queue.release(now, front, &release.back_end, release.slots);
        if release.troubled {
            queue.suspend(&release.back_end, now + self.settings.suspension);
        }
        if let Some(milliseconds) = release.service_time {
            queue.note_service_time(milliseconds);
        }
        queue.pump(now, &self.settings)
    }

    /// Takes a front's own account of the slots that it holds.
    pub fn correct_held(&mut self, now: Timestamp, front: &NodeId, held: &[HeldSlots]) {
        let mut accounts: HashMap<&QueueKey, HashMap<&BackEndId, u32>> = HashMap::default();
        for slots in held {
            accounts
                .entry(&slots.queue)
                .or_default()
                .insert(&slots.back_end, slots.slots);
        }
        let nothing = HashMap::default();
        for (key, queue) in &mut self.queues {
            let account = accounts.get(key).unwrap_or(&nothing);
            queue.correct_held(now, front, account);
        }
    }

    /// Takes in a replica set from the placement holder.
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
        queue.pump(now, &self.settings)
    }

    /// Applies a new machine list: leaving back ends get nothing more, and
    /// application services get their present back ends.
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
            decisions.extend(queue.pump(now, &self.settings));
        }
        decisions
    }

    /// Forgets what fronts held that are no longer alive.
    pub fn apply_view(&mut self, view: &View) {
        if self.fronts_version == view.version {
            return;
        }
        self.fronts_version = view.version;
        for queue in self.queues.values_mut() {
            for front in queue.fronts() {
                if !view.nodes.contains_key(&front) {
                    queue.forget_front(&front);
                }
            }
        }
    }

    /// Hands back the tickets of queues that another node owns now, or of all
    /// queues if this node is leaving.
    pub fn hand_back(&mut self, view: &View, this: &NodeId) -> Vec<(NodeId, TicketId)> {
        let leaving = view
            .nodes
            .get(this)
            .is_none_or(|node| node.state == NodeState::Leaving);
        let mut returned = Vec::new();
        for (key, queue) in &mut self.queues {
            if queue.waiting_count() == 0 {
                continue;
            }
            let owned = view.owner(&key.to_string()) == Some(this);
            if leaving || !owned {
                returned.extend(queue.hand_back());
            }
        }
        returned
    }

    /// Judges waiting tickets anew.
    pub fn review(&mut self, now: Timestamp) -> Vec<Decision> {
        if !self.reviews.due(now) {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        for queue in self.queues.values_mut() {
            if queue.waiting_count() > 0 {
                decisions.extend(queue.pump(now, &self.settings));
            }
        }
        self.queues.retain(|_, queue| !queue.is_forgettable(now));
        decisions
    }

    /// What the placement holder should hear now.
    pub fn demands(&mut self, now: Timestamp) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (key, queue) in &mut self.queues {
            let Some(artifact) = key.artifact() else {
                continue;
            };
            if !queue.demand_due(now, WAITING_DEMAND_INTERVAL, USED_DEMAND_INTERVAL) {
                continue;
            }
            demands.push(Demand {
                artifact: artifact.clone(),
                waiting: queue.waiting_count() as u32,
                running: queue.running_count(),
                remaining: queue.most_urgent(now).unwrap_or(0),
                known: queue.replica_version(),
            });
        }
        demands
    }

    /// Tickets that wait in all queues.
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(ModelQueue::waiting_count).sum()
    }

    /// Queues that are kept.
    pub fn queue_count(&self) -> usize {
        self.queues.len()
    }
}

/// Slots that a front gives back to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The queue.
    pub queue: QueueKey,
    /// The back end.
    pub back_end: BackEndId,
    /// How many slots.
    pub slots: u32,
    /// Mean service time of requests that ended, if any did.
    pub service_time: Option<u64>,
    /// The back end turned a request away or could not be reached.
    pub troubled: bool,
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
