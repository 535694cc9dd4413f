//! Applies the outputs of a node's components. The inputs are the outputs of the
//! queues, the front, the claims, the placement and the writer. The results are
//! messages to nodes, actions for the host, and calls of other components.

use gorsebank_contract::{AttemptOutcome, PeerMessage, TicketId};
use gorsebank_world::{BackEndId, NodeId};

use crate::claim_round::RoundOutput;
use crate::configuration_writer::WriterOutput;
use crate::event::{Action, TransactionTag};
use crate::front::FrontOutput;
use crate::membership::View;
use crate::node::{EventContext, Node};
use crate::placement::PlacementOutput;
use crate::queue::Decision;
use crate::queues::Demand;

impl Node {
    pub(super) fn apply_decisions(&self, context: &mut EventContext, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant(front, grant) => {
                    self.send(context, front, PeerMessage::Grants(vec![grant]));
                }
                Decision::Recall(front, queue) => {
                    self.send(context, front, PeerMessage::Recall(queue));
                }
                Decision::Refuse(front, id, refusal) => {
                    self.send(context, front, PeerMessage::Refused { id, refusal });
                }
            }
        }
    }

    pub(super) fn apply_front(&self, context: &mut EventContext, outputs: Vec<FrontOutput>) {
        for output in outputs {
            match output {
                FrontOutput::Offer(owner, ticket) => {
                    self.send(context, owner, PeerMessage::Tickets(vec![ticket]));
                }
                FrontOutput::Cancel(owner, queue, id) => {
                    self.send(context, owner, PeerMessage::Cancel { queue, id });
                }
                FrontOutput::Claim(request, key) => {
                    let output = self.claims.lock().rounds.start(context.now, request, key);
                    self.apply_rounds(context, output);
                }
                FrontOutput::WithdrawClaim(request, key) => {
                    let output = self.claims.lock().rounds.end(request, &key, true);
                    self.apply_rounds(context, output);
                }
                FrontOutput::CompleteClaim(request, key) => {
                    let output = self.claims.lock().rounds.end(request, &key, false);
                    self.apply_rounds(context, output);
                }
                FrontOutput::Dispatch(id, back_end) => self.dispatch_to(context, id, &back_end),
                FrontOutput::Refuse(request, refusal) => {
                    context.actions.push(Action::Refuse { request, refusal });
                }
                FrontOutput::ReportHeldSlots(owner, held) => {
                    self.send(context, owner, PeerMessage::Held(held));
                }
                FrontOutput::Release(owner, release) => {
                    let message = PeerMessage::Released {
                        queue: release.queue,
                        back_end: release.back_end,
                        slots: release.slots,
                        service_time: release.service_time,
                        has_failure: release.has_failure,
                    };
                    self.send(context, owner, message);
                }
            }
        }
    }

    pub(super) fn dispatch_to(
        &self,
        context: &mut EventContext,
        id: TicketId,
        back_end: &BackEndId,
    ) {
        match self.machines().back_end(back_end) {
            Some(machine) => context.actions.push(Action::Dispatch {
                id,
                machine: machine.clone(),
            }),
            None => {
                let outcome = AttemptOutcome::NotSent;
                let output = self.front.lock().apply_outcome(context.now, id, outcome);
                self.apply_front(context, output);
            }
        }
    }

    pub(super) fn apply_rounds(&self, context: &mut EventContext, outputs: Vec<RoundOutput>) {
        for output in outputs {
            match output {
                RoundOutput::Send(to, message) => self.send(context, to, message),
                RoundOutput::Decided(request, outcome) => {
                    let output =
                        self.front
                            .lock()
                            .apply_claim_result(context.now, request, outcome);
                    self.apply_front(context, output);
                }
                RoundOutput::GroupReported(group) => self.apply_claim_group(context, group),
            }
        }
    }

    pub(super) fn apply_placement(
        &self,
        context: &mut EventContext,
        outputs: Vec<PlacementOutput>,
    ) {
        for output in outputs {
            match output {
                PlacementOutput::Transact(number, transaction) => {
                    context.actions.push(Action::Transact {
                        tag: TransactionTag::Placement(number),
                        transaction,
                    });
                }
                PlacementOutput::Order(machine, order) => {
                    context.actions.push(Action::Order { machine, order });
                }
                PlacementOutput::Send(to, message) => self.send(context, to, message),
                PlacementOutput::GroupInForce(group) => {
                    let nodes = self.membership.lock().cell_peers();
                    for to in nodes {
                        let message = PeerMessage::ClaimGroupChanged(group.clone());
                        self.send(context, to, message);
                    }
                    self.apply_claim_group(context, group);
                }
            }
        }
    }

    pub(super) fn apply_writer(&self, context: &mut EventContext, outputs: Vec<WriterOutput>) {
        for output in outputs {
            match output {
                WriterOutput::Transact(number, transaction) => {
                    context.actions.push(Action::Transact {
                        tag: TransactionTag::Configuration(number),
                        transaction,
                    });
                }
                WriterOutput::Merge(delta) => self.merge_configuration(context, delta, None),
                WriterOutput::Answer(id, result) => {
                    context.actions.push(Action::AnswerChange { id, result });
                }
            }
        }
    }

    pub(super) fn send_demands(
        &self,
        context: &mut EventContext,
        view: &View,
        demands: Vec<Demand>,
    ) {
        let Some(holder) = &view.holder else {
            return;
        };
        for demand in demands {
            let message = PeerMessage::Demand {
                artifact: demand.artifact,
                waiting: demand.waiting,
                running: demand.running,
                remaining: demand.remaining,
                known: demand.known,
            };
            self.send(context, holder.clone(), message);
        }
    }

    pub(super) fn send(&self, context: &mut EventContext, to: NodeId, message: PeerMessage) {
        if to == self.identity.node {
            context.local_messages.push_back(message);
        } else {
            context.actions.push(Action::Send { to, message });
        }
    }
}
