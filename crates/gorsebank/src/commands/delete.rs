//! `gorsebank delete`: deletes a row.

use gorsebank_world::Row;
use http::Method;

use crate::admin_client::{AdminClient, row_path};
use crate::arguments::DeleteArguments;

/// Deletes the row and prints the version of the deletion.
pub async fn run(arguments: DeleteArguments) -> eyre::Result<()> {
    let client = AdminClient::new(arguments.connection.node);
    let path = row_path(arguments.kind.as_str(), &arguments.name, arguments.version)?;
    let row: Row = client.call::<(), _>(Method::DELETE, &path, None).await?;
    println!("{} deleted at version {}", row.key, row.revision);
    Ok(())
}
