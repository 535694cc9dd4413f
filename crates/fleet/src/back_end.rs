//! State of a back end as gateways know it: the back end's own report, and the placement holder's
//! row on the models that it has ordered the back end to hold.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use gorsebank_world::{AdapterId, BackEndId, ModelId, ServiceId, SoftwareVersion, ZoneId};
use serde::{Deserialize, Serialize};

use crate::incarnation::Born;

/// Models with their adapters.
pub type Holdings = BTreeMap<ModelId, BTreeSet<AdapterId>>;

/// Source from which a model's weights would be loaded, slowest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopyTier {
    /// The weight store, whose bandwidth all engines share.
    #[default]
    WeightStore,
    /// The engine's disk.
    Disk,
    /// The engine's host memory.
    Memory,
}

/// A back end's own announcement, as received through service discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct BackEndReport {
    /// The back end's name.
    pub id: BackEndId,
    /// Start time of the back end's process; `None` if the back end does not announce it, in which
    /// case it has a different name after each start.
    pub born: Option<Born>,
    /// The service to which the back end belongs.
    pub service: ServiceId,
    /// Version of the back end's software. What two versions write does not fit together.
    pub software_version: SoftwareVersion,
    /// Address on which the back end listens.
    pub address: SocketAddr,
    /// The back end's zone.
    pub zone: ZoneId,
    /// Requests that the back end runs concurrently.
    pub slots: u32,
    /// Remaining warm-up time when the report was written, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Whether the back end announces that it is about to shut down.
    pub draining: bool,
    /// Models and adapters that are loaded.
    pub holdings: Holdings,
    /// Models with a copy of the weights in host memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models with a copy of the weights on disk.
    pub on_disk: BTreeSet<ModelId>,
}

impl BackEndReport {
    /// Source from which this back end would load the model's weights.
    pub fn nearest_copy(&self, model: &ModelId) -> CopyTier {
        if self.in_memory.contains(model) {
            CopyTier::Memory
        } else if self.on_disk.contains(model) {
            CopyTier::Disk
        } else {
            CopyTier::WeightStore
        }
    }
}

/// An engine's response to a query of its state. It may be out of date when it is read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Start time of the engine's process, if the engine reports it.
    pub born: Option<Born>,
    /// Models and adapters that are loaded.
    pub holdings: Holdings,
    /// Adapters that are being loaded, as pairs of model and adapter.
    pub pending: BTreeSet<(ModelId, AdapterId)>,
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Number of orders accepted since the engine's start.
    pub sequence: u64,
    /// Models with a copy of the weights in host memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models with a copy of the weights on disk.
    pub on_disk: BTreeSet<ModelId>,
}

/// A load that the placement holder has ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedLoad {
    /// The model.
    pub model: ModelId,
    /// Expected time until the model can serve, in milliseconds from when the row was written.
    pub ready_in: u64,
}

/// The placement holder's row on one back end. The holder writes it before it orders an unload
/// and after it has seen a load complete, so gateways need not wait for the back end's own report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedRow {
    /// Fencing token of the placement holder that wrote the row.
    pub fence: u64,
    /// Start time of the incarnation that the row describes; `None` in rows of gateways that
    /// predate this field, or if the back end does not announce its start time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Born>,
    /// Models and adapters that are loaded and will stay loaded.
    pub holdings: Holdings,
    /// A model that is about to be unloaded: gateways send no more requests for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unloading: Option<ModelId>,
    /// A load that is running or about to be ordered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loading: Option<PlannedLoad>,
    /// Models whose load was ordered in a previous incarnation of the back end and may still
    /// begin: the next holder reserves memory for them.
    #[serde(rename = "left_over", default, skip_serializing_if = "Vec::is_empty")]
    pub orphaned_loads: Vec<ModelId>,
    /// Models, other than that of `loading`, whose load was ordered in this incarnation without a
    /// response, so that it may still begin. `None` in rows of gateways that do not list them.
    #[serde(rename = "open", default, skip_serializing_if = "Option::is_none")]
    pub unanswered_loads: Option<Vec<ModelId>>,
    /// Number of adapter loads that were ordered in this or a previous incarnation and may still
    /// begin.
    #[serde(rename = "open_adapters", default, skip_serializing_if = "is_zero")]
    pub unanswered_adapter_loads: usize,
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}
