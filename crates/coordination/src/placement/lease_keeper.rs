//! Acquires and renews the cell's placement lease, a row of the table service.
//!
//! In: the live nodes, rows to write, table responses, time. Out: transactions,
//! one at a time, and changes of the lease.
//!
//! Invariant: every transaction of a holder compares the lease row with the
//! revision of its own last write and rewrites the row. A suspended or replaced
//! holder therefore commits nothing. A transaction whose response was lost is
//! sent again unchanged: either the transaction takes effect now, or the row
//! already contains its identifier. A crash between a commit and its response
//! leaves decisions in the table that the next holder reads when it acquires the
//! lease.

use gorsebank_contract::{
    Compare, Fence, Lease, Put, TableRow, Transaction, TransactionId, TransactionResult,
};
use gorsebank_world::CellId;

use crate::configuration_writer::to_json;
use crate::membership::{Identity, View};
use crate::settings::PlacementSettings;
use crate::time::Timestamp;

/// Number of nodes that are candidates for a free lease.
const CANDIDATE_COUNT: usize = 2;
/// Name of the placement role in rendezvous hashing.
const LEASE_ROLE: &str = "placement";
/// Interval between two reads of the lease by a follower, in milliseconds.
const READ_INTERVAL_MS: u64 = 500;
/// Delay before a transaction without a response is sent again, in milliseconds.
const RESEND_DELAY_MS: u64 = 250;

/// Effect of a table response on the lease.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseEvent {
    /// This node apply_acquisition the lease.
    Acquired {
        /// The new fencing token.
        fence: Fence,
        /// All rows of the cell at the time of the acquisition.
        rows: Vec<TableRow>,
    },
    /// The transaction with this number took effect.
    Committed(u64),
    /// Another node holds the lease.
    Lost,
    /// The response changes nothing.
    Nothing,
}

#[derive(Debug)]
enum Role {
    Follower { next_read: Timestamp },
    Holder { fence: Fence, modified: u64 },
}

#[derive(Debug)]
enum Purpose {
    ReadLease,
    Acquire(Lease),
    Decide(Lease),
}

#[derive(Debug)]
struct InFlight {
    number: u64,
    purpose: Purpose,
    transaction: Transaction,
    first_sent: Timestamp,
    resend_at: Option<Timestamp>,
}

/// State of one node as follower or holder of the lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    identity: Identity,
    settings: PlacementSettings,
    role: Role,
    in_flight: Option<InFlight>,
    last_number: u64,
    last_commit: Timestamp,
}

impl LeaseKeeper {
    /// Creates a follower that first reads the lease at `start`.
    pub fn new(identity: Identity, settings: PlacementSettings, start: Timestamp) -> Self {
        LeaseKeeper {
            identity,
            settings,
            role: Role::Follower { next_read: start },
            in_flight: None,
            last_number: 0,
            last_commit: Timestamp(0),
        }
    }

    /// The fencing token under which this node holds the lease.
    pub fn fence(&self) -> Option<Fence> {
        match self.role {
            Role::Holder { fence, .. } => Some(fence),
            Role::Follower { .. } => None,
        }
    }

    /// Whether a transaction is in flight.
    pub fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether the last commit is recent and no transaction has been in flight for
    /// longer than the table timeout.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        let age = now.since(self.last_commit);
        age < self.settings.lease_interval + self.settings.table_timeout
            && self.pending_time(now) < self.settings.table_timeout
    }

    /// Milliseconds since the transaction in flight was first sent; 0 without one.
    pub fn pending_time(&self, now: Timestamp) -> u64 {
        self.in_flight
            .as_ref()
            .map_or(0, |sent| now.since(sent.first_sent))
    }

    /// Stops holding the lease.
    pub fn step_down(&mut self, now: Timestamp) {
        self.role = Role::Follower {
            next_read: now + READ_INTERVAL_MS,
        };
        self.in_flight = None;
    }

    /// Builds a transaction that reads the lease, or repeats the transaction that
    /// got no response.
    pub fn tick(&mut self, now: Timestamp, view: &View) -> Option<(u64, Transaction)> {
        if let Some(sent) = &mut self.in_flight {
            sent.resend_at.take_if(|at| *at <= now)?;
            return Some((sent.number, sent.transaction.clone()));
        }
        let Role::Follower { next_read } = &mut self.role else {
            return None;
        };
        if *next_read > now || !is_candidate(view, &self.identity) {
            return None;
        }
        *next_read = now + READ_INTERVAL_MS;
        let transaction = Transaction {
            compares: Vec::new(),
            puts: Vec::new(),
            reads: vec![lease_key(&self.identity.cell)],
        };
        Some(self.send(now, Purpose::ReadLease, transaction))
    }

    /// Builds a transaction that writes `puts` and renews the lease, if there are
    /// rows to write, the renewal is due, or `must_commit` is set.
    pub fn decide(
        &mut self,
        now: Timestamp,
        puts: Vec<Put>,
        must_commit: bool,
    ) -> Option<(u64, Transaction)> {
        let Role::Holder { fence, modified } = self.role else {
            return None;
        };
        let is_renewal_due = now.since(self.last_commit) >= self.settings.lease_interval;
        if self.in_flight.is_some() || (puts.is_empty() && !is_renewal_due && !must_commit) {
            return None;
        }
        let lease = self.next_lease(fence);
        let transaction = self.fenced_transaction(&lease, modified, puts, Vec::new());
        Some(self.send(now, Purpose::Decide(lease), transaction))
    }

    fn next_lease(&self, fence: Fence) -> Lease {
        Lease {
            holder: self.identity.node.clone(),
            fence,
            transaction: TransactionId {
                node: self.identity.node.clone(),
                incarnation: self.identity.incarnation,
                number: self.last_number + 1,
            },
        }
    }

    fn fenced_transaction(
        &self,
        lease: &Lease,
        modified: u64,
        mut puts: Vec<Put>,
        mut reads: Vec<String>,
    ) -> Transaction {
        let key = lease_key(&self.identity.cell);
        puts.push(Put {
            key: key.clone(),
            value: to_json(lease),
        });
        reads.push(key.clone());
        Transaction {
            compares: vec![Compare { key, modified }],
            puts,
            reads,
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        purpose: Purpose,
        transaction: Transaction,
    ) -> (u64, Transaction) {
        self.last_number += 1;
        self.in_flight = Some(InFlight {
            number: self.last_number,
            purpose,
            transaction: transaction.clone(),
            first_sent: now,
            resend_at: None,
        });
        (self.last_number, transaction)
    }

    /// Applies the table's response to transaction `number`. If a candidate has
    /// read the lease, a second transaction tries to acquire it.
    pub fn apply_response(
        &mut self,
        now: Timestamp,
        number: u64,
        answer: TransactionResult,
        view: &View,
    ) -> (LeaseEvent, Option<(u64, Transaction)>) {
        let Some(mut sent) = self.in_flight.take_if(|sent| sent.number == number) else {
            return (LeaseEvent::Nothing, None);
        };
        if answer == TransactionResult::Unknown {
            if !matches!(sent.purpose, Purpose::ReadLease) {
                sent.resend_at = Some(now + RESEND_DELAY_MS);
                self.in_flight = Some(sent);
            }
            return (LeaseEvent::Nothing, None);
        }
        match sent.purpose {
            Purpose::ReadLease => (
                LeaseEvent::Nothing,
                self.apply_lease_read(now, answer, view),
            ),
            Purpose::Acquire(lease) => (self.apply_acquisition(now, &lease, answer), None),
            Purpose::Decide(lease) => (self.apply_decision(now, number, &lease, answer), None),
        }
    }

    fn apply_lease_read(
        &mut self,
        now: Timestamp,
        answer: TransactionResult,
        view: &View,
    ) -> Option<(u64, Transaction)> {
        if !is_candidate(view, &self.identity) {
            return None;
        }
        let key = lease_key(&self.identity.cell);
        let rows = answer.into_rows();
        let row = rows.iter().find(|row| row.key == key);
        let known = row.and_then(|row| serde_json::from_str::<Lease>(&row.value).ok());
        let previous_fence = known.map_or(Fence(0), |lease| lease.fence);
        let lease = self.next_lease(previous_fence.next());
        let modified = row.map_or(0, |row| row.modified);
        let reads = vec![cell_prefix(&self.identity.cell)];
        let transaction = self.fenced_transaction(&lease, modified, Vec::new(), reads);
        Some(self.send(now, Purpose::Acquire(lease), transaction))
    }

    fn apply_acquisition(
        &mut self,
        now: Timestamp,
        lease: &Lease,
        answer: TransactionResult,
    ) -> LeaseEvent {
        let Some((modified, rows)) = self.committed_at(lease, answer) else {
            self.step_down(now);
            return LeaseEvent::Nothing;
        };
        self.last_commit = now;
        self.role = Role::Holder {
            fence: lease.fence,
            modified,
        };
        LeaseEvent::Acquired {
            fence: lease.fence,
            rows,
        }
    }

    fn apply_decision(
        &mut self,
        now: Timestamp,
        number: u64,
        lease: &Lease,
        answer: TransactionResult,
    ) -> LeaseEvent {
        let Some((modified, _)) = self.committed_at(lease, answer) else {
            self.step_down(now);
            return LeaseEvent::Lost;
        };
        self.last_commit = now;
        self.role = Role::Holder {
            fence: lease.fence,
            modified,
        };
        LeaseEvent::Committed(number)
    }

    /// The revision at which the transaction that wrote `lease` took effect, and
    /// the rows that were read; `None` if the transaction had no effect.
    fn committed_at(
        &self,
        lease: &Lease,
        answer: TransactionResult,
    ) -> Option<(u64, Vec<TableRow>)> {
        match answer {
            TransactionResult::Committed { revision, rows } => Some((revision, rows)),
            TransactionResult::Conflict { rows } => {
                let key = lease_key(&self.identity.cell);
                let row = rows.iter().find(|row| row.key == key)?;
                let written: Lease = serde_json::from_str(&row.value).ok()?;
                let modified = row.modified;
                (written.transaction == lease.transaction).then_some((modified, rows))
            }
            TransactionResult::Refused { .. } | TransactionResult::Unknown => None,
        }
    }
}

/// Key prefix of all rows of a cell.
pub fn cell_prefix(cell: &CellId) -> String {
    format!("cells/{cell}/")
}

/// Key of the lease row of a cell.
pub fn lease_key(cell: &CellId) -> String {
    format!("cells/{cell}/lease")
}

fn is_candidate(view: &View, identity: &Identity) -> bool {
    let has_holder = view
        .holder
        .as_ref()
        .is_some_and(|holder| view.active().any(|node| node == holder));
    !has_holder && view.is_among_first(LEASE_ROLE, &identity.node, CANDIDATE_COUNT)
}
