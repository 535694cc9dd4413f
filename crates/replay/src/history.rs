//! What back ends, callers, operators and the platform saw: all that the
//! checker may look at.

use std::collections::BTreeMap;

use gorsebank_contract::{BackEndPlan, PriorityClass, Ran, RefusalReason, RequestId};
use gorsebank_emulator::model::engine::EngineRecord;
use gorsebank_world::{Artifact, BackEndId, NodeId, RowKey};

use crate::simulation::caller::CallerPlan;

/// How a caller's request ended. Times are microseconds from the start.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerEnd {
    /// The answer ended as whole answers do.
    Answered {
        /// Events of the whole answer, as its back end made it.
        whole: u64,
    },
    /// An explicit refusal.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether it says that the request ran.
        ran: Ran,
        /// When to come back, in milliseconds.
        retry_after: Option<u64>,
    },
    /// An explicit error in the middle of the answer.
    Interrupted,
    /// The connection broke since the node died.
    NodeDied,
}

/// One try of a caller at one node.
#[derive(Clone, Debug)]
pub struct CallerTry {
    /// The node.
    pub node: NodeId,
    /// The id that the node gave the request.
    pub request: Option<RequestId>,
    /// When it began.
    pub at: u64,
    /// The first event of the answer.
    pub first_event: Option<u64>,
    /// Stream and number of every event that came.
    pub received: Vec<(String, u64)>,
    /// When and how it ended.
    pub end: Option<(u64, CallerEnd)>,
}

/// A caller's request with its tries.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Model or service.
    pub of: String,
    /// Priority.
    pub class: PriorityClass,
    /// When it must be over.
    pub deadline: u64,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Tries, in order.
    pub tries: Vec<CallerTry>,
}

impl CallerRecord {
    /// A caller that has not sent anything yet.
    pub fn new(plan: &CallerPlan) -> Self {
        CallerRecord {
            of: plan.of.clone(),
            class: plan.class,
            deadline: plan.deadline,
            key: plan.key.clone(),
            repeatable: plan.repeatable,
            tries: Vec::new(),
        }
    }
}

/// A request that ran at a back end.
#[derive(Clone, Debug)]
pub struct Execution {
    /// When.
    pub at: u64,
    /// Until when, if it is not cut short.
    pub until: u64,
    /// Where.
    pub back_end: BackEndId,
    /// On what.
    pub artifact: Option<Artifact>,
    /// The node's id of the request.
    pub request: RequestId,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// A change as its operator saw it.
#[derive(Clone, Debug)]
pub struct ChangeRecord {
    /// The row.
    pub key: RowKey,
    /// The revision that it was accepted at, and when.
    pub accepted: Option<(u64, u64)>,
    /// The error otherwise.
    pub error: Option<String>,
    /// Labels that it sets.
    pub labels: BTreeMap<String, Option<String>>,
}

/// What an operator reads at one node.
#[derive(Clone, Debug)]
pub struct ConfigurationReading {
    /// When.
    pub at: u64,
    /// The node.
    pub node: NodeId,
    /// Its life, from 0.
    pub life: u32,
    /// Versions of rows.
    pub versions: BTreeMap<RowKey, u64>,
    /// No fault touched the node since this time.
    pub undisturbed_since: u64,
}

/// A decision as the table has it from a moment on.
#[derive(Clone, Debug)]
pub struct DecisionRecord {
    /// When it took effect.
    pub at: u64,
    /// The engine.
    pub back_end: BackEndId,
    /// The decision.
    pub plan: BackEndPlan,
}

/// When the platform said that a back end is leaving.
#[derive(Clone, Debug)]
pub struct LeaveRecord {
    /// The back end.
    pub back_end: BackEndId,
    /// When readers of the list could see it.
    pub visible: u64,
}

/// A node that stood still.
#[derive(Clone, Debug)]
pub struct PauseRecord {
    /// The node.
    pub node: NodeId,
    /// From when.
    pub from: u64,
    /// Until when.
    pub until: u64,
}

/// An engine's memory and what it did.
#[derive(Clone, Debug, Default)]
pub struct EngineHistory {
    /// Bytes.
    pub memory: u64,
    /// Records; their times are in milliseconds.
    pub records: Vec<EngineRecord>,
}

/// The whole history.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Callers.
    pub callers: Vec<CallerRecord>,
    /// Back ends.
    pub executions: Vec<Execution>,
    /// Engines.
    pub engines: BTreeMap<BackEndId, EngineHistory>,
    /// Decisions in the table.
    pub decisions: Vec<DecisionRecord>,
    /// Operators' changes.
    pub changes: Vec<ChangeRecord>,
    /// Operators' readings.
    pub readings: Vec<ConfigurationReading>,
    /// Back ends that leave.
    pub leaves: Vec<LeaveRecord>,
    /// Nodes that were asked to stop, and when.
    pub planned_stops: Vec<(NodeId, u64)>,
    /// Nodes that stood still.
    pub pauses: Vec<PauseRecord>,
    /// Faults as they happened, for people.
    pub log: Vec<(u64, String)>,
    /// When the replay ended.
    pub end: u64,
}
