//! Handles messages from other nodes. The input is a message and its sender; the
//! results are calls of the node's components, messages and actions.

use gorsebank_contract::{Heartbeat, PeerMessage};
use gorsebank_world::NodeId;

use crate::configuration_writer::ConfigurationDelta;
use crate::node::{EventContext, Node, machines_message};
use crate::queues::{Demand, Release};

impl Node {
    pub(super) fn receive(&self, context: &mut EventContext, from: &NodeId, message: PeerMessage) {
        let now = context.now;
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.receive_heartbeat(context, from, heartbeat),
            PeerMessage::Tickets(tickets) => {
                let machines = self.machines();
                let (decisions, demands) = {
                    let mut queues = self.queues.lock();
                    let decisions = queues.offer(now, from, &tickets, &machines);
                    (decisions, queues.due_demands(now))
                };
                self.apply_decisions(context, decisions);
                let view = self.view();
                self.send_demands(context, &view, demands);
            }
            PeerMessage::Grants(grants) => {
                let (view, machines) = (self.view(), self.machines());
                for grant in grants {
                    let output = self
                        .front
                        .lock()
                        .apply_grant(now, from, grant, &view, &machines);
                    self.apply_front(context, output);
                }
            }
            PeerMessage::Refused { id, refusal } => {
                let output = self.front.lock().apply_refusal(id, refusal);
                self.apply_front(context, output);
            }
            PeerMessage::Returned(ids) => {
                let view = self.view();
                let output = self.front.lock().reoffer_tickets(now, &ids, &view);
                self.apply_front(context, output);
            }
            PeerMessage::Recall(queue) => {
                let output = self.front.lock().return_recalled_slots(now, &queue);
                self.apply_front(context, output);
            }
            PeerMessage::Cancel { queue, id } => self.queues.lock().cancel(&queue, id),
            PeerMessage::Released {
                queue,
                back_end,
                slots,
                service_time,
                has_failure: troubled,
            } => {
                let release = Release {
                    queue,
                    back_end,
                    slots,
                    service_time,
                    has_failure: troubled,
                };
                self.release_slots(context, from, &release);
            }
            PeerMessage::Held(held) => self.queues.lock().apply_held_report(now, from, &held),
            PeerMessage::Demand {
                artifact,
                waiting,
                running,
                remaining,
                known,
            } => {
                let demand = Demand {
                    artifact,
                    waiting,
                    running,
                    remaining,
                    known,
                };
                {
                    let configuration = self.configuration.read();
                    self.placement
                        .lock()
                        .apply_demand(now, from, &demand, &configuration);
                }
                if demand.waiting > 0 {
                    self.tick_placement(context);
                }
            }
            PeerMessage::Replicas(set) => {
                let machines = self.machines();
                let decisions = self.queues.lock().set_replicas(now, &set, &machines);
                self.apply_decisions(context, decisions);
            }
            PeerMessage::Report { back_end, report } => {
                self.placement
                    .lock()
                    .apply_engine_report(now, &back_end, report);
                self.tick_placement(context);
            }
            PeerMessage::Suspect { back_end } => {
                self.placement.lock().inspect_back_end(now, &back_end)
            }
            PeerMessage::Machines { version, machines } => {
                let updated = self.machines().with_received_list(version, machines);
                self.apply_machine_list(context, updated, false);
            }
            PeerMessage::MachineListRequest => {
                let message = machines_message(&self.machines());
                self.send(context, from.clone(), message);
            }
            PeerMessage::ConfigurationRequest { above } => {
                let message = self.configuration_above(above);
                self.send(context, from.clone(), message);
            }
            PeerMessage::Configuration {
                above,
                complete,
                rows,
            } => {
                let delta = ConfigurationDelta {
                    above,
                    complete,
                    rows,
                };
                self.merge_configuration(context, delta, Some(from));
            }
            message => self.receive_claim_message(context, from, message),
        }
    }

    pub(super) fn receive_claim_message(
        &self,
        context: &mut EventContext,
        from: &NodeId,
        message: PeerMessage,
    ) {
        let now = context.now;
        match message {
            PeerMessage::Claim {
                epoch,
                key,
                request,
            } => {
                let answer = self.claims.lock().member.claim(now, epoch, &key, request);
                let message = PeerMessage::ClaimResponse {
                    epoch,
                    request,
                    response: answer,
                };
                self.send(context, from.clone(), message);
            }
            PeerMessage::ClaimResponse {
                epoch,
                request,
                response: answer,
            } => {
                let output = self
                    .claims
                    .lock()
                    .rounds
                    .handle_answer(from, epoch, request, answer);
                self.apply_rounds(context, output);
            }
            PeerMessage::ClaimEnded {
                key,
                request,
                withdrawn,
            } => self.claims.lock().member.end(&key, request, withdrawn),
            PeerMessage::ClaimSeal { current, next } => {
                let sealed = self.claims.lock().member.seal(current, next);
                if let Some(records) = sealed {
                    let message = PeerMessage::ClaimSealed { next, records };
                    self.send(context, from.clone(), message);
                }
            }
            PeerMessage::ClaimSealed { next, records } => {
                if let Some(groups) = self.placement.lock().claim_groups() {
                    groups.record_sealed(from, next, records);
                }
            }
            PeerMessage::ClaimInstall {
                group,
                records,
                quarantine,
            } => {
                let epoch = group.epoch;
                let is_installed = self
                    .claims
                    .lock()
                    .member
                    .install(now, group, records, quarantine);
                if is_installed {
                    let message = PeerMessage::ClaimInstalled { epoch };
                    self.send(context, from.clone(), message);
                }
            }
            PeerMessage::ClaimInstalled { epoch } => {
                if let Some(groups) = self.placement.lock().claim_groups() {
                    groups.record_installed(from, epoch);
                }
                self.tick_placement(context);
            }
            PeerMessage::ClaimGroupChanged(group) => self.apply_claim_group(context, group),
            PeerMessage::ClaimGroupRequest => {
                let group = self.claims.lock().rounds.group().clone();
                let message = PeerMessage::ClaimGroupChanged(group);
                self.send(context, from.clone(), message);
            }
            _ => {}
        }
    }

    pub(super) fn receive_heartbeat(
        &self,
        context: &mut EventContext,
        from: &NodeId,
        heartbeat: Heartbeat,
    ) {
        let own_revision = self.configuration.read().complete();
        let own_machines = self.machines().version();
        let own_epoch = self.claims.lock().rounds.group().epoch;
        let is_same_cell = heartbeat.cell == self.identity.cell;
        if heartbeat.revision > own_revision {
            let message = PeerMessage::ConfigurationRequest {
                above: own_revision,
            };
            self.send(context, from.clone(), message);
        }
        if is_same_cell && heartbeat.machine_list_version > own_machines {
            self.send(context, from.clone(), PeerMessage::MachineListRequest);
        }
        if is_same_cell && heartbeat.epoch > own_epoch {
            self.send(context, from.clone(), PeerMessage::ClaimGroupRequest);
        }
        let is_current = is_same_cell && heartbeat.machine_list_version <= own_machines;
        self.front
            .lock()
            .record_message(context.now, from, is_current);
        self.membership.lock().observe(context.now, from, heartbeat);
    }

    pub(super) fn release_slots(
        &self,
        context: &mut EventContext,
        from: &NodeId,
        release: &Release,
    ) {
        let decisions = self.queues.lock().release(context.now, from, release);
        self.apply_decisions(context, decisions);
        if !release.has_failure {
            return;
        }
        if let Some(holder) = self.view().holder.clone() {
            let back_end = release.back_end.clone();
            self.send(context, holder, PeerMessage::Suspect { back_end });
        }
    }
}
