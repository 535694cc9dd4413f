//! What tenants use of their limits: no span is over the bound, whoever counts, and what is
//! within the limit is granted.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::counting_seat::{
    HALVES, SEATS, SeatCandidate, SeatOrder, lease_name, seat_of_lease, seats_of,
};
use gorsebank_fleet::{Ledger, LimitBound, LimitUnit, Taken, TenantLimit};
use gorsebank_world::TenantId;
use proptest::prelude::*;

const BOUND: LimitBound = LimitBound {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 11_000.0,
};

fn limit(rate: f64, burst: f64) -> TenantLimit {
    TenantLimit {
        rate,
        burst,
        unit: LimitUnit::Tokens { plain: 200.0 },
    }
}

fn tenant() -> TenantId {
    "crews".into()
}

/// What the bound allows in one window.
fn allowed(limit: &TenantLimit) -> f64 {
    let window = BOUND.window.as_secs_f64();
    (limit.rate * window + limit.burst) * (1.0 + BOUND.overage) + BOUND.slack
}

/// The most that was granted within one window.
fn most_in_a_window(grants: &[(u64, f64)]) -> f64 {
    let window = BOUND.window.as_millis() as u64;
    let sums = grants.iter().map(|(from, _)| {
        let within = grants
            .iter()
            .filter(|(at, _)| (*from..=from + window).contains(at));
        within.map(|(_, cost)| cost).sum()
    });
    sums.fold(0.0, f64::max)
}

/// Something that happens to the counting.
#[derive(Clone, Debug)]
enum Step {
    /// A request of this cost comes, and is asked for at one half first.
    Ask(f64, usize),
    /// The last granted request is known not to have run.
    GiveBack,
    /// Whoever counts one half is gone, and another one counts it from now on.
    Replaced(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => (100.0f64..5_400.0, 0..HALVES).prop_map(|(cost, half)| Step::Ask(cost, half)),
        2 => Just(Step::GiveBack),
        1 => (0..HALVES).prop_map(Step::Replaced),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn no_window_is_over_the_bound_whoever_counts(
        rate in 2_700.0f64..60_000.0,
        burst_seconds in 0.0f64..2.0,
        steps in prop::collection::vec((step(), 0u64..300), 1..600),
    ) {
        let limit = limit(rate, rate * burst_seconds);
        let half = |since| Ledger::new(BOUND, HALVES, Timestamp(since));
        let mut ledgers = [half(0), half(0)];
        let mut now = 60_000;
        let mut grants: Vec<(u64, f64, usize)> = Vec::new();
        for (step, pause) in steps {
            now += pause;
            let at = Timestamp(now);
            match step {
                Step::Ask(cost, first) => {
                    let mut halves = [first, 1 - first].into_iter();
                    let granted = halves.find(|half| {
                        ledgers[*half].take(at, &tenant(), &limit, cost) == Taken::Granted
                    });
                    grants.extend(granted.map(|half| (now, cost, half)));
                }
                Step::GiveBack => {
                    if let Some((_, cost, half)) = grants.pop() {
                        ledgers[half].give_back(at, &tenant(), &limit, cost);
                    }
                }
                Step::Replaced(one) => ledgers[one] = half(now),
            }
        }
        let grants: Vec<(u64, f64)> = grants.iter().map(|(at, cost, _)| (*at, *cost)).collect();
        let most = most_in_a_window(&grants);
        prop_assert!(most <= allowed(&limit) + 1.0, "{most} of {}", allowed(&limit));
    }

    /// A tenant that stays within its limit is refused nothing.
    #[test]
    fn what_stays_within_the_limit_is_granted(
        rate in 2_700.0f64..60_000.0,
        asks in prop::collection::vec((100.0f64..2_700.0, 0u64..900), 1..300),
    ) {
        let limit = limit(rate, rate);
        let mut ledger = Ledger::new(BOUND, 1, Timestamp(0));
        let (mut level, mut at, mut now) = (rate, 0, 60_000);
        for (cost, pause) in asks {
            now += pause;
            level = (level + rate * (now - at) as f64 / 1_000.0).min(rate);
            at = now;
            if level >= cost {
                level -= cost;
                let taken = ledger.take(Timestamp(now), &tenant(), &limit, cost);
                prop_assert_eq!(taken, Taken::Granted);
            }
        }
    }
}

#[test]
fn whoever_begins_to_count_says_not_yet_before_it_says_beyond() {
    let limit = limit(10_000.0, 10_000.0);
    let mut ledger = Ledger::new(BOUND, 1, Timestamp(1_000));
    let mut ask = |now| ledger.take(Timestamp(now), &tenant(), &limit, 5_000.0);
    let Taken::NotYet(wait) = ask(1_000) else {
        panic!("it knows nothing of what was granted before");
    };
    let wait = wait.as_millis() as u64 + 1;
    assert!(wait < 500, "{wait} ms");
    assert_eq!(ask(1_000 + wait), Taken::Granted);
    let mut last = Taken::Granted;
    for now in (2_000..9_000).step_by(50) {
        last = ask(now);
    }
    assert!(matches!(last, Taken::Beyond(_)), "{last:?}");
}

#[test]
fn a_request_larger_than_a_bucket_needs_a_full_one() {
    let limit = limit(100.0, 0.0);
    let bound = LimitBound {
        slack: 200.0,
        ..BOUND
    };
    let mut ledger = Ledger::new(bound, 1, Timestamp(0));
    let mut ask = |now| ledger.take(Timestamp(now), &tenant(), &limit, 400.0);
    assert_eq!(ask(60_000), Taken::Granted);
    assert!(matches!(ask(61_000), Taken::Beyond(_)));
    assert_eq!(ask(120_000), Taken::Granted);
}

#[test]
fn a_lower_limit_binds_at_once() {
    let mut ledger = Ledger::new(BOUND, 1, Timestamp(0));
    let (high, low) = (limit(50_000.0, 50_000.0), limit(2_700.0, 2_700.0));
    let full = ledger.take(Timestamp(60_000), &tenant(), &high, 1_000.0);
    assert_eq!(full, Taken::Granted);
    let mut granted = 0.0;
    for now in (60_000..68_000).step_by(10) {
        if ledger.take(Timestamp(now), &tenant(), &low, 1_000.0) == Taken::Granted {
            granted += 1_000.0;
        }
    }
    assert!(granted <= allowed(&low), "{granted} of {}", allowed(&low));
}

#[test]
fn each_tenant_is_counted_at_two_seats_and_all_seats_are_used() {
    let tenants = (0..200).map(|number| TenantId::from(format!("tenant-{number}")));
    let seats: Vec<usize> = tenants.flat_map(|tenant| seats_of(&tenant)).collect();
    assert_eq!(seat_of_lease("placement"), None);
    for seat in 0..SEATS {
        assert_eq!(seat_of_lease(&lease_name(seat)), Some(seat));
        assert!(seats.contains(&seat), "{seat}");
    }
    let [first, second] = seats_of(&tenant());
    assert_ne!(first, second);
}

/// The gateways that come first for each seat.
fn first_for_seats(strong: usize, all: usize) -> Vec<usize> {
    let names: Vec<String> = (0..all).map(|number| format!("node-{number}")).collect();
    let candidates: Vec<SeatCandidate<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, name)| SeatCandidate {
            name,
            is_strong: index < strong,
        })
        .collect();
    let delay = |index: usize, seat| SeatOrder::new(&names[index], &candidates).delay(seat, 0);
    let first = |seat| (0..all).min_by_key(|index| delay(*index, seat));
    (0..SEATS).filter_map(first).collect()
}

#[test]
fn strong_gateways_come_first_and_each_has_a_seat_of_its_own() {
    let mut first = first_for_seats(SEATS, 80);
    first.sort_unstable();
    assert_eq!(first, (0..SEATS).collect::<Vec<usize>>());
    for strong in 2..SEATS {
        let first = first_for_seats(strong, 40);
        assert!(first.iter().all(|index| *index < strong), "{first:?}");
        for halves in first.chunks(HALVES) {
            assert_ne!(halves[0], halves[1], "one loss takes one half: {first:?}");
        }
    }
}

#[test]
fn a_gateway_that_holds_a_seat_leaves_others_to_others() {
    let candidates = ["a", "b"].map(|name| SeatCandidate {
        name,
        is_strong: true,
    });
    let order = SeatOrder::new("a", &candidates);
    assert!(order.delay(0, 1) > order.delay(0, 0));
    let stranger = SeatOrder::new("c", &candidates);
    assert!(stranger.delay(0, 0) > order.delay(0, 0).max(order.delay(1, 0)));
}
