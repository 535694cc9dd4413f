//! Tests the choice between the back ends that can run a request.

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

fn seeded_rng() -> StdRng {
    StdRng::seed_from_u64(7)
}

/// Guards against preferring a small full back end to a larger one with free slots: in a fleet of
/// 295 gateways, one in ten requests went to an engine without a free slot.
#[test]
fn a_back_end_without_a_free_slot_is_chosen_only_if_there_is_no_other() {
    let full = candidate(12, 12);
    let busier_but_larger = candidate(16, 24);
    let chosen = cheapest(&[full, busier_but_larger], &mut seeded_rng());
    assert_eq!(chosen, Some(1));
    assert_eq!(cheapest(&[full], &mut seeded_rng()), Some(0));
}

#[test]
fn a_small_fleet_compares_all_back_ends_and_a_large_fleet_a_sample() {
    assert!(max_compared(6) > 1_000);
    assert!(max_compared(300) < 10);
    let mut candidates = vec![candidate(9, 24); 20];
    candidates[4] = candidate(0, 24);
    let all = cheapest_of_sample(max_compared(6), &candidates, &mut seeded_rng());
    assert_eq!(all, Some(4));
}

/// In a large fleet, the counts that gateways have from each other are old. If every gateway
/// compared all back ends, all of them would choose the one that was last known to be idle.
#[test]
fn many_gateways_spread_their_requests_over_idle_and_busy_back_ends() {
    let mut candidates = vec![candidate(6, 24); 10];
    candidates[4] = candidate(0, 24);
    let mut seeded_rng = seeded_rng();
    let mut chosen = [0u32; 10];
    for _ in 0..1_000 {
        let index = cheapest_of_sample(max_compared(300), &candidates, &mut seeded_rng);
        chosen[index.expect("one of them")] += 1;
    }
    assert!((200..450).contains(&chosen[4]), "{chosen:?}");
    assert!(chosen.iter().all(|count| *count > 20), "{chosen:?}");
}

/// A connection is opened once and serves many requests, while each request to another zone pays
/// for the longer distance.
#[test]
fn a_back_end_in_the_same_zone_is_preferred_although_a_connection_must_be_opened() {
    let near = Candidate {
        is_connected: false,
        ..candidate(0, 8)
    };
    let far = Candidate {
        is_in_same_zone: false,
        ..candidate(0, 8)
    };
    let mut seeded_rng = seeded_rng();
    let chosen = (0..1_000).filter(|_| cheapest(&[far, near], &mut seeded_rng) == Some(1));
    let chosen = chosen.count();
    assert!(chosen > 600, "{chosen} of 1000");
    let connected = candidate(0, 8);
    assert_eq!(cheapest(&[near, connected], &mut seeded_rng), Some(1));
}
