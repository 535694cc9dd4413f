//! Keeps the placement lease, and lets [`Placement`] run while this process has it.
//!
//! In: the lease row. Out: writes of that row.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::Put;
use gorsebank_fleet::Offer;
use tokio::time::sleep;

use crate::demand_rows::AbortOnDrop;
use crate::lease_seat::{LeaseSeat, Stepped};
use crate::lines::{self, Rank};
use crate::placement::Placement;
use crate::shared::Shared;
use crate::{quarantine_row, reading_rows, sweeper};

/// The placement lease's row.
pub const LEASE_NAME: &str = "placement";
/// Part of the deployment's bound on turns of holders that a lease lasts: the
/// next holder begins sooner, and cool-down keeps turns apart.
const LEASE_PART: f64 = 0.7;
/// The lease is looked after at least this often.
const LONGEST_STEP: Duration = Duration::from_millis(250);
/// Equally strong machines take the lease within this time of each other, so that most
/// of them see that it was taken and write nothing.
const SPREAD: Duration = Duration::from_millis(250);
/// A machine with this part of the strongest one's processor counts as strong as that.
const STRONG_PART: f64 = 0.8;
/// A holder leaves the lease to a stronger machine after this time: not in its first
/// moments, when others may be about to be known.
const LEAST_HOLD: Duration = Duration::from_secs(6);
/// A machine whose timers are so late on average does not offer itself ...
const LATE: Duration = Duration::from_millis(150);
/// ... and a holder that is so late hands the lease back.
const TOO_LATE: Duration = Duration::from_millis(500);

/// Keeps the lease until the process ends; places models whenever it has it.
pub async fn run(shared: Arc<Shared>) {
    let lease = shared.settings.bounds.lease.mul_f64(LEASE_PART);
    let mut holder = Holder {
        seat: LeaseSeat::new(&shared, LEASE_NAME, lease),
        lease,
        spread: SPREAD.mul_f64(rand::random()),
        shared,
    };
    let mut work: Option<Duties> = None;
    loop {
        let was_holder = holder.seat.is_held();
        holder.step().await;
        let is_holder = holder.seat.is_held();
        holder.shared.set_placing(is_holder);
        if is_holder && !was_holder {
            holder.note_lease("taken");
            work = Some(holder.begin_duties());
        }
        if was_holder && !is_holder {
            holder.note_lease("lost");
            drop(work.take());
        }
    }
}

/// What the holder does; ends when it is dropped.
type Duties = [AbortOnDrop; 4];

/// This process's part in keeping the lease.
struct Holder {
    shared: Arc<Shared>,
    seat: LeaseSeat,
    lease: Duration,
    /// This process's part of [`SPREAD`].
    spread: Duration,
}

impl Holder {
    async fn step(&mut self) {
        let offer = self.offer();
        let shared = self.shared.clone();
        let beside = move || store_records(&shared);
        if let Stepped::Idle(pause) = self.seat.step(offer, beside).await {
            sleep(pause.min(LONGEST_STEP)).await;
        }
    }

    /// The strongest machines take the lease first, so that whoever plans for hundreds of
    /// engines can keep up with it.
    fn offer(&self) -> Offer {
        let shared = &self.shared;
        if shared.is_stopping() || !shared.can_place() {
            return Offer::Never;
        }
        let own = f64::from(shared.settings.millicores);
        if let Some(held) = self.seat.keeper.lock().held_for(shared.now()) {
            let leaves = Duration::from_millis(held) > LEAST_HOLD
                && (shared.lateness() > TOO_LATE || self.a_stronger_one_lives(own));
            return if leaves {
                Offer::Never
            } else {
                Offer::After(0)
            };
        }
        if shared.lateness() > LATE {
            return Offer::Never;
        }
        let strongest = f64::from(shared.strongest_millicores());
        let part = if strongest > 0.0 {
            own / strongest
        } else {
            1.0
        };
        let delay = if part >= STRONG_PART {
            self.spread
        } else {
            self.lease.mul_f64(2.0 - part) + self.spread
        };
        Offer::After(delay.as_millis() as u64)
    }

    /// Whether a much stronger machine told of its demand not long ago.
    fn a_stronger_one_lives(&self, own: f64) -> bool {
        let strongest = f64::from(self.shared.strongest_millicores());
        if own >= strongest * STRONG_PART {
            return false;
        }
        let now = self.shared.now();
        let heard = self.shared.demand_rows.heard(now);
        let is_strong = |millicores: u32| f64::from(millicores) * STRONG_PART > own;
        heard
            .iter()
            .any(|name| self.shared.millicores_of(name).is_some_and(is_strong))
    }

    fn begin_duties(&self) -> Duties {
        let shared = &self.shared;
        let placement = Placement::new(shared.clone(), self.seat.keeper.clone());
        [
            tokio::spawn(placement.run()),
            tokio::spawn(reading_rows::tell(shared.clone())),
            tokio::spawn(sweeper::run(shared.clone())),
            tokio::spawn(quarantine_row::keep(shared.clone())),
        ]
        .map(AbortOnDrop)
    }

    fn note_lease(&self, kind: &str) {
        let shared = &self.shared;
        let changes = &shared.metrics.lease_changes;
        changes.with_label_values(&[kind]).inc();
        let fence = self.seat.keeper.lock().fence(shared.now());
        let fields = format_args!(
            "change={kind} fence={} millicores={} late_ms={}",
            fence.unwrap_or(0),
            shared.settings.millicores,
            shared.lateness().as_millis(),
        );
        lines::write(Rank::Decision, "lease", fields);
    }
}

/// The row on weight stores, so that the next holder keeps their bounds. A gateway that
/// is not the holder yet leaves the former one's row as it is.
fn store_records(shared: &Shared) -> Option<Put> {
    let records = shared.store_records()?;
    let value = serde_json::to_string(&records).ok()?;
    Some(Put {
        key: loads_key(shared),
        value,
    })
}

/// The row on weight stores: recent loads, and how many go at once.
pub fn loads_key(shared: &Shared) -> String {
    format!("{}/placement", shared.platform.tables().loads)
}
