//! Engines and application services: orders, loads, requests and their answers.

use std::collections::{BTreeMap, HashMap};

use gorsebank_contract::{Incarnation, PriorityClass, RequestId, TicketId};
use gorsebank_emulator::model::engine::EngineModel;
use gorsebank_world::{Artifact, BackEndId, Machine, NodeId};

use crate::trace::format::BackEndEntry;

/// Events of one answer at the most: a long answer is sent in larger pieces.
const MAX_EVENTS: u32 = 8;

/// What a node sends to a back end.
#[derive(Clone, Debug)]
pub struct Call {
    /// The node, and its life.
    pub node: (NodeId, u32),
    /// Request and try.
    pub id: TicketId,
    /// The artifact, or `None` for an application.
    pub artifact: Option<Artifact>,
    /// Priority.
    pub class: PriorityClass,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// An answer while it is made.
#[derive(Clone, Debug)]
pub struct AnswerPlan {
    /// Events of the whole answer.
    pub events: u64,
    /// When the first is made.
    pub first_at: u64,
    /// Between two events.
    pub spacing: u64,
}

impl AnswerPlan {
    /// When an event is made.
    pub fn made_at(&self, number: u64) -> u64 {
        self.first_at + number * self.spacing
    }
}

/// One back end.
#[derive(Debug)]
pub struct SimBackEnd {
    /// The trace's entry.
    pub entry: BackEndEntry,
    /// The machine as listed.
    pub machine: Machine,
    /// The engine's memory and orders; unused by applications.
    pub engine: EngineModel,
    /// Grows with every start.
    pub life: u32,
    /// Whether the process runs.
    pub is_alive: bool,
    /// It stands still until then.
    pub paused_until: u64,
    /// Streams are scrambled: share of events, until when.
    pub scramble: (f64, u64),
    running: u32,
    waiting: BTreeMap<(PriorityClass, u64), Call>,
    arrivals: u64,
    answers: HashMap<String, AnswerPlan>,
}

impl SimBackEnd {
    /// A back end with empty memory.
    pub fn new(entry: BackEndEntry, machine: Machine) -> Self {
        let engine = EngineModel::new(
            0,
            entry.memory.as_u64(),
            Incarnation(1),
            entry.cached.clone(),
        );
        SimBackEnd {
            entry,
            machine,
            engine,
            life: 0,
            is_alive: true,
            paused_until: 0,
            scramble: (0.0, 0),
            running: 0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            answers: HashMap::new(),
        }
    }

    /// The process dies: whatever it ran is gone.
    pub fn kill(&mut self) {
        self.is_alive = false;
        self.life += 1;
        self.running = 0;
        self.waiting.clear();
        self.answers.clear();
    }

    /// A new process starts.
    pub fn restart(&mut self, now: u64) {
        self.is_alive = true;
        self.paused_until = 0;
        self.engine = self.engine.restarted(now / 1_000);
    }

    /// Puts a call into the batch or before it; gives the call that may run.
    pub fn admit(&mut self, call: Call, priorities: bool) -> Option<Call> {
        if self.running < self.entry.slots {
            self.running += 1;
            return Some(call);
        }
        self.arrivals += 1;
        let class = if priorities {
            call.class
        } else {
            PriorityClass::Interactive
        };
        self.waiting.insert((class, self.arrivals), call);
        None
    }

    /// A call ended; gives the one that may run now.
    pub fn release(&mut self) -> Option<Call> {
        let next = self.waiting.pop_first().map(|(_, call)| call);
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// Plans the answer to a call that runs from `now` on.
    pub fn plan_answer(&mut self, now: u64, stream: &str, tokens: u32) -> AnswerPlan {
        let pieces = tokens.clamp(1, MAX_EVENTS);
        let whole = self.entry.token.as_micros() as u64 * u64::from(tokens);
        let plan = AnswerPlan {
            events: u64::from(pieces) + 1,
            first_at: now + self.entry.prefill.as_micros() as u64,
            spacing: whole / u64::from(pieces),
        };
        self.answers.insert(stream.to_owned(), plan.clone());
        plan
    }

    /// The answer of that name, if this process made it.
    pub fn answer(&self, stream: &str) -> Option<&AnswerPlan> {
        self.answers.get(stream)
    }

    /// Another stream of this back end, for events that cross.
    pub fn other_stream(&self, stream: &str) -> Option<&str> {
        self.answers
            .keys()
            .map(String::as_str)
            .filter(|other| *other != stream)
            .min()
    }

    /// Whether the process answers at all.
    pub fn is_awake(&self, now: u64) -> bool {
        self.is_alive && now >= self.paused_until
    }
}

/// The name of a try's stream, as the node's shell has it.
pub fn stream_name(id: TicketId, back_end: &BackEndId) -> String {
    format!("{}-{}@{back_end}", id.request, id.attempt.0)
}

/// The number of the first connection of a try; those of other tries differ.
pub fn first_connection(id: TicketId) -> u32 {
    const CONNECTIONS_PER_TRY: u32 = 1_000;
    id.attempt.0 * CONNECTIONS_PER_TRY
}

/// The request that a stream belongs to, for records.
pub fn request_of(id: TicketId) -> RequestId {
    id.request
}
