//! Returns charges of requests that did not run to the holders of the shards that granted them.
//!
//! In: refunds that wait at this gateway. Out: one message per shard, sent soon after the first
//! refund, so that callers of the same tenant find the capacity. A message without a response is
//! repeated once; the holder applies it once, by its number.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use gorsebank_fleet::quota_shard::QUOTA_SHARDS;
use gorsebank_world::NodeId;
use tokio::time::sleep;

use super::{Grant, QuotaRequest, QuotaResponse, Refund, TenantQuotas};
use crate::event_log::{self, LogPriority};
use crate::shared::Shared;

/// Time for which refunds are collected before they are sent in one message.
const COLLECTION_TIME: Duration = Duration::from_millis(30);
/// Pause before a message without a response is repeated. The address of a new holder may be
/// known by then.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of refunds that wait for one shard. Further ones are dropped: their charges
/// leave the window by themselves.
const MAX_PENDING_REFUNDS: usize = 256;

/// Sends refunds until the future is dropped. A holder that does not respond delays the refunds of
/// its own shard only.
pub async fn run(shared: Arc<Shared>) {
    join_all((0..QUOTA_SHARDS).map(|shard| send_refunds_of_shard(&shared, shard))).await;
}

async fn send_refunds_of_shard(shared: &Shared, shard: usize) {
    let send = |holder, request| shared.send_quota_request(holder, request);
    let quotas = &shared.tenant_quotas;
    loop {
        quotas.refunds_pending[shard].notified().await;
        sleep(COLLECTION_TIME).await;
        quotas.send_refunds_of(shard, &send).await;
    }
}

impl TenantQuotas {
    /// Refunds a request that was charged and is known not to have run.
    pub fn refund(&self, grant: Grant) {
        let index = grant.shard;
        let mut shard = self.shards[index].lock();
        if shard.refunds.len() >= MAX_PENDING_REFUNDS {
            drop(shard);
            log_dropped(index, 1, "too_many");
            return;
        }
        shard.refunds.push(Refund {
            tenant: grant.tenant,
            cost: grant.cost,
            fence: grant.fence,
            granted_at: grant.granted_at,
        });
        drop(shard);
        self.refunds_pending[index].notify_one();
    }

    /// Sends all pending refunds. `send` sends a request to a gateway, this one included, and
    /// returns `None` if there was no response.
    pub async fn send_refunds<F>(&self, send: impl Fn(NodeId, QuotaRequest) -> F)
    where
        F: Future<Output = Option<QuotaResponse>>,
    {
        let send = &send;
        let shards = (0..QUOTA_SHARDS).map(|shard| self.send_refunds_of(shard, send));
        join_all(shards).await;
    }

    async fn send_refunds_of<F>(&self, shard: usize, send: &impl Fn(NodeId, QuotaRequest) -> F)
    where
        F: Future<Output = Option<QuotaResponse>>,
    {
        let refunds = std::mem::take(&mut self.shards[shard].lock().refunds);
        if refunds.is_empty() {
            return;
        }
        let count = refunds.len();
        let first = QuotaRequest::for_refunds(shard, rand::random(), refunds);
        let repeated = first.clone().repeated();
        if self.send_to_holder(shard, first, send).await.is_some() {
            return;
        }
        sleep(REPEAT_PAUSE).await;
        if self.send_to_holder(shard, repeated, send).await.is_none() {
            let has_holder = self.shards[shard].lock().holder.is_some();
            let reason = if has_holder {
                "no_response"
            } else {
                "no_holder"
            };
            log_dropped(shard, count, reason);
        }
    }

    async fn send_to_holder<F>(
        &self,
        shard: usize,
        request: QuotaRequest,
        send: &impl Fn(NodeId, QuotaRequest) -> F,
    ) -> Option<QuotaResponse>
    where
        F: Future<Output = Option<QuotaResponse>>,
    {
        let holder = self.shards[shard].lock().holder.clone()?;
        send(holder, request).await
    }
}

fn log_dropped(shard: usize, count: usize, reason: &str) {
    let fields = format_args!("seat={shard} refunds={count} reason={reason}");
    event_log::write(LogPriority::Decision, "refunds_dropped", fields);
}
