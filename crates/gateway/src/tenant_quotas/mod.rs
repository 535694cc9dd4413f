//! Quotas of tenants across all gateways. Each request is charged to its tenant's quota once,
//! before anything else is done for the request.
//!
//! ```text
//! request --> gateway --charge--> holder of one of the tenant's shards: lease, ledger
//!                     <--granted, over quota, not ready--
//! ```
//!
//! Each tenant's quota is divided equally between two of a fixed number of quota shards
//! ([`gorsebank_fleet::quota_shard`]). A gateway holds a shard by a lease in the table
//! ([`shards`]) and charges requests to it only while the lease is valid, so no two gateways
//! charge to the same shard at a time. A gateway first asks the holder of one of the two shards,
//! chosen by the request's content, and asks the other one before it rejects a request
//! ([`charging`]). The second one may give the request a place for a later time
//! ([`gorsebank_fleet::quota_queue`]). The requests of a
//! single gateway are too few to tell whether a quota is exceeded: with 87 gateways, each sees
//! one request of a small tenant in half a minute.
//!
//! In: the tenant and cost of each request. Out: whether the request is within the tenant's
//! quota. This module opens no connections: its caller supplies the function that sends a
//! message to another gateway.

mod charging;
mod denials;
mod message;
pub mod refunds;
pub mod shards;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::ledger::SavedUsage;
use gorsebank_fleet::quota_shard::{QUOTA_SHARDS, SHARDS_PER_TENANT, shards_of};
use gorsebank_fleet::received_numbers::ReceivedNumbers;
use gorsebank_fleet::{
    Charge, Configuration, LeaseKeeper, Ledger, LimitBound, QueueDecision, QuotaQueue, Tenants,
};
use gorsebank_world::{NodeId, TenantId};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

pub use charging::{QuotaDemand, QuotaOutcome};
use denials::DenialCache;
pub use message::{QuotaRequest, QuotaResponse, Refund, SendTimeRequest};

/// A request that was charged to its tenant's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The tenant that sent the request.
    pub tenant: TenantId,
    /// The cost that was charged.
    pub cost: f64,
    /// The shard to which the request was charged.
    shard: usize,
    /// The fencing token of the lease under which the request was charged.
    fence: u64,
    /// When the request was charged, by the clock of the shard holder.
    granted_at: Timestamp,
}

/// The ledger of a shard that this gateway holds, under one lease.
struct ActiveShard {
    keeper: Arc<Mutex<LeaseKeeper>>,
    /// The tenure of the lease, by which grants name it.
    tenure: u64,
    ledger: Ledger,
    queue: QuotaQueue,
    /// Numbers of the messages whose refunds were applied.
    refund_messages: ReceivedNumbers,
}

impl ActiveShard {
    /// Whether the lease is still valid, so that no other gateway can have activated the shard.
    fn is_valid(&self, now: Timestamp) -> bool {
        self.keeper.lock().tenure(now) == Some(self.tenure)
    }

    /// Applies the refunds of a message, unless a message with the same number has been applied.
    fn apply_refunds(&mut self, now: Timestamp, request: &QuotaRequest) {
        let is_new = |number| self.refund_messages.record(now, number);
        if !request.refund_message.is_none_or(is_new) {
            return;
        }
        let refunds = request.refunds.iter().chain(&request.repeated_refunds);
        for refund in refunds.filter(|refund| refund.fence == self.tenure) {
            let (ledger, granted) = (&mut self.ledger, refund.granted_at);
            self.queue
                .refund(ledger, now, &refund.tenant, granted, refund.cost);
        }
    }
}

/// One quota shard, as this gateway knows it.
#[derive(Default)]
struct Shard {
    /// The lease holder, according to the table.
    holder: Option<NodeId>,
    /// The ledger, while this gateway holds the shard.
    active: Option<ActiveShard>,
    /// Refunds to be sent to the holder.
    refunds: Vec<Refund>,
}

/// Quotas of tenants: charges requests at the shard holders, and keeps the ledgers of the shards
/// that this gateway holds.
#[derive(Default)]
pub struct TenantQuotas {
    shards: [Mutex<Shard>; QUOTA_SHARDS],
    /// Notified when a ledger should be saved soon.
    pub save_wanted: Notify,
    /// Notified when refunds wait to be sent.
    pub refunds_pending: Notify,
    /// Places that lapsed at this gateway and have not been counted yet.
    lapsed_places: AtomicU64,
    denials: Mutex<DenialCache>,
    /// Gateways that did not respond, and the end of their cooldown.
    cooldowns: Mutex<HashMap<NodeId, Instant>>,
}

impl TenantQuotas {
    /// Updates the holder of a shard, as read from the table.
    pub fn set_holder(&self, shard: usize, holder: Option<NodeId>) {
        self.shards[shard].lock().holder = holder;
    }

    /// The holder of each shard, according to the table.
    pub fn shard_holders(&self) -> [Option<NodeId>; QUOTA_SHARDS] {
        std::array::from_fn(|shard| self.shards[shard].lock().holder.clone())
    }

    /// Starts to charge requests to a shard whose lease this gateway has acquired. `saved` is
    /// the usage that the previous holder saved; that holder's lease has ended. Returns whether
    /// the lease is valid now.
    pub fn activate_shard(
        &self,
        now: Timestamp,
        shard: usize,
        keeper: &Arc<Mutex<LeaseKeeper>>,
        bound: LimitBound,
        saved: SavedUsage,
    ) -> bool {
        let tenure = keeper.lock().tenure(now);
        let active = tenure.map(|tenure| ActiveShard {
            keeper: keeper.clone(),
            tenure,
            ledger: Ledger::new(bound, SHARDS_PER_TENANT, now, saved),
            queue: QuotaQueue::default(),
            refund_messages: ReceivedNumbers::new(bound.window.as_millis() as u64),
        });
        let is_active = active.is_some();
        self.shards[shard].lock().active = active;
        is_active
    }

    /// The granted usage of a shard, to be written to the table with its lease; `None` if this
    /// gateway does not hold the shard.
    pub fn usage_to_save(
        &self,
        now: Timestamp,
        shard: usize,
        configuration: &Configuration,
    ) -> Option<SavedUsage> {
        let mut own = self.shards[shard].lock();
        let active = own.active.as_mut()?;
        let tenants = configuration.tenants.iter().flat_map(Tenants::iter);
        let charged = tenants.filter(|tenant| shards_of(&tenant.id).contains(&shard));
        let limits = charged.filter_map(|tenant| Some((&tenant.id, tenant.limit.as_ref()?)));
        Some(active.ledger.begin_save(now, limits))
    }

    /// Records that the write of the last [`TenantQuotas::usage_to_save`] of a shard succeeded.
    pub fn confirm_saved(&self, shard: usize) {
        if let Some(active) = self.shards[shard].lock().active.as_mut() {
            active.ledger.confirm_save();
        }
    }

    /// Whether the granted usage of a shard should be saved soon.
    pub fn needs_saving(&self, shard: usize) -> bool {
        let shard = self.shards[shard].lock();
        let active = shard.active.as_ref();
        active.is_some_and(|active| active.ledger.needs_saving())
    }

    /// Stops charging requests to a shard whose lease this gateway has lost.
    pub fn deactivate_shard(&self, shard: usize) {
        self.shards[shard].lock().active = None;
    }

    /// Responds to a request of another gateway, or of this one, to charge a shard.
    pub fn handle_request(
        &self,
        now: Timestamp,
        request: &QuotaRequest,
        configuration: Option<&Configuration>,
    ) -> QuotaResponse {
        let Some(shard) = self.shards.get(request.shard) else {
            return QuotaResponse::NotHolder;
        };
        let mut shard = shard.lock();
        let active = shard.active.as_mut();
        let valid = active.filter(|active| active.is_valid(now));
        let tenants = configuration.and_then(|known| known.tenants.as_ref());
        let (Some(active), Some(tenants)) = (valid, tenants) else {
            return QuotaResponse::NotHolder;
        };
        active.apply_refunds(now, request);
        let Some(tenant) = tenants.tenant(&request.tenant) else {
            return QuotaResponse::NotHolder;
        };
        let fence = active.tenure;
        let granted = |place_error_ms| QuotaResponse::Granted {
            fence,
            granted_at: now,
            place_error_ms,
        };
        let Some(limit) = &tenant.limit else {
            return granted(None);
        };
        let milliseconds = |wait: Duration| wait.as_millis() as u64 + 1;
        let charge = Charge {
            tenant: &request.tenant,
            limit,
            cost: request.cost,
            place: request.place,
        };
        let decision = active.queue.charge(&mut active.ledger, now, &charge);
        let lapsed = active.queue.take_lapsed();
        self.lapsed_places.fetch_add(lapsed, Ordering::Relaxed);
        if active.ledger.needs_saving() {
            self.save_wanted.notify_one();
        }
        match decision {
            QueueDecision::Granted { place_error_ms } => granted(place_error_ms),
            QueueDecision::Placed(wait) => QuotaResponse::Placed {
                wait_ms: milliseconds(wait),
            },
            QueueDecision::Beyond(wait) => QuotaResponse::OverLimit {
                wait_ms: milliseconds(wait),
            },
            QueueDecision::NotYet(wait) => QuotaResponse::NotReady {
                wait_ms: milliseconds(wait),
            },
        }
    }

    /// Returns the number of places that have lapsed at this gateway since the last call.
    pub fn take_lapsed_places(&self) -> u64 {
        self.lapsed_places.swap(0, Ordering::Relaxed)
    }
}
