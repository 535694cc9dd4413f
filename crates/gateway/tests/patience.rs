//! Waits for answers that are lost, or slow.

use std::time::Duration;

use gorsebank_gateway::adaptive_timeout::AdaptiveTimeout;

const LEAST: Duration = Duration::from_millis(150);
const MOST: Duration = Duration::from_millis(800);

#[test]
fn a_lost_answer_of_a_quick_service_is_noticed_soon() {
    let patience = AdaptiveTimeout::new(LEAST, MOST);
    assert_eq!(patience.current(), MOST, "nothing is known yet");
    for _ in 0..10 {
        patience.record_response(Duration::from_millis(5));
    }
    assert_eq!(patience.current(), LEAST);
}

#[test]
fn a_service_that_turned_slow_is_waited_for_again() {
    let patience = AdaptiveTimeout::new(LEAST, MOST);
    patience.record_response(Duration::from_millis(5));
    let slow = Duration::from_millis(300);
    let mut lost = 0;
    while patience.current() < slow {
        patience.record_timeout();
        lost += 1;
    }
    assert_eq!(lost, 3, "one or two answers may have been lost");
    for _ in 0..20 {
        patience.record_response(slow);
        assert!(patience.current() > slow);
    }
    for _ in 0..3 {
        patience.record_timeout();
    }
    assert_eq!(patience.current(), MOST);
}
