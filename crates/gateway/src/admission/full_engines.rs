//! Keeps a request from engines that are full, and its place in the queue for them.
//!
//! Inputs: the request, the engines that hold its model, and the contenders at all gateways.
//! Outputs: the engines below their bound, or when one can be expected to be, and one log line when
//! a request that waited is sent or leaves.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::engine_queue::{
    Class, Contenders, EngineLoad, expected_wait, return_after, share,
};
use gorsebank_world::ModelId;
use tokio::time::Instant;

use super::required_model;
use super::waits::{begin_within, give_up_time};
use crate::back_end::BackEnd;
use crate::event_log::{self, LogPriority};
use crate::request::Call;

/// What is known when all engines that hold the model are full.
#[derive(Clone, Copy, Debug)]
pub(super) struct FullEngines {
    /// Time until the request can expect to be sent.
    pub expected: Duration,
    /// Time after which the caller should return if the request is refused.
    pub return_after: Duration,
    /// Number of engines that hold the model.
    pub engines: usize,
    /// Requests of all gateways at the engine with the fewest.
    pub running: u32,
    /// How many may be there for this request.
    pub bound: u32,
    /// Requests of all gateways that go before this one.
    pub ahead: u32,
    /// Whether the request was counted as an arrival.
    is_arrival: bool,
}

/// The engines that the request may be sent to now. It counts as an arrival at its first look only.
pub(super) fn below_bound(
    call: &Call,
    now: Timestamp,
    engines: Vec<Arc<BackEnd>>,
    place: Option<&QueuePlace<'_>>,
    is_first_look: bool,
) -> Result<Vec<Arc<BackEnd>>, FullEngines> {
    let Some(model) = bounded_model(call) else {
        return Ok(engines);
    };
    let Some(loads) = engine_loads(call, now, model, &engines) else {
        return Ok(engines);
    };
    let begin_within_ms = begin_within(call).map(|left| left.as_secs_f64() * 1_000.0);
    let is_roomy = |load: &EngineLoad| !load.is_crowded() && load.free(begin_within_ms) > 0;
    if place.is_none() && loads.iter().any(is_roomy) {
        return Ok(with_room(engines, &loads, begin_within_ms));
    }
    let queues = &call.shared.engine_queues;
    let mut contenders = {
        let running = call.shared.feed.running.lock();
        queues.contenders(now, &running, &call.service, model)
    };
    let class = class(call);
    let free: u32 = loads.iter().map(|load| load.free(begin_within_ms)).sum();
    let is_arrival = place.is_none() && is_first_look;
    match place {
        Some(place) => place.update(now, class),
        None => contenders.add_arrival(class),
    }
    if is_arrival {
        queues.with_queue(&call.service, model, |queue| {
            queue.record_arrival(now, class)
        });
    }
    if free > 0 && takes_place(now, place, free, &contenders, class) {
        return Ok(with_room(engines, &loads, begin_within_ms));
    }
    if place.is_some() {
        contenders.remove(class);
    }
    let expected_ms = expected_wait(&loads, begin_within_ms, &contenders, class);
    let return_after_ms = return_after(&loads, begin_within_ms, &contenders, class, rand::random());
    let least = loads.iter().min_by_key(|load| load.running);
    Err(FullEngines {
        expected: Duration::from_millis(expected_ms as u64),
        return_after: Duration::from_millis(return_after_ms as u64),
        engines: loads.len(),
        running: least.map_or(0, |load| load.running),
        bound: least.map_or(0, |load| load.bound(begin_within_ms)),
        ahead: contenders.ahead_of(class),
        is_arrival,
    })
}

/// Whether the request takes one of the free places. A waiting request looks again many times while
/// the counts are old, and draws with a part of its share each time, unless nobody else contends.
fn takes_place(
    now: Timestamp,
    place: Option<&QueuePlace<'_>>,
    free: u32,
    contenders: &Contenders,
    class: Class,
) -> bool {
    let portion = match place {
        Some(place) if !contenders.is_only(class) => place.draw(now),
        _ => 1.0,
    };
    rand::random::<f64>() < share(free, contenders, class) * portion
}

/// The engines with a free place.
fn with_room(
    mut engines: Vec<Arc<BackEnd>>,
    loads: &[EngineLoad],
    begin_within_ms: Option<f64>,
) -> Vec<Arc<BackEnd>> {
    let mut has_room = loads.iter().map(|load| load.free(begin_within_ms) > 0);
    engines.retain(|_| has_room.next().unwrap_or(true));
    engines
}

/// Records that the request is refused, and that its caller is told to return after this time.
pub(super) fn record_refusal(call: &Call, retry_after: Duration) {
    call.shared.metrics.record_engine_queue("refused");
    let Some(model) = &call.metadata.model else {
        return;
    };
    let at = call.shared.now() + retry_after.as_millis() as u64;
    let queues = &call.shared.engine_queues;
    queues.with_queue(&call.service, model, |queue| queue.record_promise(at));
}

/// Whether any of these engines is below its bound for the request.
pub(super) fn has_room(call: &Call, now: Timestamp, engines: &[Arc<BackEnd>]) -> bool {
    let loads = bounded_model(call).and_then(|model| engine_loads(call, now, model, engines));
    let begin_within_ms = begin_within(call).map(|left| left.as_secs_f64() * 1_000.0);
    loads.is_none_or(|loads| loads.iter().any(|load| load.free(begin_within_ms) > 0))
}

/// The request's model, if engines that hold it take only a bounded number of requests: no other
/// engine could load it while the caller waits. A stream that continues is not held back.
pub(super) fn bounded_model(call: &Call) -> Option<&ModelId> {
    let model = required_model(call)?;
    let is_slow_to_load = call
        .configuration
        .loads_outlast_callers(&call.service, model);
    (is_slow_to_load && !call.may_have_run()).then_some(model)
}

/// Loads of the engines; `None` if the slots of one are unknown.
fn engine_loads(
    call: &Call,
    now: Timestamp,
    model: &ModelId,
    engines: &[Arc<BackEnd>],
) -> Option<Vec<EngineLoad>> {
    let shared = &call.shared;
    let length = shared.engine_queues.stream_length(&call.service);
    let gaps: Vec<Option<f64>> = shared.with_prefill_model(&call.service, |known| {
        let gap = |engine: &Arc<BackEnd>| known.gap(now, &engine.id, model);
        engines.iter().map(gap).collect()
    });
    let running = shared.feed.running.lock();
    let loads = engines.iter().zip(gaps).map(|(engine, gap)| {
        let load = EngineLoad {
            slots: engine.slots,
            running: engine.in_flight() + running.running_elsewhere(now, engine.hash),
            request_ms: length.request_ms(gap),
            has_rejected: shared.engine_queues.was_full(now, engine.incarnation_hash),
        };
        (engine.slots > 0).then_some(load)
    });
    loads.collect()
}

fn class(call: &Call) -> Class {
    Class::of(
        call.priority(),
        begin_within(call).is_some(),
        call.is_returning,
    )
}

/// A place in the queue for the engines that hold the model, until dropped.
pub(super) struct QueuePlace<'a> {
    call: &'a Call,
    model: &'a ModelId,
    number: u64,
    joined: Instant,
    expected: Duration,
    is_sent: bool,
}

impl<'a> QueuePlace<'a> {
    /// Joins the queue.
    pub fn join(call: &'a Call, full: &FullEngines) -> Option<Self> {
        let model = call.metadata.model.as_ref()?;
        let now = call.shared.now();
        let queues = &call.shared.engine_queues;
        let number = queues.with_queue(&call.service, model, |queue| {
            queue.join(now, class(call), give_up_at(call, now), full.is_arrival)
        });
        Some(QueuePlace {
            call,
            model,
            number,
            joined: Instant::now(),
            expected: full.expected,
            is_sent: false,
        })
    }

    /// Records that the request is about to be sent.
    pub fn record_sent(&mut self) {
        self.is_sent = true;
    }

    fn update(&self, now: Timestamp, class: Class) {
        let queues = &self.call.shared.engine_queues;
        queues.with_queue(&self.call.service, self.model, |queue| {
            queue.update(self.number, class, give_up_at(self.call, now));
        });
    }

    fn draw(&self, now: Timestamp) -> f64 {
        let queues = &self.call.shared.engine_queues;
        queues.with_queue(&self.call.service, self.model, |queue| {
            queue.draw(now, self.number)
        })
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let call = self.call;
        let queues = &call.shared.engine_queues;
        queues.with_queue(&call.service, self.model, |queue| queue.leave(self.number));
        let result = if self.is_sent { "sent" } else { "left" };
        call.shared.metrics.record_engine_queue(result);
        let fields = format_args!(
            "request={} model={} result={result} expected_ms={} waited_ms={} timely={}",
            call.metadata.id,
            self.model,
            self.expected.as_millis(),
            self.joined.elapsed().as_millis(),
            begin_within(call).is_some(),
        );
        event_log::write(LogPriority::Decision, "engine_queue", fields);
    }
}

fn give_up_at(call: &Call, now: Timestamp) -> Timestamp {
    let left = give_up_time(call).saturating_duration_since(Instant::now());
    now + left.as_millis() as u64
}
