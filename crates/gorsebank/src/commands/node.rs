//! `gorsebank node`: runs a node until SIGTERM or SIGINT, then drains it.

use gorsebank_gateway::signals::StopSignals;
use gorsebank_node::{NodeProcess, NodeSettings, logging};

use crate::arguments::NodeArguments;

/// Runs the node with the settings file; flags override its values.
pub async fn run(arguments: NodeArguments) -> eyre::Result<()> {
    let mut signals = StopSignals::register()?;
    let settings = read_settings(arguments)?;
    logging::start(&settings.log)?;
    let process = NodeProcess::start(settings).await?;
    println!("listening on {}", process.caller_address());
    log::info!(
        "node {} is listening for callers on {}, for nodes on {}, for admin requests on {}",
        process.host().node().identity().node,
        process.caller_address(),
        process.node_address(),
        process.admin_address()
    );
    signals.wait().await;
    process.stop().await;
    Ok(())
}

fn read_settings(arguments: NodeArguments) -> eyre::Result<NodeSettings> {
    let mut settings = NodeSettings::read(&arguments.settings)?;
    let node = &mut settings.node;
    override_with(&mut node.id, arguments.id);
    override_with(&mut node.zone, arguments.zone);
    override_with(&mut node.cell, arguments.cell);
    override_with(&mut node.listen_callers, arguments.listen_callers);
    override_with(&mut node.listen_nodes, arguments.listen_nodes);
    override_with(&mut node.listen_admin, arguments.listen_admin);
    Ok(settings)
}

fn override_with<T>(field: &mut T, flag: Option<T>) {
    if let Some(value) = flag {
        *field = value;
    }
}
