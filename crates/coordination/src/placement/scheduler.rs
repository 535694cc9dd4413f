//! Chooses the engine for a new replica.
//!
//! In: the engines, the idle times of their artifacts, the backlog of the weight
//! store. Out: the engine with the lowest expected cost, mainly the time until
//! the artifact is ready, and the idle artifacts to evict for it.

use std::collections::BTreeSet;

use gorsebank_contract::SourceTier;
use gorsebank_world::{Artifact, BackEndId};

use crate::placement::engine::Engine;
use crate::settings::PlacementSettings;

/// Cost of an eviction, in milliseconds of delay.
const EVICTION_COST_MS: u64 = 500;
/// Cost of a table transaction before the load, in milliseconds.
const TRANSACTION_COST_MS: u64 = 20;
/// Cost of each artifact in use on the engine, because the slots are shared with
/// it, in milliseconds.
const BUSY_ARTIFACT_COST_MS: u64 = 1_000;
/// Cost of a load that shares the engine with another, in milliseconds.
const CONCURRENT_LOAD_COST_MS: u64 = 200;

/// The chosen engine for an artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The engine.
    pub back_end: BackEndId,
    /// Artifacts to unload first.
    pub victims: Vec<Artifact>,
    /// Expected time until the artifact is ready, with the additional costs of the
    /// engine, in milliseconds.
    pub cost: u64,
}

/// Input of the scheduler for one replica.
pub struct PlacementRequest<'a> {
    /// The artifact and its base, base first, with their bytes.
    pub parts: &'a [(Artifact, u64)],
    /// Delay of a load from the weight store behind the queued loads, in
    /// milliseconds.
    pub store_delay: u64,
    /// Whether the table accepts decisions now.
    pub is_table_available: bool,
}

/// Returns the time for which an artifact has been idle on an engine, in
/// milliseconds, or `None` if the artifact may not be evicted.
pub type IdleTimes<'a> = dyn Fn(&BackEndId, &Artifact) -> Option<u64> + 'a;

/// Chooses the engine with the lowest cost among `engines`, if the artifact fits
/// on any.
pub fn choose<'a>(
    request: &PlacementRequest<'_>,
    engines: impl Iterator<Item = &'a Engine>,
    idle_time: &IdleTimes<'_>,
    settings: &PlacementSettings,
) -> Option<Choice> {
    engines
        .filter(|engine| engine.is_eligible())
        .filter_map(|engine| evaluate_engine(request, engine, idle_time, settings))
        .min_by(|one, other| (one.cost, &one.back_end).cmp(&(other.cost, &other.back_end)))
}

fn evaluate_engine(
    request: &PlacementRequest<'_>,
    engine: &Engine,
    idle_time: &IdleTimes<'_>,
    settings: &PlacementSettings,
) -> Option<Choice> {
    let missing: Vec<&(Artifact, u64)> = request
        .parts
        .iter()
        .filter(|(artifact, _)| !engine.is_target(artifact))
        .collect();
    let bytes: u64 = missing.iter().map(|(_, bytes)| bytes).sum();
    let load_time: u64 = missing
        .iter()
        .map(|(artifact, bytes)| load_time_with_delay(request, engine, artifact, *bytes, settings))
        .sum();
    let load_cost = u64::from(engine.load_count()) * CONCURRENT_LOAD_COST_MS;
    let busy_count = engine
        .targets()
        .filter(|artifact| idle_time(&engine.machine.id, artifact).is_none())
        .count() as u64;
    let sharing_cost = load_cost + busy_count * BUSY_ARTIFACT_COST_MS;
    let (victims, memory_cost) = find_memory(request, engine, &missing, bytes, idle_time)?;
    Some(Choice {
        back_end: engine.machine.id.clone(),
        cost: load_time + sharing_cost + memory_cost,
        victims,
    })
}

fn load_time_with_delay(
    request: &PlacementRequest<'_>,
    engine: &Engine,
    artifact: &Artifact,
    bytes: u64,
    settings: &PlacementSettings,
) -> u64 {
    let delay = match engine.tier(artifact) {
        SourceTier::Remote => request.store_delay,
        SourceTier::Memory | SourceTier::Disk => 0,
    };
    delay + engine.load_time(artifact, bytes, settings)
}

/// Finds memory for `missing` in the standby share, in free memory, or in either
/// after evictions. Returns the artifacts to evict, and the cost in milliseconds.
fn find_memory(
    request: &PlacementRequest<'_>,
    engine: &Engine,
    missing: &[&(Artifact, u64)],
    bytes: u64,
    idle_time: &IdleTimes<'_>,
) -> Option<(Vec<Artifact>, u64)> {
    let is_all_standby = missing
        .iter()
        .all(|(artifact, _)| engine.is_standby(artifact));
    if is_all_standby && engine.spare_standby() >= bytes {
        return Some((Vec::new(), 0));
    }
    if request.is_table_available && engine.free_to_reserve() >= bytes {
        return Some((Vec::new(), TRANSACTION_COST_MS));
    }
    let standby = is_all_standby
        .then(|| {
            select_victims(
                request,
                engine,
                bytes,
                engine.spare_standby(),
                false,
                idle_time,
            )
        })
        .flatten();
    let reserved = request
        .is_table_available
        .then(|| {
            select_victims(
                request,
                engine,
                bytes,
                engine.free_to_reserve(),
                true,
                idle_time,
            )
        })
        .flatten();
    let victims = [standby, reserved]
        .into_iter()
        .flatten()
        .min_by_key(Vec::len)?;
    let cost = EVICTION_COST_MS * victims.len() as u64;
    Some((victims, cost))
}

/// Selects the artifacts with the longest idle times, until the bytes of their
/// memory and `free` add up to `bytes`.
fn select_victims(
    request: &PlacementRequest<'_>,
    engine: &Engine,
    bytes: u64,
    free: u64,
    reserved: bool,
    idle_time: &IdleTimes<'_>,
) -> Option<Vec<Artifact>> {
    let loaded = &engine.inventory.loaded;
    let mut candidates: Vec<(u64, &Artifact, u64)> = loaded
        .iter()
        .filter(|(artifact, _)| engine.is_target(artifact))
        .filter(|(artifact, _)| engine.is_reserved(artifact) == reserved)
        .filter(|(artifact, _)| !request.parts.iter().any(|(part, _)| part == *artifact))
        .filter_map(|(artifact, bytes)| {
            idle_time(&engine.machine.id, artifact).map(|time| (time, artifact, *bytes))
        })
        .collect();
    candidates.sort_by(|one, other| other.0.cmp(&one.0).then(one.1.cmp(other.1)));
    let mut freed = free;
    let mut victims = BTreeSet::new();
    for (_, artifact, size) in candidates {
        if freed >= bytes {
            break;
        }
        freed += size;
        victims.insert(artifact.clone());
    }
    (freed >= bytes).then(|| victims.into_iter().collect())
}
