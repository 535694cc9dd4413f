//! Detects which nodes are alive, by heartbeats, because the machine list of the
//! platform is updated late.
//!
//! The inputs are heartbeats, the machine list and the time. The outputs are
//! heartbeats to send and a [`View`] of the live nodes. The machine list adds
//! and removes candidates; only heartbeats decide whether a node is alive. Two
//! nodes may have different views for a short time. Different views may cause a
//! cold start or a retry, but violate no guarantee, because the guarantees
//! depend on fencing tokens, reservations and claims.

use std::collections::BTreeMap;
use std::sync::Arc;

use gorsebank_contract::{Epoch, Fence, Heartbeat, Incarnation, NodeState, Revision};
use gorsebank_world::{CellId, NodeEntry, NodeId, ZoneId};

use crate::rendezvous;
use crate::settings::MembershipSettings;
use crate::time::{Periodic, Timestamp};

/// Identity of a node.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node; greater than every previous incarnation under the
    /// same name.
    pub incarnation: Incarnation,
    /// Cell of the node.
    pub cell: CellId,
    /// Zone of the node.
    pub zone: ZoneId,
}

/// A live node as other nodes know it.
#[derive(Clone, Debug)]
pub struct LiveNode {
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Whether the node accepts new work.
    pub state: NodeState,
}

/// The live nodes of the cell at one moment, this node included.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Version number, which increases with every change.
    pub version: u64,
    /// Live nodes, including draining ones.
    pub nodes: BTreeMap<NodeId, LiveNode>,
    /// Highest fencing token known in the cell.
    pub fence: Fence,
    /// Live node that holds the placement lease under this fencing token.
    pub holder: Option<NodeId>,
}

impl View {
    /// Returns the nodes that accept new work.
    pub fn active(&self) -> impl Iterator<Item = &NodeId> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.state == NodeState::Active)
            .map(|(id, _)| id)
    }

    /// Returns the node that is responsible for the key `key`.
    pub fn owner(&self, key: &str) -> Option<&NodeId> {
        rendezvous::first(key, self.active())
    }

    /// Whether `node` is one of the `count` highest ranked nodes for the key `key`.
    pub fn is_among_first(&self, key: &str, node: &NodeId, count: usize) -> bool {
        rendezvous::ranked(key, self.active())
            .into_iter()
            .take(count)
            .any(|candidate| candidate == node)
    }

    /// Whether the node is alive in the given incarnation.
    pub fn is_alive(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        self.nodes
            .get(node)
            .is_some_and(|live| live.incarnation == incarnation)
    }
}

#[derive(Clone, Debug)]
struct Peer {
    heartbeat: Heartbeat,
    last_received: Timestamp,
}

/// State of this node that its heartbeats carry in addition to its identity.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatState {
    /// Configuration revision up to which this node knows all rows.
    pub revision: Revision,
    /// Fencing token under which this node holds the lease, if it does.
    pub held_fence: Option<Fence>,
    /// Claim epoch known to this node.
    pub epoch: Epoch,
    /// Version of the machine list on this node.
    pub machines: u64,
}

/// Effect of a received heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Whether the set of live nodes, their states or the holder changed.
    pub view_changed: bool,
    /// Whether the sender was not alive before, or has a new incarnation.
    pub joined: bool,
}

/// Failure detector of one node: candidates, received heartbeats and the view.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    settings: MembershipSettings,
    state: NodeState,
    candidates: BTreeMap<NodeId, NodeEntry>,
    peers: BTreeMap<NodeId, Peer>,
    heartbeat_timer: Periodic,
    rounds: u64,
    held_fence: Option<Fence>,
    view: Arc<View>,
}

impl Membership {
    /// Creates the state of a node that knows only itself.
    pub fn new(identity: Identity, settings: MembershipSettings) -> Self {
        let mut membership = Membership {
            heartbeat_timer: Periodic::every(settings.heartbeat_interval),
            identity,
            settings,
            state: NodeState::Active,
            candidates: BTreeMap::new(),
            peers: BTreeMap::new(),
            rounds: 0,
            held_fence: None,
            view: Arc::default(),
        };
        membership.rebuild_view();
        membership
    }

    /// Returns the current view of the live nodes.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Returns whether this node accepts new work.
    pub fn state(&self) -> NodeState {
        self.state
    }

    /// Returns the entry of a node in the machine list, with its address.
    pub fn entry(&self, node: &NodeId) -> Option<&NodeEntry> {
        self.candidates.get(node)
    }

    /// Sets the candidates to the nodes of the machine list. A node that is no
    /// longer listed stays a candidate, and receives heartbeats, while it counts
    /// as alive.
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

    /// Announces that this node is draining and accepts no new work.
    pub fn start_draining(&mut self) {
        self.state = NodeState::Draining;
        self.heartbeat_timer.make_due();
        self.rebuild_view();
    }

    /// Sets the fencing token under which this node holds the lease, if it does.
    pub fn set_held_fence(&mut self, held_fence: Option<Fence>) {
        if self.held_fence != held_fence {
            self.held_fence = held_fence;
            self.heartbeat_timer.make_due();
            self.rebuild_view();
        }
    }

    /// Handles a heartbeat of another node.
    pub fn observe(&mut self, now: Timestamp, from: &NodeId, heartbeat: Heartbeat) -> Observation {
        if *from == self.identity.node {
            return Observation::default();
        }
        let previous = self.peers.get(from);
        if previous.is_some_and(|peer| peer.heartbeat.incarnation > heartbeat.incarnation) {
            return Observation::default();
        }
        let joined =
            previous.is_none_or(|peer| peer.heartbeat.incarnation != heartbeat.incarnation);
        let view_changed = joined
            || previous.is_some_and(|peer| {
                peer.heartbeat.state != heartbeat.state
                    || peer.heartbeat.fence != heartbeat.fence
                    || peer.heartbeat.holder != heartbeat.holder
            });
        let peer = Peer {
            heartbeat,
            last_received: now,
        };
        self.peers.insert(from.clone(), peer);
        if view_changed {
            self.rebuild_view();
        }
        Observation {
            view_changed,
            joined,
        }
    }

    /// Removes nodes whose last heartbeat is older than the failure timeout.
    /// Returns whether a node was removed.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let timeout = self.settings.failure_timeout;
        let before = self.peers.len();
        self.peers
            .retain(|_, peer| now.since(peer.last_received) < timeout);
        let changed = self.peers.len() != before;
        if changed {
            self.rebuild_view();
        }
        changed
    }

    /// Returns the heartbeat to send now, if one is due, and its receivers: every
    /// candidate of the cell, and a few candidates of other cells by round robin.
    pub fn heartbeat(
        &mut self,
        now: Timestamp,
        state: HeartbeatState,
    ) -> Option<(Heartbeat, Vec<NodeId>)> {
        if !self.heartbeat_timer.due(now) {
            return None;
        }
        self.rounds += 1;
        let heartbeat = Heartbeat {
            incarnation: self.identity.incarnation,
            cell: self.identity.cell.clone(),
            zone: self.identity.zone.clone(),
            state: self.state,
            revision: state.revision,
            fence: self.view.fence,
            holder: state.held_fence.is_some(),
            epoch: state.epoch,
            machine_list_version: state.machines,
        };
        Some((heartbeat, self.receivers()))
    }

    /// Returns the other nodes of the cell that are candidates or alive.
    pub fn cell_peers(&self) -> Vec<NodeId> {
        let candidates = self
            .candidates
            .values()
            .filter(|entry| entry.cell == self.identity.cell)
            .map(|entry| entry.id.clone());
        let live = self
            .view
            .nodes
            .keys()
            .filter(|node| **node != self.identity.node)
            .cloned();
        let mut peers: Vec<NodeId> = candidates.chain(live).collect();
        peers.sort();
        peers.dedup();
        peers
    }

    /// Returns the nodes to which newly known configuration rows are sent: all
    /// other nodes of the cell, unless the rows came from a node of the cell; and
    /// one node of every other cell if this node wrote the rows (`from` is `None`).
    pub fn configuration_receivers(
        &self,
        from: Option<&NodeId>,
        complete: Revision,
    ) -> Vec<NodeId> {
        let is_from_cell = from.is_some_and(|node| self.view.nodes.contains_key(node));
        let mut receivers = if is_from_cell {
            Vec::new()
        } else {
            self.cell_peers()
        };
        if from.is_none() {
            receivers.extend(self.remote_cell_receivers(complete));
        }
        receivers
    }

    /// Returns one node of every other cell, which depends on the revision.
    fn remote_cell_receivers(&self, complete: Revision) -> Vec<NodeId> {
        let mut cells: BTreeMap<&CellId, Vec<&NodeId>> = BTreeMap::new();
        for entry in self.candidates.values() {
            if entry.cell != self.identity.cell {
                cells.entry(&entry.cell).or_default().push(&entry.id);
            }
        }
        let key = format!("gateway/{complete}");
        cells
            .into_values()
            .filter_map(|nodes| rendezvous::first(&key, nodes).cloned())
            .collect()
    }

    fn receivers(&self) -> Vec<NodeId> {
        let (local, remote): (Vec<&NodeEntry>, Vec<&NodeEntry>) = self
            .candidates
            .values()
            .partition(|entry| entry.cell == self.identity.cell);
        let mut receivers: Vec<NodeId> = local.iter().map(|entry| entry.id.clone()).collect();
        if !remote.is_empty() {
            let start = rendezvous::weight("remote", &self.identity.node)
                .wrapping_add(self.rounds * self.settings.remote_fanout as u64);
            for offset in 0..self.settings.remote_fanout.min(remote.len()) as u64 {
                let index = (start.wrapping_add(offset) % remote.len() as u64) as usize;
                receivers.push(remote[index].id.clone());
            }
        }
        receivers
    }

    fn rebuild_view(&mut self) {
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
        view.fence = self.view.fence.max(self.held_fence.unwrap_or_default());
        let cell_peers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.heartbeat.cell == self.identity.cell);
        for (id, peer) in cell_peers {
            let live = LiveNode {
                incarnation: peer.heartbeat.incarnation,
                zone: peer.heartbeat.zone.clone(),
                state: peer.heartbeat.state,
            };
            view.nodes.insert(id.clone(), live);
            view.fence = view.fence.max(peer.heartbeat.fence);
        }
        view.holder = self.find_holder(view.fence);
        self.view = Arc::new(view);
    }

    fn find_holder(&self, fence: Fence) -> Option<NodeId> {
        if self.held_fence == Some(fence) {
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
