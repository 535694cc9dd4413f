//! Simulates the state of one back end, an engine or an application service: its process, its batch
//! and queue of requests, and the times at which it generates the events of a response.

use std::collections::{BTreeMap, HashMap};

use gorsebank_contract::{Incarnation, PriorityClass, RequestId, TicketId};
use gorsebank_emulator::model::engine::EngineModel;
use gorsebank_world::{Artifact, BackEndId, Machine, NodeId};

use crate::trace::format::BackEndEntry;

/// Maximum number of events with tokens in a response. A longer response has more tokens per event.
const MAX_EVENTS: u32 = 8;

/// A request that a node sends to a back end.
#[derive(Clone, Debug)]
pub struct Call {
    /// The node and its incarnation.
    pub node: (NodeId, u32),
    /// Request and attempt.
    pub id: TicketId,
    /// The artifact, or `None` for an application.
    pub artifact: Option<Artifact>,
    /// Priority.
    pub class: PriorityClass,
    /// Number of tokens in the response.
    pub tokens: u32,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// Times at which a back end generates a response, in microseconds.
#[derive(Clone, Debug)]
pub struct ResponsePlan {
    /// Number of events in the complete response.
    pub events: u64,
    /// Time of the first event.
    pub first_at: u64,
    /// Time between two events.
    pub spacing: u64,
}

impl ResponsePlan {
    /// Time at which the event `number` is generated, in microseconds.
    pub fn generated_at(&self, number: u64) -> u64 {
        self.first_at + number * self.spacing
    }
}

/// A simulated back end.
#[derive(Debug)]
pub struct SimBackEnd {
    /// Entry in the trace header.
    pub entry: BackEndEntry,
    /// Entry in the machine list.
    pub machine: Machine,
    /// Memory and orders of an engine; unused by applications.
    pub engine: EngineModel,
    /// Number of times that the process was killed, which identifies its incarnation.
    pub incarnation: u32,
    /// Whether the process runs.
    pub is_alive: bool,
    /// Time until which the process is suspended, in microseconds.
    pub paused_until: u64,
    /// Fraction of stream events that the fault `scramble` alters, and the end of that fault in
    /// microseconds.
    pub scramble: (f64, u64),
    running: u32,
    waiting: BTreeMap<(PriorityClass, u64), Call>,
    arrivals: u64,
    responses: HashMap<String, ResponsePlan>,
}

impl SimBackEnd {
    /// Creates a running back end with empty memory.
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
            incarnation: 0,
            is_alive: true,
            paused_until: 0,
            scramble: (0.0, 0),
            running: 0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            responses: HashMap::new(),
        }
    }

    /// Kills the process, which drops all its requests and responses.
    pub fn kill(&mut self) {
        self.is_alive = false;
        self.incarnation += 1;
        self.running = 0;
        self.waiting.clear();
        self.responses.clear();
    }

    /// Starts a new process at `now` microseconds.
    pub fn restart(&mut self, now: u64) {
        self.is_alive = true;
        self.paused_until = 0;
        self.engine = self.engine.restarted(now / 1_000);
    }

    /// Adds a call to the batch and returns it, or queues it if all slots are in use. Without
    /// `priorities`, all queued calls have the same class.
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

    /// Removes a call from the batch. Returns the queued call that takes its slot.
    pub fn release(&mut self) -> Option<Call> {
        let next = self.waiting.pop_first().map(|(_, call)| call);
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// Plans the response to a call that starts at `now` microseconds.
    pub fn plan_response(&mut self, now: u64, stream: &str, tokens: u32) -> ResponsePlan {
        let pieces = tokens.clamp(1, MAX_EVENTS);
        let generation_time = self.entry.token_interval.as_micros() as u64 * u64::from(tokens);
        let plan = ResponsePlan {
            events: u64::from(pieces) + 1,
            first_at: now + self.entry.prefill.as_micros() as u64,
            spacing: generation_time / u64::from(pieces),
        };
        self.responses.insert(stream.to_owned(), plan.clone());
        plan
    }

    /// Plan of the response with the name `stream`, if this process generates it.
    pub fn response(&self, stream: &str) -> Option<&ResponsePlan> {
        self.responses.get(stream)
    }

    /// Another stream of this back end, to which a fault assigns an event of `stream`.
    pub fn other_stream(&self, stream: &str) -> Option<&str> {
        self.responses
            .keys()
            .map(String::as_str)
            .filter(|other| *other != stream)
            .min()
    }

    /// Whether the process runs and is not suspended.
    pub fn is_awake(&self, now: u64) -> bool {
        self.is_alive && now >= self.paused_until
    }
}

/// Name of the stream of an attempt, in the format of `crates/node`.
pub fn stream_name(id: TicketId, back_end: &BackEndId) -> String {
    format!("{}-{}@{back_end}", id.request, id.attempt.0)
}

/// Number of the first connection of an attempt. Numbers of different attempts do not overlap.
pub fn first_connection(id: TicketId) -> u32 {
    const CONNECTIONS_PER_ATTEMPT: u32 = 1_000;
    id.attempt.0 * CONNECTIONS_PER_ATTEMPT
}

/// Request of an attempt, for the history.
pub fn request_id(id: TicketId) -> RequestId {
    id.request
}
