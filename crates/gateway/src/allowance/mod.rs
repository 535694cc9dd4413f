//! Limits of tenants over all gateways: each request is counted once, at the gateway that
//! counts for its tenant, before anything else is done for it.
//!
//! ```text
//! request --> gateway --ask--> gateway with the seat of its tenant: lease, ledger
//!                     <-granted, beyond, not yet-
//! ```
//!
//! Tenants are counted by halves at a few seats ([`gorsebank_fleet::counting_seat`]); a gateway
//! holds a seat by a lease of the table ([`seats`]) and counts while that is valid, so nobody
//! counts beside it. Gateways begin with one half each, and ask the other one before they say
//! no. Requests of one gateway alone say nothing of a limit: of 87 gateways each has
//! one request of a small tenant in half a minute.
//!
//! In: what a request counts for. Out: whether it is within its tenant's limit. This module
//! knows no connections: whoever uses it hands it the way to another gateway.

mod denials;
mod message;
pub mod seats;

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::counting_seat::{HALVES, SEATS, seats_of};
use gorsebank_fleet::ledger::SavedUse;
use gorsebank_fleet::{Configuration, LeaseKeeper, Ledger, LimitBound, Taken, Tenants};
use gorsebank_world::{NodeId, TenantId};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use denials::Denials;
pub use message::{Ask, AskAnswer, Returned, SendTimeAsk};

/// Pause before another try, while nobody counts for a tenant or nobody answers.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// A gateway that did not answer is not asked again for so long: requests that come
/// meanwhile do not wait for it one after the other.
const REST: Duration = Duration::from_millis(600);
/// Returns that wait for the next question to a seat at most.
const MOST_RETURNS: usize = 64;

/// A request that was counted.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Whose it is.
    pub tenant: TenantId,
    /// What it counts for.
    pub cost: f64,
    /// The seat at which it was counted.
    seat: usize,
    /// The lease under which it was counted.
    fence: u64,
    /// When, by the clock of whoever counted it.
    granted: Timestamp,
}

/// What came of asking.
#[derive(Clone, Debug, PartialEq)]
pub enum Obtained {
    /// The request is within the limit.
    Granted(Grant),
    /// It is beyond the limit, for so long.
    Beyond(Duration),
    /// Nobody could tell in time.
    Unknown,
}

/// What came of asking at all seats of a tenant once.
enum Round {
    /// One of them granted it.
    Granted(Grant),
    /// All of them say that it is beyond the limit; there is room after this time.
    Beyond(Duration),
    /// Not all of them said anything; another try makes sense after this time.
    Unknown(Duration),
}

/// What a request counts for.
#[derive(Clone, Debug)]
pub struct Want {
    /// Whose it is.
    pub tenant: TenantId,
    /// What it counts for.
    pub cost: f64,
}

/// The counting at this gateway, under one lease.
struct Counting {
    keeper: Arc<Mutex<LeaseKeeper>>,
    fence: u64,
    ledger: Ledger,
}

impl Counting {
    /// Whether nobody else can have begun to count.
    fn is_valid(&self, now: Timestamp) -> bool {
        self.keeper.lock().fence(now) == Some(self.fence)
    }
}

/// One seat, as this gateway knows it.
#[derive(Default)]
struct Seat {
    /// Who holds it, as the table says.
    holder: Option<NodeId>,
    /// The ledger, while this gateway holds it.
    counting: Option<Counting>,
    /// What is to be given back with the next question.
    returns: Vec<Returned>,
}

/// Limits of tenants, as this gateway asks for them and counts.
#[derive(Default)]
pub struct Allowance {
    seats: [Mutex<Seat>; SEATS],
    /// Rings when what was granted at a seat should be saved soon.
    pub unsaved: Notify,
    denials: Mutex<Denials>,
    resting: Mutex<HashMap<NodeId, Instant>>,
}

impl Allowance {
    /// The table says who holds a seat.
    pub fn set_holder(&self, seat: usize, holder: Option<NodeId>) {
        self.seats[seat].lock().holder = holder;
    }

    /// Who holds each seat, as the table says.
    pub fn seat_holders(&self) -> [Option<NodeId>; SEATS] {
        std::array::from_fn(|seat| self.seats[seat].lock().holder.clone())
    }

    /// This gateway has taken the lease of a seat, and nobody else counts there from now on;
    /// whoever did had saved this. Out: whether the lease is valid now.
    pub fn begin_counting(
        &self,
        now: Timestamp,
        seat: usize,
        keeper: &Arc<Mutex<LeaseKeeper>>,
        bound: LimitBound,
        saved: SavedUse,
    ) -> bool {
        let fence = keeper.lock().fence(now);
        let counting = fence.map(|fence| Counting {
            keeper: keeper.clone(),
            fence,
            ledger: Ledger::new(bound, HALVES, now, saved),
        });
        let begins = counting.is_some();
        self.seats[seat].lock().counting = counting;
        begins
    }

    /// What was granted at a seat, to be saved with its lease; none if this gateway does not
    /// count there.
    pub fn save(
        &self,
        now: Timestamp,
        seat: usize,
        configuration: &Configuration,
    ) -> Option<SavedUse> {
        let mut own = self.seats[seat].lock();
        let counting = own.counting.as_mut()?;
        let tenants = configuration.tenants.iter().flat_map(Tenants::iter);
        let counted = tenants.filter(|tenant| seats_of(&tenant.id).contains(&seat));
        let limits = counted.filter_map(|tenant| Some((&tenant.id, tenant.limit.as_ref()?)));
        Some(counting.ledger.save(now, limits))
    }

    /// What was last to be saved for a seat stands.
    pub fn saved(&self, seat: usize) {
        if let Some(counting) = self.seats[seat].lock().counting.as_mut() {
            counting.ledger.saved();
        }
    }

    /// Whether what was granted at a seat should be saved soon.
    pub fn needs_saving(&self, seat: usize) -> bool {
        let seat = self.seats[seat].lock();
        let counting = seat.counting.as_ref();
        counting.is_some_and(|counting| counting.ledger.needs_saving())
    }

    /// This gateway has lost a seat.
    pub fn end_counting(&self, seat: usize) {
        self.seats[seat].lock().counting = None;
    }

    /// Answers another gateway, or this one, that asks at a seat.
    pub fn answer(
        &self,
        now: Timestamp,
        ask: &Ask,
        configuration: Option<&Configuration>,
    ) -> AskAnswer {
        let Some(seat) = self.seats.get(ask.seat) else {
            return AskAnswer::NotHere;
        };
        let mut seat = seat.lock();
        let counting = seat.counting.as_mut();
        let valid = counting.filter(|counting| counting.is_valid(now));
        let tenants = configuration.and_then(|known| known.tenants.as_ref());
        let (Some(counting), Some(tenants)) = (valid, tenants) else {
            return AskAnswer::NotHere;
        };
        for returned in ask.returned.iter().filter(|it| it.fence == counting.fence) {
            let ledger = &mut counting.ledger;
            ledger.give_back(now, &returned.tenant, returned.granted, returned.cost);
        }
        let Some(tenant) = tenants.tenant(&ask.tenant) else {
            return AskAnswer::NotHere;
        };
        let granted = AskAnswer::Granted {
            fence: counting.fence,
            at: now,
        };
        let Some(limit) = tenant.limit else {
            return granted;
        };
        let milliseconds = |wait: Duration| wait.as_millis() as u64 + 1;
        let taken = counting.ledger.take(now, &ask.tenant, &limit, ask.cost);
        if counting.ledger.needs_saving() {
            self.unsaved.notify_one();
        }
        match taken {
            Taken::Granted => granted,
            Taken::Beyond(wait) => AskAnswer::Beyond {
                wait: milliseconds(wait),
            },
            Taken::NotYet(wait) => AskAnswer::NotYet {
                wait: milliseconds(wait),
            },
        }
    }

    /// Asks whoever counts for a tenant, until one grants it or all say no, or until a time.
    /// `put` asks a gateway, this one included; none if there was no answer.
    pub async fn obtain<F>(
        &self,
        want: &Want,
        until: Instant,
        put: impl Fn(NodeId, Ask) -> F,
    ) -> Obtained
    where
        F: Future<Output = Option<AskAnswer>>,
    {
        if let Some(left) = self.denials.lock().left(want) {
            return Obtained::Beyond(left);
        }
        loop {
            let pause = match self.ask_all(want, &put).await {
                Round::Granted(grant) => return Obtained::Granted(grant),
                Round::Beyond(wait) => {
                    self.denials.lock().note(want, wait);
                    return Obtained::Beyond(wait);
                }
                Round::Unknown(pause) => pause,
            };
            if Instant::now() + pause >= until {
                return Obtained::Unknown;
            }
            sleep(pause).await;
        }
    }

    /// Asks at the tenant's seats, one after the other.
    async fn ask_all<F>(&self, want: &Want, put: &impl Fn(NodeId, Ask) -> F) -> Round
    where
        F: Future<Output = Option<AskAnswer>>,
    {
        let mut seats = seats_of(&want.tenant);
        // Each begins with either: the halves are used alike.
        seats.rotate_left(rand::random_range(0..HALVES));
        let (mut denials, mut soonest) = (0, None::<Duration>);
        let mut pause = RETRY_PAUSE;
        for seat in seats {
            match self.ask(seat, want, put).await {
                Some(AskAnswer::Granted { fence, at }) => {
                    return Round::Granted(Grant {
                        tenant: want.tenant.clone(),
                        cost: want.cost,
                        seat,
                        fence,
                        granted: at,
                    });
                }
                Some(AskAnswer::Beyond { wait }) => {
                    let wait = Duration::from_millis(wait);
                    denials += 1;
                    soonest = Some(soonest.map_or(wait, |soonest| soonest.min(wait)));
                }
                Some(AskAnswer::NotYet { wait }) => {
                    pause = pause.min(Duration::from_millis(wait));
                }
                // A time at a back end is no answer to this.
                Some(AskAnswer::NotHere | AskAnswer::Reserved { .. }) | None => {}
            }
        }
        match soonest {
            Some(wait) if denials == HALVES => Round::Beyond(wait),
            _ => Round::Unknown(pause),
        }
    }

    async fn ask<F>(
        &self,
        seat: usize,
        want: &Want,
        put: &impl Fn(NodeId, Ask) -> F,
    ) -> Option<AskAnswer>
    where
        F: Future<Output = Option<AskAnswer>>,
    {
        let holder = self.seats[seat].lock().holder.clone()?;
        if self.rests(&holder) {
            return None;
        }
        let ask = Ask {
            seat,
            tenant: want.tenant.clone(),
            cost: want.cost,
            returned: std::mem::take(&mut self.seats[seat].lock().returns),
            send_time: None,
        };
        let answer = put(holder.clone(), ask).await;
        if answer.is_none() {
            let until = Instant::now() + REST;
            self.resting.lock().insert(holder, until);
        }
        answer
    }

    fn rests(&self, holder: &NodeId) -> bool {
        let mut resting = self.resting.lock();
        let now = Instant::now();
        resting.retain(|_, until| now < *until);
        resting.contains_key(holder)
    }

    /// A request that was counted is known not to have run. That is told with the next
    /// question to the seat: before that nobody needs to know.
    pub fn give_back(&self, grant: Grant) {
        let mut seat = self.seats[grant.seat].lock();
        if seat.returns.len() < MOST_RETURNS {
            seat.returns.push(Returned {
                tenant: grant.tenant,
                cost: grant.cost,
                fence: grant.fence,
                granted: grant.granted,
            });
        }
    }
}
