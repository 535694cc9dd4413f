//! Log lines for changes of state: who is alive, who holds the lease, whether
//! the table answers. Whatever happens often is a counter instead.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::NodeStatus;
use gorsebank_world::NodeId;

use crate::host::Host;

/// Between two looks at the state.
const INTERVAL: Duration = Duration::from_millis(500);

/// The state as last logged.
#[derive(Debug, Default)]
struct Seen {
    live: BTreeSet<NodeId>,
    holder: Option<NodeId>,
    is_holder: bool,
    table_answers: Option<bool>,
}

/// Logs changes until the task is dropped.
pub async fn run(host: Arc<Host>) {
    let mut seen = Seen::default();
    let mut ticks = tokio::time::interval(INTERVAL);
    loop {
        ticks.tick().await;
        let status = host.node().status();
        seen.note_nodes(&status);
        seen.note_holder(&status);
        seen.note_table(host.table_answers());
    }
}

impl Seen {
    fn note_nodes(&mut self, status: &NodeStatus) {
        let live: BTreeSet<NodeId> = status.view.nodes.keys().cloned().collect();
        for node in live.difference(&self.live) {
            log::info!("node {node} is alive");
        }
        for node in self.live.difference(&live) {
            log::warn!("node {node} is gone");
        }
        self.live = live;
    }

    fn note_holder(&mut self, status: &NodeStatus) {
        if status.is_holder != self.is_holder {
            self.is_holder = status.is_holder;
            if self.is_holder {
                log::info!(
                    "this node holds the placement lease, fence {}",
                    status.view.fence
                );
            } else {
                log::info!("this node holds the placement lease no more");
            }
        }
        if status.view.holder != self.holder {
            self.holder = status.view.holder.clone();
            match &self.holder {
                Some(holder) => log::info!("{holder} holds the placement lease"),
                None => log::warn!("no live node holds the placement lease"),
            }
        }
    }

    fn note_table(&mut self, answers: Option<bool>) {
        if answers == self.table_answers {
            return;
        }
        match answers {
            Some(true) => log::info!("the table service answers"),
            Some(false) => log::warn!("the table service does not answer"),
            None => {}
        }
        self.table_answers = answers;
    }
}
