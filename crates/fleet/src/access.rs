//! Decides whether a caller may use a route, from its API key and from the age of the known keys.
//!
//! A revoked key must not be usable at any gateway once the deployment's revocation bound has
//! passed, even at a gateway that has received no updates for a while. The known keys therefore
//! have an age: the time since the moment for which the table has confirmed them. If the age is
//! below the bound, a listed key was either not revoked or revoked less than the bound ago. If it
//! is above the bound, the request is rejected as not executed.
//!
//! Input: the configuration, the route, the caller's key and the age. Output: the tenant, or the
//! reason for the rejection.

use std::sync::Arc;
use std::time::Duration;

use crate::configuration::{Configuration, Route};
use crate::tenant::{ApiKey, Tenant};

/// Fraction of the revocation bound up to which the known keys are used. The rest covers the
/// request's transit to the gateway and the granularity of clocks.
const REVOCATION_AGE_FRACTION: f64 = 0.92;
/// Fraction of the bound on new keys up to which a key that is not listed is reported as unknown.
/// Callers do not retry after that error, so a gateway that may only have missed the update about
/// a new key reports instead that it cannot confirm the key.
const UNKNOWN_KEY_AGE_FRACTION: f64 = 0.8;

/// The deployment's bounds on how long changes of keys take to apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyBounds {
    /// Time after which nothing runs any more under a key that the operator has revoked; `None` if
    /// only gateways that are connected to the table are bound.
    pub revocation: Option<Duration>,
    /// Time after which a key that the operator has issued is accepted.
    pub issue: Duration,
}

/// Reason why a caller may not use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has no key.
    NoKey,
    /// No tenant has the key.
    UnknownKey,
    /// The known keys are too old for a decision.
    StaleKeys,
}

impl Denial {
    /// The reason as it appears in logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Denial::NoKey => "no_key",
            Denial::UnknownKey => "unknown_key",
            Denial::StaleKeys => "keys_not_confirmed",
        }
    }
}

/// Identifies the caller on a route of this configuration. Returns `None` if no key is needed and
/// none is known. `age` is the age of the known keys; `None` if the table has not yet confirmed
/// any.
///
/// # Errors
///
/// The reason why the caller may not use the route.
pub fn identify(
    configuration: &Configuration,
    route: &Route,
    key: Option<&ApiKey>,
    age: Option<Duration>,
    bounds: KeyBounds,
) -> Result<Option<Arc<Tenant>>, Denial> {
    let Some(tenants) = &configuration.tenants else {
        return Ok(None);
    };
    let is_within = |max_age: Duration| age.is_some_and(|age| age <= max_age);
    let is_verified = bounds
        .revocation
        .is_none_or(|bound| is_within(bound.mul_f64(REVOCATION_AGE_FRACTION)));
    let holder = key.and_then(|key| tenants.tenant_of_key(key));
    match (key, holder) {
        (Some(_), _) if !is_verified => Err(Denial::StaleKeys),
        (Some(_), Some(tenant)) => Ok(Some(tenant.clone())),
        _ if route.is_public => Ok(None),
        _ if !is_within(bounds.issue.mul_f64(UNKNOWN_KEY_AGE_FRACTION)) => Err(Denial::StaleKeys),
        (Some(_), None) => Err(Denial::UnknownKey),
        (None, _) => Err(Denial::NoKey),
    }
}
