//! Limits that back ends state.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{LimitNotice, StatedLimit, StatedLimits};

const ENGINE: u64 = 7;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds)
}

#[test]
fn a_limit_stands_until_an_answer_to_a_later_request_has_none() {
    let mut limits = StatedLimits::default();
    assert!(!limits.record(at(90), at(80), ENGINE, StatedLimit::Unlimited));
    assert!(limits.record(at(100), at(50), ENGINE, StatedLimit::PerSecond(2.0)));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    // An answer that was under way when the limit was stated.
    assert!(!limits.record(at(130), at(95), ENGINE, StatedLimit::Unlimited));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    assert!(limits.record(at(150), at(140), ENGINE, StatedLimit::PerSecond(0.5)));
    assert!(limits.record(at(200), at(160), ENGINE, StatedLimit::Unlimited));
    assert_eq!(limits.rate(ENGINE), None);
    assert_eq!(limits.count(), 0);
}

#[test]
fn what_cannot_be_read_changes_nothing() {
    let mut limits = StatedLimits::default();
    limits.record(at(100), at(50), ENGINE, StatedLimit::PerSecond(2.0));
    assert!(!limits.record(at(200), at(150), ENGINE, StatedLimit::Unreadable));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
}

#[test]
fn the_newest_statement_counts_whoever_tells_it() {
    let mut limits = StatedLimits::default();
    limits.record(at(10_000), at(9_950), ENGINE, StatedLimit::PerSecond(2.0));
    let told = |rate, age| {
        [LimitNotice {
            back_end: ENGINE,
            rate,
            age,
        }]
    };
    // Older than what is known here.
    assert!(limits.merge(at(10_100), &told(None, 150)).is_empty());
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    assert_eq!(limits.merge(at(10_100), &told(None, 20)), [ENGINE]);
    assert_eq!(limits.rate(ENGINE), None);
    assert_eq!(limits.merge(at(10_200), &told(Some(0.5), 10)), [ENGINE]);
    assert_eq!(limits.notices(at(10_300)), told(Some(0.5), 110));
}

#[test]
fn what_makes_no_sense_is_passed_over() {
    let mut limits = StatedLimits::default();
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let told = [LimitNotice {
            back_end: ENGINE,
            rate: Some(rate),
            age: 0,
        }];
        assert!(limits.merge(at(100), &told).is_empty());
    }
    assert_eq!(limits.rate(ENGINE), None);
}

/// Two gateways that tell each other the same statement again and again: each hop takes a while, and
/// it grows old all the same.
#[test]
fn a_statement_grows_old_while_it_goes_round() {
    const HOP: u64 = 40;
    let (mut first, mut second) = (StatedLimits::default(), StatedLimits::default());
    first.record(at(1_000), at(990), ENGINE, StatedLimit::PerSecond(1.0));
    let mut now = 1_000;
    while now < 20_000 {
        second.merge(at(now + HOP), &first.notices(at(now)));
        first.merge(at(now + 2 * HOP), &second.notices(at(now + HOP)));
        now += 400;
    }
    assert!(first.notices(at(now)).is_empty() && second.notices(at(now)).is_empty());
    assert_eq!(
        second.rate(ENGINE),
        Some(1.0),
        "it holds until the engine takes it back"
    );
}

#[test]
fn a_silent_back_end_is_asked_again() {
    let mut limits = StatedLimits::default();
    assert!(!limits.needs_refresh(at(50_000), ENGINE));
    limits.record(at(50_000), at(49_000), ENGINE, StatedLimit::PerSecond(1.0));
    assert!(!limits.needs_refresh(at(50_500), ENGINE));
    assert!(limits.needs_refresh(at(52_000), ENGINE));
    limits.record(at(52_100), at(52_000), ENGINE, StatedLimit::Unlimited);
    assert!(!limits.needs_refresh(at(60_000), ENGINE));
}

#[test]
fn a_limit_is_a_decimal_number() {
    assert_eq!(StatedLimit::parse(b"1"), StatedLimit::PerSecond(1.0));
    assert_eq!(StatedLimit::parse(b" 0.25 "), StatedLimit::PerSecond(0.25));
    assert_eq!(StatedLimit::parse(b"0"), StatedLimit::PerSecond(0.0));
    for text in [&b""[..], b"many", b"-1", b"inf", b"NaN", b"1;2", &[0xff]] {
        assert_eq!(
            StatedLimit::parse(text),
            StatedLimit::Unreadable,
            "{text:?}"
        );
    }
}
