//! `gorsebank label`: sets or removes labels of a row.

use gorsebank_coordination::configuration_writer::parse_label_edits;
use gorsebank_world::Row;
use http::Method;

use crate::admin_client::{AdminClient, row_path};
use crate::arguments::LabelArguments;
use crate::table_view::print_rows;

/// Applies the label edits and prints the changed row.
pub async fn run(arguments: LabelArguments) -> eyre::Result<()> {
    let edits = parse_label_edits(&arguments.labels)?;
    let client = AdminClient::new(arguments.connection.node);
    let path = row_path(arguments.kind.as_str(), &arguments.name, arguments.version)?;
    let row: Row = client.call(Method::PATCH, &path, Some(&edits)).await?;
    print_rows(&[row], arguments.connection.output)
}
