//! Counts of requests in flight at back ends: sums the counts of all gateways and sends the sums to
//! other gateways.

use gorsebank_fleet::distribution_tree::TreePosition;
use gorsebank_fleet::running::Counts;

use super::Shared;
use crate::directory::Directory;
use crate::relay::RootCounts;

impl Shared {
    /// Requests of this gateway in flight at each back end, and those that contend for models whose
    /// engines are full.
    pub fn own_running(&self) -> Counts {
        let mut counts = self.directory(Directory::running);
        counts.extend(self.engine_queues.counts(self.now()));
        counts
    }

    /// Requests in flight of this gateway and of all gateways below it in the tree, for another
    /// root.
    pub fn root_counts(&self) -> RootCounts {
        let own = self.own_running();
        let now = self.now();
        RootCounts {
            from: self.settings.node.clone(),
            counts: self.feed.running.lock().subtree_counts(now, &own),
        }
    }

    /// Records the counts of another root.
    pub fn record_root(&self, root_counts: RootCounts) {
        let now = self.now();
        let mut running = self.feed.running.lock();
        running.record_root(now, root_counts.from.as_str(), root_counts.counts);
    }

    /// Requests of all gateways in flight at each back end; `None` if unknown.
    pub fn running_totals(&self) -> Option<Counts> {
        let own = self.own_running();
        let (now, position) = (self.now(), self.feed.parents.lock().position());
        let mut running = self.feed.running.lock();
        match position {
            TreePosition::Root => Some(running.root_totals(now, &own)),
            _ => running.forwarded_totals(now, &own),
        }
    }

    /// Computes the sums over all gateways at a root, and records them.
    pub fn record_own_totals(&self) {
        let own = self.own_running();
        let now = self.now();
        let mut running = self.feed.running.lock();
        let sums = running.root_totals(now, &own);
        running.record_totals(now, &sums, &own);
    }
}
