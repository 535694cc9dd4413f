//! The keepers of each group of streams, computed once for each set of gateways.

use std::collections::HashMap;
use std::net::SocketAddr;

use gorsebank_fleet::stream_origins::{Keeper, KeeperGroup, keepers_of, keepers_to_ask};
use gorsebank_world::{NodeId, ZoneId};

use crate::feed::Member;

/// The keepers of the groups that were used since the gateways last changed.
#[derive(Debug, Default)]
pub struct Keepers {
    groups: HashMap<KeeperGroup, GroupKeepers>,
}

/// The other gateways that have to do with the records of one group, in order.
#[derive(Clone, Debug, Default)]
pub struct GroupKeepers {
    /// The gateways to which records are sent.
    pub to_send: Vec<SocketAddr>,
    /// The gateways to ask for a record.
    pub to_ask: Vec<SocketAddr>,
}

impl Keepers {
    /// Forgets all groups, because the gateways have changed.
    pub fn clear(&mut self) {
        self.groups.clear();
    }

    /// The keepers of a group among `members`, for the gateway `own` in `zone`.
    pub fn of_group(
        &mut self,
        members: &[Member],
        own: &NodeId,
        zone: &ZoneId,
        group: KeeperGroup,
    ) -> GroupKeepers {
        let compute = || GroupKeepers::new(members, own, zone, group);
        self.groups.entry(group).or_insert_with(compute).clone()
    }
}

impl GroupKeepers {
    fn new(members: &[Member], own: &NodeId, zone: &ZoneId, group: KeeperGroup) -> Self {
        let gateways: Vec<Keeper<'_>> = members.iter().map(keeper).collect();
        let asked: Vec<&Member> = keepers_to_ask(&gateways, group)
            .into_iter()
            .map(|index| &members[index])
            .collect();
        let candidates: Vec<Keeper<'_>> = asked.iter().map(|it| keeper(it)).collect();
        let to_send = keepers_of(&candidates, own, zone).into_iter();
        let others = asked.iter().filter(|it| it.name != own.as_str());
        GroupKeepers {
            to_send: to_send.map(|index| asked[index].address).collect(),
            to_ask: others.map(|member| member.address).collect(),
        }
    }
}

fn keeper(member: &Member) -> Keeper<'_> {
    Keeper {
        name: &member.name,
        zone: member.row.zone.as_ref(),
    }
}
