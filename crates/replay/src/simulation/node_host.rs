//! State of a simulated node: its decision logic, and its open requests and attempts.

use std::collections::HashMap;

use gorsebank_contract::{Incarnation, RequestId, TicketId};
use gorsebank_coordination::{CoordinationSettings, Identity, Node, StreamChecker, Timestamp};
use gorsebank_world::{BackEndId, CellId, NodeId, ZoneId};

/// The cell of all nodes of a trace.
pub const CELL: &str = "cell";

/// An attempt that a node has sent.
#[derive(Clone, Debug)]
pub struct OpenAttempt {
    /// Request and attempt.
    pub id: TicketId,
    /// Back end that the attempt was sent to.
    pub back_end: BackEndId,
    /// Name of the stream of the response.
    pub stream: String,
    /// Check of the stream events for gaps and duplicates.
    pub guard: StreamChecker,
    /// Number of the current connection. Events of previous connections are dropped.
    pub connection: u32,
    /// Number of resumptions since the last event.
    pub resumes: u32,
    /// Whether the node forwarded an event to the caller.
    pub has_begun: bool,
}

/// A request that a node has not finished.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Indexes of the caller and of its attempt in the history.
    pub caller: (usize, usize),
    /// Current attempt at a back end.
    pub attempt: Option<OpenAttempt>,
}

/// A simulated node.
pub struct SimNode {
    /// Name of the node.
    pub id: NodeId,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Decision logic, or `None` if the process does not run.
    pub node: Option<Node>,
    /// Number of starts and kills of the process, which identifies its incarnation.
    pub incarnation: u32,
    /// Time until which the process is suspended, in microseconds.
    pub paused_until: u64,
    /// Whether the node was asked to stop.
    pub is_stopping: bool,
    /// Time since which no fault has affected the node, in microseconds.
    pub undisturbed_since: u64,
    /// Requests without an outcome.
    pub open: HashMap<RequestId, OpenRequest>,
    /// Whether the node has read the machine list since its start.
    pub has_read_list: bool,
}

impl SimNode {
    /// Creates a node that does not run yet.
    pub fn new(id: NodeId, zone: ZoneId) -> Self {
        SimNode {
            id,
            zone,
            node: None,
            incarnation: 0,
            paused_until: 0,
            is_stopping: false,
            undisturbed_since: 0,
            open: HashMap::new(),
            has_read_list: false,
        }
    }

    /// Starts the process at `now` microseconds.
    pub fn start(&mut self, now: u64, settings: &CoordinationSettings, seed: u64) {
        self.incarnation += 1;
        let identity = Identity {
            node: self.id.clone(),
            incarnation: Incarnation(u64::from(self.incarnation)),
            cell: CellId::from(CELL),
            zone: self.zone.clone(),
        };
        let seed = seed
            .wrapping_add(u64::from(self.incarnation))
            .wrapping_add(gorsebank_coordination::rendezvous::weight("seed", &self.id));
        let start = Timestamp(now / 1_000);
        self.node = Some(Node::new(identity, settings.clone(), start, seed));
        self.paused_until = 0;
        self.is_stopping = false;
        self.undisturbed_since = now;
        self.has_read_list = false;
    }

    /// Kills the process. Returns the callers of its open requests, with their attempts.
    pub fn kill(&mut self) -> Vec<(usize, usize)> {
        self.node = None;
        self.incarnation += 1;
        let mut callers: Vec<(usize, usize)> =
            self.open.drain().map(|(_, open)| open.caller).collect();
        callers.sort_unstable();
        callers
    }
}
