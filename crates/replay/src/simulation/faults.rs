//! What fails, and how it heals.

use std::time::Duration;

use gorsebank_coordination::Event;
use gorsebank_world::{BackEndId, MachineState, NodeId};
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::ablation::Ablation;
use crate::history::{CallerEnd, LeaveRecord, PauseRecord};
use crate::simulation::caller_events::LINGER;
use crate::simulation::world::{MILLISECOND, SECOND, SimEvent, Simulation};
use crate::trace::format::{FaultEvent, RandomKind, TableMode};

/// A stopping node looks so often whether it may end.
const STOP_CHECK: u64 = 100 * MILLISECOND;
/// A stopping node ends after so long whatever is open.
const STOP_LIMIT: u64 = 120 * SECOND;

fn microseconds(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

impl Simulation {
    pub(super) fn fault(&mut self, fault: &FaultEvent) {
        match fault {
            FaultEvent::Kill { process, lasting } => self.kill(process, *lasting),
            FaultEvent::Pause { process, lasting } => {
                self.pause(process, microseconds(*lasting));
            }
            FaultEvent::Cut { between, lasting } => {
                let ends = [self.name_of(&between.0), self.name_of(&between.1)];
                let until = self.now + microseconds(*lasting);
                self.network.cut(&ends[0], &ends[1], until);
                self.disturb(&ends[0], until);
                self.disturb(&ends[1], until);
                self.note(format!("{} and {} are cut off", ends[0], ends[1]));
            }
            FaultEvent::Slow {
                process,
                by,
                lasting,
            } => {
                let process = self.name_of(process);
                let until = self.now + microseconds(*lasting);
                self.network.slow_down(&process, microseconds(*by), until);
                self.disturb(&process, until);
                self.note(format!("{process} is slow"));
            }
            FaultEvent::Table { mode, lasting } => {
                self.table.fail(*mode, self.now + microseconds(*lasting));
                self.note(format!("the table is {mode:?}"));
            }
            FaultEvent::Store { slowdown, lasting } => {
                let until = self.now + microseconds(*lasting);
                self.store.slow_down(*slowdown, until);
                self.note(format!("the store is {slowdown} times as slow"));
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
                self.note(format!("streams of {process} are scrambled"));
            }
            FaultEvent::Leave { process, notice } => self.leave(process, *notice),
            FaultEvent::Stop { process, lasting } => self.stop(process, *lasting),
            FaultEvent::Random {
                count,
                during,
                kinds,
            } => self.plan_random(*count, microseconds(*during), kinds),
        }
    }

    /// The process that a trace names: `holder` and `owner:MODEL` are whoever
    /// it is now, as most nodes see it.
    fn name_of(&self, name: &str) -> String {
        let duty = match name.strip_prefix("owner:") {
            None if name != "holder" => return name.to_owned(),
            duty => duty,
        };
        let seen: Vec<NodeId> = self
            .nodes
            .values()
            .filter_map(|node| node.node.as_ref())
            .filter_map(|node| {
                let view = node.status().view;
                match duty {
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

    fn disturb(&mut self, process: &str, until: u64) {
        let affected = self
            .nodes
            .values_mut()
            .filter(|node| process == "*" || node.id.as_str() == process);
        for node in affected {
            node.undisturbed_since = node.undisturbed_since.max(until);
        }
    }

    fn kill(&mut self, process: &str, lasting: Option<Duration>) {
        let name = self.name_of(process);
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
        self.note(format!("{id} dies with {} open requests", callers.len()));
        for caller in callers {
            self.caller_ends(caller, CallerEnd::NodeDied);
        }
    }

    fn pause(&mut self, process: &str, lasting: u64) {
        let name = self.name_of(process);
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
        self.note(format!("{name} stands still"));
    }

    fn leave(&mut self, process: &str, notice: Option<Duration>) {
        let id = BackEndId::from(process);
        let visible = self.list.change(self.now, |list| {
            for machine in &mut list.back_ends {
                if machine.id == id {
                    machine.state = MachineState::Leaving;
                }
            }
        });
        self.history.leaves.push(LeaveRecord {
            back_end: id.clone(),
            visible,
        });
        self.note(format!("{id} is leaving"));
        if let Some(notice) = notice {
            let at = self.now + microseconds(notice);
            self.queue.add(at, SimEvent::BackEndDies { back_end: id });
        }
    }

    fn stop(&mut self, process: &str, lasting: Option<Duration>) {
        let id = NodeId::from(self.name_of(process));
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
        let life = node.life;
        self.note(format!("{id} is asked to stop"));
        self.tell(&id, Event::StopRequested);
        let check = SimEvent::StopCheck {
            node: id,
            life,
            asked: self.now,
            restart,
        };
        self.queue.add(self.now + LINGER, check);
    }

    pub(super) fn stop_check(&mut self, id: NodeId, life: u32, asked: u64, restart: Option<u64>) {
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        let Some(running) = node.node.as_ref().filter(|_| node.life == life) else {
            return;
        };
        let waited = self.now.saturating_sub(asked);
        let is_done = node.open.is_empty() && running.is_drained();
        if !is_done && waited < STOP_LIMIT {
            let check = SimEvent::StopCheck {
                node: id,
                life,
                asked,
                restart,
            };
            return self.queue.add(self.now + STOP_CHECK, check);
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
