//! Who counts for which tenants: a fixed number of seats, each held by one gateway under a
//! lease, and each tenant counted at one of them.
//!
//! In: tenants, gateways with their strength. Out: a tenant's seat, and how soon a gateway
//! takes one that is free. All gateways must agree on a tenant's seat, whatever they know of
//! each other, so the number of seats is the same everywhere.

use std::cmp::Reverse;

use gorsebank_world::TenantId;
use xxhash_rust::xxh3::xxh3_64;

/// Seats. With the loss of one gateway a sixth of the tenants waits for the next one; each
/// seat costs a write of the table every one and a half seconds.
pub const SEATS: usize = 6;
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

/// The seat at which a tenant is counted.
pub fn seat_of(tenant: &TenantId) -> usize {
    (xxh3_64(tenant.as_str().as_bytes()) % SEATS as u64) as usize
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

/// A gateway that may hold a seat.
#[derive(Clone, Copy, Debug)]
pub struct SeatCandidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether its processor is among the strongest.
    pub is_strong: bool,
}

/// For how long the gateway `own` leaves the free seat to others, in milliseconds; it holds
/// `seats` of the others already.
pub fn delay(own: &str, candidates: &[SeatCandidate<'_>], seat: usize, seats: usize) -> u64 {
    let mut ranked: Vec<&SeatCandidate<'_>> = candidates.iter().collect();
    ranked.sort_by_key(|it| (Reverse(it.is_strong), place(it.name, seat), it.name));
    let is_strong = ranked.iter().any(|it| it.name == own && it.is_strong);
    let rank = ranked.iter().position(|it| it.name == own);
    let turns = rank.map_or(LONGEST_DELAY, |rank| TURN * rank as u64);
    let crowd = if is_strong { 0 } else { LONGEST_DELAY };
    turns.min(LONGEST_DELAY) + crowd + SEATED_DELAY * seats as u64
}

/// A gateway's place for a seat among equally strong ones.
fn place(name: &str, seat: usize) -> u64 {
    xxh3_64(format!("{seat}/{name}").as_bytes())
}
