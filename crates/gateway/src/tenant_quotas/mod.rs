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
//! chosen at random, and asks the other one before it rejects a request. The requests of a
//! single gateway are too few to tell whether a quota is exceeded: with 87 gateways, each sees
//! one request of a small tenant in half a minute.
//!
//! In: the tenant and cost of each request. Out: whether the request is within the tenant's
//! quota. This module opens no connections: its caller supplies the function that sends a
//! message to another gateway.

mod denials;
mod message;
pub mod refunds;
pub mod shards;

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::ledger::SavedUsage;
use gorsebank_fleet::quota_shard::{QUOTA_SHARDS, SHARDS_PER_TENANT, shards_of};
use gorsebank_fleet::received_numbers::ReceivedNumbers;
use gorsebank_fleet::{Configuration, LeaseKeeper, Ledger, LimitBound, QuotaDecision, Tenants};
use gorsebank_world::{NodeId, TenantId};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use denials::DenialCache;
pub use message::{QuotaRequest, QuotaResponse, Refund, SendTimeRequest};

/// Pause before a retry while no gateway holds a tenant's shard or no holder responds.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// A gateway that did not respond is not asked again for this time, so that the requests that
/// arrive meanwhile do not each wait for its timeout.
const PEER_COOLDOWN: Duration = Duration::from_millis(600);

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

/// The result of charging a request.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaOutcome {
    /// The request is within the quota and was charged.
    Granted(Grant),
    /// The request would exceed the quota; there is capacity for it after this time.
    OverQuota(Duration),
    /// The shard holders gave no conclusive response before the deadline.
    Unknown,
}

/// The result of asking the holders of all shards of a tenant once.
enum RoundOutcome {
    /// One of the holders granted the request.
    Granted(Grant),
    /// All holders responded that the request exceeds the quota; one of them has capacity for
    /// it after this time.
    OverQuota(Duration),
    /// At least one shard gave no conclusive response; a retry can succeed after this time.
    Unknown(Duration),
}

/// What is to be charged for one request.
#[derive(Clone, Debug)]
pub struct QuotaDemand {
    /// The tenant that sent the request.
    pub tenant: TenantId,
    /// The cost to charge.
    pub cost: f64,
}

/// The ledger of a shard that this gateway holds, under one lease.
struct ActiveShard {
    keeper: Arc<Mutex<LeaseKeeper>>,
    /// The tenure of the lease, by which grants name it.
    tenure: u64,
    ledger: Ledger,
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
        let is_applied_now = |number| self.refund_messages.record(now, number);
        if !request.refund_message.is_none_or(is_applied_now) {
            return;
        }
        let refunds = request.refunds.iter().chain(&request.repeated_refunds);
        for refund in refunds.filter(|refund| refund.fence == self.tenure) {
            self.ledger
                .refund(now, &refund.tenant, refund.granted_at, refund.cost);
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
    /// Notified when refunds of a shard wait to be sent.
    pub refunds_pending: [Notify; QUOTA_SHARDS],
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
        let granted = QuotaResponse::Granted {
            fence: active.tenure,
            granted_at: now,
        };
        let Some(limit) = tenant.limit else {
            return granted;
        };
        let milliseconds = |wait: Duration| wait.as_millis() as u64 + 1;
        let decision = active
            .ledger
            .charge(now, &request.tenant, &limit, request.cost);
        if active.ledger.needs_saving() {
            self.save_wanted.notify_one();
        }
        match decision {
            QuotaDecision::Granted => granted,
            QuotaDecision::Beyond(wait) => QuotaResponse::OverLimit {
                wait_ms: milliseconds(wait),
            },
            QuotaDecision::NotYet(wait) => QuotaResponse::NotReady {
                wait_ms: milliseconds(wait),
            },
        }
    }

    /// Charges a request to its tenant's quota. Retries until a shard holder grants the request,
    /// all holders respond that it exceeds the quota, or the time `until` would be passed.
    /// `send` sends a request to a gateway, this one included, and returns `None` if there was no
    /// response.
    pub async fn charge<F>(
        &self,
        demand: &QuotaDemand,
        until: Instant,
        send: impl Fn(NodeId, QuotaRequest) -> F,
    ) -> QuotaOutcome
    where
        F: Future<Output = Option<QuotaResponse>>,
    {
        if let Some(remaining) = self.denials.lock().remaining_wait(demand) {
            return QuotaOutcome::OverQuota(remaining);
        }
        loop {
            let pause = match self.charge_at_any_shard(demand, &send).await {
                RoundOutcome::Granted(grant) => return QuotaOutcome::Granted(grant),
                RoundOutcome::OverQuota(wait) => {
                    self.denials.lock().record(demand, wait);
                    return QuotaOutcome::OverQuota(wait);
                }
                RoundOutcome::Unknown(pause) => pause,
            };
            if Instant::now() + pause >= until {
                return QuotaOutcome::Unknown;
            }
            sleep(pause).await;
        }
    }

    /// Asks the holders of the tenant's shards, one after the other, until one of them charges the
    /// request.
    async fn charge_at_any_shard<F>(
        &self,
        demand: &QuotaDemand,
        send: &impl Fn(NodeId, QuotaRequest) -> F,
    ) -> RoundOutcome
    where
        F: Future<Output = Option<QuotaResponse>>,
    {
        let mut shards = shards_of(&demand.tenant);
        // A random first shard balances the usage of the two.
        shards.rotate_left(rand::random_range(0..SHARDS_PER_TENANT));
        let (mut denials, mut soonest) = (0, None::<Duration>);
        let mut pause = RETRY_PAUSE;
        for shard in shards {
            match self.charge_at_shard(shard, demand, send).await {
                Some(QuotaResponse::Granted { fence, granted_at }) => {
                    return RoundOutcome::Granted(Grant {
                        tenant: demand.tenant.clone(),
                        cost: demand.cost,
                        shard,
                        fence,
                        granted_at,
                    });
                }
                Some(QuotaResponse::OverLimit { wait_ms: wait }) => {
                    let wait = Duration::from_millis(wait);
                    denials += 1;
                    soonest = Some(soonest.map_or(wait, |soonest| soonest.min(wait)));
                }
                Some(QuotaResponse::NotReady { wait_ms }) => {
                    pause = pause.min(Duration::from_millis(wait_ms));
                }
                // `Reserved` responds to requests for send times only.
                Some(QuotaResponse::NotHolder | QuotaResponse::Reserved { .. }) | None => {}
            }
        }
        match soonest {
            Some(wait) if denials == SHARDS_PER_TENANT => RoundOutcome::OverQuota(wait),
            _ => RoundOutcome::Unknown(pause),
        }
    }

    async fn charge_at_shard<F>(
        &self,
        shard: usize,
        demand: &QuotaDemand,
        send: &impl Fn(NodeId, QuotaRequest) -> F,
    ) -> Option<QuotaResponse>
    where
        F: Future<Output = Option<QuotaResponse>>,
    {
        let holder = self.shards[shard].lock().holder.clone()?;
        if self.is_in_cooldown(&holder) {
            return None;
        }
        let request = QuotaRequest {
            shard,
            tenant: demand.tenant.clone(),
            cost: demand.cost,
            ..QuotaRequest::without_charge()
        };
        let response = send(holder.clone(), request).await;
        if response.is_none() {
            let until = Instant::now() + PEER_COOLDOWN;
            self.cooldowns.lock().insert(holder, until);
        }
        response
    }

    fn is_in_cooldown(&self, holder: &NodeId) -> bool {
        let mut cooldowns = self.cooldowns.lock();
        let now = Instant::now();
        cooldowns.retain(|_, until| now < *until);
        cooldowns.contains_key(holder)
    }
}
