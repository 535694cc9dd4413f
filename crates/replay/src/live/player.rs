//! Runs the requests, changes and faults of a trace against a live deployment, in real time, and
//! returns the recorded history and the violated rules.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::bail;
use gorsebank_clients::HttpClient;
use gorsebank_coordination::rendezvous;
use gorsebank_emulator::model::engine::EngineRecord;
use gorsebank_emulator::server::application;
use gorsebank_world::{BackEndId, MachineRole, NodeId};
use http::Method;
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::checker::{self, Violation};
use crate::history::{
    CallerAttempt, CallerOutcome, CallerRecord, EngineHistory, Execution, History,
};
use crate::live::callers::LiveCall;
use crate::live::deployment::{Binaries, LinkKind, LiveDeployment};
use crate::simulation::caller::{self, CallerPlan};
use crate::trace::Trace;
use crate::trace::format::{ChangeEvent, FaultEvent, TableMode, TraceEvent};

/// Delay before a caller whose node failed sends its request to the next node.
const NEXT_NODE_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a restart checks whether the stopping node has exited.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Version of ordinary model artifacts.
const MODEL_VERSION: &str = "1";

/// A scheduled action of the replay.
enum Action {
    Trace(TraceEvent),
    StartNode(String),
    StartBackEnd(String),
    KillBackEnd(String),
    Resume(String),
    HealLinks((String, String)),
    HealTable,
    HealStore,
}

struct Player {
    deployment: LiveDeployment,
    http: HttpClient,
    start: Instant,
    actions: Vec<(u64, Action)>,
    history: Arc<Mutex<History>>,
    callers: JoinSet<()>,
}

/// Replays a trace. Returns the history and the violations of rules that do not depend on timing.
pub async fn replay_live(
    binaries: Binaries,
    trace: &Trace,
) -> eyre::Result<(History, Vec<Violation>)> {
    let name = format!("live-{}", trace.header.trace);
    let deployment =
        LiveDeployment::start(binaries, &name, &trace.header, LinkKind::Relayed).await?;
    let mut player = Player {
        deployment,
        http: HttpClient::default(),
        start: Instant::now(),
        actions: Vec::new(),
        history: Arc::default(),
        callers: JoinSet::new(),
    };
    for event in &trace.events {
        player
            .actions
            .push((event.at, Action::Trace(event.event.clone())));
    }
    player.run(trace.header.duration).await?;
    let history = player.finish().await;
    let violations = checker::check_untimed(&history);
    Ok((history, violations))
}

impl Player {
    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    async fn run(&mut self, duration: Duration) -> eyre::Result<()> {
        let end = duration.as_micros() as u64;
        while let Some(index) = self.next_action() {
            let (at, action) = self.actions.swap_remove(index);
            if at > end {
                break;
            }
            let wait = at.saturating_sub(self.now());
            tokio::time::sleep(Duration::from_micros(wait)).await;
            self.execute(action).await?;
        }
        Ok(())
    }

    fn next_action(&self) -> Option<usize> {
        (0..self.actions.len()).min_by_key(|index| self.actions[*index].0)
    }

    fn schedule(&mut self, after: Duration, action: Action) {
        let at = self.now() + after.as_micros() as u64;
        self.actions.push((at, action));
    }

    async fn execute(&mut self, action: Action) -> eyre::Result<()> {
        match action {
            Action::Trace(TraceEvent::Request(request)) => {
                let nodes: Vec<NodeId> = self
                    .deployment
                    .node_ids()
                    .into_iter()
                    .map(NodeId::from)
                    .collect();
                let index = self.history.lock().callers.len();
                for (at, plan) in caller::plan_callers(&nodes, index, self.now(), &request) {
                    self.spawn_caller(at, plan);
                }
            }
            Action::Trace(TraceEvent::Change(change)) => self.apply_change(&change).await,
            Action::Trace(TraceEvent::Fault(fault)) => self.inject_fault(&fault).await?,
            Action::StartNode(id) => {
                let previous = self.deployment.nodes.get_mut(&id);
                if previous.is_some_and(|previous| !previous.has_ended()) {
                    // The previous process is still draining.
                    self.schedule(DRAIN_POLL_INTERVAL, Action::StartNode(id));
                } else {
                    self.deployment.start_node(&id)?;
                }
            }
            Action::StartBackEnd(id) => self.deployment.start_back_end(&id)?,
            Action::KillBackEnd(id) => self.deployment.kill_back_end(&id),
            Action::Resume(id) => self.signal(&id, Signal::SIGCONT),
            Action::HealLinks((one, other)) => {
                self.deployment.change_links((&one, &other), |state| {
                    *state = Default::default();
                })
            }
            Action::HealTable => self.set_table("none").await?,
            Action::HealStore => self.set_store(1.0).await?,
        }
        Ok(())
    }

    /// Spawns a caller that sends its request at the time `at`, in microseconds since the start.
    fn spawn_caller(&mut self, at: u64, plan: CallerPlan) {
        let index = {
            let mut history = self.history.lock();
            history.callers.push(CallerRecord::new(&plan));
            history.callers.len() - 1
        };
        let caller = Caller {
            index,
            plan,
            addresses: self.caller_addresses(),
            http: self.http.clone(),
            start: self.start,
            history: Arc::clone(&self.history),
        };
        self.callers.spawn(caller.run(at));
    }

    fn caller_addresses(&self) -> Vec<(NodeId, std::net::SocketAddr)> {
        self.deployment
            .node_ids()
            .into_iter()
            .filter_map(|id| {
                let addresses = self.deployment.addresses(&id)?;
                Some((NodeId::from(id), addresses.callers))
            })
            .collect()
    }

    async fn apply_change(&self, change: &ChangeEvent) {
        let Some(addresses) = self.deployment.addresses(&change.node) else {
            return;
        };
        let path = format!("/v1/configuration/{}/{}", change.kind, change.name);
        let limit = Duration::from_secs(20);
        // A live replay does not check the responses to operators.
        let _ = self
            .http
            .call::<_, Value>(
                Method::PATCH,
                addresses.admin,
                &path,
                Some(&change.labels),
                limit,
            )
            .await;
    }

    async fn inject_fault(&mut self, fault: &FaultEvent) -> eyre::Result<()> {
        match fault {
            FaultEvent::Kill { process, lasting } => {
                let id = self.resolve_process(process).await;
                self.kill(&id);
                if let Some(lasting) = lasting {
                    let action = if self.deployment.addresses(&id).is_some() {
                        Action::StartNode(id)
                    } else {
                        Action::StartBackEnd(id)
                    };
                    self.schedule(*lasting, action);
                }
            }
            FaultEvent::Pause { process, lasting } => {
                let id = self.resolve_process(process).await;
                self.signal(&id, Signal::SIGSTOP);
                self.schedule(*lasting, Action::Resume(id));
            }
            FaultEvent::Cut { between, lasting } => {
                let one = self.resolve_process(&between.0).await;
                let other = self.resolve_process(&between.1).await;
                self.deployment
                    .change_links((&one, &other), |state| state.cut = true);
                self.schedule(*lasting, Action::HealLinks((one, other)));
            }
            FaultEvent::Slow {
                process,
                by,
                lasting,
            } => {
                let id = self.resolve_process(process).await;
                let by = *by;
                self.deployment
                    .change_links((&id, "*"), |state| state.delay = by);
                self.schedule(*lasting, Action::HealLinks((id, "*".to_owned())));
            }
            FaultEvent::Table { mode, lasting } => {
                let mode = match mode {
                    TableMode::Up => "none",
                    TableMode::Down => "down",
                    TableMode::Silent => "silent",
                    TableMode::Slow => "slow",
                };
                self.set_table(mode).await?;
                self.schedule(*lasting, Action::HealTable);
            }
            FaultEvent::Store { slowdown, lasting } => {
                self.set_store(*slowdown).await?;
                self.schedule(*lasting, Action::HealStore);
            }
            FaultEvent::Leave { process, notice } => {
                self.deployment.list_as_draining(process).await?;
                if let Some(notice) = notice {
                    self.schedule(*notice, Action::KillBackEnd(process.clone()));
                }
            }
            FaultEvent::Stop { process, lasting } => self.stop_node(process, *lasting).await,
            FaultEvent::Scramble { .. } | FaultEvent::Random { .. } => {
                bail!("the faults `scramble` and `random` cannot be played live")
            }
        }
        Ok(())
    }

    async fn stop_node(&mut self, process: &str, lasting: Option<Duration>) {
        let id = self.resolve_process(process).await;
        let stop = (NodeId::from(id.as_str()), self.now());
        self.history.lock().planned_stops.push(stop);
        self.signal(&id, Signal::SIGTERM);
        if let Some(lasting) = lasting {
            self.schedule(lasting, Action::StartNode(id));
        }
    }

    fn kill(&mut self, id: &str) {
        match self.deployment.nodes.remove(id) {
            Some(mut process) => process.kill(),
            None => self.deployment.kill_back_end(id),
        }
    }

    fn signal(&self, id: &str, signal: Signal) {
        let nodes = self.deployment.nodes.get(id);
        if let Some(process) = nodes.or_else(|| self.deployment.back_ends.get(id)) {
            process.signal(signal);
        }
    }

    async fn set_table(&self, mode: &str) -> eyre::Result<()> {
        let address = self.deployment.table.address();
        self.deployment.put(address, "/fault", &json!(mode)).await
    }

    async fn set_store(&self, slowdown: f64) -> eyre::Result<()> {
        let address = self.deployment.store.address();
        self.deployment
            .put(address, "/slowdown", &json!(slowdown))
            .await
    }

    /// Resolves the name of a process in a trace. `holder` and `owner:MODEL` stand for the present
    /// lease holder and queue owner, as the first node that responds reports them.
    async fn resolve_process(&self, name: &str) -> String {
        let model = name.strip_prefix("owner:");
        if name != "holder" && model.is_none() {
            return name.to_owned();
        }
        for id in self.deployment.nodes.keys() {
            let Some(status) = self.deployment.status(id).await else {
                continue;
            };
            let found = match model {
                None => status["holder"].as_str().map(str::to_owned),
                Some(model) => find_owner(model, &status),
            };
            if let Some(found) = found {
                return found;
            }
        }
        name.to_owned()
    }

    async fn finish(mut self) -> History {
        while self.callers.join_next().await.is_some() {}
        let mut history = std::mem::take(&mut *self.history.lock());
        history.end = self.now();
        self.collect_back_ends(&mut history);
        history
    }

    fn collect_back_ends(&self, history: &mut History) {
        for (id, role, memory) in self.deployment.described_back_ends() {
            let lines = self.deployment.output_lines(&id);
            let back_end = BackEndId::from(id.as_str());
            match role {
                MachineRole::Engine => {
                    let records = lines
                        .iter()
                        .filter_map(|line| serde_json::from_str::<EngineRecord>(line).ok())
                        .collect();
                    let engine = EngineHistory { memory, records };
                    history
                        .executions
                        .extend(engine_executions(&back_end, &engine));
                    history.engines.insert(back_end, engine);
                }
                MachineRole::Application => {
                    let executions = lines.iter().filter_map(|line| {
                        let ran: application::Execution = serde_json::from_str(line).ok()?;
                        application_execution(&back_end, &ran)
                    });
                    history.executions.extend(executions);
                }
            }
        }
    }
}

fn find_owner(model: &str, status: &Value) -> Option<String> {
    let nodes: Vec<NodeId> = status["live_nodes"]
        .as_array()?
        .iter()
        .filter_map(|node| node.as_str().map(NodeId::from))
        .collect();
    let queue = format!("{model}@{MODEL_VERSION}");
    rendezvous::first(&queue, &nodes).map(ToString::to_string)
}

fn engine_executions(back_end: &BackEndId, engine: &EngineHistory) -> Vec<Execution> {
    use gorsebank_emulator::model::engine::EngineEvent;

    engine
        .records
        .iter()
        .filter_map(|record| match &record.event {
            EngineEvent::Ran { request } => {
                let (id, _) = request.split_once('-')?;
                Some(Execution {
                    at: record.at * 1_000,
                    until: record.at * 1_000,
                    artifact: None,
                    back_end: back_end.clone(),
                    request: id.parse().ok()?,
                    key: None,
                    repeatable: true,
                })
            }
            _ => None,
        })
        .collect()
}

fn application_execution(back_end: &BackEndId, ran: &application::Execution) -> Option<Execution> {
    let (id, _) = ran.request.split_once('-')?;
    Some(Execution {
        at: 0,
        until: 0,
        artifact: None,
        back_end: back_end.clone(),
        request: id.parse().ok()?,
        key: ran.key.clone(),
        repeatable: false,
    })
}

/// A caller that sends one request in one or more attempts.
struct Caller {
    index: usize,
    plan: CallerPlan,
    addresses: Vec<(NodeId, std::net::SocketAddr)>,
    http: HttpClient,
    start: Instant,
    history: Arc<Mutex<History>>,
}

impl Caller {
    async fn run(self, at: u64) {
        let wait = at.saturating_sub(self.now());
        tokio::time::sleep(Duration::from_micros(wait)).await;
        for node in self.plan.nodes.iter().cycle() {
            if self.now() >= self.plan.deadline {
                return;
            }
            let Some((_, address)) = self.addresses.iter().find(|(id, _)| id == node) else {
                return;
            };
            let mut record = CallerAttempt {
                node: node.clone(),
                request: None,
                at: self.now(),
                first_event: None,
                received: Vec::new(),
                end: None,
            };
            let call = LiveCall {
                http: &self.http,
                address: *address,
                start: self.start,
                plan: &self.plan,
            };
            call.run(&mut record).await;
            let has_node_failed = matches!(record.end, Some((_, CallerOutcome::NodeDied)));
            // A refused connection does not count as an attempt.
            let was_refused =
                has_node_failed && record.request.is_none() && record.received.is_empty();
            if !was_refused {
                self.history.lock().callers[self.index]
                    .attempts
                    .push(record);
            }
            if !has_node_failed || (!self.plan.is_persistent && !was_refused) {
                return;
            }
            tokio::time::sleep(NEXT_NODE_DELAY).await;
        }
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }
}
