//! Decision logic that can be embedded: who is alive, who owns which queue,
//! where models are loaded, which request goes where, what may run once.
//!
//! [`Node`] is the whole of it: give it [`Event`]s with the time, carry out the
//! [`Action`]s it returns. There is no socket, clock, thread or global inside;
//! random numbers come from a seed. The gorsebank node, the replay tool and
//! hollow nodes of scale runs all run this very object.

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
pub use stream::{EventId, StreamGuard, Verdict};
pub use time::Timestamp;
