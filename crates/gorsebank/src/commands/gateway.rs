//! `gorsebank gateway`: runs a gateway on the users' platform.

use std::io::{Write, stderr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_gateway::event_log;
use gorsebank_gateway::signals::GatewaySignals;
use gorsebank_platform::{NodeSettings, SettingsError, UsersPlatform, settings_path};
use tokio::time::{Instant, sleep};

use crate::arguments::GatewayArguments;

/// Time for which a settings file that cannot be read is read again: it may be written just now.
const SETTINGS_WAIT: Duration = Duration::from_secs(2);
/// Pause between two reads of the settings file.
const SETTINGS_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Runs the gateway until it receives a signal to stop.
pub async fn run(arguments: GatewayArguments) -> eyre::Result<()> {
    let mut signals = GatewaySignals::register()?;
    let path = match arguments.settings {
        Some(path) => path,
        None => settings_path()?,
    };
    let settings = tokio::select! {
        biased;
        () = signals.wait_for_stop() => return Ok(()),
        settings = read_settings(&path, arguments.metrics.as_deref()) => settings?,
    };
    if let Err(error) = event_log::start(settings.gateway.node.as_str()) {
        // A closed standard error is no reason to end either.
        let _ = writeln!(stderr(), "the gateway runs without its log: {error:#}");
    }
    event_log::log_panics();
    let platform = Arc::new(UsersPlatform::new(&settings));
    let result = gorsebank_gateway::run(settings.gateway, platform, signals).await;
    event_log::flush();
    result
}

/// Reads the settings file, and reads it again for a short time while it is missing or invalid.
async fn read_settings(path: &Path, metrics: Option<&str>) -> Result<NodeSettings, SettingsError> {
    let until = Instant::now() + SETTINGS_WAIT;
    loop {
        let result = NodeSettings::read(path, metrics);
        if result.is_ok() || Instant::now() >= until {
            return result;
        }
        sleep(SETTINGS_RETRY_PAUSE).await;
    }
}
