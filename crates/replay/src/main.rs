//! The replay tool.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use gorsebank_replay::ablation::Ablation;
use gorsebank_replay::run::{self, RunOptions, SeedRange};

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
        /// Print figures of the first seed of every trace.
        #[arg(long)]
        figures: bool,
        /// Traces, or directories of traces.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
}

fn main() -> ExitCode {
    let Command::Run {
        seeds,
        without,
        figures,
        paths,
    } = Arguments::parse().command;
    match run::run(&RunOptions {
        seeds,
        without,
        figures,
        paths,
    }) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
