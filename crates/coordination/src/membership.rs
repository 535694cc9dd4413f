//! Who is alive: heartbeats beside the platform's late machine list.
//!
//! In: heartbeats, the machine list, time. Out: heartbeats to send and a
//! [`View`] of the live nodes. The machine list adds and removes candidates;
//! heartbeats alone decide who is alive. Two nodes may see different views for
//! a moment: that may cost a cold start or a retry, never a promise, since
//! promises rest on fences, reservations and claims.

use std::collections::BTreeMap;
use std::sync::Arc;

use gorsebank_contract::{Epoch, Fence, Heartbeat, Incarnation, NodeState, Revision};
use gorsebank_world::{CellId, NodeEntry, NodeId, ZoneId};

use crate::rendezvous;
use crate::settings::MembershipSettings;
use crate::time::{Periodic, Timestamp};

/// Who this node is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub node: NodeId,
    /// Its life; greater than that of any former life of the same name.
    pub incarnation: Incarnation,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
}

/// A live node as others see it.
#[derive(Clone, Debug)]
pub struct LiveNode {
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it takes new work.
    pub state: NodeState,
}

/// The live nodes of the cell at one moment, this node included.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Grows with every change.
    pub version: u64,
    /// Live nodes, leaving ones included.
    pub nodes: BTreeMap<NodeId, LiveNode>,
    /// The highest fence known in the cell.
    pub fence: Fence,
    /// The live node that holds the placement lease under that fence.
    pub holder: Option<NodeId>,
}

impl View {
    /// Nodes that take new work.
    pub fn active(&self) -> impl Iterator<Item = &NodeId> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.state == NodeState::Active)
            .map(|(id, _)| id)
    }

    /// The node that has `duty`.
    pub fn owner(&self, duty: &str) -> Option<&NodeId> {
        rendezvous::first(duty, self.active())
    }

    /// Whether `node` is one of the first `count` for `duty`.
    pub fn is_among_first(&self, duty: &str, node: &NodeId, count: usize) -> bool {
        rendezvous::ranked(duty, self.active())
            .into_iter()
            .take(count)
            .any(|candidate| candidate == node)
    }

    /// Whether the node lives in that life.
    pub fn is_alive(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        self.nodes
            .get(node)
            .is_some_and(|live| live.incarnation == incarnation)
    }
}

#[derive(Clone, Debug)]
struct Peer {
    heartbeat: Heartbeat,
    last_heard: Timestamp,
}

/// What this node says of itself in its heartbeats beside its identity.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Configuration revision it is complete to.
    pub revision: Revision,
    /// The fence it holds the lease under, if it does.
    pub held: Option<Fence>,
    /// Claim epoch it knows of.
    pub epoch: Epoch,
    /// Machine list version it has.
    pub machines: u64,
}

/// What a heartbeat brought to light.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// The set of live nodes, their states or the holder changed.
    pub view_changed: bool,
    /// A node was heard that was not alive before.
    pub joined: bool,
}

/// The table of live nodes.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    settings: MembershipSettings,
    state: NodeState,
    candidates: BTreeMap<NodeId, NodeEntry>,
    peers: BTreeMap<NodeId, Peer>,
    heartbeats: Periodic,
    rounds: u64,
    held: Option<Fence>,
    view: Arc<View>,
}

impl Membership {
    /// A node that knows only itself.
    pub fn new(identity: Identity, settings: MembershipSettings) -> Self {
        let mut membership = Membership {
            heartbeats: Periodic::every(settings.heartbeat_interval),
            identity,
            settings,
            state: NodeState::Active,
            candidates: BTreeMap::new(),
            peers: BTreeMap::new(),
            rounds: 0,
            held: None,
            view: Arc::default(),
        };
        membership.rebuild();
        membership
    }

    /// The live nodes at this moment.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Whether this node takes new work.
    pub fn state(&self) -> NodeState {
        self.state
    }

    /// Where a node listens for others.
    pub fn entry(&self, node: &NodeId) -> Option<&NodeEntry> {
        self.candidates.get(node)
    }

    /// Takes over the nodes of the machine list. A node that is listed no more
    /// gets no heartbeats once it is silent.
    pub fn set_candidates(&mut self, entries: &[NodeEntry]) {
        let mut candidates: BTreeMap<NodeId, NodeEntry> = entries
            .iter()
            .map(|entry| (entry.id.clone(), entry.clone()))
            .collect();
        candidates.remove(&self.identity.node);
        for (id, entry) in &self.candidates {
            if self.peers.contains_key(id) && !candidates.contains_key(id) {
                candidates.insert(id.clone(), entry.clone());
            }
        }
        self.candidates = candidates;
    }

    /// Announces that this node finishes its work and leaves.
    pub fn leave(&mut self) {
        self.state = NodeState::Leaving;
        self.heartbeats.hurry();
        self.rebuild();
    }

    /// Notes whether this node holds the lease.
    pub fn set_held(&mut self, held: Option<Fence>) {
        if self.held != held {
            self.held = held;
            self.heartbeats.hurry();
            self.rebuild();
        }
    }

    /// Takes in a heartbeat.
    pub fn observe(&mut self, now: Timestamp, from: &NodeId, heartbeat: Heartbeat) -> Observation {
        if *from == self.identity.node {
            return Observation::default();
        }
        let former = self.peers.get(from);
        if former.is_some_and(|peer| peer.heartbeat.incarnation > heartbeat.incarnation) {
            return Observation::default();
        }
        let joined = former.is_none_or(|peer| peer.heartbeat.incarnation != heartbeat.incarnation);
        let view_changed = joined
            || former.is_some_and(|peer| {
                peer.heartbeat.state != heartbeat.state
                    || peer.heartbeat.fence != heartbeat.fence
                    || peer.heartbeat.holder != heartbeat.holder
            });
        let peer = Peer {
            heartbeat,
            last_heard: now,
        };
        self.peers.insert(from.clone(), peer);
        if view_changed {
            self.rebuild();
        }
        Observation {
            view_changed,
            joined,
        }
    }

    /// Forgets nodes that were silent for too long; says whether any were.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let timeout = self.settings.failure_timeout;
        let before = self.peers.len();
        self.peers
            .retain(|_, peer| now.since(peer.last_heard) < timeout);
        let changed = self.peers.len() != before;
        if changed {
            self.rebuild();
        }
        changed
    }

    /// The heartbeat to send now and its receivers: every candidate of the cell,
    /// and a few of other cells in turn.
    pub fn heartbeat(
        &mut self,
        now: Timestamp,
        standing: Standing,
    ) -> Option<(Heartbeat, Vec<NodeId>)> {
        if !self.heartbeats.due(now) {
            return None;
        }
        self.rounds += 1;
        let heartbeat = Heartbeat {
            incarnation: self.identity.incarnation,
            cell: self.identity.cell.clone(),
            zone: self.identity.zone.clone(),
            state: self.state,
            revision: standing.revision,
            fence: self.view.fence,
            holder: standing.held.is_some(),
            epoch: standing.epoch,
            machines: standing.machines,
        };
        Some((heartbeat, self.receivers()))
    }

    /// Other nodes of the cell that are candidates or were heard.
    pub fn near(&self) -> Vec<NodeId> {
        let candidates = self
            .candidates
            .values()
            .filter(|entry| entry.cell == self.identity.cell)
            .map(|entry| entry.id.clone());
        let heard = self
            .view
            .nodes
            .keys()
            .filter(|node| **node != self.identity.node)
            .cloned();
        let mut near: Vec<NodeId> = candidates.chain(heard).collect();
        near.sort();
        near.dedup();
        near
    }

    /// Who is told of configuration rows that became known here: the whole
    /// cell, unless a node of the cell told us; and, if they were written
    /// here, one node of every other cell.
    pub fn spread(&self, from: Option<&NodeId>, complete: Revision) -> Vec<NodeId> {
        let from_near = from.is_some_and(|node| self.view.nodes.contains_key(node));
        let mut receivers = if from_near { Vec::new() } else { self.near() };
        if from.is_none() {
            receivers.extend(self.gateways(complete));
        }
        receivers
    }

    /// One node of every other cell, another for each revision.
    fn gateways(&self, complete: Revision) -> Vec<NodeId> {
        let mut cells: BTreeMap<&CellId, Vec<&NodeId>> = BTreeMap::new();
        for entry in self.candidates.values() {
            if entry.cell != self.identity.cell {
                cells.entry(&entry.cell).or_default().push(&entry.id);
            }
        }
        let duty = format!("gateway/{complete}");
        cells
            .into_values()
            .filter_map(|nodes| rendezvous::first(&duty, nodes).cloned())
            .collect()
    }

    fn receivers(&self) -> Vec<NodeId> {
        let (near, far): (Vec<&NodeEntry>, Vec<&NodeEntry>) = self
            .candidates
            .values()
            .partition(|entry| entry.cell == self.identity.cell);
        let mut receivers: Vec<NodeId> = near.iter().map(|entry| entry.id.clone()).collect();
        if !far.is_empty() {
            let start = rendezvous::weight("remote", &self.identity.node)
                .wrapping_add(self.rounds * self.settings.remote_fanout as u64);
            for step in 0..self.settings.remote_fanout.min(far.len()) as u64 {
                let index = (start.wrapping_add(step) % far.len() as u64) as usize;
                receivers.push(far[index].id.clone());
            }
        }
        receivers
    }

    fn rebuild(&mut self) {
        let mut view = View {
            version: self.view.version + 1,
            ..View::default()
        };
        let own = LiveNode {
            incarnation: self.identity.incarnation,
            zone: self.identity.zone.clone(),
            state: self.state,
        };
        view.nodes.insert(self.identity.node.clone(), own);
        view.fence = self.view.fence.max(self.held.unwrap_or_default());
        let near = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.heartbeat.cell == self.identity.cell);
        for (id, peer) in near {
            let live = LiveNode {
                incarnation: peer.heartbeat.incarnation,
                zone: peer.heartbeat.zone.clone(),
                state: peer.heartbeat.state,
            };
            view.nodes.insert(id.clone(), live);
            view.fence = view.fence.max(peer.heartbeat.fence);
        }
        view.holder = self.holder_under(view.fence);
        self.view = Arc::new(view);
    }

    fn holder_under(&self, fence: Fence) -> Option<NodeId> {
        if self.held == Some(fence) {
            return Some(self.identity.node.clone());
        }
        self.peers
            .iter()
            .find(|(_, peer)| {
                let heartbeat = &peer.heartbeat;
                heartbeat.holder && heartbeat.fence == fence && heartbeat.cell == self.identity.cell
            })
            .map(|(id, _)| id.clone())
    }
}
