//! Machines and gorsebank nodes as the platform's machine list describes them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{BackEndId, CellId, NodeId, ServiceId, ZoneId};
use crate::labels::Labels;

/// The role of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A model engine, which executes fenced orders.
    Engine,
    /// An application service, which loads no models.
    Application,
}

/// Whether a machine accepts new requests, as set by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine accepts requests.
    Live,
    /// The machine is draining: it finishes its open requests and accepts no new ones.
    #[serde(rename = "leaving")]
    Draining,
}

/// One back end of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The name of the back end.
    pub id: BackEndId,
    /// The address on which the back end serves HTTP.
    pub address: SocketAddr,
    /// The failure zone of the back end.
    pub zone: ZoneId,
    /// The pool to which the back end belongs.
    pub service: ServiceId,
    pub role: MachineRole,
    /// Accelerator memory in bytes; 0 for an application.
    pub memory: u64,
    /// Number of requests that the back end can run concurrently at full speed.
    pub slots: u32,
    /// Whether the back end is live or draining.
    pub state: MachineState,
    /// Labels that the platform assigns to the back end.
    pub labels: Labels,
}

/// One gorsebank node of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The name of the node.
    pub id: NodeId,
    /// The address on which the node accepts connections from other nodes.
    pub address: SocketAddr,
    /// The failure zone of the node.
    pub zone: ZoneId,
    /// The cell of the node.
    pub cell: CellId,
}

/// The platform's machine list, which may lag behind the actual state of the machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// The gorsebank nodes.
    pub nodes: Vec<NodeEntry>,
    /// The model engines and application services.
    pub back_ends: Vec<Machine>,
}
