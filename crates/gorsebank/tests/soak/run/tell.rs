//! What back ends saw in a run.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{BackEnd, Run};
use crate::history::{History, PauseWanted};

impl Run {
    /// What back ends saw.
    pub(super) fn tell(&self, history: &mut History) {
        let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for back_end in self.all.lock().iter() {
            let runner = &back_end.runner;
            // Each life of it for itself.
            let life = format!("{} of {:?}", runner.id, back_end.born);
            for seen in runner.seen() {
                let at = runs.entry(seen.id().to_owned()).or_default();
                at.push(runner.id.clone());
            }
            // What it turned away did not run there.
            for (_, id) in back_end.mood.turned_away.lock().iter() {
                if let Some(at) = runs.get_mut(id)
                    && let Some(index) = at.iter().position(|name| *name == runner.id)
                {
                    at.remove(index);
                }
            }
            let models = runner.most_models();
            history.most_models.insert(life.clone(), models);
            let orders = runner.orders();
            let fences = orders.iter().filter_map(|order| order["fence"].as_u64());
            history.fences.insert(life, fences.collect());
        }
        // What asks whether gateways serve bears one id.
        runs.remove("probe");
        runs.remove("ending");
        history.endings = std::mem::take(&mut *self.endings.lock());
        history.runs = runs;
        history.done = std::mem::take(&mut *self.done.lock());
        history.left = std::mem::take(&mut *self.left.lock());
        history.limits = std::mem::take(&mut *self.limits.lock());
        let tries = history.tries.iter();
        let process_of: BTreeMap<&str, usize> =
            tries.map(|one| (one.id.as_str(), one.process)).collect();
        let all = self.all.lock();
        for left in &mut history.left {
            let back_end = all.iter().find(|one| one.runner.id == left.back_end);
            left.arrived_in_the_end = back_end.map_or(0, |one| one.runner.seen().len());
        }
        let of_process = |at: Instant, id: &str| {
            let process = process_of.get(id)?;
            Some((at.checked_duration_since(self.began)?, *process))
        };
        let arrivals = |back_end: &BackEnd| -> Vec<(Duration, usize)> {
            let seen = back_end.runner.seen().into_iter();
            seen.filter_map(|seen| of_process(seen.at, seen.id()))
                .collect()
        };
        for limited in &mut history.limits {
            let back_end = all.iter().find(|one| one.runner.id == limited.back_end);
            limited.arrivals = back_end.map(arrivals).unwrap_or_default();
        }
        history.departed = std::mem::take(&mut *self.departed.lock());
        let busy = all
            .iter()
            .filter(|one| !one.mood.turned_away.lock().is_empty());
        let pauses = busy.map(|back_end| PauseWanted {
            back_end: back_end.runner.id.clone(),
            turned_away: back_end
                .mood
                .turned_away
                .lock()
                .iter()
                .filter_map(|(at, id)| of_process(*at, id))
                .collect(),
            arrivals: arrivals(back_end),
        });
        history.pauses = pauses.collect();
    }
}
