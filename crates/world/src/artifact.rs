//! Names of artifacts (weights that occupy accelerator memory) and keys of request queues.
//!
//! Both types are parsed from text and written as the same text.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::identity::{AdapterId, ModelId, ServiceId, VersionId};

/// Prefix of the text form of a [`QueueKey`] for an application service.
const SERVICE_PREFIX: &str = "service:";

/// The weights of one model version, or of one adapter on top of it.
///
/// The text form is `model@version` or `model@version+adapter`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Artifact {
    /// The base model.
    pub model: ModelId,
    /// The version of the base model.
    pub version: VersionId,
    /// The adapter, or `None` for the base weights themselves.
    pub adapter: Option<AdapterId>,
}

impl Artifact {
    /// The base weights on which this artifact depends; base weights return a copy of themselves.
    pub fn base(&self) -> Artifact {
        Artifact {
            adapter: None,
            ..self.clone()
        }
    }

    /// All artifacts that a back end must load to serve this artifact, the base weights first.
    pub fn required(&self) -> Vec<Artifact> {
        match self.adapter {
            None => vec![self.clone()],
            Some(_) => vec![self.base(), self.clone()],
        }
    }
}

impl fmt::Display for Artifact {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.model, self.version)?;
        match &self.adapter {
            Some(adapter) => write!(formatter, "+{adapter}"),
            None => Ok(()),
        }
    }
}

/// The text is not a valid artifact name.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not an artifact: expected `model@version` or `model@version+adapter`")]
pub struct ArtifactError(String);

impl FromStr for Artifact {
    type Err = ArtifactError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ArtifactError(text.to_owned());
        let (model, rest) = text.split_once('@').ok_or_else(invalid)?;
        let (version, adapter) = match rest.split_once('+') {
            Some((version, adapter)) => (version, Some(adapter)),
            None => (rest, None),
        };
        if model.is_empty() || version.is_empty() || adapter == Some("") {
            return Err(invalid());
        }
        Ok(Artifact {
            model: model.into(),
            version: version.into(),
            adapter: adapter.map(AdapterId::from),
        })
    }
}

impl TryFrom<String> for Artifact {
    type Error = ArtifactError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Artifact> for String {
    fn from(artifact: Artifact) -> Self {
        artifact.to_string()
    }
}

/// The key of a request queue: the artifact or the application service that serves its requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum QueueKey {
    /// A version of a model, or an adapter on it.
    Artifact(Artifact),
    /// A pool of application back ends, which load no artifacts.
    Service(ServiceId),
}

impl QueueKey {
    /// The artifact; `None` for the queue of an application service.
    pub fn artifact(&self) -> Option<&Artifact> {
        match self {
            QueueKey::Artifact(artifact) => Some(artifact),
            QueueKey::Service(_) => None,
        }
    }
}

impl fmt::Display for QueueKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QueueKey::Artifact(artifact) => artifact.fmt(formatter),
            QueueKey::Service(service) => write!(formatter, "{SERVICE_PREFIX}{service}"),
        }
    }
}

impl TryFrom<String> for QueueKey {
    type Error = ArtifactError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        match text.strip_prefix(SERVICE_PREFIX) {
            Some(service) => Ok(QueueKey::Service(service.into())),
            None => text.parse().map(QueueKey::Artifact),
        }
    }
}

impl From<QueueKey> for String {
    fn from(key: QueueKey) -> Self {
        key.to_string()
    }
}
