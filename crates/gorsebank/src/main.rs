//! The gorsebank program: `node`, `dev`, and the operators' commands.

mod admin_client;
mod arguments;
mod commands;
mod table_view;

use std::process::ExitCode;

use clap::Parser;

use crate::arguments::{Arguments, Command};

#[tokio::main]
async fn main() -> ExitCode {
    match run(Arguments::parse().command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> eyre::Result<()> {
    match command {
        Command::Node(arguments) => commands::node::run(arguments).await,
        Command::CheckSettings { file } => commands::check_settings::run(&file),
        Command::Dev(arguments) => commands::dev::run(arguments).await,
        Command::Get(arguments) => commands::get::run(arguments).await,
        Command::Apply(arguments) => commands::apply::run(arguments).await,
        Command::Label(arguments) => commands::label::run(arguments).await,
        Command::Delete(arguments) => commands::delete::run(arguments).await,
        Command::Status(arguments) => commands::status::run(arguments).await,
    }
}
