//! Takes in what is the same on all nodes, and passes news on: configuration,
//! the machine list, the claim group.

use std::sync::Arc;

use gorsebank_contract::{ClaimGroup, PeerMessage, Revision};
use gorsebank_world::NodeId;

use crate::configuration_writer::Learned;
use crate::machines::MachineTable;
use crate::node::{Node, Turn, machines_message};

/// Configuration rows in one message at the most: a frame has 8 MiB, and the
/// target's 62,000 adapters would nearly fill it.
const ROWS_PER_MESSAGE: usize = 2_000;

impl Node {
    pub(super) fn configuration_above(&self, above: Revision) -> PeerMessage {
        let configuration = self.configuration.read();
        let (rows, complete) = configuration.delta_above(above, ROWS_PER_MESSAGE);
        PeerMessage::Configuration {
            above,
            complete,
            rows,
        }
    }

    /// Merges rows and, if they were news, passes them on: to the whole cell
    /// when they came from outside it, and to one node of every other cell
    /// when this node wrote them.
    pub(super) fn learn(&self, turn: &mut Turn, learned: Learned, from: Option<&NodeId>) {
        let merged =
            self.configuration
                .write()
                .merge(learned.above, learned.complete, learned.rows.clone());
        match merged {
            Ok(true) if learned.rows.len() >= ROWS_PER_MESSAGE => {
                // Others hear of so much by heartbeat, and ask for it in parts;
                // there may be more where this came from.
                if let Some(from) = from {
                    let above = learned.complete;
                    let message = PeerMessage::ConfigurationWanted { above };
                    self.send(turn, from.clone(), message);
                }
            }
            Ok(true) => {
                let message = PeerMessage::Configuration {
                    above: learned.above,
                    complete: learned.complete,
                    rows: learned.rows,
                };
                let receivers = {
                    let membership = self.membership.lock();
                    membership.spread(from, learned.complete)
                };
                for to in receivers {
                    self.send(turn, to, message.clone());
                }
            }
            Ok(false) => {}
            Err(gap) => {
                if let Some(from) = from {
                    let above = gap.complete;
                    self.send(
                        turn,
                        from.clone(),
                        PeerMessage::ConfigurationWanted { above },
                    );
                }
            }
        }
    }

    pub(super) fn take_machines(&self, turn: &mut Turn, table: Option<MachineTable>, tell: bool) {
        let Some(table) = table else {
            return;
        };
        let table = Arc::new(table);
        *self.machines.write() = Arc::clone(&table);
        let (view, nodes) = {
            let mut membership = self.membership.lock();
            membership.set_candidates(&table.list().nodes);
            (membership.view(), membership.near())
        };
        let decisions = self.queues.lock().apply_machines(turn.now, &table);
        self.apply_decisions(turn, decisions);
        if tell {
            let message = machines_message(&table);
            for to in nodes
                .into_iter()
                .filter(|node| view.nodes.contains_key(node))
            {
                self.send(turn, to, message.clone());
            }
        }
    }

    pub(super) fn take_group(&self, turn: &mut Turn, group: ClaimGroup) {
        let output = {
            let mut claims = self.claims.lock();
            claims.member.activate_epoch(group.epoch);
            if claims.rounds.set_group(group) {
                claims.rounds.tick(turn.now)
            } else {
                Vec::new()
            }
        };
        self.apply_rounds(turn, output);
    }
}
