//! Connections of this gateway to back ends: over its own links, and through other gateways while
//! its own links are cut.
//!
//! ```text
//! attempt, poll --> connect --> direct connection ------------------> back end
//!                          \--> tunnel through another gateway --/
//! ```
//!
//! Nothing is sent before a connection stands, so both paths can be opened at once. The gateway
//! that received the request makes all decisions about it; the other one only copies bytes
//! ([`crate::relay::tunnel`]).
//!
//! In: results of connections. Out: connections, whether this gateway's links are cut, and
//! ([`exit_evidence`]) whether a back end has exited.
//!
//! Lock order: `reachability` before `peers`. `logged_state` is taken alone.

mod connect;
pub mod exit_evidence;
mod peers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::IncarnationHash;
use gorsebank_fleet::{DirectFailureKind, PathOrder, Reachability};
use gorsebank_world::{NodeId, ZoneId};
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::sleep;

pub use connect::{ConnectError, connect, connect_directly, open_directly, start_probe};
pub use peers::PeerFault;

use crate::back_end::{BackEnd, Connection, ConnectionPath};
use crate::event_log::{self, LogPriority};
use crate::feed::Member;
use peers::TunnelPeers;

/// Maximum number of tunnels for other gateways. Each uses two descriptors and 16 KiB.
const MAX_TUNNELS: usize = 512;

/// How far a planned stop has come for the tunnels that this gateway carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The process is not stopping.
    #[default]
    None,
    /// Origins are told to close their tunnels once these carry no request.
    Announced,
    /// Tunnels of origins that cannot be told are closed when they seem to be idle.
    ClosesIdle,
}

/// State of the links to back ends, and of tunnels.
pub struct Links {
    reachability: Mutex<Reachability>,
    peers: Mutex<TunnelPeers>,
    tunnels: Arc<Semaphore>,
    stop_phase: watch::Sender<StopPhase>,
    /// What was last logged of the links.
    logged_state: Mutex<LinkState>,
}

/// What is known of the links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LinkState {
    is_suspect: bool,
    is_faulty: bool,
}

impl Default for Links {
    fn default() -> Self {
        Links {
            reachability: Mutex::default(),
            peers: Mutex::default(),
            tunnels: Arc::new(Semaphore::new(MAX_TUNNELS)),
            stop_phase: watch::Sender::default(),
            logged_state: Mutex::default(),
        }
    }
}

impl Links {
    /// Whether this gateway suspects its own links: several back ends cannot be reached.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        self.reachability.lock().suspect_since(now).is_some()
    }

    /// Since when this gateway's own links are known to be at fault, because another gateway reached
    /// a back end that this one does not reach. `None` if this is not known.
    pub fn faulty_since(&self, now: Timestamp) -> Option<Timestamp> {
        self.reachability.lock().faulty_since(now)
    }

    /// Whether this gateway's own links have been at fault for a while.
    pub fn is_cut_off(&self, now: Timestamp) -> bool {
        self.reachability.lock().is_cut_off(now)
    }

    /// Whether an idle connection may carry a request. A direct connection may have gone silent
    /// with the links, and a tunnel is used only while it is needed.
    pub fn is_usable(&self, now: Timestamp, back_end: &BackEnd, connection: &Connection) -> bool {
        let reachability = self.reachability.lock();
        match connection.path {
            ConnectionPath::Direct if reachability.faulty_since(now).is_some() => {
                let suspect_since = reachability.suspect_since(now).unwrap_or(now);
                connection.idle_time() < Duration::from_millis(now.since(suspect_since))
            }
            ConnectionPath::Direct => true,
            ConnectionPath::Peer(peer) => {
                let order = reachability.path_order(now, back_end.incarnation_hash);
                order != PathOrder::DirectFirst && self.peers.lock().is_usable(peer)
            }
        }
    }

    /// Records that a connection was lost under a request. A back end that ended its connection says
    /// nothing about the gateway that carried it.
    pub fn record_lost(&self, connection: &Connection) {
        if let ConnectionPath::Peer(peer) = connection.path
            && !connection.tunnel.has_back_end_ended()
        {
            self.record_peer_fault(peer, PeerFault::NoReply);
        }
    }

    /// Sets the other gateways. A gateway that stops removes its row, and idle tunnels through it are
    /// not used any more.
    pub fn set_peers(&self, peers: &[SocketAddr]) {
        self.peers.lock().set_known(peers);
    }

    /// Records that a gateway did not open a tunnel.
    pub fn record_peer_fault(&self, peer: SocketAddr, fault: PeerFault) {
        self.peers.lock().record_fault(peer, fault);
    }

    /// Selects gateways to ask for a tunnel, in order.
    pub fn select_peers(
        &self,
        members: &[Member],
        own: &NodeId,
        zone: &ZoneId,
        count: usize,
    ) -> Vec<SocketAddr> {
        self.peers.lock().select(members, own, zone, count)
    }

    /// The order of paths for the next connection to a back end.
    pub fn path_order(&self, now: Timestamp, back_end: &BackEnd) -> PathOrder {
        let reachability = self.reachability.lock();
        reachability.path_order(now, back_end.incarnation_hash)
    }

    /// Whether a direct connection should probe the links now.
    pub fn take_probe(&self, now: Timestamp) -> bool {
        self.reachability.lock().take_probe(now)
    }

    fn record_direct(&self, now: Timestamp, back_end: &BackEnd) {
        let act = |it: &mut Reachability, hash| it.record_direct(now, hash);
        self.update(now, back_end, act);
    }

    fn record_direct_failure(&self, now: Timestamp, back_end: &BackEnd, kind: DirectFailureKind) {
        let act = |it: &mut Reachability, hash| it.record_direct_failure(now, hash, kind);
        self.update(now, back_end, act);
    }

    fn record_confirmed(&self, now: Timestamp, back_end: &BackEnd) {
        let act = |it: &mut Reachability, hash| it.record_confirmed(now, hash);
        self.update(now, back_end, act);
    }

    fn is_confirmed(&self, now: Timestamp, back_end: &BackEnd) -> bool {
        let reachability = self.reachability.lock();
        reachability.is_confirmed(now, back_end.incarnation_hash)
    }

    fn record_bridged(&self, now: Timestamp, back_end: &BackEnd) {
        let act = |it: &mut Reachability, hash| it.record_bridged(now, hash);
        self.update(now, back_end, act);
    }

    /// Changes what is known of the links, and logs their state if that changed.
    fn update(
        &self,
        now: Timestamp,
        back_end: &BackEnd,
        act: impl FnOnce(&mut Reachability, IncarnationHash),
    ) {
        let mut reachability = self.reachability.lock();
        act(&mut reachability, back_end.incarnation_hash);
        let state = LinkState {
            is_suspect: reachability.suspect_since(now).is_some(),
            is_faulty: reachability.faulty_since(now).is_some(),
        };
        let is_cut_off = reachability.is_cut_off(now);
        drop(reachability);
        if std::mem::replace(&mut *self.logged_state.lock(), state) != state {
            let LinkState {
                is_suspect,
                is_faulty,
            } = state;
            let fields = format_args!(
                "suspect={is_suspect} faulty={is_faulty} cut_off={is_cut_off} back_end={}",
                back_end.id
            );
            event_log::write(LogPriority::Decision, "links", fields);
        }
    }

    /// Reserves capacity for a tunnel; `None` if there is none.
    pub fn reserve_tunnel(&self) -> Option<OwnedSemaphorePermit> {
        self.tunnels.clone().try_acquire_owned().ok()
    }

    /// Returns once a planned stop has come to `phase`.
    pub async fn wait_for_stop(&self, phase: StopPhase) {
        let mut phases = self.stop_phase.subscribe();
        // Waiting cannot fail, since `self` keeps the sender.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    /// Tells the origins of tunnels that this gateway is stopping.
    pub fn announce_stop(&self) {
        self.stop_phase.send_replace(StopPhase::Announced);
    }

    /// Closes tunnels that carry no request, and returns when all tunnels have ended.
    pub async fn drain_tunnels(&self, poll: Duration) {
        self.stop_phase.send_replace(StopPhase::ClosesIdle);
        while self.tunnels.available_permits() < MAX_TUNNELS {
            sleep(poll).await;
        }
    }
}
