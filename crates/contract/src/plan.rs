//! The placement decision for one back end, which is a row of the table service.

use std::collections::BTreeMap;

use gorsebank_world::Artifact;
use serde::{Deserialize, Serialize};

/// The artifacts that a back end may load, and the memory that is reserved for them.
///
/// Invariant: the sum of the reservations and of the standby memory never exceeds `capacity`. A
/// reservation ends only once the back end has confirmed that the memory is free.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndPlan {
    /// Accelerator memory in bytes.
    pub capacity: u64,
    /// Artifacts that are placed on the back end, each with its size in bytes.
    pub reservations: BTreeMap<Artifact, u64>,
    /// Unloaded artifacts that may be loaded on the back end without another transaction.
    pub standby: Standby,
}

/// Memory that several standby artifacts share. Together they may need more than this memory, so only
/// some of them may be loaded at the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standby {
    /// Reserved bytes. The members that are loaded at the same time must fit into them.
    pub bytes: u64,
    /// The artifacts that may use the memory, each with its size in bytes.
    pub members: BTreeMap<Artifact, u64>,
}

impl BackEndPlan {
    /// Reserved bytes, including the standby memory.
    pub fn reserved_bytes(&self) -> u64 {
        self.reservations.values().sum::<u64>() + self.standby.bytes
    }

    /// Bytes that are not reserved.
    pub fn free_bytes(&self) -> u64 {
        self.capacity.saturating_sub(self.reserved_bytes())
    }

    /// Whether the plan allows the back end to load `artifact`.
    pub fn permits(&self, artifact: &Artifact) -> bool {
        self.reservations.contains_key(artifact) || self.standby.members.contains_key(artifact)
    }
}
