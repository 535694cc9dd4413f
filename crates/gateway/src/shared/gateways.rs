//! The known gateways: their number, their addresses, and the placement holder.
//!
//! Input: rows of the table of members, and the placement lease. Output: this gateway's position in
//! the tree that distributes updates, and addresses of other gateways.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gorsebank_fleet::stream_origins::KeeperGroup;
use gorsebank_world::NodeId;
use tokio::time::Instant;

use super::Shared;
use crate::event_log::{self, LogPriority};
use crate::feed::Member;
use crate::stream_origins::{GroupKeepers, Keepers};

/// Assumed minimum number of gateways, as long as the table of members has not been read.
pub(super) const MIN_GATEWAYS: usize = 4;
/// Assumed number of gateways that have joined but are not known yet.
const UNKNOWN_GATEWAYS: usize = 2;

/// Maximum number of gateways in a small fleet. There, leaves ask as often as gateways that have
/// children, and roots read busy tables without an additional pause, since the cost is low.
const MAX_SMALL_FLEET: usize = 32;

/// Minimum wait for a turn to call the table that is logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(100);

/// The known gateways.
#[derive(Debug, Default)]
pub(super) struct Members {
    count: usize,
    serving: Vec<Member>,
    /// The placement holder, according to the lease row.
    holder: Option<NodeId>,
    /// The gateways that keep origins of streams.
    origin_keepers: Keepers,
}

impl Shared {
    /// Sets the known gateways: `count` gateways have a row, and those in `serving` serve other
    /// gateways.
    pub fn set_members(&self, count: usize, serving: Vec<Member>) {
        self.gateways
            .store(count.max(MIN_GATEWAYS), Ordering::Relaxed);
        let own = self.settings.node.as_str();
        let others = serving.iter().filter(|member| member.name != own);
        let peers: Vec<SocketAddr> = others.map(|member| member.address).collect();
        self.links.set_peers(&peers);
        self.table.set_peers(peers);
        let names = serving.iter().map(|member| member.name.as_str());
        self.prefill_pacing.set_gateways(names);
        let mut members = self.members.lock();
        members.count = count;
        members.serving = serving;
        members.origin_keepers.clear();
        self.update_feed_position(&members);
    }

    /// Sets the placement holder according to the lease row.
    pub fn set_holder(&self, holder: Option<NodeId>) {
        let mut members = self.members.lock();
        if members.holder == holder {
            return;
        }
        let is_holder = holder.as_ref() == Some(&self.settings.node);
        members.holder = holder;
        self.update_feed_position(&members);
        drop(members);
        self.back_end_limits.set_scheduling(self.now(), is_holder);
        self.new_holder.notify_one();
    }

    fn update_feed_position(&self, members: &Members) {
        let own = self.settings.node.as_str();
        let holder = members.holder.as_ref().map(NodeId::as_str);
        let mut parents = self.feed.parents.lock();
        if parents.set_members(own, &members.serving, holder) {
            self.feed.position_changed.notify_one();
        }
    }

    /// The placement holder, according to the lease row.
    pub fn holder(&self) -> Option<NodeId> {
        self.members.lock().holder.clone()
    }

    /// Address of the placement holder; `None` if there is no holder or its address is unknown.
    pub fn holder_address(&self) -> Option<SocketAddr> {
        self.address_of(&self.holder()?)
    }

    /// Address at which a gateway serves other gateways; `None` if unknown.
    pub fn address_of(&self, name: &NodeId) -> Option<SocketAddr> {
        let members = self.members.lock();
        let mut serving = members.serving.iter();
        Some(serving.find(|member| member.name == name.as_str())?.address)
    }

    /// The gateways that serve other gateways.
    pub fn serving_members(&self) -> Vec<Member> {
        self.members.lock().serving.clone()
    }

    /// The gateways that keep the records of a group of streams.
    pub(super) fn origin_keepers(&self, group: KeeperGroup) -> GroupKeepers {
        let (own, zone) = (&self.settings.node, &self.settings.zone);
        let members = &mut *self.members.lock();
        let keepers = &mut members.origin_keepers;
        keepers.of_group(&members.serving, own, zone, group)
    }

    /// Up to `count` other gateways that may open a tunnel to a back end, in the order in which to
    /// ask them.
    pub fn tunnel_peers(&self, count: usize) -> Vec<SocketAddr> {
        let settings = &self.settings;
        let members = self.members.lock();
        let peers = &members.serving;
        self.links
            .select_peers(peers, &settings.node, &settings.zone, count)
    }

    /// Number of gateways that have a row.
    pub fn known_gateway_count(&self) -> usize {
        self.members.lock().count
    }

    /// Whether this gateway may place models. That requires that other gateways can send it their
    /// demand, or that no gateway serves others.
    pub fn may_place(&self) -> bool {
        let own = self.settings.node.as_str();
        let members = self.members.lock();
        let is_serving = members.serving.iter().any(|member| member.name == own);
        is_serving || members.serving.is_empty()
    }

    /// CPU capacity of the strongest known machine, in thousandths of a core.
    pub fn max_millicores(&self) -> u32 {
        let members = self.members.lock();
        let millicores = members.serving.iter().map(|member| member.row.millicores);
        millicores.max().unwrap_or(0)
    }

    /// CPU capacity of a gateway's machine, in thousandths of a core.
    pub fn millicores_of(&self, name: &NodeId) -> Option<u32> {
        let members = self.members.lock();
        let mut serving = members.serving.iter();
        let member = serving.find(|member| member.name == name.as_str())?;
        Some(member.row.millicores)
    }

    /// Upper estimate of the number of gateways.
    pub fn max_gateway_count(&self) -> usize {
        self.gateways.load(Ordering::Relaxed) + UNKNOWN_GATEWAYS
    }

    /// Whether this gateway's calls are among those whose combined rate is limited while the table is
    /// slow.
    pub fn paces_calls(&self) -> bool {
        self.is_large_fleet() && !self.feed.parents.lock().is_root()
    }

    /// Whether this gateway is one of many and has not read the back ends since its start. It cannot serve
    /// callers yet, so its calls of the table are for its content only.
    pub fn lacks_content(&self) -> bool {
        self.is_large_fleet() && !self.has_read_back_ends()
    }

    /// Time until this gateway may make the next call of the table that others could make instead.
    pub fn time_until_paced_call(&self) -> Duration {
        if self.paces_calls() {
            self.table().pacer().time_left()
        } else {
            Duration::ZERO
        }
    }

    /// Takes the turn for such a call without waiting for it, so that the next turn is later.
    pub fn take_paced_call(&self) {
        if self.paces_calls() {
            let gateways = self.max_gateway_count();
            self.table().pacer().reserve(gateways);
        }
    }

    /// Waits until this gateway may make such a call.
    pub async fn wait_for_paced_call(&self) {
        if !self.paces_calls() {
            return;
        }
        let started_at = Instant::now();
        let gateways = self.max_gateway_count();
        self.table().pacer().wait(gateways).await;
        let waited = started_at.elapsed();
        if waited > MIN_LOGGED_WAIT {
            let fields = format_args!("waited_ms={}", waited.as_millis());
            event_log::write(LogPriority::State, "table_turn", fields);
        }
    }

    /// Whether the gateways together may call the table more often than it bears.
    pub fn is_large_fleet(&self) -> bool {
        self.max_gateway_count() > MAX_SMALL_FLEET
    }
}
