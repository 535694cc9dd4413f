//! Which requests are kept away from back ends, as gateways tell each other of ends.

use std::collections::{BTreeSet, HashMap};

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::Fingerprint;
use gorsebank_fleet::quarantine::{
    EventSource, MIN_CRASHES, OutcomeNotice, QUARANTINE_MS, Quarantine, RunOutcome,
    attribute_crashes, incarnation_hash,
};
use proptest::prelude::*;

fn request(number: u8) -> Fingerprint {
    Fingerprint::of(&[&[number]])
}

fn end(quarantine: &mut Quarantine, at: u64, number: u8, back_end: &str) {
    quarantine.record_crash(
        Timestamp(at),
        request(number),
        incarnation_hash(&back_end.into(), None),
    );
}

fn is_kept_away(quarantine: &Quarantine, at: u64, number: u8) -> bool {
    quarantine
        .remaining_ms(Timestamp(at), request(number))
        .is_some()
}

/// Tells everything that one knows to another.
fn tell_all(at: u64, from: &Quarantine, to: &mut Quarantine) {
    let told = from.notices_since(Timestamp(at), None);
    to.merge(Timestamp(at), &told, EventSource::Beside);
}

#[test]
fn parts_of_a_request_do_not_run_into_each_other() {
    let one = Fingerprint::of(&[b"a", b"bc"]);
    assert_ne!(one, Fingerprint::of(&[b"ab", b"c"]));
    assert_ne!(one, Fingerprint::of(&[b"abc"]));
    assert_eq!(one, Fingerprint::of(&[b"a", b"bc"]));
}

#[test]
fn the_third_end_keeps_a_request_away_and_says_for_how_long() {
    let mut quarantine = Quarantine::new(1);
    end(&mut quarantine, 1_000, 1, "i-1");
    end(&mut quarantine, 2_000, 1, "i-2");
    // Several of its copies were there.
    end(&mut quarantine, 2_000, 1, "i-2");
    assert!(!is_kept_away(&quarantine, 2_000, 1));
    end(&mut quarantine, 3_000, 1, "i-3");
    let left = quarantine.remaining_ms(Timestamp(4_000), request(1));
    assert_eq!(left, Some(QUARANTINE_MS - 1_000));
}

/// Guards against storing an arbitrary subset when there are more verdicts than the row holds:
/// expired verdicts could displace those in force, and gateways could store different subsets.
#[test]
fn verdict_events_keeps_the_newest_verdicts() {
    const VERDICTS: u8 = 100;
    let mut quarantine = Quarantine::new(1);
    for number in 0..VERDICTS {
        for back_end in 0..3 {
            let at = u64::from(number) * 1_000 + back_end;
            end(
                &mut quarantine,
                at,
                number,
                &format!("i-{number}-{back_end}"),
            );
        }
    }
    assert_eq!(quarantine.quarantined_count(), usize::from(VERDICTS));
    let events = quarantine.entry_notices(Timestamp(200_000));
    let kept_requests: BTreeSet<Fingerprint> =
        events.iter().map(|event| event.fingerprint).collect();
    let newest_requests: BTreeSet<Fingerprint> = (40..VERDICTS).map(request).collect();
    assert_eq!(kept_requests, newest_requests);
}

#[test]
fn after_a_verdict_one_more_end_is_enough() {
    let mut quarantine = Quarantine::new(1);
    for (at, back_end) in [(0, "i-1"), (1, "i-2"), (2, "i-3")] {
        end(&mut quarantine, at, 1, back_end);
    }
    let later = QUARANTINE_MS + 2;
    assert!(is_kept_away(&quarantine, later - 1, 1));
    assert!(!is_kept_away(&quarantine, later, 1));
    end(&mut quarantine, later, 1, "i-4");
    assert!(is_kept_away(&quarantine, later + QUARANTINE_MS - 1, 1));
}

#[test]
fn what_ran_beside_it_is_let_go_once_it_ends_a_back_end_alone() {
    let mut quarantine = Quarantine::new(1);
    for (at, back_end) in [(0, "i-1"), (1, "i-2"), (2, "i-3")] {
        end(&mut quarantine, at, 1, back_end);
        end(&mut quarantine, at, 2, back_end);
    }
    assert!(is_kept_away(&quarantine, 10, 1) && is_kept_away(&quarantine, 10, 2));
    end(&mut quarantine, 11, 1, "i-4");
    assert!(is_kept_away(&quarantine, 12, 1));
    assert!(!is_kept_away(&quarantine, 12, 2), "it was beside the first");
}

#[test]
fn of_two_that_end_back_ends_the_second_is_found_as_soon_as_it_does_so_alone() {
    let mut quarantine = Quarantine::new(1);
    for back_end in ["i-1", "i-2", "i-3", "i-4"] {
        end(&mut quarantine, 0, 1, back_end);
    }
    for back_end in ["i-2", "i-3"] {
        end(&mut quarantine, 0, 2, back_end);
    }
    assert!(!is_kept_away(&quarantine, 1, 2));
    end(&mut quarantine, 1, 2, "i-5");
    assert!(is_kept_away(&quarantine, 2, 2));
}

#[test]
fn a_request_that_was_served_is_innocent_of_what_ended_before() {
    let mut quarantine = Quarantine::new(1);
    for (at, back_end) in [(0, "i-1"), (1, "i-2"), (2, "i-3")] {
        end(&mut quarantine, at, 1, back_end);
    }
    quarantine.record_served(Timestamp(2_000), request(1));
    assert!(!is_kept_away(&quarantine, 2_000, 1));
    end(&mut quarantine, 40_000, 1, "i-4");
    end(&mut quarantine, 40_001, 1, "i-5");
    assert!(!is_kept_away(&quarantine, 40_001, 1));
    end(&mut quarantine, 40_002, 1, "i-6");
    assert!(is_kept_away(&quarantine, 40_002, 1), "it ended three since");
}

/// Many callers ask for the same thing; three back ends end at once under it.
#[test]
fn a_gateway_that_served_it_of_late_vouches_for_it_to_all() {
    let mut one = Quarantine::new(1);
    let mut other = Quarantine::new(2);
    other.record_served(Timestamp(500), request(1));
    for back_end in ["i-1", "i-2", "i-3"] {
        end(&mut one, 9_000, 1, back_end);
    }
    assert!(is_kept_away(&one, 9_000, 1));
    tell_all(9_100, &one, &mut other);
    assert!(!is_kept_away(&other, 9_100, 1));
    tell_all(9_200, &other, &mut one);
    assert!(!is_kept_away(&one, 9_200, 1));
}

/// The first acquittal was a moment ago, and the ends after it are cleared all the same.
#[test]
fn a_request_that_is_served_elsewhere_is_not_kept_away_however_many_end_at_once() {
    let mut one = Quarantine::new(1);
    let mut other = Quarantine::new(2);
    other.record_served(Timestamp(500), request(1));
    for (number, back_end) in ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"]
        .iter()
        .enumerate()
    {
        let now = 9_000 + number as u64;
        end(&mut one, now, 1, back_end);
        tell_all(now, &one, &mut other);
        tell_all(now, &other, &mut one);
    }
    assert!(!is_kept_away(&one, 9_010, 1) && !is_kept_away(&other, 9_010, 1));
}

#[test]
fn ends_that_several_gateways_saw_add_up_and_count_once() {
    let mut one = Quarantine::new(1);
    let mut other = Quarantine::new(2);
    end(&mut one, 0, 1, "i-1");
    end(&mut one, 0, 1, "i-2");
    end(&mut other, 0, 1, "i-2");
    tell_all(10, &one, &mut other);
    assert!(!is_kept_away(&other, 10, 1), "two back ends");
    end(&mut other, 20, 1, "i-3");
    tell_all(30, &other, &mut one);
    assert!(is_kept_away(&one, 30, 1) && is_kept_away(&other, 30, 1));
}

#[test]
fn what_is_told_round_in_a_ring_comes_to_rest() {
    let mut one = Quarantine::new(1);
    let mut other = Quarantine::new(2);
    end(&mut one, 0, 1, "i-1");
    other.record_served(Timestamp(5), request(1));
    for round in 0..10 {
        tell_all(10 + round, &one, &mut other);
        tell_all(10 + round, &other, &mut one);
    }
    let (former, latter) = (one.position(), other.position());
    tell_all(50, &one, &mut other);
    tell_all(50, &other, &mut one);
    assert_eq!((one.position(), other.position()), (former, latter));
}

#[test]
fn only_what_is_new_is_told_and_only_what_was_seen_below_goes_up() {
    let mut quarantine = Quarantine::new(1);
    assert!(!quarantine.is_ahead_of(None), "there is nothing to tell");
    end(&mut quarantine, 0, 1, "i-1");
    let told_above = OutcomeNotice {
        fingerprint: request(2),
        outcome: RunOutcome::Ended(7),
        age: 3,
    };
    quarantine.merge(Timestamp(5), &[told_above], EventSource::Beside);
    assert_eq!(quarantine.notices_since(Timestamp(5), None).len(), 2);
    assert_eq!(
        quarantine.subtree_notices_since(Timestamp(5), None).len(),
        1
    );
    let position = Some(quarantine.position());
    assert!(!quarantine.is_ahead_of(position));
    assert!(quarantine.notices_since(Timestamp(5), position).is_empty());
    end(&mut quarantine, 6, 1, "i-2");
    assert_eq!(quarantine.notices_since(Timestamp(9), position)[0].age, 3);
    let of_a_former_process = Quarantine::new(2).position();
    assert_eq!(
        quarantine
            .notices_since(Timestamp(9), Some(of_a_former_process))
            .len(),
        3
    );
}

/// One that starts later learns how old a verdict is, so that it ends everywhere at once.
#[test]
fn a_verdict_is_as_old_at_a_gateway_that_has_just_started() {
    let mut old = Quarantine::new(1);
    for back_end in ["i-1", "i-2", "i-3"] {
        end(&mut old, 0, 1, back_end);
    }
    let mut young = Quarantine::new(2);
    let told = old.notices_since(Timestamp(QUARANTINE_MS - 1_000), None);
    young.merge(Timestamp(10), &told, EventSource::Beside);
    assert_eq!(young.remaining_ms(Timestamp(10), request(1)), Some(1_000));
}

#[test]
fn a_flood_of_ends_is_forgotten_from_its_beginning() {
    let mut quarantine = Quarantine::new(1);
    for number in 0..20_000_u32 {
        let fingerprint = Fingerprint::of(&[&number.to_le_bytes()]);
        let back_end = format!("i-{}", number / 64);
        quarantine.record_crash(
            Timestamp(u64::from(number)),
            fingerprint,
            incarnation_hash(&back_end.into(), None),
        );
    }
    assert!(quarantine.notices_since(Timestamp(20_000), None).len() <= 4_096);
    for back_end in ["i-a", "i-b", "i-c"] {
        end(&mut quarantine, 20_001, 1, back_end);
    }
    assert!(is_kept_away(&quarantine, 20_002, 1));
}

proptest! {
    /// Whoever is blamed was there when three ended; and every back end at whose end
    /// somebody to blame was there has one who is blamed.
    #[test]
    fn blame_needs_three_ends_and_leaves_none_that_could_be_explained(
        there in proptest::collection::vec((0_u8..6, 0_u64..12), 0..60)
    ) {
        let mut ends: HashMap<Fingerprint, BTreeSet<u64>> = HashMap::new();
        for (number, back_end) in there {
            ends.entry(request(number)).or_default().insert(back_end);
        }
        let blamed = attribute_crashes(&ends);
        for fingerprint in &blamed {
            prop_assert!(ends[fingerprint].len() >= MIN_CRASHES);
        }
        let explained: BTreeSet<u64> = blamed.iter().flat_map(|it| ends[it].clone()).collect();
        for (fingerprint, ends) in &ends {
            if ends.len() >= MIN_CRASHES {
                prop_assert!(blamed.contains(fingerprint) || ends.is_subset(&explained));
            }
        }
    }
}
