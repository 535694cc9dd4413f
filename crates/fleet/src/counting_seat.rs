//! Who counts for which tenants: a fixed number of seats, each held by one gateway under a
//! lease. Each tenant is counted at two of them, by halves.
//!
//! In: tenants, gateways with their strength. Out: a tenant's seats, and how soon a gateway
//! takes one that is free. All gateways must agree on a tenant's seats, whatever they know of
//! each other, so the number of seats is the same everywhere.
//!
//! Half of a limit is most of what a tenant usually asks for. When one gateway is lost, the
//! other half goes on until another gateway has its seat, after 4.6 s. With one seat for each
//! tenant, half of them at the gateway that was lost, 1,163 requests were refused in the 4.3 s
//! after that (one day of 87 gateways, some 300 requests a second).

use std::cmp::Reverse;

use gorsebank_world::TenantId;
use xxhash_rust::xxh3::xxh3_64;

/// Seats. Each costs a write of the table every one and a half seconds.
pub const SEATS: usize = 6;
/// Seats at which each tenant is counted, next to each other.
pub const HALVES: usize = 2;
/// Each gateway that comes before another one for a seat has so much time to take it, in
/// milliseconds.
const TURN: u64 = 150;
/// One that holds a seat already leaves another one to others for so long, in milliseconds.
const SEATED_DELAY: u64 = 450;
/// Longest delay of the strongest gateways, and the delay of all others on top, in
/// milliseconds.
const LONGEST_DELAY: u64 = 1_500;
/// How names of seats' leases begin.
const LEASE_PREFIX: &str = "count-";

/// The seats at which a tenant is counted.
pub fn seats_of(tenant: &TenantId) -> [usize; HALVES] {
    let pairs = (SEATS / HALVES) as u64;
    let first = (xxh3_64(tenant.as_str().as_bytes()) % pairs) as usize * HALVES;
    std::array::from_fn(|half| first + half)
}

/// How the lease of a seat is named.
pub fn lease_name(seat: usize) -> String {
    format!("{LEASE_PREFIX}{seat}")
}

/// The seat of a lease; none if it is another lease.
pub fn seat_of_lease(name: &str) -> Option<usize> {
    let seat = name.strip_prefix(LEASE_PREFIX)?.parse().ok()?;
    (seat < SEATS).then_some(seat)
}

/// The other half of the tenants that are counted at a seat.
fn partner_of(seat: usize) -> usize {
    seat ^ 1
}

/// A seat that a gateway should leave to another one, and to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeatToSpread<'a> {
    /// The seat.
    pub seat: usize,
    /// A gateway that could count there.
    pub to: &'a str,
}

/// Which of its seats the gateway `own` should leave to one of `others`, gateways that are as
/// strong. It keeps no tenant's two halves, since both would be lost with it, and not all seats
/// while another gateway has none. `holders` are those of all seats, as far as they are known.
pub fn seat_to_spread<'a>(
    own: &str,
    holders: &[Option<&str>; SEATS],
    others: &[&'a str],
) -> Option<SeatToSpread<'a>> {
    let held = |name: &str| {
        holders
            .iter()
            .filter(|holder| **holder == Some(name))
            .count()
    };
    let to = others
        .iter()
        .copied()
        .min_by_key(|name| (held(name), *name))?;
    let mine = (0..SEATS).rev().filter(|seat| holders[*seat] == Some(own));
    let has_both = |seat: &usize| holders[partner_of(*seat)] == Some(own);
    let second_half = mine.clone().find(has_both);
    let one_too_many = mine
        .clone()
        .next()
        .filter(|_| held(own) > 1 && held(to) == 0);
    let seat = second_half.or(one_too_many)?;
    Some(SeatToSpread { seat, to })
}

/// A gateway that may hold a seat.
#[derive(Clone, Copy, Debug)]
pub struct SeatCandidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether its processor is among the strongest.
    pub is_strong: bool,
}

/// In which order the gateway `own` comes for seats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SeatOrder {
    /// Its place among those that are as strong; none if it is not known.
    place: Option<usize>,
    /// How many are as strong.
    equals: usize,
    is_strong: bool,
}

impl SeatOrder {
    /// The order of one gateway among all that are known.
    pub fn new(own: &str, candidates: &[SeatCandidate<'_>]) -> Self {
        let is_strong = candidates.iter().any(|it| it.name == own && it.is_strong);
        let mut equals: Vec<&str> = candidates
            .iter()
            .filter(|it| it.is_strong == is_strong)
            .map(|it| it.name)
            .collect();
        equals.sort_by_key(|name| (Reverse(xxh3_64(name.as_bytes())), *name));
        SeatOrder {
            place: equals.iter().position(|name| *name == own),
            equals: equals.len(),
            is_strong,
        }
    }

    /// For how long the gateway that holds these seats leaves a free one to others, in
    /// milliseconds: longer where it counts the other half of the same tenants.
    pub fn delay_beside(&self, seat: usize, held: &[bool; SEATS]) -> u64 {
        let count = held.iter().filter(|held| **held).count();
        let partner = if held[partner_of(seat)] { HALVES } else { 0 };
        self.delay(seat, count + partner)
    }

    /// For how long the gateway leaves a free seat to others, in milliseconds; it holds
    /// `held` of the others already. Another gateway comes first for each seat.
    pub fn delay(&self, seat: usize, held: usize) -> u64 {
        let turns = self.place.map_or(LONGEST_DELAY, |place| {
            let rank = (place + self.equals - seat % self.equals) % self.equals;
            (TURN * rank as u64).min(LONGEST_DELAY)
        });
        let weakness = if self.is_strong { 0 } else { LONGEST_DELAY };
        turns + weakness + SEATED_DELAY * held as u64
    }
}
