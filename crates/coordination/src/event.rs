//! What flows into a node's decision logic, and what flows out.

use std::collections::BTreeMap;

use gorsebank_contract::{
    AttemptOutcome, EngineReport, Fence, Order, OrderResult, PeerMessage, PriorityClass, Refusal,
    RequestId, Sequence, TableAnswer, TicketId, Transaction,
};
use gorsebank_world::{
    BackEndId, Labels, Machine, MachineList, NodeId, QueueKey, Row, RowKey, Spec,
};
use thiserror::Error;

use crate::time::Timestamp;

/// A request that reached a front.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id, from [`crate::Node::new_request`].
    pub request: RequestId,
    /// What it waits for.
    pub queue: QueueKey,
    /// Its priority.
    pub class: PriorityClass,
    /// When it must have been answered or refused.
    pub deadline: Timestamp,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The caller's idempotency key with its scope, for requests that may not
    /// be repeated.
    pub key: Option<String>,
}

/// Names an operator's change until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u64);

/// An operator's change of one configuration row.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The row.
    pub key: RowKey,
    /// The revision that the row must have (0: must not exist), or `None` to
    /// write over whatever is there.
    pub expected: Option<u64>,
    /// What to do with it.
    pub edit: Edit,
}

/// What to do with a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Write labels and content.
    Apply {
        /// Labels.
        labels: Labels,
        /// Content.
        spec: Spec,
    },
    /// Set or (with `None`) remove labels; the row must exist, but for back ends.
    Label(BTreeMap<String, Option<String>>),
    /// Delete the row.
    Delete,
}

/// Why a change was not made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The row has another version than expected.
    #[error("{key} has version {current}, not {expected}")]
    Conflict {
        /// The row.
        key: RowKey,
        /// The version that was expected.
        expected: u64,
        /// The version it has; 0 if it does not exist.
        current: u64,
    },
    /// There is no such row.
    #[error("{0} does not exist")]
    Missing(RowKey),
    /// The content does not fit the row or the rest of the configuration.
    #[error("{0}")]
    Invalid(String),
    /// The table service did not answer in time: the change may yet take effect.
    #[error("the table service gave no answer: the change may or may not take effect")]
    Unknown,
    /// The node is stopping; nothing was written.
    #[error("this node is stopping; nothing was written")]
    Stopping,
}

/// Whose transaction an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TransactionTag {
    /// The placement holder's, by number.
    Placement(u64),
    /// The configuration writer's, by number.
    Configuration(u64),
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. The host sends one at least every 100 ms.
    Tick,
    /// A message from another node.
    Received {
        /// The sender.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A request reached this front.
    RequestArrived(Arrival),
    /// The caller went away while its request waited.
    RequestAbandoned(RequestId),
    /// An attempt that was dispatched ended.
    AttemptEnded {
        /// Request and try.
        id: TicketId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// The table service answered, or did not in time.
    TableAnswered {
        /// Whose transaction.
        tag: TransactionTag,
        /// The answer.
        answer: TableAnswer,
    },
    /// The machine list was read.
    MachineListRead(MachineList),
    /// An engine answered an order, or did not.
    OrderAnswered {
        /// The engine.
        back_end: BackEndId,
        /// The order's fence.
        fence: Fence,
        /// The order's sequence.
        sequence: Sequence,
        /// The result.
        result: OrderResult,
    },
    /// An engine's short report was read, or it did not answer.
    ReportRead {
        /// The engine.
        back_end: BackEndId,
        /// The report.
        report: Option<EngineReport>,
    },
    /// An operator wants a change.
    ChangeRequested {
        /// Names it.
        id: ChangeId,
        /// The change.
        change: Change,
    },
    /// The process shall stop once its work is done.
    StopRequested,
}

/// Something the host shall do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another node; it may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// Run a table transaction and bring the answer back.
    Transact {
        /// Comes back with the answer.
        tag: TransactionTag,
        /// The transaction.
        transaction: Transaction,
    },
    /// Send an order to an engine and bring the result back.
    Order {
        /// The engine.
        machine: Machine,
        /// The order.
        order: Order,
    },
    /// Read an engine's short report and bring it back.
    ReadReport {
        /// The engine.
        machine: Machine,
    },
    /// Read the platform's machine list.
    ReadMachineList,
    /// Send a waiting request to a back end.
    Dispatch {
        /// Request and try.
        id: TicketId,
        /// The back end.
        machine: Machine,
    },
    /// Give a waiting request its final answer.
    Refuse {
        /// The request.
        request: RequestId,
        /// The answer.
        refusal: Refusal,
    },
    /// Answer an operator.
    AnswerChange {
        /// Names the change.
        id: ChangeId,
        /// The row as written, or why not.
        result: Result<Row, ChangeError>,
    },
}
