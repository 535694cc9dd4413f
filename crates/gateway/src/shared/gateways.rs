//! The gateways that are known: how many, where they answer, who places models.
//!
//! In: rows of the table of members, and the lease. Out: this gateway's place among those
//! that tell each other news, and whom to ask.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use gorsebank_world::NodeId;

use super::Shared;
use crate::feed::Member;

/// Gateways are reckoned to be at least so many, until the table was read.
pub(super) const LEAST_GATEWAYS: usize = 4;
/// Gateways that may have joined and are not yet known.
const UNKNOWN_GATEWAYS: usize = 2;

/// The gateways that are known.
#[derive(Debug, Default)]
pub(super) struct Members {
    count: usize,
    answering: Vec<Member>,
    /// Who places models, as the lease says.
    holder: Option<NodeId>,
}

impl Shared {
    /// So many gateways have a row, and these answer others.
    pub fn set_members(&self, count: usize, answering: Vec<Member>) {
        self.gateways
            .store(count.max(LEAST_GATEWAYS), Ordering::Relaxed);
        let own = self.settings.node.as_str();
        let others = answering.iter().filter(|member| member.name != own);
        self.table
            .set_peers(others.map(|member| member.address).collect());
        let mut members = self.members.lock();
        members.count = count;
        members.answering = answering;
        self.place_in_feed(&members);
    }

    /// The lease says who places models.
    pub fn set_holder(&self, holder: Option<NodeId>) {
        let mut members = self.members.lock();
        if members.holder == holder {
            return;
        }
        let counts = holder.as_ref() == Some(&self.settings.node);
        members.holder = holder;
        self.place_in_feed(&members);
        drop(members);
        self.back_end_limits.set_counting(self.now(), counts);
        self.new_holder.notify_one();
    }

    fn place_in_feed(&self, members: &Members) {
        let own = self.settings.node.as_str();
        let holder = members.holder.as_ref().map(NodeId::as_str);
        let mut parents = self.feed.parents.lock();
        if parents.set_members(own, &members.answering, holder) {
            self.feed.moved.notify_one();
        }
    }

    /// The gateway that places models, as the lease says.
    pub fn holder(&self) -> Option<NodeId> {
        self.members.lock().holder.clone()
    }

    /// Where the gateway that places models answers; none if there is none, or if it is
    /// not known.
    pub fn holder_address(&self) -> Option<SocketAddr> {
        self.address_of(&self.holder()?)
    }

    /// Where a gateway answers others; none if that is not known.
    pub fn address_of(&self, name: &NodeId) -> Option<SocketAddr> {
        let members = self.members.lock();
        let mut answering = members.answering.iter();
        Some(
            answering
                .find(|member| member.name == name.as_str())?
                .address,
        )
    }

    /// The gateways that answer others.
    pub fn answering_members(&self) -> Vec<Member> {
        self.members.lock().answering.clone()
    }

    /// Gateways that have a row.
    pub fn known_gateways(&self) -> usize {
        self.members.lock().count
    }

    /// Whether this gateway may place models: others can tell it of their demand, or
    /// there are no others.
    pub fn can_place(&self) -> bool {
        let own = self.settings.node.as_str();
        let members = self.members.lock();
        let answers = members.answering.iter().any(|member| member.name == own);
        answers || members.answering.is_empty()
    }

    /// Processor of the strongest machine that is known, in thousandths of a core.
    pub fn strongest_millicores(&self) -> u32 {
        let members = self.members.lock();
        let millicores = members.answering.iter().map(|member| member.row.millicores);
        millicores.max().unwrap_or(0)
    }

    /// Processor of one machine.
    pub fn millicores_of(&self, name: &NodeId) -> Option<u32> {
        let members = self.members.lock();
        let mut answering = members.answering.iter();
        let member = answering.find(|member| member.name == name.as_str())?;
        Some(member.row.millicores)
    }

    /// Gateways that there may be.
    pub fn possible_gateways(&self) -> usize {
        self.gateways.load(Ordering::Relaxed) + UNKNOWN_GATEWAYS
    }
}
