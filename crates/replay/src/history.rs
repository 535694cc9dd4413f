//! The history of a replay: what back ends, callers, operators and the platform
//! observed.
//!
//! The simulation or the live replay writes a history, and the checker judges it
//! without any other input. Unless stated otherwise, times are in microseconds
//! from the start of the replay.

use std::collections::BTreeMap;

use gorsebank_contract::{BackEndPlan, ExecutionStatus, PriorityClass, RefusalReason, RequestId};
use gorsebank_emulator::model::engine::EngineRecord;
use gorsebank_world::{Artifact, BackEndId, NodeId, RowKey};

use crate::simulation::caller::CallerPlan;

/// The outcome of a caller's attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOutcome {
    /// The response ended successfully.
    Answered {
        /// Number of events in the complete response, as the back end sent it.
        whole: u64,
    },
    /// An explicit refusal.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Whether the request ran, according to the refusal.
        ran: ExecutionStatus,
        /// Delay in milliseconds after which the refusal allows a retry.
        retry_after: Option<u64>,
    },
    /// An explicit error in the middle of the response.
    Interrupted,
    /// The connection broke because the node died.
    NodeDied,
}

/// One attempt of a caller at one node.
#[derive(Clone, Debug)]
pub struct CallerAttempt {
    /// The node that received the request.
    pub node: NodeId,
    /// The id that the node gave to the request.
    pub request: Option<RequestId>,
    /// Time at which the attempt began.
    pub at: u64,
    /// Time of the first event of the response.
    pub first_event: Option<u64>,
    /// Stream and number of every received event.
    pub received: Vec<(String, u64)>,
    /// Time and kind of the outcome.
    pub end: Option<(u64, CallerOutcome)>,
}

/// A caller's request with its attempts.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Name of the requested model or service.
    pub target: String,
    /// Priority class of the request.
    pub class: PriorityClass,
    /// Deadline of the request.
    pub deadline: u64,
    /// Idempotency key, if the request has one.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Attempts, in the order in which they began.
    pub attempts: Vec<CallerAttempt>,
}

impl CallerRecord {
    /// Creates the record of a caller that has not sent anything yet.
    pub fn new(plan: &CallerPlan) -> Self {
        CallerRecord {
            target: plan.of.clone(),
            class: plan.class,
            deadline: plan.deadline,
            key: plan.key.clone(),
            repeatable: plan.repeatable,
            attempts: Vec::new(),
        }
    }
}

/// A request that a back end ran.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Time at which the execution began.
    pub at: u64,
    /// Time at which the execution ends unless a fault interrupts it.
    pub until: u64,
    /// The back end that ran the request.
    pub back_end: BackEndId,
    /// The artifact that served the request, at an engine.
    pub artifact: Option<Artifact>,
    /// The id that the node gave to the request.
    pub request: RequestId,
    /// Idempotency key, if the request has one.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// A configuration change as its operator observed it.
#[derive(Clone, Debug)]
pub struct ChangeRecord {
    /// The changed row.
    pub key: RowKey,
    /// Revision and time at which the change was accepted.
    pub accepted: Option<(u64, u64)>,
    /// Error, if the change was not accepted.
    pub error: Option<String>,
    /// Labels that the change sets, or removes if `None`.
    pub labels: BTreeMap<String, Option<String>>,
}

/// The configuration as an operator read it at one node.
#[derive(Clone, Debug)]
pub struct ConfigurationReading {
    /// Time of the reading.
    pub at: u64,
    /// The node.
    pub node: NodeId,
    /// Incarnation of the node, counted from 0.
    pub incarnation: u32,
    /// Version of each row.
    pub versions: BTreeMap<RowKey, u64>,
    /// Time since which no fault affected the node.
    pub undisturbed_since: u64,
}

/// A plan for an engine as the table has it from a time on.
#[derive(Clone, Debug)]
pub struct PlanRecord {
    /// Time at which the plan took effect.
    pub at: u64,
    /// The engine that the plan is for.
    pub back_end: BackEndId,
    /// The plan.
    pub plan: BackEndPlan,
}

/// The time at which the platform announced that a back end is draining.
#[derive(Clone, Debug)]
pub struct DrainRecord {
    /// The back end.
    pub back_end: BackEndId,
    /// Time from which readers of the machine list could see the drain.
    pub visible: u64,
}

/// A pause of a node's process.
#[derive(Clone, Debug)]
pub struct PauseRecord {
    /// The node.
    pub node: NodeId,
    /// Time at which the pause began.
    pub from: u64,
    /// Time at which the pause ended.
    pub until: u64,
}

/// The memory of an engine and the events that it recorded.
#[derive(Clone, Debug, Default)]
pub struct EngineHistory {
    /// Accelerator memory in bytes.
    pub memory: u64,
    /// Recorded events; their times are in milliseconds.
    pub records: Vec<EngineRecord>,
}

/// All observations of one replay.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of callers.
    pub callers: Vec<CallerRecord>,
    /// Executions at back ends.
    pub executions: Vec<Execution>,
    /// Events of engines.
    pub engines: BTreeMap<BackEndId, EngineHistory>,
    /// Plans for engines in the table.
    pub plans: Vec<PlanRecord>,
    /// Configuration changes by operators.
    pub changes: Vec<ChangeRecord>,
    /// Configuration as operators read it.
    pub readings: Vec<ConfigurationReading>,
    /// Drains of back ends.
    pub drains: Vec<DrainRecord>,
    /// Nodes that were asked to stop, with the time of the request.
    pub planned_stops: Vec<(NodeId, u64)>,
    /// Pauses of nodes.
    pub pauses: Vec<PauseRecord>,
    /// Readable log of the events and faults of the replay, with their times.
    pub log: Vec<(u64, String)>,
    /// Time at which the replay ended.
    pub end: u64,
}
