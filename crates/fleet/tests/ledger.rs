//! What tenants use of their limits: no span is over the bound, whoever counts, and what is
//! within the limit is granted.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::counting_seat::{
    SEATS, SeatCandidate, delay, lease_name, seat_of, seat_of_lease,
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
    /// A request of this cost comes.
    Ask(f64),
    /// The last granted request is known not to have run.
    GiveBack,
    /// Whoever counts is gone, and another one counts from now on.
    Replaced,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => (100.0f64..5_400.0).prop_map(Step::Ask),
        2 => Just(Step::GiveBack),
        1 => Just(Step::Replaced),
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
        let mut ledger = Ledger::new(BOUND, Timestamp(0));
        let mut now = 60_000;
        let mut grants: Vec<(u64, f64)> = Vec::new();
        for (step, pause) in steps {
            now += pause;
            match step {
                Step::Ask(cost) => {
                    let taken = ledger.take(Timestamp(now), &tenant(), &limit, cost);
                    if taken == Taken::Granted {
                        grants.push((now, cost));
                    }
                }
                Step::GiveBack => {
                    if let Some((_, cost)) = grants.pop() {
                        ledger.give_back(Timestamp(now), &tenant(), &limit, cost);
                    }
                }
                Step::Replaced => ledger = Ledger::new(BOUND, Timestamp(now)),
            }
        }
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
        let mut ledger = Ledger::new(BOUND, Timestamp(0));
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
    let mut ledger = Ledger::new(BOUND, Timestamp(1_000));
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
    let mut ledger = Ledger::new(bound, Timestamp(0));
    let mut ask = |now| ledger.take(Timestamp(now), &tenant(), &limit, 400.0);
    assert_eq!(ask(60_000), Taken::Granted);
    assert!(matches!(ask(61_000), Taken::Beyond(_)));
    assert_eq!(ask(120_000), Taken::Granted);
}

#[test]
fn a_lower_limit_binds_at_once() {
    let mut ledger = Ledger::new(BOUND, Timestamp(0));
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
fn seats_are_spread_and_the_strongest_take_them_first() {
    let seats: Vec<usize> = (0..200)
        .map(|number| seat_of(&TenantId::from(format!("tenant-{number}"))))
        .collect();
    assert_eq!(seat_of_lease("placement"), None);
    for seat in 0..SEATS {
        assert_eq!(seat_of_lease(&lease_name(seat)), Some(seat));
        assert!(seats.contains(&seat), "{seat}");
    }
    let names: Vec<String> = (0..20).map(|number| format!("node-{number}")).collect();
    let candidates: Vec<SeatCandidate<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, name)| SeatCandidate {
            name,
            is_strong: index < 5,
        })
        .collect();
    for seat in 0..SEATS {
        let first = (0..5).filter(|index| delay(&names[*index], &candidates, seat, 0) == 0);
        assert_eq!(
            first.count(),
            1,
            "one strong gateway takes seat {seat} at once"
        );
        let weak = (5..20).map(|index| delay(&names[index], &candidates, seat, 0));
        assert!(weak.min() > Some(1_000), "weak ones come later");
    }
    let unseated = delay(&names[0], &candidates, 0, 0);
    assert!(delay(&names[0], &candidates, 0, 1) > unseated);
}
