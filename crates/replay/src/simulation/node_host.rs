//! A node in virtual time: the decision logic with what its shell keeps beside.

use std::collections::HashMap;

use gorsebank_contract::{Incarnation, RequestId, TicketId};
use gorsebank_coordination::{CoordinationSettings, Identity, Node, StreamGuard, Timestamp};
use gorsebank_world::{BackEndId, CellId, NodeId, ZoneId};

/// The cell of all nodes of a trace.
pub const CELL: &str = "cell";

/// An attempt that a node has sent.
#[derive(Clone, Debug)]
pub struct OpenAttempt {
    /// Request and try.
    pub id: TicketId,
    /// Where it was sent.
    pub back_end: BackEndId,
    /// The name of its stream.
    pub stream: String,
    /// Checks its events.
    pub guard: StreamGuard,
    /// Grows with every connection; events of former ones are dropped.
    pub connection: u32,
    /// Connections made without an event in between.
    pub resumes: u32,
    /// Whether an event went to the caller.
    pub has_begun: bool,
}

/// A request that a node has not finished.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// The caller and its try.
    pub caller: (usize, usize),
    /// The attempt that runs.
    pub attempt: Option<OpenAttempt>,
}

/// One node.
pub struct SimNode {
    /// Its name.
    pub id: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// The decision logic, while the process runs.
    pub node: Option<Node>,
    /// Grows with every start.
    pub life: u32,
    /// It stands still until then.
    pub paused_until: u64,
    /// It was asked to stop.
    pub is_stopping: bool,
    /// No fault touched it since then.
    pub undisturbed_since: u64,
    /// Requests without an end.
    pub open: HashMap<RequestId, OpenRequest>,
    /// The machine list was read once.
    pub has_read_list: bool,
}

impl SimNode {
    /// A node that does not run yet.
    pub fn new(id: NodeId, zone: ZoneId) -> Self {
        SimNode {
            id,
            zone,
            node: None,
            life: 0,
            paused_until: 0,
            is_stopping: false,
            undisturbed_since: 0,
            open: HashMap::new(),
            has_read_list: false,
        }
    }

    /// Starts the process at `now` microseconds.
    pub fn start(&mut self, now: u64, settings: &CoordinationSettings, seed: u64) {
        self.life += 1;
        let identity = Identity {
            node: self.id.clone(),
            incarnation: Incarnation(u64::from(self.life)),
            cell: CellId::from(CELL),
            zone: self.zone.clone(),
        };
        let seed = seed
            .wrapping_add(u64::from(self.life))
            .wrapping_add(gorsebank_coordination::rendezvous::weight("seed", &self.id));
        let start = Timestamp(now / 1_000);
        self.node = Some(Node::new(identity, settings.clone(), start, seed));
        self.paused_until = 0;
        self.is_stopping = false;
        self.undisturbed_since = now;
        self.has_read_list = false;
    }

    /// Ends the process; gives the callers that were cut off.
    pub fn kill(&mut self) -> Vec<(usize, usize)> {
        self.node = None;
        self.life += 1;
        let mut callers: Vec<(usize, usize)> =
            self.open.drain().map(|(_, open)| open.caller).collect();
        callers.sort_unstable();
        callers
    }
}
