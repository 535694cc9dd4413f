//! The gorsebank program: the servers `node`, `gateway` and `dev`, and commands for operators.

mod admin_client;
mod arguments;
mod commands;
mod table_view;

use std::process::ExitCode;

use clap::Parser;
use eyre::WrapErr;
use tokio::runtime::{Builder, Runtime};

use crate::arguments::{Arguments, Command};

fn main() -> ExitCode {
    let command = Arguments::parse().command;
    match build_runtime(&command).and_then(|runtime| runtime.block_on(run(command))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Builds the async runtime. A gateway is given a fraction of one core, so it runs on one thread:
/// several threads would only compete for that core.
fn build_runtime(command: &Command) -> eyre::Result<Runtime> {
    let mut builder = match command {
        Command::Gateway(_) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder
        .enable_all()
        .build()
        .wrap_err("cannot build the async runtime")
}

async fn run(command: Command) -> eyre::Result<()> {
    match command {
        Command::Node(arguments) => commands::node::run(arguments).await,
        Command::Gateway(arguments) => commands::gateway::run(arguments).await,
        Command::CheckSettings { file, gateway } => commands::check_settings::run(&file, gateway),
        Command::Dev(arguments) => commands::dev::run(arguments).await,
        Command::Get(arguments) => commands::get::run(arguments).await,
        Command::Apply(arguments) => commands::apply::run(arguments).await,
        Command::Label(arguments) => commands::label::run(arguments).await,
        Command::Delete(arguments) => commands::delete::run(arguments).await,
        Command::Status(arguments) => commands::status::run(arguments).await,
        Command::Explain(arguments) => commands::explain::run(&arguments),
        Command::Losses(arguments) => commands::losses::run(&arguments),
        Command::RefusedRows(arguments) => commands::refused_rows::run(&arguments),
    }
}
