//! `gorsebank apply`: creates or replaces rows from a file.

use std::path::Path;

use eyre::{Context, bail};
use gorsebank_node::admin::configuration::RowContent;
use gorsebank_world::{Labels, Row, RowKind, Spec};
use http::Method;
use serde::Deserialize;

use crate::admin_client::{AdminClient, row_path};
use crate::arguments::ApplyArguments;
use crate::table_view::print_rows;

/// A row as files state it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowFile {
    name: String,
    #[serde(default)]
    labels: Labels,
    spec: Spec,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum RowFiles {
    One(Box<RowFile>),
    Many(Vec<RowFile>),
}

/// Applies every row of the file, in order; stops at the first that is refused.
pub async fn run(arguments: ApplyArguments) -> eyre::Result<()> {
    let rows = read(&arguments.file)?;
    if rows.len() > 1 && arguments.version.is_some() {
        bail!("--version goes with a file of one row");
    }
    let client = AdminClient::new(arguments.connection.node);
    let mut applied = Vec::new();
    for row in rows {
        applied.push(apply(&client, row, arguments.version).await?);
    }
    print_rows(&applied, arguments.connection.output)
}

fn read(file: &Path) -> eyre::Result<Vec<RowFile>> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    // Only a file that is no list is read as one row, so that the error names
    // the place in either case.
    let rows = if text.trim_start().starts_with('[') {
        serde_json::from_str(&text).map(RowFiles::Many)
    } else {
        serde_json::from_str(&text).map(RowFiles::One)
    };
    match rows.wrap_err_with(|| format!("{} is not a row or a list of rows", file.display()))? {
        RowFiles::One(row) => Ok(vec![*row]),
        RowFiles::Many(rows) => Ok(rows),
    }
}

/// Applies one row.
pub async fn apply(client: &AdminClient, row: RowFile, version: Option<u64>) -> eyre::Result<Row> {
    let kind: RowKind = row.spec.kind();
    let path = row_path(kind.as_str(), &row.name, version)?;
    let content = RowContent {
        labels: row.labels,
        spec: row.spec,
    };
    client.call(Method::PUT, &path, Some(&content)).await
}

/// Rows of a JSON text.
pub fn parse(text: &str) -> eyre::Result<Vec<RowFile>> {
    serde_json::from_str(text).wrap_err("not a list of rows")
}
