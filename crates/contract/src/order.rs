//! Fenced orders to model engines, and the results and reports of engines.

use std::collections::BTreeMap;
use std::str::FromStr;

use gorsebank_world::Artifact;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fence::{Fence, Incarnation, Sequence};

/// Storage tiers from which an engine loads a checkpoint, from the fastest to the slowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SourceTier {
    /// The main memory of the engine's machine.
    Memory,
    /// The disk of the engine's machine.
    Disk,
    /// The rate-limited weight store.
    Remote,
}

/// The work that an engine does on its accelerators. Models are placed only on engines with the role
/// `Serve`; any other role occupies all of the memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Loads models and serves requests.
    #[default]
    Serve,
    /// Prefills prompts for other engines.
    Prefill,
    /// Generates tokens for prompts that other engines have prefilled.
    Decode,
}

impl EngineRole {
    /// Key of the label by which operators set the role of a back end.
    pub const LABEL: &'static str = "engine_role";
}

/// The text is not the name of an engine role.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no role: expected serve, prefill or decode")]
pub struct EngineRoleError(String);

impl FromStr for EngineRole {
    type Err = EngineRoleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "serve" => Ok(EngineRole::Serve),
            "prefill" => Ok(EngineRole::Prefill),
            "decode" => Ok(EngineRole::Decode),
            _ => Err(EngineRoleError(text.to_owned())),
        }
    }
}

/// The action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Record the fence and report the inventory.
    Inspect,
    /// Load an artifact. The base weights of an adapter must be loaded already.
    Load {
        /// The artifact.
        artifact: Artifact,
        /// Accelerator memory in bytes.
        bytes: u64,
    },
    /// Change the role. The engine refuses the order if any artifact is loaded.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
    /// Unload an artifact. The engine refuses the order while requests run on the artifact.
    Unload {
        /// The artifact.
        artifact: Artifact,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fence of the placement holder. An engine refuses a fence lower than the highest that it
    /// has received.
    pub fence: Fence,
    /// The number of the order, which increases under one fence. An engine refuses a number that it
    /// has already received.
    pub sequence: Sequence,
    /// The incarnation of the engine for which the order is meant. An engine that has restarted
    /// since then refuses the order. `None` only for [`OrderAction::Inspect`].
    pub incarnation: Option<Incarnation>,
    #[serde(flatten)]
    pub action: OrderAction,
}

/// The artifacts and the state of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The incarnation of the engine, which starts with empty accelerator memory.
    pub incarnation: Incarnation,
    /// Increases with every change within the incarnation, so that a delayed report is recognised
    /// as outdated.
    pub version: u64,
    /// The role of the engine.
    #[serde(default)]
    pub role: EngineRole,
    /// Loaded artifacts, each with its size in bytes.
    pub loaded: BTreeMap<Artifact, u64>,
    /// Artifacts that are being loaded, each with its size in bytes.
    pub loading: BTreeMap<Artifact, u64>,
    /// Checkpoints cached on the engine's machine, each with its storage tier.
    pub cached: BTreeMap<Artifact, SourceTier>,
    /// Number of requests that ran or waited on the engine at the time of the report.
    pub active: u32,
}

impl Inventory {
    /// Whether the artifact is loaded or being loaded.
    pub fn holds(&self, artifact: &Artifact) -> bool {
        self.loaded.contains_key(artifact) || self.loading.contains_key(artifact)
    }
}

/// Short report of an engine, by which a node recognises that the inventory has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The incarnation of the engine.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The version of the engine's inventory.
    #[serde(rename = "v")]
    pub version: u64,
}

/// The reason why an engine did not execute an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum OrderError {
    /// The engine has received a higher fence.
    Fenced {
        /// The highest fence that the engine has received.
        highest: Fence,
    },
    /// The order was meant for a previous incarnation of the engine.
    Restarted,
    /// The engine has already received the sequence number.
    Repeated,
    /// The free accelerator memory is not sufficient.
    OutOfMemory,
    /// Requests still run on the artifact, or a loaded adapter depends on it.
    Busy,
    /// The base weights are not loaded, or the artifact is not on the engine.
    Missing,
    /// The load failed.
    LoadFailed,
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The order was executed. The value is the inventory afterwards.
    Done(Inventory),
    /// The order was not executed. The values are the reason and the present inventory.
    Refused(OrderError, Inventory),
    /// No response arrived. The order may have been executed, or may still be executed later.
    Unknown,
}
