//! When a gateway suspects its own links, and when it gives up duties that need them.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{BrittleServices, DirectFailureKind, PathOrder, Reachability};
use proptest::prelude::*;

/// The result of a connection to a back end.
#[derive(Clone, Copy, Debug)]
enum Observation {
    Direct(u64),
    Failed(u64, DirectFailureKind),
    Bridged(u64),
}

fn observation() -> impl Strategy<Value = (u64, Observation)> {
    let back_end = 0..4_u64;
    let observation = (0..4, back_end).prop_map(|(kind, back_end)| match kind {
        0 => Observation::Direct(back_end),
        1 => Observation::Failed(back_end, DirectFailureKind::Refused),
        2 => Observation::Failed(back_end, DirectFailureKind::Silent),
        _ => Observation::Bridged(back_end),
    });
    (0..700_u64, observation)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn only_several_failures_without_a_success_since_make_links_suspect(
        observations in prop::collection::vec(observation(), 1..40),
    ) {
        let mut reachability = Reachability::default();
        let mut now = Timestamp(1_000);
        let mut failed_since_success = std::collections::BTreeSet::new();
        let mut is_bridged = false;
        for (delay, observation) in observations {
            now = now + delay;
            match observation {
                Observation::Direct(back_end) => {
                    reachability.record_direct(now, back_end);
                    failed_since_success.clear();
                    prop_assert!(reachability.suspect_since(now).is_none());
                    prop_assert!(!reachability.is_cut_off(now));
                }
                Observation::Failed(back_end, kind) => {
                    reachability.record_direct_failure(now, back_end, kind);
                    failed_since_success.insert(back_end);
                }
                Observation::Bridged(back_end) => {
                    reachability.record_bridged(now, back_end);
                    is_bridged = true;
                }
            }
            if let Some(since) = reachability.suspect_since(now) {
                prop_assert!(failed_since_success.len() >= 2);
                prop_assert!(since <= now);
            }
            let expected = match reachability.faulty_since(now) {
                Some(_) => PathOrder::PeersOnly,
                None => PathOrder::DirectFirst,
            };
            prop_assert_eq!(reachability.path_order(now, 99), expected, "a back end that never failed");
            if reachability.is_cut_off(now) || reachability.faulty_since(now).is_some() {
                prop_assert!(reachability.suspect_since(now).is_some());
                prop_assert!(is_bridged, "no other gateway has shown the cut");
            }
        }
        prop_assert!(reachability.suspect_since(now + 10_000).is_none(), "failures expire");
    }

    /// All gateways together cause no more rejections per second than the back end bears.
    #[test]
    fn rejections_of_all_gateways_stay_below_the_stated_number(
        stated in 1..20_u32,
        gateways in 1..40_u32,
    ) {
        let service = "app".into();
        let mut known: Vec<BrittleServices> = (0..gateways).map(|_| BrittleServices::default()).collect();
        let free = gorsebank_fleet::brittle::Occupancy { slots: 100, own: 0, others: 0 };
        let mut rejections = 0;
        let seconds = 5;
        for millisecond in 0..seconds * 1_000 {
            let now = Timestamp(1_000 + millisecond);
            for gateway in &mut known {
                gateway.record(now, &service, Some(f64::from(stated)));
                if gateway.may_send(now, &service, 7, free, gateways) {
                    gateway.record_rejection(now, &service, 7, gateways);
                    rejections += 1;
                }
            }
        }
        // Each gateway may be rejected once before it knows that there is no room.
        let limit = u64::from(stated) * seconds + u64::from(gateways);
        prop_assert!(rejections <= limit, "{rejections} of {limit}");
    }
}

#[test]
fn one_unreachable_back_end_does_not_make_links_suspect() {
    let mut reachability = Reachability::default();
    for millisecond in (0..4_000).step_by(100) {
        let now = Timestamp(millisecond);
        reachability.record_direct_failure(now, 1, DirectFailureKind::Refused);
        assert!(reachability.suspect_since(now).is_none());
    }
    let now = Timestamp(4_000);
    reachability.record_bridged(now, 1);
    assert_eq!(reachability.path_order(now, 1), PathOrder::PeersFirst);
    assert_eq!(reachability.path_order(now, 2), PathOrder::DirectFirst);
}

/// Guards against a suspicion that withholds the connections that would end it.
#[test]
fn a_suspicion_without_proof_withholds_direct_connections_from_silent_back_ends_only() {
    let mut reachability = Reachability::default();
    let now = Timestamp(1_000);
    reachability.record_direct_failure(now, 1, DirectFailureKind::Silent);
    reachability.record_direct_failure(now, 2, DirectFailureKind::Refused);
    assert!(reachability.suspect_since(now).is_some());
    assert_eq!(reachability.path_order(now, 1), PathOrder::PeersOnly);
    assert_eq!(reachability.path_order(now, 2), PathOrder::DirectFirst);
    assert_eq!(reachability.path_order(now, 3), PathOrder::DirectFirst);
    reachability.record_bridged(now, 1);
    assert_eq!(reachability.path_order(now, 3), PathOrder::PeersOnly);
    reachability.record_direct(now, 3);
    assert_eq!(reachability.path_order(now, 2), PathOrder::DirectFirst);
}

/// Guards against links that count as cut for good because a back end was once reached by others.
#[test]
fn a_back_end_that_others_no_longer_reach_proves_no_fault_of_the_links() {
    let mut reachability = Reachability::default();
    for second in 1..10 {
        let now = Timestamp(1_000 * second);
        for back_end in [1, 2] {
            reachability.record_direct_failure(now, back_end, DirectFailureKind::Refused);
        }
        if second == 1 {
            reachability.record_bridged(now, 1);
            assert!(reachability.faulty_since(now).is_some());
        } else {
            reachability.record_confirmed(now, 1);
            assert!(reachability.faulty_since(now).is_none());
        }
    }
}
