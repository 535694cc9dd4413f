//! `gorsebank status`: shows a node's state.

use gorsebank_node::admin::probes::StatusReport;
use http::Method;

use crate::admin_client::AdminClient;
use crate::arguments::{Output, StatusArguments};

/// Prints the node's status report.
pub async fn run(arguments: StatusArguments) -> eyre::Result<()> {
    let client = AdminClient::new(arguments.connection.node);
    let report: StatusReport = client
        .call::<(), _>(Method::GET, "/v1/status", None)
        .await?;
    if arguments.connection.output == Output::Json {
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    println!("node           {}", report.node);
    println!("live nodes     {}", report.live_nodes.join(", "));
    println!(
        "holder         {}",
        report.holder.as_deref().unwrap_or("none")
    );
    println!("fence          {}", report.fence);
    println!("revision       {}", report.revision);
    println!("open requests  {}", report.pending);
    println!("loads ordered  {}", report.loads_ordered);
    Ok(())
}
