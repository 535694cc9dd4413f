//! What a gateway remembers of a back end's answers.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::health::Health;

/// A back end that was slow once got nothing more while its peers answered sooner, so its mean
/// stayed as it was.
#[test]
fn a_mean_time_to_answer_lapses_without_answers() {
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
    // What was known long ago has no weight in the next mean.
    health.record_response(later, 0);
    assert_eq!(health.latency(later), Some(0.0));
}
