//! A lease, such as the placement lease: one row of the table, changed by conditional writes only.
//!
//! Input: the row as read, the outcomes of writes, and monotonic time. Output: the next step. The
//! fencing token is the table's revision of the write that took the lease. It increases with every
//! holder, and no clocks are compared between nodes.
//!
//! A table that is restored from an older copy may show a holder that lost the lease since, and the
//! holder of the lost history may still give orders. A node therefore takes the lease only when it
//! has known of the restore for `lease * ORDER_FRACTION`, unless it held the lease when it learned
//! of the restore. A holder that continues has a new fencing token, which is greater than all of
//! the lost history.
//!
//! Invariants: a holder gives orders only until `lease * ORDER_FRACTION` after it *sent* its last
//! successful write, and none once it has sent the write that hands the lease back, whether or not
//! that write is confirmed. Another node takes the lease only when it has seen the same version for
//! `lease * TAKE_FRACTION`. A node that lost the lease does not take it for
//! `lease * COOL_DOWN_LEASES`, so that holders do not alternate. A crash at any point leaves a row
//! that no node renews.

use gorsebank_contract::era_of;
use gorsebank_coordination::Timestamp;
use gorsebank_world::NodeId;
use serde::{Deserialize, Serialize};

/// Fraction of the lease within which its holder gives orders.
const ORDER_FRACTION: f64 = 0.8;
/// Fraction of the lease after which another node takes it.
const TAKE_FRACTION: f64 = 1.1;
/// Number of lease durations for which a node that lost the lease does not take it again.
const COOL_DOWN_LEASES: u64 = 3;
/// Fraction of the lease after which its holder renews it.
const RENEW_FRACTION: f64 = 0.35;
/// Fraction of the lease after the last read at which a node's knowledge of the holder is void:
/// the holder may have been kept from renewing the lease by the same fault that kept this node
/// from reading it.
const STALE_FRACTION: f64 = 0.8;
/// Fraction of the lease between two reads of another holder's row. These reads cost no call of
/// the table.
const READ_FRACTION: f64 = 0.12;

/// The row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder; `None` after the lease was handed back.
    pub holder: Option<NodeId>,
    /// Random number that identifies the holder's process.
    pub process: u64,
    /// Number of writes of that process.
    pub write: u64,
}

/// Whether, and after which delay, a node is a candidate for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidacy {
    /// The node is no candidate; if it holds the lease, it hands it back.
    Never,
    /// The node takes the lease this number of milliseconds after the lease becomes free, so that
    /// stronger nodes can take it first.
    After(u64),
}

/// The next step of a [`LeaseKeeper`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Do nothing until this time.
    Wait(Timestamp),
    /// Read the row.
    Read,
    /// Write `row` if the table's row still has version `expected` (0: the row does not exist).
    Write {
        /// The required version of the row.
        expected: u64,
        /// The new row.
        row: LeaseRow,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    Holder {
        /// Revision of the write that took the lease.
        tenure: u64,
        /// Equal to `tenure` until the table is restored.
        fence: u64,
        renewed: Timestamp,
    },
}

/// The state of one node that competes for or holds the lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    node: NodeId,
    process: u64,
    lease_ms: u64,
    role: Role,
    writes: u64,
    version: Option<u64>,
    is_free: bool,
    version_since: Timestamp,
    last_read: Option<Timestamp>,
    /// The era of the last read.
    era: Option<u64>,
    /// When no holder of a lost history can give orders any more.
    settled_at: Timestamp,
    write_sent: Timestamp,
    lost_at: Option<Timestamp>,
    held_since: Option<Timestamp>,
    /// Whether a write that hands the lease back was sent: another node may hold the lease since.
    release_sent: bool,
    /// Whether other data is to be written together with the lease soon.
    renewal_requested: bool,
}

impl LeaseKeeper {
    /// Starts as a follower. `process` is a random number, `lease_ms` the duration of the lease in
    /// milliseconds.
    pub fn new(node: NodeId, process: u64, lease_ms: u64) -> Self {
        LeaseKeeper {
            node,
            process,
            lease_ms,
            role: Role::Follower,
            writes: 0,
            version: None,
            is_free: false,
            version_since: Timestamp(0),
            last_read: None,
            era: None,
            settled_at: Timestamp(0),
            write_sent: Timestamp(0),
            lost_at: None,
            held_since: None,
            release_sent: false,
            renewal_requested: false,
        }
    }

    /// The fencing token under which orders may be given at `now`; `None` if none may be given.
    pub fn fence(&self, now: Timestamp) -> Option<u64> {
        let Role::Holder { fence, renewed, .. } = self.role else {
            return None;
        };
        let valid = !self.release_sent && self.is_valid(now, renewed);
        valid.then_some(fence)
    }

    /// Whether no other node can have taken the lease since the renewal that was sent at `renewed`.
    fn is_valid(&self, now: Timestamp, renewed: Timestamp) -> bool {
        now.since(renewed) < self.fraction_ms(ORDER_FRACTION)
    }

    /// Identifies the time since this node has taken the lease; `None` if no orders may be given at
    /// `now`. Unlike the fencing token, it does not change when the table is restored.
    pub fn tenure(&self, now: Timestamp) -> Option<u64> {
        let Role::Holder { tenure, .. } = self.role else {
            return None;
        };
        self.fence(now).map(|_| tenure)
    }

    /// Makes the holder's next step a renewal, regardless of the time of the last one.
    pub fn request_renewal(&mut self) {
        self.renewal_requested = true;
    }

    /// Whether this node has taken the lease and has not lost it since.
    pub fn is_holder(&self) -> bool {
        matches!(self.role, Role::Holder { .. })
    }

    /// How long this node has held the lease without interruption, in milliseconds.
    pub fn held_for(&self, now: Timestamp) -> Option<u64> {
        let since = self.held_since.filter(|_| self.is_holder())?;
        Some(now.since(since))
    }

    /// Determines the next step of a node with this candidacy.
    pub fn step(&mut self, now: Timestamp, candidacy: Candidacy) -> LeaseStep {
        if let Role::Holder { renewed, .. } = self.role {
            return self.holder_step(now, renewed, candidacy != Candidacy::Never);
        }
        let next_read = self
            .last_read
            .map(|at| at + self.fraction_ms(READ_FRACTION));
        let Some(version) = self.version else {
            return match next_read {
                Some(at) if at > now => LeaseStep::Wait(at),
                _ => LeaseStep::Read,
            };
        };
        let free_at = if self.is_free {
            self.version_since
        } else {
            self.version_since + self.fraction_ms(TAKE_FRACTION)
        };
        let take_at = match candidacy {
            Candidacy::Never => None,
            Candidacy::After(delay) => Some(free_at.max(self.settled_at) + delay),
        };
        let is_cooling_down = self
            .lost_at
            .is_some_and(|at| now.since(at) < COOL_DOWN_LEASES * self.lease_ms);
        let may_take = take_at.is_some_and(|at| now >= at);
        if may_take && !is_cooling_down {
            return self.write(now, version, Some(self.node.clone()));
        }
        match next_read {
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
        if !may_hold && !self.is_valid(now, renewed) {
            // Another node may hold the lease. In a restored table, its row may have the expected
            // version, and would be replaced.
            self.lost_at = Some(now);
            self.give_up();
            return LeaseStep::Read;
        }
        if !may_hold {
            self.release_sent = true;
            return self.write(now, version, None);
        }
        let renew_at = renewed + self.fraction_ms(RENEW_FRACTION);
        if now < renew_at && !self.release_sent && !self.renewal_requested {
            return LeaseStep::Wait(renew_at);
        }
        self.write(now, version, Some(self.node.clone()))
    }

    fn write(&mut self, now: Timestamp, expected: u64, holder: Option<NodeId>) -> LeaseStep {
        self.writes += 1;
        self.write_sent = now;
        let row = LeaseRow {
            holder,
            process: self.process,
            write: self.writes,
        };
        LeaseStep::Write { expected, row }
    }

    /// Records the era of a read, before [`LeaseKeeper::record_read`]. In a later era than the known
    /// one, earlier reads say nothing about the row. A holder keeps the lease only if it may give
    /// orders now, since nobody else can have taken the lease in the lost history then.
    pub fn observe_era(&mut self, now: Timestamp, era: u64) {
        if self.era >= Some(era) {
            return;
        }
        self.era = Some(era);
        // In era 0, the table was never restored.
        if era == 0 {
            return;
        }
        self.version = None;
        self.last_read = None;
        self.settled_at = now + self.fraction_ms(ORDER_FRACTION);
        if self.fence(now).is_some() {
            self.renewal_requested = true;
            return;
        }
        self.give_up();
    }

    /// Stops holding the lease although the row may still show the last write of this process.
    fn give_up(&mut self) {
        self.role = Role::Follower;
        self.release_sent = false;
        // A row with an earlier number of writes does not confirm that this process is the holder.
        self.writes += 1;
    }

    /// Records a read of the row: its version (0 if it does not exist) and its content.
    pub fn record_read(&mut self, now: Timestamp, version: u64, row: Option<&LeaseRow>) {
        let stale_after = self.fraction_ms(STALE_FRACTION);
        let was_stale = self.last_read.is_none_or(|at| now.since(at) > stale_after);
        self.last_read = Some(now);
        if was_stale || self.version != Some(version) {
            self.version = Some(version);
            self.version_since = now;
        }
        self.is_free = row.is_none_or(|row| self.is_abandoned(row));
        let own = row.filter(|row| row.process == self.process && row.holder.is_some());
        match own {
            Some(row) if row.write == self.writes => self.become_holder(now, version),
            // The row shows an earlier write; the last one may still take effect.
            Some(_) if self.is_holder() => {}
            _ => self.become_follower(now),
        }
    }

    fn become_follower(&mut self, now: Timestamp) {
        if self.is_holder() {
            self.lost_at = Some(now);
        }
        self.role = Role::Follower;
        self.release_sent = false;
    }

    /// Whether no node can still hold the lease, provided that this process does not: it was handed
    /// back, or its holder is this node.
    fn is_abandoned(&self, row: &LeaseRow) -> bool {
        let holder = row.holder.as_ref();
        holder.is_none_or(|holder| *holder == self.node)
    }

    /// Records that the write of `row` took effect as `version`.
    pub fn record_write(&mut self, now: Timestamp, version: u64, row: &LeaseRow) {
        self.version = Some(version);
        self.version_since = now;
        self.last_read = Some(now);
        self.is_free = row.holder.is_none();
        if row.holder.is_some() {
            self.become_holder(now, version);
        } else {
            // A node that has handed the lease back leaves it to others for the cool-down time.
            self.become_follower(now);
        }
    }

    /// Records that the last write was not confirmed and may still take effect. The next step
    /// reads the row.
    pub fn record_unconfirmed_write(&mut self) {
        self.version = None;
    }

    /// Records that the condition of the last write did not hold.
    pub fn record_conflict(&mut self) {
        // The next step reads the row, which may show an earlier write of this process.
        self.version = None;
    }

    /// Makes this node the holder. The lease's validity counts from when the write was sent. An
    /// earlier write that hands the lease back can no longer take effect, since it expects an
    /// older version.
    fn become_holder(&mut self, now: Timestamp, version: u64) {
        if !self.is_holder() {
            self.held_since = Some(now);
        }
        let (tenure, fence) = match self.role {
            Role::Holder { tenure, fence, .. } if era_of(fence) == era_of(version) => {
                (tenure, fence)
            }
            Role::Holder { tenure, .. } => (tenure, version),
            Role::Follower => (version, version),
        };
        self.release_sent = false;
        self.renewal_requested = false;
        self.role = Role::Holder {
            tenure,
            fence,
            renewed: self.write_sent,
        };
    }

    fn fraction_ms(&self, fraction: f64) -> u64 {
        (self.lease_ms as f64 * fraction) as u64
    }
}
