//! Executes the actions of the decision logic of nodes in the simulation (messages, transactions,
//! orders, requests to back ends) and delivers the responses.

use gorsebank_contract::{
    AttemptOutcome, Order, OrderAction, OrderResult, PeerMessage, Refusal, RequestId, TicketId,
    Transaction, TransactionResult,
};
use gorsebank_coordination::{Action, Event, EventDecision, StreamChecker, TransactionTag};
use gorsebank_world::{Machine, MachineRole, NodeId};

use crate::ablation::Ablation;
use crate::history::CallerOutcome;
use crate::simulation::back_end::{Call, first_connection, stream_name};
use crate::simulation::network::{MACHINE_LIST, TABLE};
use crate::simulation::node_host::OpenAttempt;
use crate::simulation::world::{MILLISECOND, SECOND, SimEvent, Simulation, StreamEnd, StreamItem};
use crate::trace::format::TableMode;

/// Timeout of calls to the platform.
const PLATFORM_TIMEOUT_US: u64 = SECOND;
/// Timeout of connection attempts.
const CONNECT_TIMEOUT_US: u64 = SECOND;
/// Timeout of an order, which ends the wait when its connection was cut.
const ORDER_TIMEOUT_US: u64 = 30 * SECOND;
/// Additional delay of results of a slow table.
const SLOW_TABLE_DELAY_US: u64 = 500 * MILLISECOND;
/// Maximum number of consecutive resumptions of a stream without an event in between.
const MAX_RESUMES: u32 = 4;
/// Delay before the second resumption of a stream; doubles with each further resumption.
const RESUME_BACKOFF_US: u64 = 100 * MILLISECOND;

impl Simulation {
    pub(super) fn incarnation(&self, node: &NodeId) -> u32 {
        self.nodes.get(node).map_or(0, |node| node.incarnation)
    }

    pub(super) fn latency(&mut self, from: &str, to: &str) -> Option<u64> {
        self.network.latency(self.now, from, to, &mut self.random)
    }

    /// Arrival time of a message that is sent now, or `None` if it is lost. Messages on one link
    /// arrive in order.
    pub(super) fn arrival_time(&mut self, from: &str, to: &str) -> Option<u64> {
        let at = self.now + self.latency(from, to)?;
        let last = self
            .last_arrivals
            .entry((from.to_owned(), to.to_owned()))
            .or_default();
        *last = at.max(*last + 1);
        Some(*last)
    }

    pub(super) fn execute_action(&mut self, id: &NodeId, action: Action) {
        match action {
            Action::Send { to, message } => self.send(id, &to, message),
            Action::Transact { tag, transaction } => self.transact(id, tag, transaction),
            Action::Order { machine, order } => self.send_order(id, &machine, order),
            Action::ReadReport { machine } => self.read_report(id, &machine),
            Action::ReadMachineList => self.read_list(id),
            Action::Dispatch {
                id: ticket,
                machine,
            } => self.dispatch(id, ticket, &machine),
            Action::Refuse { request, refusal } => self.refuse(id, request, refusal),
            Action::AnswerChange { id, result } => self.change_answered(id, result),
        }
    }

    fn send(&mut self, from: &NodeId, to: &NodeId, message: PeerMessage) {
        if self.ablation == Some(Ablation::Claims) && self.answer_without_claim(from, to, &message)
        {
            return;
        }
        if self.ablation == Some(Ablation::ConfigurationRepair)
            && matches!(message, PeerMessage::ConfigurationRequest { .. })
        {
            return;
        }
        let is_list = matches!(message, PeerMessage::Machines { .. });
        let hides_list = self.ablation == Some(Ablation::MachineList);
        if is_list && hides_list && self.nodes.get(to).is_some_and(|node| node.has_read_list) {
            return;
        }
        let Some(at) = self.arrival_time(from.as_str(), to.as_str()) else {
            return;
        };
        let incarnation = self.incarnation(to);
        let event = Event::Received {
            from: from.clone(),
            message,
        };
        self.schedule_for_node(at, to, incarnation, event);
    }

    /// Answers a claim as recorded without sending it to the other node.
    fn answer_without_claim(&mut self, from: &NodeId, to: &NodeId, message: &PeerMessage) -> bool {
        let PeerMessage::Claim { epoch, request, .. } = message else {
            return false;
        };
        let event = Event::Received {
            from: to.clone(),
            message: PeerMessage::ClaimResponse {
                epoch: *epoch,
                request: *request,
                response: gorsebank_contract::ClaimResponse::Recorded,
            },
        };
        let incarnation = self.incarnation(from);
        self.schedule_for_node(self.now + MILLISECOND, from, incarnation, event);
        true
    }

    pub(super) fn schedule_for_node(
        &mut self,
        at: u64,
        node: &NodeId,
        incarnation: u32,
        event: Event,
    ) {
        let event = SimEvent::ToNode {
            node: node.clone(),
            incarnation,
            event: Box::new(event),
        };
        self.queue.add(at, event);
    }

    fn transact(&mut self, id: &NodeId, tag: TransactionTag, transaction: Transaction) {
        let incarnation = self.incarnation(id);
        match self.arrival_time(id.as_str(), TABLE) {
            Some(at) => self.queue.add(
                at,
                SimEvent::TableArrives {
                    node: id.clone(),
                    incarnation,
                    tag,
                    transaction: Box::new(transaction),
                },
            ),
            None => self.schedule_unknown_result(id, incarnation, tag),
        }
    }

    fn schedule_unknown_result(&mut self, id: &NodeId, incarnation: u32, tag: TransactionTag) {
        let event = Event::TableAnswered {
            tag,
            answer: TransactionResult::Unknown,
        };
        self.schedule_for_node(self.now + PLATFORM_TIMEOUT_US, id, incarnation, event);
    }

    pub(super) fn table_arrives(
        &mut self,
        node: NodeId,
        incarnation: u32,
        tag: TransactionTag,
        transaction: &Transaction,
    ) {
        let mode = self.table.mode(self.now);
        if mode == TableMode::Down {
            return self.schedule_unknown_result(&node, incarnation, tag);
        }
        let (answer, decisions) = self.table.transact(self.now, transaction, self.ablation);
        self.history.plans.extend(decisions);
        let delay = if mode == TableMode::Slow {
            SLOW_TABLE_DELAY_US
        } else {
            0
        };
        match self.arrival_time(TABLE, node.as_str()) {
            Some(at) if mode != TableMode::Silent => {
                self.schedule_for_node(
                    at + delay,
                    &node,
                    incarnation,
                    Event::TableAnswered { tag, answer },
                );
            }
            _ => self.schedule_unknown_result(&node, incarnation, tag),
        }
    }

    fn read_list(&mut self, id: &NodeId) {
        let incarnation = self.incarnation(id);
        if let Some(at) = self.arrival_time(id.as_str(), MACHINE_LIST) {
            let node = id.clone();
            self.queue
                .add(at, SimEvent::ListArrives { node, incarnation });
        }
    }

    pub(super) fn list_arrives(&mut self, id: NodeId, incarnation: u32) {
        let hidden = self.ablation == Some(Ablation::MachineList);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if hidden && node.has_read_list {
            return;
        }
        node.has_read_list = true;
        let list = self.list.read(self.now);
        if let Some(at) = self.arrival_time(MACHINE_LIST, id.as_str()) {
            self.schedule_for_node(at, &id, incarnation, Event::MachineListRead(list));
        }
    }

    fn send_order(&mut self, id: &NodeId, machine: &Machine, order: Order) {
        let incarnation = self.incarnation(id);
        let unknown = Event::OrderAnswered {
            back_end: machine.id.clone(),
            fence: order.fence,
            sequence: order.sequence,
            result: OrderResult::Unknown,
        };
        let timeout = match order.action {
            OrderAction::Inspect => PLATFORM_TIMEOUT_US,
            _ => ORDER_TIMEOUT_US,
        };
        match self.arrival_time(id.as_str(), machine.id.as_str()) {
            Some(at) => {
                let event = SimEvent::OrderArrives {
                    node: id.clone(),
                    incarnation,
                    back_end: machine.id.clone(),
                    order: Box::new(order),
                };
                self.queue.add(at, event);
                self.schedule_for_node(self.now + timeout, id, incarnation, unknown);
            }
            None => self.schedule_for_node(self.now + CONNECT_TIMEOUT_US, id, incarnation, unknown),
        }
    }

    fn read_report(&mut self, id: &NodeId, machine: &Machine) {
        let incarnation = self.incarnation(id);
        match self.arrival_time(id.as_str(), machine.id.as_str()) {
            Some(at) => self.queue.add(
                at,
                SimEvent::ReportArrives {
                    node: id.clone(),
                    incarnation,
                    back_end: machine.id.clone(),
                },
            ),
            None => self.schedule_missing_report(id, incarnation, machine.id.clone()),
        }
    }

    pub(super) fn schedule_missing_report(
        &mut self,
        id: &NodeId,
        incarnation: u32,
        back_end: gorsebank_world::BackEndId,
    ) {
        let event = Event::ReportRead {
            back_end,
            report: None,
        };
        self.schedule_for_node(self.now + PLATFORM_TIMEOUT_US, id, incarnation, event);
    }

    fn dispatch(&mut self, id: &NodeId, ticket: TicketId, machine: &Machine) {
        let incarnation = self.incarnation(id);
        let stream = stream_name(ticket, &machine.id);
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let Some(open) = node.open.get_mut(&ticket.request) else {
            return;
        };
        open.attempt = Some(OpenAttempt {
            id: ticket,
            back_end: machine.id.clone(),
            guard: StreamChecker::new(stream.as_str(), 0),
            stream,
            connection: first_connection(ticket),
            resumes: 0,
            has_begun: false,
        });
        let plan = self.callers[open.caller.0].clone();
        let call = Call {
            node: (id.clone(), incarnation),
            id: ticket,
            artifact: self.resolve_artifact(id, &plan.of, plan.is_service),
            class: plan.class,
            tokens: plan.tokens,
            key: plan.key.clone(),
            repeatable: plan.repeatable,
        };
        let to = StreamEnd {
            node: id.clone(),
            incarnation,
            request: ticket.request,
            connection: first_connection(ticket),
        };
        let times_out = plan.deadline.max(self.now);
        let event = SimEvent::AttemptTimesOut {
            to: to.clone(),
            id: ticket,
        };
        self.queue.add(times_out, event);
        match self.arrival_time(id.as_str(), machine.id.as_str()) {
            Some(at) => self.queue.add(
                at,
                SimEvent::CallArrives {
                    back_end: machine.id.clone(),
                    waited: None,
                    call: Box::new(call),
                },
            ),
            None => self.queue.add(
                self.now + CONNECT_TIMEOUT_US,
                SimEvent::StreamArrives {
                    to,
                    item: StreamItem::NotSent,
                },
            ),
        }
    }

    fn resolve_artifact(
        &self,
        id: &NodeId,
        of: &str,
        is_service: bool,
    ) -> Option<gorsebank_world::Artifact> {
        if is_service {
            return None;
        }
        let node = self.nodes.get(id)?.node.as_ref()?;
        node.resolve(of).ok()?.artifact().cloned()
    }

    pub(super) fn stream_arrives(&mut self, to: StreamEnd, item: StreamItem) {
        match self.resume_time(&to.node, to.incarnation) {
            Some(0) => return,
            Some(resumes) => {
                let event = SimEvent::StreamArrives { to, item };
                return self.queue.add(resumes, event);
            }
            None => {}
        }
        let checks = self.ablation != Some(Ablation::StreamChecks);
        let Some(open) = self
            .nodes
            .get_mut(&to.node)
            .and_then(|node| node.open.get_mut(&to.request))
        else {
            return;
        };
        let caller = open.caller;
        let Some(attempt) = open.attempt.as_mut() else {
            return;
        };
        if attempt.connection != to.connection {
            return;
        }
        match item {
            StreamItem::NotSent => self.attempt_ended(&to, AttemptOutcome::NotSent),
            StreamItem::NotStarted => self.attempt_ended(&to, AttemptOutcome::NotStarted),
            StreamItem::Broken => self.reconnect(&to),
            StreamItem::Event { id, is_last } => {
                let decision = if checks {
                    attempt.guard.check_event(&id, is_last)
                } else {
                    EventDecision::Forward
                };
                match decision {
                    EventDecision::Duplicate => {}
                    EventDecision::Gap | EventDecision::Foreign => self.reconnect(&to),
                    EventDecision::Forward => {
                        attempt.has_begun = true;
                        attempt.resumes = 0;
                        self.caller_receives(caller, id);
                        if is_last {
                            self.attempt_completed(&to);
                        }
                    }
                }
            }
        }
    }

    /// Requests the rest of a stream. Streams of applications cannot be resumed.
    fn reconnect(&mut self, to: &StreamEnd) {
        let Some(attempt) = self.open_attempt(to) else {
            return;
        };
        attempt.connection += 1;
        attempt.resumes += 1;
        let (back_end, stream) = (attempt.back_end.clone(), attempt.stream.clone());
        let (resumes, next) = (attempt.resumes, attempt.guard.next());
        let to = StreamEnd {
            connection: attempt.connection,
            ..to.clone()
        };
        let is_engine = self
            .back_ends
            .get(&back_end)
            .is_some_and(|back_end| back_end.entry.role == MachineRole::Engine);
        if !is_engine || resumes > MAX_RESUMES {
            return self.attempt_lost(&to);
        }
        let pause = if resumes > 1 {
            RESUME_BACKOFF_US << (resumes - 2)
        } else {
            0
        };
        match self.arrival_time(to.node.as_str(), back_end.as_str()) {
            Some(at) => self.queue.add(
                at + pause,
                SimEvent::ResumeArrives {
                    back_end,
                    to,
                    stream,
                    next,
                },
            ),
            None => self.queue.add(
                self.now + CONNECT_TIMEOUT_US + pause,
                SimEvent::StreamArrives {
                    to,
                    item: StreamItem::Broken,
                },
            ),
        }
    }

    fn open_attempt(&mut self, to: &StreamEnd) -> Option<&mut OpenAttempt> {
        self.nodes
            .get_mut(&to.node)?
            .open
            .get_mut(&to.request)?
            .attempt
            .as_mut()
    }

    fn attempt_lost(&mut self, to: &StreamEnd) {
        let has_begun = self
            .open_attempt(to)
            .is_some_and(|attempt| attempt.has_begun);
        if has_begun {
            self.attempt_ended(to, AttemptOutcome::LostDuringResponse);
            self.finish_request(&to.node, to.request, CallerOutcome::Interrupted);
        } else {
            let reports_loss = self.ablation != Some(Ablation::HonestOutcomes);
            let outcome = if reports_loss {
                AttemptOutcome::LostBeforeResponse
            } else {
                AttemptOutcome::NotSent
            };
            self.attempt_ended(to, outcome);
        }
    }

    pub(super) fn attempt_times_out(&mut self, to: &StreamEnd, id: TicketId) {
        match self.resume_time(&to.node, to.incarnation) {
            Some(0) => return,
            Some(resumes) => {
                let event = SimEvent::AttemptTimesOut { to: to.clone(), id };
                return self.queue.add(resumes, event);
            }
            None => {}
        }
        let waits = self
            .open_attempt(to)
            .is_some_and(|attempt| attempt.id == id && !attempt.has_begun);
        if waits {
            self.attempt_lost(to);
        }
    }

    fn attempt_ended(&mut self, to: &StreamEnd, outcome: AttemptOutcome) {
        let Some(open) = self
            .nodes
            .get_mut(&to.node)
            .and_then(|node| node.open.get_mut(&to.request))
        else {
            return;
        };
        let Some(attempt) = open.attempt.take() else {
            return;
        };
        let id = attempt.id;
        self.deliver_event(&to.node, Event::AttemptEnded { id, outcome });
    }

    fn attempt_completed(&mut self, to: &StreamEnd) {
        let Some(attempt) = self.open_attempt(to) else {
            return;
        };
        let stream = attempt.stream.clone();
        let whole = self.stream_lengths.get(&stream).copied().unwrap_or(0);
        self.attempt_ended(to, AttemptOutcome::Completed);
        let end = CallerOutcome::Answered { whole };
        self.finish_request(&to.node, to.request, end);
    }

    fn refuse(&mut self, id: &NodeId, request: RequestId, refusal: Refusal) {
        if self.ablation == Some(Ablation::Refusals) {
            return;
        }
        let end = CallerOutcome::Refused {
            reason: refusal.reason,
            ran: refusal.ran,
            retry_after: refusal.retry_after,
        };
        self.finish_request(id, request, end);
    }

    fn finish_request(&mut self, id: &NodeId, request: RequestId, end: CallerOutcome) {
        let open = self
            .nodes
            .get_mut(id)
            .and_then(|node| node.open.remove(&request));
        if let Some(open) = open {
            self.caller_ends(open.caller, end);
        }
    }
}
