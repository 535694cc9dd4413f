//! The protocols between nodes, engines and the table service, as data types.
//!
//! The crate defines fences, leases, plans, orders, tickets, grants and claims, the messages in which
//! nodes exchange them, and the encoding of these messages. It performs no I/O.

pub mod claim;
pub mod fence;
pub mod frame;
pub mod lease;
pub mod message;
pub mod order;
pub mod outcome;
pub mod plan;
pub mod request;
pub mod revision;
pub mod table;

pub use claim::{ClaimGroup, ClaimRecord, ClaimResponse, ClaimState};
pub use fence::{Epoch, Fence, Incarnation, Revision, Sequence};
pub use lease::Lease;
pub use message::{Heartbeat, HeldSlots, NodeState, PeerMessage, ReplicaOffer, ReplicaSet};
pub use order::{
    EngineReport, EngineRole, Inventory, Order, OrderAction, OrderError, OrderResult, SourceTier,
};
pub use outcome::{AttemptOutcome, ExecutionStatus, Refusal, RefusalReason};
pub use plan::{BackEndPlan, Standby};
pub use request::{Attempt, Grant, PriorityClass, RequestId, Ticket, TicketId};
pub use revision::{RevisionOutOfRange, TableRevision, era_of};
pub use table::{Compare, Put, TableRow, Transaction, TransactionId, TransactionResult};
