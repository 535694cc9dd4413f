//! Holds seats at which tenants are counted.
//!
//! In: the leases of seats. Out: ledgers, while this gateway holds a seat. What was granted is
//! saved in a row beside the lease, so that whoever counts next goes on from there.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::Put;
use gorsebank_fleet::Offer;
use gorsebank_fleet::counting_seat::{self, SEATS, SeatCandidate, SeatOrder, lease_name};
use gorsebank_fleet::ledger::SavedUse;
use gorsebank_world::NodeId;
use tokio::time::{Instant, sleep};

use crate::feed::Member;
use crate::lease_seat::{LeaseSeat, Stepped};
use crate::lines::{self, Rank};
use crate::ports::WatchedTable;
use crate::shared::Shared;

/// Length of a seat's lease, in bounds on turns of holders. While the table is out of order a
/// lease of 3 s would end after 1.7 s; this one lasts for 3.4 s, when callers with keys are
/// not owed an answer any more.
const LEASE_PART: f64 = 1.4;
/// Seats are looked after at least this often.
const LONGEST_PAUSE: Duration = Duration::from_millis(700);
/// Least pause between two looks.
const LEAST_PAUSE: Duration = Duration::from_millis(20);
/// A machine with this part of the strongest one's processor counts as strong.
const STRONG_PART: f64 = 0.8;
/// A machine whose timers are so late on average does not offer itself.
const LATE: Duration = Duration::from_millis(150);
/// A gateway hands a seat back after this time, when another one should have it: whoever was
/// there first would keep them all.
const LEAST_HOLD: Duration = Duration::from_secs(6);
/// How long an order of gateways counts: it is worked out from all that are known.
const ORDER_LIFETIME: Duration = Duration::from_secs(2);

/// Keeps seats until it is dropped.
pub async fn run(shared: Arc<Shared>) {
    let lease = shared.settings.bounds.lease.mul_f64(LEASE_PART);
    let seat = |seat| LeaseSeat::new(&shared, &lease_name(seat), lease);
    let mut seats = Seats {
        seats: (0..SEATS).map(seat).collect(),
        counts: [false; SEATS],
        order: SeatOrder::default(),
        ordered: None,
        leaving: None,
        silent: HashMap::new(),
        shared: shared.clone(),
    };
    let mut rows = shared.feed.subscribe(shared.platform.tables().lease);
    loop {
        if !seats.are_needed() {
            sleep(LONGEST_PAUSE).await;
            continue;
        }
        rows.mark_unchanged();
        seats.spread().await;
        let mut pause = LONGEST_PAUSE;
        for seat in 0..SEATS {
            pause = pause.min(seats.step(seat).await);
        }
        sleep(LEAST_PAUSE).await;
        tokio::select! {
            () = sleep(pause) => {}
            _ = rows.changed() => {}
            () = shared.allowance.unsaved.notified() => {}
        }
    }
}

/// The row that keeps what was granted at a seat.
fn saved_key(shared: &Shared, seat: usize) -> String {
    format!("{}/{}", shared.platform.tables().loads, lease_name(seat))
}

/// What was granted at a seat, to be written with its lease.
fn save(shared: &Shared, seat: usize) -> Option<Put> {
    let configuration = shared.configuration()?;
    let saved = shared.allowance.save(shared.now(), seat, &configuration)?;
    let value = serde_json::to_string(&saved).ok()?;
    Some(Put {
        key: saved_key(shared, seat),
        value,
    })
}

/// What was last saved of a seat; none if the table does not tell.
async fn read_saved(shared: &Shared, seat: usize) -> Option<SavedUse> {
    let snapshot = shared.table().read(shared.platform.tables().loads).await;
    let key = saved_key(shared, seat);
    let rows = snapshot.ok()?.rows;
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        return Some(SavedUse::default());
    };
    match serde_json::from_str(&row.value) {
        Ok(saved) => Some(saved),
        Err(error) => {
            // Only gateways write it. Counting goes on as if nothing had been saved.
            shared.refuse_row(row, &error);
            Some(SavedUse::default())
        }
    }
}

/// All seats, as this gateway takes part in them.
struct Seats {
    shared: Arc<Shared>,
    seats: Vec<LeaseSeat>,
    /// Those at which this gateway counts.
    counts: [bool; SEATS],
    /// When this gateway comes for a free seat.
    order: SeatOrder,
    /// When that was worked out.
    ordered: Option<Instant>,
    /// The seat that is being handed back, for another gateway to take.
    leaving: Option<usize>,
    /// Gateways that were to take a seat and did not answer, and when they may be asked again.
    silent: HashMap<NodeId, Instant>,
}

impl Seats {
    /// Whether there are tenants to count for, or seats to hand back.
    fn are_needed(&self) -> bool {
        self.has_tenants() || self.counts.contains(&true)
    }

    fn has_tenants(&self) -> bool {
        let configuration = self.shared.configuration();
        configuration.is_some_and(|known| known.tenants.is_some())
    }

    /// One look at one seat. Out: when to look again.
    async fn step(&mut self, seat: usize) -> Duration {
        let offer = self.offer(seat);
        let shared = self.shared.clone();
        if shared.allowance.needs_saving(seat) {
            self.seats[seat].keeper.lock().renew_soon();
        }
        let stepped = self.seats[seat].step(offer, || save(&shared, seat)).await;
        if stepped == Stepped::Written {
            shared.allowance.saved(seat);
        }
        self.count(seat).await;
        match stepped {
            Stepped::Idle(pause) => pause,
            Stepped::Done | Stepped::Written => LEAST_PAUSE,
        }
    }

    /// Begins to count at a seat that was taken, and ends at one that was lost.
    async fn count(&mut self, seat: usize) {
        let (is_held, counts) = (self.seats[seat].is_held(), self.counts[seat]);
        let shared = &self.shared;
        if is_held && !counts {
            let Some(saved) = read_saved(shared, seat).await else {
                return;
            };
            let bound = shared.settings.bounds.limits;
            let keeper = &self.seats[seat].keeper;
            let (allowance, now) = (&shared.allowance, shared.now());
            self.counts[seat] = allowance.begin_counting(now, seat, keeper, bound, saved);
        } else if !is_held && counts {
            shared.allowance.end_counting(seat);
            self.counts[seat] = false;
        }
        if self.counts[seat] != counts {
            let change = if counts { "lost" } else { "taken" };
            let fields = format_args!("seat={seat} change={change}");
            lines::write(Rank::Decision, "counting_seat", fields);
        }
    }

    fn offer(&mut self, seat: usize) -> Offer {
        let shared = &self.shared;
        if shared.is_stopping() || !shared.can_place() || !self.has_tenants() {
            return Offer::Never;
        }
        if self.seats[seat].is_held() {
            return if self.leaving == Some(seat) {
                Offer::Never
            } else {
                Offer::After(0)
            };
        }
        if shared.lateness() > LATE {
            return Offer::Never;
        }
        self.put_in_order();
        Offer::After(self.order.delay_beside(seat, &self.counts))
    }

    /// Chooses a seat that is left to another gateway, which answers: a seat that nobody takes
    /// leaves its tenants with half of their limits.
    async fn spread(&mut self) {
        if self.leaving.is_some_and(|seat| self.seats[seat].is_held()) {
            return;
        }
        self.leaving = None;
        let now = Instant::now();
        self.silent.retain(|_, until| now < *until);
        let Some((seat, to)) = self.seat_to_spread() else {
            return;
        };
        let held = self.seats[seat].keeper.lock().held_for(self.shared.now());
        if held.is_none_or(|held| Duration::from_millis(held) < LEAST_HOLD) {
            return;
        }
        if self.shared.answers_for_limits(&to).await {
            self.leaving = Some(seat);
        } else {
            self.silent.insert(to, now + LEAST_HOLD);
        }
    }

    fn seat_to_spread(&self) -> Option<(usize, NodeId)> {
        let shared = &self.shared;
        let own = shared.settings.node.as_str();
        let least = f64::from(shared.settings.millicores) * STRONG_PART;
        let members = shared.answering_members();
        let is_as_strong = |member: &&Member| f64::from(member.row.millicores) >= least;
        let strong = members.iter().filter(is_as_strong);
        let others: Vec<&str> = strong
            .map(|member| member.name.as_str())
            .filter(|name| *name != own && !self.silent.contains_key(&NodeId::from(*name)))
            .collect();
        let holders = shared.allowance.seat_holders();
        let holders = std::array::from_fn(|seat| {
            let known = holders[seat].as_ref().map(NodeId::as_str);
            if self.counts[seat] { Some(own) } else { known }
        });
        let spread = counting_seat::seat_to_spread(own, &holders, &others)?;
        Some((spread.seat, spread.to.into()))
    }

    /// Works out when this gateway comes for seats, by the gateways that are known.
    fn put_in_order(&mut self) {
        if self.ordered.is_some_and(|at| at.elapsed() < ORDER_LIFETIME) {
            return;
        }
        self.ordered = Some(Instant::now());
        let shared = &self.shared;
        let strongest = f64::from(shared.strongest_millicores());
        let members = shared.answering_members();
        let candidates: Vec<SeatCandidate<'_>> = members
            .iter()
            .map(|member| SeatCandidate {
                name: &member.name,
                is_strong: f64::from(member.row.millicores) >= strongest * STRONG_PART,
            })
            .collect();
        self.order = SeatOrder::new(shared.settings.node.as_str(), &candidates);
    }
}
