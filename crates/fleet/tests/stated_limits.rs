//! Tests the rate limits that back ends state in their responses, and the exchange of these limits
//! between gateways.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{LimitNotice, StatedLimit, StatedLimits};

const ENGINE: u64 = 7;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds)
}

#[test]
fn a_limit_holds_until_the_response_to_a_later_request_states_none() {
    let mut limits = StatedLimits::default();
    assert!(!limits.record(at(90), at(80), ENGINE, StatedLimit::Unlimited));
    assert!(limits.record(at(100), at(50), ENGINE, StatedLimit::PerSecond(2.0)));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    // This response belongs to a request that was sent before the limit was stated.
    assert!(!limits.record(at(130), at(95), ENGINE, StatedLimit::Unlimited));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    assert!(limits.record(at(150), at(140), ENGINE, StatedLimit::PerSecond(0.5)));
    assert!(limits.record(at(200), at(160), ENGINE, StatedLimit::Unlimited));
    assert_eq!(limits.rate(ENGINE), None);
    assert_eq!(limits.count(), 0);
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let mut limits = StatedLimits::default();
    limits.record(at(100), at(50), ENGINE, StatedLimit::PerSecond(2.0));
    assert!(!limits.record(at(200), at(150), ENGINE, StatedLimit::Unreadable));
    assert_eq!(limits.rate(ENGINE), Some(2.0));
}

#[test]
fn the_newest_limit_counts_whoever_sends_it() {
    let mut limits = StatedLimits::default();
    limits.record(at(10_000), at(9_950), ENGINE, StatedLimit::PerSecond(2.0));
    let notice = |rate, age| {
        [LimitNotice {
            back_end: ENGINE,
            rate,
            age,
        }]
    };
    // The notice is older than the limit known here.
    assert!(limits.merge(at(10_100), &notice(None, 150)).is_empty());
    assert_eq!(limits.rate(ENGINE), Some(2.0));
    assert_eq!(limits.merge(at(10_100), &notice(None, 20)), [ENGINE]);
    assert_eq!(limits.rate(ENGINE), None);
    assert_eq!(limits.merge(at(10_200), &notice(Some(0.5), 10)), [ENGINE]);
    assert_eq!(limits.notices(at(10_300)), notice(Some(0.5), 110));
}

#[test]
fn invalid_rates_are_ignored() {
    let mut limits = StatedLimits::default();
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let notices = [LimitNotice {
            back_end: ENGINE,
            rate: Some(rate),
            age: 0,
        }];
        assert!(limits.merge(at(100), &notices).is_empty());
    }
    assert_eq!(limits.rate(ENGINE), None);
}

/// Two gateways that send each other the same notice repeatedly must not refresh its age: each hop
/// takes time, and the notice has to expire.
#[test]
fn a_notice_ages_while_it_is_exchanged() {
    const HOP_MS: u64 = 40;
    let (mut first, mut second) = (StatedLimits::default(), StatedLimits::default());
    first.record(at(1_000), at(990), ENGINE, StatedLimit::PerSecond(1.0));
    let mut now = 1_000;
    while now < 20_000 {
        second.merge(at(now + HOP_MS), &first.notices(at(now)));
        first.merge(at(now + 2 * HOP_MS), &second.notices(at(now + HOP_MS)));
        now += 400;
    }
    assert!(first.notices(at(now)).is_empty() && second.notices(at(now)).is_empty());
    assert_eq!(
        second.rate(ENGINE),
        Some(1.0),
        "the limit holds until the engine withdraws it"
    );
}

#[test]
fn a_limit_without_recent_responses_needs_a_refresh() {
    let mut limits = StatedLimits::default();
    assert!(!limits.needs_refresh(at(50_000), ENGINE));
    limits.record(at(50_000), at(49_000), ENGINE, StatedLimit::PerSecond(1.0));
    assert!(!limits.needs_refresh(at(50_500), ENGINE));
    assert!(limits.needs_refresh(at(52_000), ENGINE));
    limits.record(at(52_100), at(52_000), ENGINE, StatedLimit::Unlimited);
    assert!(!limits.needs_refresh(at(60_000), ENGINE));
}

#[test]
fn a_stated_limit_is_a_decimal_number() {
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
