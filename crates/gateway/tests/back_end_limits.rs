//! Tests which gateway assigns send times for back ends with a stated limit, and how gateways apply
//! the responses to their requests for a send time.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::StatedLimit;
use gorsebank_gateway::back_end_limits::{BackEndLimits, Reservation};
use gorsebank_gateway::tenant_quotas::{QuotaResponse, SendTimeRequest};

const ENGINE: u64 = 7;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds)
}

fn send_time_request(rate: f64, max_wait_ms: u64) -> SendTimeRequest {
    SendTimeRequest {
        back_end: ENGINE,
        rate,
        max_wait_ms,
    }
}

#[test]
fn only_the_pacing_gateway_assigns_send_times() {
    let limits = BackEndLimits::default();
    assert_eq!(
        limits.handle_request(at(5_000), &send_time_request(2.0, 0)),
        QuotaResponse::NotHolder
    );
    limits.set_scheduling(at(5_000), true);
    let response = limits.handle_request(at(7_000), &send_time_request(2.0, 0));
    assert_eq!(response, QuotaResponse::Reserved { wait_ms: 0 });
    limits.set_scheduling(at(7_100), false);
    assert_eq!(
        limits.handle_request(at(9_000), &send_time_request(2.0, 0)),
        QuotaResponse::NotHolder
    );
}

/// Either the pacing gateway or the requesting gateway may be the first to know of a lower limit.
#[test]
fn the_lower_of_two_limits_counts() {
    let limits = BackEndLimits::default();
    limits.set_scheduling(at(0), true);
    limits.with_limits(|known| known.record(at(100), at(50), ENGINE, StatedLimit::PerSecond(1.0)));
    let reserved = QuotaResponse::Reserved { wait_ms: 0 };
    assert_eq!(
        limits.handle_request(at(20_000), &send_time_request(10.0, 0)),
        reserved
    );
    let over_limit = QuotaResponse::OverLimit { wait_ms: 900 };
    assert_eq!(
        limits.handle_request(at(20_000), &send_time_request(10.0, 0)),
        over_limit
    );
    assert_eq!(
        limits.handle_request(at(30_000), &send_time_request(0.5, 0)),
        reserved
    );
    let over_limit = QuotaResponse::OverLimit { wait_ms: 1_900 };
    assert_eq!(
        limits.handle_request(at(30_000), &send_time_request(0.5, 0)),
        over_limit
    );
}

#[test]
fn a_rate_that_is_not_finite_gets_no_send_time() {
    let limits = BackEndLimits::default();
    limits.set_scheduling(at(0), true);
    for rate in [f64::NAN, f64::INFINITY] {
        assert_eq!(
            limits.handle_request(at(5_000), &send_time_request(rate, 0)),
            QuotaResponse::NotHolder
        );
    }
}

/// Until the time in a response, further requests to the back end need not ask for a send time.
#[test]
fn a_back_end_over_its_limit_has_no_capacity_until_the_received_time() {
    let limits = BackEndLimits::default();
    assert_eq!(limits.no_capacity_for(at(1_000), ENGINE), None);
    let response = Some(QuotaResponse::OverLimit { wait_ms: 300 });
    let reservation = limits.apply_response(at(1_000), ENGINE, response);
    assert_eq!(reservation, Reservation::NoCapacity);
    let remaining = Duration::from_millis(200);
    assert_eq!(limits.no_capacity_for(at(1_100), ENGINE), Some(remaining));
    assert_eq!(limits.no_capacity_for(at(1_300), ENGINE), None);
}

#[test]
fn without_a_response_there_is_no_capacity_for_a_while() {
    let limits = BackEndLimits::default();
    for (now, response) in [(1_000, None), (5_000, Some(QuotaResponse::NotHolder))] {
        let reservation = limits.apply_response(at(now), ENGINE, response);
        assert_eq!(reservation, Reservation::NoCapacity);
        assert!(limits.no_capacity_for(at(now + 100), ENGINE).is_some());
        assert_eq!(limits.no_capacity_for(at(now + 2_000), ENGINE), None);
    }
}
