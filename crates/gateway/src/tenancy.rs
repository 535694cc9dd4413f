//! Identifies the tenant of a request and charges the request to the tenant's quota, once per
//! request and before the request waits for a back end.
//!
//! Input: the request's headers, its route, the configuration and the configuration's age. Output:
//! the tenant and the charge, or the reason of a rejection, which is logged. API keys are never
//! logged.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_fleet::{Configuration, Denial, Fingerprint, PlaceRequest, Route, Tenant, identify};
use http::HeaderMap;
use tokio::time::Instant;

use crate::event_log::{self, LogPriority};
use crate::ports::RequestMetadata;
use crate::shared::Shared;
use crate::tenant_quotas::{Grant, QuotaDemand, QuotaOutcome};

/// Reason for log lines and metric labels: the request exceeds its tenant's quota.
pub const QUOTA_EXCEEDED: &str = "beyond_limit";
/// Reason for log lines and metric labels: no gateway could decide whether the request is within
/// the quota.
const LIMIT_NOT_KNOWN: &str = "limit_not_known";
/// Retry delay for callers that are rejected because this gateway cannot verify whether their API
/// key is still valid. A gateway without contact to the table or to its parent has found another
/// parent by then.
const UNVERIFIED_KEY_PAUSE: Duration = Duration::from_millis(500);
/// Fraction of the route's objective for which a request waits for a gateway that can charge it.
/// After a planned stop another gateway takes over the quota shard within 0.6 s.
const CHARGE_WAIT_FRACTION: f64 = 0.25;
/// Retry delay for callers whose request no gateway could charge.
const UNCHARGED_PAUSE: Duration = Duration::from_millis(400);
/// Minimum retry delay for callers that exceed their tenant's quota. Capacity that becomes free
/// sooner goes to requests that arrive in the meantime.
const MIN_QUOTA_PAUSE: Duration = Duration::from_millis(100);

/// Fraction of the route's objective for which a request waits for its place. The rest is for the
/// back end.
const PLACE_WAIT_FRACTION: f64 = 0.5;
/// Fraction of the remaining time for which callers honour `Retry-After`. Later places are not
/// given, and a caller who has come back waits no longer for its place.
const RETURN_FRACTION: f64 = 1.0 / 3.0;

/// Why a request was rejected before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The API key does not permit use of the route.
    Unauthorized { reason: &'static str },
    /// The request exceeds its tenant's quota.
    QuotaExceeded {
        /// Time until the quota has capacity for the request.
        retry_after: Duration,
    },
    /// This gateway cannot decide whether the request may run.
    Unknown {
        /// What is unknown.
        reason: &'static str,
        /// Recommended delay before a retry.
        retry_after: Duration,
    },
}

impl Rejection {
    fn from_denial(denial: Denial) -> Self {
        let reason = denial.reason();
        match denial {
            Denial::NoKey | Denial::UnknownKey => Rejection::Unauthorized { reason },
            Denial::StaleKeys => Rejection::Unknown {
                reason,
                retry_after: UNVERIFIED_KEY_PAUSE,
            },
        }
    }
}

/// The parts of a request that determine its tenant and its charge.
pub struct Caller<'a> {
    /// Metadata from the request's headers.
    pub metadata: &'a RequestMetadata,
    pub route: &'a Route,
    /// Time at which the request's headers were read.
    pub arrived: Instant,
}

/// What determines which places in a tenant's quota a request can use.
pub struct PlaceTerms {
    /// Identifies the content of the request; equal for every retry by the caller.
    pub fingerprint: Fingerprint,
    /// Whether the request is most likely a retry after a refusal.
    pub is_returning: bool,
    /// When the request must have its response.
    pub deadline: Instant,
}

/// Removes the API key from the headers, where callers need one, and identifies its tenant. `age`
/// is the time since the moment for which the table has confirmed the configuration.
///
/// # Errors
///
/// Returns an error if the request is rejected.
pub fn identify_tenant(
    shared: &Shared,
    caller: &Caller<'_>,
    configuration: &Configuration,
    age: Option<Duration>,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<Tenant>>, Rejection> {
    if configuration.tenants.is_none() {
        return Ok(None);
    }
    let key = shared.platform.take_api_key(headers);
    let bounds = shared.settings.bounds.keys;
    let identified = identify(configuration, caller.route, key.as_ref(), age, bounds);
    identified.map_err(|denial| {
        let fields = format_args!(
            "request={} reason={} route={} age_ms={} configuration={}",
            caller.metadata.id,
            denial.reason(),
            caller.route.name,
            age.map_or(-1, |age| age.as_millis() as i64),
            configuration.version,
        );
        event_log::write(LogPriority::Decision, "access_denied", fields);
        Rejection::from_denial(denial)
    })
}

/// Charges a request to its tenant's quota. Returns `None` if the tenant has no quota.
///
/// # Errors
///
/// Returns an error if the request exceeds the quota, or if no gateway could decide in time.
pub async fn charge(
    shared: &Shared,
    caller: &Caller<'_>,
    tenant: Option<&Tenant>,
    terms: &PlaceTerms,
) -> Result<Option<Grant>, Rejection> {
    let limited = tenant.and_then(|tenant| Some((tenant, tenant.limit?)));
    let Some((tenant, limit)) = limited else {
        return Ok(None);
    };
    let demand = QuotaDemand {
        tenant: tenant.id.clone(),
        cost: limit.cost(caller.metadata.tokens),
        place: terms.place_request(caller.route),
        wait_until: terms.wait_until(caller),
    };
    let until = caller.arrived + caller.route.objective.mul_f64(CHARGE_WAIT_FRACTION);
    let (reason, retry_after, place) = match shared.charge(&demand, until).await {
        QuotaOutcome::Granted {
            grant,
            place_error_ms,
        } => {
            if let Some(error_ms) = place_error_ms {
                record_used_place(shared, caller, &demand, error_ms);
            }
            return Ok(Some(grant));
        }
        QuotaOutcome::Placed(wait) => (QUOTA_EXCEEDED, wait, "kept"),
        QuotaOutcome::OverQuota(wait) => (QUOTA_EXCEEDED, wait.max(MIN_QUOTA_PAUSE), "none"),
        QuotaOutcome::Unknown => (LIMIT_NOT_KNOWN, UNCHARGED_PAUSE, "none"),
    };
    shared
        .metrics
        .quota_places
        .with_label_values(&[place])
        .inc();
    let fields = format_args!(
        "request={} reason={reason} tenant={} route={} cost={} rate={} burst={} waited_ms={} retry_after_ms={} \
         place={place} max_wait_ms={} returning={}",
        caller.metadata.id,
        demand.tenant,
        caller.route.name,
        demand.cost,
        limit.rate,
        limit.burst,
        caller.arrived.elapsed().as_millis(),
        retry_after.as_millis(),
        demand.place.max_wait_ms,
        terms.is_returning,
    );
    event_log::write(LogPriority::Decision, "limited", fields);
    shared
        .metrics
        .record_tenant_request_end(demand.tenant.as_str(), reason);
    Err(if reason == QUOTA_EXCEEDED {
        Rejection::QuotaExceeded { retry_after }
    } else {
        Rejection::Unknown {
            reason,
            retry_after,
        }
    })
}

impl PlaceTerms {
    fn time_to_return(&self) -> Duration {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        remaining.mul_f64(RETURN_FRACTION)
    }

    fn place_request(&self, route: &Route) -> PlaceRequest {
        PlaceRequest {
            caller: self.fingerprint.short_hash(),
            kind: PlaceRequest::kind_of_route(&route.name),
            priority: route.priority,
            max_wait_ms: self.time_to_return().as_millis() as u64,
            is_returning: self.is_returning,
        }
    }

    /// Until when the request waits for its place at this gateway. A caller that has come back is
    /// unlikely to do so again.
    fn wait_until(&self, caller: &Caller<'_>) -> Instant {
        let usual = caller.arrived + caller.route.objective.mul_f64(PLACE_WAIT_FRACTION);
        if self.is_returning {
            usual.max(Instant::now() + self.time_to_return())
        } else {
            usual
        }
    }
}

/// Logs and counts a request that was charged at the time of its place.
fn record_used_place(shared: &Shared, caller: &Caller<'_>, demand: &QuotaDemand, error_ms: i64) {
    let fields = format_args!(
        "request={} tenant={} route={} cost={} error_ms={error_ms} waited_ms={} returning={}",
        caller.metadata.id,
        demand.tenant,
        caller.route.name,
        demand.cost,
        caller.arrived.elapsed().as_millis(),
        demand.place.is_returning,
    );
    event_log::write(LogPriority::Decision, "quota_place_used", fields);
    shared
        .metrics
        .quota_places
        .with_label_values(&["used"])
        .inc();
}
