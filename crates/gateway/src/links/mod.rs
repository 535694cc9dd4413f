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
//! Lock order: `reachability` before `peers`.

mod connect;
pub mod exit_evidence;
mod peers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::IncarnationHash;
use gorsebank_fleet::{PathOrder, Reachability};
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
    /// Whether the links were suspected when their state was last logged.
    was_suspect: AtomicBool,
}

impl Default for Links {
    fn default() -> Self {
        Links {
            reachability: Mutex::default(),
            peers: Mutex::default(),
            tunnels: Arc::new(Semaphore::new(MAX_TUNNELS)),
            stop_phase: watch::Sender::default(),
            was_suspect: AtomicBool::new(false),
        }
    }
}

impl Links {
    /// Whether this gateway suspects its own links: several back ends cannot be reached.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        self.reachability.lock().suspect_since(now).is_some()
    }

    /// Whether this gateway's own links are cut, as another gateway has shown.
    pub fn is_cut_off(&self, now: Timestamp) -> bool {
        self.reachability.lock().is_cut_off(now)
    }

    /// Whether an idle connection may carry a request. A direct connection may have gone silent
    /// with the links, and a tunnel is used only while it is needed.
    pub fn is_usable(&self, now: Timestamp, back_end: &BackEnd, connection: &Connection) -> bool {
        let reachability = self.reachability.lock();
        match connection.path {
            ConnectionPath::Direct => reachability.suspect_since(now).is_none_or(|since| {
                connection.idle_time() < Duration::from_millis(now.since(since))
            }),
            ConnectionPath::Peer(peer) => {
                let order = reachability.path_order(now, back_end.incarnation_hash);
                order == PathOrder::PeersFirst && self.peers.lock().is_usable(peer)
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

    fn path_order(&self, now: Timestamp, back_end: &BackEnd) -> PathOrder {
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

    fn record_direct_failure(&self, now: Timestamp, back_end: &BackEnd) {
        let act = |it: &mut Reachability, hash| it.record_direct_failure(now, hash);
        self.update(now, back_end, act);
    }

    fn record_bridged(&self, now: Timestamp, back_end: &BackEnd) {
        let act = |it: &mut Reachability, hash| it.record_bridged(now, hash);
        self.update(now, back_end, act);
    }

    /// Changes what is known of the links, and logs whether they are suspected if that changed.
    fn update(
        &self,
        now: Timestamp,
        back_end: &BackEnd,
        act: impl FnOnce(&mut Reachability, IncarnationHash),
    ) {
        let mut reachability = self.reachability.lock();
        act(&mut reachability, back_end.incarnation_hash);
        let is_suspect = reachability.suspect_since(now).is_some();
        let is_cut_off = reachability.is_cut_off(now);
        drop(reachability);
        if self.was_suspect.swap(is_suspect, Ordering::Relaxed) != is_suspect {
            let fields = format_args!(
                "suspect={is_suspect} cut_off={is_cut_off} back_end={}",
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
