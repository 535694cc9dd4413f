//! Command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use gorsebank_world::{CellId, NodeId, RowKind, ZoneId};

/// Serves rarely used language models: many models on few accelerators.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Arguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a node.
    Node(NodeArguments),
    /// Run a gateway on the users' platform.
    Gateway(GatewayArguments),
    /// Check a settings file without starting anything.
    CheckSettings {
        /// Settings file (TOML for a node).
        file: PathBuf,
        /// Read the file as a gateway's settings, which the users' platform fills in.
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
    /// Show a request's path through the gateways and the cause of its outcome, from their logs.
    Explain(ExplainArguments),
    /// Summarize by route and cause which requests were late, refused or failed, from gateways'
    /// logs.
    Losses(LossesArguments),
    /// List the table rows that gateways could not parse, from their logs.
    RefusedRows(RefusedRowsArguments),
}

/// Arguments of `node`. Flags take precedence over the settings file.
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
    /// Listen address for callers.
    #[arg(long)]
    pub listen_callers: Option<SocketAddr>,
    /// Listen address for other nodes.
    #[arg(long)]
    pub listen_nodes: Option<SocketAddr>,
    /// Listen address of the admin interface.
    #[arg(long)]
    pub listen_admin: Option<SocketAddr>,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArguments {
    /// The id of the request.
    pub request: String,
    /// Log files of one or more gateways.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `losses`.
#[derive(Debug, Args)]
pub struct LossesArguments {
    /// Number of example requests to show for each cause.
    #[arg(long, default_value_t = 2)]
    pub examples: usize,
    /// Log files of all gateways.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `refused-rows`.
#[derive(Debug, Args)]
pub struct RefusedRowsArguments {
    /// Log files of one or more gateways.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Arguments of `gateway`.
#[derive(Debug, Args)]
pub struct GatewayArguments {
    /// Settings file that the users' platform fills in. The default is the file that the platform
    /// names in the environment.
    #[arg(long)]
    pub settings: Option<PathBuf>,
    /// Port and path at which metrics are served, such as `9100/metrics`.
    #[arg(long)]
    pub metrics: Option<String>,
}

/// Arguments of `dev`.
#[derive(Debug, Args)]
pub struct DevArguments {
    /// Listen address for callers.
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub listen: SocketAddr,
    /// Listen address of the admin interface.
    #[arg(long, default_value = "127.0.0.1:9080")]
    pub listen_admin: SocketAddr,
}

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// A text table.
    Table,
    /// JSON.
    Json,
}

/// The node that a command calls, and the output format.
#[derive(Debug, Args)]
pub struct Connection {
    /// Admin address of any node.
    #[arg(long, env = "GORSEBANK_NODE", default_value = "127.0.0.1:9080")]
    pub node: SocketAddr,
    /// Output format.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    pub output: Output,
}

/// Arguments of `get`.
#[derive(Debug, Args)]
pub struct GetArguments {
    /// Kind of the row: deployment, model, version, adapter or back_end.
    pub kind: RowKind,
    /// Name of a single row.
    pub name: Option<String>,
    /// Show only the rows whose labels match, such as `team=call-centre,!retired`.
    #[arg(long, short = 'l', conflicts_with = "name")]
    pub selector: Option<String>,
    /// The node to call, and the output format.
    #[command(flatten)]
    pub connection: Connection,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArguments {
    /// JSON file with one row or a list of rows. A row has a name, labels and a spec, which
    /// contains the kind.
    #[arg(long, short = 'f')]
    pub file: PathBuf,
    /// Apply only if the row has this version (0: only if it does not exist).
    #[arg(long)]
    pub version: Option<u64>,
    /// The node to call, and the output format.
    #[command(flatten)]
    pub connection: Connection,
}

/// Arguments of `label`.
#[derive(Debug, Args)]
pub struct LabelArguments {
    /// Kind of the row: deployment, model, version, adapter or back_end.
    pub kind: RowKind,
    /// Name of the row.
    pub name: String,
    /// `key=value` sets a label, `key-` removes it.
    #[arg(required = true)]
    pub labels: Vec<String>,
    /// Change the row only if it has this version.
    #[arg(long)]
    pub version: Option<u64>,
    /// The node to call, and the output format.
    #[command(flatten)]
    pub connection: Connection,
}

/// Arguments of `delete`.
#[derive(Debug, Args)]
pub struct DeleteArguments {
    /// Kind of the row: deployment, model, version, adapter or back_end.
    pub kind: RowKind,
    /// Name of the row.
    pub name: String,
    /// Change the row only if it has this version.
    #[arg(long)]
    pub version: Option<u64>,
    /// The node to call, and the output format.
    #[command(flatten)]
    pub connection: Connection,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArguments {
    /// The node to call, and the output format.
    #[command(flatten)]
    pub connection: Connection,
}
