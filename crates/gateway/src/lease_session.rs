//! A lease that is stored as one row of the table, and this process's participation in it.
//!
//! Input: the row, as received from other gateways or from the table. Output: conditional writes of
//! the row, which succeed only if no other gateway has written it meanwhile.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{Put, Transaction, TransactionResult, era_of};
use gorsebank_fleet::{Candidacy, LeaseKeeper, LeaseRow, LeaseStep};
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::backoff::Backoff;
use crate::ports::WatchedTable;
use crate::shared::Shared;
use crate::table_followers::NO_RESPONSE_PAUSE;

/// Maximum age of the cached lease row. An older row does not show who holds the lease.
const MAX_ROW_AGE: Duration = Duration::from_millis(1_600);

/// Maximum pause before a gateway that does not hold a lease calls the table again, after consecutive
/// calls without a response.
const MAX_NO_RESPONSE_PAUSE: Duration = Duration::from_secs(4);

/// When a gateway calls the table again for leases that it does not hold. All its leases share the
/// pauses: a table that is overloaded still executes calls that nobody waits for any more. They apply
/// in large fleets only, since a small one does not overload the table.
#[derive(Debug)]
pub struct LeaseRetries {
    backoff: Backoff,
    retry_at: Instant,
}

impl Default for LeaseRetries {
    fn default() -> Self {
        LeaseRetries {
            backoff: Backoff::new(NO_RESPONSE_PAUSE, MAX_NO_RESPONSE_PAUSE),
            retry_at: Instant::now(),
        }
    }
}

impl LeaseRetries {
    /// Time until the next call may be made.
    fn pause(&self) -> Duration {
        self.retry_at.saturating_duration_since(Instant::now())
    }

    fn record_response(&mut self) {
        self.backoff.reset();
    }

    fn record_failure(&mut self) {
        self.retry_at = Instant::now() + self.backoff.next_pause();
    }
}

/// Result of [`LeaseSession::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStepResult {
    /// Nothing is due for this time.
    Idle(Duration),
    /// The row was read, or another gateway has written it.
    Done,
    /// The row was written, together with the row that `extra_put` returned.
    Written,
}

/// A lease and its state at this process.
pub struct LeaseSession {
    /// State of the lease, as known to this process.
    pub keeper: Arc<Mutex<LeaseKeeper>>,
    shared: Arc<Shared>,
    key: String,
    /// Whether the last write was refused or had no response. The next read then bypasses the cache
    /// and reads the table.
    must_read_table: bool,
    /// The newest version of the row that this process has read or written; if the row was missing,
    /// that of the table.
    newest_version: u64,
}

impl LeaseSession {
    /// Creates the state for the lease `name` of the duration `lease`; nothing is known of the
    /// lease yet.
    pub fn new(shared: &Arc<Shared>, name: &str, lease: Duration) -> Self {
        let node = shared.settings.node.clone();
        let keeper = LeaseKeeper::new(node, rand::random(), lease.as_millis() as u64);
        LeaseSession {
            keeper: Arc::new(Mutex::new(keeper)),
            key: format!("{}/{name}", shared.platform.tables().lease),
            shared: shared.clone(),
            must_read_table: false,
            newest_version: 0,
        }
    }

    /// Whether this process has acquired the lease and has not lost it since.
    pub fn is_held(&self) -> bool {
        self.keeper.lock().is_holder()
    }

    /// Performs the step that is due. `candidacy` states whether this gateway is a candidate for
    /// the lease. The row that `extra_put` returns is written in the same transaction as the
    /// lease's row.
    pub async fn step(
        &mut self,
        candidacy: Candidacy,
        extra_put: impl FnOnce() -> Option<Put>,
    ) -> LeaseStepResult {
        let retry_pause = self.shared.lease_retries.lock().pause();
        let must_pause = retry_pause > Duration::ZERO && self.shared.is_large_fleet();
        if must_pause && !self.is_held() {
            return LeaseStepResult::Idle(retry_pause);
        }
        if let Some(pause) = self.candidate_pause() {
            return LeaseStepResult::Idle(pause);
        }
        let now = self.shared.now();
        let step = self.keeper.lock().step(now, candidacy);
        match step {
            LeaseStep::Wait(until) => {
                LeaseStepResult::Idle(Duration::from_millis(until.since(now)))
            }
            LeaseStep::Read => self.read().await,
            LeaseStep::Write { expected, row } => self.write(expected, row, extra_put()).await,
        }
    }

    async fn read(&mut self) -> LeaseStepResult {
        let shared = &self.shared;
        let table = shared.platform.tables().lease;
        let snapshot = if self.must_read_table {
            self.pace_call().await;
            let snapshot = shared.table().read(table).await.ok();
            self.record_call(snapshot.is_some());
            snapshot
        } else {
            shared.feed.snapshot(table, MAX_ROW_AGE)
        };
        let Some(snapshot) = snapshot else {
            return LeaseStepResult::Idle(NO_RESPONSE_PAUSE);
        };
        self.must_read_table = false;
        if snapshot.version < self.newest_version {
            // The cache is older than the row that this process has already read or written.
            return LeaseStepResult::Idle(NO_RESPONSE_PAUSE);
        }
        let row = snapshot.rows.iter().find(|row| row.key == self.key);
        // A restored table may not have the row.
        let version = row.map_or(0, |row| row.modified);
        self.newest_version = row.map_or(snapshot.version, |row| row.modified);
        let lease = row.and_then(|row| serde_json::from_str::<LeaseRow>(&row.value).ok());
        let now = shared.now();
        let mut keeper = self.keeper.lock();
        keeper.observe_era(now, era_of(snapshot.version));
        keeper.record_read(now, version, lease.as_ref());
        LeaseStepResult::Done
    }

    async fn write(
        &mut self,
        expected: u64,
        row: LeaseRow,
        extra_put: Option<Put>,
    ) -> LeaseStepResult {
        let shared = &self.shared;
        let Ok(value) = serde_json::to_string(&row) else {
            return LeaseStepResult::Idle(NO_RESPONSE_PAUSE);
        };
        let mut transaction = Transaction::put_if(self.key.clone(), expected, value);
        transaction.puts.extend(extra_put);
        self.pace_call().await;
        let response = shared.table().transact(transaction).await;
        let has_responded = matches!(
            response,
            TransactionResult::Committed { .. } | TransactionResult::Conflict { .. }
        );
        self.record_call(has_responded);
        self.must_read_table = !matches!(response, TransactionResult::Committed { .. });
        let now = self.shared.now();
        let mut keeper = self.keeper.lock();
        match response {
            TransactionResult::Committed { revision, .. } => {
                self.newest_version = revision;
                keeper.record_write(now, revision, &row);
                LeaseStepResult::Written
            }
            TransactionResult::Conflict { .. } => {
                keeper.record_conflict();
                LeaseStepResult::Done
            }
            TransactionResult::Refused { .. } | TransactionResult::Unknown => {
                keeper.record_unconfirmed_write();
                LeaseStepResult::Idle(NO_RESPONSE_PAUSE)
            }
        }
    }

    /// Time for which a candidate leaves the table's next calls to others, if it should.
    fn candidate_pause(&self) -> Option<Duration> {
        let shared = &self.shared;
        if self.is_held() || !shared.paces_calls() {
            return None;
        }
        let pause = shared.time_until_paced_call();
        let must_read_content = shared.lacks_content() && shared.table().pacer().is_slow();
        let pause = if must_read_content {
            pause.max(NO_RESPONSE_PAUSE)
        } else {
            pause
        };
        (pause > Duration::ZERO).then_some(pause)
    }

    /// Lets a candidate wait for its turn to call the table. The holder's calls are never delayed.
    async fn pace_call(&self) {
        if !self.is_held() {
            self.shared.wait_for_paced_call().await;
        }
    }

    /// Records whether the table responded to a call.
    fn record_call(&self, has_responded: bool) {
        let mut retries = self.shared.lease_retries.lock();
        if has_responded {
            retries.record_response();
        } else {
            retries.record_failure();
        }
    }
}
