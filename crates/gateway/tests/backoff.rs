//! Tests the pauses between failed attempts.

use std::time::Duration;

use gorsebank_gateway::backoff::Backoff;

fn assert_about(pause: Duration, expected: u64) {
    let expected = Duration::from_millis(expected);
    let range = expected / 2..=expected * 3 / 2;
    assert!(range.contains(&pause), "{pause:?} for {expected:?}");
}

#[test]
fn pauses_grow_to_the_maximum_and_restart_after_a_reset() {
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_millis(500));
    for expected in [100, 200, 400, 500, 500] {
        assert_about(backoff.next_pause(), expected);
    }
    backoff.reset();
    assert_about(backoff.next_pause(), 100);
}
