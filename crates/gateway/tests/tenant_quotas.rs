//! Tests how a gateway charges requests at the holder of a tenant's shards, and returns the charges
//! of requests that did not run.

use std::future::ready;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::ledger::SavedUsage;
use gorsebank_fleet::quota_shard::QUOTA_SHARDS;
use gorsebank_fleet::{
    Configuration, LeaseKeeper, LeaseRow, LimitBound, LimitUnit, Limits, PlaceRequest, Tenant,
    TenantEntry, TenantLimit, Tenants,
};
use gorsebank_gateway::tenant_quotas::{
    Grant, QuotaDemand, QuotaOutcome, QuotaRequest, QuotaResponse, TenantQuotas,
};
use gorsebank_world::{NodeId, TenantId};
use parking_lot::Mutex;
use tokio::time::Instant;

const BOUND: LimitBound = LimitBound {
    window: Duration::from_secs(8),
    overage: 0.0,
    slack: 0.0,
};
/// Tokens that the tenant may use in a window.
const WINDOW_TOKENS: f64 = 8_000.0;
/// Charge of each request.
const COST: f64 = 400.0;

fn tenant() -> TenantId {
    "crews".into()
}

fn configuration() -> Configuration {
    let limit = TenantLimit {
        rate: WINDOW_TOKENS / 8.0,
        burst: 0.0,
        unit: LimitUnit::Tokens { default_cost: 1.0 },
    };
    let tenant = Tenant {
        id: tenant(),
        priority: None,
        limit: Some(limit),
    };
    let entry = TenantEntry {
        tenant,
        keys: Vec::new(),
    };
    let limits = Limits {
        max_header_bytes: 0,
        max_body_bytes: 0,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let tenants = Tenants::new(vec![entry]).expect("valid tenants");
    Configuration::new(1, Vec::new(), Vec::new(), limits).with_tenants(Some(tenants))
}

/// A gateway that holds all shards.
struct Holder {
    quotas: TenantQuotas,
    configuration: Configuration,
    now: Mutex<Timestamp>,
}

impl Holder {
    fn start() -> Self {
        let start = Timestamp(100_000);
        let quotas = TenantQuotas::default();
        for shard in 0..QUOTA_SHARDS {
            let mut keeper = LeaseKeeper::new("holder".into(), 1, 3_600_000);
            let row = LeaseRow {
                holder: Some("holder".into()),
                process: 1,
                write: 0,
            };
            keeper.record_write(start, 1, &row);
            let keeper = Arc::new(Mutex::new(keeper));
            let saved = SavedUsage::default();
            assert!(quotas.activate_shard(start, shard, &keeper, BOUND, saved));
        }
        // One window later all usage is known.
        let now = Mutex::new(Timestamp(start.0 + 8_001));
        let holder = Holder {
            quotas,
            configuration: configuration(),
            now,
        };
        holder.save();
        holder
    }

    fn save(&self) {
        for shard in 0..QUOTA_SHARDS {
            let now = *self.now.lock();
            self.quotas.usage_to_save(now, shard, &self.configuration);
            self.quotas.confirm_saved(shard);
        }
    }

    /// Handles a request; the usage is saved after each.
    fn handle(&self, request: &QuotaRequest) -> QuotaResponse {
        let now = *self.now.lock();
        let configuration = Some(&self.configuration);
        let response = self.quotas.handle_request(now, request, configuration);
        self.save();
        response
    }
}

/// A gateway that knows the holder.
fn gateway() -> TenantQuotas {
    let quotas = TenantQuotas::default();
    for shard in 0..QUOTA_SHARDS {
        quotas.set_holder(shard, Some("holder".into()));
    }
    quotas
}

/// A request that honours no `Retry-After` and does not wait, unless it says so.
fn demand(caller: u64, is_returning: bool) -> QuotaDemand {
    QuotaDemand {
        tenant: tenant(),
        cost: COST,
        place: PlaceRequest {
            caller,
            kind: 1,
            priority: 0,
            max_wait_ms: 0,
            is_returning,
        },
        wait_until: Instant::now(),
    }
}

async fn charge(gateway: &TenantQuotas, holder: &Holder) -> QuotaOutcome {
    let demand = demand(0, false);
    let send = |_: NodeId, request: QuotaRequest| ready(Some(holder.handle(&request)));
    let until = Instant::now() + Duration::from_millis(200);
    gateway.charge(&demand, until, send).await
}

/// Charges requests until one exceeds the quota.
async fn charge_all(gateway: &TenantQuotas, holder: &Holder) -> Vec<Grant> {
    let mut grants = Vec::new();
    while let QuotaOutcome::Granted { grant, .. } = charge(gateway, holder).await {
        grants.push(grant);
    }
    grants
}

#[tokio::test]
async fn a_refund_makes_room_for_callers_of_other_gateways_without_a_further_request() {
    let (holder, first, second) = (Holder::start(), gateway(), gateway());
    let grants = charge_all(&first, &holder).await;
    assert_eq!(grants.len() as f64 * COST, WINDOW_TOKENS);
    let count = grants.len();
    grants.into_iter().for_each(|grant| first.refund(grant));
    first
        .send_refunds(|_, request| ready(Some(holder.handle(&request))))
        .await;
    assert_eq!(charge_all(&second, &holder).await.len(), count);
}

#[tokio::test]
async fn refunds_whose_response_is_lost_are_repeated_and_applied_once() {
    let (holder, gateway) = (Holder::start(), gateway());
    let mut grants = charge_all(&gateway, &holder).await;
    let messages = AtomicUsize::new(0);
    gateway.refund(grants.remove(0));
    gateway
        .send_refunds(|_, request| {
            holder.handle(&request);
            messages.fetch_add(1, Ordering::Relaxed);
            ready(None)
        })
        .await;
    assert_eq!(messages.load(Ordering::Relaxed), 2);
    assert_eq!(charge_all(&self::gateway(), &holder).await.len(), 1);
}

#[tokio::test]
async fn a_lost_message_with_refunds_is_made_good_by_its_repetition() {
    let (holder, gateway) = (Holder::start(), gateway());
    let mut grants = charge_all(&gateway, &holder).await;
    let messages = AtomicUsize::new(0);
    gateway.refund(grants.remove(0));
    gateway
        .send_refunds(|_, request| {
            let is_lost = messages.fetch_add(1, Ordering::Relaxed) == 0;
            ready((!is_lost).then(|| holder.handle(&request)))
        })
        .await;
    assert_eq!(charge_all(&self::gateway(), &holder).await.len(), 1);
}

/// Charges one request, and handles it by the holder at the holder's own time.
async fn charge_demand(
    gateway: &TenantQuotas,
    holder: &Holder,
    demand: &QuotaDemand,
) -> QuotaOutcome {
    let send = |_: NodeId, request: QuotaRequest| ready(Some(holder.handle(&request)));
    let until = Instant::now() + Duration::from_millis(200);
    gateway.charge(demand, until, send).await
}

/// A caller that is refused with a place finds it through another gateway, while a caller without
/// one is refused.
#[tokio::test]
async fn a_place_is_kept_for_the_return_of_its_caller_at_any_gateway() {
    for caller in 0..4 {
        let holder = Holder::start();
        charge_all(&gateway(), &holder).await;
        let mut first = demand(caller, false);
        first.place.max_wait_ms = 8_500;
        let outcome = charge_demand(&gateway(), &holder, &first).await;
        let QuotaOutcome::Placed(wait) = outcome else {
            panic!("{outcome:?}");
        };
        let now = *holder.now.lock() + wait.as_millis() as u64;
        *holder.now.lock() = now;
        assert!(!charge_all(&gateway(), &holder).await.is_empty());
        let outcome = charge_demand(&gateway(), &holder, &demand(caller, true)).await;
        assert!(
            matches!(
                outcome,
                QuotaOutcome::Granted {
                    place_error_ms: Some(_),
                    ..
                }
            ),
            "{outcome:?}"
        );
    }
}
