//! Who calls: the tenant that holds a caller's key, by what this gateway knows of keys.
//!
//! In: the key, the route, the configuration, the age of what is known of it. Out: the tenant,
//! or why the caller is sent away, with one line. A key stands in no line.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_fleet::{ApiKey, Configuration, Denial, KeyBounds, Route, Tenant, identify};

use crate::lines::{self, Rank};

/// A caller as its request's head shows it.
pub struct Caller<'a> {
    /// Names the request.
    pub request: &'a str,
    /// Its key, if it bears one.
    pub key: Option<ApiKey>,
    /// The route that it asks for.
    pub route: &'a Route,
}

/// What this gateway knows of keys.
pub struct KnownKeys<'a> {
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Time since the moment for which the table has confirmed it.
    pub age: Option<Duration>,
    /// Bounds of the deployment.
    pub bounds: KeyBounds,
}

/// The caller's tenant; none where callers need no key.
pub fn tenant_of(
    caller: &Caller<'_>,
    known: &KnownKeys<'_>,
) -> Result<Option<Arc<Tenant>>, Denial> {
    let key = caller.key.as_ref();
    let (configuration, age) = (known.configuration, known.age);
    let identified = identify(configuration, caller.route, key, age, known.bounds);
    identified.inspect_err(|denial| {
        let fields = format_args!(
            "request={} reason={} route={} age_ms={} configuration={}",
            caller.request,
            denial.reason(),
            caller.route.name,
            age.map_or(-1, |age| age.as_millis() as i64),
            configuration.version,
        );
        lines::write(Rank::Decision, "access_denied", fields);
    })
}
