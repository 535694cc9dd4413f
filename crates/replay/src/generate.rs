//! Generates day-long traces at the sizes of today, on a stated seed.
//!
//! Each model has a rate of its own, from a few requests a day to some an hour,
//! by the hour of the day; on top come the bursts that the users describe: the
//! morning shift at Vatuloa's call centre and its night summaries, delayed
//! flights at Terminalkarten.

use std::collections::BTreeMap;
use std::time::Duration;

use bytesize::ByteSize;
use gorsebank_contract::{PriorityClass, SourceTier};
use gorsebank_world::{Artifact, DeploymentSpec, Labels, MachineRole, ModelSpec, Spec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::trace::format::{
    BackEndEntry, Header, Links, NodePlace, RequestEvent, RowEntry, Store, TraceSettings,
};

const HOUR: u64 = 3_600;
const DAY: u64 = 24 * HOUR;
/// Share of the checkpoints that an engine's machine has on disk, and in main
/// memory.
const ON_DISK: f64 = 0.25;
const IN_MEMORY: f64 = 0.05;

/// A deployment of today.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Deployment {
    /// Prepaid meters in Fiji: most models wait for the working day.
    Vatuloa,
    /// Wayfinding in Swiss terminals: a slow first answer costs a connection.
    Terminalkarten,
}

struct Sizes {
    name: &'static str,
    service: &'static str,
    zones: &'static [&'static str],
    runners: usize,
    models: usize,
    store: Store,
    links: Links,
    cold_start_weight: f64,
}

fn sizes(deployment: Deployment) -> Sizes {
    match deployment {
        Deployment::Vatuloa => Sizes {
            name: "vatuloa-day",
            service: "meter-llm",
            zones: &["suva-hall", "nadi-hall", "lautoka-hall"],
            runners: 10,
            models: 50,
            store: store(2.0, 8),
            links: links(1_500, 3_000),
            cold_start_weight: 0.2,
        },
        Deployment::Terminalkarten => Sizes {
            name: "terminalkarten-day",
            service: "lm-guide",
            zones: &["zrh-a", "zrh-b", "zrh-c", "zrh-d"],
            runners: 12,
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

/// The lines of a day-long trace.
pub fn day(deployment: Deployment, seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let sizes = sizes(deployment);
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

fn header(sizes: &Sizes, seed: u64, random: &mut ChaCha8Rng) -> Header {
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
        duration: Duration::from_secs(DAY),
        nodes: sizes.zones.iter().enumerate().map(node).collect(),
        back_ends: (0..sizes.runners)
            .map(|runner| engine(sizes, runner, random))
            .collect(),
        rows,
        links: sizes.links.clone(),
        store: sizes.store.clone(),
        machine_list_lag: Duration::from_secs(3),
        settings: TraceSettings {
            tick: Some(Duration::from_millis(200)),
            ..TraceSettings::default()
        },
        red_without: None,
    }
}

fn row(name: &str, spec: Spec) -> RowEntry {
    RowEntry {
        name: name.to_owned(),
        labels: Labels::default(),
        spec,
    }
}

fn node((index, zone): (usize, &&str)) -> NodePlace {
    NodePlace {
        id: format!("n{}", index + 1),
        zone: (*zone).to_owned(),
        starts: Duration::ZERO,
    }
}

fn model_name(model: usize) -> String {
    format!("m{}", model + 1)
}

fn engine(sizes: &Sizes, runner: usize, random: &mut ChaCha8Rng) -> BackEndEntry {
    let mut cached = BTreeMap::new();
    for model in 0..sizes.models {
        let chance: f64 = random.random_range(0.0..1.0);
        let tier = if chance < IN_MEMORY {
            SourceTier::Memory
        } else if chance < IN_MEMORY + ON_DISK {
            SourceTier::Disk
        } else {
            continue;
        };
        if let Ok(artifact) = format!("{}@1", model_name(model)).parse::<Artifact>() {
            cached.insert(artifact, tier);
        }
    }
    BackEndEntry {
        id: format!("{}-{}", sizes.service, runner + 1),
        zone: sizes.zones[runner % sizes.zones.len()].to_owned(),
        role: MachineRole::Engine,
        service: sizes.service.to_owned(),
        memory: ByteSize::gib(80),
        slots: 16,
        cached,
        prefill: Duration::from_millis(250),
        token: Duration::from_millis(25),
    }
}

type Timed = (u64, RequestEvent);

fn request(model: usize, count: u32, over: u64, class: PriorityClass) -> RequestEvent {
    let timeout = match class {
        PriorityClass::Interactive => 60,
        PriorityClass::Batch => 1_200,
    };
    RequestEvent {
        model: Some(model_name(model)),
        service: None,
        nodes: Vec::new(),
        count,
        over: Duration::from_millis(over),
        class,
        timeout: Duration::from_secs(timeout),
        tokens: 80,
        key: None,
        keyed: false,
        persistent: true,
    }
}

/// Visits of each model through the day: a few requests within a minute.
fn background(sizes: &Sizes, random: &mut ChaCha8Rng) -> Vec<Timed> {
    let mut events = Vec::new();
    for model in 0..sizes.models {
        // From a few visits a day to one every few minutes, most of them rare.
        let rarity: f64 = random.random_range(0.0..1.0);
        let visits_per_hour = 0.15 + 6.0 * rarity.powi(5);
        let mut at = 0.0;
        loop {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            at += -uniform.ln() / visits_per_hour * HOUR as f64;
            if at >= DAY as f64 {
                break;
            }
            let hour = (at as u64 / HOUR) % 24;
            let is_awake = (6..22).contains(&hour) || random.random_bool(0.15);
            if is_awake {
                let count = random.random_range(1..4);
                let event = request(model, count, 30_000, PriorityClass::Interactive);
                events.push(((at * 1_000.0) as u64, event));
            }
        }
    }
    events
}

/// The call centre and the field crews begin at about eight: within a quarter
/// of an hour many models are wanted, each at all routers at once.
fn morning_shift(sizes: &Sizes, random: &mut ChaCha8Rng) -> Vec<Timed> {
    (0..sizes.models * 3 / 5)
        .map(|model| {
            let at = 8 * HOUR * 1_000 + random.random_range(0..15 * 60 * 1_000);
            let count = random.random_range(8..25);
            (at, request(model, count, 5_000, PriorityClass::Interactive))
        })
        .collect()
}

/// Tamper alerts are summarised at night by a few models, which are asked
/// questions as well.
fn night_summaries(sizes: &Sizes, random: &mut ChaCha8Rng) -> Vec<Timed> {
    (0..sizes.models / 8)
        .map(|model| {
            let at = HOUR * 1_000 + random.random_range(0..3 * HOUR * 1_000);
            let count = random.random_range(100..200);
            (at, request(model, count, 60_000, PriorityClass::Batch))
        })
        .collect()
}

/// A flight is late and a crowd goes to the assistance desk of its terminal.
fn delayed_flights(sizes: &Sizes, random: &mut ChaCha8Rng) -> Vec<Timed> {
    (0..40)
        .map(|_| {
            let model = random.random_range(0..sizes.models);
            let at = random.random_range(6 * HOUR..22 * HOUR) * 1_000;
            let count = random.random_range(20..60);
            (
                at,
                request(model, count, 20_000, PriorityClass::Interactive),
            )
        })
        .collect()
}
