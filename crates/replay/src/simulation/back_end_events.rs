//! What happens at back ends.

use gorsebank_contract::{Fence, Order, OrderAction, OrderResult, Sequence, SourceTier};
use gorsebank_coordination::{Event, EventId};
use gorsebank_emulator::model::engine::OrderStart;
use gorsebank_world::{Artifact, BackEndId, MachineRole, NodeId};
use rand::RngExt;

use crate::ablation::Ablation;
use crate::history::Execution;
use crate::simulation::back_end::{Call, first_connection, request_of, stream_name};
use crate::simulation::world::{
    MILLISECOND, OrderReply, SECOND, SimEvent, Simulation, StreamEnd, StreamItem,
};

/// Bytes a second from an engine's disk and main memory.
const DISK_BANDWIDTH: u64 = 4_000_000_000;
const MEMORY_BANDWIDTH: u64 = 20_000_000_000;
/// A stream without an event for so long is taken to be broken.
const STALL: u64 = 10 * SECOND;
/// A late event is late by so long.
const LATE: u64 = 200 * MILLISECOND;

impl Simulation {
    /// When a back end that stands still goes on; 0 if it is dead.
    fn back_end_defer(&self, id: &BackEndId) -> Option<u64> {
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
        life: u32,
        back_end: BackEndId,
        order: Box<Order>,
    ) {
        let reply = OrderReply {
            node: node.clone(),
            life,
            fence: order.fence,
            sequence: order.sequence,
        };
        match self.back_end_defer(&back_end) {
            Some(0) => return self.reply_to_order(&back_end, reply, OrderResult::Unknown),
            Some(resumes) => {
                let event = SimEvent::OrderArrives {
                    node,
                    life,
                    back_end,
                    order,
                };
                return self.queue.add(resumes, event);
            }
            None => {}
        }
        let order = self.perhaps_unfenced(&back_end, *order);
        let now = self.now / MILLISECOND;
        let Some(engine) = self.back_ends.get_mut(&back_end) else {
            return;
        };
        let engine_life = engine.life;
        match engine.engine.order(now, &order) {
            OrderStart::Settled(result) => self.reply_to_order(&back_end, reply, result),
            OrderStart::Loading {
                artifact,
                bytes,
                tier,
            } => {
                let time = self.load_time(bytes, tier);
                let event = SimEvent::LoadEnds {
                    back_end,
                    life: engine_life,
                    artifact,
                    is_remote: tier == SourceTier::Remote,
                    reply,
                };
                self.queue.add(self.now + time, event);
            }
        }
    }

    pub(super) fn report_arrives(&mut self, node: NodeId, life: u32, id: BackEndId) {
        if self.back_end_defer(&id).is_some() {
            return self.report_unknown(&node, life, id);
        }
        let report = self.back_ends.get(&id).map(|it| it.engine.report());
        match self.arrival(id.as_str(), node.as_str()) {
            Some(at) => {
                let event = Event::ReportRead {
                    back_end: id,
                    report,
                };
                self.schedule_for_node(at, &node, life, event);
            }
            None => self.report_unknown(&node, life, id),
        }
    }

    /// Without fences an engine takes every order for the newest.
    fn perhaps_unfenced(&mut self, back_end: &BackEndId, order: Order) -> Order {
        if self.ablation != Some(Ablation::Fences) {
            return order;
        }
        self.fences_given += 1;
        let incarnation = self
            .back_ends
            .get(back_end)
            .map(|back_end| back_end.engine.inventory().incarnation);
        let is_inspection = order.action == OrderAction::Inspect;
        Order {
            fence: Fence(u64::MAX),
            sequence: Sequence(self.fences_given),
            incarnation: incarnation.filter(|_| !is_inspection),
            action: order.action,
        }
    }

    fn load_time(&mut self, bytes: u64, tier: SourceTier) -> u64 {
        let milliseconds = match tier {
            SourceTier::Memory => bytes * 1_000 / MEMORY_BANDWIDTH,
            SourceTier::Disk => bytes * 1_000 / DISK_BANDWIDTH,
            SourceTier::Remote => self.store.start(self.now, bytes),
        };
        milliseconds * MILLISECOND
    }

    pub(super) fn load_ends(
        &mut self,
        id: &BackEndId,
        life: u32,
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
        if back_end.life != life {
            return self.reply_to_order(id, reply, OrderResult::Unknown);
        }
        let result = back_end.engine.load_ended(now, artifact);
        self.reply_to_order(id, reply, result);
    }

    fn reply_to_order(&mut self, back_end: &BackEndId, reply: OrderReply, result: OrderResult) {
        let Some(at) = self.arrival(back_end.as_str(), reply.node.as_str()) else {
            return;
        };
        let event = Event::OrderAnswered {
            back_end: back_end.clone(),
            fence: reply.fence,
            sequence: reply.sequence,
            result,
        };
        self.schedule_for_node(at, &reply.node, reply.life, event);
    }

    pub(super) fn call_arrives(&mut self, id: BackEndId, waited: Option<u32>, call: Box<Call>) {
        let to = stream_end(&call);
        let life = self.back_ends.get(&id).map_or(0, |it| it.life);
        if waited.is_some_and(|waited| waited != life) {
            // The process died with the request unread; its end of the
            // connection broke then.
            return;
        }
        match self.back_end_defer(&id) {
            Some(0) => return self.stream_to(&id, to, StreamItem::NotSent),
            Some(resumes) => {
                let event = SimEvent::CallArrives {
                    back_end: id,
                    waited: Some(life),
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
        let life = back_end.life;
        let tokens = if is_engine { call.tokens } else { 0 };
        let plan = back_end.plan_answer(now, &stream, tokens);
        self.wholes.insert(stream.clone(), plan.events);
        self.history.executions.push(Execution {
            at: now,
            until: plan.made_at(plan.events - 1),
            artifact: call.artifact.clone(),
            back_end: id.clone(),
            request: request_of(call.id),
            key: call.key.clone(),
            repeatable: call.repeatable,
        });
        let to = stream_end(&call);
        self.make_events(id, life, &to, &stream, 0);
        let ends = SimEvent::AnswerEnds {
            back_end: id.clone(),
            life,
            artifact: call.artifact,
        };
        self.queue.add(plan.made_at(plan.events - 1), ends);
    }

    /// Sends the events of an answer from number `next` on, each when it is made.
    fn make_events(&mut self, id: &BackEndId, life: u32, to: &StreamEnd, stream: &str, next: u64) {
        let Some(plan) = self
            .back_ends
            .get(id)
            .and_then(|back_end| back_end.answer(stream))
            .cloned()
        else {
            return self.stream_to(id, to.clone(), StreamItem::Broken);
        };
        for number in next..plan.events {
            let event = SimEvent::EventMade {
                back_end: id.clone(),
                life,
                to: to.clone(),
                id: EventId {
                    stream: stream.to_owned(),
                    number,
                },
                is_last: number + 1 == plan.events,
            };
            self.queue.add(plan.made_at(number).max(self.now), event);
        }
    }

    pub(super) fn event_made(
        &mut self,
        back_end: &BackEndId,
        life: u32,
        to: StreamEnd,
        id: EventId,
        is_last: bool,
    ) {
        match self.back_end_defer(back_end) {
            Some(0) => return,
            Some(resumes) => {
                let event = SimEvent::EventMade {
                    back_end: back_end.clone(),
                    life,
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
            .is_none_or(|it| it.life != life)
        {
            return;
        }
        let item = StreamItem::Event { id, is_last };
        self.scramble(back_end, to, item);
    }

    /// Passes an event on, perhaps doubled, late, crossed or with a break.
    fn scramble(&mut self, back_end: &BackEndId, to: StreamEnd, item: StreamItem) {
        let now = self.now;
        let (share, until) = self
            .back_ends
            .get(back_end)
            .map_or((0.0, 0), |back_end| back_end.scramble);
        let is_hit = until > now && self.random.random_bool(share);
        if !is_hit {
            return self.stream_to(back_end, to, item);
        }
        match self.random.random_range(0..4) {
            0 => {
                self.stream_to(back_end, to.clone(), item.clone());
                self.stream_to(back_end, to, item);
            }
            1 => {
                let event = SimEvent::StreamArrives { to, item };
                self.queue.add(now + LATE, event);
            }
            2 => {
                let crossed = self.crossed(back_end, &item);
                self.stream_to(back_end, to, crossed);
            }
            _ => self.stream_to(back_end, to, StreamItem::Broken),
        }
    }

    /// The event as one of another stream of the same back end.
    fn crossed(&self, back_end: &BackEndId, item: &StreamItem) -> StreamItem {
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
        match self.arrival(back_end.as_str(), to.node.as_str()) {
            Some(at) => self.queue.add(at, event(to, item)),
            None => self
                .queue
                .add(self.now + STALL, event(to, StreamItem::Broken)),
        }
    }

    pub(super) fn answer_ends(&mut self, id: &BackEndId, life: u32, artifact: Option<&Artifact>) {
        let Some(back_end) = self.back_ends.get_mut(id) else {
            return;
        };
        if back_end.life != life {
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
        match self.back_end_defer(&back_end) {
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
        let life = self.back_ends.get(&back_end).map_or(0, |it| it.life);
        self.make_events(&back_end, life, &to, &stream, next);
    }

    pub(super) fn back_end_starts(&mut self, id: &BackEndId) {
        let now = self.now;
        if let Some(back_end) = self.back_ends.get_mut(id) {
            back_end.restart(now);
            self.note(format!("{id} starts"));
        }
    }

    /// The process dies: every connection to it breaks.
    pub(super) fn back_end_dies(&mut self, id: &BackEndId) {
        let Some(back_end) = self.back_ends.get_mut(id) else {
            return;
        };
        back_end.kill();
        self.note(format!("{id} dies"));
        let ends: Vec<StreamEnd> = self
            .nodes
            .values()
            .flat_map(|node| {
                node.open.iter().filter_map(|(request, open)| {
                    let attempt = open.attempt.as_ref()?;
                    (attempt.back_end == *id).then(|| StreamEnd {
                        node: node.id.clone(),
                        life: node.life,
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
        life: call.node.1,
        request: call.id.request,
        connection: first_connection(call.id),
    }
}
