//! Command line of `gorsebank-replay`: replays, records, generates and compares
//! traces.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use eyre::Context;
use gorsebank_replay::ablation::Ablation;
use gorsebank_replay::compare::{self, Policy, PolicyMetrics};
use gorsebank_replay::generate::{self, Deployment};
use gorsebank_replay::live::{self, Binaries};
use gorsebank_replay::record::{self, RecordOptions};
use gorsebank_replay::run::{self, RunOptions, SeedRange};
use gorsebank_replay::summary::Summary;
use gorsebank_replay::trace::Trace;
use rayon::prelude::*;
use tokio::net::TcpListener;

/// Replays recorded traces against stated outcomes.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Replay traces in virtual time.
    Run {
        /// Range of seeds A..B, without B.
        #[arg(long, default_value = "0..1")]
        seeds: SeedRange,
        /// Disable a mechanism of the system.
        #[arg(long, value_enum)]
        without: Option<Ablation>,
        /// Replay once over real processes on loopback. The programs `gorsebank` and
        /// `gorsebank-standin` must be in the directory of this program.
        #[arg(long)]
        live: bool,
        /// Print a summary of the first seed of every trace.
        #[arg(long)]
        figures: bool,
        /// Traces, or directories of traces.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
    /// Record a trace from callers that send their requests to this program instead
    /// of a node.
    Record {
        /// Address at which the program accepts requests of callers.
        #[arg(long, default_value = "127.0.0.1:8070")]
        listen: SocketAddr,
        /// Address of the node that requests are forwarded to.
        #[arg(long)]
        node: SocketAddr,
        /// Trace whose header is copied into the recorded trace.
        #[arg(long)]
        header: PathBuf,
        /// File to which the recorded trace is written.
        #[arg(long)]
        out: PathBuf,
    },
    /// Generate a trace of one day for a deployment of present size.
    Generate {
        /// Deployment for which the trace is generated.
        #[arg(long, value_enum)]
        deployment: Deployment,
        /// Seed of the generator.
        #[arg(long)]
        seed: u64,
    },
    /// Compare placement policies on the same traces.
    Compare {
        /// Seed of the replay.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Keep-alive times of the baselines.
        #[arg(long, value_delimiter = ',', default_value = "2m,10m,30m,2h")]
        keep_alive: Vec<humantime::Duration>,
        /// Weights of cold starts for further runs of the policy of gorsebank, in
        /// addition to the weight that the trace states.
        #[arg(long, value_delimiter = ',')]
        weights: Vec<f64>,
        /// Traces, or directories of traces.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn record_at(listen: SocketAddr, options: &RecordOptions) -> eyre::Result<()> {
    let listener = TcpListener::bind(listen)
        .await
        .wrap_err_with(|| format!("cannot listen on {listen}"))?;
    println!("listening on {}", listener.local_addr()?);
    record::record(listener, options, wait_for_stop_signal()).await
}

/// Returns on SIGINT or SIGTERM.
async fn wait_for_stop_signal() {
    use tokio::signal::unix::{SignalKind, signal};

    let (Ok(mut interrupt), Ok(mut terminate)) = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) else {
        return;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

/// Replays traces over real processes, one after another. Returns whether all
/// passed.
fn run_live(paths: &[PathBuf], print_summary: bool) -> eyre::Result<bool> {
    let runtime = tokio::runtime::Runtime::new()?;
    let binaries = Binaries::find_beside_executable()?;
    let (mut passed, mut failed) = (0, 0);
    for trace in run::read_traces(paths)? {
        let (history, violations) =
            runtime.block_on(live::replay_live(binaries.clone(), &trace))?;
        let name = &trace.header.trace;
        if violations.is_empty() {
            passed += 1;
            println!("ok     {name} (live)");
        } else {
            failed += 1;
            println!("FAILED {name} (live)");
            for violation in &violations {
                println!("  {violation}");
            }
        }
        if print_summary {
            println!("  {}", Summary::of(&history));
        }
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

/// Prints the metrics of every policy on a trace.
fn compare_on(trace: &Trace, policies: &[Policy], seed: u64) {
    let metrics: Vec<PolicyMetrics> = policies
        .par_iter()
        .map(|policy| compare::run_policy(trace, *policy, seed))
        .collect();
    println!("{} ({})", trace.header.trace, trace.header.about);
    println!(
        "{:<20} {:>6} {:>8} {:>8} {:>8} {:>8} {:>10} {:>8} {:>6} {:>6}",
        "policy",
        "cold",
        "p50 ms",
        "p99 ms",
        "max ms",
        "all p99",
        "idle hours",
        "refused",
        "failed",
        "loads"
    );
    for (policy, metrics) in policies.iter().zip(metrics) {
        println!(
            "{:<20} {:>6} {:>8} {:>8} {:>8} {:>8} {:>10.1} {:>8} {:>6} {:>6}",
            policy.to_string(),
            metrics.cold_requests,
            metrics.cold_p50,
            metrics.cold_p99,
            metrics.cold_max,
            metrics.all_p99,
            metrics.idle_hours,
            metrics.refusals,
            metrics.failures,
            metrics.loads
        );
    }
}

/// Executes a command. Returns whether all replays passed.
fn execute(command: Command) -> eyre::Result<bool> {
    match command {
        Command::Run {
            seeds,
            without,
            live,
            figures,
            paths,
        } => {
            if live {
                return run_live(&paths, figures);
            }
            Ok(run::run(&RunOptions {
                seeds,
                without,
                print_summary: figures,
                paths,
            })?)
        }
        Command::Record {
            listen,
            node,
            header,
            out,
        } => {
            let options = RecordOptions { node, header, out };
            let runtime = tokio::runtime::Runtime::new()?;
            runtime.block_on(record_at(listen, &options))?;
            Ok(true)
        }
        Command::Generate { deployment, seed } => {
            for line in generate::generate_day(deployment, seed) {
                println!("{line}");
            }
            Ok(true)
        }
        Command::Compare {
            seed,
            keep_alive,
            weights,
            paths,
        } => {
            let mut policies = vec![Policy::Gorsebank(None)];
            policies.extend(
                weights
                    .into_iter()
                    .map(|weight| Policy::Gorsebank(Some(weight))),
            );
            for keep in keep_alive.into_iter().map(Duration::from) {
                policies.push(Policy::FixedKeepAlive(keep));
                policies.push(Policy::IndependentRouters(keep));
                policies.push(Policy::Clairvoyant(keep));
            }
            for trace in run::read_traces(&paths)? {
                compare_on(&trace, &policies, seed);
            }
            Ok(true)
        }
    }
}
