//! Implements the decision logic of a node as an embeddable library: membership,
//! ownership of queues, placement of models, routing of requests, and claims of
//! requests that may run only once.
//!
//! [`Node`] is the entry point. The host passes [`Event`]s and the time to the
//! node, and carries out the [`Action`]s that the node returns. The library uses
//! no sockets, clocks, threads or global state, and derives random numbers from
//! a seed. The gorsebank node, the replay tool and the simulated nodes of scale
//! tests all use this type.

pub mod claim_group;
pub mod claim_member;
pub mod claim_round;
pub mod collections;
pub mod configuration;
pub mod configuration_check;
pub mod configuration_writer;
pub mod event;
pub mod front;
pub mod machines;
pub mod membership;
pub mod node;
pub mod placement;
pub mod queue;
pub mod queues;
pub mod rendezvous;
pub mod retry;
pub mod settings;
pub mod stream;
pub mod time;
pub mod watcher;

pub use configuration::{Configuration, ResolveError};
pub use event::{Action, Arrival, Change, ChangeError, ChangeId, Edit, Event, TransactionTag};
pub use membership::{Identity, View};
pub use node::{Node, NodeStatus};
pub use settings::CoordinationSettings;
pub use stream::{EventDecision, EventId, StreamChecker};
pub use time::Timestamp;
