//! Charges requests at the holders of their tenants' shards.
//!
//! In: the demand of each request. Out: granted, refused with the time until there is capacity or
//! until the request's place, or unknown. A request waits here for a place that comes soon.

use std::future::Future;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::PlaceRequest;
use gorsebank_fleet::quota_shard::{SHARDS_PER_TENANT, shards_of};
use gorsebank_world::{NodeId, TenantId};
use tokio::time::{Instant, sleep};

use super::{Grant, QuotaRequest, QuotaResponse, TenantQuotas};

/// Pause before a retry while no gateway holds a tenant's shard or no holder responds.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// A gateway that did not respond is not asked again for this time, so that the requests that
/// arrive meanwhile do not each wait for its timeout.
const PEER_COOLDOWN: Duration = Duration::from_millis(600);

/// The result of charging a request.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaOutcome {
    /// The request is within the quota and was charged.
    Granted {
        /// The charge.
        grant: Grant,
        /// How much later than first stated the request's place was used, in milliseconds;
        /// `None` if it had none.
        place_error_ms: Option<i64>,
    },
    /// The request would exceed the quota; there is capacity for it after this time.
    OverQuota(Duration),
    /// The request has a place after this time, which is kept for the caller's return.
    Placed(Duration),
    /// The shard holders gave no conclusive response before the deadline.
    Unknown,
}

/// The result of asking the holders of all shards of a tenant once.
enum RoundOutcome {
    /// One of the holders granted the request.
    Granted {
        grant: Grant,
        place_error_ms: Option<i64>,
    },
    /// The request has a place at this shard after this time.
    Placed { shard: usize, wait: Duration },
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
    /// What is said of the request if it needs a place.
    pub place: PlaceRequest,
    /// Until when the request can wait at this gateway for its place.
    pub wait_until: Instant,
}

impl QuotaDemand {
    /// The tenant's shards in the order in which they are asked. The request's content selects
    /// the shard of its place, which every gateway finds again. A new request first asks the
    /// other shard, so that it gets a place only if neither has room.
    fn shards(&self) -> [usize; SHARDS_PER_TENANT] {
        let mut shards = shards_of(&self.tenant);
        let of_place = self.place.caller as usize % SHARDS_PER_TENANT;
        shards.rotate_left(
            if self.place.is_returning {
                of_place
            } else {
                of_place + 1
            } % SHARDS_PER_TENANT,
        );
        shards
    }

    /// The grant of a shard.
    fn granted(&self, shard: usize, fence: u64, granted_at: Timestamp) -> Grant {
        Grant {
            tenant: self.tenant.clone(),
            cost: self.cost,
            shard,
            fence,
            granted_at,
        }
    }

    /// What is said of the request at a shard: a new place is given at the last one only.
    fn place_at(&self, index: usize) -> PlaceRequest {
        let is_last = index + 1 == SHARDS_PER_TENANT;
        PlaceRequest {
            max_wait_ms: if is_last { self.place.max_wait_ms } else { 0 },
            ..self.place
        }
    }
}

impl TenantQuotas {
    /// Charges a request to its tenant's quota. Retries until a shard holder grants the request,
    /// all holders respond that it exceeds the quota, or the time `until` would be passed. A
    /// request with a place waits for it, if it can.
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
            let mut outcome = self.charge_at_any_shard(demand, &send).await;
            while let RoundOutcome::Placed { shard, wait } = outcome {
                if Instant::now() + wait > demand.wait_until {
                    return QuotaOutcome::Placed(wait);
                }
                sleep(wait).await;
                outcome = self.charge_at_place(shard, demand, &send).await;
            }
            let pause = match outcome {
                RoundOutcome::Granted {
                    grant,
                    place_error_ms,
                } => {
                    return QuotaOutcome::Granted {
                        grant,
                        place_error_ms,
                    };
                }
                RoundOutcome::Placed { wait, .. } => return QuotaOutcome::Placed(wait),
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
        let (mut denials, mut last_wait) = (0, None);
        let mut pause = RETRY_PAUSE;
        let mut place = None;
        for (index, shard) in demand.shards().into_iter().enumerate() {
            let request = demand.place_at(index);
            match self.charge_at_shard(shard, demand, request, send).await {
                Some(QuotaResponse::Granted {
                    fence,
                    granted_at,
                    place_error_ms,
                }) => {
                    return RoundOutcome::Granted {
                        grant: demand.granted(shard, fence, granted_at),
                        place_error_ms,
                    };
                }
                Some(QuotaResponse::Placed { wait_ms }) => {
                    let wait = Duration::from_millis(wait_ms);
                    place = Some(RoundOutcome::Placed { shard, wait });
                }
                Some(QuotaResponse::OverLimit { wait_ms: wait }) => {
                    let wait = Duration::from_millis(wait);
                    denials += 1;
                    // The last shard is the one at which the request can have a place.
                    last_wait = Some(wait);
                }
                Some(QuotaResponse::NotReady { wait_ms }) => {
                    pause = pause.min(Duration::from_millis(wait_ms));
                }
                // `Reserved` responds to requests for send times only.
                Some(QuotaResponse::NotHolder | QuotaResponse::Reserved { .. }) | None => {}
            }
        }
        if let Some(place) = place {
            return place;
        }
        match last_wait {
            Some(wait) if denials == SHARDS_PER_TENANT => RoundOutcome::OverQuota(wait),
            _ => RoundOutcome::Unknown(pause),
        }
    }

    /// Asks for the room of a request's place at a shard.
    async fn charge_at_place<F>(
        &self,
        shard: usize,
        demand: &QuotaDemand,
        send: &impl Fn(NodeId, QuotaRequest) -> F,
    ) -> RoundOutcome
    where
        F: Future<Output = Option<QuotaResponse>>,
    {
        let request = PlaceRequest {
            max_wait_ms: 0,
            is_returning: true,
            ..demand.place
        };
        match self.charge_at_shard(shard, demand, request, send).await {
            Some(QuotaResponse::Granted {
                fence,
                granted_at,
                place_error_ms,
            }) => RoundOutcome::Granted {
                grant: demand.granted(shard, fence, granted_at),
                place_error_ms,
            },
            Some(QuotaResponse::Placed { wait_ms } | QuotaResponse::NotReady { wait_ms }) => {
                let wait = Duration::from_millis(wait_ms);
                RoundOutcome::Placed { shard, wait }
            }
            // The shard has moved, or the place has lapsed.
            _ => RoundOutcome::Unknown(RETRY_PAUSE),
        }
    }

    async fn charge_at_shard<F>(
        &self,
        shard: usize,
        demand: &QuotaDemand,
        place: PlaceRequest,
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
            place: Some(place),
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
