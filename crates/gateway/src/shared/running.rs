//! What all gateways have running at back ends, as this one adds it up and tells it.

use gorsebank_fleet::feeders::Place;
use gorsebank_fleet::running::Counts;

use super::Shared;
use crate::directory::Directory;
use crate::relay::RootCounts;

impl Shared {
    /// What this gateway has running at back ends.
    pub fn own_running(&self) -> Counts {
        self.directory(Directory::running)
    }

    /// What this gateway and all below it have running, for another root.
    pub fn root_counts(&self) -> RootCounts {
        let own = self.own_running();
        let now = self.now();
        RootCounts {
            from: self.settings.node.clone(),
            counts: self.feed.running.lock().below(now, &own),
        }
    }

    /// Another root told its counts.
    pub fn note_root(&self, told: RootCounts) {
        let now = self.now();
        let mut running = self.feed.running.lock();
        running.note_root(now, told.from.as_str(), told.counts);
    }

    /// What all gateways have running at back ends; none if it is not known.
    pub fn running_sums(&self) -> Option<Counts> {
        let own = self.own_running();
        let (now, place) = (self.now(), self.feed.parents.lock().place());
        let mut running = self.feed.running.lock();
        match place {
            Place::Root => Some(running.at_root(now, &own)),
            _ => running.sums(now, &own),
        }
    }

    /// A root takes in its own sums.
    pub fn sum_up_running(&self) {
        let own = self.own_running();
        let now = self.now();
        let mut running = self.feed.running.lock();
        let sums = running.at_root(now, &own);
        running.note_sums(now, &sums, &own);
    }
}
