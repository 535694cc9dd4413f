//! The placement decision of one back end, a row of the table service.

use std::collections::BTreeMap;

use gorsebank_world::Artifact;
use serde::{Deserialize, Serialize};

/// Which artifacts a back end may hold, and the memory set aside for them.
///
/// Invariant: reservations and the standby share never exceed `capacity`.
/// A reservation ends only once the back end confirmed that the memory is free.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndPlan {
    /// Accelerator memory in bytes.
    pub capacity: u64,
    /// Artifacts that are decided to be here, with their bytes.
    pub reservations: BTreeMap<Artifact, u64>,
    /// Dormant artifacts that may wake here without another transaction.
    pub standby: Standby,
}

/// A share of memory that dormant artifacts take turns in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standby {
    /// Bytes set aside: members that are loaded at one time fit in them.
    pub bytes: u64,
    /// Members with their bytes.
    pub members: BTreeMap<Artifact, u64>,
}

impl BackEndPlan {
    /// Bytes that are spoken for.
    pub fn booked(&self) -> u64 {
        self.reservations.values().sum::<u64>() + self.standby.bytes
    }

    /// Bytes that are not spoken for.
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.booked())
    }

    /// Whether the decision lets this back end hold `artifact`.
    pub fn permits(&self, artifact: &Artifact) -> bool {
        self.reservations.contains_key(artifact) || self.standby.members.contains_key(artifact)
    }
}
