//! Tests the timeout that adapts to recent response times.

use std::time::Duration;

use gorsebank_gateway::adaptive_timeout::AdaptiveTimeout;

const MIN_TIMEOUT: Duration = Duration::from_millis(150);
const MAX_TIMEOUT: Duration = Duration::from_millis(800);

#[test]
fn the_timeout_of_a_fast_service_falls_to_the_minimum() {
    let timeout = AdaptiveTimeout::new(MIN_TIMEOUT, MAX_TIMEOUT);
    assert_eq!(timeout.current(), MAX_TIMEOUT, "there are no responses yet");
    for _ in 0..10 {
        timeout.record_response(Duration::from_millis(5));
    }
    assert_eq!(timeout.current(), MIN_TIMEOUT);
}

#[test]
fn the_timeout_grows_when_a_service_becomes_slow() {
    let timeout = AdaptiveTimeout::new(MIN_TIMEOUT, MAX_TIMEOUT);
    timeout.record_response(Duration::from_millis(5));
    let slow = Duration::from_millis(300);
    let mut timeouts = 0;
    while timeout.current() < slow {
        timeout.record_timeout();
        timeouts += 1;
    }
    assert_eq!(timeouts, 3, "one or two responses may have been lost");
    for _ in 0..20 {
        timeout.record_response(slow);
        assert!(timeout.current() > slow);
    }
    for _ in 0..3 {
        timeout.record_timeout();
    }
    assert_eq!(timeout.current(), MAX_TIMEOUT);
}
