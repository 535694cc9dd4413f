//! Membership of gateways: each gateway has one row, which it writes at its start and removes at a
//! planned stop.
//!
//! Input: rows of the table of members. Output: this gateway's own row, the number of gateways, by
//! which shared budgets are divided, and the gateways that may be parents in the feed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{TableRow, Transaction, TransactionResult};
use gorsebank_fleet::{MemberRow, MembershipConvergence};
use tokio::time::{sleep, timeout};

use crate::backoff::Backoff;
use crate::event_log::{self, LogPriority};
use crate::feed::Member;
use crate::ports::{RowChange, WatchedTable};
use crate::shared::Shared;
use crate::table_followers::{Follower, row_name};

/// Initial pause after a failed table call; doubled after each further failure.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause after a failed table call.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);
/// Mean pause before a gateway that found no other gateway at its start reads the table again.
/// Gateways that started at the same time have written their rows by then.
const SECOND_READ_DELAY: Duration = Duration::from_millis(500);
/// Mean time from the write of a gateway's own row to its first read of the rows of gateways that
/// start together. All rows written at the same moment are readable by then, unless there are
/// hundreds.
const FIRST_READ_DELAY: Duration = Duration::from_millis(700);
/// Mean pause between two reads of the table of members by a gateway that starts together with all
/// others. The table accepts about 300 rows in this time.
const READ_PAUSE: Duration = Duration::from_millis(1_500);
/// Gateways that start together spread their writes over this time, because the table serializes
/// the writes to one partition.
const WRITE_SPREAD: Duration = Duration::from_millis(1_500);
/// Mean interval at which a gateway checks whether its row still exists.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Contents of this gateway's row.
fn own_row(shared: &Shared) -> MemberRow {
    MemberRow {
        address: shared.settings.relay,
        link_megabits: shared.settings.link_megabits,
        millicores: shared.settings.millicores,
        zone: Some(shared.settings.zone.clone()),
    }
}

fn own_key(shared: &Shared) -> String {
    let table = shared.platform.tables().members;
    format!("{table}/{}", shared.settings.node)
}

/// Reads which other gateways exist, before any other task uses the table, so that most gateways
/// request updates from other gateways and not from the table. A gateway that finds no other
/// gateway writes its own row first and then reads the table again.
pub async fn join(shared: &Arc<Shared>) {
    if shared.settings.is_initial_start {
        return join_at_initial_start(shared).await;
    }
    if read_members(shared).await > 0 {
        return;
    }
    sleep(WRITE_SPREAD.mul_f64(rand::random::<f64>())).await;
    write_own_row(shared).await;
    sleep(SECOND_READ_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
    read_members(shared).await;
}

/// Writes this gateway's row and waits until most of the gateways that start together have written
/// theirs.
async fn join_at_initial_start(shared: &Arc<Shared>) {
    sleep(WRITE_SPREAD.mul_f64(rand::random::<f64>())).await;
    write_own_row(shared).await;
    let mut convergence = MembershipConvergence::default();
    let mut pause = FIRST_READ_DELAY;
    loop {
        sleep(pause.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
        if convergence.observe(read_members(shared).await) {
            return;
        }
        pause = READ_PAUSE;
    }
}

/// Reads the table of members and returns the number of other gateways.
async fn read_members(shared: &Arc<Shared>) -> usize {
    let table = shared.platform.tables().members;
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE);
    loop {
        let requested_at = shared.clock.since_boot();
        match shared.table().read(table).await {
            Ok(snapshot) => {
                shared
                    .feed
                    .cache(|cache| cache.replace(table, &snapshot, requested_at));
                let mut follower = MemberFollower::new(shared.clone());
                let key = own_key(shared);
                let others = snapshot.rows.iter().filter(|row| row.key != key).count();
                follower.replace(snapshot.rows);
                return others;
            }
            Err(_) => backoff.wait().await,
        }
    }
}

/// Writes this gateway's row unless it exists.
async fn write_own_row(shared: &Arc<Shared>) {
    let row = own_row(shared);
    let Ok(value) = serde_json::to_string(&row) else {
        return;
    };
    let key = own_key(shared);
    let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE);
    let known = known_row(shared);
    if known.as_ref().is_some_and(|known| known.value == value) {
        return;
    }
    let mut version = known.map_or(0, |known| known.modified);
    while !shared.is_stopping() {
        let transaction = Transaction::put_if(key.clone(), version, value.clone());
        shared.wait_for_paced_call().await;
        match shared.table().transact(transaction).await {
            TransactionResult::Committed { .. } => return,
            TransactionResult::Conflict { rows } => {
                let current = rows.into_iter().find(|row| row.key == key);
                if current.as_ref().is_some_and(|row| row.value == value) {
                    return;
                }
                version = current.map_or(0, |row| row.modified);
            }
            TransactionResult::Refused { .. } | TransactionResult::Unknown => backoff.wait().await,
        }
    }
}

/// This gateway's row, as last received.
fn known_row(shared: &Shared) -> Option<TableRow> {
    let table = shared.platform.tables().members;
    let rows = shared.feed.rows(table, Duration::MAX)?;
    let key = own_key(shared);
    rows.into_iter().find(|row| row.key == key)
}

/// Writes this gateway's row again whenever it is missing, until the process stops. A restored
/// table may lack it, and then lacks the rows of all gateways that started at the same time.
pub async fn maintain_own_row(shared: Arc<Shared>) {
    let mut era = shared.feed.subscribe_to_era();
    let mut pause = WRITE_SPREAD.mul_f64(rand::random::<f64>());
    while !shared.is_stopping() {
        if let Ok(Ok(())) = timeout(pause, era.changed()).await {
            sleep(WRITE_SPREAD.mul_f64(rand::random::<f64>())).await;
        }
        write_own_row(&shared).await;
        pause = CHECK_INTERVAL.mul_f64(0.5 + rand::random::<f64>());
    }
}

/// Removes this gateway's row, so that other gateways need not detect its absence.
pub async fn remove_own_row(shared: Arc<Shared>) {
    let Some(row) = known_row(&shared) else {
        return;
    };
    let response = shared.table().remove(&row.key, row.modified).await;
    let removed = matches!(response, TransactionResult::Committed { .. });
    event_log::write(
        LogPriority::Decision,
        "member_left",
        format_args!("removed={removed}"),
    );
}

/// Follower of the table of members.
pub struct MemberFollower {
    shared: Arc<Shared>,
    rows: BTreeMap<String, MemberRow>,
}

impl MemberFollower {
    /// Creates a follower that knows no gateway yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        MemberFollower {
            shared,
            rows: BTreeMap::new(),
        }
    }

    fn apply(&mut self, row: &TableRow) {
        match serde_json::from_str(&row.value) {
            Ok(member) => {
                self.rows.insert(row_name(&row.key).to_owned(), member);
            }
            Err(error) => self.shared.record_refused_row(row, &error),
        }
    }

    fn update_members(&self) {
        let members = self.rows.iter().filter_map(|(name, row)| {
            Some(Member {
                name: name.clone(),
                address: row.address?,
                row: row.clone(),
            })
        });
        self.shared.set_members(self.rows.len(), members.collect());
    }
}

impl Follower for MemberFollower {
    fn replace(&mut self, rows: Vec<TableRow>) {
        self.rows.clear();
        rows.iter().for_each(|row| self.apply(row));
        self.update_members();
    }

    fn change(&mut self, change: RowChange) {
        match change {
            RowChange::Put(row) => self.apply(&row),
            RowChange::Removed { key, .. } => {
                self.rows.remove(row_name(&key));
            }
        }
    }

    /// Computing tree positions needs all gateways, and a start of hundreds of gateways causes
    /// hundreds of changes. The positions are therefore computed once for each batch of changes.
    fn finish_batch(&mut self) {
        self.update_members();
    }
}
