//! Loads without an answer, loads of former holders, and the weight store's rate.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::placement::{LoadRateLimit, LoadRateLimiter, OrderResult, RecentLoad};
use gorsebank_world::BackEndId;

/// 2 loads a second for 5 s with a tenth more and 3 on top are 14; 2 are left.
const MOST: usize = 12;
const RATE: f64 = 2.0;

fn engine(number: usize) -> BackEndId {
    BackEndId::from(format!("e{number}"))
}

fn pace(former: &[RecentLoad]) -> LoadRateLimiter {
    let bound = LoadRateLimit {
        window: Duration::from_secs(5),
        overage: 1.1,
        extra: 3.0,
    };
    LoadRateLimiter::new(Timestamp(0), bound, former)
}

/// Orders loads at engines from `first` on until no more are allowed.
fn fill(pace: &mut LoadRateLimiter, now: u64, first: usize, result: OrderResult) -> usize {
    let mut count = 0;
    while pace.allows(Timestamp(now), RATE) {
        let id = engine(first + count);
        pace.record_order(Timestamp(now), &id, 0);
        pace.apply_order_result(Timestamp(now), &id, result);
        count += 1;
    }
    count
}

#[test]
fn loads_that_began_count_for_one_window() {
    let mut pace = pace(&[]);
    assert_eq!(fill(&mut pace, 0, 0, OrderResult::Accepted), MOST);
    assert!(!pace.allows(Timestamp(5_400), RATE));
    assert_eq!(fill(&mut pace, 5_600, 20, OrderResult::Accepted), MOST);
}

#[test]
fn a_load_without_an_answer_counts_until_it_cannot_begin_any_more() {
    let mut pace = pace(&[]);
    assert_eq!(fill(&mut pace, 0, 0, OrderResult::Unanswered), MOST);
    assert!(!pace.allows(Timestamp(12_000), RATE));
    // It may have begun at the very end of its time, and counts for a window then.
    assert!(!pace.allows(Timestamp(18_000), RATE));
    assert!(pace.allows(Timestamp(19_000), RATE));
}

#[test]
fn an_engine_that_took_another_order_settles_a_load_without_an_answer() {
    let mut pace = pace(&[]);
    fill(&mut pace, 0, 0, OrderResult::Unanswered);
    pace.apply_sequence(Timestamp(1_000), &engine(0), 0);
    assert!(!pace.allows(Timestamp(6_600), RATE), "no order was taken");
    pace.apply_sequence(Timestamp(1_000), &engine(0), 1);
    assert!(!pace.allows(Timestamp(6_400), RATE));
    assert!(pace.allows(Timestamp(6_600), RATE));
}

/// A repeat needs no place under the bound, so what is too old to count must not be one.
#[test]
fn an_order_that_is_too_old_to_be_carried_out_is_not_repeated() {
    let mut pace = pace(&[]);
    pace.record_order(Timestamp(0), &engine(0), 4);
    pace.apply_order_result(Timestamp(0), &engine(0), OrderResult::Unanswered);
    assert!(pace.is_unresolved(Timestamp(12_000), &engine(0), 4));
    assert!(!pace.is_unresolved(Timestamp(19_000), &engine(0), 4));
}

#[test]
fn a_repeated_order_counts_once() {
    let mut pace = pace(&[]);
    for number in 0..MOST - 1 {
        let id = engine(number);
        pace.record_order(Timestamp(0), &id, 4);
        pace.apply_order_result(Timestamp(0), &id, OrderResult::Unanswered);
        pace.record_order(Timestamp(400), &id, 4);
        pace.apply_order_result(Timestamp(400), &id, OrderResult::Accepted);
    }
    assert!(pace.allows(Timestamp(500), RATE));
    assert!(pace.allows(Timestamp(6_000), RATE), "none is open any more");
    assert!(pace.recent_loads(Timestamp(6_000), |_| None).is_empty());
}

#[test]
fn a_load_that_was_refused_or_not_sent_does_not_count() {
    let mut pace = pace(&[]);
    for number in 0..MOST {
        pace.record_order(Timestamp(0), &engine(number), 0);
        if number % 2 == 0 {
            pace.apply_order_result(Timestamp(0), &engine(number), OrderResult::Conflict);
        } else {
            pace.cancel_order(&engine(number));
        }
    }
    assert_eq!(fill(&mut pace, 0, 20, OrderResult::Accepted), MOST);
}

/// The refusal of the second order may come from the first one, which began.
#[test]
fn a_refusal_after_an_order_without_an_answer_counts_as_a_load() {
    let mut pace = pace(&[]);
    for number in 0..MOST {
        let id = engine(number);
        pace.record_order(Timestamp(0), &id, 0);
        pace.apply_order_result(Timestamp(0), &id, OrderResult::Unanswered);
        pace.record_order(Timestamp(400), &id, 0);
        pace.apply_order_result(Timestamp(400), &id, OrderResult::Conflict);
    }
    assert!(!pace.allows(Timestamp(500), RATE));
    assert!(pace.allows(Timestamp(6_000), RATE));
}

#[test]
fn the_next_holder_knows_what_began_and_what_may_begin() {
    let mut first = pace(&[]);
    fill(&mut first, 0, 0, OrderResult::Unanswered);
    let mut next = pace(&first.recent_loads(Timestamp(1_000), |_| None));
    assert!(!next.allows(Timestamp(11_000), RATE));
    next.apply_sequence(Timestamp(2_000), &engine(3), 1);
    assert!(next.allows(Timestamp(8_000), RATE));
}
