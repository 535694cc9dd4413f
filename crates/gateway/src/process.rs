//! Wires a gateway together, and runs it until it is told to stop.

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::lines::{self, Rank};
use crate::ports::Platform;
use crate::server::{self, Connections};
use crate::settings::{GatewaySettings, MetricsAddress};
use crate::shared::Shared;
use crate::{demand_writer, holder, watch};

/// How often a stopping process looks whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Runs a gateway until SIGTERM or SIGINT, then drains it.
pub async fn run(settings: GatewaySettings, platform: Arc<dyn Platform>) -> eyre::Result<()> {
    let callers = listen(settings.listen_callers).await?;
    let readiness = listen(settings.listen_readiness).await?;
    let figures = match &settings.metrics {
        Some(address) => listen_for_figures(address).await,
        None => None,
    };
    let fields = format_args!(
        "node={} zone={} callers={}",
        settings.node, settings.zone, settings.listen_callers
    );
    lines::write(Rank::Decision, "start", fields);
    let grace = settings.bounds.grace;
    let shared = Arc::new(Shared::new(settings, platform)?);
    watch::start(&shared);
    tokio::spawn(demand_writer::run(shared.clone()));
    tokio::spawn(holder::run(shared.clone()));
    serve_readiness(&shared, readiness);
    if let Some((listener, path)) = figures {
        serve_figures(&shared, listener, path);
    }
    let connections = Connections::default();
    tokio::spawn(server::serve_callers(
        shared.clone(),
        callers,
        connections.clone(),
    ));
    wait_for_stop().await?;
    lines::write(Rank::Decision, "stop", format_args!("phase=begun"));
    shared.stop();
    connections.drain(grace, DRAIN_POLL).await;
    lines::write(Rank::Decision, "stop", format_args!("phase=drained"));
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Figures are no reason not to serve.
async fn listen_for_figures(address: &MetricsAddress) -> Option<(TcpListener, String)> {
    match listen(address.listen).await {
        Ok(listener) => Some((listener, address.path.clone())),
        Err(error) => {
            lines::write(
                Rank::Decision,
                "no_figures",
                format_args!("error=\"{error:#}\""),
            );
            None
        }
    }
}

fn serve_readiness(shared: &Arc<Shared>, listener: TcpListener) {
    let shared = shared.clone();
    let path = shared.platform.readiness_path();
    let page = move |asked: &str| match (asked == path, shared.is_ready()) {
        (false, _) => (StatusCode::NOT_FOUND, Vec::new()),
        (true, true) => (StatusCode::OK, b"ready\n".to_vec()),
        (true, false) => (StatusCode::SERVICE_UNAVAILABLE, b"not ready\n".to_vec()),
    };
    tokio::spawn(server::serve_pages(listener, page));
}

fn serve_figures(shared: &Arc<Shared>, listener: TcpListener, path: String) {
    let shared = shared.clone();
    let page = move |asked: &str| {
        if asked != path {
            return (StatusCode::NOT_FOUND, Vec::new());
        }
        match shared.metrics.text() {
            Ok(text) => (StatusCode::OK, text),
            Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
        }
    };
    tokio::spawn(server::serve_pages(listener, page));
}

/// Returns on SIGTERM or SIGINT. SIGHUP is noted: what can change while a
/// process runs comes from the table, not from its settings file.
async fn wait_for_stop() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT")?;
    let mut hang_up = signal(SignalKind::hangup()).wrap_err("SIGHUP")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => {
                lines::write(Rank::Decision, "reload", format_args!("changed=nothing"));
            }
        }
    }
}
