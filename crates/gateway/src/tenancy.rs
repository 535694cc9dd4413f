//! Who calls, and whether that is within what the caller may use: what a request passes once,
//! before it waits for a back end.
//!
//! In: the request's head, its route, the configuration and the age of what is known of it.
//! Out: its tenant and what it was counted for, or why it is sent away, with one line. A key
//! stands in no line.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_fleet::{Configuration, Denial, Route, Tenant, identify};
use http::HeaderMap;
use tokio::time::Instant;

use crate::allowance::{Grant, Obtained, Want};
use crate::lines::{self, Rank};
use crate::ports::Ticket;
use crate::shared::Shared;

/// A word for logs and counters: the request is beyond its tenant's limit.
pub const BEYOND_LIMIT: &str = "beyond_limit";
/// Nobody could tell whether it is.
const LIMIT_NOT_KNOWN: &str = "limit_not_known";
/// A caller that is sent away since nobody can tell whether its key still counts is asked to
/// come back after this time: gateways that were cut off have asked others by then.
const UNPROVED_PAUSE: Duration = Duration::from_millis(500);
/// Part of the objective for which a request waits for somebody who counts for its tenant:
/// another gateway takes that over within 0.6 s of a planned stop.
const COUNT_WAIT_PART: f64 = 0.25;
/// A caller whose request nobody could count is asked to come back after this time.
const UNCOUNTED_PAUSE: Duration = Duration::from_millis(400);
/// Least pause of a caller that is beyond its tenant's limit: whatever becomes free sooner goes
/// to those that come by then.
const LEAST_LIMIT_PAUSE: Duration = Duration::from_millis(100);

/// Why a request is sent away; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentAway {
    /// Its key does not open the route.
    Unauthorized {
        /// Why.
        reason: &'static str,
    },
    /// It is beyond its tenant's limit.
    BeyondLimit {
        /// When there is room for it.
        retry_after: Duration,
    },
    /// This gateway cannot tell.
    Unknown {
        /// What.
        reason: &'static str,
        /// When it makes sense to come back.
        retry_after: Duration,
    },
}

impl SentAway {
    fn by_key(denial: Denial) -> Self {
        let reason = denial.reason();
        match denial {
            Denial::NoKey | Denial::UnknownKey => SentAway::Unauthorized { reason },
            Denial::OldKnowledge => SentAway::Unknown {
                reason,
                retry_after: UNPROVED_PAUSE,
            },
        }
    }
}

/// A request, as far as its tenant is concerned.
pub struct Caller<'a> {
    /// What its head says.
    pub ticket: &'a Ticket,
    /// Its route.
    pub route: &'a Route,
    /// When its head was read.
    pub arrived: Instant,
}

/// Takes the key out of the head, where callers need one, and finds its tenant. `age` is the
/// time since the moment for which the table has confirmed the configuration.
///
/// # Errors
///
/// If the caller is sent away.
pub fn tenant_of(
    shared: &Shared,
    caller: &Caller<'_>,
    configuration: &Configuration,
    age: Option<Duration>,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<Tenant>>, SentAway> {
    if configuration.tenants.is_none() {
        return Ok(None);
    }
    let key = shared.platform.take_key(headers);
    let bounds = shared.settings.bounds.keys;
    let identified = identify(configuration, caller.route, key.as_ref(), age, bounds);
    identified.map_err(|denial| {
        let fields = format_args!(
            "request={} reason={} route={} age_ms={} configuration={}",
            caller.ticket.id,
            denial.reason(),
            caller.route.name,
            age.map_or(-1, |age| age.as_millis() as i64),
            configuration.version,
        );
        lines::write(Rank::Decision, "access_denied", fields);
        SentAway::by_key(denial)
    })
}

/// Counts a request for its tenant; none if that has no limit.
///
/// # Errors
///
/// If it is beyond the limit, or if nobody could tell in time.
pub async fn count(
    shared: &Shared,
    caller: &Caller<'_>,
    tenant: Option<&Tenant>,
) -> Result<Option<Grant>, SentAway> {
    let limited = tenant.and_then(|tenant| Some((tenant, tenant.limit?)));
    let Some((tenant, limit)) = limited else {
        return Ok(None);
    };
    let want = Want {
        tenant: tenant.id.clone(),
        cost: limit.cost(caller.ticket.tokens),
    };
    let until = caller.arrived + caller.route.objective.mul_f64(COUNT_WAIT_PART);
    let (reason, retry_after) = match shared.count(&want, until).await {
        Obtained::Granted(grant) => return Ok(Some(grant)),
        Obtained::Beyond(wait) => (BEYOND_LIMIT, wait.max(LEAST_LIMIT_PAUSE)),
        Obtained::Unknown => (LIMIT_NOT_KNOWN, UNCOUNTED_PAUSE),
    };
    let fields = format_args!(
        "request={} reason={reason} tenant={} cost={} rate={} burst={} waited_ms={} retry_after_ms={}",
        caller.ticket.id,
        want.tenant,
        want.cost,
        limit.rate,
        limit.burst,
        caller.arrived.elapsed().as_millis(),
        retry_after.as_millis(),
    );
    lines::write(Rank::Decision, "limited", fields);
    shared.metrics.tenant_ended(want.tenant.as_str(), reason);
    Err(if reason == BEYOND_LIMIT {
        SentAway::BeyondLimit { retry_after }
    } else {
        SentAway::Unknown {
            reason,
            retry_after,
        }
    })
}
