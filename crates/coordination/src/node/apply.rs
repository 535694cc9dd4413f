//! Carries out what the parts of a node want done: messages, actions of the
//! host, and words from one part to another.

use gorsebank_contract::{AttemptOutcome, PeerMessage, TicketId};
use gorsebank_world::{BackEndId, NodeId};

use crate::claim_round::RoundOutput;
use crate::configuration_writer::WriterOutput;
use crate::event::{Action, TransactionTag};
use crate::front::FrontOutput;
use crate::membership::View;
use crate::node::{Node, Turn};
use crate::placement::PlacementOutput;
use crate::queue::Decision;
use crate::queues::Demand;

impl Node {
    pub(super) fn apply_decisions(&self, turn: &mut Turn, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant(front, grant) => {
                    self.send(turn, front, PeerMessage::Grants(vec![grant]));
                }
                Decision::Recall(front, queue) => {
                    self.send(turn, front, PeerMessage::Recall(queue));
                }
                Decision::Refuse(front, id, refusal) => {
                    self.send(turn, front, PeerMessage::Refused { id, refusal });
                }
            }
        }
    }

    pub(super) fn apply_front(&self, turn: &mut Turn, outputs: Vec<FrontOutput>) {
        for output in outputs {
            match output {
                FrontOutput::Offer(owner, ticket) => {
                    self.send(turn, owner, PeerMessage::Tickets(vec![ticket]));
                }
                FrontOutput::Cancel(owner, queue, id) => {
                    self.send(turn, owner, PeerMessage::Cancel { queue, id });
                }
                FrontOutput::Claim(request, key) => {
                    let output = self.claims.lock().rounds.start(turn.now, request, key);
                    self.apply_rounds(turn, output);
                }
                FrontOutput::WithdrawClaim(request, key) => {
                    let output = self.claims.lock().rounds.end(request, &key, true);
                    self.apply_rounds(turn, output);
                }
                FrontOutput::CompleteClaim(request, key) => {
                    let output = self.claims.lock().rounds.end(request, &key, false);
                    self.apply_rounds(turn, output);
                }
                FrontOutput::Dispatch(id, back_end) => self.dispatch_to(turn, id, &back_end),
                FrontOutput::Refuse(request, refusal) => {
                    turn.actions.push(Action::Refuse { request, refusal });
                }
                FrontOutput::Account(owner, held) => {
                    self.send(turn, owner, PeerMessage::Held(held));
                }
                FrontOutput::Release(owner, release) => {
                    let message = PeerMessage::Released {
                        queue: release.queue,
                        back_end: release.back_end,
                        slots: release.slots,
                        service_time: release.service_time,
                        troubled: release.troubled,
                    };
                    self.send(turn, owner, message);
                }
            }
        }
    }

    pub(super) fn dispatch_to(&self, turn: &mut Turn, id: TicketId, back_end: &BackEndId) {
        match self.machines().back_end(back_end) {
            Some(machine) => turn.actions.push(Action::Dispatch {
                id,
                machine: machine.clone(),
            }),
            None => {
                let outcome = AttemptOutcome::NotSent;
                let output = self.front.lock().attempt_ended(turn.now, id, outcome);
                self.apply_front(turn, output);
            }
        }
    }

    pub(super) fn apply_rounds(&self, turn: &mut Turn, outputs: Vec<RoundOutput>) {
        for output in outputs {
            match output {
                RoundOutput::Send(to, message) => self.send(turn, to, message),
                RoundOutput::Decided(request, verdict) => {
                    let output = self.front.lock().claimed(turn.now, request, verdict);
                    self.apply_front(turn, output);
                }
                RoundOutput::GroupReported(group) => self.take_group(turn, group),
            }
        }
    }

    pub(super) fn apply_placement(&self, turn: &mut Turn, outputs: Vec<PlacementOutput>) {
        for output in outputs {
            match output {
                PlacementOutput::Transact(number, transaction) => {
                    turn.actions.push(Action::Transact {
                        tag: TransactionTag::Placement(number),
                        transaction,
                    });
                }
                PlacementOutput::Order(machine, order) => {
                    turn.actions.push(Action::Order { machine, order });
                }
                PlacementOutput::Send(to, message) => self.send(turn, to, message),
                PlacementOutput::GroupInForce(group) => {
                    let nodes = self.membership.lock().near();
                    for to in nodes {
                        let message = PeerMessage::ClaimGroupChanged(group.clone());
                        self.send(turn, to, message);
                    }
                    self.take_group(turn, group);
                }
            }
        }
    }

    pub(super) fn apply_writer(&self, turn: &mut Turn, outputs: Vec<WriterOutput>) {
        for output in outputs {
            match output {
                WriterOutput::Transact(number, transaction) => {
                    turn.actions.push(Action::Transact {
                        tag: TransactionTag::Configuration(number),
                        transaction,
                    });
                }
                WriterOutput::Learned(learned) => self.learn(turn, learned, None),
                WriterOutput::Answer(id, result) => {
                    turn.actions.push(Action::AnswerChange { id, result });
                }
            }
        }
    }

    pub(super) fn send_demands(&self, turn: &mut Turn, view: &View, demands: Vec<Demand>) {
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
            self.send(turn, holder.clone(), message);
        }
    }

    pub(super) fn send(&self, turn: &mut Turn, to: NodeId, message: PeerMessage) {
        if to == self.identity.node {
            turn.own.push_back(message);
        } else {
            turn.actions.push(Action::Send { to, message });
        }
    }
}
