//! Writes log lines when the state of the cluster changes: the live nodes, the
//! holder of the placement lease, and whether the table service responds. Frequent
//! events are counted in metrics instead.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::NodeStatus;
use gorsebank_world::NodeId;

use crate::host::Host;

/// The interval between two reads of the state.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The state that was logged last.
#[derive(Debug, Default)]
struct LoggedState {
    live: BTreeSet<NodeId>,
    holder: Option<NodeId>,
    is_holder: bool,
    is_table_responding: Option<bool>,
}

/// Logs changes until the task is dropped.
pub async fn run(host: Arc<Host>) {
    let mut logged = LoggedState::default();
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    loop {
        ticks.tick().await;
        let status = host.node().status();
        logged.record_nodes(&status);
        logged.record_holder(&status);
        logged.record_table(host.is_table_responding());
    }
}

impl LoggedState {
    fn record_nodes(&mut self, status: &NodeStatus) {
        let live: BTreeSet<NodeId> = status.view.nodes.keys().cloned().collect();
        for node in live.difference(&self.live) {
            log::info!("node {node} is alive");
        }
        for node in self.live.difference(&live) {
            log::warn!("node {node} is not alive any more");
        }
        self.live = live;
    }

    fn record_holder(&mut self, status: &NodeStatus) {
        if status.is_holder != self.is_holder {
            self.is_holder = status.is_holder;
            if self.is_holder {
                log::info!(
                    "this node acquired the placement lease, fencing token {}",
                    status.view.fence
                );
            } else {
                log::info!("this node lost the placement lease");
            }
        }
        if status.view.holder != self.holder {
            self.holder = status.view.holder.clone();
            match &self.holder {
                Some(holder) => log::info!("node {holder} holds the placement lease"),
                None => log::warn!("no live node holds the placement lease"),
            }
        }
    }

    fn record_table(&mut self, answers: Option<bool>) {
        if answers == self.is_table_responding {
            return;
        }
        match answers {
            Some(true) => log::info!("the table service responds"),
            Some(false) => log::warn!("the table service does not respond"),
            None => {}
        }
        self.is_table_responding = answers;
    }
}
