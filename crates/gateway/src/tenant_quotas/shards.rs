//! Acquires, keeps and hands over the leases of quota shards.
//!
//! In: the lease rows of the shards. Out: calls that activate a shard's ledger while this gateway
//! holds its lease. The granted usage is saved in a row that is written together with the lease,
//! so that the next holder continues from it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::Put;
use gorsebank_fleet::Candidacy;
use gorsebank_fleet::ledger::SavedUsage;
use gorsebank_fleet::quota_shard::{
    self, HandOverGuard, QUOTA_SHARDS, ShardCandidate, ShardOrder, lease_name,
};
use gorsebank_world::NodeId;
use tokio::time::{Instant, sleep};

use crate::event_log::{self, LogPriority};
use crate::feed::Member;
use crate::lease_session::{LeaseSession, LeaseStepResult};
use crate::ports::WatchedTable;
use crate::shared::Shared;

/// Length of a shard's lease, as a multiple of the placement lease's length. While the table is
/// unavailable, a lease of 3 s would end after 1.7 s. With this factor it lasts for 3.4 s, and
/// after that time requests with API keys need not be served.
const LEASE_FACTOR: f64 = 1.4;
/// Maximum time between two iterations.
const MAX_PAUSE: Duration = Duration::from_millis(700);
/// Minimum time between two iterations.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// A machine with at least this fraction of the strongest machine's processor counts as strong.
const STRONG_FRACTION: f64 = 0.8;
/// A gateway with a higher average timer lag leaves shards to others for `LATE_TIMERS_DELAY`.
const MAX_TIMER_LAG: Duration = Duration::from_millis(150);
/// Additional delay before a gateway with late timers takes a free shard. If the timers of all
/// gateways are late, some of them have to hold the shards.
const LATE_TIMERS_DELAY: Duration = Duration::from_secs(4);
/// Minimum time for which a gateway holds a shard before it hands the shard over to another
/// gateway. Without hand-overs, the gateway that started first would keep all shards.
const MIN_HOLD_TIME: Duration = Duration::from_secs(6);
/// How long a computed order of gateways is used; the computation goes through all known gateways.
const ORDER_LIFETIME: Duration = Duration::from_secs(2);

/// Acquires and keeps shards until the future is dropped.
pub async fn run(shared: Arc<Shared>) {
    let lease = shared.settings.bounds.lease_duration.mul_f64(LEASE_FACTOR);
    let shard_lease = |shard| LeaseSession::new(&shared, &lease_name(shard), lease);
    let mut shards = ShardLeases {
        leases: (0..QUOTA_SHARDS).map(shard_lease).collect(),
        is_active: [false; QUOTA_SHARDS],
        order: ShardOrder::default(),
        order_computed_at: None,
        handing_over: None,
        hand_over_guard: HandOverGuard::default(),
        unresponsive: HashMap::new(),
        shared: shared.clone(),
    };
    let mut rows = shared.feed.subscribe(shared.platform.tables().lease);
    loop {
        if !shards.are_needed() {
            sleep(MAX_PAUSE).await;
            continue;
        }
        rows.mark_unchanged();
        shards.choose_hand_over().await;
        let mut pause = MAX_PAUSE;
        for shard in 0..QUOTA_SHARDS {
            pause = pause.min(shards.step(shard).await);
        }
        sleep(MIN_PAUSE).await;
        tokio::select! {
            () = sleep(pause) => {}
            _ = rows.changed() => {}
            () = shared.tenant_quotas.save_wanted.notified() => {}
        }
    }
}

/// Key of the row in which the granted usage of a shard is saved.
fn usage_key(shared: &Shared, shard: usize) -> String {
    format!(
        "{}/{}",
        shared.platform.tables().saved_state,
        lease_name(shard)
    )
}

/// The write that saves the granted usage of a shard, to be made together with its lease; `None` if
/// this gateway does not hold the shard or has no configuration.
fn usage_write(shared: &Shared, shard: usize) -> Option<Put> {
    let configuration = shared.configuration()?;
    let saved = shared
        .tenant_quotas
        .usage_to_save(shared.now(), shard, &configuration)?;
    let value = serde_json::to_string(&saved).ok()?;
    Some(Put {
        key: usage_key(shared, shard),
        value,
    })
}

/// Reads the last saved usage of a shard; `None` if the table could not be read.
async fn read_usage(shared: &Shared, shard: usize) -> Option<SavedUsage> {
    let snapshot = shared
        .table()
        .read(shared.platform.tables().saved_state)
        .await;
    let key = usage_key(shared, shard);
    let rows = snapshot.ok()?.rows;
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        return Some(SavedUsage::default());
    };
    match serde_json::from_str(&row.value) {
        Ok(saved) => Some(saved),
        Err(error) => {
            // Only gateways write this row. An unreadable row is treated as if no usage had been
            // saved.
            shared.record_refused_row(row, &error);
            Some(SavedUsage::default())
        }
    }
}

/// The leases of all shards, as this process takes part in them.
struct ShardLeases {
    shared: Arc<Shared>,
    leases: Vec<LeaseSession>,
    /// Whether this gateway charges requests to each shard.
    is_active: [bool; QUOTA_SHARDS],
    /// The order in which gateways are candidates for a free shard.
    order: ShardOrder,
    /// When `order` was computed.
    order_computed_at: Option<Instant>,
    /// The shard whose lease is being released for another gateway.
    handing_over: Option<usize>,
    hand_over_guard: HandOverGuard,
    /// Gateways that were chosen to take over a shard and did not respond, and when they may be
    /// chosen again.
    unresponsive: HashMap<NodeId, Instant>,
}

impl ShardLeases {
    /// Whether there are tenants with quotas, or active shards to release.
    fn are_needed(&self) -> bool {
        self.has_tenants() || self.is_active.contains(&true)
    }

    fn has_tenants(&self) -> bool {
        let configuration = self.shared.configuration();
        configuration.is_some_and(|known| known.tenants.is_some())
    }

    /// Runs one iteration for one shard. Returns the time until the next one.
    async fn step(&mut self, shard: usize) -> Duration {
        let candidacy = self.candidacy(shard);
        let shared = self.shared.clone();
        if shared.tenant_quotas.needs_saving(shard) {
            self.leases[shard].keeper.lock().request_renewal();
        }
        let step_result = self.leases[shard]
            .step(candidacy, || usage_write(&shared, shard))
            .await;
        if step_result == LeaseStepResult::Written {
            shared.tenant_quotas.confirm_saved(shard);
        }
        self.update_active(shard).await;
        match step_result {
            LeaseStepResult::Idle(pause) => pause,
            LeaseStepResult::Done | LeaseStepResult::Written => MIN_PAUSE,
        }
    }

    /// Activates a shard whose lease was acquired, and deactivates one whose lease was lost.
    async fn update_active(&mut self, shard: usize) {
        let (is_held, was_active) = (self.leases[shard].is_held(), self.is_active[shard]);
        let shared = &self.shared;
        if is_held && !was_active {
            let Some(saved) = read_usage(shared, shard).await else {
                return;
            };
            let bound = shared.settings.bounds.quota_bound;
            let keeper = &self.leases[shard].keeper;
            let (quotas, now) = (&shared.tenant_quotas, shared.now());
            self.is_active[shard] = quotas.activate_shard(now, shard, keeper, bound, saved);
        } else if !is_held && was_active {
            shared.tenant_quotas.deactivate_shard(shard);
            self.is_active[shard] = false;
        }
        if self.is_active[shard] != was_active {
            let change = if was_active { "lost" } else { "taken" };
            let fields = format_args!("seat={shard} change={change}");
            event_log::write(LogPriority::Decision, "counting_seat", fields);
        }
    }

    fn candidacy(&mut self, shard: usize) -> Candidacy {
        let shared = &self.shared;
        if shared.is_stopping() || !shared.may_place() || !self.has_tenants() {
            return Candidacy::Never;
        }
        if self.leases[shard].is_held() {
            return if self.handing_over == Some(shard) {
                Candidacy::Never
            } else {
                Candidacy::After(0)
            };
        }
        let late_delay = if shared.timer_lag() > MAX_TIMER_LAG {
            LATE_TIMERS_DELAY
        } else {
            Duration::ZERO
        };
        self.update_order();
        let delay = self.order.delay_with_held_shards(shard, &self.is_active);
        Candidacy::After(delay + late_delay.as_millis() as u64)
    }

    /// Chooses a shard to hand over to a gateway that responds. Half of the quota of the shard's
    /// tenants is unavailable while no gateway holds the shard.
    async fn choose_hand_over(&mut self) {
        let holders = self.shared.tenant_quotas.shard_holders();
        self.hand_over_guard.observe(self.shared.now(), &holders);
        if self
            .handing_over
            .is_some_and(|shard| self.leases[shard].is_held())
        {
            return;
        }
        self.handing_over = None;
        let now = Instant::now();
        self.unresponsive.retain(|_, until| now < *until);
        let Some((shard, to)) = self.shard_to_hand_over() else {
            return;
        };
        let held = self.leases[shard].keeper.lock().held_for(self.shared.now());
        if held.is_none_or(|held| Duration::from_millis(held) < MIN_HOLD_TIME) {
            return;
        }
        if !self.may_hand_over(shard) {
            return;
        }
        if self.shared.responds_to_quota_requests(&to).await {
            self.handing_over = Some(shard);
        } else {
            self.unresponsive.insert(to, now + MIN_HOLD_TIME);
        }
    }

    /// Whether the other shard of the same tenants grants their requests meanwhile.
    fn may_hand_over(&mut self, shard: usize) -> bool {
        let settings = &self.shared.settings;
        let window_ms = settings.bounds.quota_bound.window.as_millis() as u64;
        let now = self.shared.now();
        let guard = &mut self.hand_over_guard;
        guard.may_hand_over(now, &settings.node, shard, window_ms)
    }

    /// The shard that this gateway should hand over, and the gateway that should take it.
    fn shard_to_hand_over(&self) -> Option<(usize, NodeId)> {
        let shared = &self.shared;
        let own = shared.settings.node.as_str();
        let min_millicores = f64::from(shared.settings.millicores) * STRONG_FRACTION;
        let members = shared.serving_members();
        let is_as_strong = |member: &&Member| f64::from(member.row.millicores) >= min_millicores;
        let strong = members.iter().filter(is_as_strong);
        let others: Vec<&str> = strong
            .map(|member| member.name.as_str())
            .filter(|name| *name != own && !self.unresponsive.contains_key(&NodeId::from(*name)))
            .collect();
        let holders = shared.tenant_quotas.shard_holders();
        let holders = std::array::from_fn(|shard| {
            let known = holders[shard].as_ref().map(NodeId::as_str);
            if self.is_active[shard] {
                Some(own)
            } else {
                known
            }
        });
        let hand_over = quota_shard::shard_to_hand_over(own, &holders, &others)?;
        Some((hand_over.shard, hand_over.to.into()))
    }

    /// Computes the order in which the known gateways are candidates for free shards, unless the
    /// current order is recent.
    fn update_order(&mut self) {
        if self
            .order_computed_at
            .is_some_and(|at| at.elapsed() < ORDER_LIFETIME)
        {
            return;
        }
        self.order_computed_at = Some(Instant::now());
        let shared = &self.shared;
        let strongest = f64::from(shared.max_millicores());
        let members = shared.serving_members();
        let candidates: Vec<ShardCandidate<'_>> = members
            .iter()
            .map(|member| ShardCandidate {
                name: &member.name,
                is_strong: f64::from(member.row.millicores) >= strongest * STRONG_FRACTION,
            })
            .collect();
        self.order = ShardOrder::new(shared.settings.node.as_str(), &candidates);
    }
}
