//! Shares a fixed amount of memory among bodies and events whose lengths are not known in advance.
//!
//! In: the length of a body so far, and its owner if there is one. Out: a claim that grows with the body,
//! and may have to wait. A claim that is complete becomes a hold, which returns the memory when it is dropped.
//!
//! Invariant: a claim grows only if it can then be completed, with the free memory and that of claims which
//! are completed before it, and if it keeps no other claim from that (the banker's algorithm). So claims
//! never wait for each other in a cycle, and a slow body takes from others only what it has received.
//! All claims of one owner but the one that lacks least may use a part of the memory only.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Unit in which memory is claimed, in bytes.
const UNIT_BYTES: usize = 16 << 10;
/// Assumed memory of the process in megabytes if the settings do not state it.
const DEFAULT_MEGABYTES: u32 = 256;
/// Fraction of the memory beside a maximum claim that the claims of one owner may use, apart from the claim
/// that lacks least.
const OWNER_FRACTION: f64 = 0.5;

/// The memory and the claims on it.
#[derive(Debug)]
pub struct MemoryLedger {
    state: Mutex<State>,
    /// Notified when a claim or a hold returns memory.
    released: Notify,
    /// Maximum number of units of a claim.
    max_claim: usize,
    /// Maximum number of units of one owner's claims, apart from the claim that lacks least of all.
    owner_units: usize,
}

#[derive(Debug)]
struct State {
    free: usize,
    /// Incomplete claims.
    claims: BTreeMap<u64, ClaimState>,
    next_id: u64,
}

#[derive(Debug)]
struct ClaimState {
    /// Whose other claims count with this one; `None` for a claim that counts alone.
    owner: Option<Arc<str>>,
    units: usize,
    /// Number of units that the claim may need in total.
    max_units: usize,
}

impl ClaimState {
    fn lacking(&self) -> usize {
        self.max_units.saturating_sub(self.units)
    }
}

impl State {
    /// The claim that lacks least, and of several the oldest.
    fn lacking_least(&self) -> Option<u64> {
        let claims = self.claims.iter();
        let (id, _) = claims.min_by_key(|(_, claim)| claim.lacking())?;
        Some(*id)
    }

    /// The claims that can be completed one after the other, each with the free memory and that of the
    /// claims before it.
    fn completable(&self) -> BTreeSet<u64> {
        let claims = self.claims.iter();
        let mut needs: Vec<(usize, u64, usize)> = claims
            .map(|(id, claim)| (claim.lacking(), *id, claim.units))
            .collect();
        needs.sort_unstable();
        let mut free = self.free;
        let completable = needs.into_iter().take_while(|(lacking, _, units)| {
            let is_completable = *lacking <= free;
            free += units;
            is_completable
        });
        completable.map(|(_, id, _)| id).collect()
    }

    /// Changes the size of a claim, and the free memory with it.
    fn set_units(&mut self, id: u64, units: usize) {
        if let Some(claim) = self.claims.get_mut(&id) {
            self.free = self.free + claim.units - units;
            claim.units = units;
        }
    }

    /// Number of units of an owner's claims other than the claim `excluded`.
    fn units_of(&self, owner: &str, excluded: Option<u64>) -> usize {
        let claims = self.claims.iter();
        let of_owner = claims
            .filter(|(id, claim)| Some(**id) != excluded && claim.owner.as_deref() == Some(owner));
        of_owner.map(|(_, claim)| claim.units).sum()
    }
}

impl MemoryLedger {
    /// Creates a ledger of `total_bytes`, of which one claim may use `max_claim_bytes`.
    pub fn new(total_bytes: usize, max_claim_bytes: usize) -> Arc<Self> {
        let total = total_bytes / UNIT_BYTES;
        let max_claim = units_for(max_claim_bytes);
        let beside_largest = total.saturating_sub(max_claim) as f64;
        Arc::new(MemoryLedger {
            state: Mutex::new(State {
                free: total,
                claims: BTreeMap::new(),
                next_id: 0,
            }),
            released: Notify::new(),
            max_claim,
            owner_units: (beside_largest * OWNER_FRACTION) as usize,
        })
    }

    /// Begins an empty claim, which grows to `max_bytes` at most. Without an owner, only the free memory
    /// bounds it.
    pub fn claim(self: &Arc<Self>, owner: Option<&str>, max_bytes: usize) -> MemoryClaim {
        let mut state = self.state.lock();
        let id = state.next_id;
        state.next_id += 1;
        let claim = ClaimState {
            owner: owner.map(Arc::from),
            units: 0,
            max_units: units_for(max_bytes).min(self.max_claim),
        };
        state.claims.insert(id, claim);
        MemoryClaim {
            ledger: self.clone(),
            id,
            units: 0,
        }
    }

    /// Raises a claim to a number of units, unless that would keep others from growing.
    fn try_grow(&self, id: u64, units: usize) -> bool {
        let mut state = self.state.lock();
        let exempt = state.lacking_least();
        let Some(claim) = state.claims.get(&id) else {
            return false;
        };
        let units = units.min(claim.max_units);
        let previous = claim.units;
        let additional = units.saturating_sub(previous);
        if additional == 0 {
            return true;
        }
        let is_within_share = claim
            .owner
            .as_deref()
            .is_none_or(|owner| state.units_of(owner, exempt) + additional <= self.owner_units);
        if state.free < additional || (exempt != Some(id) && !is_within_share) {
            return false;
        }
        // With as much free memory as any claim may need, all of them can be completed.
        if state.free - additional >= self.max_claim {
            state.set_units(id, units);
            return true;
        }
        let completable_before = state.completable();
        state.set_units(id, units);
        let completable = state.completable();
        if completable.contains(&id) && completable.is_superset(&completable_before) {
            return true;
        }
        state.set_units(id, previous);
        false
    }

    fn release(&self, units: usize) {
        if units == 0 {
            return;
        }
        self.state.lock().free += units;
        self.released.notify_waiters();
    }

    /// Ends a claim and returns its number of units, which are not free yet.
    fn end_claim(&self, id: u64) -> usize {
        let claim = self.state.lock().claims.remove(&id);
        claim.map_or(0, |claim| claim.units)
    }
}

/// Memory of a process that may use `megabytes`, in bytes; 0 if this is unknown.
pub fn process_bytes(megabytes: u32) -> f64 {
    let megabytes = if megabytes == 0 {
        DEFAULT_MEGABYTES
    } else {
        megabytes
    };
    f64::from(megabytes) * 1e6
}

fn units_for(bytes: usize) -> usize {
    bytes.div_ceil(UNIT_BYTES)
}

/// The memory of an incomplete body, which is returned when this value is dropped.
#[derive(Debug)]
pub struct MemoryClaim {
    ledger: Arc<MemoryLedger>,
    id: u64,
    /// Number of units that are sufficient for the length so far.
    units: usize,
}

impl MemoryClaim {
    /// Raises the claim to `bytes`, at most the maximum of a claim. Waits for memory.
    pub async fn grow_to(&mut self, bytes: usize) {
        let ledger = self.ledger.clone();
        loop {
            let mut released = std::pin::pin!(ledger.released.notified());
            released.as_mut().enable();
            if self.try_grow_to(bytes) {
                return;
            }
            released.await;
        }
    }

    /// Raises the claim to `bytes`, at most the maximum of a claim. Returns whether there is memory for it.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let units = units_for(bytes);
        let is_sufficient = units <= self.units || self.ledger.try_grow(self.id, units);
        if is_sufficient {
            self.units = self.units.max(units);
        }
        is_sufficient
    }

    /// Turns the claim of a complete body of `bytes` into a hold, and returns what it does not need.
    pub fn complete(self, bytes: usize) -> MemoryHold {
        let units = self.ledger.end_claim(self.id);
        let needed = units_for(bytes).min(units);
        self.ledger.release(units - needed);
        MemoryHold {
            ledger: self.ledger.clone(),
            units: needed,
        }
    }
}

impl Drop for MemoryClaim {
    fn drop(&mut self) {
        let units = self.ledger.end_claim(self.id);
        self.ledger.release(units);
    }
}

/// The memory of a complete body, which is returned when this value is dropped.
#[derive(Debug)]
pub struct MemoryHold {
    ledger: Arc<MemoryLedger>,
    units: usize,
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.ledger.release(self.units);
    }
}
