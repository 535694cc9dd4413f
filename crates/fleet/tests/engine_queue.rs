//! Tests the bounds of queues at engines: single decisions, and one engine under twice the load that
//! it can take, with counts that are half a second old.

use std::collections::VecDeque;
use std::fmt;
use std::ops::Range;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::engine_queue::{
    CLASSES, COUNT_AGE_MS, Class, Contenders, EngineLoad, ModelQueue, StreamLength, expected_wait,
    return_after, share,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 12;
const REQUEST_MS: f64 = 1_400.0;
/// Time within which a request must begin to be in time.
const BEGIN_WITHIN_MS: u64 = 310;
/// Time after which callers give up.
const GIVE_UP_MS: u64 = 2_000;
/// Multiple of the expected time that must be left for a wait.
const WAIT_MARGIN: f64 = 2.0;
/// Time after an outage in which the queue becomes short again.
const RECOVERY_MS: u64 = 5_000;
const STEP_MS: u64 = 50;
const DURATION_MS: u64 = 60_000;
/// Arrivals per second: twice what the engine can begin.
const ARRIVALS: f64 = 2.0 * 1_000.0 * SLOTS as f64 / REQUEST_MS;

fn engine(running: u32) -> EngineLoad {
    EngineLoad {
        slots: SLOTS,
        running,
        request_ms: REQUEST_MS,
        has_rejected: false,
    }
}

#[test]
fn a_request_that_can_only_be_late_gets_free_slots_only_and_the_smallest_share() {
    let late = Class::of(0, false, false);
    assert_eq!(engine(SLOTS).bound(None), SLOTS);
    assert!(engine(SLOTS).bound(Some(310.0)) > SLOTS);
    let mut contenders = Contenders::default();
    assert_eq!(share(1, &contenders, late), 1.0);
    contenders.waiting[2] = 1;
    assert!(share(1, &contenders, late) > 0.0);
    assert!(share(1, &contenders, late) < share(1, &contenders, Class::of(9, true, false)));
}

#[test]
fn a_low_priority_gets_a_smaller_share_but_never_none() {
    let contenders = Contenders {
        waiting: [0, 100, 0, 1, 0],
        ..Contenders::default()
    };
    let high = share(1, &contenders, Class::of(0, true, false));
    let low = share(1, &contenders, Class::of(9, true, false));
    assert!(low > 0.0 && low < high, "{low} {high}");
    assert!(Class::of(2, true, true) < Class::of(0, true, false));
}

#[test]
fn the_expected_time_counts_those_before() {
    let contenders = Contenders {
        waiting: [1, 1, 3, 50, 50],
        ..Contenders::default()
    };
    let wait = |engines: &[EngineLoad]| {
        expected_wait(engines, Some(0.0), &contenders, Class::of(1, true, false))
    };
    let turn = REQUEST_MS / f64::from(SLOTS);
    assert!((wait(&[engine(SLOTS)]) - 6.0 * turn).abs() < 1.0);
    assert!((wait(&[engine(SLOTS + 4)]) - 10.0 * turn).abs() < 1.0);
    assert!((wait(&[engine(SLOTS), engine(SLOTS)]) - 3.0 * turn).abs() < 1.0);
}

#[test]
fn the_time_of_a_request_is_assumed_until_a_stream_is_complete() {
    let mut length = StreamLength::default();
    assert!(length.request_ms(None) > 0.0);
    length.record(20, 800.0);
    assert_eq!(length.request_ms(None), 800.0);
    assert_eq!(length.request_ms(Some(50.0)), 1_000.0);
}

#[test]
fn the_first_request_of_a_gateway_draws_for_all_of_them() {
    let mut queue = ModelQueue::default();
    let (timely, late) = (Class::of(1, true, false), Class::of(1, false, false));
    let soon = Timestamp(3_000);
    let first = queue.join(Timestamp(1_000), late, soon, false);
    let second = queue.join(Timestamp(1_000), timely, soon, false);
    assert_eq!(queue.draw(Timestamp(1_250), first), 0.0);
    assert_eq!(queue.draw(Timestamp(1_250), second), 1.0);
    assert_eq!(queue.draw(Timestamp(1_250), second), 0.0);
    queue.leave(second);
    assert_eq!(queue.draw(Timestamp(1_500), first), 0.5);
}

/// How gateways take free places.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// Every request is sent at once.
    Unbounded,
    /// Each gateway gets its part of the free places.
    Credits,
    /// Each contender is sent with its share.
    Sampling,
}

/// What callers got, and what the engine had.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests of each priority that arrived, and those that began in time.
    arrived: [u32; 3],
    timely: [u32; 3],
    late: u32,
    refused: u32,
    /// Callers that returned when they were told to, and those of them that were in time then.
    returned: u32,
    returned_timely: u32,
    /// Differences between expected and actual waits, in milliseconds.
    errors: Vec<f64>,
    max_running: u32,
    /// Steps, and those at which the last request at the engine would not begin before its caller
    /// gives up.
    steps: u32,
    steps_too_long: u32,
    busy_slots: f64,
}

impl Outcome {
    fn all_timely(&self) -> u32 {
        self.timely.iter().sum()
    }

    fn mean_error(&self) -> f64 {
        self.errors.iter().sum::<f64>() / self.errors.len().max(1) as f64
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let error = self.mean_error();
        write!(
            formatter,
            "arrived {:?} timely {:?} late {} refused {} returned {} timely {} error {error:.0} ms most {} busy {:.1}",
            self.arrived,
            self.timely,
            self.late,
            self.refused,
            self.returned,
            self.returned_timely,
            self.max_running,
            self.busy_slots
        )
    }
}

struct Request {
    gateway: usize,
    arrived: u64,
    priority: u8,
    number: u64,
    is_returning: bool,
    expected: f64,
}

impl Request {
    fn class(&self, now: u64) -> Class {
        Class::of(
            self.priority,
            self.begin_within(now).is_some(),
            self.is_returning,
        )
    }

    fn begin_within(&self, now: u64) -> Option<f64> {
        let left = (self.arrived + BEGIN_WITHIN_MS).checked_sub(now)?;
        Some(left as f64)
    }
}

/// One engine, gateways, and counts that are [`COUNT_AGE_MS`] old.
struct Fleet {
    way: Way,
    outage: Range<u64>,
    random: StdRng,
    queues: Vec<ModelQueue>,
    credits: Vec<f64>,
    waiting: Vec<Request>,
    /// Refused requests whose callers will return.
    returning: Vec<Request>,
    /// Requests at the engine that have not begun, and the ends of those that have.
    queued: VecDeque<Request>,
    ends: Vec<u64>,
    counts: VecDeque<(u32, Contenders)>,
    outcome: Outcome,
}

impl Fleet {
    /// Plays a minute, in which no counts are exchanged during `outage`.
    fn play(way: Way, gateways: usize, outage: Range<u64>) -> Outcome {
        let mut fleet = Fleet {
            way,
            outage,
            random: StdRng::seed_from_u64(gateways as u64),
            queues: vec![ModelQueue::default(); gateways],
            credits: vec![0.0; gateways],
            waiting: Vec::new(),
            returning: Vec::new(),
            queued: VecDeque::new(),
            ends: Vec::new(),
            counts: VecDeque::new(),
            outcome: Outcome::default(),
        };
        for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
            fleet.step(now);
        }
        fleet.outcome.busy_slots /= (DURATION_MS / STEP_MS) as f64;
        fleet.outcome
    }

    fn step(&mut self, now: u64) {
        self.run_engine(now);
        let known = self.exchange_counts(now);
        self.arrive(now);
        let free = engine(known.0).free(Some(BEGIN_WITHIN_MS as f64));
        let credit = f64::from(free) * STEP_MS as f64 / COUNT_AGE_MS / self.credits.len() as f64;
        for credits in &mut self.credits {
            *credits = (*credits + credit).min(1.0);
        }
        for request in std::mem::take(&mut self.waiting) {
            self.decide(now, request, known);
        }
    }

    fn run_engine(&mut self, now: u64) {
        self.ends.retain(|end| *end > now);
        while self.ends.len() < SLOTS as usize
            && let Some(request) = self.queued.pop_front()
        {
            let spread = self.random.random_range(0.5..1.5);
            self.ends.push(now + (REQUEST_MS * spread) as u64);
            let is_timely = now - request.arrived <= BEGIN_WITHIN_MS + STEP_MS;
            if is_timely && request.is_returning {
                self.outcome.returned_timely += 1;
            }
            if is_timely {
                self.outcome.timely[usize::from(request.priority)] += 1;
            } else {
                self.outcome.late += 1;
            }
        }
        self.outcome.busy_slots += self.ends.len() as f64;
        let is_regular =
            now >= RECOVERY_MS && (now < self.outage.start || now >= self.outage.end + RECOVERY_MS);
        if is_regular {
            self.outcome.max_running = self.outcome.max_running.max(self.running());
            self.outcome.steps += 1;
            self.outcome.steps_too_long += u32::from(self.running() > max_useful());
        }
    }

    fn running(&self) -> u32 {
        (self.queued.len() + self.ends.len()) as u32
    }

    fn exchange_counts(&mut self, now: u64) -> (u32, Contenders) {
        let mut sum = Contenders::default();
        for queue in &mut self.queues {
            let own = queue.contenders(Timestamp(now));
            sum.arrived += own.arrived;
            sum.promised += own.promised;
            for class in 0..CLASSES {
                sum.waiting[class] += own.waiting[class];
            }
        }
        let running = self.running();
        self.counts.push_back((running, sum));
        if self.outage.contains(&now) {
            self.counts.clear();
        }
        if self.counts.len() as f64 * STEP_MS as f64 > COUNT_AGE_MS {
            return self.counts.pop_front().unwrap_or_default();
        }
        (0, Contenders::default())
    }

    fn arrive(&mut self, now: u64) {
        let (due, returning): (Vec<Request>, Vec<Request>) = std::mem::take(&mut self.returning)
            .into_iter()
            .partition(|request| request.arrived <= now);
        self.returning = returning;
        self.waiting.extend(due);
        let expected = ARRIVALS * STEP_MS as f64 / 1_000.0;
        let fraction = f64::from(u8::from(self.random.random::<f64>() < expected.fract()));
        for _ in 0..(expected.trunc() + fraction) as u32 {
            let priority = self.random.random_range(0..3_u8);
            self.outcome.arrived[usize::from(priority)] += 1;
            self.waiting.push(Request {
                gateway: self.random.random_range(0..self.queues.len()),
                arrived: now,
                priority,
                number: 0,
                is_returning: false,
                expected: 0.0,
            });
        }
    }

    fn decide(&mut self, now: u64, mut request: Request, known: (u32, Contenders)) {
        let (running, mut contenders) = known;
        let (load, class) = (engine(running), request.class(now));
        if request.number == 0 {
            contenders.add_arrival(class);
        }
        let free = load.free(request.begin_within(now));
        let queue = &mut self.queues[request.gateway];
        let until = Timestamp(request.arrived + GIVE_UP_MS);
        let time = Timestamp(now);
        if request.number == 0 && load.is_crowded() {
            queue.record_arrival(time, class);
        }
        let portion = match request.number {
            0 => 1.0,
            number => {
                queue.update(number, class, until);
                match contenders.is_only(class) || free == 0 {
                    true => 1.0,
                    false => queue.draw(time, number),
                }
            }
        };
        let may_send = match self.way {
            Way::Unbounded => true,
            Way::Credits => self.credits[request.gateway] >= 1.0,
            Way::Sampling => {
                self.random.random::<f64>() < share(free, &contenders, class) * portion
            }
        };
        let credits = &mut self.credits[request.gateway];
        if may_send {
            *credits = (*credits - 1.0).max(0.0);
            queue.leave(request.number);
            if request.number > 0 {
                let waited = (now - request.arrived) as f64;
                self.outcome.errors.push((waited - request.expected).abs());
            }
            self.queued.push_back(request);
            return;
        }
        let wait = expected_wait(&[load], request.begin_within(now), &contenders, class);
        let left = request.begin_within(now);
        let can_wait = left.map_or(GIVE_UP_MS as f64, |left| left / WAIT_MARGIN);
        let has_ended = now >= until.0;
        if request.number == 0 && wait <= can_wait {
            request.number = queue.join(time, class, until, load.is_crowded());
            request.expected = wait;
        }
        if request.number > 0 && !has_ended {
            self.waiting.push(request);
            return;
        }
        queue.leave(request.number);
        self.outcome.refused += 1;
        if request.number == 0 && !request.is_returning {
            let after = return_after(
                &[load],
                request.begin_within(now),
                &contenders,
                class,
                self.random.random(),
            );
            self.outcome.returned += 1;
            request.is_returning = true;
            request.arrived = now + after as u64;
            queue.record_promise(Timestamp(request.arrived));
            self.returning.push(request);
        }
    }
}

/// Requests that the engine can begin.
fn capacity() -> f64 {
    f64::from(SLOTS) * DURATION_MS as f64 / REQUEST_MS
}

/// The most requests at the engine of which the last one still begins before its caller gives up.
fn max_useful() -> u32 {
    SLOTS + (f64::from(SLOTS) * GIVE_UP_MS as f64 / REQUEST_MS) as u32
}

#[test]
fn gateways_together_keep_an_engine_busy_and_its_queue_short() {
    for gateways in [70, 300] {
        let unbounded = Fleet::play(Way::Unbounded, gateways, 0..0);
        let credits = Fleet::play(Way::Credits, gateways, 0..0);
        let sampling = Fleet::play(Way::Sampling, gateways, 0..0);
        println!("{gateways} gateways\n{unbounded}\n{credits}\n{sampling}");
        assert!(sampling.max_running <= max_useful());
        assert!(sampling.steps_too_long * 100 <= sampling.steps);
        assert!(sampling.busy_slots >= 0.8 * f64::from(SLOTS));
        assert!(f64::from(sampling.all_timely()) >= 0.5 * capacity());
        assert!(sampling.all_timely() > credits.all_timely());
        assert!(sampling.all_timely() > unbounded.all_timely());
        assert!(sampling.timely[2] * 4 >= sampling.timely[0]);
        assert!(sampling.mean_error() <= GIVE_UP_MS as f64 / 2.0);
    }
}

#[test]
fn engine_that_has_just_rejected_a_request_has_no_room() {
    let rejecting = EngineLoad {
        has_rejected: true,
        ..engine(0)
    };
    assert_eq!(rejecting.free(Some(500.0)), 0);
    assert_eq!(rejecting.free(None), 0);
}

#[test]
fn a_queue_that_grew_while_counts_were_unknown_is_short_again_soon() {
    let outcome = Fleet::play(Way::Sampling, 70, 20_000..21_500);
    println!("{outcome}");
    assert!(outcome.steps_too_long * 100 <= outcome.steps);
    assert!(f64::from(outcome.all_timely()) >= 0.4 * capacity());
}
