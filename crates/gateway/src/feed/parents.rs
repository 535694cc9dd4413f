//! Whom a gateway asks for changes of the tables.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use gorsebank_fleet::MemberRow;
use gorsebank_fleet::feeders::{Candidate, FeedOrder, Place};
use gorsebank_world::ZoneId;
use tokio::time::Instant;

use crate::lines::{self, Rank};

/// A gateway that did not answer is not asked again for so long ...
const REST: Duration = Duration::from_secs(2);
/// ... and one whose answer was too old for so long: the table may answer it again.
const REST_OF_OLD: Duration = Duration::from_millis(300);
/// A gateway that was asked of late is needed by others.
const ASKED_LIFETIME: Duration = Duration::from_secs(5);
/// A gateway that no other one feeds follows the table for so long, once it has seen that
/// the table answers.
const ON_ITS_OWN: Duration = Duration::from_millis(1_500);

/// A gateway that answers others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it answers other gateways.
    pub address: SocketAddr,
    /// What its machine can carry.
    pub row: MemberRow,
}

/// A gateway that may feed this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Where it answers.
    pub address: SocketAddr,
    /// Whether it follows the table, as far as this gateway knows.
    pub is_root: bool,
}

/// Whom to ask, and who was of no use of late.
#[derive(Debug, Default)]
pub struct Parents {
    place: Place,
    asks: Vec<Parent>,
    /// The other roots, at a root.
    fellow_roots: Vec<SocketAddr>,
    resting: HashMap<SocketAddr, Instant>,
    asked: Option<Instant>,
    on_its_own: Option<Instant>,
    /// Who gave the last answer; none if the table itself did.
    feeder: Option<SocketAddr>,
}

impl Parents {
    /// The gateways that are known, this one among them if it answers others, and the one
    /// that places models. True if this gateway has another place than before.
    pub fn set_members(&mut self, own: &str, members: &[Member], holder: Option<&str>) -> bool {
        let candidates = members.iter().map(|member| Candidate {
            name: &member.name,
            link_megabits: member.row.link_megabits,
            millicores: member.row.millicores,
            zone: member.row.zone.as_ref().map(ZoneId::as_str),
            places_models: holder == Some(member.name.as_str()),
        });
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let order = FeedOrder::new(own, &candidates);
        let parent = |index: &usize| Parent {
            address: members[*index].address,
            is_root: order.roots.contains(index),
        };
        self.asks = order.asks.iter().map(parent).collect();
        let is_root = order.place == Place::Root;
        let roots = members.iter().enumerate();
        let fellows = roots
            .filter(|(index, member)| is_root && member.name != own && order.roots.contains(index));
        self.fellow_roots = fellows.map(|(_, member)| member.address).collect();
        let (asks, now) = (&self.asks, Instant::now());
        self.resting.retain(|address, until| {
            now < *until && asks.iter().any(|parent| parent.address == *address)
        });
        let former = std::mem::replace(&mut self.place, order.place);
        if former != order.place {
            let fields = format_args!(
                "place={:?} former={former:?} gateways={}",
                order.place,
                members.len()
            );
            lines::write(Rank::Decision, "feed_place", fields);
        }
        former != order.place
    }

    /// The place in the tree.
    pub fn place(&self) -> Place {
        self.place
    }

    /// Whether nobody feeds this gateway.
    pub fn is_root(&self) -> bool {
        self.place == Place::Root
    }

    /// The other roots, at a root.
    pub fn fellow_roots(&self) -> Vec<SocketAddr> {
        self.fellow_roots.clone()
    }

    /// Whether this gateway follows the table now.
    pub fn follows_table(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < ON_ITS_OWN;
        self.place == Place::Root || self.on_its_own.is_some_and(is_recent)
    }

    /// Nobody feeds this gateway, and the table answers: it follows the table for a while.
    pub fn note_on_its_own(&mut self) {
        self.on_its_own = Some(Instant::now());
    }

    /// Gateways to ask now, in this order.
    pub fn candidates(&self) -> Vec<Parent> {
        let now = Instant::now();
        let rests = |parent: &Parent| {
            let until = self.resting.get(&parent.address);
            until.is_some_and(|until| now < *until)
        };
        let asks = self.asks.iter().copied();
        asks.filter(|parent| !rests(parent)).collect()
    }

    /// A gateway did not answer, or what it answered is too old.
    pub fn note_failed(&mut self, parent: Parent, answered: bool) {
        let rest = if answered { REST_OF_OLD } else { REST };
        self.resting.insert(parent.address, Instant::now() + rest);
    }

    /// Another gateway asked this one.
    pub fn note_asked(&mut self) {
        self.asked = Some(Instant::now());
    }

    /// Whether others need this gateway's answers.
    pub fn is_needed(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < ASKED_LIFETIME;
        self.place == Place::Middle || self.asked.is_some_and(is_recent)
    }

    /// A line when another gateway, or the table, answers from now on.
    pub fn note_feeder(&mut self, feeder: Option<SocketAddr>) {
        let former = std::mem::replace(&mut self.feeder, feeder);
        if former != feeder {
            let name = |it: Option<SocketAddr>| it.map_or("table".to_owned(), |it| it.to_string());
            let fields = format_args!("from={} former={}", name(feeder), name(former));
            lines::write(Rank::Decision, "fed", fields);
        }
    }
}
