//! HTTP handlers that read, apply, label and delete configuration rows.
//!
//! `?version=N` makes a change conditional on the version of the row (0: the
//! row must not exist). A change of a row that has another version is rejected
//! with status 409 and the current version of the row.

use std::collections::BTreeMap;
use std::sync::Arc;

use axum::Json;
use axum::extract::{Path, Query, State};
use gorsebank_coordination::{Change, Edit};
use gorsebank_world::{Labels, Row, RowKey, RowKind, Selector, Spec};
use serde::{Deserialize, Serialize};

use crate::admin::error::AdminError;
use crate::host::Host;

/// Query parameters of a change: the version that the row must have.
#[derive(Debug, Deserialize)]
pub struct VersionQuery {
    version: Option<u64>,
}

/// Query parameters of a list: a label selector for the rows.
#[derive(Debug, Deserialize)]
pub struct ListQuery {
    selector: Option<String>,
}

/// The body of a request that applies a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowContent {
    /// The labels of the row.
    #[serde(default)]
    pub labels: Labels,
    /// The content of the row.
    pub spec: Spec,
}

fn row_key(kind: &str, name: &str) -> Result<RowKey, AdminError> {
    let kind: RowKind = kind
        .parse()
        .map_err(|error| AdminError::not_found(format!("{error}")))?;
    Ok(RowKey {
        kind,
        name: name.into(),
    })
}

/// `GET /v1/configuration/{kind}`: lists the rows of a kind.
pub async fn list(
    State(host): State<Arc<Host>>,
    Path(kind): Path<String>,
    Query(query): Query<ListQuery>,
) -> Result<Json<Vec<Row>>, AdminError> {
    let kind = row_key(&kind, "")?.kind;
    let selector: Selector = query
        .selector
        .unwrap_or_default()
        .parse()
        .map_err(|error| AdminError::bad_request(format!("{error}")))?;
    let rows = host.node().with_configuration(|configuration| {
        configuration
            .live_rows(kind)
            .filter(|row| selector.matches(&row.labels))
            .cloned()
            .collect()
    });
    Ok(Json(rows))
}

/// `GET /v1/configuration/{kind}/{name}`: returns one row.
pub async fn read(
    State(host): State<Arc<Host>>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<Row>, AdminError> {
    let key = row_key(&kind, &name)?;
    let row = host
        .node()
        .with_configuration(|configuration| configuration.row(&key).cloned());
    row.filter(|row| row.spec.is_some())
        .map(Json)
        .ok_or_else(|| AdminError::not_found(format!("{key} does not exist")))
}

/// `PUT /v1/configuration/{kind}/{name}`: creates or replaces a row.
pub async fn apply(
    State(host): State<Arc<Host>>,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<VersionQuery>,
    body: String,
) -> Result<Json<Row>, AdminError> {
    let key = row_key(&kind, &name)?;
    let content: RowContent = parse(&key, &body)?;
    let edit = Edit::Apply {
        labels: content.labels,
        spec: content.spec,
    };
    apply_change(&host, key, query.version, edit).await
}

/// `PATCH /v1/configuration/{kind}/{name}`: sets labels, and removes those
/// whose value is `null`.
pub async fn label(
    State(host): State<Arc<Host>>,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<VersionQuery>,
    body: String,
) -> Result<Json<Row>, AdminError> {
    let key = row_key(&kind, &name)?;
    let edits: BTreeMap<String, Option<String>> = parse(&key, &body)?;
    apply_change(&host, key, query.version, Edit::Label(edits)).await
}

/// `DELETE /v1/configuration/{kind}/{name}`: deletes a row.
pub async fn delete(
    State(host): State<Arc<Host>>,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<VersionQuery>,
) -> Result<Json<Row>, AdminError> {
    let key = row_key(&kind, &name)?;
    apply_change(&host, key, query.version, Edit::Delete).await
}

fn parse<T: for<'de> Deserialize<'de>>(key: &RowKey, body: &str) -> Result<T, AdminError> {
    serde_json::from_str(body).map_err(|error| AdminError::bad_request(format!("{key}: {error}")))
}

async fn apply_change(
    host: &Arc<Host>,
    key: RowKey,
    expected: Option<u64>,
    edit: Edit,
) -> Result<Json<Row>, AdminError> {
    let change = Change {
        key,
        expected,
        edit,
    };
    let row = host.apply_change(change).await?;
    log::info!("{} is at version {}", row.key, row.revision);
    Ok(Json(row))
}
