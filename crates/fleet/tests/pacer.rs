//! Times at which gateways may send to back ends that state a limit.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::pacer::{BURST_MS, MAX_LEAD_MS, Pacer, SendTime};
use proptest::prelude::*;

const ENGINE: u64 = 7;

/// What users look at: no more than half as much again as the limit in four seconds, and five.
const USERS_SPAN: f64 = 4_000.0;

/// A gateway that has counted for long enough to give out times at any rate.
fn settled() -> (Pacer, u64) {
    (Pacer::new(Timestamp(0)), MAX_LEAD_MS + 10_000)
}

#[test]
fn times_follow_each_other_at_the_rate() {
    let (mut pacer, now) = settled();
    let take = |pacer: &mut Pacer, now, most| pacer.assign(Timestamp(now), ENGINE, 2.0, most);
    // After a rest the first one counts as a tenth of a second old.
    assert_eq!(take(&mut pacer, now, 0), SendTime::In(0));
    assert_eq!(take(&mut pacer, now, 0), SendTime::Later(400));
    assert_eq!(take(&mut pacer, now, 600), SendTime::In(400));
    assert_eq!(take(&mut pacer, now, 9_000), SendTime::In(900));
    let too_far_ahead = SendTime::Later(1_400);
    assert_eq!(take(&mut pacer, now, 9_000), too_far_ahead);
    // A time that was refused is nobody's.
    assert_eq!(take(&mut pacer, now + 1_400, 0), SendTime::In(0));
}

#[test]
fn whoever_begins_to_count_leaves_room_for_what_the_former_one_gave_out() {
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
fn each_back_end_has_its_own_times() {
    let (mut pacer, now) = settled();
    assert_eq!(pacer.assign(Timestamp(now), 1, 1.0, 0), SendTime::In(0));
    assert_eq!(pacer.assign(Timestamp(now), 2, 1.0, 0), SendTime::In(0));
    assert_eq!(
        pacer.assign(Timestamp(now), 1, 1.0, 0),
        SendTime::Later(900)
    );
}

/// One that takes nothing has to be asked some time whether it still says so.
#[test]
fn a_back_end_that_takes_nothing_is_asked_now_and_then() {
    let (mut pacer, now) = settled();
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
fn a_rate_that_rises_counts_at_once() {
    let (mut pacer, now) = settled();
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

    /// Several gateways count one after the other; each begins when the former one has stopped.
    #[test]
    fn no_span_holds_more_than_the_rate(
        rate in 0.1..200.0_f64,
        asks in proptest::collection::vec((0..400_u64, 0..3_000_u64, 0..60_u32), 1..400),
    ) {
        let mut pacer = Pacer::new(Timestamp(0));
        let mut now = 0;
        let mut times: Vec<f64> = Vec::new();
        for (pause, most_wait, turn) in asks {
            now += pause;
            if turn == 0 {
                pacer = Pacer::new(Timestamp(now));
            }
            if let SendTime::In(wait) = pacer.assign(Timestamp(now), ENGINE, rate, most_wait) {
                prop_assert!(wait <= most_wait.min(MAX_LEAD_MS));
                times.push((now + wait) as f64);
            }
        }
        times.sort_by(f64::total_cmp);
        for (index, begin) in times.iter().enumerate() {
            let within = times[index..].iter().filter(|time| **time - begin < USERS_SPAN);
            let most = rate * (USERS_SPAN + BURST_MS) / 1_000.0 + 1.0;
            prop_assert!(within.count() as f64 <= most, "more than {most}");
            prop_assert!(most <= rate * 6.0 + 5.0, "within what users allow");
        }
    }
}
