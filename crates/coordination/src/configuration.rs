//! Holds the configuration as this node knows it.
//!
//! The inputs are rows from the table or from other nodes. The outputs are
//! results of queries about models, adapters and deployments. Each row carries
//! the revision at which it was written; revisions are consecutive numbers. A
//! row is replaced only by a row with a higher revision. Merging is therefore
//! commutative and idempotent, and no row reverts, in whatever order rows arrive.

use std::collections::BTreeMap;
use std::sync::Arc;

use gorsebank_contract::{EngineRole, Revision};
use gorsebank_world::{
    AdapterId, Artifact, BackEndId, DeploymentSpec, Labels, ModelId, QueueKey, Row, RowKey,
    RowKind, Spec, VersionId,
};
use thiserror::Error;

/// Version of a model that has no version row.
pub const IMPLICIT_VERSION: &str = "1";

/// Why a requested model cannot be served.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResolveError {
    /// The model, adapter or version does not exist.
    #[error("model `{0}` does not exist")]
    Unknown(String),
    /// The adapter belongs to another model.
    #[error("adapter `{adapter}` belongs to model `{owner}`, not to `{model}`")]
    AdapterOfAnotherModel {
        /// The adapter.
        adapter: String,
        /// The model it belongs to.
        owner: String,
        /// The requested model.
        model: String,
    },
    /// No deployment selects the model.
    #[error("no deployment selects model `{0}`")]
    NotDeployed(String),
}

/// Rows between the known revision and the start of a delta are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Revision up to which all rows are known.
    pub complete: Revision,
}

/// All configuration rows up to a revision.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    complete: Revision,
    rows: BTreeMap<RowKey, Arc<Row>>,
    by_revision: BTreeMap<u64, Arc<Row>>,
}

impl Configuration {
    /// Returns the revision up to which all rows are known.
    pub fn complete(&self) -> Revision {
        self.complete
    }

    /// Merges `rows`, which are all rows above `above` up to `complete`. Returns
    /// whether the known revision advanced.
    pub fn merge(
        &mut self,
        above: Revision,
        complete: Revision,
        rows: Vec<Arc<Row>>,
    ) -> Result<bool, Gap> {
        if above > self.complete {
            return Err(Gap {
                complete: self.complete,
            });
        }
        if complete <= self.complete {
            return Ok(false);
        }
        for row in rows {
            self.insert_if_newer(row);
        }
        self.complete = complete;
        Ok(true)
    }

    fn insert_if_newer(&mut self, row: Arc<Row>) {
        if let Some(known) = self.rows.get(&row.key) {
            if known.revision >= row.revision {
                return;
            }
            self.by_revision.remove(&known.revision);
        }
        self.by_revision.insert(row.revision, Arc::clone(&row));
        self.rows.insert(row.key.clone(), row);
    }

    /// Returns the rows above a revision.
    pub fn rows_above(&self, above: Revision) -> Vec<Arc<Row>> {
        self.by_revision
            .range(above.0 + 1..)
            .map(|(_, row)| Arc::clone(row))
            .collect()
    }

    /// Returns at most `limit` rows above a revision, in ascending order of
    /// revision, and the revision up to which these rows are complete.
    pub fn delta_above(&self, above: Revision, limit: usize) -> (Vec<Arc<Row>>, Revision) {
        let rows: Vec<Arc<Row>> = self
            .by_revision
            .range(above.0 + 1..)
            .take(limit)
            .map(|(_, row)| Arc::clone(row))
            .collect();
        let complete = match rows.last() {
            Some(last) if rows.len() == limit => Revision(last.revision),
            _ => self.complete,
        };
        (rows, complete)
    }

    /// Returns the row as last written, including deleted rows.
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key).map(AsRef::as_ref)
    }

    /// Returns the rows of a kind that are not deleted, in order of their names.
    pub fn live_rows(&self, kind: RowKind) -> impl Iterator<Item = &Row> {
        self.named_from(kind, String::new())
            .filter(|row| row.spec.is_some())
    }

    fn named_from(&self, kind: RowKind, prefix: String) -> impl Iterator<Item = &Row> {
        let start = RowKey {
            kind,
            name: prefix.into(),
        };
        self.rows
            .range(start..)
            .map(|(_, row)| row.as_ref())
            .take_while(move |row| row.key.kind == kind)
    }

    fn live(&self, kind: RowKind, name: &str) -> Option<&Row> {
        let key = RowKey {
            kind,
            name: name.into(),
        };
        self.row(&key).filter(|row| row.spec.is_some())
    }

    /// Returns the queue in which a request for `name` waits. `name` has the form
    /// `model`, `model@version`, `model+adapter` or `model@version+adapter`.
    pub fn resolve(&self, name: &str) -> Result<QueueKey, ResolveError> {
        let (base, adapter) = match name.split_once('+') {
            Some((base, adapter)) => (base, Some(adapter)),
            None => (name, None),
        };
        let (model, version) = match base.split_once('@') {
            Some((model, version)) => (model, Some(version)),
            None => (base, None),
        };
        let row = self
            .live(RowKind::Model, model)
            .ok_or_else(|| ResolveError::Unknown(name.to_owned()))?;
        let deployment = self
            .deployment_of(&row.labels)
            .ok_or_else(|| ResolveError::NotDeployed(model.to_owned()))?;
        let version = match version {
            Some(version) => self.check_version(model, version, name)?,
            None => self.newest_version(model, deployment),
        };
        let adapter = match adapter {
            Some(adapter) => Some(self.check_adapter(model, adapter, name)?),
            None => None,
        };
        Ok(QueueKey::Artifact(Artifact {
            model: ModelId::from(model),
            version,
            adapter,
        }))
    }

    fn check_version(
        &self,
        model: &str,
        version: &str,
        name: &str,
    ) -> Result<VersionId, ResolveError> {
        let explicit = self.live(RowKind::Version, &format!("{model}@{version}"));
        let is_implicit = version == IMPLICIT_VERSION && self.versions(model).next().is_none();
        if explicit.is_some() || is_implicit {
            Ok(VersionId::from(version))
        } else {
            Err(ResolveError::Unknown(name.to_owned()))
        }
    }

    fn check_adapter(
        &self,
        model: &str,
        adapter: &str,
        name: &str,
    ) -> Result<AdapterId, ResolveError> {
        if self
            .live(RowKind::Adapter, &format!("{model}+{adapter}"))
            .is_some()
        {
            return Ok(AdapterId::from(adapter));
        }
        let suffix = format!("+{adapter}");
        let owner = self
            .live_rows(RowKind::Adapter)
            .find_map(|row| row.key.name.strip_suffix(&suffix));
        Err(match owner {
            Some(owner) => ResolveError::AdapterOfAnotherModel {
                adapter: adapter.to_owned(),
                owner: owner.to_owned(),
                model: model.to_owned(),
            },
            None => ResolveError::Unknown(name.to_owned()),
        })
    }

    fn versions<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Row> {
        let prefix = format!("{model}@");
        self.named_from(RowKind::Version, prefix.clone())
            .take_while(move |row| row.key.name.starts_with(&prefix))
            .filter(|row| row.spec.is_some())
    }

    fn newest_version(&self, model: &str, deployment: &DeploymentSpec) -> VersionId {
        self.versions(model)
            .filter(|row| deployment.versions.matches(&row.labels))
            .max_by_key(|row| row.revision)
            .and_then(|row| row.key.name.split_once('@'))
            .map_or_else(
                || VersionId::from(IMPLICIT_VERSION),
                |(_, version)| VersionId::from(version),
            )
    }

    fn deployment_of(&self, labels: &Labels) -> Option<&DeploymentSpec> {
        self.live_rows(RowKind::Deployment)
            .filter_map(|row| match &row.spec {
                Some(Spec::Deployment(deployment)) => Some(deployment.as_ref()),
                _ => None,
            })
            .find(|deployment| deployment.models.matches(labels))
    }

    /// Returns the deployment that serves an artifact.
    pub fn deployment(&self, artifact: &Artifact) -> Option<&DeploymentSpec> {
        let row = self.live(RowKind::Model, artifact.model.as_str())?;
        self.deployment_of(&row.labels)
    }

    /// Returns the accelerator memory of an artifact in bytes.
    pub fn memory(&self, artifact: &Artifact) -> Option<u64> {
        let model = &artifact.model;
        if let Some(adapter) = &artifact.adapter {
            let row = self.live(RowKind::Adapter, &format!("{model}+{adapter}"))?;
            return match &row.spec {
                Some(Spec::Adapter(adapter)) => Some(adapter.memory.as_u64()),
                _ => None,
            };
        }
        let version = format!("{model}@{}", artifact.version);
        let row = self
            .live(RowKind::Version, &version)
            .or_else(|| self.live(RowKind::Model, model.as_str()))?;
        match &row.spec {
            Some(Spec::Version(version)) => Some(version.memory.as_u64()),
            Some(Spec::Model(model)) => Some(model.memory.as_u64()),
            _ => None,
        }
    }

    /// Returns the labels of a back end: the labels from the platform, overridden
    /// by the labels that operators set.
    pub fn back_end_labels(&self, id: &BackEndId, platform: &Labels) -> Labels {
        let mut labels = platform.clone();
        if let Some(row) = self.live(RowKind::BackEnd, id.as_str()) {
            for (key, value) in row.labels.iter() {
                labels.set(key, value);
            }
        }
        labels
    }

    /// Returns the role that operators assigned to an engine.
    pub fn engine_role(&self, id: &BackEndId) -> EngineRole {
        self.live(RowKind::BackEnd, id.as_str())
            .and_then(|row| row.labels.get(EngineRole::LABEL))
            .and_then(|role| role.parse().ok())
            .unwrap_or_default()
    }

    /// Returns the names that callers may request: models and their adapters.
    pub fn served_names(&self) -> Vec<String> {
        let models = self.live_rows(RowKind::Model);
        let adapters = self.live_rows(RowKind::Adapter);
        models
            .chain(adapters)
            .map(|row| row.key.name.to_string())
            .filter(|name| self.resolve(name).is_ok())
            .collect()
    }

    /// Returns the deployed artifacts whose own rows changed above a revision, or
    /// `None` if a changed row may affect other artifacts too.
    pub fn artifacts_changed_above(&self, above: Revision) -> Option<Vec<Artifact>> {
        let rows = self.rows_above(above);
        let affects_own_artifacts_only = rows
            .iter()
            .all(|row| matches!(row.key.kind, RowKind::Adapter | RowKind::BackEnd));
        affects_own_artifacts_only.then(|| {
            rows.iter()
                .filter(|row| row.key.kind == RowKind::Adapter)
                .filter_map(|row| self.resolve(&row.key.name).ok())
                .filter_map(|queue| queue.artifact().cloned())
                .collect()
        })
    }

    /// Returns the base artifacts and adapters of deployed models.
    pub fn deployed_artifacts(&self) -> impl Iterator<Item = Artifact> {
        let models = self.live_rows(RowKind::Model);
        let adapters = self.live_rows(RowKind::Adapter);
        models
            .chain(adapters)
            .filter_map(|row| self.resolve(&row.key.name).ok())
            .filter_map(|queue| queue.artifact().cloned())
    }
}
