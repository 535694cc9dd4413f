//! Tests the record of a back end's responses.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::health::Health;

/// Guards against a mean that never expires: a back end that had been slow once received no more
/// requests while its peers responded sooner, so its mean could not improve.
#[test]
fn the_mean_latency_expires_without_responses() {
    let mut health = Health::default();
    let now = Timestamp(1_000);
    assert_eq!(health.latency(now), None);
    health.record_response(now, 100);
    health.record_response(now + 10, 200);
    let mean = health.latency(now + 10).expect("a mean");
    assert!((100.0..200.0).contains(&mean), "{mean}");
    assert!(health.latency(now + 4_000).is_some());
    let later = now + 6_000;
    assert_eq!(health.latency(later), None);
    // The expired mean has no weight in the next one.
    health.record_response(later, 0);
    assert_eq!(health.latency(later), Some(0.0));
}
