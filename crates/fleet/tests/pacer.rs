//! Tests the pacer, which assigns send times for requests to back ends that state a rate limit.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::pacer::{BURST_MS, MAX_LEAD_MS, Pacer, SendTime};
use proptest::prelude::*;

const ENGINE: u64 = 7;

/// The span of the requirement that the paced requests must meet: in any 4 s, a back end receives
/// at most 1.5 times the requests that its limit permits, plus 5.
const CHECKED_SPAN_MS: f64 = 4_000.0;

/// Returns a pacer that has been running long enough to assign times at any rate, and the time.
fn settled_pacer() -> (Pacer, u64) {
    (Pacer::new(Timestamp(0)), MAX_LEAD_MS + 10_000)
}

#[test]
fn send_times_follow_each_other_at_the_rate() {
    let (mut pacer, now) = settled_pacer();
    let assign =
        |pacer: &mut Pacer, now, max_wait| pacer.assign(Timestamp(now), ENGINE, 2.0, max_wait);
    // After an idle period the first request counts as sent 0.1 s ago.
    assert_eq!(assign(&mut pacer, now, 0), SendTime::In(0));
    assert_eq!(assign(&mut pacer, now, 0), SendTime::Later(400));
    assert_eq!(assign(&mut pacer, now, 600), SendTime::In(400));
    assert_eq!(assign(&mut pacer, now, 9_000), SendTime::In(900));
    let too_far_ahead = SendTime::Later(1_400);
    assert_eq!(assign(&mut pacer, now, 9_000), too_far_ahead);
    // A refused time is not reserved.
    assert_eq!(assign(&mut pacer, now + 1_400, 0), SendTime::In(0));
}

#[test]
fn a_new_pacer_leaves_room_for_times_that_its_predecessor_assigned() {
    let mut pacer = Pacer::new(Timestamp(5_000));
    assert_eq!(
        pacer.assign(Timestamp(5_200), ENGINE, 4.0, 0),
        SendTime::Later(1_050)
    );
    assert_eq!(
        pacer.assign(Timestamp(6_250), ENGINE, 4.0, 0),
        SendTime::In(0)
    );
}

#[test]
fn each_back_end_is_paced_separately() {
    let (mut pacer, now) = settled_pacer();
    assert_eq!(pacer.assign(Timestamp(now), 1, 1.0, 0), SendTime::In(0));
    assert_eq!(pacer.assign(Timestamp(now), 2, 1.0, 0), SendTime::In(0));
    assert_eq!(
        pacer.assign(Timestamp(now), 1, 1.0, 0),
        SendTime::Later(900)
    );
}

/// A back end with a limit of zero needs a request from time to time, because only its response can
/// show that the limit has changed.
#[test]
fn a_back_end_with_a_zero_limit_gets_an_occasional_request() {
    let (mut pacer, now) = settled_pacer();
    assert_eq!(
        pacer.assign(Timestamp(now), ENGINE, 0.0, 0),
        SendTime::In(0)
    );
    assert_eq!(
        pacer.assign(Timestamp(now), ENGINE, 0.0, 0),
        SendTime::Later(10_000)
    );
}

#[test]
fn a_raised_rate_takes_effect_at_once() {
    let (mut pacer, now) = settled_pacer();
    assert_eq!(
        pacer.assign(Timestamp(now), ENGINE, 0.1, 0),
        SendTime::In(0)
    );
    assert_eq!(
        pacer.assign(Timestamp(now + 100), ENGINE, 100.0, 0),
        SendTime::In(0)
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Several gateways run the pacer one after the other; each begins when the previous one has
    /// stopped.
    #[test]
    fn no_span_exceeds_the_rate(
        rate in 0.1..200.0_f64,
        requests in proptest::collection::vec((0..400_u64, 0..3_000_u64, 0..60_u32), 1..400),
    ) {
        let mut pacer = Pacer::new(Timestamp(0));
        let mut now = 0;
        let mut times: Vec<f64> = Vec::new();
        for (elapsed, max_wait, restart) in requests {
            now += elapsed;
            if restart == 0 {
                pacer = Pacer::new(Timestamp(now));
            }
            if let SendTime::In(wait) = pacer.assign(Timestamp(now), ENGINE, rate, max_wait) {
                prop_assert!(wait <= max_wait.min(MAX_LEAD_MS));
                times.push((now + wait) as f64);
            }
        }
        times.sort_by(f64::total_cmp);
        for (index, start) in times.iter().enumerate() {
            let within = times[index..].iter().filter(|time| **time - start < CHECKED_SPAN_MS);
            let max_sends = rate * (CHECKED_SPAN_MS + BURST_MS) / 1_000.0 + 1.0;
            prop_assert!(within.count() as f64 <= max_sends, "more than {max_sends}");
            prop_assert!(max_sends <= rate * 6.0 + 5.0, "the bound meets the requirement");
        }
    }
}
