//! Applies updates of replicated state and forwards them to other nodes. The
//! replicated state is the configuration, the machine list and the claim group.

use std::sync::Arc;

use gorsebank_contract::{ClaimGroup, PeerMessage, Revision};
use gorsebank_world::NodeId;

use crate::configuration_writer::ConfigurationDelta;
use crate::machines::MachineTable;
use crate::node::{EventContext, Node, machines_message};

/// Maximum number of configuration rows in one message. A frame holds at most
/// 8 MiB, which the rows of a target deployment's 62,000 adapters would nearly
/// fill.
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

    /// Merges rows and forwards them if they were not known. The rows are sent to
    /// the whole cell if they came from outside the cell, and to the whole cell
    /// and one node of every other cell if this node wrote them.
    pub(super) fn merge_configuration(
        &self,
        context: &mut EventContext,
        delta: ConfigurationDelta,
        from: Option<&NodeId>,
    ) {
        let merged =
            self.configuration
                .write()
                .merge(delta.above, delta.complete, delta.rows.clone());
        match merged {
            Ok(true) if delta.rows.len() >= ROWS_PER_MESSAGE => {
                // So many rows are not forwarded: other nodes learn the revision from
                // heartbeats and request the rows in several messages. The sender
                // may have further rows, which this node requests.
                if let Some(from) = from {
                    let above = delta.complete;
                    let message = PeerMessage::ConfigurationRequest { above };
                    self.send(context, from.clone(), message);
                }
            }
            Ok(true) => {
                let message = PeerMessage::Configuration {
                    above: delta.above,
                    complete: delta.complete,
                    rows: delta.rows,
                };
                let receivers = {
                    let membership = self.membership.lock();
                    membership.configuration_receivers(from, delta.complete)
                };
                for to in receivers {
                    self.send(context, to, message.clone());
                }
            }
            Ok(false) => {}
            Err(gap) => {
                if let Some(from) = from {
                    let above = gap.complete;
                    self.send(
                        context,
                        from.clone(),
                        PeerMessage::ConfigurationRequest { above },
                    );
                }
            }
        }
    }

    pub(super) fn apply_machine_list(
        &self,
        context: &mut EventContext,
        table: Option<MachineTable>,
        forward: bool,
    ) {
        let Some(table) = table else {
            return;
        };
        let table = Arc::new(table);
        *self.machines.write() = Arc::clone(&table);
        let (view, nodes) = {
            let mut membership = self.membership.lock();
            membership.set_candidates(&table.list().nodes);
            (membership.view(), membership.cell_peers())
        };
        let decisions = self.queues.lock().apply_machines(context.now, &table);
        self.apply_decisions(context, decisions);
        if forward {
            let message = machines_message(&table);
            for to in nodes
                .into_iter()
                .filter(|node| view.nodes.contains_key(node))
            {
                self.send(context, to, message.clone());
            }
        }
    }

    pub(super) fn apply_claim_group(&self, context: &mut EventContext, group: ClaimGroup) {
        let output = {
            let mut claims = self.claims.lock();
            claims.member.activate_epoch(group.epoch);
            if claims.rounds.set_group(group) {
                claims.rounds.tick(context.now)
            } else {
                Vec::new()
            }
        };
        self.apply_rounds(context, output);
    }
}
