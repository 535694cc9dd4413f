//! Consistent hashing: assigns keys to gateways so that a change of the membership moves few keys.
//!
//! Input: the names of the gateways. Output: the gateway that owns a key. Gateways that know
//! different members may disagree for a while, so owners keep only state that may be lost.

use std::collections::BTreeMap;

use gorsebank_world::NodeId;
use xxhash_rust::xxh3::xxh3_64;

/// Points of one gateway on the ring, so that gateways own about equally many keys.
const POINTS_PER_GATEWAY: usize = 8;

/// The gateways on the ring.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    points: BTreeMap<u64, NodeId>,
}

impl HashRing {
    /// The ring of these gateways.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let point = |name: &str, index| xxh3_64(format!("{name}/{index}").as_bytes());
        let mut points = BTreeMap::new();
        for name in names {
            for index in 0..POINTS_PER_GATEWAY {
                points.insert(point(name, index), NodeId::from(name));
            }
        }
        HashRing { points }
    }

    /// The gateway that owns a key; `None` if the ring is empty.
    pub fn owner(&self, key: u64) -> Option<&NodeId> {
        let following = self.points.range(key..).next();
        let (_, name) = following.or_else(|| self.points.iter().next())?;
        Some(name)
    }
}
