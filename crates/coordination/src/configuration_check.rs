//! Validates a change that an operator requests before the change is written.
//!
//! The inputs are the configuration and the change. The output is the row to
//! write, or the reason why the change is invalid.

use std::collections::BTreeMap;

use gorsebank_contract::EngineRole;
use gorsebank_world::{BackEndSpec, Labels, Row, RowKey, RowKind, Spec};

use crate::configuration::Configuration;
use crate::event::{Change, ChangeError, Edit};

/// Returns the row that `change` writes at `revision`, if the change is valid.
pub fn build_row(
    configuration: &Configuration,
    change: &Change,
    revision: u64,
) -> Result<Row, ChangeError> {
    let existing = configuration
        .row(&change.key)
        .filter(|row| row.spec.is_some());
    check_version(change, existing)?;
    let row = match &change.edit {
        Edit::Apply { labels, spec } => Row {
            key: change.key.clone(),
            revision,
            labels: labels.clone(),
            spec: Some(spec.clone()),
        },
        Edit::Label(edits) => build_labelled_row(change, existing, edits, revision)?,
        Edit::Delete => {
            check_unreferenced(configuration, &change.key)?;
            existing.ok_or_else(|| ChangeError::Missing(change.key.clone()))?;
            Row {
                key: change.key.clone(),
                revision,
                labels: Labels::default(),
                spec: None,
            }
        }
    };
    check_content(configuration, &row)?;
    Ok(row)
}

fn check_version(change: &Change, existing: Option<&Row>) -> Result<(), ChangeError> {
    let current = existing.map_or(0, |row| row.revision);
    match change.expected {
        Some(expected) if expected != current => Err(ChangeError::Conflict {
            key: change.key.clone(),
            expected,
            current,
        }),
        _ => Ok(()),
    }
}

fn build_labelled_row(
    change: &Change,
    existing: Option<&Row>,
    edits: &BTreeMap<String, Option<String>>,
    revision: u64,
) -> Result<Row, ChangeError> {
    let mut row = match existing {
        Some(row) => row.clone(),
        None if change.key.kind == RowKind::BackEnd => Row {
            key: change.key.clone(),
            revision,
            labels: Labels::default(),
            spec: Some(Spec::BackEnd(BackEndSpec {})),
        },
        None => return Err(ChangeError::Missing(change.key.clone())),
    };
    row.revision = revision;
    for (key, value) in edits {
        match value {
            Some(value) => row.labels.set(key, value),
            None => {
                row.labels.remove(key);
            }
        }
    }
    Ok(row)
}

fn check_unreferenced(configuration: &Configuration, key: &RowKey) -> Result<(), ChangeError> {
    if key.kind != RowKind::Model {
        return Ok(());
    }
    let referrer = configuration
        .live_rows(RowKind::Version)
        .chain(configuration.live_rows(RowKind::Adapter))
        .find(|row| model_of(row) == Some(key.name.as_ref()));
    match referrer {
        Some(row) => Err(invalid(key, &format!("{} still refers to it", row.key))),
        None => Ok(()),
    }
}

fn model_of(row: &Row) -> Option<&str> {
    match &row.spec {
        Some(Spec::Version(version)) => Some(version.model.as_str()),
        Some(Spec::Adapter(adapter)) => Some(adapter.model.as_str()),
        _ => None,
    }
}

fn check_content(configuration: &Configuration, row: &Row) -> Result<(), ChangeError> {
    let Some(spec) = &row.spec else {
        return Ok(());
    };
    let key = &row.key;
    if spec.kind() != key.kind {
        return Err(invalid(
            key,
            &format!("its content is of kind {}", spec.kind()),
        ));
    }
    check_labels(row)?;
    match spec {
        Spec::Deployment(deployment) => {
            if deployment.max_replicas == 0 {
                return Err(invalid(key, "max_replicas must be at least 1"));
            }
            if !(0.0..=1.0).contains(&deployment.cold_start_weight) {
                return Err(invalid(key, "cold_start_weight must be from 0 to 1"));
            }
            Ok(())
        }
        Spec::Model(model) => {
            check_name(key, &key.name)?;
            check_memory(key, model.memory.as_u64())
        }
        Spec::Version(version) => {
            check_memory(key, version.memory.as_u64())?;
            check_name_and_model(configuration, key, version.model.as_str(), '@')
        }
        Spec::Adapter(adapter) => {
            check_memory(key, adapter.memory.as_u64())?;
            check_name_and_model(configuration, key, adapter.model.as_str(), '+')
        }
        Spec::BackEnd(_) => Ok(()),
    }
}

fn check_labels(row: &Row) -> Result<(), ChangeError> {
    let is_valid_text = |text: &str| {
        text.chars()
            .all(|character| character.is_alphanumeric() || "-_./".contains(character))
    };
    let invalid_label = row
        .labels
        .iter()
        .find(|(key, value)| key.is_empty() || !is_valid_text(key) || !is_valid_text(value));
    if let Some(role) = row.labels.get(EngineRole::LABEL)
        && row.key.kind == RowKind::BackEnd
    {
        let checked: Result<EngineRole, _> = role.parse();
        checked.map_err(|error| invalid(&row.key, &error.to_string()))?;
    }
    match invalid_label {
        Some((key, value)) => Err(invalid(
            &row.key,
            &format!("label `{key}={value}` has characters other than letters, digits and -_./"),
        )),
        None => Ok(()),
    }
}

fn check_memory(key: &RowKey, bytes: u64) -> Result<(), ChangeError> {
    if bytes == 0 {
        return Err(invalid(key, "memory must be more than 0"));
    }
    Ok(())
}

fn check_name(key: &RowKey, name: &str) -> Result<(), ChangeError> {
    let is_reserved = |character: char| "@+/:".contains(character) || character.is_whitespace();
    if name.is_empty() || name.contains(is_reserved) {
        return Err(invalid(
            key,
            "a name must not be empty or contain @ + / : or blanks",
        ));
    }
    Ok(())
}

fn check_name_and_model(
    configuration: &Configuration,
    key: &RowKey,
    model: &str,
    separator: char,
) -> Result<(), ChangeError> {
    let name = key
        .name
        .strip_prefix(model)
        .and_then(|rest| rest.strip_prefix(separator));
    let Some(name) = name else {
        return Err(invalid(
            key,
            &format!("its name must be `{model}{separator}NAME`"),
        ));
    };
    check_name(key, name)?;
    let model_key = RowKey {
        kind: RowKind::Model,
        name: model.into(),
    };
    let exists = configuration
        .row(&model_key)
        .is_some_and(|row| row.spec.is_some());
    if !exists {
        return Err(invalid(key, &format!("{model_key} does not exist")));
    }
    Ok(())
}

fn invalid(key: &RowKey, reason: &str) -> ChangeError {
    ChangeError::Invalid(format!("{key}: {reason}"))
}
