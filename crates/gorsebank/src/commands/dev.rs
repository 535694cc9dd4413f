//! `gorsebank dev`: runs a node, an embedded platform, two emulated engines and an application
//! service in one process, for requests by hand, as with `curl`.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use eyre::{Context, bail};
use gorsebank_clients::machine_list::TargetGroup;
use gorsebank_emulator::model::store::StoreSettings;
use gorsebank_emulator::server::application::ApplicationServer;
use gorsebank_emulator::server::engine::{EngineServer, EngineSettings, WeightSource};
use gorsebank_emulator::server::machine_list::MachineListServer;
use gorsebank_emulator::server::store::StoreServer;
use gorsebank_emulator::server::table::TableServer;
use gorsebank_emulator::server::{application, engine, machine_list, serve, table};
use gorsebank_gateway::signals::StopSignals;
use gorsebank_node::admin::probes::StatusReport;
use gorsebank_node::{NodeProcess, NodeSettings, logging};
use http::Method;

use crate::admin_client::AdminClient;
use crate::arguments::DevArguments;
use crate::commands::apply;

/// The initial configuration, a JSON list of rows.
const INITIAL_ROWS: &str = include_str!("dev_rows.json");
/// Time within which the node must acquire the placement lease.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const ENGINE_COUNT: u32 = 2;
const ENGINE_MEMORY: &str = "24GiB";
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Runs all services until SIGTERM or SIGINT. A signal during the start ends the start.
pub async fn run(arguments: DevArguments) -> eyre::Result<()> {
    let mut signals = StopSignals::register()?;
    let process = tokio::select! {
        biased;
        _ = signals.wait() => return Ok(()),
        process = start(arguments) => process?,
    };
    println!("listening on {}", process.caller_address());
    signals.wait().await;
    process.stop().await;
    Ok(())
}

/// Starts all services and writes the initial configuration.
async fn start(arguments: DevArguments) -> eyre::Result<NodeProcess> {
    let machines = start_back_ends().await?;
    let (table, _) =
        serve::serve(ANY_PORT, table::router(Arc::new(TableServer::default()))).await?;
    let list = Arc::new(MachineListServer::new(machines, Duration::ZERO));
    let (list, _) = serve::serve(ANY_PORT, machine_list::router(list)).await?;
    let settings = build_settings(&arguments, table, list)?;
    logging::start(&settings.log)?;
    let process = NodeProcess::start(settings).await?;
    write_initial_rows(process.admin_address()).await?;
    Ok(process)
}

/// Starts the engines and the application service. Returns their entries of the machine list.
async fn start_back_ends() -> eyre::Result<Vec<TargetGroup>> {
    let store = Arc::new(StoreServer::new(StoreSettings {
        starts_per_second: 2.0,
        concurrency: 8,
        bandwidth: 4_000_000_000,
    }));
    let mut machines = Vec::new();
    for number in 1..=ENGINE_COUNT {
        let source = WeightSource::Embedded(Arc::clone(&store));
        let server = Arc::new(EngineServer::new(engine_settings(), source));
        let (address, _) = serve::serve(ANY_PORT, engine::router(server)).await?;
        let id = format!("engine-{number}");
        machines.push(target_group(address, &id, "engine", "engines"));
    }
    let server = Arc::new(ApplicationServer::default());
    let (address, _) = serve::serve(ANY_PORT, application::router(server)).await?;
    machines.push(target_group(address, "echo-1", "application", "echo"));
    Ok(machines)
}

fn engine_settings() -> EngineSettings {
    EngineSettings {
        memory: 24 << 30,
        slots: 16,
        prefill: Duration::from_millis(80),
        token_interval: Duration::from_millis(20),
        disk_bandwidth: 8_000_000_000,
        memory_bandwidth: 40_000_000_000,
        cached: BTreeMap::new(),
    }
}

fn target_group(address: SocketAddr, id: &str, role: &str, service: &str) -> TargetGroup {
    let labels = [
        ("id", id),
        ("role", role),
        ("service", service),
        ("zone", "dev-a"),
        ("memory", ENGINE_MEMORY),
        ("slots", "16"),
        ("state", "live"),
    ];
    TargetGroup {
        targets: vec![address.to_string()],
        labels: labels
            .into_iter()
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect(),
    }
}

fn build_settings(
    arguments: &DevArguments,
    table: SocketAddr,
    list: SocketAddr,
) -> eyre::Result<NodeSettings> {
    let text = format!(
        r#"
        [node]
        id = "dev"
        zone = "dev-a"
        cell = "dev"
        listen_callers = "{callers}"
        listen_nodes = "127.0.0.1:0"
        listen_admin = "{admin}"

        [platform]
        tables = ["{table}"]
        machine_list = "{list}"

        [membership]
        heartbeat_interval = "100ms"

        [drain]
        linger = "100ms"

        [log]
        filter = "warn"
        "#,
        callers = arguments.listen,
        admin = arguments.listen_admin,
    );
    NodeSettings::parse(&text).wrap_err("the built-in settings of `dev` are not valid")
}

/// Waits until the node holds the placement lease, then writes the initial configuration.
async fn write_initial_rows(admin: SocketAddr) -> eyre::Result<()> {
    let client = AdminClient::new(admin);
    let started = tokio::time::timeout(START_TIMEOUT, wait_for_holder(&client)).await;
    if started.is_err() {
        bail!("the node did not start within {START_TIMEOUT:?}");
    }
    for row in apply::parse_rows(INITIAL_ROWS)? {
        apply::apply(&client, row, None).await?;
    }
    Ok(())
}

async fn wait_for_holder(client: &AdminClient) {
    loop {
        let report = client
            .call::<(), StatusReport>(Method::GET, "/v1/status", None)
            .await;
        if report.is_ok_and(|report| report.holder.is_some()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
