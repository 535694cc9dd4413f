//! The gateways that are asked for tunnels.
//!
//! In: the known gateways, and results of requests for tunnels. Out: the gateways to ask next, in
//! order. Requests are spread at random over the gateways that are not in cooldown, those of the
//! own zone first, since a tunnel through them crosses no more zones than a direct connection.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use gorsebank_world::{NodeId, ZoneId};
use tokio::time::Instant;

use crate::feed::Member;

/// Number of gateways among which the ones to ask are chosen, so that the cost does not grow with
/// the number of gateways.
const SAMPLE_SIZE: usize = 16;

/// Why a gateway opened no tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFault {
    /// The gateway did not reply, or a tunnel through it was lost.
    NoReply,
    /// The gateway does not know the request, as an earlier build does not.
    Unsupported,
    /// The gateway cannot help at present.
    Unavailable,
}

impl PeerFault {
    /// Time for which the gateway is not asked again.
    fn cooldown(self) -> Duration {
        match self {
            PeerFault::NoReply => Duration::from_millis(1_500),
            PeerFault::Unsupported => Duration::from_secs(20),
            PeerFault::Unavailable => Duration::from_millis(700),
        }
    }
}

/// The other gateways, and those that opened no tunnel recently.
#[derive(Debug, Default)]
pub(super) struct TunnelPeers {
    known: HashSet<SocketAddr>,
    /// End of each gateway's cooldown.
    cooldowns: HashMap<SocketAddr, Instant>,
}

impl TunnelPeers {
    /// Sets the other gateways.
    pub fn set_known(&mut self, peers: &[SocketAddr]) {
        self.known = peers.iter().copied().collect();
    }

    /// Whether the gateway at this address still serves gateways and is not in cooldown.
    pub fn is_usable(&self, peer: SocketAddr) -> bool {
        let until = self.cooldowns.get(&peer);
        self.known.contains(&peer) && until.is_none_or(|until| *until <= Instant::now())
    }

    /// Starts the cooldown of a gateway.
    pub fn record_fault(&mut self, peer: SocketAddr, fault: PeerFault) {
        let now = Instant::now();
        self.cooldowns.retain(|_, until| now < *until);
        self.cooldowns.insert(peer, now + fault.cooldown());
    }

    /// Selects up to `count` gateways other than `own`, in the order in which to ask them.
    pub fn select(
        &self,
        members: &[Member],
        own: &NodeId,
        zone: &ZoneId,
        count: usize,
    ) -> Vec<SocketAddr> {
        let sample_size = SAMPLE_SIZE.min(members.len());
        let sampled = rand::seq::index::sample(&mut rand::rng(), members.len(), sample_size);
        let sampled = sampled.into_iter().map(|index| &members[index]);
        let mut usable: Vec<&Member> = sampled
            .filter(|member| member.name != own.as_str() && self.is_usable(member.address))
            .collect();
        usable.sort_by_key(|member| member.row.zone.as_ref() != Some(zone));
        usable.truncate(count);
        usable.into_iter().map(|member| member.address).collect()
    }
}
