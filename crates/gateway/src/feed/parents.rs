//! The gateways from which this one requests changes of the tables.
//!
//! In: the known gateways with the capacity of their machines, and the results of requests to
//! them. Out: this gateway's position in the distribution tree, and its parents that are not in
//! cooldown.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use gorsebank_fleet::MemberRow;
use gorsebank_fleet::distribution_tree::{ParentCandidate, ParentOrder, TreePosition};
use gorsebank_world::ZoneId;
use tokio::time::Instant;

use crate::event_log::{self, LogPriority};

/// A gateway that did not respond is not asked again for this time.
const NO_RESPONSE_COOLDOWN: Duration = Duration::from_secs(2);
/// A gateway whose response was too old is not asked again for this time. The cooldown is shorter,
/// since the gateway may soon reach the table again.
const STALE_RESPONSE_COOLDOWN: Duration = Duration::from_millis(300);
/// A gateway counts as having children for this time after a request from another gateway.
const CHILD_LIFETIME: Duration = Duration::from_secs(5);
/// A gateway that received no fresh response from a parent follows the table itself for this time
/// after the table has responded.
const DIRECT_FOLLOW_TIME: Duration = Duration::from_millis(1_500);

/// A gateway that responds to requests of other gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The name of the gateway's node.
    pub name: String,
    /// The address at which the gateway serves other gateways.
    pub address: SocketAddr,
    /// The gateway's row, which states the capacity of its machine.
    pub row: MemberRow,
}

/// A gateway from which this one may request updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parent {
    /// The address at which the gateway serves other gateways.
    pub address: SocketAddr,
    /// Whether the parent is a root, as far as this gateway knows.
    pub is_root: bool,
}

/// The parents of this gateway, and its position in the distribution tree.
#[derive(Debug, Default)]
pub struct Parents {
    position: TreePosition,
    /// The parents, in the order in which they are asked.
    parents: Vec<Parent>,
    /// The other roots, if this gateway is a root.
    peer_roots: Vec<SocketAddr>,
    /// Parents that did not send a fresh response, and the end of their cooldown.
    cooldowns: HashMap<SocketAddr, Instant>,
    /// When another gateway last requested updates from this one.
    last_request: Option<Instant>,
    /// When the table last responded to this gateway while no parent sent a fresh response.
    last_direct_response: Option<Instant>,
    /// The gateway that sent the last update; `None` if the table itself did.
    source: Option<SocketAddr>,
}

impl Parents {
    /// Updates the parents from the known gateways. `members` includes this gateway if it serves
    /// other gateways; `holder` is the placement holder. Returns whether the position of this
    /// gateway in the tree has changed.
    pub fn set_members(&mut self, own: &str, members: &[Member], holder: Option<&str>) -> bool {
        let candidates = members.iter().map(|member| ParentCandidate {
            name: &member.name,
            link_megabits: member.row.link_megabits,
            millicores: member.row.millicores,
            zone: member.row.zone.as_ref().map(ZoneId::as_str),
            is_placement_holder: holder == Some(member.name.as_str()),
        });
        let candidates: Vec<ParentCandidate<'_>> = candidates.collect();
        let order = ParentOrder::new(own, &candidates);
        let parent = |index: &usize| Parent {
            address: members[*index].address,
            is_root: order.roots.contains(index),
        };
        self.parents = order.parents.iter().map(parent).collect();
        let is_root = order.position == TreePosition::Root;
        let roots = members.iter().enumerate();
        let peers = roots
            .filter(|(index, member)| is_root && member.name != own && order.roots.contains(index));
        self.peer_roots = peers.map(|(_, member)| member.address).collect();
        let (parents, now) = (&self.parents, Instant::now());
        self.cooldowns.retain(|address, until| {
            now < *until && parents.iter().any(|parent| parent.address == *address)
        });
        let previous = std::mem::replace(&mut self.position, order.position);
        if previous != order.position {
            let fields = format_args!(
                "place={:?} former={previous:?} gateways={}",
                order.position,
                members.len()
            );
            event_log::write(LogPriority::State, "feed_place", fields);
        }
        previous != order.position
    }

    /// The position of this gateway in the tree.
    pub fn position(&self) -> TreePosition {
        self.position
    }

    /// Whether this gateway is a root, which has no parents.
    pub fn is_root(&self) -> bool {
        self.position == TreePosition::Root
    }

    /// The other roots if this gateway is a root; otherwise empty.
    pub fn peer_roots(&self) -> Vec<SocketAddr> {
        self.peer_roots.clone()
    }

    /// Whether this gateway currently follows the table itself.
    pub fn follows_table(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < DIRECT_FOLLOW_TIME;
        self.position == TreePosition::Root || self.last_direct_response.is_some_and(is_recent)
    }

    /// Records that the table responded while no parent sent a fresh response. The gateway then
    /// follows the table for `DIRECT_FOLLOW_TIME`.
    pub fn record_direct_response(&mut self) {
        self.last_direct_response = Some(Instant::now());
    }

    /// The parents that are not in cooldown, in the order in which to ask them.
    pub fn candidates(&self) -> Vec<Parent> {
        let now = Instant::now();
        let is_in_cooldown = |parent: &Parent| {
            let until = self.cooldowns.get(&parent.address);
            until.is_some_and(|until| now < *until)
        };
        let parents = self.parents.iter().copied();
        parents.filter(|parent| !is_in_cooldown(parent)).collect()
    }

    /// Starts the cooldown of a parent that did not respond, or whose response was too old.
    pub fn record_failure(&mut self, parent: Parent, has_responded: bool) {
        let cooldown = if has_responded {
            STALE_RESPONSE_COOLDOWN
        } else {
            NO_RESPONSE_COOLDOWN
        };
        self.cooldowns
            .insert(parent.address, Instant::now() + cooldown);
    }

    /// Records that another gateway requested updates from this one.
    pub fn record_request(&mut self) {
        self.last_request = Some(Instant::now());
    }

    /// Whether other gateways depend on updates from this one.
    pub fn has_children(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < CHILD_LIFETIME;
        self.position == TreePosition::Middle || self.last_request.is_some_and(is_recent)
    }

    /// The gateway that sent the last update; `None` if the table itself did.
    pub fn source(&self) -> Option<SocketAddr> {
        self.source
    }

    /// Records the source of the last update: a gateway, or `None` for the table itself. Logs a
    /// change of the source.
    pub fn record_source(&mut self, source: Option<SocketAddr>) {
        let previous = std::mem::replace(&mut self.source, source);
        if previous != source {
            let fields = format_args!(
                "from={} former={}",
                source_name(source),
                source_name(previous)
            );
            event_log::write(LogPriority::State, "fed", fields);
        }
    }
}

/// The name of a source of updates in the log.
pub fn source_name(source: Option<SocketAddr>) -> String {
    source.map_or("table".to_owned(), |address| address.to_string())
}
