//! Whether a caller may use a route: by its key, and by how old what is known of keys is.
//!
//! A key that was taken away must not be used once the deployment's bound on that has passed,
//! at any gateway, also at one that has heard nothing for a while. So what is known of keys
//! has an age: the time since the moment for which the table has confirmed it. Younger than
//! the bound, a key that stands there was not taken away so long ago, whatever has happened
//! since; older, nobody knows, and the request is refused as not run.

use std::sync::Arc;
use std::time::Duration;

use crate::configuration::{Configuration, Route};
use crate::tenant::{ApiKey, Tenant};

/// Part of the bound on keys that were taken away up to which knowledge is used: what is
/// left is for the request's own way to the gateway and for the grain of clocks.
const KEY_AGE_PART: f64 = 0.92;
/// Part of the bound on news up to which a key that does not stand there is said to be
/// unknown: a caller that hears so does not come back, so a gateway that may only not have
/// heard of a new key says that it does not know.
const UNKNOWN_AGE_PART: f64 = 0.8;

/// Bounds of the deployment on what is known of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyBounds {
    /// So long after the operator has taken a key away nothing runs under it any more; none
    /// where only gateways in touch with the table are bound.
    pub taken_away: Option<Duration>,
    /// So long after the operator has given a key it is known.
    pub given: Duration,
}

/// Why a caller may not use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It bears no key.
    NoKey,
    /// Nobody holds its key.
    UnknownKey,
    /// What is known of keys is too old to tell.
    OldKnowledge,
}

impl Denial {
    /// A word for logs and counters.
    pub fn reason(self) -> &'static str {
        match self {
            Denial::NoKey => "no_key",
            Denial::UnknownKey => "unknown_key",
            Denial::OldKnowledge => "keys_not_confirmed",
        }
    }
}

/// Who calls, on a route of this configuration; none where no key is needed and none is known.
/// `age` is that of what is known of keys; none if the table has confirmed nothing yet.
///
/// # Errors
///
/// Why the caller may not use the route.
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
    let is_within = |most: Duration| age.is_some_and(|age| age <= most);
    let is_proved = bounds
        .taken_away
        .is_none_or(|bound| is_within(bound.mul_f64(KEY_AGE_PART)));
    let holder = key.and_then(|key| tenants.holder(key));
    match (key, holder) {
        (Some(_), _) if !is_proved => Err(Denial::OldKnowledge),
        (Some(_), Some(tenant)) => Ok(Some(tenant.clone())),
        _ if route.is_public => Ok(None),
        _ if !is_within(bounds.given.mul_f64(UNKNOWN_AGE_PART)) => Err(Denial::OldKnowledge),
        (Some(_), None) => Err(Denial::UnknownKey),
        (None, _) => Err(Denial::NoKey),
    }
}
