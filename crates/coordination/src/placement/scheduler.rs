//! Chooses the engine for a new replica.
//!
//! In: the engines, what each artifact is worth, the weight store's backlog.
//! Out: the engine on which the artifact is expected to be ready first, and
//! the idle artifacts that must go for it.

use std::collections::BTreeSet;

use gorsebank_contract::SourceTier;
use gorsebank_world::{Artifact, BackEndId};

use crate::placement::engine::Engine;
use crate::settings::PlacementSettings;

/// Cost of an eviction, in milliseconds of delay.
const EVICTION_COST: u64 = 500;
/// Cost of a table transaction before the load, in milliseconds.
const TRANSACTION_COST: u64 = 20;
/// Cost of each artifact in use on the engine, with which slots are shared.
const BUSY_NEIGHBOUR_COST: u64 = 1_000;
/// Cost of a load that shares the engine with another, in milliseconds.
const SHARED_ENGINE_COST: u64 = 200;

/// A place for an artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The engine.
    pub back_end: BackEndId,
    /// Artifacts to unload first.
    pub victims: Vec<Artifact>,
    /// Expected time until it is ready, in milliseconds.
    pub cost: u64,
}

/// What the scheduler is asked for.
pub struct Wanted<'a> {
    /// The artifact with everything it needs, base first, with their bytes.
    pub parts: &'a [(Artifact, u64)],
    /// Delay of a load from the weight store behind those that wait, in
    /// milliseconds.
    pub store_delay: u64,
    /// Whether the table takes decisions now.
    pub table_works: bool,
}

/// How an idle artifact may be given up: the time since it was last used, in
/// milliseconds, or `None` if it is in use.
pub type IdleTimes<'a> = dyn Fn(&BackEndId, &Artifact) -> Option<u64> + 'a;

/// The best engine among `engines`, if any can hold the artifact.
pub fn choose<'a>(
    wanted: &Wanted<'_>,
    engines: impl Iterator<Item = &'a Engine>,
    idle: &IdleTimes<'_>,
    settings: &PlacementSettings,
) -> Option<Choice> {
    engines
        .filter(|engine| engine.is_eligible())
        .filter_map(|engine| assess(wanted, engine, idle, settings))
        .min_by(|one, other| (one.cost, &one.back_end).cmp(&(other.cost, &other.back_end)))
}

fn assess(
    wanted: &Wanted<'_>,
    engine: &Engine,
    idle: &IdleTimes<'_>,
    settings: &PlacementSettings,
) -> Option<Choice> {
    let missing: Vec<&(Artifact, u64)> = wanted
        .parts
        .iter()
        .filter(|(artifact, _)| !engine.wants(artifact))
        .collect();
    let bytes: u64 = missing.iter().map(|(_, bytes)| bytes).sum();
    let load_time: u64 = missing
        .iter()
        .map(|(artifact, bytes)| part_time(wanted, engine, artifact, *bytes, settings))
        .sum();
    let loads = u64::from(engine.load_count()) * SHARED_ENGINE_COST;
    let busy = engine
        .targets()
        .filter(|artifact| idle(&engine.machine.id, artifact).is_none())
        .count() as u64;
    let sharing = loads + busy * BUSY_NEIGHBOUR_COST;
    let (victims, room_cost) = make_room(wanted, engine, &missing, bytes, idle)?;
    Some(Choice {
        back_end: engine.machine.id.clone(),
        cost: load_time + sharing + room_cost,
        victims,
    })
}

fn part_time(
    wanted: &Wanted<'_>,
    engine: &Engine,
    artifact: &Artifact,
    bytes: u64,
    settings: &PlacementSettings,
) -> u64 {
    let delay = match engine.tier(artifact) {
        SourceTier::Remote => wanted.store_delay,
        SourceTier::Memory | SourceTier::Disk => 0,
    };
    delay + engine.load_time(artifact, bytes, settings)
}

/// How room is made for `missing`: in the standby share, in free memory, or in
/// either after idle artifacts are gone.
fn make_room(
    wanted: &Wanted<'_>,
    engine: &Engine,
    missing: &[&(Artifact, u64)],
    bytes: u64,
    idle: &IdleTimes<'_>,
) -> Option<(Vec<Artifact>, u64)> {
    let all_standby = missing
        .iter()
        .all(|(artifact, _)| engine.is_standby(artifact));
    if all_standby && engine.standby_to_spare() >= bytes {
        return Some((Vec::new(), 0));
    }
    if wanted.table_works && engine.free_to_reserve() >= bytes {
        return Some((Vec::new(), TRANSACTION_COST));
    }
    let standby = all_standby
        .then(|| {
            evict(
                wanted,
                engine,
                bytes,
                engine.standby_to_spare(),
                false,
                idle,
            )
        })
        .flatten();
    let reserved = wanted
        .table_works
        .then(|| evict(wanted, engine, bytes, engine.free_to_reserve(), true, idle))
        .flatten();
    let victims = [standby, reserved]
        .into_iter()
        .flatten()
        .min_by_key(Vec::len)?;
    let cost = EVICTION_COST * victims.len() as u64;
    Some((victims, cost))
}

/// The longest idle artifacts whose memory, with `free`, makes `bytes`.
fn evict(
    wanted: &Wanted<'_>,
    engine: &Engine,
    bytes: u64,
    free: u64,
    reserved: bool,
    idle: &IdleTimes<'_>,
) -> Option<Vec<Artifact>> {
    let loaded = &engine.inventory.loaded;
    let mut candidates: Vec<(u64, &Artifact, u64)> = loaded
        .iter()
        .filter(|(artifact, _)| engine.wants(artifact))
        .filter(|(artifact, _)| engine.is_reserved(artifact) == reserved)
        .filter(|(artifact, _)| !wanted.parts.iter().any(|(part, _)| part == *artifact))
        .filter_map(|(artifact, bytes)| {
            idle(&engine.machine.id, artifact).map(|time| (time, artifact, *bytes))
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
