//! What tenants use of their limits: no span is over the bound, whoever counts, and what is
//! within the limit is granted.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::ledger::SavedUsage;
use gorsebank_fleet::quota_shard::{
    QUOTA_SHARDS, SHARDS_PER_TENANT, ShardCandidate, ShardOrder, lease_name, shard_of_lease,
    shard_to_hand_over, shards_of,
};
use gorsebank_fleet::{Ledger, LimitBound, LimitUnit, QuotaDecision, TenantLimit};
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
        unit: LimitUnit::Tokens {
            default_cost: 200.0,
        },
    }
}

/// What a request waits for that is larger than the reserve.
const SAVING: Duration = Duration::from_millis(30);

/// A ledger of a part of each limit that nobody has saved anything for.
fn ledger(parts: usize, since: u64) -> Ledger {
    Ledger::new(BOUND, parts, Timestamp(since), SavedUsage::default())
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

/// What comes of a save.
#[derive(Clone, Copy, Debug)]
enum Save {
    Answered,
    /// It stands, and nobody was told.
    Unanswered,
    /// It does not stand.
    Lost,
}

fn save() -> impl Strategy<Value = Save> {
    prop_oneof![
        6 => Just(Save::Answered),
        1 => Just(Save::Unanswered),
        1 => Just(Save::Lost),
    ]
}

/// Something that happens to the counting.
#[derive(Clone, Debug)]
enum Step {
    /// A request of this cost comes, and is asked for at one half first.
    Ask(f64, usize),
    /// A request that was granted so many requests ago is known not to have run.
    GiveBack(usize),
    /// Whoever counts one half is gone, and another one counts it from now on.
    Replaced(usize),
    /// What was granted of one half is saved.
    Saved(usize, Save),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => (100.0f64..5_400.0, 0..SHARDS_PER_TENANT).prop_map(|(cost, half)| Step::Ask(cost, half)),
        3 => (0usize..40).prop_map(Step::GiveBack),
        1 => (0..SHARDS_PER_TENANT).prop_map(Step::Replaced),
        6 => (0..SHARDS_PER_TENANT, save()).prop_map(|(half, save)| Step::Saved(half, save)),
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
        let mut ledgers = [ledger(SHARDS_PER_TENANT, 0), ledger(SHARDS_PER_TENANT, 0)];
        let mut saved = [SavedUsage::default(), SavedUsage::default()];
        let name = tenant();
        let mut now = 60_000;
        let mut grants: Vec<(u64, f64, usize)> = Vec::new();
        for (step, pause) in steps {
            now += pause;
            let at = Timestamp(now);
            match step {
                Step::Ask(cost, first) => {
                    let mut halves = [first, 1 - first].into_iter();
                    let granted = halves.find(|half| {
                        ledgers[*half].charge(at, &tenant(), &limit, cost) == QuotaDecision::Granted
                    });
                    grants.extend(granted.map(|half| (now, cost, half)));
                }
                Step::GiveBack(ago) if ago < grants.len() => {
                    let (granted, cost, half) = grants.remove(grants.len() - 1 - ago);
                    ledgers[half].refund(at, &name, Timestamp(granted), cost);
                }
                Step::GiveBack(_) => {}
                Step::Replaced(half) => {
                    ledgers[half] = Ledger::new(BOUND, SHARDS_PER_TENANT, at, saved[half].clone());
                }
                Step::Saved(half, save) => {
                    let use_now = ledgers[half].begin_save(at, [(&name, &limit)].into_iter());
                    if !matches!(save, Save::Lost) {
                        saved[half] = use_now;
                    }
                    if matches!(save, Save::Answered) {
                        ledgers[half].confirm_save();
                    }
                }
            }
        }
        let grants: Vec<(u64, f64)> = grants.iter().map(|(at, cost, _)| (*at, *cost)).collect();
        let most = most_in_a_window(&grants);
        prop_assert!(most <= allowed(&limit) + 1.0, "{most} of {}", allowed(&limit));
    }

    /// A tenant that stays within its limit is refused nothing, as long as grants are saved.
    #[test]
    fn what_stays_within_the_limit_is_granted(
        rate in 2_700.0f64..60_000.0,
        asks in prop::collection::vec((100.0f64..2_700.0, 0u64..900), 1..120),
    ) {
        let limit = limit(rate, rate);
        let mut ledger = ledger(1, 0);
        let (mut now, name) = (60_000, tenant());
        let mut asked: Vec<(u64, f64)> = Vec::new();
        for (cost, pause) in asks {
            now += pause;
            asked.push((now, cost));
            if most_in_a_window(&asked) > 9.0 * rate {
                asked.pop();
                continue;
            }
            let mut taken = ledger.charge(Timestamp(now), &name, &limit, cost);
            if taken == QuotaDecision::NotYet(SAVING) {
                ledger.begin_save(Timestamp(now), [(&name, &limit)].into_iter());
                ledger.confirm_save();
                taken = ledger.charge(Timestamp(now), &name, &limit, cost);
            }
            prop_assert_eq!(taken, QuotaDecision::Granted);
            ledger.begin_save(Timestamp(now), [(&name, &limit)].into_iter());
            ledger.confirm_save();
        }
    }
}

/// What a tenant that has used little asks for at once is within its limit.
#[test]
fn a_whole_window_may_be_used_at_once() {
    let limit = limit(10_000.0, 10_000.0);
    let (mut ledger, name) = (ledger(1, 0), tenant());
    let mut granted = 0.0;
    for _ in 0..100 {
        if ledger.charge(Timestamp(60_000), &name, &limit, 1_500.0) == QuotaDecision::Granted {
            granted += 1_500.0;
        }
        ledger.begin_save(Timestamp(60_000), [(&name, &limit)].into_iter());
        ledger.confirm_save();
    }
    assert!(
        granted > 90_000.0 && granted <= allowed(&limit),
        "{granted}"
    );
}

/// Whoever counts next could not know what was granted and never saved.
#[test]
fn what_cannot_be_saved_is_granted_up_to_a_part_of_the_limit() {
    let limit = limit(10_000.0, 10_000.0);
    let (mut ledger, name) = (ledger(1, 0), tenant());
    let mut take = || ledger.charge(Timestamp(60_000), &name, &limit, 1_500.0);
    let granted = (0..100)
        .filter(|_| take() == QuotaDecision::Granted)
        .count();
    assert!(
        granted as f64 * 1_500.0 < 0.35 * allowed(&limit),
        "{granted}"
    );
    assert!(matches!(take(), QuotaDecision::NotYet(_)));
    assert!(ledger.needs_saving());
}

#[test]
fn whoever_counts_next_goes_on_where_the_former_one_ended() {
    let limit = limit(10_000.0, 10_000.0);
    let (mut former, name) = (ledger(1, 0), tenant());
    let take = |ledger: &mut Ledger, now| {
        ledger.begin_save(Timestamp(now), [(&name, &limit)].into_iter());
        ledger.confirm_save();
        ledger.charge(Timestamp(now), &name, &limit, 5_000.0)
    };
    for now in (50_000..58_000).step_by(1_000) {
        assert_eq!(take(&mut former, now), QuotaDecision::Granted);
    }
    let saved = former.begin_save(Timestamp(58_000), [(&name, &limit)].into_iter());
    let mut next = Ledger::new(BOUND, 1, Timestamp(59_000), saved);
    // Half of the limit was used; most of the rest is known to be left.
    assert_eq!(take(&mut next, 59_000), QuotaDecision::Granted);
    assert_eq!(take(&mut next, 59_001), QuotaDecision::Granted);
    let mut last = QuotaDecision::Granted;
    for _ in 0..20 {
        last = take(&mut next, 59_002);
    }
    assert!(
        matches!(last, QuotaDecision::NotYet(_)),
        "it does not know whether that is beyond the limit: {last:?}"
    );
}

#[test]
fn a_request_larger_than_the_limit_is_granted_alone() {
    let limit = limit(10.0, 0.0);
    let bound = LimitBound {
        slack: 200.0,
        ..BOUND
    };
    let mut ledger = Ledger::new(bound, 1, Timestamp(0), SavedUsage::default());
    let name = tenant();
    let mut ask = |now| {
        // The first try tells that the reserve is too small.
        let first = ledger.charge(Timestamp(now), &name, &limit, 400.0);
        ledger.begin_save(Timestamp(now), [(&name, &limit)].into_iter());
        ledger.confirm_save();
        if first != QuotaDecision::NotYet(SAVING) {
            return first;
        }
        ledger.charge(Timestamp(now), &name, &limit, 400.0)
    };
    assert_eq!(ask(60_000), QuotaDecision::Granted);
    assert!(matches!(ask(61_000), QuotaDecision::Beyond(_)));
    assert_eq!(ask(70_000), QuotaDecision::Granted);
}

#[test]
fn a_lower_limit_binds_at_once() {
    let mut ledger = ledger(1, 0);
    let (high, low) = (limit(50_000.0, 50_000.0), limit(2_700.0, 2_700.0));
    let full = ledger.charge(Timestamp(60_000), &tenant(), &high, 1_000.0);
    assert_eq!(full, QuotaDecision::Granted);
    let mut granted = 0.0;
    for now in (60_000..68_000).step_by(10) {
        if ledger.charge(Timestamp(now), &tenant(), &low, 1_000.0) == QuotaDecision::Granted {
            granted += 1_000.0;
        }
    }
    assert!(granted <= allowed(&low), "{granted} of {}", allowed(&low));
}

#[test]
fn each_tenant_is_counted_at_two_seats_and_all_seats_are_used() {
    let tenants = (0..200).map(|number| TenantId::from(format!("tenant-{number}")));
    let seats: Vec<usize> = tenants.flat_map(|tenant| shards_of(&tenant)).collect();
    assert_eq!(shard_of_lease("placement"), None);
    for seat in 0..QUOTA_SHARDS {
        assert_eq!(shard_of_lease(&lease_name(seat)), Some(seat));
        assert!(seats.contains(&seat), "{seat}");
    }
    let [first, second] = shards_of(&tenant());
    assert_ne!(first, second);
}

/// The gateways that come first for each seat.
fn first_for_seats(strong: usize, all: usize) -> Vec<usize> {
    let names: Vec<String> = (0..all).map(|number| format!("node-{number}")).collect();
    let candidates: Vec<ShardCandidate<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, name)| ShardCandidate {
            name,
            is_strong: index < strong,
        })
        .collect();
    let delay = |index: usize, seat| ShardOrder::new(&names[index], &candidates).delay(seat, 0);
    let first = |seat| (0..all).min_by_key(|index| delay(*index, seat));
    (0..QUOTA_SHARDS).filter_map(first).collect()
}

#[test]
fn strong_gateways_come_first_and_each_has_a_seat_of_its_own() {
    let mut first = first_for_seats(QUOTA_SHARDS, 80);
    first.sort_unstable();
    assert_eq!(first, (0..QUOTA_SHARDS).collect::<Vec<usize>>());
    for strong in 2..QUOTA_SHARDS {
        let first = first_for_seats(strong, 40);
        assert!(first.iter().all(|index| *index < strong), "{first:?}");
        for halves in first.chunks(SHARDS_PER_TENANT) {
            assert_ne!(halves[0], halves[1], "one loss takes one half: {first:?}");
        }
    }
}

#[test]
fn a_gateway_that_holds_a_seat_leaves_others_to_others() {
    let candidates = ["a", "b"].map(|name| ShardCandidate {
        name,
        is_strong: true,
    });
    let order = ShardOrder::new("a", &candidates);
    assert!(order.delay(0, 1) > order.delay(0, 0));
    let stranger = ShardOrder::new("c", &candidates);
    assert!(stranger.delay(0, 0) > order.delay(0, 0).max(order.delay(1, 0)));
}

/// Lets gateways hand seats on until none has one too many.
fn spread_out(mut holders: [usize; QUOTA_SHARDS], gateways: usize) -> [usize; QUOTA_SHARDS] {
    let names: Vec<String> = (0..gateways)
        .map(|number| format!("node-{number}"))
        .collect();
    for _ in 0..100 {
        let known = holders.map(|holder| Some(names[holder].as_str()));
        let step = (0..gateways).find_map(|own| {
            let others: Vec<&str> = (0..gateways)
                .filter(|other| *other != own)
                .map(|other| names[other].as_str())
                .collect();
            shard_to_hand_over(&names[own], &known, &others)
        });
        let Some(step) = step else { return holders };
        let to = names.iter().position(|name| name == step.to);
        holders[step.shard] = to.expect("one of them");
    }
    panic!("seats are handed on for ever: {holders:?}");
}

proptest! {
    #[test]
    fn halves_end_up_at_two_gateways_whoever_was_first(
        gateways in 2_usize..9,
        first in prop::array::uniform6(0_usize..9),
    ) {
        let settled = spread_out(first.map(|holder| holder % gateways), gateways);
        for halves in settled.chunks(SHARDS_PER_TENANT) {
            prop_assert_ne!(halves[0], halves[1], "{:?}", settled);
        }
        let seated = (0..gateways).filter(|gateway| settled.contains(gateway)).count();
        prop_assert_eq!(seated, gateways.min(QUOTA_SHARDS), "{:?}", settled);
    }
}

#[test]
fn a_gateway_alone_keeps_all_seats() {
    assert_eq!(
        shard_to_hand_over("a", &[Some("a"); QUOTA_SHARDS], &[]),
        None
    );
}
