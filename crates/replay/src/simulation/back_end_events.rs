//! Handles the simulation events of back ends: orders, loads, reports, requests and their streams.

use gorsebank_contract::{Fence, Order, OrderAction, OrderResult, Sequence, SourceTier};
use gorsebank_coordination::{Event, EventId};
use gorsebank_emulator::model::engine::OrderProgress;
use gorsebank_world::{Artifact, BackEndId, MachineRole, NodeId};
use rand::RngExt;

use crate::ablation::Ablation;
use crate::history::Execution;
use crate::simulation::back_end::{Call, first_connection, request_id, stream_name};
use crate::simulation::world::{
    MILLISECOND, OrderReply, SECOND, SimEvent, Simulation, StreamEnd, StreamItem,
};

/// Speed of loads from the disk of an engine.
const DISK_BYTES_PER_SECOND: u64 = 4_000_000_000;
/// Speed of loads from the main memory of an engine.
const MEMORY_BYTES_PER_SECOND: u64 = 20_000_000_000;
/// Time after which a node treats a stream without events as broken.
const STALL_TIMEOUT_US: u64 = 10 * SECOND;
/// Delay of an event that the fault `scramble` delays.
const LATE_EVENT_DELAY_US: u64 = 200 * MILLISECOND;

impl Simulation {
    /// Time at which a suspended back end resumes, `None` if it is running, and 0 if it is not
    /// alive.
    fn back_end_resume_time(&self, id: &BackEndId) -> Option<u64> {
        let Some(back_end) = self.back_ends.get(id) else {
            return Some(0);
        };
        if !back_end.is_alive {
            return Some(0);
        }
        (back_end.paused_until > self.now).then_some(back_end.paused_until)
    }

    pub(super) fn order_arrives(
        &mut self,
        node: NodeId,
        incarnation: u32,
        back_end: BackEndId,
        order: Box<Order>,
    ) {
        let reply = OrderReply {
            node: node.clone(),
            incarnation,
            fence: order.fence,
            sequence: order.sequence,
        };
        match self.back_end_resume_time(&back_end) {
            Some(0) => return self.reply_to_order(&back_end, reply, OrderResult::Unknown),
            Some(resumes) => {
                let event = SimEvent::OrderArrives {
                    node,
                    incarnation,
                    back_end,
                    order,
                };
                return self.queue.add(resumes, event);
            }
            None => {}
        }
        let order = self.apply_fence_ablation(&back_end, *order);
        let now = self.now / MILLISECOND;
        let Some(engine) = self.back_ends.get_mut(&back_end) else {
            return;
        };
        let engine_life = engine.incarnation;
        match engine.engine.order(now, &order) {
            OrderProgress::Finished(result) => self.reply_to_order(&back_end, reply, result),
            OrderProgress::Loading {
                artifact,
                bytes,
                tier,
            } => {
                let time = self.load_time(bytes, tier);
                let event = SimEvent::LoadEnds {
                    back_end,
                    incarnation: engine_life,
                    artifact,
                    is_remote: tier == SourceTier::Remote,
                    reply,
                };
                self.queue.add(self.now + time, event);
            }
        }
    }

    pub(super) fn report_arrives(&mut self, node: NodeId, incarnation: u32, id: BackEndId) {
        if self.back_end_resume_time(&id).is_some() {
            return self.schedule_missing_report(&node, incarnation, id);
        }
        let report = self.back_ends.get(&id).map(|it| it.engine.report());
        match self.arrival_time(id.as_str(), node.as_str()) {
            Some(at) => {
                let event = Event::ReportRead {
                    back_end: id,
                    report,
                };
                self.schedule_for_node(at, &node, incarnation, event);
            }
            None => self.schedule_missing_report(&node, incarnation, id),
        }
    }

    /// With [`Ablation::Fences`], gives the order the highest fencing token and the current
    /// incarnation, so that the engine accepts it as the newest order.
    fn apply_fence_ablation(&mut self, back_end: &BackEndId, order: Order) -> Order {
        if self.ablation != Some(Ablation::Fences) {
            return order;
        }
        self.issued_fences += 1;
        let incarnation = self
            .back_ends
            .get(back_end)
            .map(|back_end| back_end.engine.inventory().incarnation);
        let is_inspection = order.action == OrderAction::Inspect;
        Order {
            fence: Fence(u64::MAX),
            sequence: Sequence(self.issued_fences),
            incarnation: incarnation.filter(|_| !is_inspection),
            action: order.action,
        }
    }

    fn load_time(&mut self, bytes: u64, tier: SourceTier) -> u64 {
        let milliseconds = match tier {
            SourceTier::Memory => bytes * 1_000 / MEMORY_BYTES_PER_SECOND,
            SourceTier::Disk => bytes * 1_000 / DISK_BYTES_PER_SECOND,
            SourceTier::Remote => self.store.start(self.now, bytes),
        };
        milliseconds * MILLISECOND
    }

    pub(super) fn load_ends(
        &mut self,
        id: &BackEndId,
        incarnation: u32,
        artifact: &Artifact,
        is_remote: bool,
        reply: OrderReply,
    ) {
        if is_remote {
            self.store.model.end();
        }
        let now = self.now / MILLISECOND;
        let Some(back_end) = self.back_ends.get_mut(id) else {
            return;
        };
        if back_end.incarnation != incarnation {
            return self.reply_to_order(id, reply, OrderResult::Unknown);
        }
        let result = back_end.engine.load_ended(now, artifact);
        self.reply_to_order(id, reply, result);
    }

    fn reply_to_order(&mut self, back_end: &BackEndId, reply: OrderReply, result: OrderResult) {
        let Some(at) = self.arrival_time(back_end.as_str(), reply.node.as_str()) else {
            return;
        };
        let event = Event::OrderAnswered {
            back_end: back_end.clone(),
            fence: reply.fence,
            sequence: reply.sequence,
            result,
        };
        self.schedule_for_node(at, &reply.node, reply.incarnation, event);
    }

    pub(super) fn call_arrives(&mut self, id: BackEndId, waited: Option<u32>, call: Box<Call>) {
        let to = stream_end(&call);
        let incarnation = self.back_ends.get(&id).map_or(0, |it| it.incarnation);
        if waited.is_some_and(|waited| waited != incarnation) {
            // The process was killed before it read the request, and the connection broke then.
            return;
        }
        match self.back_end_resume_time(&id) {
            Some(0) => return self.stream_to(&id, to, StreamItem::NotSent),
            Some(resumes) => {
                let event = SimEvent::CallArrives {
                    back_end: id,
                    waited: Some(incarnation),
                    call,
                };
                return self.queue.add(resumes, event);
            }
            None => {}
        }
        let priorities = self.ablation != Some(Ablation::Priorities);
        let Some(back_end) = self.back_ends.get_mut(&id) else {
            return;
        };
        if let Some(call) = back_end.admit(*call, priorities) {
            self.run_call(&id, call);
        }
    }

    fn run_call(&mut self, id: &BackEndId, call: Call) {
        let now = self.now;
        let stream = stream_name(call.id, id);
        let Some(back_end) = self.back_ends.get_mut(id) else {
            return;
        };
        let is_engine = back_end.entry.role == MachineRole::Engine;
        let starts = match &call.artifact {
            Some(artifact) => back_end
                .engine
                .start_request(now / MILLISECOND, artifact, &stream),
            None => !is_engine,
        };
        if !starts {
            let next = back_end.release();
            self.stream_to(id, stream_end(&call), StreamItem::NotStarted);
            if let Some(next) = next {
                self.run_call(id, next);
            }
            return;
        }
        let incarnation = back_end.incarnation;
        let tokens = if is_engine { call.tokens } else { 0 };
        let plan = back_end.plan_response(now, &stream, tokens);
        self.stream_lengths.insert(stream.clone(), plan.events);
        self.history.executions.push(Execution {
            at: now,
            until: plan.generated_at(plan.events - 1),
            artifact: call.artifact.clone(),
            back_end: id.clone(),
            request: request_id(call.id),
            key: call.key.clone(),
            repeatable: call.repeatable,
        });
        let to = stream_end(&call);
        self.schedule_events(id, incarnation, &to, &stream, 0);
        let ends = SimEvent::ResponseEnds {
            back_end: id.clone(),
            incarnation,
            artifact: call.artifact,
        };
        self.queue.add(plan.generated_at(plan.events - 1), ends);
    }

    /// Schedules the events of a response from number `next` on, each at the time of its
    /// generation.
    fn schedule_events(
        &mut self,
        id: &BackEndId,
        incarnation: u32,
        to: &StreamEnd,
        stream: &str,
        next: u64,
    ) {
        let Some(plan) = self
            .back_ends
            .get(id)
            .and_then(|back_end| back_end.response(stream))
            .cloned()
        else {
            return self.stream_to(id, to.clone(), StreamItem::Broken);
        };
        for number in next..plan.events {
            let event = SimEvent::EventGenerated {
                back_end: id.clone(),
                incarnation,
                to: to.clone(),
                id: EventId {
                    stream: stream.to_owned(),
                    number,
                },
                is_last: number + 1 == plan.events,
            };
            self.queue
                .add(plan.generated_at(number).max(self.now), event);
        }
    }

    pub(super) fn event_generated(
        &mut self,
        back_end: &BackEndId,
        incarnation: u32,
        to: StreamEnd,
        id: EventId,
        is_last: bool,
    ) {
        match self.back_end_resume_time(back_end) {
            Some(0) => return,
            Some(resumes) => {
                let event = SimEvent::EventGenerated {
                    back_end: back_end.clone(),
                    incarnation,
                    to,
                    id,
                    is_last,
                };
                return self.queue.add(resumes, event);
            }
            None => {}
        }
        if self
            .back_ends
            .get(back_end)
            .is_none_or(|it| it.incarnation != incarnation)
        {
            return;
        }
        let item = StreamItem::Event { id, is_last };
        self.scramble(back_end, to, item);
    }

    /// Sends an event to its node. The fault `scramble` duplicates or delays some events, assigns
    /// them to another stream, or breaks the connection.
    fn scramble(&mut self, back_end: &BackEndId, to: StreamEnd, item: StreamItem) {
        let now = self.now;
        let (share, until) = self
            .back_ends
            .get(back_end)
            .map_or((0.0, 0), |back_end| back_end.scramble);
        let is_affected = until > now && self.random.random_bool(share);
        if !is_affected {
            return self.stream_to(back_end, to, item);
        }
        match self.random.random_range(0..4) {
            0 => {
                self.stream_to(back_end, to.clone(), item.clone());
                self.stream_to(back_end, to, item);
            }
            1 => {
                let event = SimEvent::StreamArrives { to, item };
                self.queue.add(now + LATE_EVENT_DELAY_US, event);
            }
            2 => {
                let crossed = self.move_to_other_stream(back_end, &item);
                self.stream_to(back_end, to, crossed);
            }
            _ => self.stream_to(back_end, to, StreamItem::Broken),
        }
    }

    /// Returns the event with the name of another stream of the same back end.
    fn move_to_other_stream(&self, back_end: &BackEndId, item: &StreamItem) -> StreamItem {
        let StreamItem::Event { id, is_last } = item else {
            return item.clone();
        };
        let other = self
            .back_ends
            .get(back_end)
            .and_then(|back_end| back_end.other_stream(&id.stream));
        match other {
            Some(other) => StreamItem::Event {
                id: EventId {
                    stream: other.to_owned(),
                    number: id.number,
                },
                is_last: *is_last,
            },
            None => item.clone(),
        }
    }

    pub(super) fn stream_to(&mut self, back_end: &BackEndId, to: StreamEnd, item: StreamItem) {
        let event = |to, item| SimEvent::StreamArrives { to, item };
        match self.arrival_time(back_end.as_str(), to.node.as_str()) {
            Some(at) => self.queue.add(at, event(to, item)),
            None => self
                .queue
                .add(self.now + STALL_TIMEOUT_US, event(to, StreamItem::Broken)),
        }
    }

    pub(super) fn response_ends(
        &mut self,
        id: &BackEndId,
        incarnation: u32,
        artifact: Option<&Artifact>,
    ) {
        let Some(back_end) = self.back_ends.get_mut(id) else {
            return;
        };
        if back_end.incarnation != incarnation {
            return;
        }
        if let Some(artifact) = artifact {
            back_end.engine.end_request(artifact);
        }
        if let Some(next) = back_end.release() {
            self.run_call(id, next);
        }
    }

    pub(super) fn resume_arrives(
        &mut self,
        back_end: BackEndId,
        to: StreamEnd,
        stream: String,
        next: u64,
    ) {
        match self.back_end_resume_time(&back_end) {
            Some(0) => return self.stream_to(&back_end, to, StreamItem::Broken),
            Some(resumes) => {
                let event = SimEvent::ResumeArrives {
                    back_end,
                    to,
                    stream,
                    next,
                };
                return self.queue.add(resumes, event);
            }
            None => {}
        }
        let incarnation = self.back_ends.get(&back_end).map_or(0, |it| it.incarnation);
        self.schedule_events(&back_end, incarnation, &to, &stream, next);
    }

    pub(super) fn back_end_starts(&mut self, id: &BackEndId) {
        let now = self.now;
        if let Some(back_end) = self.back_ends.get_mut(id) {
            back_end.restart(now);
            self.log_event(format!("{id} starts"));
        }
    }

    /// Kills a back end and breaks every connection to it.
    pub(super) fn back_end_dies(&mut self, id: &BackEndId) {
        let Some(back_end) = self.back_ends.get_mut(id) else {
            return;
        };
        back_end.kill();
        self.log_event(format!("{id} is killed"));
        let ends: Vec<StreamEnd> = self
            .nodes
            .values()
            .flat_map(|node| {
                node.open.iter().filter_map(|(request, open)| {
                    let attempt = open.attempt.as_ref()?;
                    (attempt.back_end == *id).then(|| StreamEnd {
                        node: node.id.clone(),
                        incarnation: node.incarnation,
                        request: *request,
                        connection: attempt.connection,
                    })
                })
            })
            .collect();
        let mut ends = ends;
        ends.sort_by_key(|end| end.request);
        for to in ends {
            self.stream_to(id, to, StreamItem::Broken);
        }
    }
}

fn stream_end(call: &Call) -> StreamEnd {
    StreamEnd {
        node: call.node.0.clone(),
        incarnation: call.node.1,
        request: call.id.request,
        connection: first_connection(call.id),
    }
}
