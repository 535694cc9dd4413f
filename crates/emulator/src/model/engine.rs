//! An emulated model engine without I/O. In: orders with fencing tokens, ends of
//! loads, starts and ends of requests. Out: results of orders, the inventory of
//! loaded models and a history of events.

use std::collections::{BTreeMap, VecDeque};

use gorsebank_contract::{
    EngineReport, EngineRole, Fence, Incarnation, Inventory, Order, OrderAction, OrderError,
    OrderResult, Sequence, SourceTier,
};
use gorsebank_world::Artifact;
use serde::{Deserialize, Serialize};

/// An event in the history of an engine, which checkers compare with the expected
/// behaviour.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// The process started with empty memory.
    Started,
    /// A load began, and its memory is in use from then on.
    LoadStarted {
        /// The artifact of the event.
        artifact: Artifact,
        /// The size of the artifact in bytes.
        bytes: u64,
    },
    /// The artifact is loaded.
    Loaded {
        /// The artifact of the event.
        artifact: Artifact,
    },
    /// The artifact was unloaded and its memory is free.
    Unloaded {
        /// The artifact of the event.
        artifact: Artifact,
    },
    /// The engine changed its role. A role other than `serve` occupies all memory.
    RoleChanged {
        /// The new role.
        role: EngineRole,
    },
    /// The engine refused an order that needs more memory than is free.
    OverCommitRefused {
        /// The artifact of the event.
        artifact: Artifact,
    },
    /// A request was started.
    Ran {
        /// The id that the node gave to the request.
        request: String,
    },
}

/// An event of an engine with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// The time of the event in milliseconds.
    pub at: u64,
    /// The event.
    #[serde(flatten)]
    pub event: EngineEvent,
}

/// The state of an order after the engine received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderProgress {
    /// The order is finished, with this result.
    Finished(OrderResult),
    /// The load is running; call [`EngineModel::load_ended`] when it ends.
    Loading {
        /// The artifact of the event.
        artifact: Artifact,
        /// The size of the artifact in bytes.
        bytes: u64,
        /// The storage tier that the artifact is loaded from.
        tier: SourceTier,
    },
}

/// The state of an engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    memory: u64,
    incarnation: Incarnation,
    version: u64,
    highest: (Fence, Sequence),
    role: EngineRole,
    loaded: BTreeMap<Artifact, u64>,
    loading: BTreeMap<Artifact, u64>,
    cached: BTreeMap<Artifact, SourceTier>,
    /// Checkpoints that loads left in main memory, oldest first, with their sizes
    /// in bytes. Their total is limited to the size of the accelerator memory.
    recent: VecDeque<(Artifact, u64)>,
    running: BTreeMap<Artifact, u32>,
    history: Vec<EngineRecord>,
    prints_history: bool,
}

impl EngineModel {
    /// An engine that starts at `now`, in milliseconds, with `memory` bytes of
    /// accelerator memory.
    pub fn new(
        now: u64,
        memory: u64,
        incarnation: Incarnation,
        cached: BTreeMap<Artifact, SourceTier>,
    ) -> Self {
        let mut engine = EngineModel {
            memory,
            incarnation,
            version: 0,
            highest: (Fence(0), Sequence(0)),
            role: EngineRole::Serve,
            loaded: BTreeMap::new(),
            loading: BTreeMap::new(),
            cached,
            recent: VecDeque::new(),
            running: BTreeMap::new(),
            history: Vec::new(),
            prints_history: false,
        };
        engine.record(now, EngineEvent::Started);
        engine
    }

    /// The engine after a restart, which loses loaded models, orders and requests.
    pub fn restarted(&self, now: u64) -> Self {
        let mut engine = EngineModel::new(
            now,
            self.memory,
            self.incarnation.next(),
            self.cached.clone(),
        );
        let started = std::mem::take(&mut engine.history);
        engine.history = self.history.iter().cloned().chain(started).collect();
        engine
    }

    /// Executes an order. A load only begins.
    pub fn order(&mut self, now: u64, order: &Order) -> OrderProgress {
        if let Err(error) = self.admit(order) {
            return self.refuse_order(error);
        }
        match &order.action {
            OrderAction::Inspect => self.finish_order(),
            OrderAction::Load { artifact, bytes } => self.load(now, artifact, *bytes),
            OrderAction::ChangeRole { role } => self.change_role(now, *role),
            OrderAction::Unload { artifact } => self.unload(now, artifact),
        }
    }

    fn admit(&mut self, order: &Order) -> Result<(), OrderError> {
        let (fence, sequence) = self.highest;
        if order.fence < fence {
            return Err(OrderError::Fenced { highest: fence });
        }
        let is_inspection = order.action == OrderAction::Inspect;
        if !is_inspection && order.incarnation != Some(self.incarnation) {
            return Err(OrderError::Restarted);
        }
        if order.fence == fence && order.sequence <= sequence {
            return Err(OrderError::Repeated);
        }
        self.highest = (order.fence, order.sequence);
        Ok(())
    }

    fn change_role(&mut self, now: u64, role: EngineRole) -> OrderProgress {
        if !self.loaded.is_empty() || !self.loading.is_empty() {
            return self.refuse_order(OrderError::Busy);
        }
        self.role = role;
        self.record(now, EngineEvent::RoleChanged { role });
        self.finish_order()
    }

    fn load(&mut self, now: u64, artifact: &Artifact, bytes: u64) -> OrderProgress {
        if self.loaded.contains_key(artifact) {
            return self.finish_order();
        }
        if self.loading.contains_key(artifact) {
            return self.refuse_order(OrderError::Busy);
        }
        if artifact.adapter.is_some() && !self.loaded.contains_key(&artifact.base()) {
            return self.refuse_order(OrderError::Missing);
        }
        if self.role != EngineRole::Serve || self.used() + bytes > self.memory {
            let artifact = artifact.clone();
            self.record(now, EngineEvent::OverCommitRefused { artifact });
            return self.refuse_order(OrderError::OutOfMemory);
        }
        self.loading.insert(artifact.clone(), bytes);
        let event = EngineEvent::LoadStarted {
            artifact: artifact.clone(),
            bytes,
        };
        self.record(now, event);
        let tier = self.cached.get(artifact).copied();
        OrderProgress::Loading {
            artifact: artifact.clone(),
            bytes,
            tier: tier.unwrap_or(SourceTier::Remote),
        }
    }

    /// Completes a load. The artifact is cached in main memory from then on.
    pub fn load_ended(&mut self, now: u64, artifact: &Artifact) -> OrderResult {
        let Some(bytes) = self.loading.remove(artifact) else {
            return OrderResult::Refused(OrderError::LoadFailed, self.inventory());
        };
        self.loaded.insert(artifact.clone(), bytes);
        self.cache_in_memory(artifact, bytes);
        let artifact = artifact.clone();
        self.record(now, EngineEvent::Loaded { artifact });
        OrderResult::Done(self.inventory())
    }

    /// Caches the checkpoint in main memory and moves the oldest ones to disk when the
    /// memory is full.
    fn cache_in_memory(&mut self, artifact: &Artifact, bytes: u64) {
        self.recent.retain(|(other, _)| other != artifact);
        self.recent.push_back((artifact.clone(), bytes));
        self.cached.insert(artifact.clone(), SourceTier::Memory);
        let mut total: u64 = self.recent.iter().map(|(_, bytes)| bytes).sum();
        while total > self.memory {
            let Some((oldest, bytes)) = self.recent.pop_front() else {
                return;
            };
            total -= bytes;
            self.cached.insert(oldest, SourceTier::Disk);
        }
    }

    fn unload(&mut self, now: u64, artifact: &Artifact) -> OrderProgress {
        let has_adapters = self
            .loaded
            .keys()
            .chain(self.loading.keys())
            .any(|other| other.adapter.is_some() && other.base() == *artifact);
        let is_running = self.running.get(artifact).is_some_and(|count| *count > 0);
        if is_running || has_adapters && artifact.adapter.is_none() {
            return self.refuse_order(OrderError::Busy);
        }
        if self.loaded.remove(artifact).is_none() {
            return self.refuse_order(OrderError::Missing);
        }
        let artifact = artifact.clone();
        self.record(now, EngineEvent::Unloaded { artifact });
        self.finish_order()
    }

    /// Starts a request. Returns `false` if its artifact is not loaded.
    pub fn start_request(&mut self, now: u64, artifact: &Artifact, request: &str) -> bool {
        if !self.loaded.contains_key(artifact) {
            return false;
        }
        for required in artifact.required() {
            *self.running.entry(required).or_default() += 1;
        }
        let request = request.to_owned();
        self.record(now, EngineEvent::Ran { request });
        true
    }

    /// Ends a request.
    pub fn end_request(&mut self, artifact: &Artifact) {
        for required in artifact.required() {
            if let Some(count) = self.running.get_mut(&required) {
                *count = count.saturating_sub(1);
            }
        }
    }

    fn finish_order(&self) -> OrderProgress {
        OrderProgress::Finished(OrderResult::Done(self.inventory()))
    }

    fn refuse_order(&self, error: OrderError) -> OrderProgress {
        OrderProgress::Finished(OrderResult::Refused(error, self.inventory()))
    }

    /// The inventory of the engine.
    pub fn inventory(&self) -> Inventory {
        Inventory {
            incarnation: self.incarnation,
            version: self.version,
            role: self.role,
            loaded: self.loaded.clone(),
            loading: self.loading.clone(),
            cached: self.cached.clone(),
            active: self.running.values().sum(),
        }
    }

    /// The memory in use, in bytes.
    pub fn used(&self) -> u64 {
        self.loaded.values().chain(self.loading.values()).sum()
    }

    /// All events so far.
    pub fn history(&self) -> &[EngineRecord] {
        &self.history
    }

    /// The incarnation and the version of the inventory.
    pub fn report(&self) -> EngineReport {
        EngineReport {
            incarnation: self.incarnation,
            version: self.version,
        }
    }

    /// Prints all records, past and future, so that they are available after the
    /// process has exited.
    pub fn print_history(&mut self) {
        self.prints_history = true;
        for record in &self.history {
            print_record(record);
        }
    }

    fn record(&mut self, at: u64, event: EngineEvent) {
        let changes_inventory = !matches!(event, EngineEvent::Ran { .. });
        self.version += u64::from(changes_inventory);
        let record = EngineRecord { at, event };
        if self.prints_history {
            print_record(&record);
        }
        self.history.push(record);
    }
}

/// Prints a record as a JSON line on standard output.
fn print_record(record: &impl Serialize) {
    if let Ok(line) = serde_json::to_string(record) {
        println!("{line}");
    }
}
