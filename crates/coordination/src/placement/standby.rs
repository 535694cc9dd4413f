//! Standing decisions: where dormant artifacts may wake without a transaction.
//!
//! In: deployed artifacts and the engines. Out: members added to the engines'
//! standby shares, to be written with the holder's next transaction. While the
//! table service is down, these decisions are all that models can wake under.

use crate::collections::HashMap;
use std::collections::BTreeMap;
use std::sync::Arc;

use gorsebank_world::{Artifact, BackEndId};

use crate::placement::engine::Engine;
use crate::settings::PlacementSettings;

/// Members that are added in one round, to bound a transaction's size.
pub const MEMBERS_PER_ROUND: usize = 4_000;

/// An artifact with the engines it may be placed on.
pub struct Dormant {
    /// The artifact and what it needs, base first, with their bytes.
    pub parts: Vec<(Artifact, u64)>,
    /// Engines that its deployment selects.
    pub allowed: Vec<BackEndId>,
}

/// Engines by the artifact that stands by on them.
pub type Homes = HashMap<Artifact, BackEndId>;

/// Where each artifact stands by.
pub fn homes_of(engines: &BTreeMap<BackEndId, Engine>) -> Homes {
    engines
        .iter()
        .flat_map(|(id, engine)| {
            let members = engine.next.standby.members.keys();
            members.map(move |artifact| (artifact.clone(), id.clone()))
        })
        .collect()
}

/// Where these artifacts and their bases stand by.
pub fn homes_among(engines: &BTreeMap<BackEndId, Engine>, artifacts: &[Artifact]) -> Homes {
    let mut homes = Homes::default();
    for part in artifacts.iter().flat_map(Artifact::required) {
        let home = engines
            .iter()
            .find(|(_, engine)| engine.next.standby.members.contains_key(&part));
        if let Some((id, _)) = home {
            homes.insert(part, id.clone());
        }
    }
    homes
}

/// Gives each of these artifacts a home, as far as there is room; says whether
/// some are left for another round.
pub fn assign(
    dormant: &[Dormant],
    engines: &mut BTreeMap<BackEndId, Engine>,
    homes: &mut Homes,
    settings: &PlacementSettings,
) -> bool {
    let mut added = 0;
    let mut is_left = false;
    for artifact in dormant {
        if added >= MEMBERS_PER_ROUND {
            return true;
        }
        let Some(home) = find_home(artifact, engines, homes, settings) else {
            is_left = true;
            continue;
        };
        if let Some(engine) = engines.get_mut(&home) {
            add_member(engine, &artifact.parts);
            added += 1;
            for (part, _) in &artifact.parts {
                homes.entry(part.clone()).or_insert_with(|| home.clone());
            }
        }
    }
    is_left
}

/// An adapter goes where its base stands by; others where fewest members are.
fn find_home(
    artifact: &Dormant,
    engines: &BTreeMap<BackEndId, Engine>,
    homes: &Homes,
    settings: &PlacementSettings,
) -> Option<BackEndId> {
    let bytes: u64 = artifact.parts.iter().map(|(_, bytes)| bytes).sum();
    let fits = |id: &BackEndId| {
        engines
            .get(id)
            .is_some_and(|engine| engine.is_eligible() && share_can_hold(engine, bytes, settings))
    };
    let base_home = artifact.parts.first().and_then(|(base, _)| homes.get(base));
    if let Some(home) = base_home
        && fits(home)
    {
        return Some(home.clone());
    }
    artifact
        .allowed
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

/// Whether the share is large enough, or can grow within its limit.
fn share_can_hold(engine: &Engine, bytes: u64, settings: &PlacementSettings) -> bool {
    let share = engine.next.standby.bytes;
    let limit = (engine.next.capacity as f64 * settings.standby_share) as u64;
    let growth = bytes.saturating_sub(share);
    bytes <= share || (bytes <= limit && growth <= engine.next.free())
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
