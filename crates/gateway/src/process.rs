//! Starts the tasks of a gateway and runs them until the process is told to stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::OptionFuture;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::demand_rows::AbortOnDrop;
use crate::event_log::{self, LogPriority};
use crate::listener::{listen, listen_optional};
use crate::ports::Platform;
use crate::server::{self, CallerConnections};
use crate::settings::GatewaySettings;
use crate::shared::Shared;
use crate::signals::GatewaySignals;
use crate::tenant_quotas::{refunds, shards};
use crate::{
    demand_sender, feed, holder, members, quarantine, quarantine_row, relay, stream_origins,
    suspension, table_followers, timer_lag, version_history_row,
};

/// Interval at which a stopping process checks whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// A running gateway.
pub struct Gateway {
    shared: Arc<Shared>,
    connections: CallerConnections,
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Opens the listeners and starts all tasks.
    pub async fn start(
        settings: GatewaySettings,
        platform: Arc<dyn Platform>,
    ) -> eyre::Result<Self> {
        Gateway::start_with_clock(Clock::default(), settings, platform).await
    }

    /// Same as [`Gateway::start`], with a given clock.
    pub async fn start_with_clock(
        clock: Clock,
        mut settings: GatewaySettings,
        platform: Arc<dyn Platform>,
    ) -> eyre::Result<Self> {
        let metrics = settings.metrics.as_ref().map(|it| it.listen);
        let (caller_listener, readiness_listener, metrics_listener, relay_listener) = tokio::join!(
            listen(settings.listen_callers),
            listen(settings.listen_readiness),
            OptionFuture::from(metrics.map(|address| listen_optional(address, "figures"))),
            OptionFuture::from(
                settings
                    .relay
                    .map(|address| listen_optional(address, "relay"))
            ),
        );
        let (caller_listener, readiness_listener) = (caller_listener?, readiness_listener?);
        let metrics_listener = metrics_listener.flatten();
        let relay_listener = relay_listener.flatten();
        // Other gateways receive the address that is actually bound, or none.
        settings.relay = relay_listener.as_ref().and_then(|it| it.local_addr().ok());
        let fields = format_args!(
            "node={} zone={} callers={}",
            settings.node, settings.zone, settings.listen_callers
        );
        event_log::write(LogPriority::Decision, "start", fields);
        let shared = Arc::new(Shared::new(clock, settings, platform)?);
        let mut gateway = Gateway {
            connections: CallerConnections::default(),
            caller_address: caller_listener.local_addr()?,
            readiness_address: readiness_listener.local_addr()?,
            tasks: table_followers::start(&shared),
            shared,
        };
        gateway.spawn_tasks(caller_listener, readiness_listener);
        gateway.spawn_optional_servers(metrics_listener, relay_listener);
        Ok(gateway)
    }

    fn spawn_tasks(&mut self, caller_listener: TcpListener, readiness_listener: TcpListener) {
        let shared = &self.shared;
        let connections = self.connections.clone();
        let serving = server::serve_callers(shared.clone(), caller_listener, connections);
        self.tasks.push(tokio::spawn(serving));
        self.tasks
            .push(tokio::spawn(suspension::detect_suspensions(shared.clone())));
        let measuring = timer_lag::measure(shared.timer_lag_average());
        self.tasks.push(tokio::spawn(measuring));
        self.tasks
            .push(tokio::spawn(run_member_tasks(shared.clone())));
        let initial_read_timeout = quarantine_row::enforce_initial_read_timeout(shared.clone());
        self.tasks.push(tokio::spawn(initial_read_timeout));
        self.tasks.push(serve_readiness(shared, readiness_listener));
    }

    /// Starts the servers that callers do not depend on.
    fn spawn_optional_servers(
        &mut self,
        metrics_listener: Option<TcpListener>,
        relay_listener: Option<TcpListener>,
    ) {
        let shared = &self.shared;
        if let (Some(listener), Some(address)) = (metrics_listener, &shared.settings.metrics) {
            let path = address.path.clone();
            self.tasks.push(serve_metrics(shared, listener, path));
        }
        if let Some(listener) = relay_listener {
            let serving = relay::serve(listener, shared.clone());
            self.tasks.push(tokio::spawn(serving));
        }
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address of the readiness endpoint.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    /// Address at which this gateway relays table calls for other gateways.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        self.shared.settings.relay
    }

    /// Performs a planned stop: the gateway reports that it is not ready from now on. Returns when
    /// every request has ended.
    pub async fn drain(&self) {
        event_log::write(LogPriority::Decision, "stop", format_args!("phase=begun"));
        self.shared.stop();
        self.shared.links.announce_stop();
        self.shared.stream_origins.hand_over(self.shared.now());
        tokio::spawn(members::remove_own_row(self.shared.clone()));
        let grace = self.shared.settings.bounds.shutdown_grace;
        self.connections.drain(grace, DRAIN_POLL).await;
        self.shared.links.drain_tunnels(DRAIN_POLL).await;
        event_log::write(LogPriority::Decision, "stop", format_args!("phase=drained"));
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Runs a gateway until SIGTERM or SIGINT, then drains it. A signal during the start ends the start.
pub async fn run(
    settings: GatewaySettings,
    platform: Arc<dyn Platform>,
    mut signals: GatewaySignals,
) -> eyre::Result<()> {
    let gateway = tokio::select! {
        biased;
        () = signals.wait_for_stop() => {
            let fields = format_args!("phase=not_started");
            event_log::write(LogPriority::Decision, "stop", fields);
            return Ok(());
        }
        gateway = Gateway::start(settings, platform) => gateway?,
    };
    signals.wait_for_stop().await;
    signals.log_until(gateway.drain()).await;
    Ok(())
}

/// Registers this gateway as a member, then runs the tasks in which gateways cooperate, until the
/// future is dropped.
async fn run_member_tasks(shared: Arc<Shared>) {
    members::join(&shared).await;
    let tasks = [
        tokio::spawn(feed::table_sync::run(shared.clone())),
        tokio::spawn(demand_sender::run(shared.clone())),
        tokio::spawn(quarantine::send_to_parents(shared.clone())),
        tokio::spawn(quarantine_row::write_local_entries(shared.clone())),
        tokio::spawn(holder::run(shared.clone())),
        tokio::spawn(shards::run(shared.clone())),
        tokio::spawn(refunds::run(shared.clone())),
        tokio::spawn(send_stream_origins(shared.clone())),
        tokio::spawn(version_history_row::maintain(shared.clone())),
        tokio::spawn(members::maintain_own_row(shared)),
    ]
    .map(AbortOnDrop);
    std::future::pending::<()>().await;
    drop(tasks);
}

async fn send_stream_origins(shared: Arc<Shared>) {
    let client = shared.table().client();
    stream_origins::send_records(&shared.stream_origins, client, shared.as_ref()).await;
}

fn serve_readiness(shared: &Arc<Shared>, listener: TcpListener) -> JoinHandle<()> {
    let shared = shared.clone();
    let path = shared.platform.readiness_path();
    let respond = move |requested_path: &str| match (requested_path == path, shared.is_ready()) {
        (false, _) => (StatusCode::NOT_FOUND, Vec::new()),
        (true, true) => (StatusCode::OK, b"ready\n".to_vec()),
        (true, false) => (StatusCode::SERVICE_UNAVAILABLE, b"not ready\n".to_vec()),
    };
    tokio::spawn(server::serve_pages(listener, respond))
}

fn serve_metrics(shared: &Arc<Shared>, listener: TcpListener, path: String) -> JoinHandle<()> {
    let shared = shared.clone();
    let respond = move |requested_path: &str| {
        if requested_path != path {
            return (StatusCode::NOT_FOUND, Vec::new());
        }
        match shared.metrics.encode() {
            Ok(text) => (StatusCode::OK, text),
            Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
        }
    };
    tokio::spawn(server::serve_pages(listener, respond))
}
