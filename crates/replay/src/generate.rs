//! Generates a trace of one day for a deployment of present size from a seed.
//!
//! Each model has its own request rate, from a few requests a day to some an hour,
//! which depends on the hour of the day. Bursts come in addition: the morning
//! shift of a call centre and batch summaries at night in one deployment, delayed
//! flights in the other.

use std::collections::BTreeMap;
use std::time::Duration;

use bytesize::ByteSize;
use gorsebank_contract::{PriorityClass, SourceTier};
use gorsebank_world::{Artifact, DeploymentSpec, Labels, MachineRole, ModelSpec, Spec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::trace::format::{
    BackEndEntry, Header, Links, RequestEvent, RowEntry, Store, TraceNode, TraceSettings,
};

const SECONDS_PER_HOUR: u64 = 3_600;
const SECONDS_PER_DAY: u64 = 24 * SECONDS_PER_HOUR;
/// Fractions of the checkpoints that an engine's machine has on disk and in main
/// memory.
const DISK_CACHED_FRACTION: f64 = 0.25;
const MEMORY_CACHED_FRACTION: f64 = 0.05;

/// A deployment for which a trace is generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Deployment {
    /// A service for prepaid meters: most models are used only during working hours.
    Vatuloa,
    /// Wayfinding in airport terminals: a slow first response makes a traveller miss
    /// a connection.
    Terminalkarten,
}

/// Size and parameters of a deployment.
struct DeploymentSize {
    name: &'static str,
    service: &'static str,
    zones: &'static [&'static str],
    engines: usize,
    models: usize,
    store: Store,
    links: Links,
    cold_start_weight: f64,
}

fn deployment_size(deployment: Deployment) -> DeploymentSize {
    match deployment {
        Deployment::Vatuloa => DeploymentSize {
            name: "vatuloa-day",
            service: "meter-llm",
            zones: &["suva-hall", "nadi-hall", "lautoka-hall"],
            engines: 10,
            models: 50,
            store: store(2.0, 8),
            links: links(1_500, 3_000),
            cold_start_weight: 0.2,
        },
        Deployment::Terminalkarten => DeploymentSize {
            name: "terminalkarten-day",
            service: "lm-guide",
            zones: &["zrh-a", "zrh-b", "zrh-c", "zrh-d"],
            engines: 12,
            models: 65,
            store: store(3.0, 11),
            links: links(1_000, 1_000),
            cold_start_weight: 0.9,
        },
    }
}

fn store(starts_per_second: f64, concurrency: u32) -> Store {
    Store {
        starts_per_second,
        concurrency,
        bandwidth: ByteSize::gb(2),
    }
}

fn links(between_zones: u64, outside: u64) -> Links {
    Links {
        within_zone: Duration::from_micros(300),
        between_zones: Duration::from_micros(between_zones),
        outside: Duration::from_micros(outside),
    }
}

/// Generates the lines of a trace of one day.
pub fn generate_day(deployment: Deployment, seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let sizes = deployment_size(deployment);
    let header = header(&sizes, seed, &mut random);
    let mut events = background(&sizes, &mut random);
    match deployment {
        Deployment::Vatuloa => {
            events.extend(morning_shift(&sizes, &mut random));
            events.extend(night_summaries(&sizes, &mut random));
        }
        Deployment::Terminalkarten => events.extend(delayed_flights(&sizes, &mut random)),
    }
    events.sort_by_key(|(at, _)| *at);
    let lines = events.iter().map(|(at, event)| {
        let mut line = json!(event);
        line["at"] = json!(format!("{at}ms"));
        line.to_string()
    });
    std::iter::once(json!(header).to_string())
        .chain(lines)
        .collect()
}

fn header(sizes: &DeploymentSize, seed: u64, random: &mut ChaCha8Rng) -> Header {
    let deployment = DeploymentSpec {
        models: Default::default(),
        versions: Default::default(),
        back_ends: Default::default(),
        max_replicas: 3,
        cold_start_weight: sizes.cold_start_weight,
    };
    let mut rows = vec![row("all", Spec::Deployment(Box::new(deployment)))];
    for model in 0..sizes.models {
        let memory = ByteSize::gib(random.random_range(8..30));
        rows.push(row(&model_name(model), Spec::Model(ModelSpec { memory })));
    }
    Header {
        trace: sizes.name.to_owned(),
        about: "A day at the sizes of today.".to_owned(),
        generated: Some(format!("gorsebank-replay generate, seed {seed}")),
        duration: Duration::from_secs(SECONDS_PER_DAY),
        nodes: sizes.zones.iter().enumerate().map(node).collect(),
        back_ends: (0..sizes.engines)
            .map(|engine_index| engine(sizes, engine_index, random))
            .collect(),
        rows,
        links: sizes.links.clone(),
        store: sizes.store.clone(),
        machine_list_lag: Duration::from_secs(3),
        settings: TraceSettings {
            tick: Some(Duration::from_millis(200)),
            ..TraceSettings::default()
        },
        must_fail_without: None,
    }
}

fn row(name: &str, spec: Spec) -> RowEntry {
    RowEntry {
        name: name.to_owned(),
        labels: Labels::default(),
        spec,
    }
}

fn node((index, zone): (usize, &&str)) -> TraceNode {
    TraceNode {
        id: format!("n{}", index + 1),
        zone: (*zone).to_owned(),
        start_delay: Duration::ZERO,
    }
}

fn model_name(model: usize) -> String {
    format!("m{}", model + 1)
}

fn engine(sizes: &DeploymentSize, engine_index: usize, random: &mut ChaCha8Rng) -> BackEndEntry {
    let mut cached = BTreeMap::new();
    for model in 0..sizes.models {
        let chance: f64 = random.random_range(0.0..1.0);
        let tier = if chance < MEMORY_CACHED_FRACTION {
            SourceTier::Memory
        } else if chance < MEMORY_CACHED_FRACTION + DISK_CACHED_FRACTION {
            SourceTier::Disk
        } else {
            continue;
        };
        if let Ok(artifact) = format!("{}@1", model_name(model)).parse::<Artifact>() {
            cached.insert(artifact, tier);
        }
    }
    BackEndEntry {
        id: format!("{}-{}", sizes.service, engine_index + 1),
        zone: sizes.zones[engine_index % sizes.zones.len()].to_owned(),
        role: MachineRole::Engine,
        service: sizes.service.to_owned(),
        memory: ByteSize::gib(80),
        slots: 16,
        cached,
        prefill: Duration::from_millis(250),
        token_interval: Duration::from_millis(25),
    }
}

/// A request event with its time in milliseconds from the start.
type TimedRequest = (u64, RequestEvent);

fn request(model: usize, count: u32, spread_ms: u64, class: PriorityClass) -> RequestEvent {
    let timeout = match class {
        PriorityClass::Interactive => 60,
        PriorityClass::Batch => 1_200,
    };
    RequestEvent {
        model: Some(model_name(model)),
        service: None,
        nodes: Vec::new(),
        count,
        over: Duration::from_millis(spread_ms),
        class,
        timeout: Duration::from_secs(timeout),
        tokens: 80,
        key: None,
        keyed: false,
        persistent: true,
    }
}

/// Generates the visits of each model through the day. A visit is a few requests
/// within a minute.
fn background(sizes: &DeploymentSize, random: &mut ChaCha8Rng) -> Vec<TimedRequest> {
    let mut events = Vec::new();
    for model in 0..sizes.models {
        // Most models get a few visits a day, some get one every few minutes.
        let rarity: f64 = random.random_range(0.0..1.0);
        let visits_per_hour = 0.15 + 6.0 * rarity.powi(5);
        let mut at = 0.0;
        loop {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            at += -uniform.ln() / visits_per_hour * SECONDS_PER_HOUR as f64;
            if at >= SECONDS_PER_DAY as f64 {
                break;
            }
            let hour = (at as u64 / SECONDS_PER_HOUR) % 24;
            let is_active_hour = (6..22).contains(&hour) || random.random_bool(0.15);
            if is_active_hour {
                let count = random.random_range(1..4);
                let event = request(model, count, 30_000, PriorityClass::Interactive);
                events.push(((at * 1_000.0) as u64, event));
            }
        }
    }
    events
}

/// Generates the start of the morning shift at eight: requests for many models
/// arrive within a quarter of an hour, for each model at all routers at once.
fn morning_shift(sizes: &DeploymentSize, random: &mut ChaCha8Rng) -> Vec<TimedRequest> {
    (0..sizes.models * 3 / 5)
        .map(|model| {
            let at = 8 * SECONDS_PER_HOUR * 1_000 + random.random_range(0..15 * 60 * 1_000);
            let count = random.random_range(8..25);
            (at, request(model, count, 5_000, PriorityClass::Interactive))
        })
        .collect()
}

/// Generates batch summaries of alerts at night. The few models that write the
/// summaries get interactive requests as well.
fn night_summaries(sizes: &DeploymentSize, random: &mut ChaCha8Rng) -> Vec<TimedRequest> {
    (0..sizes.models / 8)
        .map(|model| {
            let at =
                SECONDS_PER_HOUR * 1_000 + random.random_range(0..3 * SECONDS_PER_HOUR * 1_000);
            let count = random.random_range(100..200);
            (at, request(model, count, 60_000, PriorityClass::Batch))
        })
        .collect()
}

/// Generates bursts after delayed flights, when many travellers go to the assistance
/// desk of a terminal.
fn delayed_flights(sizes: &DeploymentSize, random: &mut ChaCha8Rng) -> Vec<TimedRequest> {
    (0..40)
        .map(|_| {
            let model = random.random_range(0..sizes.models);
            let at = random.random_range(6 * SECONDS_PER_HOUR..22 * SECONDS_PER_HOUR) * 1_000;
            let count = random.random_range(20..60);
            (
                at,
                request(model, count, 20_000, PriorityClass::Interactive),
            )
        })
        .collect()
}
