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

/// A row in the format of an input file.
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

/// Applies the rows of the file in their order and stops at the first one that the node refuses.
pub async fn run(arguments: ApplyArguments) -> eyre::Result<()> {
    let rows = read_rows(&arguments.file)?;
    if rows.len() > 1 && arguments.version.is_some() {
        bail!("--version requires a file with a single row");
    }
    let client = AdminClient::new(arguments.connection.node);
    let mut applied = Vec::new();
    for row in rows {
        applied.push(apply(&client, row, arguments.version).await?);
    }
    print_rows(&applied, arguments.connection.output)
}

fn read_rows(file: &Path) -> eyre::Result<Vec<RowFile>> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    // The first character decides between a list and a single row. The untagged enum would lose the
    // position of an error.
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

/// Creates or replaces one row. With `version`, the row must have this version.
pub async fn apply(client: &AdminClient, row: RowFile, version: Option<u64>) -> eyre::Result<Row> {
    let kind: RowKind = row.spec.kind();
    let path = row_path(kind.as_str(), &row.name, version)?;
    let content = RowContent {
        labels: row.labels,
        spec: row.spec,
    };
    client.call(Method::PUT, &path, Some(&content)).await
}

/// Parses a JSON list of rows.
pub fn parse_rows(text: &str) -> eyre::Result<Vec<RowFile>> {
    serde_json::from_str(text).wrap_err("the text is not a list of rows")
}
