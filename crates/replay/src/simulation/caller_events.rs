//! Handles the simulation events of callers and operators: sent requests, received stream events,
//! outcomes, and configuration changes.

use gorsebank_contract::{PriorityClass, RequestId};
use gorsebank_coordination::{Arrival, ChangeError, ChangeId, Event, EventId, Timestamp};
use gorsebank_world::{NodeId, QueueKey, Row};

use crate::ablation::Ablation;
use crate::history::{CallerAttempt, CallerOutcome, CallerRecord, ChangeRecord};
use crate::simulation::caller::{self, CallerPlan};
use crate::simulation::node_host::OpenRequest;
use crate::simulation::operator;
use crate::simulation::world::{MILLISECOND, SECOND, SimEvent, Simulation};
use crate::trace::format::{ChangeEvent, RequestEvent};

/// Delay before a caller retries after its node failed or no node accepted its connection.
const NEXT_NODE_DELAY_US: u64 = 50 * MILLISECOND;
/// Time between a stop request to a node and the first check whether the node may exit.
pub(super) const STOP_LINGER_US: u64 = SECOND;

impl Simulation {
    pub(super) fn plan_callers(&mut self, index: usize, request: &RequestEvent) {
        let nodes: Vec<NodeId> = self.nodes.keys().cloned().collect();
        for (at, mut plan) in caller::plan_callers(&nodes, index, self.now, request) {
            self.history.callers.push(CallerRecord::new(&plan));
            if self.ablation == Some(Ablation::Priorities) {
                plan.class = PriorityClass::Interactive;
            }
            self.callers.push(plan);
            let caller = self.callers.len() - 1;
            self.queue.add(at, SimEvent::CallerSends { caller });
        }
    }

    pub(super) fn caller_sends(&mut self, caller: usize) {
        let plan = self.callers[caller].clone();
        if self.now >= plan.deadline {
            return;
        }
        let tries = self.history.callers[caller].attempts.len();
        let chosen = (0..plan.nodes.len())
            .map(|offset| plan.nodes[(tries + offset) % plan.nodes.len()].clone())
            .find(|id| self.accepts_connections(id));
        let Some(id) = chosen else {
            let event = SimEvent::CallerSends { caller };
            return self.queue.add(self.now + NEXT_NODE_DELAY_US, event);
        };
        self.history.callers[caller].attempts.push(CallerAttempt {
            node: id.clone(),
            request: None,
            at: self.now,
            first_event: None,
            received: Vec::new(),
            end: None,
        });
        self.arrive_at(caller, &id, &plan);
    }

    fn accepts_connections(&self, id: &NodeId) -> bool {
        self.nodes
            .get(id)
            .is_some_and(|node| node.node.is_some() && !node.is_stopping)
    }

    fn arrive_at(&mut self, caller: usize, id: &NodeId, plan: &CallerPlan) {
        let attempt = self.history.callers[caller].attempts.len() - 1;
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let Some(running) = &node.node else {
            return;
        };
        let queue = if plan.is_service {
            Ok(QueueKey::Service(plan.of.as_str().into()))
        } else {
            running.resolve(&plan.of)
        };
        let request: RequestId = running.new_request();
        self.history.callers[caller].attempts[attempt].request = Some(request);
        let Ok(queue) = queue else {
            // The node does not know the model, or not yet, and refuses the request.
            let end = CallerOutcome::Refused {
                reason: gorsebank_contract::RefusalReason::NoPlace,
                ran: gorsebank_contract::ExecutionStatus::No,
                retry_after: Some(1_000),
            };
            return self.caller_ends((caller, attempt), end);
        };
        node.open.insert(
            request,
            OpenRequest {
                caller: (caller, attempt),
                attempt: None,
            },
        );
        let event = Event::RequestArrived(Arrival {
            request,
            queue,
            class: plan.class,
            deadline: Timestamp(plan.deadline / MILLISECOND),
            repeatable: plan.repeatable,
            key: plan.key.clone(),
        });
        let incarnation = node.incarnation;
        self.schedule_for_node(self.now, id, incarnation, event);
    }

    pub(super) fn caller_receives(&mut self, caller: (usize, usize), id: EventId) {
        let now = self.now;
        let record = &mut self.history.callers[caller.0].attempts[caller.1];
        record.first_event.get_or_insert(now);
        record.received.push((id.stream, id.number));
    }

    pub(super) fn caller_ends(&mut self, caller: (usize, usize), end: CallerOutcome) {
        let now = self.now;
        let record = &mut self.history.callers[caller.0].attempts[caller.1];
        if record.end.is_some() {
            return;
        }
        let may_retry = end == CallerOutcome::NodeDied && self.callers[caller.0].is_persistent;
        record.end = Some((now, end));
        if may_retry {
            let event = SimEvent::CallerSends { caller: caller.0 };
            self.queue.add(now + NEXT_NODE_DELAY_US, event);
        }
    }

    pub(super) fn operator_changes(&mut self, event: &ChangeEvent) {
        let id = NodeId::from(event.node.as_str());
        let Some(running) = self.nodes.get(&id).and_then(|node| node.node.as_ref()) else {
            return;
        };
        let change = operator::change_from_event(event, running);
        let number = ChangeId(self.history.changes.len() as u64);
        self.history.changes.push(ChangeRecord {
            key: change.key.clone(),
            accepted: None,
            error: None,
            labels: event.labels.clone(),
        });
        self.changes.insert(number, self.history.changes.len() - 1);
        let incarnation = self.incarnation(&id);
        let event = Event::ChangeRequested { id: number, change };
        self.schedule_for_node(self.now, &id, incarnation, event);
    }

    pub(super) fn change_answered(&mut self, id: ChangeId, result: Result<Row, ChangeError>) {
        let Some(index) = self.changes.remove(&id) else {
            return;
        };
        let record = &mut self.history.changes[index];
        match result {
            Ok(row) => record.accepted = Some((row.revision, self.now)),
            Err(error) => record.error = Some(error.to_string()),
        }
    }
}
