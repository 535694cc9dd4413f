//! Configuration rows, which operators create, label and delete.
//!
//! The module defines the rows as they are stored and replicated, and their keys. Evaluating a
//! row is left to other crates.

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
    /// A rule that assigns models to back ends and sets their placement parameters.
    Deployment,
    /// A base model.
    Model,
    /// A version of a base model, named `model@version`.
    Version,
    /// An adapter, named `model+adapter`.
    Adapter,
    /// A back end, for which operators set labels only.
    BackEnd,
}

impl RowKind {
    /// The name of the kind in URL paths and commands.
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

/// The text is not the name of a row kind.
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

/// The unique key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    pub kind: RowKind,
    /// The name, unique within the kind. The text is reference-counted because every node holds
    /// every row.
    pub name: Arc<str>,
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

/// The content of a deployment row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSpec {
    /// Selects the models that are served.
    #[serde(default)]
    pub models: Selector,
    /// Selects the versions that may be served. If several match, the one whose row was written
    /// last is used.
    #[serde(default)]
    pub versions: Selector,
    /// Selects the back ends that may load the models.
    #[serde(default)]
    pub back_ends: Selector,
    /// Maximum number of replicas of one model on reachable back ends.
    #[serde(default = "default_max_replicas")]
    pub max_replicas: u32,
    /// Weight of the tail latency of cold starts relative to idle accelerator hours, from 0 (only
    /// idle hours count) to 1 (only cold starts count).
    #[serde(default = "default_cold_start_weight")]
    pub cold_start_weight: f64,
}

fn default_max_replicas() -> u32 {
    4
}

fn default_cold_start_weight() -> f64 {
    0.5
}

/// The content of a model row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Accelerator memory that one replica occupies.
    pub memory: ByteSize,
}

/// The content of a version row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// The base model.
    pub model: ModelId,
    /// Accelerator memory that one replica occupies.
    pub memory: ByteSize,
}

/// The content of an adapter row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The base model.
    pub model: ModelId,
    /// Accelerator memory that the adapter occupies in addition to the base weights.
    pub memory: ByteSize,
}

/// The content of a back-end row, which is empty: operators set only labels on back ends.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackEndSpec {}

/// The content of a row, by kind.
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
    /// The kind of the rows that have this content.
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

/// A configuration row as it is stored and replicated to the nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub key: RowKey,
    /// The configuration revision that wrote this row, which compare-and-set updates use as the
    /// version of the row. Revisions are consecutive: 1, 2, 3, ...
    pub revision: u64,
    /// Labels that operators set.
    #[serde(default)]
    pub labels: Labels,
    /// The content; `None` marks a deleted row.
    pub spec: Option<Spec>,
}
