//! The pace of calls of a slow table.

use std::time::Duration;

use gorsebank_gateway::call_pacer::CallPacer;
use tokio::time::{Instant, advance};

/// Number of gateways in the fleet.
const GATEWAYS: usize = 50;

/// Number of calls that one gateway may make in ten seconds, in which the table responds in `time`.
async fn calls_in_ten_seconds(time: Option<Duration>) -> usize {
    let pacer = CallPacer::default();
    let until = Instant::now() + Duration::from_secs(10);
    let mut calls = 0;
    while Instant::now() < until {
        advance(Duration::from_millis(10)).await;
        if pacer.time_left() == Duration::ZERO {
            pacer.reserve(GATEWAYS);
            pacer.record_call(time);
            calls += 1;
        }
    }
    calls
}

#[tokio::test(start_paused = true)]
async fn only_calls_of_a_slow_table_are_paced() {
    let fast = calls_in_ten_seconds(Some(Duration::from_millis(20))).await;
    let slow = calls_in_ten_seconds(Some(Duration::from_millis(900))).await;
    let silent = calls_in_ten_seconds(None).await;
    assert!(fast >= 990, "{fast} calls of a fast table");
    for calls in [slow, silent] {
        // 25 calls a second of all gateways, with jitter.
        assert!((3..=11).contains(&calls), "{calls} calls of a slow table");
    }
}

#[tokio::test(start_paused = true)]
async fn calls_are_not_paced_once_the_table_is_fast_again() {
    let pacer = CallPacer::default();
    pacer.record_call(None);
    pacer.reserve(GATEWAYS);
    assert!(pacer.is_slow() && pacer.time_left() > Duration::ZERO);
    advance(Duration::from_secs(6)).await;
    assert!(!pacer.is_slow());
    assert_eq!(pacer.time_left(), Duration::ZERO);
}
