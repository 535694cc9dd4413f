//! Machines as the platform's machine list describes them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{BackEndId, CellId, NodeId, ServiceId, ZoneId};
use crate::labels::Labels;

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A model engine that takes fenced orders.
    Engine,
    /// An application service, which needs no loading.
    Application,
}

/// Whether the platform lets a machine take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// Takes work.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// One back end of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The back end's name.
    pub id: BackEndId,
    /// Where it answers HTTP.
    pub address: SocketAddr,
    /// Its failure zone.
    pub zone: ZoneId,
    /// The pool it belongs to.
    pub service: ServiceId,
    /// Engine or application.
    pub role: MachineRole,
    /// Accelerator memory in bytes; 0 for applications.
    pub memory: u64,
    /// Requests it runs at once at full speed.
    pub slots: u32,
    /// Live or leaving.
    pub state: MachineState,
    /// Labels that the platform gives it.
    pub labels: Labels,
}

/// One gorsebank node of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The node's name.
    pub id: NodeId,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Its failure zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
}

/// The platform's machine list, which lags behind the machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// gorsebank nodes.
    pub nodes: Vec<NodeEntry>,
    /// Engines and application services.
    pub back_ends: Vec<Machine>,
}
