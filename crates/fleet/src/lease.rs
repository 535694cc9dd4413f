//! The placement lease: one row of the table, kept by conditional writes.
//!
//! In: the row as read, the outcome of writes, steady time. Out: what to do
//! next. The fence is the table's version of the write that took the lease, so
//! it rises with every holder and no clock is compared between nodes.
//!
//! Invariants: a holder gives orders only until `lease x ORDER_PART` after it
//! *sent* its last successful write, and none from when it sends the write that hands
//! the lease back, whether or not that has an answer; another node takes the lease only when it
//! has seen the same version for `lease x TAKE_PART`; a node that lost the lease
//! leaves it to others for `COOL_DOWN` leases, so holders do not take turns. A
//! crash at any line leaves a row that nobody renews.

use gorsebank_coordination::Timestamp;
use gorsebank_world::NodeId;
use serde::{Deserialize, Serialize};

/// Part of the lease within which its holder gives orders.
const ORDER_PART: f64 = 0.8;
/// Part of the lease after which another node takes it.
const TAKE_PART: f64 = 1.1;
/// Leases for which a node that lost it does not try to take it again.
const COOL_DOWN: u64 = 3;
/// Part of the lease after which it is renewed.
const RENEW_PART: f64 = 0.35;
/// After so long a part of the lease without a look nothing is known of what its holder
/// did meanwhile: it may have been kept from renewing the lease, as this node from looking.
const BLIND_PART: f64 = 0.8;
/// Part of the lease between two looks at another's lease: these cost no call.
const LOOK_PART: f64 = 0.12;

/// The row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds it; none once it was handed back.
    pub holder: Option<NodeId>,
    /// A random number of the holder's process.
    pub process: u64,
    /// Counts the writes of that process.
    pub write: u64,
}

/// Whether a node would hold the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Not now; a holder hands it back.
    Never,
    /// So many milliseconds after it could be taken at the earliest: stronger nodes
    /// take it first.
    After(u64),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing until this time.
    Wait(Timestamp),
    /// Read the row.
    Read,
    /// Write `row` if the row still has version `expected` (0: absent).
    Write {
        /// Version that the row must have.
        expected: u64,
        /// The new row.
        row: LeaseRow,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    Holder { fence: u64, renewed: Timestamp },
}

/// One node's part in keeping the lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    node: NodeId,
    process: u64,
    lease: u64,
    role: Role,
    writes: u64,
    version: Option<u64>,
    free: bool,
    seen_since: Timestamp,
    looked: Option<Timestamp>,
    sent: Timestamp,
    lost: Option<Timestamp>,
    held_since: Option<Timestamp>,
    /// A write that hands the lease back was sent: others may hold the lease from then on.
    hands_back: bool,
    /// Something is to be written beside the lease soon.
    renews_soon: bool,
}

impl LeaseKeeper {
    /// A follower. `process` is a random number, `lease` is in milliseconds.
    pub fn new(node: NodeId, process: u64, lease: u64) -> Self {
        LeaseKeeper {
            node,
            process,
            lease,
            role: Role::Follower,
            writes: 0,
            version: None,
            free: false,
            seen_since: Timestamp(0),
            looked: None,
            sent: Timestamp(0),
            lost: None,
            held_since: None,
            hands_back: false,
            renews_soon: false,
        }
    }

    /// The fence under which orders may be given at `now`.
    pub fn fence(&self, now: Timestamp) -> Option<u64> {
        let Role::Holder { fence, renewed } = self.role else {
            return None;
        };
        let valid = !self.hands_back && now.since(renewed) < self.part(ORDER_PART);
        valid.then_some(fence)
    }

    /// A holder's next step renews the lease, whenever that was done last.
    pub fn renew_soon(&mut self) {
        self.renews_soon = true;
    }

    /// Whether this node took the lease and has not lost it since.
    pub fn is_holder(&self) -> bool {
        matches!(self.role, Role::Holder { .. })
    }

    /// How long this node has held the lease without a break, in milliseconds.
    pub fn held_for(&self, now: Timestamp) -> Option<u64> {
        let since = self.held_since.filter(|_| self.is_holder())?;
        Some(now.since(since))
    }

    /// What to do next, on a node that offers itself so.
    pub fn step(&mut self, now: Timestamp, offer: Offer) -> LeaseStep {
        if let Role::Holder { renewed, .. } = self.role {
            return self.holder_step(now, renewed, offer != Offer::Never);
        }
        let next_look = self.looked.map(|at| at + self.part(LOOK_PART));
        let Some(version) = self.version else {
            return match next_look {
                Some(at) if at > now => LeaseStep::Wait(at),
                _ => LeaseStep::Read,
            };
        };
        let free_at = if self.free {
            self.seen_since
        } else {
            self.seen_since + self.part(TAKE_PART)
        };
        let take_at = match offer {
            Offer::Never => None,
            Offer::After(delay) => Some(free_at + delay),
        };
        let cools_down = self
            .lost
            .is_some_and(|at| now.since(at) < COOL_DOWN * self.lease);
        let takes = take_at.is_some_and(|at| now >= at);
        if takes && !cools_down {
            return self.write(now, version, Some(self.node.clone()));
        }
        match next_look {
            Some(at) if at > now => {
                let take_at = take_at.filter(|take| *take > now);
                LeaseStep::Wait(take_at.map_or(at, |take| at.min(take)))
            }
            _ => LeaseStep::Read,
        }
    }

    fn holder_step(&mut self, now: Timestamp, renewed: Timestamp, may_hold: bool) -> LeaseStep {
        let Some(version) = self.version else {
            return LeaseStep::Read;
        };
        if !may_hold {
            self.hands_back = true;
            return self.write(now, version, None);
        }
        let renew_at = renewed + self.part(RENEW_PART);
        if now < renew_at && !self.hands_back && !self.renews_soon {
            return LeaseStep::Wait(renew_at);
        }
        self.write(now, version, Some(self.node.clone()))
    }

    fn write(&mut self, now: Timestamp, expected: u64, holder: Option<NodeId>) -> LeaseStep {
        self.writes += 1;
        self.sent = now;
        let row = LeaseRow {
            holder,
            process: self.process,
            write: self.writes,
        };
        LeaseStep::Write { expected, row }
    }

    /// The row was read: its version (0 if absent) and content.
    pub fn read(&mut self, now: Timestamp, version: u64, row: Option<&LeaseRow>) {
        let blind = self.part(BLIND_PART);
        let was_blind = self.looked.is_none_or(|at| now.since(at) > blind);
        self.looked = Some(now);
        if was_blind || self.version != Some(version) {
            self.version = Some(version);
            self.seen_since = now;
        }
        self.free = row.is_none_or(|row| self.is_left_behind(row));
        let own = row.filter(|row| row.process == self.process && row.holder.is_some());
        match own {
            Some(row) if row.write == self.writes => self.hold(now, version),
            // An earlier write stands: the last one had no answer and may still take effect.
            Some(_) if self.is_holder() => {}
            _ => self.follow(now),
        }
    }

    fn follow(&mut self, now: Timestamp) {
        if self.is_holder() {
            self.lost = Some(now);
        }
        self.role = Role::Follower;
        self.hands_back = false;
    }

    /// Whether nobody can hold the lease any more: it was handed back, or it was
    /// taken by a former process of this very node.
    fn is_left_behind(&self, row: &LeaseRow) -> bool {
        match &row.holder {
            None => true,
            Some(holder) => *holder == self.node && row.process != self.process,
        }
    }

    /// The write took effect as `version`.
    pub fn written(&mut self, now: Timestamp, version: u64, row: &LeaseRow) {
        self.version = Some(version);
        self.seen_since = now;
        self.looked = Some(now);
        self.free = row.holder.is_none();
        if row.holder.is_some() {
            self.hold(now, version);
        } else {
            // Whoever handed it back leaves it to others.
            self.follow(now);
        }
    }

    /// The write had no answer: it may take effect later. The row is read next.
    pub fn unanswered(&mut self) {
        self.version = None;
    }

    /// The condition of the write did not hold.
    pub fn refused(&mut self) {
        // The row is read next; it may show an earlier write of this process.
        self.version = None;
    }

    /// Time from which the holder's validity counts is when the write was sent. A hand-back
    /// that was sent before cannot take effect any more: its condition is an older version.
    fn hold(&mut self, now: Timestamp, version: u64) {
        if !self.is_holder() {
            self.held_since = Some(now);
        }
        let fence = match self.role {
            Role::Holder { fence, .. } => fence,
            Role::Follower => version,
        };
        self.hands_back = false;
        self.renews_soon = false;
        self.role = Role::Holder {
            fence,
            renewed: self.sent,
        };
    }

    fn part(&self, part: f64) -> u64 {
        (self.lease as f64 * part) as u64
    }
}
