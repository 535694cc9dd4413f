//! The choice between back ends that could run a request.

use gorsebank_fleet::choice::{Candidate, cheapest, cheapest_of_sample, max_compared};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn candidate(running: u32, slots: u32) -> Candidate {
    Candidate {
        running,
        slots,
        is_in_same_zone: true,
        failure_rate: 0.0,
        relative_latency: 1.0,
        has_cached_prefix: false,
        is_connected: true,
        stall: 0.0,
        relative_gap: 1.0,
    }
}

fn random() -> StdRng {
    StdRng::seed_from_u64(7)
}

/// Found at 295 gateways: one in ten requests went to an engine without a free slot.
#[test]
fn a_back_end_without_a_free_slot_is_left_to_those_that_have_no_other() {
    let full = candidate(12, 12);
    let busier_but_larger = candidate(16, 24);
    let chosen = cheapest(&[full, busier_but_larger], &mut random());
    assert_eq!(chosen, Some(1));
    assert_eq!(cheapest(&[full], &mut random()), Some(0));
}

#[test]
fn few_gateways_compare_all_back_ends_and_many_some() {
    assert!(max_compared(6) > 1_000);
    assert!(max_compared(300) < 10);
    let mut candidates = vec![candidate(9, 24); 20];
    candidates[4] = candidate(0, 24);
    let all = cheapest_of_sample(max_compared(6), &candidates, &mut random());
    assert_eq!(all, Some(4));
}

/// What many gateways know of each other is old: if all compared all, all would choose
/// the one back end that was idle then.
#[test]
fn many_gateways_spread_their_requests_over_idle_and_busy_back_ends() {
    let mut candidates = vec![candidate(6, 24); 10];
    candidates[4] = candidate(0, 24);
    let mut random = random();
    let mut chosen = [0u32; 10];
    for _ in 0..1_000 {
        let index = cheapest_of_sample(max_compared(300), &candidates, &mut random);
        chosen[index.expect("one of them")] += 1;
    }
    assert!((200..450).contains(&chosen[4]), "{chosen:?}");
    assert!(chosen.iter().all(|count| *count > 20), "{chosen:?}");
}

/// A connection is made once and serves many requests; another zone is paid for with each.
#[test]
fn a_back_end_in_this_zone_is_chosen_though_a_connection_has_to_be_made() {
    let near = Candidate {
        is_connected: false,
        ..candidate(0, 8)
    };
    let far = Candidate {
        is_in_same_zone: false,
        ..candidate(0, 8)
    };
    let mut random = random();
    let chosen = (0..1_000).filter(|_| cheapest(&[far, near], &mut random) == Some(1));
    let chosen = chosen.count();
    assert!(chosen > 600, "{chosen} of 1000");
    let connected = candidate(0, 8);
    assert_eq!(cheapest(&[near, connected], &mut random), Some(1));
}
