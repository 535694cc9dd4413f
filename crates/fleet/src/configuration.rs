//! The configuration as one immutable value: routes, services, limits.
//!
//! In: a version from the configuration source. Out: the route of a request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_world::{AdapterId, ModelId, ServiceId};

use crate::back_end::CopyTier;
use crate::tenant::Tenants;

/// How often a request may run, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Mutating,
    /// Answered by a series of events.
    Stream {
        /// Whether another back end may continue it.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may be sent again after it may have run.
    pub fn may_repeat(self) -> bool {
        match self {
            RequestKind::Idempotent => true,
            RequestKind::Mutating => false,
            RequestKind::Stream { resumable } => resumable,
        }
    }

    /// Whether it is answered by events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}

/// A route: which requests go to which services, and on what terms.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// Lower-case host, without a port.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RequestKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer is in time.
    pub objective: Duration,
    /// Longest pause between events that is in time.
    pub pause_objective: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most back ends that one request is sent to.
    pub max_attempts: u32,
    /// Services and their weights; never empty.
    pub services: Vec<(ServiceId, u32)>,
    /// Whether it may be used without a key.
    pub is_public: bool,
}

/// A model that an engine service may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Memory of its weights, in megabytes.
    pub memory_mb: f64,
    /// Memory of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Its place in the operator's list; 0 is the first.
    pub rank: usize,
    /// Its adapters.
    pub adapters: Vec<AdapterId>,
    /// Time of a load from the weight store.
    pub load: Duration,
    /// Time of a load from the engine's host memory.
    pub load_from_memory: Duration,
    /// Time of a load from the engine's disk.
    pub load_from_disk: Duration,
}

impl ModelSpec {
    /// Time of a load from there.
    pub fn load_from(&self, copy: CopyTier) -> Duration {
        match copy {
            CopyTier::WeightStore => self.load,
            CopyTier::Disk => self.load_from_disk,
            CopyTier::Memory => self.load_from_memory,
        }
    }
}

/// What a service of model engines offers.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Models by name.
    pub models: HashMap<ModelId, ModelSpec>,
    /// Memory for weights and adapters of one back end, in megabytes.
    pub memory_mb: f64,
    /// Adapters that one back end holds at most.
    pub adapter_slots: usize,
    /// Loads from the weight store a second, over all back ends.
    pub loads_per_second: f64,
    /// Requests that one back end runs at once.
    pub slots: u32,
}

/// A pool of interchangeable back ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Connections that a back end accepts from all callers.
    pub max_connections: u32,
    /// Requests a second that a back end of it bears while it is cold, of all gateways together;
    /// none if cold ones are merely slow.
    pub cold_rate: Option<f64>,
    /// Set where the back ends are model engines.
    pub engine: Option<Engine>,
}

/// What a client may send, and how long it may rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to send a head.
    pub header_timeout: Duration,
    /// Longest rest of a kept connection.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Grows with every change, in uneven steps.
    pub version: u64,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Service>,
    /// Limits on clients.
    pub limits: Limits,
    /// Who may call; none where callers need no key.
    pub tenants: Option<Tenants>,
}

impl Configuration {
    /// Indexes routes by host, longest prefix first.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
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
            limits,
            tenants: None,
        }
    }

    /// The same, for callers with keys.
    pub fn with_tenants(self, tenants: Option<Tenants>) -> Self {
        Configuration { tenants, ..self }
    }

    /// The route of a request: that of its host whose prefix begins the path and is longest.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host);
        self.routes
            .get(name.as_str())?
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// A service by name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// Services whose back ends are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = (&ServiceId, &Engine)> {
        self.services
            .values()
            .filter_map(|service| Some((&service.id, service.engine.as_ref()?)))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
