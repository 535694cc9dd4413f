//! Who gives out times at back ends that state limits, and what a gateway makes of the answers.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::StatedLimit;
use gorsebank_gateway::back_end_limits::{BackEndLimits, Reservation};
use gorsebank_gateway::tenant_quotas::{QuotaResponse, SendTimeRequest};

const ENGINE: u64 = 7;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds)
}

fn ask(rate: f64, most_wait: u64) -> SendTimeRequest {
    SendTimeRequest {
        back_end: ENGINE,
        rate,
        max_wait_ms: most_wait,
    }
}

#[test]
fn only_the_gateway_that_places_models_gives_out_times() {
    let limits = BackEndLimits::default();
    assert_eq!(
        limits.handle_request(at(5_000), &ask(2.0, 0)),
        QuotaResponse::NotHolder
    );
    limits.set_scheduling(at(5_000), true);
    let later = limits.handle_request(at(7_000), &ask(2.0, 0));
    assert_eq!(later, QuotaResponse::Reserved { wait_ms: 0 });
    limits.set_scheduling(at(7_100), false);
    assert_eq!(
        limits.handle_request(at(9_000), &ask(2.0, 0)),
        QuotaResponse::NotHolder
    );
}

/// It may have heard of a lower limit first, or the asker.
#[test]
fn of_two_limits_the_lower_one_counts() {
    let limits = BackEndLimits::default();
    limits.set_scheduling(at(0), true);
    limits.with_limits(|known| known.record(at(100), at(50), ENGINE, StatedLimit::PerSecond(1.0)));
    let reserved = QuotaResponse::Reserved { wait_ms: 0 };
    assert_eq!(limits.handle_request(at(20_000), &ask(10.0, 0)), reserved);
    let beyond = QuotaResponse::OverLimit { wait_ms: 900 };
    assert_eq!(limits.handle_request(at(20_000), &ask(10.0, 0)), beyond);
    assert_eq!(limits.handle_request(at(30_000), &ask(0.5, 0)), reserved);
    let beyond = QuotaResponse::OverLimit { wait_ms: 1_900 };
    assert_eq!(limits.handle_request(at(30_000), &ask(0.5, 0)), beyond);
}

#[test]
fn a_rate_that_is_no_number_is_not_counted_by() {
    let limits = BackEndLimits::default();
    limits.set_scheduling(at(0), true);
    for rate in [f64::NAN, f64::INFINITY] {
        assert_eq!(
            limits.handle_request(at(5_000), &ask(rate, 0)),
            QuotaResponse::NotHolder
        );
    }
}

/// Requests that come meanwhile need not ask.
#[test]
fn a_back_end_without_room_has_none_until_the_time_that_was_told() {
    let limits = BackEndLimits::default();
    assert_eq!(limits.no_capacity_for(at(1_000), ENGINE), None);
    let answer = Some(QuotaResponse::OverLimit { wait_ms: 300 });
    let reservation = limits.apply_response(at(1_000), ENGINE, answer);
    assert_eq!(reservation, Reservation::NoCapacity);
    let left = Duration::from_millis(200);
    assert_eq!(limits.no_capacity_for(at(1_100), ENGINE), Some(left));
    assert_eq!(limits.no_capacity_for(at(1_300), ENGINE), None);
}

#[test]
fn without_an_answer_nothing_is_sent_for_a_while() {
    let limits = BackEndLimits::default();
    for (now, answer) in [(1_000, None), (5_000, Some(QuotaResponse::NotHolder))] {
        let reservation = limits.apply_response(at(now), ENGINE, answer);
        assert_eq!(reservation, Reservation::NoCapacity);
        assert!(limits.no_capacity_for(at(now + 100), ENGINE).is_some());
        assert_eq!(limits.no_capacity_for(at(now + 2_000), ENGINE), None);
    }
}
