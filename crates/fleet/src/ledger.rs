//! What tenants have used of their limits, at a gateway that counts for them.
//!
//! In: limits, and requests with what they count for. Out: whether a request is within its
//! tenant's limit, or when it would be; and what has been granted, for whoever counts next.
//!
//! Invariant: in any span of the bound's window the grants of one ledger are at most its part
//! of the tenant's limit of that span and of what the bound allows over it. The same holds for
//! ledgers that follow each other, none of which grants before the former one has ended: each
//! begins with what the former one had saved, and takes for granted what that one may have
//! granted since: its reserve, which is saved as well.
//!
//! A request counts when it is granted, which is after its caller has sent it and before it
//! reaches a back end; so what is both sent and run within a span was granted within it, and
//! nothing depends on how long a grant is under way.
//!
//! Why spans and not a bucket that fills at the limit's rate: a limit is a rate times a span
//! and a burst on top, so a tenant that has used little may use most of it at once. With
//! buckets, 470 requests of two tenants at three to five times their limits were refused in
//! four seconds although their use of the last eight seconds was below the limit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::TenantId;
use serde::{Deserialize, Serialize};

use crate::tenant::TenantLimit;

/// Part of what the bound allows over a limit that is granted too; the rest is for second
/// sends of a request.
const OVER_PART: f64 = 0.8;
/// The reserve: part of what a span grants that may be granted before it is saved, one and a
/// half seconds of nearly twice what tenants usually ask for. Whoever counts next has to take
/// it for used; with 0.3 tenants near their limits waited for eight seconds after a restart.
const RESERVE_PART: f64 = 0.15;
/// A request larger than the reserve makes it so many times as large as itself.
const RESERVED_REQUESTS: f64 = 2.0;
/// Once this part of the reserve is granted it should be saved soon.
const SAVE_PART: f64 = 0.5;
/// Grants within this time are kept as one, in milliseconds.
const BIN: u64 = 100;
/// Saved grants within this time are one, in milliseconds.
const SAVED_BIN: u64 = 500;
/// A request that waits for what was granted to be saved is tried again after this time.
const SAVING: Duration = Duration::from_millis(30);

/// How far all gateways together may be over a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBound {
    /// The span that is looked at.
    pub window: Duration,
    /// Part of the limit of the span.
    pub overage: f64,
    /// Units beside that.
    pub slack: f64,
}

impl LimitBound {
    /// What one of so many ledgers grants within any window.
    fn granted(&self, limit: &TenantLimit, parts: f64) -> f64 {
        let own = limit.rate * self.window.as_secs_f64() + limit.burst;
        let over = self.overage * own + self.slack;
        (own + OVER_PART * over) / parts
    }
}

/// What came of asking for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is within the limit, and was counted.
    Granted,
    /// It is beyond the limit; there is room for it after this time.
    Beyond(Duration),
    /// There is no room yet, since what was granted is not saved, or since nobody knows what
    /// a former ledger has granted.
    NotYet(Duration),
}

/// What was granted within a short time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedGrants {
    /// How long ago the last of it was granted, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
    /// What it counts for.
    #[serde(rename = "c")]
    pub cost: f64,
}

/// What one tenant has used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SavedSpan {
    /// Grants of the last window, the newest first.
    #[serde(rename = "g")]
    grants: Vec<SavedGrants>,
    /// What may be granted before the next save stands.
    #[serde(rename = "r")]
    reserve: f64,
}

/// What tenants have used in the last window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SavedUse(BTreeMap<TenantId, SavedSpan>);

#[derive(Clone, Copy, Debug)]
struct Bin {
    /// No grant in it is later than this.
    until: Timestamp,
    cost: f64,
    /// Whether nobody knows if a former ledger granted it.
    is_uncertain: bool,
}

/// One tenant's grants of the last window.
#[derive(Debug, Default)]
struct Span {
    bins: VecDeque<Bin>,
    /// Granted since the last save that is known to stand.
    unsaved: f64,
    /// Of that, what the save under way holds.
    saving: f64,
    /// What may be unsaved, by any save that may stand.
    reserve: f64,
    /// The same by the save under way.
    reserve_saving: f64,
    /// The least reserve that its requests need.
    reserve_needed: f64,
}

impl Span {
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
                until: now + BIN,
                cost,
                is_uncertain: false,
            }),
        }
    }

    /// Takes back a grant that is still in the window: from the oldest, so that nothing that
    /// is left leaves the window later than it would.
    fn give_back(&mut self, cost: f64) {
        let mut left = cost;
        let known = self.bins.iter_mut().filter(|bin| !bin.is_uncertain);
        for bin in known {
            let part = left.min(bin.cost);
            bin.cost -= part;
            left -= part;
        }
    }

    /// Time until so much has left the window.
    fn wait_for(&self, now: Timestamp, window: u64, cost: f64) -> Duration {
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

    fn saved(&self, now: Timestamp) -> Vec<SavedGrants> {
        let mut bins: Vec<&Bin> = self.bins.iter().filter(|bin| bin.cost > 0.0).collect();
        bins.sort_by_key(|bin| Reverse(bin.until));
        let mut saved: Vec<SavedGrants> = Vec::new();
        for bin in bins {
            let age = now.since(bin.until);
            match saved.last_mut() {
                Some(last) if age < last.age + SAVED_BIN => last.cost += bin.cost,
                _ => saved.push(SavedGrants {
                    age,
                    cost: bin.cost,
                }),
            }
        }
        saved
    }
}

/// What a former ledger left.
#[derive(Debug)]
struct Inheritance {
    /// No grant of it is later than this.
    until: Timestamp,
    saved: SavedUse,
}

/// Grants of tenants.
#[derive(Debug)]
pub struct Ledger {
    bound: LimitBound,
    /// Ledgers that share each limit.
    parts: f64,
    inheritance: Inheritance,
    spans: HashMap<TenantId, Span>,
    needs_saving: bool,
}

impl Ledger {
    /// A ledger of one of so many parts of each limit. Any former one has ended by `now` and
    /// had saved this.
    pub fn new(bound: LimitBound, parts: usize, now: Timestamp, saved: SavedUse) -> Self {
        Ledger {
            bound,
            parts: parts as f64,
            inheritance: Inheritance { until: now, saved },
            spans: HashMap::new(),
            needs_saving: false,
        }
    }

    /// Counts a request, if it is within its tenant's limit.
    pub fn take(
        &mut self,
        now: Timestamp,
        tenant: &TenantId,
        limit: &TenantLimit,
        cost: f64,
    ) -> Taken {
        let granted = self.bound.granted(limit, self.parts);
        let window = self.window();
        let span = self.span(now, tenant, granted);
        let total = span.total();
        // What is larger than the limit is granted alone.
        if total > 0.0 && total + cost > granted {
            let wait = span.wait_for(now, window, total + cost - granted);
            return if total - span.uncertain() + cost > granted {
                Taken::Beyond(wait)
            } else {
                Taken::NotYet(wait)
            };
        }
        let has_reserve = span.unsaved + cost <= span.reserve;
        if has_reserve {
            span.add(now, cost);
        } else {
            span.reserve_needed = span.reserve_needed.max(cost * RESERVED_REQUESTS);
        }
        let needs_saving = !has_reserve || span.unsaved > span.reserve * SAVE_PART;
        self.needs_saving |= needs_saving;
        if has_reserve {
            Taken::Granted
        } else {
            Taken::NotYet(SAVING)
        }
    }

    /// A request that this ledger granted at `granted` is known not to have run. What has left
    /// the window counts no more, and cannot be given back.
    pub fn give_back(&mut self, now: Timestamp, tenant: &TenantId, granted: Timestamp, cost: f64) {
        let window = self.window();
        if now.since(granted) >= window {
            return;
        }
        if let Some(span) = self.spans.get_mut(tenant) {
            span.expire(now, window);
            span.give_back(cost);
        }
    }

    /// Whether what was granted should be saved soon.
    pub fn needs_saving(&self) -> bool {
        self.needs_saving
    }

    /// What is to be saved now. `limits` are those of all tenants that are counted here: what a
    /// former ledger may have granted them is passed on, asked for or not. From now on no more
    /// is granted than the reserve that is saved, which follows the limit.
    pub fn save<'a>(
        &mut self,
        now: Timestamp,
        limits: impl Iterator<Item = (&'a TenantId, &'a TenantLimit)>,
    ) -> SavedUse {
        let mut saved = BTreeMap::new();
        for (tenant, limit) in limits {
            let granted = self.bound.granted(limit, self.parts);
            let span = self.span(now, tenant, granted);
            let reserve = span.reserve_needed.max(granted * RESERVE_PART);
            span.saving = span.unsaved;
            span.reserve_saving = reserve;
            span.reserve = span.reserve.min(reserve);
            let grants = span.saved(now);
            saved.insert(tenant.clone(), SavedSpan { grants, reserve });
        }
        self.spans.retain(|tenant, _| saved.contains_key(tenant));
        SavedUse(saved)
    }

    /// What was last to be saved stands.
    pub fn saved(&mut self) {
        for span in self.spans.values_mut() {
            span.unsaved -= std::mem::take(&mut span.saving);
            span.reserve = span.reserve_saving;
        }
        self.needs_saving = false;
    }

    fn window(&self) -> u64 {
        self.bound.window.as_millis() as u64
    }

    /// A tenant's span. The first one after a former ledger holds what that had saved and what
    /// it may have granted since.
    fn span(&mut self, now: Timestamp, tenant: &TenantId, granted: f64) -> &mut Span {
        let window = self.window();
        let reserve = granted * RESERVE_PART;
        let inheritance = &self.inheritance;
        let span = self.spans.entry(tenant.clone()).or_insert_with(|| Span {
            bins: inherited(inheritance, tenant, reserve),
            reserve,
            reserve_saving: reserve,
            ..Span::default()
        });
        span.expire(now, window);
        span
    }
}

/// What a former ledger had saved, and what it may have granted since.
fn inherited(inheritance: &Inheritance, tenant: &TenantId, reserve: f64) -> VecDeque<Bin> {
    let bin = |age: u64, cost, is_uncertain| Bin {
        until: Timestamp(inheritance.until.0.saturating_sub(age)),
        cost,
        is_uncertain,
    };
    let saved = inheritance.saved.0.get(tenant);
    let reserve = saved.map_or(reserve, |saved| reserve.max(saved.reserve));
    let grants = saved.into_iter().flat_map(|saved| &saved.grants);
    let grants = grants.map(|grants| bin(grants.age, grants.cost, false));
    grants.chain([bin(0, reserve, true)]).collect()
}
