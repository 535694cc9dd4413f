//! Usage of tenants' quotas, at a gateway that holds a quota shard.
//!
//! Input: limits, and requests with their charges. Output: whether a request is within its
//! tenant's limit, or when it would be; and the granted charges, which are saved for the shard's
//! next holder.
//!
//! Invariant: within any time span of the bound's window, the grants of one ledger are at most its
//! share of the tenant's limit for that span and of the overage that the bound allows. The same
//! holds for consecutive ledgers of a shard, none of which grants before the previous one has
//! ended: each begins with the grants that the previous one had saved, and treats the previous
//! one's reserve, which is saved as well, as granted, since the previous ledger may have granted
//! that much since its last save.
//!
//! A request is charged when it is granted, which is after its caller has sent it and before it
//! reaches a back end. A request that is both sent and executed within a span was therefore
//! granted within it, however long the grant is in transit.
//!
//! Usage is tracked by a sliding window and not by a token bucket that refills at the limit's
//! rate. A limit is a rate times the window plus a burst, so a tenant that has used little may use
//! most of it at once. With token buckets, 470 requests of two tenants that sent three to five
//! times their limits were rejected within four seconds, although the tenants' usage of the last
//! eight seconds was below the limit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::TenantId;
use serde::{Deserialize, Serialize};

use crate::tenant::TenantLimit;

/// Fraction of the bound's overage that is granted. The rest covers requests that are sent twice.
const OVERAGE_FRACTION: f64 = 0.8;
/// Reserve as a fraction of the limit of a window: charges that may be granted before they are
/// saved. The value covers 1.5 s at nearly twice the usual demand of tenants. The shard's next
/// holder must treat the reserve as used: with 0.3, tenants near their limits waited for eight
/// seconds after a restart.
const RESERVE_FRACTION: f64 = 0.15;
/// A request larger than the reserve raises the reserve to this multiple of its charge.
const LARGE_REQUEST_FACTOR: f64 = 2.0;
/// Granted fraction of the reserve above which the grants should be saved soon.
const SAVE_THRESHOLD: f64 = 0.5;
/// Width of a bin: grants within this time are stored as one.
const BIN_WIDTH_MS: u64 = 100;
/// Width of a saved bin: saved grants within this time are merged into one.
const SAVED_BIN_WIDTH_MS: u64 = 500;
/// Delay after which a request that waits for a save is tried again.
const SAVE_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Bound on how far all gateways together may exceed a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBound {
    /// The time span to which the bound applies.
    pub window: Duration,
    /// Allowed excess, as a fraction of the limit of the window.
    pub overage: f64,
    /// Allowed excess in units, in addition to `overage`.
    pub slack: f64,
}

impl LimitBound {
    /// Units that each of `shards` ledgers grants within any window.
    fn granted_units(&self, limit: &TenantLimit, shards: f64) -> f64 {
        let own = limit.rate * self.window.as_secs_f64() + limit.burst;
        let over = self.overage * own + self.slack;
        (own + OVERAGE_FRACTION * over) / shards
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is within the limit and has been charged.
    Granted,
    /// The request exceeds the limit; there is capacity for it after this time.
    Beyond(Duration),
    /// The request cannot be granted yet: the previous grants are not saved, or the usage under a
    /// previous ledger is uncertain. It can be tried again after this time.
    NotYet(Duration),
}

/// The units that may be granted at later times if nothing else is granted until then.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomAhead {
    /// Units that are granted within any window.
    pub granted: f64,
    /// Units that may be granted from each time on, in order of time; the first time is now.
    pub steps: Vec<(Timestamp, f64)>,
}

/// The grants within a saved bin.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedGrants {
    /// Time since the last of the grants, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
    /// Total charge of the grants, in units.
    #[serde(rename = "c")]
    pub cost: f64,
}

/// Saved usage of one tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SavedTenantUsage {
    /// Grants of the last window, the newest first.
    #[serde(rename = "g")]
    grants: Vec<SavedGrants>,
    /// Units that may be granted before the next save is confirmed.
    #[serde(rename = "r")]
    reserve: f64,
}

/// Saved usage of all tenants of a shard within the last window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SavedUsage(BTreeMap<TenantId, SavedTenantUsage>);

#[derive(Clone, Copy, Debug)]
struct Bin {
    /// Upper bound of the times of the bin's grants.
    until: Timestamp,
    cost: f64,
    /// Whether it is unknown if a previous ledger granted these charges.
    is_uncertain: bool,
}

/// Usage of one tenant within the last window.
#[derive(Debug, Default)]
struct TenantUsage {
    bins: VecDeque<Bin>,
    /// Units granted since the last confirmed save.
    unsaved: f64,
    /// The units of `unsaved` that the save in flight contains.
    unsaved_in_flight: f64,
    /// Maximum of `unsaved`, according to every save that may have taken effect.
    reserve: f64,
    /// Maximum of `unsaved` once the save in flight is confirmed.
    reserve_in_flight: f64,
    /// Minimum reserve that the tenant's requests need.
    min_reserve: f64,
}

impl TenantUsage {
    fn expire(&mut self, now: Timestamp, window: u64) {
        self.bins.retain(|bin| now.since(bin.until) <= window);
    }

    fn total(&self) -> f64 {
        self.bins.iter().map(|bin| bin.cost).sum()
    }

    fn uncertain(&self) -> f64 {
        let uncertain = self.bins.iter().filter(|bin| bin.is_uncertain);
        uncertain.map(|bin| bin.cost).sum()
    }

    fn add(&mut self, now: Timestamp, cost: f64) {
        self.unsaved += cost;
        match self.bins.back_mut() {
            Some(bin) if !bin.is_uncertain && now <= bin.until => bin.cost += cost,
            _ => self.bins.push_back(Bin {
                until: now + BIN_WIDTH_MS,
                cost,
                is_uncertain: false,
            }),
        }
    }

    /// Refunds a grant that is still in the window. The oldest bins are reduced first, so that no
    /// remaining charge leaves the window later than it would have.
    fn refund(&mut self, cost: f64) {
        let mut left = cost;
        let known = self.bins.iter_mut().filter(|bin| !bin.is_uncertain);
        for bin in known {
            let refunded = left.min(bin.cost);
            bin.cost -= refunded;
            left -= refunded;
        }
    }

    /// Time until this number of units has left the window.
    fn wait_until_expired(&self, now: Timestamp, window: u64, cost: f64) -> Duration {
        let mut left = cost;
        let mut bins: Vec<&Bin> = self.bins.iter().collect();
        bins.sort_by_key(|bin| bin.until);
        for bin in bins {
            left -= bin.cost;
            if left <= 0.0 {
                let until = bin.until + window;
                return Duration::from_millis(until.since(now) + 1);
            }
        }
        Duration::from_millis(window)
    }

    fn saved_grants(&self, now: Timestamp) -> Vec<SavedGrants> {
        let mut bins: Vec<&Bin> = self.bins.iter().filter(|bin| bin.cost > 0.0).collect();
        bins.sort_by_key(|bin| Reverse(bin.until));
        let mut saved: Vec<SavedGrants> = Vec::new();
        for bin in bins {
            let age = now.since(bin.until);
            match saved.last_mut() {
                Some(last) if age < last.age + SAVED_BIN_WIDTH_MS => last.cost += bin.cost,
                _ => saved.push(SavedGrants {
                    age,
                    cost: bin.cost,
                }),
            }
        }
        saved
    }
}

/// State of the previous ledger of the shard.
#[derive(Debug)]
struct PreviousLedger {
    /// Upper bound of the times of the previous ledger's grants.
    until: Timestamp,
    saved: SavedUsage,
}

/// Usage of all tenants of one quota shard.
#[derive(Debug)]
pub struct Ledger {
    bound: LimitBound,
    /// Number of ledgers that share each limit.
    shards: f64,
    previous: PreviousLedger,
    usages: HashMap<TenantId, TenantUsage>,
    needs_saving: bool,
}

impl Ledger {
    /// A ledger that holds one of `shards` equal shares of each limit. Any previous ledger has
    /// ended by `now` and had saved `saved`.
    pub fn new(bound: LimitBound, shards: usize, now: Timestamp, saved: SavedUsage) -> Self {
        Ledger {
            bound,
            shards: shards as f64,
            previous: PreviousLedger { until: now, saved },
            usages: HashMap::new(),
            needs_saving: false,
        }
    }

    /// Charges a request if it is within its tenant's limit.
    pub fn charge(
        &mut self,
        now: Timestamp,
        tenant: &TenantId,
        limit: &TenantLimit,
        cost: f64,
    ) -> QuotaDecision {
        let granted = self.bound.granted_units(limit, self.shards);
        let window = self.window_ms();
        let usage = self.usage_mut(now, tenant, granted);
        let total = usage.total();
        // A request larger than the limit is granted if it is the only one in the window.
        if total > 0.0 && total + cost > granted {
            let wait = usage.wait_until_expired(now, window, total + cost - granted);
            return if total - usage.uncertain() + cost > granted {
                QuotaDecision::Beyond(wait)
            } else {
                QuotaDecision::NotYet(wait)
            };
        }
        let fits_reserve = usage.unsaved + cost <= usage.reserve;
        if fits_reserve {
            usage.add(now, cost);
        } else {
            usage.min_reserve = usage.min_reserve.max(cost * LARGE_REQUEST_FACTOR);
        }
        let needs_saving = !fits_reserve || usage.unsaved > usage.reserve * SAVE_THRESHOLD;
        self.needs_saving |= needs_saving;
        if fits_reserve {
            QuotaDecision::Granted
        } else {
            QuotaDecision::NotYet(SAVE_RETRY_DELAY)
        }
    }

    /// The units that may be granted to a tenant now and later, as charges leave the window.
    pub fn room_ahead(
        &mut self,
        now: Timestamp,
        tenant: &TenantId,
        limit: &TenantLimit,
    ) -> RoomAhead {
        let granted = self.bound.granted_units(limit, self.shards);
        let window = self.window_ms();
        let usage = self.usage_mut(now, tenant, granted);
        let mut bins: Vec<&Bin> = usage.bins.iter().collect();
        bins.sort_by_key(|bin| Reverse(bin.until));
        // From the last release back, so that a window without charges has exactly all units.
        let (mut used, mut steps) = (0.0, Vec::with_capacity(bins.len() + 1));
        for bin in bins {
            steps.push((bin.until + window + 1, granted - used));
            used += bin.cost;
        }
        steps.push((now, granted - usage.total()));
        steps.reverse();
        RoomAhead { granted, steps }
    }

    /// Refunds a request that this ledger granted at `granted` and that is known not to have been
    /// executed. A charge that has left the window is not refunded.
    pub fn refund(&mut self, now: Timestamp, tenant: &TenantId, granted: Timestamp, cost: f64) {
        let window = self.window_ms();
        if now.since(granted) >= window {
            return;
        }
        if let Some(usage) = self.usages.get_mut(tenant) {
            usage.expire(now, window);
            usage.refund(cost);
        }
    }

    /// Whether the grants should be saved soon.
    pub fn needs_saving(&self) -> bool {
        self.needs_saving
    }

    /// Starts a save and returns its content. `limits` are those of all tenants of the shard, so
    /// that charges that a previous ledger may have granted are passed on even for tenants without
    /// requests. From then on no more than the saved reserve, which follows the limit, is granted.
    pub fn begin_save<'a>(
        &mut self,
        now: Timestamp,
        limits: impl Iterator<Item = (&'a TenantId, &'a TenantLimit)>,
    ) -> SavedUsage {
        let mut saved = BTreeMap::new();
        for (tenant, limit) in limits {
            let granted = self.bound.granted_units(limit, self.shards);
            let usage = self.usage_mut(now, tenant, granted);
            let reserve = usage.min_reserve.max(granted * RESERVE_FRACTION);
            usage.unsaved_in_flight = usage.unsaved;
            usage.reserve_in_flight = reserve;
            usage.reserve = usage.reserve.min(reserve);
            let grants = usage.saved_grants(now);
            saved.insert(tenant.clone(), SavedTenantUsage { grants, reserve });
        }
        self.usages.retain(|tenant, _| saved.contains_key(tenant));
        SavedUsage(saved)
    }

    /// Confirms that the last save has taken effect.
    pub fn confirm_save(&mut self) {
        for usage in self.usages.values_mut() {
            usage.unsaved -= std::mem::take(&mut usage.unsaved_in_flight);
            usage.reserve = usage.reserve_in_flight;
        }
        self.needs_saving = false;
    }

    /// Length of the window in milliseconds.
    pub fn window_ms(&self) -> u64 {
        self.bound.window.as_millis() as u64
    }

    /// The usage of a tenant. If it is new, it is initialised with the grants that the previous
    /// ledger had saved and with those that it may have made since.
    fn usage_mut(&mut self, now: Timestamp, tenant: &TenantId, granted: f64) -> &mut TenantUsage {
        let window = self.window_ms();
        let reserve = granted * RESERVE_FRACTION;
        let previous = &self.previous;
        let usage = self
            .usages
            .entry(tenant.clone())
            .or_insert_with(|| TenantUsage {
                bins: restore_bins(previous, tenant, reserve),
                reserve,
                reserve_in_flight: reserve,
                ..TenantUsage::default()
            });
        usage.expire(now, window);
        usage
    }
}

/// Bins for the grants that the previous ledger had saved, and for the reserve that it may have
/// granted since.
fn restore_bins(previous: &PreviousLedger, tenant: &TenantId, reserve: f64) -> VecDeque<Bin> {
    let bin = |age: u64, cost, is_uncertain| Bin {
        until: Timestamp(previous.until.0.saturating_sub(age)),
        cost,
        is_uncertain,
    };
    let saved = previous.saved.0.get(tenant);
    let reserve = saved.map_or(reserve, |saved| reserve.max(saved.reserve));
    let grants = saved.into_iter().flat_map(|saved| &saved.grants);
    let grants = grants.map(|grants| bin(grants.age, grants.cost, false));
    grants.chain([bin(0, reserve, true)]).collect()
}
