//! Which gateways there are: each has one row, written at its start and removed at a
//! planned stop.
//!
//! In: rows of the table of members. Out: this gateway's own row, the number of gateways
//! (budgets are shared by it), and whom to ask for changes of the tables.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::{TableAnswer, TableRow, Transaction};
use gorsebank_fleet::{Joining, MemberRow};
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::feed::Member;
use crate::lines::{self, Rank};
use crate::ports::{RowChange, WatchedTable};
use crate::shared::Shared;
use crate::watch::{Follower, row_name};

/// Pause after a call of the table without an answer, doubled each time ...
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// ... up to this.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);
/// A gateway that finds no other one at its start looks again after this time: those that
/// start together have written their rows by then.
const SECOND_LOOK: Duration = Duration::from_millis(500);
/// Time from a gateway's own row to its first look at those that start with it: rows of all that
/// wrote in the same moment stand by then, unless there are hundreds.
const FIRST_LOOK: Duration = Duration::from_millis(700);
/// Pause between two such looks: in this time the table takes some 300 rows.
const LOOK_PAUSE: Duration = Duration::from_millis(1_500);
/// Those that start together write within this time: the table makes the writes of one
/// part one after the other.
const WRITE_SPREAD: Duration = Duration::from_millis(1_500);
/// How often a gateway looks whether its row still stands.
const KEEP_PAUSE: Duration = Duration::from_secs(3);

/// The row of this gateway.
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

/// Learns which other gateways there are, before anything else asks the table: most
/// gateways then ask others, and not the table. One that finds none makes itself known
/// first, and looks again.
pub async fn join(shared: &Arc<Shared>) {
    if shared.settings.starts_with_all {
        return join_with_all(shared).await;
    }
    if look(shared).await > 0 {
        return;
    }
    sleep(WRITE_SPREAD.mul_f64(rand::random::<f64>())).await;
    write_own(shared).await;
    sleep(SECOND_LOOK.mul_f64(0.5 + rand::random::<f64>())).await;
    look(shared).await;
}

/// Makes this gateway known, and waits until most of those that start with it are.
async fn join_with_all(shared: &Arc<Shared>) {
    sleep(WRITE_SPREAD.mul_f64(rand::random::<f64>())).await;
    write_own(shared).await;
    let mut joining = Joining::default();
    let mut pause = FIRST_LOOK;
    loop {
        sleep(pause.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
        if joining.has_settled(look(shared).await) {
            return;
        }
        pause = LOOK_PAUSE;
    }
}

/// Reads the table of members. Out: how many other gateways there are.
async fn look(shared: &Arc<Shared>) -> usize {
    let table = shared.platform.tables().members;
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    loop {
        let asked = shared.clock.since_boot();
        match shared.table().read(table).await {
            Ok(snapshot) => {
                shared
                    .feed
                    .cache(|cache| cache.replace(table, &snapshot, asked));
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

/// Writes this gateway's row, unless it stands.
async fn write_own(shared: &Arc<Shared>) {
    let row = own_row(shared);
    let Ok(value) = serde_json::to_string(&row) else {
        return;
    };
    let key = own_key(shared);
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    let known = known_row(shared);
    if known.as_ref().is_some_and(|known| known.value == value) {
        return;
    }
    let mut version = known.map_or(0, |known| known.modified);
    while !shared.is_stopping() {
        let transaction = Transaction::put_if(key.clone(), version, value.clone());
        match shared.table().transact(transaction).await {
            TableAnswer::Committed { .. } => return,
            TableAnswer::Conflict { rows } => {
                let current = rows.into_iter().find(|row| row.key == key);
                if current.as_ref().is_some_and(|row| row.value == value) {
                    return;
                }
                version = current.map_or(0, |row| row.modified);
            }
            TableAnswer::Refused { .. } | TableAnswer::Unknown => backoff.wait().await,
        }
    }
}

/// This gateway's row as it was last seen.
fn known_row(shared: &Shared) -> Option<TableRow> {
    let table = shared.platform.tables().members;
    let rows = shared.feed.rows(table, Duration::MAX)?;
    let key = own_key(shared);
    rows.into_iter().find(|row| row.key == key)
}

/// Writes this gateway's row when it is not there, until the process stops.
pub async fn keep(shared: Arc<Shared>) {
    let mut pause = WRITE_SPREAD.mul_f64(rand::random::<f64>());
    while !shared.is_stopping() {
        sleep(pause).await;
        write_own(&shared).await;
        pause = KEEP_PAUSE.mul_f64(0.5 + rand::random::<f64>());
    }
}

/// Removes this gateway's row: others need not find out that it is gone.
pub async fn leave(shared: Arc<Shared>) {
    let Some(row) = known_row(&shared) else {
        return;
    };
    let answer = shared.table().remove(&row.key, row.modified).await;
    let removed = matches!(answer, TableAnswer::Committed { .. });
    lines::write(
        Rank::Decision,
        "member_left",
        format_args!("removed={removed}"),
    );
}

/// Takes in which gateways there are.
pub struct MemberFollower {
    shared: Arc<Shared>,
    rows: BTreeMap<String, MemberRow>,
}

impl MemberFollower {
    /// Knows no gateway yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        MemberFollower {
            shared,
            rows: BTreeMap::new(),
        }
    }

    fn take(&mut self, row: &TableRow) {
        match serde_json::from_str(&row.value) {
            Ok(member) => {
                self.rows.insert(row_name(&row.key).to_owned(), member);
            }
            Err(error) => self.shared.refuse_row(row, &error),
        }
    }

    fn tell(&self) {
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
        rows.iter().for_each(|row| self.take(row));
        self.tell();
    }

    fn change(&mut self, change: RowChange) {
        match change {
            RowChange::Put(row) => self.take(&row),
            RowChange::Removed { key, .. } => {
                self.rows.remove(row_name(&key));
            }
        }
    }

    /// Places in the tree are worked out from all gateways: once for all changes that came
    /// together, since at a start of hundreds each has as many.
    fn settle(&mut self) {
        self.tell();
    }
}
