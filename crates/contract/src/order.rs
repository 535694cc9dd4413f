//! Fenced orders to model engines, and what engines answer.

use std::collections::BTreeMap;
use std::str::FromStr;

use gorsebank_world::Artifact;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fence::{Fence, Incarnation, Sequence};

/// Where an engine finds a checkpoint, from fast to slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SourceTier {
    /// The engine machine's main memory.
    Memory,
    /// The engine machine's disk.
    Disk,
    /// The rate-limited weight store.
    Remote,
}

/// What an engine does with its accelerators. Models are placed only on
/// engines that serve; any other role takes all of the memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Loads models and serves requests.
    #[default]
    Serve,
    /// Computes prompts for other engines.
    Prefill,
    /// Generates from prompts that other engines computed.
    Decode,
}

impl EngineRole {
    /// The label of a back end by which operators choose its role.
    pub const LABEL: &'static str = "engine_role";
}

/// A text that is no role.
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

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Take note of the fence and report the inventory.
    Inspect,
    /// Load an artifact; its base must be loaded.
    Load {
        /// The artifact.
        artifact: Artifact,
        /// Accelerator memory in bytes.
        bytes: u64,
    },
    /// Take another role; refused unless nothing is loaded.
    ChangeRole {
        /// The role.
        role: EngineRole,
    },
    /// Unload an artifact; refused while requests run on it.
    Unload {
        /// The artifact.
        artifact: Artifact,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The holder's fence; an engine refuses one lower than it has seen.
    pub fence: Fence,
    /// Grows within a fence; an engine refuses one it has seen.
    pub sequence: Sequence,
    /// The life of the engine that the order is meant for; an engine that was
    /// restarted since refuses it. `None` only for [`OrderAction::Inspect`].
    pub incarnation: Option<Incarnation>,
    /// What to do.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// What an engine holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The life of the engine process; memory is empty at its start.
    pub incarnation: Incarnation,
    /// Grows with every change within that life, so that a late report is known.
    pub version: u64,
    /// What the engine does with its accelerators.
    #[serde(default)]
    pub role: EngineRole,
    /// Loaded artifacts with their bytes.
    pub loaded: BTreeMap<Artifact, u64>,
    /// Artifacts whose load is running, with their bytes.
    pub loading: BTreeMap<Artifact, u64>,
    /// Checkpoints cached on the engine's machine.
    pub cached: BTreeMap<Artifact, SourceTier>,
    /// Requests that run or wait on the engine, as last reported.
    pub active: u32,
}

impl Inventory {
    /// Whether the artifact takes or is about to take memory.
    pub fn holds(&self, artifact: &Artifact) -> bool {
        self.loaded.contains_key(artifact) || self.loading.contains_key(artifact)
    }
}

/// What an engine reports of itself, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The life of the engine process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The version of its inventory.
    #[serde(rename = "v")]
    pub version: u64,
}

/// Why an engine did not carry out an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum OrderError {
    /// A higher fence was seen.
    Fenced {
        /// That fence.
        highest: Fence,
    },
    /// The order was meant for an earlier life of the engine.
    Restarted,
    /// The sequence number was seen before.
    Repeated,
    /// Not enough free memory.
    OutOfMemory,
    /// Requests still run on the artifact, or an adapter needs it.
    Busy,
    /// The base is missing, or the artifact is not here.
    Missing,
    /// The load failed.
    LoadFailed,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// Carried out; the inventory after it.
    Done(Inventory),
    /// Not carried out; the inventory as it stands.
    Refused(OrderError, Inventory),
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}
