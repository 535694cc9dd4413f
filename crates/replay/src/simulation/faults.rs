//! Injects the faults of a trace into the simulation and schedules their ends.

use std::time::Duration;

use gorsebank_coordination::Event;
use gorsebank_world::{BackEndId, MachineState, NodeId};
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::ablation::Ablation;
use crate::history::{CallerOutcome, DrainRecord, PauseRecord};
use crate::simulation::caller_events::STOP_LINGER_US;
use crate::simulation::world::{MILLISECOND, SECOND, SimEvent, Simulation};
use crate::trace::format::{FaultEvent, RandomKind, TableMode};

/// Interval at which a stopping node checks whether it may exit.
const STOP_CHECK_INTERVAL_US: u64 = 100 * MILLISECOND;
/// Time after which a stopping node exits even with open requests.
const STOP_TIMEOUT_US: u64 = 120 * SECOND;

fn microseconds(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

impl Simulation {
    pub(super) fn inject_fault(&mut self, fault: &FaultEvent) {
        match fault {
            FaultEvent::Kill { process, lasting } => self.kill(process, *lasting),
            FaultEvent::Pause { process, lasting } => {
                self.pause(process, microseconds(*lasting));
            }
            FaultEvent::Cut { between, lasting } => {
                let ends = [
                    self.resolve_process(&between.0),
                    self.resolve_process(&between.1),
                ];
                let until = self.now + microseconds(*lasting);
                self.network.cut(&ends[0], &ends[1], until);
                self.record_disturbance(&ends[0], until);
                self.record_disturbance(&ends[1], until);
                self.log_event(format!("link between {} and {} is cut", ends[0], ends[1]));
            }
            FaultEvent::Slow {
                process,
                by,
                lasting,
            } => {
                let process = self.resolve_process(process);
                let until = self.now + microseconds(*lasting);
                self.network.slow_down(&process, microseconds(*by), until);
                self.record_disturbance(&process, until);
                self.log_event(format!("messages of {process} are delayed"));
            }
            FaultEvent::Table { mode, lasting } => {
                self.table.fail(*mode, self.now + microseconds(*lasting));
                self.log_event(format!("the table is {mode:?}"));
            }
            FaultEvent::Store { slowdown, lasting } => {
                let until = self.now + microseconds(*lasting);
                self.store.slow_down(*slowdown, until);
                self.log_event(format!(
                    "loads from the weight store take {slowdown} times as long"
                ));
            }
            FaultEvent::Scramble {
                process,
                share,
                lasting,
            } => {
                let until = self.now + microseconds(*lasting);
                let id = BackEndId::from(process.as_str());
                if let Some(back_end) = self.back_ends.get_mut(&id) {
                    back_end.scramble = (*share, until);
                }
                self.log_event(format!("streams of {process} are scrambled"));
            }
            FaultEvent::Leave { process, notice } => self.drain_back_end(process, *notice),
            FaultEvent::Stop { process, lasting } => self.stop_node(process, *lasting),
            FaultEvent::Random {
                count,
                during,
                kinds,
            } => self.plan_random(*count, microseconds(*during), kinds),
        }
    }

    /// Resolves the name of a process in a trace. `holder` and `owner:MODEL` stand for the present
    /// lease holder and queue owner, as most nodes report them.
    fn resolve_process(&self, name: &str) -> String {
        let model = match name.strip_prefix("owner:") {
            None if name != "holder" => return name.to_owned(),
            model => model,
        };
        let seen: Vec<NodeId> = self
            .nodes
            .values()
            .filter_map(|node| node.node.as_ref())
            .filter_map(|node| {
                let view = node.status().view;
                match model {
                    None => view.holder.clone(),
                    Some(model) => {
                        let queue = node.resolve(model).ok()?.to_string();
                        view.owner(&queue).cloned()
                    }
                }
            })
            .collect();
        let most = seen.iter().max_by_key(|id| {
            (
                seen.iter().filter(|other| other == id).count(),
                (*id).clone(),
            )
        });
        most.map_or_else(|| name.to_owned(), ToString::to_string)
    }

    fn record_disturbance(&mut self, process: &str, until: u64) {
        let affected = self
            .nodes
            .values_mut()
            .filter(|node| process == "*" || node.id.as_str() == process);
        for node in affected {
            node.undisturbed_since = node.undisturbed_since.max(until);
        }
    }

    fn kill(&mut self, process: &str, lasting: Option<Duration>) {
        let name = self.resolve_process(process);
        let starts = lasting.map(|lasting| self.now + microseconds(lasting));
        let id = NodeId::from(name.as_str());
        if let Some(node) = self.nodes.get(&id) {
            if node.node.is_none() {
                return;
            }
            self.kill_node(&id);
            if let Some(at) = starts {
                self.queue.add(at, SimEvent::NodeStarts { node: id });
            }
            return;
        }
        let id = BackEndId::from(name.as_str());
        if self.back_ends.get(&id).is_none_or(|it| !it.is_alive) {
            return;
        }
        self.back_end_dies(&id);
        if let Some(at) = starts {
            self.queue.add(at, SimEvent::BackEndStarts { back_end: id });
        }
    }

    fn kill_node(&mut self, id: &NodeId) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let callers = node.kill();
        self.log_event(format!(
            "{id} is killed with {} open requests",
            callers.len()
        ));
        for caller in callers {
            self.caller_ends(caller, CallerOutcome::NodeDied);
        }
    }

    fn pause(&mut self, process: &str, lasting: u64) {
        let name = self.resolve_process(process);
        let until = self.now + lasting;
        if let Some(node) = self.nodes.get_mut(&NodeId::from(name.as_str())) {
            node.paused_until = node.paused_until.max(until);
            node.undisturbed_since = node.undisturbed_since.max(until);
            self.history.pauses.push(PauseRecord {
                node: NodeId::from(name.as_str()),
                from: self.now,
                until,
            });
        }
        if let Some(back_end) = self.back_ends.get_mut(&BackEndId::from(name.as_str())) {
            back_end.paused_until = back_end.paused_until.max(until);
        }
        self.log_event(format!("{name} is suspended"));
    }

    fn drain_back_end(&mut self, process: &str, notice: Option<Duration>) {
        let id = BackEndId::from(process);
        let visible = self.list.change(self.now, |list| {
            for machine in &mut list.back_ends {
                if machine.id == id {
                    machine.state = MachineState::Draining;
                }
            }
        });
        self.history.drains.push(DrainRecord {
            back_end: id.clone(),
            visible,
        });
        self.log_event(format!("{id} is draining"));
        if let Some(notice) = notice {
            let at = self.now + microseconds(notice);
            self.queue.add(at, SimEvent::BackEndDies { back_end: id });
        }
    }

    fn stop_node(&mut self, process: &str, lasting: Option<Duration>) {
        let id = NodeId::from(self.resolve_process(process));
        self.history.planned_stops.push((id.clone(), self.now));
        let restart = lasting.map(microseconds);
        if self.ablation == Some(Ablation::Drain) {
            self.kill_node(&id);
            if let Some(pause) = restart {
                let at = self.now + pause;
                self.queue.add(at, SimEvent::NodeStarts { node: id });
            }
            return;
        }
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.node.is_none() || node.is_stopping {
            return;
        }
        node.is_stopping = true;
        let incarnation = node.incarnation;
        self.log_event(format!("{id} is asked to stop"));
        self.deliver_event(&id, Event::StopRequested);
        let check = SimEvent::StopCheck {
            node: id,
            incarnation,
            asked: self.now,
            restart,
        };
        self.queue.add(self.now + STOP_LINGER_US, check);
    }

    pub(super) fn stop_check(
        &mut self,
        id: NodeId,
        incarnation: u32,
        asked: u64,
        restart: Option<u64>,
    ) {
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        let Some(running) = node
            .node
            .as_ref()
            .filter(|_| node.incarnation == incarnation)
        else {
            return;
        };
        let waited = self.now.saturating_sub(asked);
        let is_done = node.open.is_empty() && running.is_drained();
        if !is_done && waited < STOP_TIMEOUT_US {
            let check = SimEvent::StopCheck {
                node: id,
                incarnation,
                asked,
                restart,
            };
            return self.queue.add(self.now + STOP_CHECK_INTERVAL_US, check);
        }
        self.kill_node(&id);
        if let Some(pause) = restart {
            let at = self.now + pause;
            self.queue.add(at, SimEvent::NodeStarts { node: id });
        }
    }

    fn plan_random(&mut self, count: u32, during: u64, kinds: &[RandomKind]) {
        for _ in 0..count {
            let at = self.now + self.random.random_range(0..during.max(1));
            let Some(kind) = kinds.choose(&mut self.random).copied() else {
                return;
            };
            let fault = self.random_fault(kind);
            self.queue.add(at, SimEvent::Fault(Box::new(fault)));
        }
    }

    fn random_fault(&mut self, kind: RandomKind) -> FaultEvent {
        let node = self.random_node();
        let other = self.random_node();
        let back_end = self.random_back_end();
        let lasting = Duration::from_millis(self.random.random_range(500..12_000));
        match kind {
            RandomKind::KillNode => FaultEvent::Kill {
                process: node,
                lasting: Some(lasting),
            },
            RandomKind::PauseNode => FaultEvent::Pause {
                process: node,
                lasting,
            },
            RandomKind::Cut => {
                let to_table = other == node || self.random.random_bool(0.3);
                let end = if to_table { "table".to_owned() } else { other };
                FaultEvent::Cut {
                    between: (node, end),
                    lasting,
                }
            }
            RandomKind::KillBackEnd => FaultEvent::Kill {
                process: back_end,
                lasting: Some(lasting),
            },
            RandomKind::PauseBackEnd => FaultEvent::Pause {
                process: back_end,
                lasting,
            },
            RandomKind::CutBackEnd => FaultEvent::Cut {
                between: (node, back_end),
                lasting,
            },
            RandomKind::TableDown => FaultEvent::Table {
                mode: TableMode::Down,
                lasting,
            },
            RandomKind::TableSilent => FaultEvent::Table {
                mode: TableMode::Silent,
                lasting: lasting / 4,
            },
            RandomKind::SlowNode => FaultEvent::Slow {
                process: node,
                by: Duration::from_millis(self.random.random_range(20..800)),
                lasting,
            },
            RandomKind::SlowStore => FaultEvent::Store {
                slowdown: self.random.random_range(2.0..10.0),
                lasting,
            },
            RandomKind::Scramble => FaultEvent::Scramble {
                process: back_end,
                share: 0.2,
                lasting,
            },
            RandomKind::StopNode => FaultEvent::Stop {
                process: node,
                lasting: Some(lasting),
            },
        }
    }

    fn random_node(&mut self) -> String {
        let ids: Vec<&NodeId> = self.nodes.keys().collect();
        ids.choose(&mut self.random)
            .map_or_else(String::new, ToString::to_string)
    }

    fn random_back_end(&mut self) -> String {
        let ids: Vec<&BackEndId> = self.back_ends.keys().collect();
        ids.choose(&mut self.random)
            .map_or_else(String::new, ToString::to_string)
    }
}
