//! Tests the ledger of tenant quotas and the assignment of quota shards to gateways: no window may
//! grant more than the bound, also when another gateway takes over a shard, and usage within the
//! limit must be granted.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::ledger::SavedUsage;
use gorsebank_fleet::quota_shard::{
    QUOTA_SHARDS, SHARDS_PER_TENANT, ShardCandidate, ShardOrder, lease_name, shard_of_lease,
    shard_to_hand_over, shards_of,
};
use gorsebank_fleet::{
    Charge, Ledger, LimitBound, LimitUnit, PlaceRequest, QueueDecision, QuotaDecision, QuotaQueue,
    TenantLimit,
};
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

/// The wait for a save, for a request that is larger than the saved reserve.
const SAVE_WAIT: Duration = Duration::from_millis(30);

/// Returns a ledger for one of `parts` equal fractions of each limit, without saved usage.
fn ledger(parts: usize, since: u64) -> Ledger {
    Ledger::new(BOUND, parts, Timestamp(since), SavedUsage::default())
}

fn tenant() -> TenantId {
    "crews".into()
}

/// Returns the cost that the bound permits in one window.
fn allowed(limit: &TenantLimit) -> f64 {
    let window = BOUND.window.as_secs_f64();
    (limit.rate * window + limit.burst) * (1.0 + BOUND.overage) + BOUND.slack
}

/// Returns the largest total cost within one window.
fn max_cost_in_window(grants: &[(u64, f64)]) -> f64 {
    let window = BOUND.window.as_millis() as u64;
    let sums = grants.iter().map(|(from, _)| {
        let within = grants
            .iter()
            .filter(|(at, _)| (*from..=from + window).contains(at));
        within.map(|(_, cost)| cost).sum()
    });
    sums.fold(0.0, f64::max)
}

/// The outcome of a save.
#[derive(Clone, Copy, Debug)]
enum Save {
    Confirmed,
    /// The save took effect, and its response was lost.
    Unconfirmed,
    /// The save did not take effect.
    Lost,
}

fn save() -> impl Strategy<Value = Save> {
    prop_oneof![
        6 => Just(Save::Confirmed),
        1 => Just(Save::Unconfirmed),
        1 => Just(Save::Lost),
    ]
}

/// An event of the test.
#[derive(Clone, Debug)]
enum Step {
    /// A request of this cost arrives, and is charged to this shard or, if refused, to the other,
    /// where it may ask for a place or use one.
    Charge(f64, usize, Option<PlaceRequest>),
    /// A request did not run and is refunded; the number counts back from the last granted request.
    Refund(usize),
    /// Another gateway takes over this shard and restores its saved usage.
    ReplaceHolder(usize),
    /// The usage of this shard is saved.
    Save(usize, Save),
}

/// A charge; the few costs and callers make returns to places likely.
fn charge() -> impl Strategy<Value = Step> {
    let cost = prop_oneof![100.0f64..5_400.0, Just(1_500.0)];
    let place = (0u64..4, 0u32..3, 0u8..3, 0u64..7_000, any::<bool>());
    let place =
        place.prop_map(
            |(caller, kind, priority, max_wait_ms, is_returning)| PlaceRequest {
                caller,
                kind,
                priority,
                max_wait_ms,
                is_returning,
            },
        );
    (cost, 0..SHARDS_PER_TENANT, prop::option::of(place))
        .prop_map(|(cost, shard, place)| Step::Charge(cost, shard, place))
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => charge(),
        3 => (0usize..40).prop_map(Step::Refund),
        1 => (0..SHARDS_PER_TENANT).prop_map(Step::ReplaceHolder),
        6 => (0..SHARDS_PER_TENANT, save()).prop_map(|(shard, save)| Step::Save(shard, save)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn no_window_exceeds_the_bound_across_changes_of_holders(
        rate in 2_700.0f64..60_000.0,
        burst_seconds in 0.0f64..2.0,
        steps in prop::collection::vec((step(), 0u64..300), 1..600),
    ) {
        let limit = limit(rate, rate * burst_seconds);
        let mut ledgers = [ledger(SHARDS_PER_TENANT, 0), ledger(SHARDS_PER_TENANT, 0)];
        let mut queues = [QuotaQueue::default(), QuotaQueue::default()];
        let mut saved = [SavedUsage::default(), SavedUsage::default()];
        let name = tenant();
        let mut now = 60_000;
        let mut grants: Vec<(u64, f64, usize)> = Vec::new();
        for (step, elapsed) in steps {
            now += elapsed;
            let at = Timestamp(now);
            match step {
                Step::Charge(cost, first, place) => {
                    let mut shards = [first, 1 - first].into_iter();
                    let charge = Charge { tenant: &name, limit: &limit, cost, place };
                    let granted = shards.find(|shard| {
                        let decision = queues[*shard].charge(&mut ledgers[*shard], at, &charge);
                        matches!(decision, QueueDecision::Granted { .. })
                    });
                    grants.extend(granted.map(|shard| (now, cost, shard)));
                }
                Step::Refund(ago) if ago < grants.len() => {
                    let (granted, cost, shard) = grants.remove(grants.len() - 1 - ago);
                    let (queue, ledger) = (&mut queues[shard], &mut ledgers[shard]);
                    queue.refund(ledger, at, &name, Timestamp(granted), cost);
                }
                Step::Refund(_) => {}
                Step::ReplaceHolder(shard) => {
                    ledgers[shard] = Ledger::new(BOUND, SHARDS_PER_TENANT, at, saved[shard].clone());
                    queues[shard] = QuotaQueue::default();
                }
                Step::Save(shard, save) => {
                    let usage = ledgers[shard].begin_save(at, [(&name, &limit)].into_iter());
                    if !matches!(save, Save::Lost) {
                        saved[shard] = usage;
                    }
                    if matches!(save, Save::Confirmed) {
                        ledgers[shard].confirm_save();
                    }
                }
            }
        }
        let grants: Vec<(u64, f64)> = grants.iter().map(|(at, cost, _)| (*at, *cost)).collect();
        let max_granted = max_cost_in_window(&grants);
        prop_assert!(max_granted <= allowed(&limit) + 1.0, "{max_granted} of {}", allowed(&limit));
    }

    /// A tenant that stays within its limit is always granted its requests while grants are saved.
    #[test]
    fn usage_within_the_limit_is_granted(
        rate in 2_700.0f64..60_000.0,
        requests in prop::collection::vec((100.0f64..2_700.0, 0u64..900), 1..120),
    ) {
        let limit = limit(rate, rate);
        let mut ledger = ledger(1, 0);
        let (mut now, name) = (60_000, tenant());
        let mut requested: Vec<(u64, f64)> = Vec::new();
        for (cost, elapsed) in requests {
            now += elapsed;
            requested.push((now, cost));
            if max_cost_in_window(&requested) > 9.0 * rate {
                requested.pop();
                continue;
            }
            let mut decision = ledger.charge(Timestamp(now), &name, &limit, cost);
            if decision == QuotaDecision::NotYet(SAVE_WAIT) {
                ledger.begin_save(Timestamp(now), [(&name, &limit)].into_iter());
                ledger.confirm_save();
                decision = ledger.charge(Timestamp(now), &name, &limit, cost);
            }
            prop_assert_eq!(decision, QuotaDecision::Granted);
            ledger.begin_save(Timestamp(now), [(&name, &limit)].into_iter());
            ledger.confirm_save();
        }
    }
}

/// A tenant without recent usage may use the limit of a whole window at once.
#[test]
fn the_limit_of_a_window_may_be_used_at_once() {
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

/// The next holder of a shard would not know of grants that were never saved, so these are bounded.
#[test]
fn unsaved_grants_are_bounded_to_a_fraction_of_the_limit() {
    let limit = limit(10_000.0, 10_000.0);
    let (mut ledger, name) = (ledger(1, 0), tenant());
    let mut charge = || ledger.charge(Timestamp(60_000), &name, &limit, 1_500.0);
    let granted = (0..100)
        .filter(|_| charge() == QuotaDecision::Granted)
        .count();
    assert!(
        granted as f64 * 1_500.0 < 0.35 * allowed(&limit),
        "{granted}"
    );
    assert!(matches!(charge(), QuotaDecision::NotYet(_)));
    assert!(ledger.needs_saving());
}

#[test]
fn the_next_holder_continues_from_the_saved_usage() {
    let limit = limit(10_000.0, 10_000.0);
    let (mut previous, name) = (ledger(1, 0), tenant());
    let charge = |ledger: &mut Ledger, now| {
        ledger.begin_save(Timestamp(now), [(&name, &limit)].into_iter());
        ledger.confirm_save();
        ledger.charge(Timestamp(now), &name, &limit, 5_000.0)
    };
    for now in (50_000..58_000).step_by(1_000) {
        assert_eq!(charge(&mut previous, now), QuotaDecision::Granted);
    }
    let saved = previous.begin_save(Timestamp(58_000), [(&name, &limit)].into_iter());
    let mut next = Ledger::new(BOUND, 1, Timestamp(59_000), saved);
    // Half of the limit was used, and most of the rest is known to be available.
    assert_eq!(charge(&mut next, 59_000), QuotaDecision::Granted);
    assert_eq!(charge(&mut next, 59_001), QuotaDecision::Granted);
    let mut last = QuotaDecision::Granted;
    for _ in 0..20 {
        last = charge(&mut next, 59_002);
    }
    assert!(
        matches!(last, QuotaDecision::NotYet(_)),
        "the ledger cannot know whether that exceeds the limit: {last:?}"
    );
}

#[test]
fn a_request_larger_than_the_limit_is_granted_once_per_window() {
    let limit = limit(10.0, 0.0);
    let bound = LimitBound {
        slack: 200.0,
        ..BOUND
    };
    let mut ledger = Ledger::new(bound, 1, Timestamp(0), SavedUsage::default());
    let name = tenant();
    let mut request = |now| {
        // The first attempt finds that the reserve is too small.
        let first = ledger.charge(Timestamp(now), &name, &limit, 400.0);
        ledger.begin_save(Timestamp(now), [(&name, &limit)].into_iter());
        ledger.confirm_save();
        if first != QuotaDecision::NotYet(SAVE_WAIT) {
            return first;
        }
        ledger.charge(Timestamp(now), &name, &limit, 400.0)
    };
    assert_eq!(request(60_000), QuotaDecision::Granted);
    assert!(matches!(request(61_000), QuotaDecision::Beyond(_)));
    assert_eq!(request(70_000), QuotaDecision::Granted);
}

#[test]
fn a_lowered_limit_takes_effect_at_once() {
    let mut ledger = ledger(1, 0);
    let (high, low) = (limit(50_000.0, 50_000.0), limit(2_700.0, 2_700.0));
    let decision = ledger.charge(Timestamp(60_000), &tenant(), &high, 1_000.0);
    assert_eq!(decision, QuotaDecision::Granted);
    let mut granted = 0.0;
    for now in (60_000..68_000).step_by(10) {
        if ledger.charge(Timestamp(now), &tenant(), &low, 1_000.0) == QuotaDecision::Granted {
            granted += 1_000.0;
        }
    }
    assert!(granted <= allowed(&low), "{granted} of {}", allowed(&low));
}

#[test]
fn each_tenant_has_two_shards_and_all_shards_are_used() {
    let tenants = (0..200).map(|number| TenantId::from(format!("tenant-{number}")));
    let shards: Vec<usize> = tenants.flat_map(|tenant| shards_of(&tenant)).collect();
    assert_eq!(shard_of_lease("placement"), None);
    for shard in 0..QUOTA_SHARDS {
        assert_eq!(shard_of_lease(&lease_name(shard)), Some(shard));
        assert!(shards.contains(&shard), "{shard}");
    }
    let [first, second] = shards_of(&tenant());
    assert_ne!(first, second);
}

/// Returns, for each shard, the gateway with the shortest delay of its candidacy.
fn first_candidates(strong: usize, all: usize) -> Vec<usize> {
    let names: Vec<String> = (0..all).map(|number| format!("node-{number}")).collect();
    let candidates: Vec<ShardCandidate<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, name)| ShardCandidate {
            name,
            is_strong: index < strong,
        })
        .collect();
    let delay = |index: usize, shard| ShardOrder::new(&names[index], &candidates).delay(shard, 0);
    let first = |shard| (0..all).min_by_key(|index| delay(*index, shard));
    (0..QUOTA_SHARDS).filter_map(first).collect()
}

#[test]
fn strong_gateways_come_first_and_hold_one_shard_each() {
    let mut first = first_candidates(QUOTA_SHARDS, 80);
    first.sort_unstable();
    assert_eq!(first, (0..QUOTA_SHARDS).collect::<Vec<usize>>());
    for strong in 2..QUOTA_SHARDS {
        let first = first_candidates(strong, 40);
        assert!(first.iter().all(|index| *index < strong), "{first:?}");
        for shards in first.chunks(SHARDS_PER_TENANT) {
            assert_ne!(
                shards[0], shards[1],
                "the loss of a gateway must affect one shard of a tenant only: {first:?}"
            );
        }
    }
}

#[test]
fn a_gateway_that_holds_a_shard_defers_to_others() {
    let candidates = ["a", "b"].map(|name| ShardCandidate {
        name,
        is_strong: true,
    });
    let order = ShardOrder::new("a", &candidates);
    assert!(order.delay(0, 1) > order.delay(0, 0));
    let unknown_gateway = ShardOrder::new("c", &candidates);
    assert!(unknown_gateway.delay(0, 0) > order.delay(0, 0).max(order.delay(1, 0)));
}

/// Lets gateways hand over shards until none holds too many, and returns the holders.
fn hand_over_until_settled(
    mut holders: [usize; QUOTA_SHARDS],
    gateways: usize,
) -> [usize; QUOTA_SHARDS] {
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
    panic!("shards are handed over without end: {holders:?}");
}

proptest! {
    #[test]
    fn the_two_shards_of_a_tenant_end_up_at_different_gateways(
        gateways in 2_usize..9,
        first in prop::array::uniform6(0_usize..9),
    ) {
        let settled = hand_over_until_settled(first.map(|holder| holder % gateways), gateways);
        for shards in settled.chunks(SHARDS_PER_TENANT) {
            prop_assert_ne!(shards[0], shards[1], "{:?}", settled);
        }
        let holder_count = (0..gateways).filter(|gateway| settled.contains(gateway)).count();
        prop_assert_eq!(holder_count, gateways.min(QUOTA_SHARDS), "{:?}", settled);
    }
}

#[test]
fn a_single_gateway_keeps_all_shards() {
    assert_eq!(
        shard_to_hand_over("a", &[Some("a"); QUOTA_SHARDS], &[]),
        None
    );
}
