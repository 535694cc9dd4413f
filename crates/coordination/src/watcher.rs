//! Polls the reports of engines on behalf of the placement holder, so that the
//! holder does not have to poll every engine.
//!
//! The inputs are the live nodes, the machine list, the reports of engines and
//! the time. The outputs are the engines whose reports shall be read, and
//! observations for the holder when a report has changed. Each engine is polled
//! by one node, selected by rendezvous hashing over the live nodes.

use std::collections::BTreeMap;

use gorsebank_contract::{EngineReport, Fence};
use gorsebank_world::{BackEndId, Machine, MachineRole, NodeId};

use crate::machines::MachineTable;
use crate::membership::View;
use crate::time::Timestamp;

/// Interval at which an engine's report is read.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Change of an engine's report that is sent to the holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The engine.
    pub back_end: BackEndId,
    /// The report, or `None` if the engine did not respond.
    pub report: Option<EngineReport>,
}

/// An engine that this node polls.
#[derive(Debug)]
struct WatchedEngine {
    machine: Machine,
    /// Time of the next read.
    next: Timestamp,
    /// Last report sent to the holder, and the fencing token of that holder.
    last_sent: Option<(Fence, Option<EngineReport>)>,
}

/// The engines that this node polls.
#[derive(Debug, Default)]
pub struct Watcher {
    watched: BTreeMap<BackEndId, WatchedEngine>,
    /// Versions of the view and of the machine list that `watched` follows.
    versions: (u64, u64),
}

impl Watcher {
    /// Returns the engines whose reports shall be read now.
    pub fn tick(
        &mut self,
        now: Timestamp,
        own_id: &NodeId,
        view: &View,
        machines: &MachineTable,
    ) -> Vec<Machine> {
        self.update_engines(now, own_id, view, machines);
        let due = self
            .watched
            .values_mut()
            .filter(|watched| watched.next <= now);
        due.map(|watched| {
            watched.next = now + REPORT_INTERVAL_MS;
            watched.machine.clone()
        })
        .collect()
    }

    fn update_engines(
        &mut self,
        now: Timestamp,
        own_id: &NodeId,
        view: &View,
        machines: &MachineTable,
    ) {
        let versions = (view.version, machines.version());
        if self.versions == versions {
            return;
        }
        self.versions = versions;
        let mut previous = std::mem::take(&mut self.watched);
        let engines = machines
            .back_ends()
            .filter(|machine| machine.role == MachineRole::Engine)
            .filter(|machine| view.owner(machine.id.as_str()) == Some(own_id));
        for (position, machine) in engines.enumerate() {
            let known = previous.remove(&machine.id);
            // The reads of the engines are spread over the interval.
            let phase = position as u64 * 37 % REPORT_INTERVAL_MS;
            let watched = WatchedEngine {
                machine: machine.clone(),
                next: known.as_ref().map_or(now + phase, |known| known.next),
                last_sent: known.and_then(|known| known.last_sent),
            };
            self.watched.insert(machine.id.clone(), watched);
        }
    }

    /// Handles an engine's report. Returns an observation if the report differs
    /// from the last one sent to the holder under `fence`.
    pub fn handle_report(
        &mut self,
        back_end: &BackEndId,
        report: Option<EngineReport>,
        fence: Fence,
    ) -> Option<Observation> {
        let watched = self.watched.get_mut(back_end)?;
        let update = (fence, report);
        if watched.last_sent == Some(update) {
            return None;
        }
        watched.last_sent = Some(update);
        Some(Observation {
            back_end: back_end.clone(),
            report,
        })
    }
}
