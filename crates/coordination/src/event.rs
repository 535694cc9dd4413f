//! Defines the inputs and outputs of a node's decision logic: the events that
//! the host passes in, and the actions that the host carries out.

use std::collections::BTreeMap;

use gorsebank_contract::{
    AttemptOutcome, EngineReport, Fence, Order, OrderResult, PeerMessage, PriorityClass, Refusal,
    RequestId, Sequence, TicketId, Transaction, TransactionResult,
};
use gorsebank_world::{
    BackEndId, Labels, Machine, MachineList, NodeId, QueueKey, Row, RowKey, Spec,
};
use thiserror::Error;

use crate::time::Timestamp;

/// A request that arrived at a front.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Request id, from [`crate::Node::new_request`].
    pub request: RequestId,
    /// Queue in which the request waits.
    pub queue: QueueKey,
    /// Priority of the request.
    pub class: PriorityClass,
    /// Time by which the request must have been answered or refused.
    pub deadline: Timestamp,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Idempotency key from the caller, with its scope, for requests that may run
    /// only once.
    pub key: Option<String>,
}

/// Identifies an operator's change until its result has been returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u64);

/// An operator's change of one configuration row.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key of the row.
    pub key: RowKey,
    /// Revision that the row must have; 0 if the row must not exist; `None` to
    /// write without a check.
    pub expected: Option<u64>,
    /// Operation on the row.
    pub edit: Edit,
}

/// Operation on a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Write the labels and the content of the row.
    Apply {
        /// Labels.
        labels: Labels,
        /// Content.
        spec: Spec,
    },
    /// Set labels, or remove them (value `None`). The row must exist, except for
    /// back ends.
    Label(BTreeMap<String, Option<String>>),
    /// Delete the row.
    Delete,
}

/// Reason why a change was not made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The current version of the row is not the expected one.
    #[error("{key} has version {current}, not {expected}")]
    Conflict {
        /// The row.
        key: RowKey,
        /// Expected version.
        expected: u64,
        /// Current version; 0 if the row does not exist.
        current: u64,
    },
    /// The row does not exist.
    #[error("{0} does not exist")]
    Missing(RowKey),
    /// The content is invalid for the row or for the rest of the configuration.
    #[error("{0}")]
    Invalid(String),
    /// The table service did not respond in time, so the change may still take
    /// effect.
    #[error("the table service gave no answer: the change may or may not take effect")]
    Unknown,
    /// The node is stopping; nothing was written.
    #[error("this node is stopping; nothing was written")]
    Stopping,
}

/// Identifies the transaction to which a response belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TransactionTag {
    /// Transaction of the placement holder, by number.
    Placement(u64),
    /// Transaction of the configuration writer, by number.
    Configuration(u64),
}

/// Input of the decision logic.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. The host sends this event at least every 100 ms.
    Tick,
    /// A message from another node has arrived.
    Received {
        /// The sender.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A request has arrived at this front.
    RequestArrived(Arrival),
    /// The caller disconnected while its request waited.
    RequestAbandoned(RequestId),
    /// A dispatched attempt has ended.
    AttemptEnded {
        /// Request and attempt.
        id: TicketId,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// The table service has responded, or has not responded in time.
    TableAnswered {
        /// Identifies the transaction.
        tag: TransactionTag,
        /// The response.
        answer: TransactionResult,
    },
    /// The machine list has been read from the platform.
    MachineListRead(MachineList),
    /// An engine has responded to an order, or has failed to respond.
    OrderAnswered {
        /// The engine.
        back_end: BackEndId,
        /// Fencing token of the order.
        fence: Fence,
        /// Sequence number of the order.
        sequence: Sequence,
        /// The result.
        result: OrderResult,
    },
    /// An engine's report has been read, or the engine has failed to respond.
    ReportRead {
        /// The engine.
        back_end: BackEndId,
        /// The report; `None` if the engine did not respond.
        report: Option<EngineReport>,
    },
    /// An operator has requested a change.
    ChangeRequested {
        /// Identifies the change.
        id: ChangeId,
        /// The change.
        change: Change,
    },
    /// The node shall stop after it has finished its work.
    StopRequested,
}

/// Output of the decision logic, to be carried out by the host.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another node. The message may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// Run a table transaction and return its response as an event.
    Transact {
        /// Identifies the transaction in the response.
        tag: TransactionTag,
        /// The transaction.
        transaction: Transaction,
    },
    /// Send an order to an engine and return the result as an event.
    Order {
        /// The engine.
        machine: Machine,
        /// The order.
        order: Order,
    },
    /// Read an engine's report and return it as an event.
    ReadReport {
        /// The engine.
        machine: Machine,
    },
    /// Read the platform's machine list.
    ReadMachineList,
    /// Send a waiting request to a back end.
    Dispatch {
        /// Request and attempt.
        id: TicketId,
        /// The back end.
        machine: Machine,
    },
    /// Refuse a waiting request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason and details of the refusal.
        refusal: Refusal,
    },
    /// Return the result of a change to the operator.
    AnswerChange {
        /// Identifies the change.
        id: ChangeId,
        /// The row as written, or the reason why the change was not made.
        result: Result<Row, ChangeError>,
    },
}
