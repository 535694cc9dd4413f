//! Runs one emulated service as a process: a table service, weight store, machine list, engine or
//! application service.
//!
//! The process prints `listening on ADDRESS` once it accepts connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use bytesize::ByteSize;
use clap::{Parser, Subcommand};
use eyre::{Context, eyre};
use gorsebank_contract::SourceTier;
use gorsebank_emulator::model::store::StoreSettings;
use gorsebank_emulator::server::application::ApplicationServer;
use gorsebank_emulator::server::engine::{EngineServer, EngineSettings, WeightSource};
use gorsebank_emulator::server::machine_list::MachineListServer;
use gorsebank_emulator::server::store::StoreServer;
use gorsebank_emulator::server::table::TableServer;
use gorsebank_emulator::server::{application, engine, machine_list, serve, store, table};
use gorsebank_world::Artifact;

/// Emulated platform services and back ends for tests of gorsebank.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Address to listen on.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    standin: Standin,
}

#[derive(Debug, Subcommand)]
enum Standin {
    /// The transactional table service (etcd v3 JSON gateway).
    Table,
    /// The rate-limited weight store.
    Store {
        /// Maximum number of loads that start per second.
        #[arg(long, default_value_t = 2.0)]
        starts_per_second: f64,
        /// Maximum number of concurrent loads at full speed.
        #[arg(long, default_value_t = 8)]
        concurrency: u32,
        /// Bandwidth of one load, in bytes per second.
        #[arg(long, default_value = "2GB")]
        bandwidth: ByteSize,
    },
    /// The machine list (Prometheus HTTP service discovery).
    Machines {
        /// JSON file with the initial list.
        #[arg(long)]
        file: PathBuf,
        /// Delay after which a changed list becomes visible.
        #[arg(long, default_value = "3s")]
        lag: humantime::Duration,
    },
    /// A model engine.
    Engine {
        /// Address of the weight store.
        #[arg(long)]
        store: SocketAddr,
        /// Accelerator memory.
        #[arg(long, default_value = "80GiB")]
        memory: ByteSize,
        /// Maximum number of requests in a batch.
        #[arg(long, default_value_t = 16)]
        slots: u32,
        /// Time until the first token.
        #[arg(long, default_value = "100ms")]
        prefill: humantime::Duration,
        /// Time between tokens.
        #[arg(long, default_value = "20ms")]
        token: humantime::Duration,
        /// Checkpoint that is on the machine's disk at the start, such as `model@1`.
        #[arg(long)]
        on_disk: Vec<Artifact>,
        /// Print each event of the engine as a line of JSON.
        #[arg(long)]
        print_history: bool,
    },
    /// An application service.
    Application {
        /// Print each executed request as a line of JSON.
        #[arg(long)]
        print_history: bool,
    },
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let arguments = Arguments::parse();
    let listener = serve::bind(arguments.listen)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", arguments.listen))?;
    println!("listening on {}", listener.local_addr()?);
    let task = serve::start(listener, router(arguments.standin)?);
    task.await.map_err(|error| eyre!("server failed: {error}"))
}

fn router(standin: Standin) -> eyre::Result<Router> {
    Ok(match standin {
        Standin::Table => table::router(Arc::new(TableServer::default())),
        Standin::Store {
            starts_per_second,
            concurrency,
            bandwidth,
        } => store::router(Arc::new(StoreServer::new(StoreSettings {
            starts_per_second,
            concurrency,
            bandwidth: bandwidth.as_u64(),
        }))),
        Standin::Machines { file, lag } => {
            let text = std::fs::read_to_string(&file)
                .wrap_err_with(|| format!("cannot read {}", file.display()))?;
            let groups = serde_json::from_str(&text)
                .wrap_err_with(|| format!("{} is not a machine list", file.display()))?;
            let server = MachineListServer::new(groups, lag.into());
            machine_list::router(Arc::new(server))
        }
        Standin::Engine {
            store,
            memory,
            slots,
            prefill,
            token,
            on_disk,
            print_history,
        } => {
            let cached: BTreeMap<Artifact, SourceTier> = on_disk
                .into_iter()
                .map(|artifact| (artifact, SourceTier::Disk))
                .collect();
            let settings = EngineSettings {
                memory: memory.as_u64(),
                slots,
                prefill: Duration::from(prefill),
                token_interval: Duration::from(token),
                disk_bandwidth: 4_000_000_000,
                memory_bandwidth: 20_000_000_000,
                cached,
            };
            let server = EngineServer::new(settings, WeightSource::Remote(store));
            if print_history {
                server.print_history();
            }
            engine::router(Arc::new(server))
        }
        Standin::Application { print_history } => {
            let server = ApplicationServer::new(print_history);
            application::router(Arc::new(server))
        }
    })
}
