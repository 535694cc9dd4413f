//! Limits that back ends state.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{StatedLimits, Statement, ToldLimit};

const ENGINE: u64 = 7;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds)
}

#[test]
fn a_limit_stands_until_an_answer_to_a_later_request_has_none() {
    let mut limits = StatedLimits::default();
    assert!(!limits.note(at(90), at(80), ENGINE, Statement::Unlimited));
    assert!(limits.note(at(100), at(50), ENGINE, Statement::PerSecond(2.0)));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    // An answer that was under way when the limit was stated.
    assert!(!limits.note(at(130), at(95), ENGINE, Statement::Unlimited));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    assert!(limits.note(at(150), at(140), ENGINE, Statement::PerSecond(0.5)));
    assert!(limits.note(at(200), at(160), ENGINE, Statement::Unlimited));
    assert_eq!(limits.rate(ENGINE), None);
    assert_eq!(limits.count(), 0);
}

#[test]
fn what_cannot_be_read_changes_nothing() {
    let mut limits = StatedLimits::default();
    limits.note(at(100), at(50), ENGINE, Statement::PerSecond(2.0));
    assert!(!limits.note(at(200), at(150), ENGINE, Statement::Unreadable));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
}

#[test]
fn the_newest_statement_counts_whoever_tells_it() {
    let mut limits = StatedLimits::default();
    limits.note(at(10_000), at(9_950), ENGINE, Statement::PerSecond(2.0));
    let told = |rate, age| {
        [ToldLimit {
            back_end: ENGINE,
            rate,
            age,
        }]
    };
    // Older than what is known here.
    assert!(limits.take(at(10_100), &told(None, 150)).is_empty());
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    assert_eq!(limits.take(at(10_100), &told(None, 20)), [ENGINE]);
    assert_eq!(limits.rate(ENGINE), None);
    assert_eq!(limits.take(at(10_200), &told(Some(0.5), 10)), [ENGINE]);
    assert_eq!(limits.told(at(10_300)), told(Some(0.5), 110));
}

#[test]
fn what_makes_no_sense_is_passed_over() {
    let mut limits = StatedLimits::default();
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let told = [ToldLimit {
            back_end: ENGINE,
            rate: Some(rate),
            age: 0,
        }];
        assert!(limits.take(at(100), &told).is_empty());
    }
    assert_eq!(limits.rate(ENGINE), None);
}

/// Two gateways that tell each other the same statement again and again: each hop takes a while, and
/// it grows old all the same.
#[test]
fn a_statement_grows_old_while_it_goes_round() {
    const HOP: u64 = 40;
    let (mut first, mut second) = (StatedLimits::default(), StatedLimits::default());
    first.note(at(1_000), at(990), ENGINE, Statement::PerSecond(1.0));
    let mut now = 1_000;
    while now < 20_000 {
        second.take(at(now + HOP), &first.told(at(now)));
        first.take(at(now + 2 * HOP), &second.told(at(now + HOP)));
        now += 400;
    }
    assert!(first.told(at(now)).is_empty() && second.told(at(now)).is_empty());
    assert_eq!(
        second.rate(ENGINE),
        Some(1.0),
        "it holds until the engine takes it back"
    );
}

#[test]
fn a_silent_back_end_is_asked_again() {
    let mut limits = StatedLimits::default();
    assert!(!limits.needs_statement(at(50_000), ENGINE));
    limits.note(at(50_000), at(49_000), ENGINE, Statement::PerSecond(1.0));
    assert!(!limits.needs_statement(at(50_500), ENGINE));
    assert!(limits.needs_statement(at(52_000), ENGINE));
    limits.note(at(52_100), at(52_000), ENGINE, Statement::Unlimited);
    assert!(!limits.needs_statement(at(60_000), ENGINE));
}

#[test]
fn a_limit_is_a_decimal_number() {
    assert_eq!(Statement::parse(b"1"), Statement::PerSecond(1.0));
    assert_eq!(Statement::parse(b" 0.25 "), Statement::PerSecond(0.25));
    assert_eq!(Statement::parse(b"0"), Statement::PerSecond(0.0));
    for text in [&b""[..], b"many", b"-1", b"inf", b"NaN", b"1;2", &[0xff]] {
        assert_eq!(Statement::parse(text), Statement::Unreadable, "{text:?}");
    }
}
