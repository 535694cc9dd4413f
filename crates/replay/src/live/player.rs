//! Plays the events of a trace over a live deployment, in real time.

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
use crate::history::{CallerEnd, CallerRecord, CallerTry, EngineHistory, Execution, History};
use crate::live::callers::LiveCall;
use crate::live::deployment::{Binaries, LinkKind, LiveDeployment};
use crate::simulation::caller::{self, CallerPlan};
use crate::trace::Trace;
use crate::trace::format::{ChangeEvent, FaultEvent, TableMode, TraceEvent};

/// A caller whose node is gone asks the next after so long.
const NEXT_NODE: Duration = Duration::from_millis(50);
/// Between two looks at whether a stopping node has ended.
const DRAIN_POLL: Duration = Duration::from_millis(200);
/// Version of ordinary model artifacts.
const VERSION: &str = "1";

/// Something that is done at a moment.
enum Step {
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
    steps: Vec<(u64, Step)>,
    history: Arc<Mutex<History>>,
    callers: JoinSet<()>,
}

/// Plays a trace; gives what violates the rules that cannot depend on timing.
pub async fn play_live(
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
        steps: Vec::new(),
        history: Arc::default(),
        callers: JoinSet::new(),
    };
    for event in &trace.events {
        player
            .steps
            .push((event.at, Step::Trace(event.event.clone())));
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
        while let Some(index) = self.next_step() {
            let (at, step) = self.steps.swap_remove(index);
            if at > end {
                break;
            }
            let wait = at.saturating_sub(self.now());
            tokio::time::sleep(Duration::from_micros(wait)).await;
            self.carry_out(step).await?;
        }
        Ok(())
    }

    fn next_step(&self) -> Option<usize> {
        (0..self.steps.len()).min_by_key(|index| self.steps[*index].0)
    }

    fn later(&mut self, after: Duration, step: Step) {
        let at = self.now() + after.as_micros() as u64;
        self.steps.push((at, step));
    }

    async fn carry_out(&mut self, step: Step) -> eyre::Result<()> {
        match step {
            Step::Trace(TraceEvent::Request(request)) => {
                let nodes: Vec<NodeId> = self
                    .deployment
                    .node_ids()
                    .into_iter()
                    .map(NodeId::from)
                    .collect();
                let index = self.history.lock().callers.len();
                for (at, plan) in caller::plans(&nodes, index, self.now(), &request) {
                    self.call(at, plan);
                }
            }
            Step::Trace(TraceEvent::Change(change)) => self.change(&change).await,
            Step::Trace(TraceEvent::Fault(fault)) => self.fault(&fault).await?,
            Step::StartNode(id) => {
                let former = self.deployment.nodes.get_mut(&id);
                if former.is_some_and(|former| !former.has_ended()) {
                    // A node that was asked to stop still drains.
                    self.later(DRAIN_POLL, Step::StartNode(id));
                } else {
                    self.deployment.start_node(&id)?;
                }
            }
            Step::StartBackEnd(id) => self.deployment.start_back_end(&id)?,
            Step::KillBackEnd(id) => self.deployment.kill_back_end(&id),
            Step::Resume(id) => self.signal(&id, Signal::SIGCONT),
            Step::HealLinks((one, other)) => {
                self.deployment.change_links((&one, &other), |state| {
                    *state = Default::default();
                })
            }
            Step::HealTable => self.set_table("none").await?,
            Step::HealStore => self.set_store(1.0).await?,
        }
        Ok(())
    }

    /// Starts a caller at its moment.
    fn call(&mut self, at: u64, plan: CallerPlan) {
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

    async fn change(&self, change: &ChangeEvent) {
        let Some(addresses) = self.deployment.addresses(&change.node) else {
            return;
        };
        let path = format!("/v1/configuration/{}/{}", change.kind, change.name);
        let limit = Duration::from_secs(20);
        // What operators are told is not judged in a live replay.
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

    async fn fault(&mut self, fault: &FaultEvent) -> eyre::Result<()> {
        match fault {
            FaultEvent::Kill { process, lasting } => {
                let id = self.name_of(process).await;
                self.kill(&id);
                if let Some(lasting) = lasting {
                    let step = if self.deployment.addresses(&id).is_some() {
                        Step::StartNode(id)
                    } else {
                        Step::StartBackEnd(id)
                    };
                    self.later(*lasting, step);
                }
            }
            FaultEvent::Pause { process, lasting } => {
                let id = self.name_of(process).await;
                self.signal(&id, Signal::SIGSTOP);
                self.later(*lasting, Step::Resume(id));
            }
            FaultEvent::Cut { between, lasting } => {
                let one = self.name_of(&between.0).await;
                let other = self.name_of(&between.1).await;
                self.deployment
                    .change_links((&one, &other), |state| state.cut = true);
                self.later(*lasting, Step::HealLinks((one, other)));
            }
            FaultEvent::Slow {
                process,
                by,
                lasting,
            } => {
                let id = self.name_of(process).await;
                let by = *by;
                self.deployment
                    .change_links((&id, "*"), |state| state.delay = by);
                self.later(*lasting, Step::HealLinks((id, "*".to_owned())));
            }
            FaultEvent::Table { mode, lasting } => {
                let mode = match mode {
                    TableMode::Up => "none",
                    TableMode::Down => "down",
                    TableMode::Silent => "silent",
                    TableMode::Slow => "slow",
                };
                self.set_table(mode).await?;
                self.later(*lasting, Step::HealTable);
            }
            FaultEvent::Store { slowdown, lasting } => {
                self.set_store(*slowdown).await?;
                self.later(*lasting, Step::HealStore);
            }
            FaultEvent::Leave { process, notice } => {
                self.deployment.list_as_leaving(process).await?;
                if let Some(notice) = notice {
                    self.later(*notice, Step::KillBackEnd(process.clone()));
                }
            }
            FaultEvent::Stop { process, lasting } => self.stop(process, *lasting).await,
            FaultEvent::Scramble { .. } | FaultEvent::Random { .. } => {
                bail!("the faults `scramble` and `random` cannot be played live")
            }
        }
        Ok(())
    }

    async fn stop(&mut self, process: &str, lasting: Option<Duration>) {
        let id = self.name_of(process).await;
        let stop = (NodeId::from(id.as_str()), self.now());
        self.history.lock().planned_stops.push(stop);
        self.signal(&id, Signal::SIGTERM);
        if let Some(lasting) = lasting {
            self.later(lasting, Step::StartNode(id));
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

    /// The process that a trace names: `holder` and `owner:MODEL` are whoever
    /// it is now, as the first node that answers sees it.
    async fn name_of(&self, name: &str) -> String {
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
                Some(model) => owner_of(model, &status),
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
            let lines = self.deployment.lines_of(&id);
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

fn owner_of(model: &str, status: &Value) -> Option<String> {
    let nodes: Vec<NodeId> = status["live_nodes"]
        .as_array()?
        .iter()
        .filter_map(|node| node.as_str().map(NodeId::from))
        .collect();
    let queue = format!("{model}@{VERSION}");
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

/// One caller with its tries.
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
            let mut record = CallerTry {
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
            let died = matches!(record.end, Some((_, CallerEnd::NodeDied)));
            // A connection that was refused at once was no try.
            let was_refused = died && record.request.is_none() && record.received.is_empty();
            if !was_refused {
                self.history.lock().callers[self.index].tries.push(record);
            }
            if !died || (!self.plan.is_persistent && !was_refused) {
                return;
            }
            tokio::time::sleep(NEXT_NODE).await;
        }
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }
}
