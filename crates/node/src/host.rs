//! Connects the decision logic of a node with its I/O.
//!
//! In: events, such as requests, messages of other nodes and results of calls.
//! Out: the actions that the decision logic returns for them, which this module
//! carries out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use gorsebank_clients::{EngineClient, HttpClient, MachineListClient, TableClient};
use gorsebank_contract::{Order, Refusal, RequestId, TicketId, Transaction, TransactionResult};
use gorsebank_coordination::{
    Action, Change, ChangeError, ChangeId, Event, Node, Timestamp, TransactionTag,
};
use gorsebank_world::{Machine, NodeId, Row};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::metrics::Metrics;
use crate::peer_connections::PeerConnections;
use crate::settings::{NodeSettings, PeerSection};

/// The interval between two ticks of the decision logic.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A command of the decision logic for an open request.
#[derive(Debug)]
pub enum Command {
    /// Send the request to this back end.
    Dispatch(TicketId, Machine),
    /// Respond to the caller with this refusal.
    Refuse(Refusal),
}

/// The decision logic of a node with its clients, connections and metrics.
#[derive(Debug)]
pub struct Host {
    node: Node,
    settings: NodeSettings,
    start: Instant,
    connections: PeerConnections,
    metrics: Arc<Metrics>,
    http: HttpClient,
    table: TableClient,
    machine_list: MachineListClient,
    engines: EngineClient,
    requests: Mutex<HashMap<RequestId, mpsc::UnboundedSender<Command>>>,
    changes: Mutex<HashMap<ChangeId, oneshot::Sender<Result<Row, ChangeError>>>>,
    change_numbers: AtomicU64,
    stopping: AtomicBool,
    /// Whether the table service responded to the last transaction; `None` before the
    /// first transaction.
    is_table_responding: Mutex<Option<bool>>,
}

impl Host {
    /// A host for `node`. The time of the decision logic starts at this call.
    pub fn new(node: Node, settings: NodeSettings, metrics: Arc<Metrics>) -> Arc<Self> {
        let http = HttpClient::default();
        let platform = &settings.platform;
        let table = TableClient::new(
            http.clone(),
            platform.tables.clone(),
            platform.table_prefix.clone(),
            platform.table_timeout,
        );
        let machine_list = MachineListClient::new(
            http.clone(),
            platform.machine_list,
            platform.machine_list_path.clone(),
            platform.table_timeout,
        );
        Arc::new(Host {
            connections: PeerConnections::new(node.identity().node.clone(), Arc::clone(&metrics)),
            engines: EngineClient::new(http.clone()),
            node,
            settings,
            start: Instant::now(),
            metrics,
            http,
            table,
            machine_list,
            requests: Mutex::default(),
            changes: Mutex::default(),
            change_numbers: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            is_table_responding: Mutex::new(None),
        })
    }

    /// The decision logic of the node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The settings of the node.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// The metrics of the node.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The client for calls to back ends.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// The present time of the decision logic.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.start.elapsed().as_millis() as u64)
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Asks the node to finish its work and to leave the membership.
    pub fn stop(self: &Arc<Self>) {
        self.stopping.store(true, Ordering::Relaxed);
        self.handle(Event::StopRequested);
    }

    /// Sends ticks to the decision logic until the task is dropped.
    pub async fn run_ticks(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.handle(Event::Tick);
        }
    }

    /// Passes an event to the decision logic and carries out the resulting actions.
    pub fn handle(self: &Arc<Self>, event: Event) {
        for action in self.node.handle(self.now(), event) {
            self.perform(action);
        }
    }

    fn perform(self: &Arc<Self>, action: Action) {
        match action {
            Action::Send { to, message } => {
                if let Some(address) = self.address_of(&to) {
                    self.connections.send(&to, address, message);
                }
            }
            Action::Transact { tag, transaction } => {
                tokio::spawn(Arc::clone(self).transact(tag, transaction));
            }
            Action::Order { machine, order } => {
                tokio::spawn(Arc::clone(self).send_order(machine, order));
            }
            Action::ReadReport { machine } => {
                tokio::spawn(Arc::clone(self).read_report(machine));
            }
            Action::ReadMachineList => {
                tokio::spawn(Arc::clone(self).read_machine_list());
            }
            Action::Dispatch { id, machine } => {
                self.send_command(id.request, Command::Dispatch(id, machine));
            }
            Action::Refuse { request, refusal } => {
                self.send_command(request, Command::Refuse(refusal));
            }
            Action::AnswerChange { id, result } => {
                if let Some(sender) = self.changes.lock().remove(&id) {
                    // The operator may have disconnected; the change is made all the same.
                    let _ = sender.send(result);
                }
            }
        }
    }

    fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        if let Some(entry) = self.node.peer(node) {
            return Some(entry.address);
        }
        let has_id = |peer: &&PeerSection| peer.id == *node;
        self.settings
            .peers
            .iter()
            .find(has_id)
            .map(|peer| peer.address)
    }

    fn send_command(&self, request: RequestId, command: Command) {
        if let Some(sender) = self.requests.lock().get(&request) {
            // A dropped request has already notified the decision logic.
            let _ = sender.send(command);
        }
    }

    async fn transact(self: Arc<Self>, tag: TransactionTag, transaction: Transaction) {
        let answer = self.table.transact(&transaction).await;
        let outcome = match &answer {
            TransactionResult::Committed { .. } => "committed",
            TransactionResult::Conflict { .. } => "conflict",
            TransactionResult::Refused { .. } => "refused",
            TransactionResult::Unknown => "unknown",
        };
        self.metrics
            .transactions
            .with_label_values(&[outcome])
            .inc();
        *self.is_table_responding.lock() = Some(answer != TransactionResult::Unknown);
        self.handle(Event::TableAnswered { tag, answer });
    }

    async fn send_order(self: Arc<Self>, machine: Machine, order: Order) {
        let result = self.engines.order(machine.address, &order).await;
        self.handle(Event::OrderAnswered {
            back_end: machine.id,
            fence: order.fence,
            sequence: order.sequence,
            result,
        });
    }

    async fn read_report(self: Arc<Self>, machine: Machine) {
        let report = self.engines.report(machine.address).await;
        self.handle(Event::ReportRead {
            back_end: machine.id,
            report,
        });
    }

    async fn read_machine_list(self: Arc<Self>) {
        match self.machine_list.read().await {
            Ok((list, errors)) => {
                self.metrics.machine_list_errors.inc_by(errors.len() as u64);
                for error in errors {
                    log::debug!("{error}");
                }
                self.handle(Event::MachineListRead(list));
            }
            Err(error) => log::debug!("cannot read the machine list: {error}"),
        }
    }

    /// Whether the table service responded to the last transaction; `None` before the
    /// first transaction.
    pub fn is_table_responding(&self) -> Option<bool> {
        *self.is_table_responding.lock()
    }

    /// Registers a request and returns the receiver of its commands.
    pub fn register(&self, request: RequestId) -> mpsc::UnboundedReceiver<Command> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.requests.lock().insert(request, sender);
        receiver
    }

    /// Removes a request from the receivers of commands.
    pub fn unregister(&self, request: RequestId) {
        self.requests.lock().remove(&request);
    }

    /// Applies a change that an operator requested, and waits for its result.
    pub async fn apply_change(self: &Arc<Self>, change: Change) -> Result<Row, ChangeError> {
        let id = ChangeId(self.change_numbers.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.changes.lock().insert(id, sender);
        self.handle(Event::ChangeRequested { id, change });
        receiver.await.unwrap_or(Err(ChangeError::Unknown))
    }
}
