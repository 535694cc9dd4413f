//! The replay tool.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use gorsebank_replay::ablation::Ablation;
use gorsebank_replay::live::{self, Binaries};
use gorsebank_replay::run::{self, RunOptions, SeedRange};
use gorsebank_replay::scale::{self, ScaleOptions};
use gorsebank_replay::summary::Summary;

/// Replays recorded traces against stated outcomes.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play traces in virtual time.
    Run {
        /// Seeds A..B (B is not played).
        #[arg(long, default_value = "0..1")]
        seeds: SeedRange,
        /// Take a mechanism away.
        #[arg(long, value_enum)]
        without: Option<Ablation>,
        /// Play over real processes on loopback, once; the programs `gorsebank`
        /// and `gorsebank-standin` must be beside this one.
        #[arg(long)]
        live: bool,
        /// Print figures of the first seed of every trace.
        #[arg(long)]
        figures: bool,
        /// Traces, or directories of traces.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
    /// Run hollow nodes and print what each role costs, as JSON.
    Scale {
        /// Nodes.
        #[arg(long)]
        nodes: usize,
        /// Engines.
        #[arg(long)]
        runners: usize,
        /// Adapters.
        #[arg(long)]
        adapters: usize,
        /// Seconds of virtual time that are measured.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Milliseconds between two heartbeats.
        #[arg(long, default_value_t = 1_000)]
        heartbeat: u64,
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

/// Plays traces over real processes, one after another.
fn run_live(paths: &[PathBuf], figures: bool) -> eyre::Result<bool> {
    let runtime = tokio::runtime::Runtime::new()?;
    let binaries = Binaries::beside_this()?;
    let (mut passed, mut failed) = (0, 0);
    for trace in run::read_all(paths)? {
        let (history, violations) = runtime.block_on(live::play_live(binaries.clone(), &trace))?;
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
        if figures {
            println!("  {}", Summary::of(&history));
        }
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

/// Says whether all was well.
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
                figures,
                paths,
            })?)
        }
        Command::Scale {
            nodes,
            runners,
            adapters,
            seconds,
            seed,
            heartbeat,
        } => {
            let report = scale::run(ScaleOptions {
                nodes,
                runners,
                adapters,
                seconds,
                seed,
                heartbeat,
            });
            println!("{}", serde_json::to_string_pretty(&report)?);
            Ok(true)
        }
    }
}
