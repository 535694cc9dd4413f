//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use gorsebank_world::{CellId, NodeId, RowKind, ZoneId};

/// Serves rarely used language models: many models on few accelerators.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a node.
    Node(NodeArguments),
    /// Run a gateway on the users' platform.
    Gateway(GatewayArguments),
    /// Check a settings file.
    CheckSettings {
        /// The file.
        file: PathBuf,
        /// It is a gateway's file, filled by the users' platform.
        #[arg(long)]
        gateway: bool,
    },
    /// Run a node with an embedded platform and two emulated engines.
    Dev(DevArguments),
    /// Show configuration rows.
    Get(GetArguments),
    /// Create or replace configuration rows from a file.
    Apply(ApplyArguments),
    /// Set or remove labels of a row.
    Label(LabelArguments),
    /// Delete a row.
    Delete(DeleteArguments),
    /// Show a node's state.
    Status(StatusArguments),
    /// Tell a request's way through gateways, from their logs.
    Explain(ExplainArguments),
    /// Tell which requests of a day were late, refused or failed, and why, from logs.
    Losses(LossesArguments),
    /// List rows of tables that gateways could not use, from their logs.
    RefusedRows(RefusedRowsArguments),
}

/// Arguments of `node`. Flags go before the file.
#[derive(Debug, Args)]
pub struct NodeArguments {
    /// Settings file (TOML).
    #[arg(long)]
    pub settings: PathBuf,
    /// The node's name.
    #[arg(long)]
    pub id: Option<NodeId>,
    /// The node's zone.
    #[arg(long)]
    pub zone: Option<ZoneId>,
    /// The node's cell.
    #[arg(long)]
    pub cell: Option<CellId>,
    /// Address for callers.
    #[arg(long)]
    pub listen_callers: Option<SocketAddr>,
    /// Address for other nodes.
    #[arg(long)]
    pub listen_nodes: Option<SocketAddr>,
    /// Address for operators.
    #[arg(long)]
    pub listen_admin: Option<SocketAddr>,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArguments {
    /// The request's id.
    pub request: String,
    /// Log files of any number of gateways.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `losses`.
#[derive(Debug, Args)]
pub struct LossesArguments {
    /// Requests that are named for each cause.
    #[arg(long, default_value_t = 2)]
    pub examples: usize,
    /// Log files of all gateways.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `refused-rows`.
#[derive(Debug, Args)]
pub struct RefusedRowsArguments {
    /// Log files of any number of gateways.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `gateway`.
#[derive(Debug, Args)]
pub struct GatewayArguments {
    /// Settings file, as the platform fills it; by default the one that the
    /// platform names in the environment.
    #[arg(long)]
    pub settings: Option<PathBuf>,
    /// Port and path at which figures are served, such as `9100/metrics`.
    #[arg(long)]
    pub metrics: Option<String>,
}

/// Arguments of `dev`.
#[derive(Debug, Args)]
pub struct DevArguments {
    /// Address for callers.
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub listen: SocketAddr,
    /// Address for operators.
    #[arg(long, default_value = "127.0.0.1:9080")]
    pub listen_admin: SocketAddr,
}

/// How results are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// A table for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Which node to ask, and how to show the result.
#[derive(Debug, Args)]
pub struct Connection {
    /// Admin address of any node.
    #[arg(long, env = "GORSEBANK_NODE", default_value = "127.0.0.1:9080")]
    pub node: SocketAddr,
    /// How results are shown.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    pub output: Output,
}

/// Arguments of `get`.
#[derive(Debug, Args)]
pub struct GetArguments {
    /// deployment, model, version, adapter or back_end.
    pub kind: RowKind,
    /// One row by name.
    pub name: Option<String>,
    /// Rows whose labels match, such as `team=call-centre,!retired`.
    #[arg(long, short = 'l', conflicts_with = "name")]
    pub selector: Option<String>,
    /// Which node to ask.
    #[command(flatten)]
    pub connection: Connection,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArguments {
    /// JSON file with one row or a list of rows: kind, name, labels, spec.
    #[arg(long, short = 'f')]
    pub file: PathBuf,
    /// The version that the row must have (0: it must not exist).
    #[arg(long)]
    pub version: Option<u64>,
    /// Which node to ask.
    #[command(flatten)]
    pub connection: Connection,
}

/// Arguments of `label`.
#[derive(Debug, Args)]
pub struct LabelArguments {
    /// deployment, model, version, adapter or back_end.
    pub kind: RowKind,
    /// The row's name.
    pub name: String,
    /// `key=value` sets a label, `key-` removes it.
    #[arg(required = true)]
    pub labels: Vec<String>,
    /// The version that the row must have.
    #[arg(long)]
    pub version: Option<u64>,
    /// Which node to ask.
    #[command(flatten)]
    pub connection: Connection,
}

/// Arguments of `delete`.
#[derive(Debug, Args)]
pub struct DeleteArguments {
    /// deployment, model, version, adapter or back_end.
    pub kind: RowKind,
    /// The row's name.
    pub name: String,
    /// The version that the row must have.
    #[arg(long)]
    pub version: Option<u64>,
    /// Which node to ask.
    #[command(flatten)]
    pub connection: Connection,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArguments {
    /// Which node to ask.
    #[command(flatten)]
    pub connection: Connection,
}
