//! A model engine: fenced orders, accelerator memory, running requests.

use std::collections::{BTreeMap, VecDeque};

use gorsebank_contract::{
    EngineReport, EngineRole, Fence, Incarnation, Inventory, Order, OrderAction, OrderError,
    OrderResult, Sequence, SourceTier,
};
use gorsebank_world::Artifact;
use serde::{Deserialize, Serialize};

/// Something an engine did, for those who check it from outside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// The process started with empty memory.
    Started,
    /// A load began: memory is taken from here on.
    LoadStarted {
        /// The artifact.
        artifact: Artifact,
        /// Its bytes.
        bytes: u64,
    },
    /// The artifact is loaded.
    Loaded {
        /// The artifact.
        artifact: Artifact,
    },
    /// Its memory is free.
    Unloaded {
        /// The artifact.
        artifact: Artifact,
    },
    /// The engine took another role; any but `serve` takes all memory.
    RoleChanged {
        /// The role.
        role: EngineRole,
    },
    /// An order would have taken more memory than there is.
    OverCommitRefused {
        /// The artifact.
        artifact: Artifact,
    },
    /// A request ran.
    Ran {
        /// Its id as the front gave it.
        request: String,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Milliseconds.
    pub at: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: EngineEvent,
}

/// What an order leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStart {
    /// It is settled.
    Settled(OrderResult),
    /// A load runs; call [`EngineModel::load_ended`] when it is over.
    Loading {
        /// The artifact.
        artifact: Artifact,
        /// Its bytes.
        bytes: u64,
        /// Where from.
        tier: SourceTier,
    },
}

/// An engine's state.
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
    /// Checkpoints that loads left in main memory, oldest first, with their
    /// bytes. They take as much main memory as there is accelerator memory.
    recent: VecDeque<(Artifact, u64)>,
    running: BTreeMap<Artifact, u32>,
    history: Vec<EngineRecord>,
    prints: bool,
}

impl EngineModel {
    /// An engine that starts at `now` in its life `incarnation`.
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
            prints: false,
        };
        engine.record(now, EngineEvent::Started);
        engine
    }

    /// The engine after a restart: memory, orders and requests are gone.
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

    /// Takes an order.
    pub fn order(&mut self, now: u64, order: &Order) -> OrderStart {
        if let Err(error) = self.admit(order) {
            return self.refuse(error);
        }
        match &order.action {
            OrderAction::Inspect => self.settle(),
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

    fn change_role(&mut self, now: u64, role: EngineRole) -> OrderStart {
        if !self.loaded.is_empty() || !self.loading.is_empty() {
            return self.refuse(OrderError::Busy);
        }
        self.role = role;
        self.record(now, EngineEvent::RoleChanged { role });
        self.settle()
    }

    fn load(&mut self, now: u64, artifact: &Artifact, bytes: u64) -> OrderStart {
        if self.loaded.contains_key(artifact) {
            return self.settle();
        }
        if self.loading.contains_key(artifact) {
            return self.refuse(OrderError::Busy);
        }
        if artifact.adapter.is_some() && !self.loaded.contains_key(&artifact.base()) {
            return self.refuse(OrderError::Missing);
        }
        if self.role != EngineRole::Serve || self.used() + bytes > self.memory {
            let artifact = artifact.clone();
            self.record(now, EngineEvent::OverCommitRefused { artifact });
            return self.refuse(OrderError::OutOfMemory);
        }
        self.loading.insert(artifact.clone(), bytes);
        let event = EngineEvent::LoadStarted {
            artifact: artifact.clone(),
            bytes,
        };
        self.record(now, event);
        let tier = self.cached.get(artifact).copied();
        OrderStart::Loading {
            artifact: artifact.clone(),
            bytes,
            tier: tier.unwrap_or(SourceTier::Remote),
        }
    }

    /// A load is over; the artifact is cached in main memory from now on.
    pub fn load_ended(&mut self, now: u64, artifact: &Artifact) -> OrderResult {
        let Some(bytes) = self.loading.remove(artifact) else {
            return OrderResult::Refused(OrderError::LoadFailed, self.inventory());
        };
        self.loaded.insert(artifact.clone(), bytes);
        self.remember(artifact, bytes);
        let artifact = artifact.clone();
        self.record(now, EngineEvent::Loaded { artifact });
        OrderResult::Done(self.inventory())
    }

    /// Keeps the checkpoint in main memory; the oldest ones go to disk.
    fn remember(&mut self, artifact: &Artifact, bytes: u64) {
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

    fn unload(&mut self, now: u64, artifact: &Artifact) -> OrderStart {
        let has_adapters = self
            .loaded
            .keys()
            .chain(self.loading.keys())
            .any(|other| other.adapter.is_some() && other.base() == *artifact);
        let is_running = self.running.get(artifact).is_some_and(|count| *count > 0);
        if is_running || has_adapters && artifact.adapter.is_none() {
            return self.refuse(OrderError::Busy);
        }
        if self.loaded.remove(artifact).is_none() {
            return self.refuse(OrderError::Missing);
        }
        let artifact = artifact.clone();
        self.record(now, EngineEvent::Unloaded { artifact });
        self.settle()
    }

    /// Starts a request, if its artifact is loaded.
    pub fn start_request(&mut self, now: u64, artifact: &Artifact, request: &str) -> bool {
        if !self.loaded.contains_key(artifact) {
            return false;
        }
        for part in artifact.required() {
            *self.running.entry(part).or_default() += 1;
        }
        let request = request.to_owned();
        self.record(now, EngineEvent::Ran { request });
        true
    }

    /// A request ended.
    pub fn end_request(&mut self, artifact: &Artifact) {
        for part in artifact.required() {
            if let Some(count) = self.running.get_mut(&part) {
                *count = count.saturating_sub(1);
            }
        }
    }

    fn settle(&self) -> OrderStart {
        OrderStart::Settled(OrderResult::Done(self.inventory()))
    }

    fn refuse(&self, error: OrderError) -> OrderStart {
        OrderStart::Settled(OrderResult::Refused(error, self.inventory()))
    }

    /// What the engine reports.
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

    /// Bytes in use.
    pub fn used(&self) -> u64 {
        self.loaded.values().chain(self.loading.values()).sum()
    }

    /// Everything that happened.
    pub fn history(&self) -> &[EngineRecord] {
        &self.history
    }

    /// What the engine reports in short.
    pub fn report(&self) -> EngineReport {
        EngineReport {
            incarnation: self.incarnation,
            version: self.version,
        }
    }

    /// Prints every record from now on, so that it outlives the process.
    pub fn print_history(&mut self) {
        self.prints = true;
        for record in &self.history {
            print_record(record);
        }
    }

    fn record(&mut self, at: u64, event: EngineEvent) {
        let changes_inventory = !matches!(event, EngineEvent::Ran { .. });
        self.version += u64::from(changes_inventory);
        let record = EngineRecord { at, event };
        if self.prints {
            print_record(&record);
        }
        self.history.push(record);
    }
}

/// A record as a JSON line on standard output.
fn print_record(record: &impl Serialize) {
    if let Ok(line) = serde_json::to_string(record) {
        println!("{line}");
    }
}
