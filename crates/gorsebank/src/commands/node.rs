//! `gorsebank node`: runs a node until SIGTERM or SIGINT, then drains it.

use eyre::Context;
use gorsebank_node::{NodeProcess, NodeSettings, logging};
use tokio::signal::unix::{SignalKind, signal};

use crate::arguments::NodeArguments;

/// Runs the node.
pub async fn run(arguments: NodeArguments) -> eyre::Result<()> {
    let settings = settings(arguments)?;
    logging::start(&settings.log)?;
    let process = NodeProcess::start(settings).await?;
    println!("listening on {}", process.callers());
    log::info!(
        "node {} listens for callers on {}, for nodes on {}, for operators on {}",
        process.host().node().identity().node,
        process.callers(),
        process.nodes(),
        process.admin()
    );
    wait_for_stop().await?;
    process.stop().await;
    Ok(())
}

fn settings(arguments: NodeArguments) -> eyre::Result<NodeSettings> {
    let mut settings = NodeSettings::read(&arguments.settings)?;
    let node = &mut settings.node;
    replace(&mut node.id, arguments.id);
    replace(&mut node.zone, arguments.zone);
    replace(&mut node.cell, arguments.cell);
    replace(&mut node.listen_callers, arguments.listen_callers);
    replace(&mut node.listen_nodes, arguments.listen_nodes);
    replace(&mut node.listen_admin, arguments.listen_admin);
    Ok(settings)
}

fn replace<T>(field: &mut T, flag: Option<T>) {
    if let Some(value) = flag {
        *field = value;
    }
}

/// Returns on SIGTERM or SIGINT.
pub async fn wait_for_stop() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
