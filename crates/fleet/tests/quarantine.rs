//! Tests which requests are quarantined when gateways exchange notices of crashes and of served
//! requests.

use std::collections::{BTreeSet, HashMap};

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::Fingerprint;
use gorsebank_fleet::quarantine::{
    EventSource, MIN_CRASHES, OutcomeNotice, QUARANTINE_MS, Quarantine, RunOutcome, Suspect,
    SuspectCrashes, attribute_crashes, incarnation_hash,
};
use proptest::prelude::*;

fn request(number: u8) -> Fingerprint {
    Fingerprint::of(&[&[number]])
}

fn record_crash(quarantine: &mut Quarantine, at: u64, number: u8, back_end: &str) {
    quarantine.record_crash(
        Timestamp(at),
        Suspect::request(request(number)),
        incarnation_hash(&back_end.into(), None),
    );
}

fn is_quarantined(quarantine: &Quarantine, at: u64, number: u8) -> bool {
    quarantine
        .remaining_ms(Timestamp(at), request(number))
        .is_some()
}

/// Sends all notices of one gateway to another.
fn send_all(at: u64, from: &Quarantine, to: &mut Quarantine) {
    let notices = from.notices_since(Timestamp(at), None);
    to.merge(Timestamp(at), &notices, EventSource::Beside);
}

#[test]
fn parts_of_a_request_do_not_run_into_each_other() {
    let one = Fingerprint::of(&[b"a", b"bc"]);
    assert_ne!(one, Fingerprint::of(&[b"ab", b"c"]));
    assert_ne!(one, Fingerprint::of(&[b"abc"]));
    assert_eq!(one, Fingerprint::of(&[b"a", b"bc"]));
}

#[test]
fn the_third_crash_quarantines_a_request_for_a_given_time() {
    let mut quarantine = Quarantine::new(1);
    record_crash(&mut quarantine, 1_000, 1, "i-1");
    record_crash(&mut quarantine, 2_000, 1, "i-2");
    // Several copies of the request were running on the same back end.
    record_crash(&mut quarantine, 2_000, 1, "i-2");
    assert!(!is_quarantined(&quarantine, 2_000, 1));
    record_crash(&mut quarantine, 3_000, 1, "i-3");
    let remaining = quarantine.remaining_ms(Timestamp(4_000), request(1));
    assert_eq!(remaining, Some(QUARANTINE_MS - 1_000));
}

/// Guards against storing an arbitrary subset when there are more quarantine entries than the row
/// holds: expired entries could displace entries in force, and gateways could store different
/// subsets.
#[test]
fn entry_notices_keeps_the_newest_entries() {
    const ENTRIES: u8 = 100;
    let mut quarantine = Quarantine::new(1);
    for number in 0..ENTRIES {
        for back_end in 0..3 {
            let at = u64::from(number) * 1_000 + back_end;
            record_crash(
                &mut quarantine,
                at,
                number,
                &format!("i-{number}-{back_end}"),
            );
        }
    }
    assert_eq!(quarantine.quarantined_count(), usize::from(ENTRIES));
    let events = quarantine.entry_notices(Timestamp(200_000));
    let stored_requests: BTreeSet<Fingerprint> =
        events.iter().map(|event| event.fingerprint).collect();
    let newest_requests: BTreeSet<Fingerprint> = (40..ENTRIES).map(request).collect();
    assert_eq!(stored_requests, newest_requests);
}

#[test]
fn after_a_quarantine_one_more_crash_is_enough() {
    let mut quarantine = Quarantine::new(1);
    for (at, back_end) in [(0, "i-1"), (1, "i-2"), (2, "i-3")] {
        record_crash(&mut quarantine, at, 1, back_end);
    }
    let later = QUARANTINE_MS + 2;
    assert!(is_quarantined(&quarantine, later - 1, 1));
    assert!(!is_quarantined(&quarantine, later, 1));
    record_crash(&mut quarantine, later, 1, "i-4");
    assert!(is_quarantined(&quarantine, later + QUARANTINE_MS - 1, 1));
}

#[test]
fn a_request_that_ran_beside_the_cause_is_cleared_once_the_cause_crashes_a_back_end_alone() {
    let mut quarantine = Quarantine::new(1);
    for (at, back_end) in [(0, "i-1"), (1, "i-2"), (2, "i-3")] {
        record_crash(&mut quarantine, at, 1, back_end);
        record_crash(&mut quarantine, at, 2, back_end);
    }
    assert!(is_quarantined(&quarantine, 10, 1) && is_quarantined(&quarantine, 10, 2));
    record_crash(&mut quarantine, 11, 1, "i-4");
    assert!(is_quarantined(&quarantine, 12, 1));
    assert!(
        !is_quarantined(&quarantine, 12, 2),
        "the request was running beside the cause"
    );
}

#[test]
fn the_second_of_two_causes_is_quarantined_once_it_crashes_a_back_end_alone() {
    let mut quarantine = Quarantine::new(1);
    for back_end in ["i-1", "i-2", "i-3", "i-4"] {
        record_crash(&mut quarantine, 0, 1, back_end);
    }
    for back_end in ["i-2", "i-3"] {
        record_crash(&mut quarantine, 0, 2, back_end);
    }
    assert!(!is_quarantined(&quarantine, 1, 2));
    record_crash(&mut quarantine, 1, 2, "i-5");
    assert!(is_quarantined(&quarantine, 2, 2));
}

#[test]
fn a_served_request_is_cleared_of_earlier_crashes() {
    let mut quarantine = Quarantine::new(1);
    for (at, back_end) in [(0, "i-1"), (1, "i-2"), (2, "i-3")] {
        record_crash(&mut quarantine, at, 1, back_end);
    }
    quarantine.record_served(Timestamp(2_000), request(1));
    assert!(!is_quarantined(&quarantine, 2_000, 1));
    record_crash(&mut quarantine, 40_000, 1, "i-4");
    record_crash(&mut quarantine, 40_001, 1, "i-5");
    assert!(!is_quarantined(&quarantine, 40_001, 1));
    record_crash(&mut quarantine, 40_002, 1, "i-6");
    assert!(
        is_quarantined(&quarantine, 40_002, 1),
        "the request has crashed three back ends since"
    );
}

/// Many callers send the same request, and three back ends that run it crash for another reason.
#[test]
fn a_gateway_that_served_a_request_recently_clears_it_at_all_gateways() {
    let mut one = Quarantine::new(1);
    let mut other = Quarantine::new(2);
    other.record_served(Timestamp(500), request(1));
    for back_end in ["i-1", "i-2", "i-3"] {
        record_crash(&mut one, 9_000, 1, back_end);
    }
    assert!(is_quarantined(&one, 9_000, 1));
    send_all(9_100, &one, &mut other);
    assert!(!is_quarantined(&other, 9_100, 1));
    send_all(9_200, &other, &mut one);
    assert!(!is_quarantined(&one, 9_200, 1));
}

/// The request was cleared a moment before; crashes after that are cleared as well.
#[test]
fn a_request_served_elsewhere_is_not_quarantined_by_simultaneous_crashes() {
    let mut one = Quarantine::new(1);
    let mut other = Quarantine::new(2);
    other.record_served(Timestamp(500), request(1));
    for (number, back_end) in ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"]
        .iter()
        .enumerate()
    {
        let now = 9_000 + number as u64;
        record_crash(&mut one, now, 1, back_end);
        send_all(now, &one, &mut other);
        send_all(now, &other, &mut one);
    }
    assert!(!is_quarantined(&one, 9_010, 1) && !is_quarantined(&other, 9_010, 1));
}

#[test]
fn crashes_seen_by_several_gateways_add_up_and_count_once() {
    let mut one = Quarantine::new(1);
    let mut other = Quarantine::new(2);
    record_crash(&mut one, 0, 1, "i-1");
    record_crash(&mut one, 0, 1, "i-2");
    record_crash(&mut other, 0, 1, "i-2");
    send_all(10, &one, &mut other);
    assert!(!is_quarantined(&other, 10, 1), "two back ends");
    record_crash(&mut other, 20, 1, "i-3");
    send_all(30, &other, &mut one);
    assert!(is_quarantined(&one, 30, 1) && is_quarantined(&other, 30, 1));
}

#[test]
fn notices_that_go_round_in_a_cycle_die_out() {
    let mut one = Quarantine::new(1);
    let mut other = Quarantine::new(2);
    record_crash(&mut one, 0, 1, "i-1");
    other.record_served(Timestamp(5), request(1));
    for round in 0..10 {
        send_all(10 + round, &one, &mut other);
        send_all(10 + round, &other, &mut one);
    }
    let positions = (one.position(), other.position());
    send_all(50, &one, &mut other);
    send_all(50, &other, &mut one);
    assert_eq!((one.position(), other.position()), positions);
}

#[test]
fn only_new_notices_are_sent_and_only_those_of_the_subtree_go_to_the_parent() {
    let mut quarantine = Quarantine::new(1);
    assert!(!quarantine.is_ahead_of(None), "there is nothing to send");
    record_crash(&mut quarantine, 0, 1, "i-1");
    let notice_from_above = OutcomeNotice {
        fingerprint: request(2),
        outcome: RunOutcome::Ended(7),
        age: 3,
        part: None,
    };
    quarantine.merge(Timestamp(5), &[notice_from_above], EventSource::Beside);
    assert_eq!(quarantine.notices_since(Timestamp(5), None).len(), 2);
    assert_eq!(
        quarantine.subtree_notices_since(Timestamp(5), None).len(),
        1
    );
    let position = Some(quarantine.position());
    assert!(!quarantine.is_ahead_of(position));
    assert!(quarantine.notices_since(Timestamp(5), position).is_empty());
    record_crash(&mut quarantine, 6, 1, "i-2");
    assert_eq!(quarantine.notices_since(Timestamp(9), position)[0].age, 3);
    let position_of_another_process = Quarantine::new(2).position();
    assert_eq!(
        quarantine
            .notices_since(Timestamp(9), Some(position_of_another_process))
            .len(),
        3
    );
}

/// A gateway that starts later learns the age of a quarantine entry, so that the entry expires
/// everywhere at the same time.
#[test]
fn a_quarantine_entry_keeps_its_age_at_a_gateway_that_has_just_started() {
    let mut old = Quarantine::new(1);
    for back_end in ["i-1", "i-2", "i-3"] {
        record_crash(&mut old, 0, 1, back_end);
    }
    let mut new = Quarantine::new(2);
    let notices = old.notices_since(Timestamp(QUARANTINE_MS - 1_000), None);
    new.merge(Timestamp(10), &notices, EventSource::Beside);
    assert_eq!(new.remaining_ms(Timestamp(10), request(1)), Some(1_000));
}

#[test]
fn the_oldest_of_many_crashes_are_forgotten_first() {
    let mut quarantine = Quarantine::new(1);
    for number in 0..20_000_u32 {
        let fingerprint = Fingerprint::of(&[&number.to_le_bytes()]);
        let back_end = format!("i-{}", number / 64);
        quarantine.record_crash(
            Timestamp(u64::from(number)),
            Suspect::request(fingerprint),
            incarnation_hash(&back_end.into(), None),
        );
    }
    assert!(quarantine.notices_since(Timestamp(20_000), None).len() <= 4_096);
    for back_end in ["i-a", "i-b", "i-c"] {
        record_crash(&mut quarantine, 20_001, 1, back_end);
    }
    assert!(is_quarantined(&quarantine, 20_002, 1));
}

proptest! {
    /// Only requests that were running at three crashes or more are blamed, and each crash at which
    /// a request of this kind was running is explained by a blamed request.
    #[test]
    fn blame_needs_three_crashes_and_explains_all_that_it_can(
        running in proptest::collection::vec((0_u8..6, 0_u64..12), 0..60)
    ) {
        let mut crashes: HashMap<Fingerprint, SuspectCrashes> = HashMap::new();
        for (number, back_end) in running {
            let suspect = crashes.entry(request(number)).or_default();
            suspect.part = number.checked_sub(3);
            suspect.back_ends.insert(back_end);
        }
        let blamed = attribute_crashes(&crashes);
        for fingerprint in &blamed {
            prop_assert!(crashes[fingerprint].back_ends.len() >= MIN_CRASHES);
        }
        let explained: BTreeSet<u64> =
            blamed.iter().flat_map(|it| crashes[it].back_ends.clone()).collect();
        for (fingerprint, suspect) in &crashes {
            let crashed = &suspect.back_ends;
            if crashed.len() >= MIN_CRASHES {
                prop_assert!(blamed.contains(fingerprint) || crashed.is_subset(&explained));
            }
        }
    }
}

/// Records a crash at which requests ran that share the first part and differ in the second.
fn record_part_crash(quarantine: &mut Quarantine, at: u64, second_part: u8, back_end: &str) {
    let parts = [request(0), request(second_part)];
    for suspect in Suspect::parts(&parts) {
        quarantine.record_crash(
            Timestamp(at),
            suspect,
            incarnation_hash(&back_end.into(), None),
        );
    }
}

/// Nobody could be served meanwhile, so nothing clears the part that all requests share.
#[test]
fn the_narrowest_part_is_blamed_if_several_were_at_the_same_crashes() {
    let mut quarantine = Quarantine::new(1);
    for (at, back_end) in [(1_000, "i-1"), (2_000, "i-2"), (3_000, "i-3")] {
        record_part_crash(&mut quarantine, at, 1, back_end);
    }
    assert!(is_quarantined(&quarantine, 3_000, 1));
    assert!(!is_quarantined(&quarantine, 3_000, 0));

    // Other requests with the first part crash back ends too, so that one is the cause.
    record_part_crash(&mut quarantine, 4_000, 2, "i-4");
    assert!(is_quarantined(&quarantine, 4_000, 0));
    assert!(!is_quarantined(&quarantine, 4_000, 1));
}

#[test]
fn a_part_on_which_a_back_end_has_begun_of_late_is_not_blamed() {
    let mut own = Quarantine::new(1);
    let mut other = Quarantine::new(2);
    other.record_part_begun(Timestamp(500), request(0));
    for (at, back_end) in [
        (1_000, "i-1"),
        (2_000, "i-2"),
        (3_000, "i-3"),
        (4_000, "i-4"),
    ] {
        record_part_crash(&mut own, at, if at < 4_000 { 1 } else { 2 }, back_end);
        send_all(at, &own, &mut other);
        send_all(at, &other, &mut own);
    }
    for quarantine in [&own, &other] {
        assert!(is_quarantined(quarantine, 4_000, 1));
        assert!(!is_quarantined(quarantine, 4_000, 0));
    }
}
