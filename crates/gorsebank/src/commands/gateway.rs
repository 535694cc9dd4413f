//! `gorsebank gateway`: runs a gateway on the users' platform.

use std::sync::Arc;

use gorsebank_gateway::event_log;
use gorsebank_gateway::signals::GatewaySignals;
use gorsebank_platform::{NodeSettings, UsersPlatform, settings_path};

use crate::arguments::GatewayArguments;

/// Runs the gateway until it receives a signal to stop.
pub async fn run(arguments: GatewayArguments) -> eyre::Result<()> {
    let signals = GatewaySignals::register()?;
    let path = match arguments.settings {
        Some(path) => path,
        None => settings_path()?,
    };
    let settings = NodeSettings::read(&path, arguments.metrics.as_deref())?;
    event_log::start(settings.gateway.node.as_str())?;
    let platform = Arc::new(UsersPlatform::new(&settings));
    let result = gorsebank_gateway::run(settings.gateway, platform, signals).await;
    event_log::flush();
    result
}
