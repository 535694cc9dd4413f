//! Standby decisions: engines on which unloaded artifacts may be loaded without a
//! further transaction.
//!
//! In: deployed artifacts and the engines. Out: members added to the engines'
//! standby shares, to be written with the holder's next transaction. While the
//! table service is down, an artifact without a reservation can be loaded only
//! under these decisions.

use crate::collections::HashMap;
use std::collections::BTreeMap;
use std::sync::Arc;

use gorsebank_world::{Artifact, BackEndId};

use crate::placement::engine::Engine;
use crate::settings::PlacementSettings;

/// Upper limit of the artifacts that are assigned in one review. It limits the
/// size of a transaction.
pub const MAX_MEMBERS_PER_REVIEW: usize = 4_000;

/// An artifact without a standby engine, with the engines that are permitted for
/// it.
pub struct StandbyCandidate {
    /// The artifact and its base, base first, with their bytes.
    pub parts: Vec<(Artifact, u64)>,
    /// Engines that the artifact's deployment selects.
    pub permitted_engines: Vec<BackEndId>,
}

/// The standby engine of each artifact.
pub type StandbyEngines = HashMap<Artifact, BackEndId>;

/// Finds the standby engines of all artifacts.
pub fn standby_engines_of(engines: &BTreeMap<BackEndId, Engine>) -> StandbyEngines {
    engines
        .iter()
        .flat_map(|(id, engine)| {
            let members = engine.next.standby.members.keys();
            members.map(move |artifact| (artifact.clone(), id.clone()))
        })
        .collect()
}

/// Finds the standby engines of these artifacts and their bases.
pub fn standby_engines_among(
    engines: &BTreeMap<BackEndId, Engine>,
    artifacts: &[Artifact],
) -> StandbyEngines {
    let mut standby_engines = StandbyEngines::default();
    for part in artifacts.iter().flat_map(Artifact::required) {
        let standby_engine = engines
            .iter()
            .find(|(_, engine)| engine.next.standby.members.contains_key(&part));
        if let Some((id, _)) = standby_engine {
            standby_engines.insert(part, id.clone());
        }
    }
    standby_engines
}

/// Assigns a standby engine to each of these artifacts as far as memory permits,
/// and returns whether some have none.
pub fn assign(
    candidates: &[StandbyCandidate],
    engines: &mut BTreeMap<BackEndId, Engine>,
    standby_engines: &mut StandbyEngines,
    settings: &PlacementSettings,
) -> bool {
    let mut added = 0;
    let mut has_unassigned = false;
    for candidate in candidates {
        if added >= MAX_MEMBERS_PER_REVIEW {
            return true;
        }
        let Some(engine_id) = choose_standby_engine(candidate, engines, standby_engines, settings)
        else {
            has_unassigned = true;
            continue;
        };
        if let Some(engine) = engines.get_mut(&engine_id) {
            add_member(engine, &candidate.parts);
            added += 1;
            for (part, _) in &candidate.parts {
                standby_engines
                    .entry(part.clone())
                    .or_insert_with(|| engine_id.clone());
            }
        }
    }
    has_unassigned
}

/// Chooses the standby engine of the base for an adapter, if it has capacity, and
/// otherwise the permitted engine with the fewest members.
fn choose_standby_engine(
    candidate: &StandbyCandidate,
    engines: &BTreeMap<BackEndId, Engine>,
    standby_engines: &StandbyEngines,
    settings: &PlacementSettings,
) -> Option<BackEndId> {
    let bytes: u64 = candidate.parts.iter().map(|(_, bytes)| bytes).sum();
    let fits = |id: &BackEndId| {
        engines.get(id).is_some_and(|engine| {
            engine.is_eligible() && has_share_capacity(engine, bytes, settings)
        })
    };
    let base_engine = candidate
        .parts
        .first()
        .and_then(|(base, _)| standby_engines.get(base));
    if let Some(engine_id) = base_engine
        && fits(engine_id)
    {
        return Some(engine_id.clone());
    }
    candidate
        .permitted_engines
        .iter()
        .filter(|id| fits(id))
        .min_by_key(|id| {
            let members = engines
                .get(*id)
                .map_or(0, |engine| engine.next.standby.members.len());
            (members, (*id).clone())
        })
        .cloned()
}

/// Whether the standby share is large enough for `bytes`, or can grow within its
/// limit.
fn has_share_capacity(engine: &Engine, bytes: u64, settings: &PlacementSettings) -> bool {
    let share = engine.next.standby.bytes;
    let limit = (engine.next.capacity as f64 * settings.standby_share) as u64;
    let growth = bytes.saturating_sub(share);
    bytes <= share || (bytes <= limit && growth <= engine.next.free_bytes())
}

fn add_member(engine: &mut Engine, parts: &[(Artifact, u64)]) {
    let bytes: u64 = parts.iter().map(|(_, bytes)| bytes).sum();
    let standby = &mut Arc::make_mut(&mut engine.next).standby;
    standby.bytes = standby.bytes.max(bytes);
    for (part, bytes) in parts {
        standby.members.insert(part.clone(), *bytes);
    }
    engine.plan_changed = true;
}
