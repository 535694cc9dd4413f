//! Configuration rows: what operators create, label and delete.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use bytesize::ByteSize;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::identity::ModelId;
use crate::labels::Labels;
use crate::selector::Selector;

/// The kind of a configuration row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKind {
    /// Which models are served on which back ends, and how.
    Deployment,
    /// A base model.
    Model,
    /// A version of a base model, named `model@version`.
    Version,
    /// An adapter, named `model+adapter`.
    Adapter,
    /// Operators' labels on a back end.
    BackEnd,
}

impl RowKind {
    /// The kind's name in paths and commands.
    pub fn as_str(self) -> &'static str {
        match self {
            RowKind::Deployment => "deployment",
            RowKind::Model => "model",
            RowKind::Version => "version",
            RowKind::Adapter => "adapter",
            RowKind::BackEnd => "back_end",
        }
    }
}

impl fmt::Display for RowKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A text that names no kind of row.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a kind: expected deployment, model, version, adapter or back_end")]
pub struct RowKindError(String);

impl FromStr for RowKind {
    type Err = RowKindError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.trim_end_matches('s') {
            "deployment" => Ok(RowKind::Deployment),
            "model" => Ok(RowKind::Model),
            "version" => Ok(RowKind::Version),
            "adapter" => Ok(RowKind::Adapter),
            "back_end" | "back-end" | "backend" => Ok(RowKind::BackEnd),
            _ => Err(RowKindError(text.to_owned())),
        }
    }
}

/// Kind and name of a row; unique.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// The kind.
    pub kind: RowKind,
    /// The name within the kind; shared, since every node holds every row.
    pub name: Arc<str>,
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

/// What a deployment states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSpec {
    /// Models that are served.
    #[serde(default)]
    pub models: Selector,
    /// Versions that may be served; the one created last wins.
    #[serde(default)]
    pub versions: Selector,
    /// Back ends that may hold the models.
    #[serde(default)]
    pub back_ends: Selector,
    /// Most replicas of one model among reachable back ends.
    #[serde(default = "default_max_replicas")]
    pub max_replicas: u32,
    /// Weight of tail cold-start time against idle accelerator hours, from 0
    /// (only idle hours count) to 1 (only cold starts count).
    #[serde(default = "default_cold_start_weight")]
    pub cold_start_weight: f64,
}

fn default_max_replicas() -> u32 {
    4
}

fn default_cold_start_weight() -> f64 {
    0.5
}

/// What a base model states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Accelerator memory of one replica.
    pub memory: ByteSize,
}

/// What a version states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// The base model.
    pub model: ModelId,
    /// Accelerator memory of one replica.
    pub memory: ByteSize,
}

/// What an adapter states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The base model.
    pub model: ModelId,
    /// Accelerator memory beside the base weights.
    pub memory: ByteSize,
}

/// What operators state about a back end: only labels.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackEndSpec {}

/// The typed content of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Spec {
    /// A deployment.
    Deployment(Box<DeploymentSpec>),
    /// A model.
    Model(ModelSpec),
    /// A version.
    Version(VersionSpec),
    /// An adapter.
    Adapter(AdapterSpec),
    /// A back end.
    BackEnd(BackEndSpec),
}

impl Spec {
    /// The kind of row this content belongs to.
    pub fn kind(&self) -> RowKind {
        match self {
            Spec::Deployment(_) => RowKind::Deployment,
            Spec::Model(_) => RowKind::Model,
            Spec::Version(_) => RowKind::Version,
            Spec::Adapter(_) => RowKind::Adapter,
            Spec::BackEnd(_) => RowKind::BackEnd,
        }
    }
}

/// One configuration row as stored and spread.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Kind and name.
    pub key: RowKey,
    /// The configuration revision that wrote this row; also its version for
    /// compare-and-set. Revisions are dense: 1, 2, 3, ...
    pub revision: u64,
    /// Operators' labels.
    #[serde(default)]
    pub labels: Labels,
    /// The content, or `None` once the row was deleted.
    pub spec: Option<Spec>,
}
