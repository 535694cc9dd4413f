//! What tenants have used of their limits, at the one gateway that counts for them.
//!
//! In: limits, and requests with what they count for. Out: whether a request is within its
//! tenant's limit, or when it would be. Each tenant has a bucket that fills at its rate.
//!
//! Invariant: in any span of the bound's window the grants of one ledger are at most its part
//! of the tenant's limit of that span and of what the bound allows over it. The same holds for
//! ledgers that follow each other, none of which grants before the former one has ended: a ledger
//! begins with empty buckets, or with what has flowed in while nobody granted anything.
//!
//! A request counts when it is granted, which is after its caller has sent it and before it
//! reaches a back end; so what is both sent and run within a span was granted within it, and
//! nothing depends on how long a grant is under way.

use std::collections::HashMap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_world::TenantId;

use crate::tenant::TenantLimit;

/// Part of what the bound allows over a limit that flows in beside the limit's rate: a caller
/// is refused nothing that it is owed when gateways see its requests in another order.
const RATE_PART: f64 = 0.35;
/// The part by which a bucket is larger than the limit's burst. The rest is for requests
/// larger than a bucket, and for second sends.
const CAPACITY_PART: f64 = 0.5;

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
    /// The bound that each of so many ledgers keeps of a limit divided among them.
    fn part(&self, parts: f64) -> Self {
        LimitBound {
            slack: self.slack / parts,
            ..*self
        }
    }
}

/// A bucket's figures.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Allotment {
    /// Units a second.
    rate: f64,
    /// Units at most.
    capacity: f64,
}

impl Allotment {
    fn new(limit: &TenantLimit, parts: f64, bound: &LimitBound) -> Self {
        let window = bound.window.as_secs_f64();
        let (rate, burst) = (limit.rate / parts, limit.burst / parts);
        let over = bound.overage * (rate * window + burst) + bound.slack;
        Allotment {
            rate: rate + RATE_PART * over / window,
            capacity: burst + CAPACITY_PART * over,
        }
    }

    /// Time in which so many units flow in.
    fn time_for(&self, units: f64) -> Duration {
        Duration::from_secs_f64((units / self.rate).clamp(0.0, LONGEST_WAIT.as_secs_f64()))
    }
}

/// Longest wait that is told.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// What came of asking for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is within the limit, and was counted.
    Granted,
    /// It is beyond the limit; there is room for it after this time.
    Beyond(Duration),
    /// There is no room yet, since nobody knows what a former ledger has granted.
    NotYet(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    allotment: Allotment,
    level: f64,
    at: Timestamp,
}

/// Buckets of tenants.
#[derive(Debug)]
pub struct Ledger {
    bound: LimitBound,
    /// Ledgers that share each limit.
    parts: f64,
    /// Since when nobody else has granted anything.
    since: Timestamp,
    buckets: HashMap<TenantId, Bucket>,
}

impl Ledger {
    /// Empty buckets for one of so many parts of each limit at `since`, from when on nobody
    /// else grants anything of it.
    pub fn new(bound: LimitBound, parts: usize, since: Timestamp) -> Self {
        let parts = parts as f64;
        Ledger {
            bound: bound.part(parts),
            parts,
            since,
            buckets: HashMap::new(),
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
        let since = self.since;
        let bucket = self.bucket(now, tenant, limit);
        // What is larger than a full bucket needs one.
        let needed = cost.min(bucket.allotment.capacity);
        if bucket.level >= needed {
            bucket.level -= cost;
            return Taken::Granted;
        }
        let allotment = bucket.allotment;
        let wait = allotment.time_for(needed - bucket.level);
        let full = since + allotment.time_for(allotment.capacity).as_millis() as u64;
        if now < full {
            Taken::NotYet(wait)
        } else {
            Taken::Beyond(wait)
        }
    }

    /// A request that was granted is known not to have run.
    pub fn give_back(&mut self, now: Timestamp, tenant: &TenantId, limit: &TenantLimit, cost: f64) {
        let bucket = self.bucket(now, tenant, limit);
        bucket.level = (bucket.level + cost).min(bucket.allotment.capacity);
    }

    fn bucket(&mut self, now: Timestamp, tenant: &TenantId, limit: &TenantLimit) -> &mut Bucket {
        let allotment = Allotment::new(limit, self.parts, &self.bound);
        let since = self.since;
        let bucket = self.buckets.entry(tenant.clone()).or_insert(Bucket {
            allotment,
            level: 0.0,
            at: since,
        });
        let flowed = bucket.allotment.rate * now.since(bucket.at) as f64 / 1_000.0;
        bucket.at = now;
        bucket.allotment = allotment;
        bucket.level = (bucket.level + flowed).min(allotment.capacity);
        bucket
    }
}
