//! Watches engines so that the placement holder need not ask each of them.
//!
//! In: the live nodes, the machine list, engines' short reports, time. Out:
//! reports to read, and word for the holder where something changed. Each
//! engine has one watcher, by rendezvous over the live nodes.

use std::collections::BTreeMap;

use gorsebank_contract::{EngineReport, Fence};
use gorsebank_world::{BackEndId, Machine, MachineRole, NodeId};

use crate::machines::MachineTable;
use crate::membership::View;
use crate::time::Timestamp;

/// An engine's report is read so often, in milliseconds.
const WATCH_INTERVAL: u64 = 1_000;

/// What a watcher tells the holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The engine.
    pub back_end: BackEndId,
    /// Its report, or `None` if it did not answer.
    pub report: Option<EngineReport>,
}

#[derive(Debug)]
struct Watched {
    machine: Machine,
    next: Timestamp,
    /// What the holder under that fence was told last.
    told: Option<(Fence, Option<EngineReport>)>,
}

/// The engines that this node watches.
#[derive(Debug, Default)]
pub struct Watcher {
    watched: BTreeMap<BackEndId, Watched>,
    versions: (u64, u64),
}

impl Watcher {
    /// Engines whose reports shall be read now.
    pub fn tick(
        &mut self,
        now: Timestamp,
        this: &NodeId,
        view: &View,
        machines: &MachineTable,
    ) -> Vec<Machine> {
        self.follow(now, this, view, machines);
        let due = self.watched.values_mut().filter(|it| it.next <= now);
        due.map(|watched| {
            watched.next = now + WATCH_INTERVAL;
            watched.machine.clone()
        })
        .collect()
    }

    fn follow(&mut self, now: Timestamp, this: &NodeId, view: &View, machines: &MachineTable) {
        let versions = (view.version, machines.version());
        if self.versions == versions {
            return;
        }
        self.versions = versions;
        let mut former = std::mem::take(&mut self.watched);
        let engines = machines
            .back_ends()
            .filter(|machine| machine.role == MachineRole::Engine)
            .filter(|machine| view.owner(machine.id.as_str()) == Some(this));
        for (position, machine) in engines.enumerate() {
            let known = former.remove(&machine.id);
            // Readings are spread over the interval.
            let phase = position as u64 * 37 % WATCH_INTERVAL;
            let watched = Watched {
                machine: machine.clone(),
                next: known.as_ref().map_or(now + phase, |known| known.next),
                told: known.and_then(|known| known.told),
            };
            self.watched.insert(machine.id.clone(), watched);
        }
    }

    /// Takes in an engine's report; gives what the holder does not know yet.
    pub fn read(
        &mut self,
        back_end: &BackEndId,
        report: Option<EngineReport>,
        fence: Fence,
    ) -> Option<Observation> {
        let watched = self.watched.get_mut(back_end)?;
        let news = (fence, report);
        if watched.told == Some(news) {
            return None;
        }
        watched.told = Some(news);
        Some(Observation {
            back_end: back_end.clone(),
            report,
        })
    }
}
