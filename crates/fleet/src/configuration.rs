//! The configuration as an immutable value: routes, services, limits on clients and tenants.
//!
//! Input: a version from the configuration source. Output: look-ups of routes and services.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_world::{AdapterId, ModelId, ServiceId};
use thiserror::Error;

use crate::back_end::CopyTier;
use crate::tenant::Tenants;

/// Number of timeouts of a route after which no caller takes up a stream any more.
const STREAM_LIFETIME_TIMEOUTS: u32 = 2;
/// Minimum time within which callers may take up a stream, however short the timeouts are.
const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of adapters in a configuration. A gateway keeps a name for each.
const MAX_ADAPTERS: u64 = 200_000;
/// Longest duration that is told from one without an end. Points in time so far ahead can be computed.
const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// A configuration has more adapters than a gateway keeps names of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{0} adapters, of at most {MAX_ADAPTERS}")]
pub struct TooManyAdapters(u64);

/// Checks the numbers of adapters of all models.
///
/// # Errors
///
/// If there are too many in total.
pub fn check_adapters(counts: impl Iterator<Item = u32>) -> Result<(), TooManyAdapters> {
    let total: u64 = counts.map(u64::from).sum();
    if total > MAX_ADAPTERS {
        return Err(TooManyAdapters(total));
    }
    Ok(())
}

/// Converts a number of seconds; a longer duration than a year becomes a year.
pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, MAX_DURATION.as_secs_f64()))
}

/// Converts a number of milliseconds in the same way.
pub fn milliseconds(value: f64) -> Duration {
    seconds(value / 1_000.0)
}

/// How often a request may be executed, and the form of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may be executed more than once.
    Idempotent,
    /// The request is executed at most once.
    Mutating,
    /// The response is a stream of events.
    Stream {
        /// Whether another back end may continue an interrupted stream.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may be retried after it may have been executed.
    pub fn may_retry(self) -> bool {
        match self {
            RequestKind::Idempotent => true,
            RequestKind::Mutating => false,
            RequestKind::Stream { resumable } => resumable,
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}

/// A route: maps requests to services and states the terms under which they are served.
#[derive(Clone, Debug)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Arc<str>,
    /// Host in lower case, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may be executed, and the form of its response.
    pub kind: RequestKind,
    /// Longest time for which a request is kept open.
    pub timeout: Duration,
    /// Objective for the response time.
    pub objective: Duration,
    /// Objective for the longest gap between two events of a stream.
    pub gap_objective: Option<Duration>,
    /// Priority rank; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of back ends to which one request is sent.
    pub max_attempts: u32,
    /// Services and their traffic weights; never empty.
    pub services: Vec<(ServiceId, u32)>,
    /// Whether callers may use the route without an API key.
    pub is_public: bool,
}

impl Route {
    /// The traffic weight of one of the route's services; 0 for any other service.
    pub fn weight_of(&self, service: &ServiceId) -> u32 {
        let mut services = self.services.iter();
        let found = services.find(|(id, _)| id == service);
        found.map_or(0, |(_, weight)| *weight)
    }
}

/// A model that the back ends of an engine service may load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Memory of the model's weights, in megabytes.
    pub memory_mb: f64,
    /// Memory of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Position in the operator's list of models; 0 is the first.
    pub rank: usize,
    /// The model's adapters.
    pub adapters: Vec<AdapterId>,
    /// Duration of a load from the weight store.
    pub load: Duration,
    /// Duration of a load from the engine's host memory.
    pub load_from_memory: Duration,
    /// Duration of a load from the engine's disk.
    pub load_from_disk: Duration,
}

impl ModelSpec {
    /// Duration of a load from the given tier.
    pub fn load_from(&self, copy: CopyTier) -> Duration {
        match copy {
            CopyTier::WeightStore => self.load,
            CopyTier::Disk => self.load_from_disk,
            CopyTier::Memory => self.load_from_memory,
        }
    }
}

/// Capabilities of a service whose back ends are model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Models by name.
    pub models: HashMap<ModelId, ModelSpec>,
    /// Memory of one back end for weights and adapters, in megabytes.
    pub memory_mb: f64,
    /// Maximum number of adapters that one back end holds.
    pub adapter_slots: usize,
    /// Loads from the weight store per second, over all back ends.
    pub loads_per_second: f64,
    /// Requests that one back end runs concurrently.
    pub slots: u32,
}

impl Engine {
    /// Duration of the longest load of a model from the weight store; `None` without models.
    pub fn longest_load(&self) -> Option<Duration> {
        self.models.values().map(|model| model.load).max()
    }

    /// Memory of the largest adapter, in megabytes; 0 without adapters.
    pub fn largest_adapter_mb(&self) -> f64 {
        let with_adapters = self
            .models
            .values()
            .filter(|model| !model.adapters.is_empty());
        let sizes = with_adapters.map(|model| model.adapter_mb);
        sizes.fold(0.0, f64::max)
    }
}

/// A pool of interchangeable back ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub id: ServiceId,
    /// Connections that a back end accepts from all callers together.
    pub max_connections: u32,
    /// Requests per second that a back end sustains while it is warming up, from all gateways
    /// together; `None` if a back end that is warming up is only slower.
    pub warm_up_rate: Option<f64>,
    /// Set if the back ends are model engines.
    pub engine: Option<Engine>,
}

/// Limits on the size of clients' requests and on idle connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time in which a client has to send a request head.
    pub header_timeout: Duration,
    /// Maximum idle time of a keep-alive connection.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version number; increases with every change, not always by one.
    pub version: u64,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Service>,
    /// The longest timeout among the routes of each service.
    longest_timeouts: HashMap<ServiceId, Duration>,
    /// Limits on clients.
    pub limits: Limits,
    /// Tenants that may call; `None` if callers need no API key.
    pub tenants: Option<Tenants>,
}

impl Configuration {
    /// Indexes the routes by host, longest prefix first.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let mut longest_timeouts: HashMap<ServiceId, Duration> = HashMap::new();
        for route in routes {
            for (service, _) in &route.services {
                let longest = longest_timeouts.entry(service.clone()).or_default();
                *longest = route.timeout.max(*longest);
            }
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.id.clone(), service))
            .collect();
        Configuration {
            version,
            routes: by_host,
            services,
            longest_timeouts,
            limits,
            tenants: None,
        }
    }

    /// Returns the configuration with these tenants.
    pub fn with_tenants(self, tenants: Option<Tenants>) -> Self {
        Configuration { tenants, ..self }
    }

    /// The route with the longest path prefix that matches the request's host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host);
        self.routes
            .get(name.as_str())?
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Looks up a service by name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// All services.
    pub fn service_ids(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Services whose back ends are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = (&ServiceId, &Engine)> {
        self.services
            .values()
            .filter_map(|service| Some((&service.id, service.engine.as_ref()?)))
    }

    /// Whether a load of the model from the weight store takes more than half of the longest timeout
    /// of the service's routes. Then no caller can wait for another engine to load the model, and
    /// all callers share the engines that hold it.
    pub fn loads_outlast_callers(&self, service: &ServiceId, model: &ModelId) -> bool {
        let engine = self
            .service(service)
            .and_then(|known| known.engine.as_ref());
        let Some(spec) = engine.and_then(|engine| engine.models.get(model)) else {
            return false;
        };
        self.outlasts_callers(service, spec.load)
    }

    /// Whether the longest load of any of the service's models from the weight store takes so long.
    pub fn longest_load_outlasts_callers(&self, service: &ServiceId) -> bool {
        let engine = self
            .service(service)
            .and_then(|known| known.engine.as_ref());
        let longest = engine.and_then(Engine::longest_load);
        longest.is_some_and(|load| self.outlasts_callers(service, load))
    }

    fn outlasts_callers(&self, service: &ServiceId, load: Duration) -> bool {
        let timeout = self.longest_timeouts.get(service);
        timeout.is_some_and(|timeout| load > *timeout / 2)
    }

    /// Maximum time from the start of a stream of the service until a caller takes it up for the last
    /// time.
    pub fn longest_stream(&self, service: &ServiceId) -> Duration {
        stream_lifetime(self.longest_timeouts.get(service).copied())
    }

    /// The same for the services together.
    pub fn longest_stream_of_any(&self) -> Duration {
        stream_lifetime(self.longest_timeouts.values().max().copied())
    }

    /// Number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn stream_lifetime(longest_timeout: Option<Duration>) -> Duration {
    let lifetime = longest_timeout.unwrap_or_default() * STREAM_LIFETIME_TIMEOUTS;
    lifetime.max(MIN_STREAM_LIFETIME)
}

fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
