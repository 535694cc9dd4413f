//! Collection of what back ends observed in a soak run.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{BackEnd, Run};
use crate::history::{History, RequestedPauses};

impl Run {
    /// Moves the observations of the run and of its back ends into the history.
    pub(super) fn collect_observations(&self, history: &mut History) {
        let mut executions: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for back_end in self.all_back_ends.lock().iter() {
            let runner = &back_end.runner;
            // Each incarnation of a back end is recorded separately.
            let incarnation = format!("{} of {:?}", runner.id, back_end.start_time_ms);
            for seen in runner.requests() {
                let at = executions.entry(seen.id().to_owned()).or_default();
                at.push(runner.id.clone());
            }
            // A request that the back end rejected did not run there.
            let rejections = back_end.conditions.rejections.lock();
            let rejected = rejections.iter().map(|(_, id)| id);
            let repeated_rejections = back_end.conditions.repeated_rejections.lock();
            for id in rejected.chain(repeated_rejections.iter()) {
                if let Some(at) = executions.get_mut(id)
                    && let Some(index) = at.iter().position(|name| *name == runner.id)
                {
                    at.remove(index);
                }
            }
            let models = runner.max_models();
            history.max_models.insert(incarnation.clone(), models);
            let orders = runner.orders();
            let fences = orders.iter().filter_map(|order| order["fence"].as_u64());
            history.fences.insert(incarnation, fences.collect());
        }
        // Probes of the gateways and crashing requests share one id each, so they are no executions
        // of a single request.
        executions.remove("probe");
        executions.remove("ending");
        history.crash_arrivals = std::mem::take(&mut *self.crash_arrivals.lock());
        history.executions = executions;
        history.peak_memory = std::mem::take(&mut *self.peak_memory.lock());
        history.disturbances = std::mem::take(&mut *self.disturbances.lock());
        history.row_drains = std::mem::take(&mut *self.row_drains.lock());
        history.limited_back_ends = std::mem::take(&mut *self.limited_back_ends.lock());
        let requests = history.requests.iter();
        let process_of: BTreeMap<&str, usize> = requests
            .map(|request| (request.id.as_str(), request.process))
            .collect();
        let all = self.all_back_ends.lock();
        for drain in &mut history.row_drains {
            let back_end = all
                .iter()
                .find(|back_end| back_end.runner.id == drain.back_end);
            drain.arrived_in_total =
                back_end.map_or(0, |back_end| back_end.runner.requests().len());
        }
        let with_process = |at: Instant, id: &str| {
            let process = process_of.get(id)?;
            Some((at.checked_duration_since(self.started_at)?, *process))
        };
        let arrivals = |back_end: &BackEnd| -> Vec<(Duration, usize)> {
            let seen = back_end.runner.requests().into_iter();
            seen.filter_map(|seen| with_process(seen.received_at, seen.id()))
                .collect()
        };
        for limited in &mut history.limited_back_ends {
            let back_end = all
                .iter()
                .find(|back_end| back_end.runner.id == limited.back_end);
            limited.arrivals = back_end.map(arrivals).unwrap_or_default();
        }
        history.response_drains = std::mem::take(&mut *self.response_drains.lock());
        let rejecting = all
            .iter()
            .filter(|back_end| !back_end.conditions.rejections.lock().is_empty());
        let pauses = rejecting.map(|back_end| RequestedPauses {
            back_end: back_end.runner.id.clone(),
            rejections: back_end
                .conditions
                .rejections
                .lock()
                .iter()
                .filter_map(|(at, id)| with_process(*at, id))
                .collect(),
            arrivals: arrivals(back_end),
        });
        history.requested_pauses = pauses.collect();
    }
}
