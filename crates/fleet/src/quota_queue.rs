//! Places of requests that exceed their tenant's quota now and fit later, at a gateway that holds a
//! quota shard.
//!
//! Input: requests with their charges and kinds, and the shard's ledger, which alone grants. Output:
//! granted, a place with its time, or the time until there is room that nobody has a place for.
//!
//! Charges leave the ledger's window at known times, so the room at each later time is known. A
//! place is a time and a cost. A request is granted, or given a place, only if all places that
//! were given before still fit at their times (conservative backfilling). Room that delays no
//! place is granted to whoever asks. Each kind of request may hold places for its share of the room
//! to come, weighted by priority, among the kinds that asked lately. A kind whose requests can wait for
//! long would otherwise take all of it.
//!
//! Places are neither saved nor replicated. If they are lost, their callers ask again like all others.

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::TenantId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ledger::{Ledger, QuotaDecision, RoomAhead};
use crate::tenant::TenantLimit;

/// Time after which a place that nobody used lapses. It covers the way of a response to the caller
/// and of the caller's next request, also at a slow gateway.
const PLACE_LIFETIME_MS: u64 = 500;
/// Maximum number of places of a tenant.
const MAX_PLACES: usize = 256;
/// A kind takes part in the division of the room to come for this time after its last request
/// without room.
const KIND_LIFETIME_MS: u64 = 2_000;

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

#[derive(Clone, Copy, Debug)]
struct KindDemand {
    weight: f64,
    last_asked: Timestamp,
}

/// Places of one tenant.
#[derive(Debug, Default)]
struct TenantPlaces {
    places: Vec<Place>,
    kinds: HashMap<u32, KindDemand>,
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
        if !self.tenants.contains_key(charge.tenant) {
            let decision = ledger.charge(now, charge.tenant, charge.limit, charge.cost);
            if decision == QuotaDecision::Granted {
                return decision.into();
            }
        }
        let room = ledger.room_ahead(now, charge.tenant, charge.limit);
        let tenant = self.tenants.entry(charge.tenant.clone()).or_default();
        let own = charge.place.and_then(|request| {
            tenant.record_kind(now, &request);
            tenant.take_own(&request, charge.cost)
        });
        let cost = charge.cost.min(room.granted);
        let earliest = tenant.earliest_time(&room, cost, None);
        if earliest == Some(now) {
            let decision = ledger.charge(now, charge.tenant, charge.limit, charge.cost);
            if decision == QuotaDecision::Granted {
                let place_error_ms = own.map(|own| own.error_ms(now));
                return QueueDecision::Granted { place_error_ms };
            }
            tenant.places.extend(own);
            return decision.into();
        }
        let wait = |due: Timestamp| Duration::from_millis(due.since(now));
        let earliest = earliest.unwrap_or(now + ledger.window_ms());
        if let Some(own) = own {
            let due = if own.due > now {
                own.due.min(earliest)
            } else {
                earliest
            };
            tenant.places.push(Place { due, ..own });
            return QueueDecision::Placed(wait(due));
        }
        let due = charge
            .place
            .and_then(|request| tenant.add(now, &room, cost, &request));
        due.map_or(QueueDecision::Beyond(wait(earliest)), |due| {
            QueueDecision::Placed(wait(due))
        })
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
        if tenant.places.is_empty() && tenant.kinds.is_empty() {
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
    fn record_kind(&mut self, now: Timestamp, request: &PlaceRequest) {
        let demand = KindDemand {
            weight: 1.0 / (1.0 + f64::from(request.priority)),
            last_asked: now,
        };
        self.kinds.insert(request.kind, demand);
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

    /// Gives the request a place, if one is soon enough.
    fn add(
        &mut self,
        now: Timestamp,
        room: &RoomAhead,
        cost: f64,
        request: &PlaceRequest,
    ) -> Option<Timestamp> {
        if self.places.len() >= MAX_PLACES {
            return None;
        }
        let due = self.earliest_time(room, cost, Some(request.kind))?;
        if due.since(now) > request.max_wait_ms {
            return None;
        }
        self.places.push(Place {
            caller: request.caller,
            kind: request.kind,
            cost,
            due,
            promised: due,
        });
        Some(due)
    }

    /// The earliest time from which on `cost` fits beside all places, and within the share of
    /// `kind`, if stated.
    fn earliest_time(&self, room: &RoomAhead, cost: f64, kind: Option<u32>) -> Option<Timestamp> {
        let share = kind.map_or(1.0, |kind| self.share(kind));
        let mut steps = self.steps(room, kind);
        let mut earliest = None;
        while let Some(step) = steps.pop() {
            let fits = step.room - step.reserved >= cost
                && kind.is_none_or(|_| step.room * share - step.reserved_by_kind >= cost);
            if !fits {
                break;
            }
            earliest = Some(step.at);
        }
        earliest
    }

    /// The room and the places up to each time at which either changes, in order of time.
    fn steps(&self, room: &RoomAhead, kind: Option<u32>) -> Vec<Step> {
        let start = room.steps.first().map_or(Timestamp(0), |(at, _)| *at);
        let releases = room.steps.iter().map(|(at, room)| (*at, Some(*room), None));
        let places = self.places.iter();
        // A place that is due is needed from now on.
        let places = places.map(|place| (place.due.max(start), None, Some(place)));
        let mut changes: Vec<(Timestamp, Option<f64>, Option<&Place>)> =
            releases.chain(places).collect();
        changes.sort_by_key(|(at, _, _)| *at);
        let mut steps: Vec<Step> = Vec::with_capacity(changes.len());
        let mut step = Step::default();
        for (at, room, place) in changes {
            if step.at != at && step.at != Timestamp(0) {
                steps.push(step);
            }
            step.at = at;
            step.room = room.unwrap_or(step.room);
            step.reserved += place.map_or(0.0, |place| place.cost);
            let of_kind = place.filter(|place| Some(place.kind) == kind);
            step.reserved_by_kind += of_kind.map_or(0.0, |place| place.cost);
        }
        steps.push(step);
        steps
    }

    /// Share of a kind among those that asked lately.
    fn share(&self, kind: u32) -> f64 {
        let weight = |kind: &KindDemand| kind.weight;
        let all: f64 = self.kinds.values().map(weight).sum();
        self.kinds.get(&kind).map_or(1.0, weight) / all.max(f64::MIN_POSITIVE)
    }
}

/// Room and places up to one time.
#[derive(Clone, Copy, Debug)]
struct Step {
    at: Timestamp,
    /// Units that may be granted until `at`, places included.
    room: f64,
    reserved: f64,
    reserved_by_kind: f64,
}

impl Default for Step {
    fn default() -> Self {
        Step {
            at: Timestamp(0),
            room: 0.0,
            reserved: 0.0,
            reserved_by_kind: 0.0,
        }
    }
}
