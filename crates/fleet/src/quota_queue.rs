//! Places of requests that exceed their tenant's quota now and fit later, at a gateway that holds a
//! quota shard.
//!
//! Input: requests with their charges and kinds, and the shard's ledger, which alone grants. Output:
//! granted, a place with its time, or the time until there is room that nobody has a place for.
//!
//! Charges leave the ledger's window at known times, so the room at each later time is known. A
//! place is a time and a cost. A request is granted, or given a place, only if all places that
//! were given before still fit at their times (conservative backfilling). Room that delays no
//! place is granted to whoever asks. The kinds of request that asked lately divide the room to come
//! by weights from their priority, and each may hold places in what the others will not ask
//! for. A kind whose requests can wait for long would otherwise take all of it.
//!
//! While requests of a tenant compete, its room is given out at the mean rate of a window. All
//! charges of a burst leave the window together, and would otherwise be followed by the next burst
//! and by seconds in which no request has room.
//!
//! Places are neither saved nor replicated. If they are lost, their callers ask again like all others.

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::TenantId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ledger::{Ledger, QuotaDecision, RoomAhead};
use crate::quota_kinds::KindDemand;
use crate::quota_pace::Pace;
use crate::tenant::TenantLimit;

/// Time after which a place that nobody used lapses. It covers the way of a response to the caller
/// and of the caller's next request, also at a slow gateway.
const PLACE_LIFETIME_MS: u64 = 500;
/// Maximum number of places of a tenant.
const MAX_PLACES: usize = 256;
/// A kind takes part in the division of the room to come for this time after its last request
/// without room.
const KIND_LIFETIME_MS: u64 = 2_000;

/// Room is left for what other kinds will ask for within at least this time. Otherwise room that is
/// free soon would be booked whole.
const MIN_HORIZON_MS: u64 = 2_000;
/// Resolution of paced times.
const PACE_STEP_MS: u64 = 100;

/// The part of a charge that concerns places.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// Hash of the request's content, which is equal for a retry by the caller.
    #[serde(rename = "h")]
    pub caller: u64,
    /// Hash of the request's route.
    #[serde(rename = "k")]
    pub kind: u32,
    /// Priority rank; 0 is the most urgent.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Maximum time until a new place, in milliseconds.
    #[serde(rename = "w")]
    pub max_wait_ms: u64,
    /// Whether the request may have a place already.
    #[serde(rename = "b", default)]
    pub is_returning: bool,
}

impl PlaceRequest {
    /// The kind of the requests of a route.
    pub fn kind_of_route(name: &str) -> u32 {
        xxh3_64(name.as_bytes()) as u32
    }
}

/// A request to be charged.
#[derive(Clone, Copy, Debug)]
pub struct Charge<'a> {
    /// The tenant that sent the request.
    pub tenant: &'a TenantId,
    /// The tenant's limit.
    pub limit: &'a TenantLimit,
    /// The cost to charge.
    pub cost: f64,
    /// `None` if the sender cannot use a place.
    pub place: Option<PlaceRequest>,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request has been charged.
    Granted {
        /// How much later than first stated its place was used, in milliseconds; negative if
        /// earlier, `None` if the request had no place.
        place_error_ms: Option<i64>,
    },
    /// The request has a place after this time.
    Placed(Duration),
    /// The request has no place; there is room for it after this time.
    Beyond(Duration),
    /// The request cannot be granted yet. It can be tried again after this time.
    NotYet(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Place {
    caller: u64,
    kind: u32,
    cost: f64,
    due: Timestamp,
    /// The time that was first stated.
    promised: Timestamp,
}

impl Place {
    fn error_ms(&self, now: Timestamp) -> i64 {
        now.0 as i64 - self.promised.0 as i64
    }
}

/// Places of one tenant.
#[derive(Debug, Default)]
struct TenantPlaces {
    places: Vec<Place>,
    kinds: HashMap<u32, KindDemand>,
    /// `None` before requests compete.
    pace: Option<Pace>,
    /// When a request last found no room.
    last_refused: Timestamp,
}

/// Places of all tenants of one shard.
#[derive(Debug, Default)]
pub struct QuotaQueue {
    tenants: HashMap<TenantId, TenantPlaces>,
    lapsed: u64,
}

impl QuotaQueue {
    /// Charges a request if there is room that no place needs, or gives it a place.
    pub fn charge(
        &mut self,
        ledger: &mut Ledger,
        now: Timestamp,
        charge: &Charge<'_>,
    ) -> QueueDecision {
        self.remove_lapsed(now, charge.tenant);
        let room = if self.tenants.contains_key(charge.tenant) {
            ledger.room_ahead(now, charge.tenant, charge.limit)
        } else {
            let decision = ledger.charge(now, charge.tenant, charge.limit, charge.cost);
            // A request that waits for a save, or for usage to be known, does not wait for others.
            if !matches!(decision, QuotaDecision::Beyond(_)) {
                return decision.into();
            }
            ledger.room_ahead(now, charge.tenant, charge.limit)
        };
        let tenant = self.tenants.entry(charge.tenant.clone()).or_default();
        tenant.update_pace(now, room.granted / ledger.window_ms() as f64);
        let own = charge.place.and_then(|request| {
            tenant.record_kind(now, &request, charge.cost);
            tenant.take_own(&request, charge.cost)
        });
        let cost = charge.cost.min(room.granted);
        // An earlier build has no place for a request that is too large for the pace.
        let is_paced = charge.place.is_some();
        let earliest = tenant.earliest_time(&tenant.steps(&room, is_paced), cost);
        if earliest == Some(now) {
            let decision = ledger.charge(now, charge.tenant, charge.limit, charge.cost);
            if decision != QuotaDecision::Granted {
                tenant.places.extend(own);
                return decision.into();
            }
            if is_paced {
                tenant.spend(cost);
            }
            let place_error_ms = own.map(|own| own.error_ms(now));
            return QueueDecision::Granted { place_error_ms };
        }
        tenant.last_refused = now;
        let earliest = earliest.unwrap_or(now + ledger.window_ms());
        let wait = |due: Timestamp| Duration::from_millis(due.since(now));
        match (own, &charge.place) {
            (Some(own), _) => QueueDecision::Placed(wait(tenant.keep(now, own, earliest))),
            (None, Some(request)) => {
                let steps = tenant.steps_for_kind(&room, request.kind);
                let due = tenant.earliest_time(&steps, cost);
                let due = due.unwrap_or(now + ledger.window_ms());
                if tenant.add(now, request, charge.cost, due) {
                    QueueDecision::Placed(wait(due))
                } else {
                    QueueDecision::Beyond(wait(due))
                }
            }
            (None, None) => QueueDecision::Beyond(wait(earliest)),
        }
    }

    /// Refunds a request that was granted at `granted` and is known not to have run. Its room can be
    /// given out again at once.
    pub fn refund(
        &mut self,
        ledger: &mut Ledger,
        now: Timestamp,
        tenant: &TenantId,
        granted: Timestamp,
        cost: f64,
    ) {
        ledger.refund(now, tenant, granted, cost);
        let places = self.tenants.get_mut(tenant);
        if let Some(pace) = places.and_then(|tenant| tenant.pace.as_mut()) {
            pace.refund(cost);
        }
    }

    /// Returns the number of places that have lapsed since the last call.
    pub fn take_lapsed(&mut self) -> u64 {
        std::mem::take(&mut self.lapsed)
    }

    fn remove_lapsed(&mut self, now: Timestamp, id: &TenantId) {
        let Some(tenant) = self.tenants.get_mut(id) else {
            return;
        };
        let before = tenant.places.len();
        tenant
            .places
            .retain(|place| now.since(place.due) <= PLACE_LIFETIME_MS);
        tenant
            .kinds
            .retain(|_, kind| now.since(kind.last_asked) <= KIND_LIFETIME_MS);
        self.lapsed += (before - tenant.places.len()) as u64;
        let competes = now.since(tenant.last_refused) <= KIND_LIFETIME_MS;
        if tenant.places.is_empty() && !competes {
            self.tenants.remove(id);
        }
    }
}

impl From<QuotaDecision> for QueueDecision {
    fn from(decision: QuotaDecision) -> Self {
        match decision {
            QuotaDecision::Granted => QueueDecision::Granted {
                place_error_ms: None,
            },
            QuotaDecision::Beyond(wait) => QueueDecision::Beyond(wait),
            QuotaDecision::NotYet(wait) => QueueDecision::NotYet(wait),
        }
    }
}

impl TenantPlaces {
    /// Records the demand of a request that can be given a new place here. Others are counted at
    /// another shard, or were before.
    fn record_kind(&mut self, now: Timestamp, request: &PlaceRequest, cost: f64) {
        if request.max_wait_ms == 0 {
            return;
        }
        let before = self.kinds.get(&request.kind);
        let demand = KindDemand::continued(before, now, request.priority, cost);
        self.kinds.insert(request.kind, demand);
    }

    fn update_pace(&mut self, now: Timestamp, units_per_ms: f64) {
        let reserved = self.places.iter().map(|place| place.cost).sum();
        let pace = Pace::continued(self.pace, now, units_per_ms, reserved);
        self.pace = Some(pace);
    }

    fn spend(&mut self, cost: f64) {
        if let Some(pace) = &mut self.pace {
            pace.spend(cost);
        }
    }

    /// Removes and returns the first place of a returning request. Requests with equal content
    /// may have several places.
    fn take_own(&mut self, request: &PlaceRequest, cost: f64) -> Option<Place> {
        let is_own = |place: &Place| {
            request.is_returning && place.caller == request.caller && place.cost == cost
        };
        let own = self.places.iter().enumerate();
        let (index, _) = own
            .filter(|(_, place)| is_own(place))
            .min_by_key(|(_, place)| place.due)?;
        Some(self.places.swap_remove(index))
    }

    /// Keeps the place of a request that asked before its time, or finds no room at its time.
    /// Returns the place's time.
    fn keep(&mut self, now: Timestamp, own: Place, earliest: Timestamp) -> Timestamp {
        let due = if own.due > now {
            own.due.min(earliest)
        } else {
            earliest
        };
        self.places.push(Place { due, ..own });
        due
    }

    /// Adds a place unless it is too late for the request or there are too many.
    fn add(&mut self, now: Timestamp, request: &PlaceRequest, cost: f64, due: Timestamp) -> bool {
        if due.since(now) > request.max_wait_ms || self.places.len() >= MAX_PLACES {
            return false;
        }
        self.places.push(Place {
            caller: request.caller,
            kind: request.kind,
            cost,
            due,
            promised: due,
        });
        true
    }

    /// The earliest time from which on `cost` fits beside all places.
    fn earliest_time(&self, steps: &[Step], cost: f64) -> Option<Timestamp> {
        let fits = |step: &&Step| step.room - step.reserved >= cost;
        let last = steps.iter().rev().take_while(fits).last();
        last.map(|step| step.at)
    }

    /// The room and the places up to each time at which either changes, in order of time.
    fn steps(&self, room: &RoomAhead, is_paced: bool) -> Vec<Step> {
        let start = room.steps.first().map_or(Timestamp(0), |(at, _)| *at);
        let end = room.steps.last().map_or(start, |(at, _)| *at);
        let releases = room.steps.iter().map(|(at, room)| (*at, Some(*room), None));
        // A place that is due is needed from now on.
        let places = self.places.iter();
        let places = places.map(|place| (place.due.max(start), None, Some(place)));
        let pace = self.pace.filter(|_| is_paced);
        let paced = (0..end.since(start)).step_by(PACE_STEP_MS as usize);
        let paced = paced.map(|ms| (start + ms, None, None));
        let mut changes: Vec<(Timestamp, Option<f64>, Option<&Place>)> =
            releases.chain(paced).chain(places).collect();
        changes.sort_by_key(|(at, _, _)| *at);
        let mut steps: Vec<Step> = Vec::with_capacity(changes.len());
        let (mut released, mut reserved) = (0.0, 0.0);
        for (at, room, place) in changes {
            released = room.unwrap_or(released);
            reserved += place.map_or(0.0, |place| place.cost);
            let paced = pace.map_or(released, |pace| pace.units_until(at));
            let room = released.min(paced);
            if steps.last().is_some_and(|step| step.at == at) {
                steps.pop();
            }
            steps.push(Step { at, room, reserved });
        }
        steps
    }

    /// The steps as a kind sees them: what it may hold until each step counts as room, if less.
    fn steps_for_kind(&self, room: &RoomAhead, kind: u32) -> Vec<Step> {
        let mut steps = self.steps(room, true);
        let start = steps.first().map_or(Timestamp(0), |step| step.at);
        for step in &mut steps {
            let own = self.places.iter().filter(|place| place.kind == kind);
            let own = own.filter(|place| place.due <= step.at);
            let held: f64 = own.map(|place| place.cost).sum();
            let may_hold = self.room_for(kind, start, step) - held;
            step.room = step.room.min(may_hold + step.reserved);
        }
        steps
    }

    /// The part of the room until a step in which a kind may hold places: what the other kinds
    /// leave of their shares, and at least its own share.
    fn room_for(&self, kind: u32, now: Timestamp, step: &Step) -> f64 {
        let all: f64 = self.kinds.values().map(|kind| kind.weight).sum();
        let share = |kind: &KindDemand| step.room * kind.weight / all;
        let within_ms = step.at.since(now).max(MIN_HORIZON_MS);
        let others = self.kinds.iter().filter(|(other, _)| **other != kind);
        let needed = others.map(|(_, other)| share(other).min(other.expected(now, within_ms)));
        step.room - needed.sum::<f64>()
    }
}

/// Room and places up to one time.
#[derive(Clone, Copy, Debug)]
struct Step {
    at: Timestamp,
    /// Units that may be granted until `at`, places included.
    room: f64,
    /// Units of places until `at`.
    reserved: f64,
}
