//! Data types for machines, models and configuration.
//!
//! The crate contains no decision logic and performs no I/O. Its types are shared by the
//! coordination logic, the node, the emulator and the replay tool.

pub mod artifact;
pub mod configuration;
pub mod identity;
pub mod labels;
pub mod machine;
pub mod selector;

pub use artifact::{Artifact, QueueKey};
pub use configuration::{
    AdapterSpec, BackEndSpec, DeploymentSpec, ModelSpec, Row, RowKey, RowKind, Spec, VersionSpec,
};
pub use identity::{
    AdapterId, BackEndId, CellId, ModelId, NodeId, ServiceId, SoftwareVersion, TenantId, VersionId,
    ZoneId,
};
pub use labels::Labels;
pub use machine::{Machine, MachineList, MachineRole, MachineState, NodeEntry};
pub use selector::Selector;
