//! `gorsebank get`: shows configuration rows.

use gorsebank_world::Row;
use http::Method;

use crate::admin_client::{AdminClient, percent_encode, row_path};
use crate::arguments::GetArguments;
use crate::table_view::print_rows;

/// Prints one row, or all rows of a kind that match the selector.
pub async fn run(arguments: GetArguments) -> eyre::Result<()> {
    let client = AdminClient::new(arguments.connection.node);
    let kind = arguments.kind.as_str();
    let rows = match &arguments.name {
        Some(name) => {
            let path = row_path(kind, name, None)?;
            let row: Row = client.call::<(), _>(Method::GET, &path, None).await?;
            vec![row]
        }
        None => {
            let selector = percent_encode(arguments.selector.as_deref().unwrap_or_default());
            let path = format!("/v1/configuration/{kind}?selector={selector}");
            client.call::<(), _>(Method::GET, &path, None).await?
        }
    };
    print_rows(&rows, arguments.connection.output)
}
