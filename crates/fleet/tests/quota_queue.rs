//! Tests places in a tenant's quota: under a load of several times the limit, callers find room
//! at the time that they were told, no kind of request is starved, and the limit is both kept and
//! used.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::ledger::SavedUsage;
use gorsebank_fleet::{
    Charge, Ledger, LimitBound, LimitUnit, PlaceRequest, QueueDecision, QuotaQueue, TenantLimit,
};
use gorsebank_world::TenantId;

const BOUND: LimitBound = LimitBound {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 11_000.0,
};
const WINDOW_MS: u64 = 8_000;
/// Tokens that the limit grants in a window, without the bound's overage.
const LIMIT_TOKENS: f64 = 90_000.0;
/// Largest error of a stated time that callers should see.
const MAX_ERROR_MS: i64 = 100;

fn limit() -> TenantLimit {
    TenantLimit {
        rate: 10_000.0,
        burst: 10_000.0,
        unit: LimitUnit::Tokens {
            default_cost: 200.0,
        },
    }
}

fn tenant() -> TenantId {
    "crews".into()
}

/// A kind of request: its charge, priority, the wait at the gateway, the longest wait that its
/// callers honour, and the pause between two requests under the load.
#[derive(Clone, Copy)]
struct Kind {
    cost: f64,
    priority: u8,
    wait_ms: u64,
    return_ms: u64,
    pause_ms: u64,
}

/// Together five times the limit's rate; the last kind is rare and can wait for long.
const KINDS: [Kind; 3] = [
    Kind {
        cost: 1_600.0,
        priority: 0,
        wait_ms: 400,
        return_ms: 5_000,
        pause_ms: 44,
    },
    Kind {
        cost: 200.0,
        priority: 2,
        wait_ms: 150,
        return_ms: 500,
        pause_ms: 20,
    },
    Kind {
        cost: 1_600.0,
        priority: 2,
        wait_ms: 2_500,
        return_ms: 6_600,
        pause_ms: 400,
    },
];

/// A holder that saves its usage after each request.
struct Holder {
    ledger: Ledger,
    queue: QuotaQueue,
}

impl Holder {
    fn new() -> Self {
        let ledger = Ledger::new(BOUND, 1, Timestamp(0), SavedUsage::default());
        let queue = QuotaQueue::default();
        Holder { ledger, queue }
    }

    fn charge(&mut self, now: u64, cost: f64, place: Option<PlaceRequest>) -> QueueDecision {
        let (name, limit) = (tenant(), limit());
        let charge = Charge {
            tenant: &name,
            limit: &limit,
            cost,
            place,
        };
        let mut decide = || {
            let (ledger, queue) = (&mut self.ledger, &mut self.queue);
            let decision = queue.charge(ledger, Timestamp(now), &charge);
            ledger.begin_save(Timestamp(now), [(&name, &limit)].into_iter());
            ledger.confirm_save();
            decision
        };
        match decide() {
            QueueDecision::NotYet(_) => decide(),
            decision => decision,
        }
    }
}

fn place(caller: u64, kind: usize, max_wait_ms: u64, is_returning: bool) -> PlaceRequest {
    PlaceRequest {
        caller,
        kind: kind as u32,
        priority: KINDS[kind].priority,
        max_wait_ms,
        is_returning,
    }
}

fn is_granted(decision: QueueDecision) -> bool {
    matches!(decision, QueueDecision::Granted { .. })
}

/// The result of a load.
#[derive(Default)]
struct Served {
    /// Time and cost of each grant, for each kind.
    grants: [Vec<(u64, f64)>; KINDS.len()],
    /// Errors of stated times.
    errors: Vec<i64>,
    /// Callers that found no room at the time that they were told.
    disappointed: usize,
}

impl Served {
    fn tokens(&self, kind: usize, from: u64, until: u64) -> f64 {
        let within = self.grants[kind]
            .iter()
            .filter(|(at, _)| (from..until).contains(at));
        within.map(|(_, cost)| cost).sum()
    }

    fn all_tokens(&self, from: u64, until: u64) -> f64 {
        (0..KINDS.len())
            .map(|kind| self.tokens(kind, from, until))
            .sum()
    }
}

/// Lets all kinds arrive for `duration_ms` from the time 60 s on. Callers wait at the gateway or
/// return once, at the stated time.
fn run_load(duration_ms: u64) -> Served {
    let (mut holder, mut served) = (Holder::new(), Served::default());
    let mut events = BinaryHeap::new();
    for (kind, terms) in KINDS.iter().enumerate() {
        for at in (0..duration_ms).step_by(terms.pause_ms as usize) {
            let caller = at * KINDS.len() as u64 + kind as u64;
            events.push(Reverse((60_000 + at, caller, kind, 0)));
        }
    }
    while let Some(Reverse((now, caller, kind, asked))) = events.pop() {
        let terms = KINDS[kind];
        let max_wait = if asked == 0 { terms.return_ms } else { 0 };
        let request = place(caller, kind, max_wait, asked > 0);
        match holder.charge(now, terms.cost, Some(request)) {
            QueueDecision::Granted { place_error_ms } => {
                served.grants[kind].push((now, terms.cost));
                served.errors.extend(place_error_ms);
            }
            QueueDecision::Placed(wait) if asked < 2 => {
                let at = now + wait.as_millis() as u64;
                let is_short = wait.as_millis() as u64 <= terms.wait_ms;
                events.push(Reverse((
                    at,
                    caller,
                    kind,
                    asked + if is_short { 1 } else { 2 },
                )));
            }
            _ if asked > 0 => served.disappointed += 1,
            _ => {}
        }
    }
    served
}

#[test]
fn callers_find_room_at_the_time_that_they_were_told() {
    let served = run_load(24_000);
    assert!(served.errors.len() > 20, "{}", served.errors.len());
    let wrong = served.errors.iter().filter(|ms| ms.abs() > MAX_ERROR_MS);
    assert_eq!((wrong.count(), served.disappointed), (0, 0));
}

#[test]
fn no_kind_is_starved_and_the_limit_is_kept_and_used() {
    let served = run_load(24_000);
    let allowed = LIMIT_TOKENS * (1.0 + BOUND.overage) + BOUND.slack;
    for from in (60_000..76_000).step_by(500) {
        let used = served.all_tokens(from, from + WINDOW_MS);
        assert!(used <= allowed, "{used} from {from}");
        assert!(used >= LIMIT_TOKENS, "{used} from {from}");
    }
    // After the first window, when all room is competed for.
    let weights = KINDS.map(|kind| 1.0 / (1.0 + f64::from(kind.priority)));
    let all_weights: f64 = weights.iter().sum();
    for (kind, terms) in KINDS.iter().enumerate() {
        let asked = terms.cost * 16_000.0 / terms.pause_ms as f64;
        let share = 2.0 * LIMIT_TOKENS * weights[kind] / all_weights;
        let got = served.tokens(kind, 68_000, 84_000);
        assert!(
            got >= 0.5 * asked.min(share),
            "kind {kind}: {got} of {asked}, share {share}"
        );
    }
}

/// Uses the whole limit in steps of one second.
fn exhausted() -> Holder {
    let mut holder = Holder::new();
    for now in (52_000..60_000).step_by(1_000) {
        while is_granted(holder.charge(now, 1_600.0, None)) {}
    }
    holder
}

#[test]
fn a_later_request_does_not_take_the_room_of_a_place() {
    let mut holder = exhausted();
    let decision = holder.charge(60_000, 1_600.0, Some(place(1, 0, 5_000, false)));
    let QueueDecision::Placed(wait) = decision else {
        panic!("{decision:?}");
    };
    let due = 60_000 + wait.as_millis() as u64;
    while is_granted(holder.charge(due, 1_600.0, None)) {}
    let returning = Some(place(1, 0, 0, true));
    let granted = QueueDecision::Granted {
        place_error_ms: Some(0),
    };
    assert_eq!(holder.charge(due, 1_600.0, returning), granted);
}

#[test]
fn a_place_that_nobody_uses_lapses() {
    let mut holder = exhausted();
    let decision = holder.charge(60_000, 1_600.0, Some(place(1, 0, 5_000, false)));
    let QueueDecision::Placed(wait) = decision else {
        panic!("{decision:?}");
    };
    let due = 60_000 + wait.as_millis() as u64;
    while is_granted(holder.charge(due, 1_600.0, None)) {}
    assert!(is_granted(holder.charge(due + 501, 1_600.0, None)));
    assert_eq!(holder.queue.take_lapsed(), 1);
}

#[test]
fn no_place_is_given_later_than_its_caller_returns() {
    let mut holder = exhausted();
    let decision = holder.charge(60_000, 1_600.0, Some(place(1, 0, 5, false)));
    assert!(matches!(decision, QueueDecision::Beyond(_)), "{decision:?}");
}

/// A holder that waits for a save has room, which must not be given out slowly.
#[test]
fn a_wait_for_a_save_does_not_slow_a_tenant_within_its_limit() {
    let (mut holder, name, limit) = (Holder::new(), tenant(), limit());
    let charge = Charge {
        tenant: &name,
        limit: &limit,
        cost: 1_600.0,
        place: Some(place(1, 0, 5_000, false)),
    };
    let at = Timestamp(60_000);
    let mut decide = || holder.queue.charge(&mut holder.ledger, at, &charge);
    while is_granted(decide()) {}
    assert!(matches!(decide(), QueueDecision::NotYet(_)));
    let mut granted = 0.0;
    while is_granted(holder.charge(60_000, 1_600.0, charge.place)) {
        granted += 1_600.0;
    }
    assert!(granted >= 0.7 * LIMIT_TOKENS, "{granted}");
}
