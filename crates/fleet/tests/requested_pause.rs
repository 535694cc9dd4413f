//! Tests the pauses that back ends request, as with `Retry-After`.

use std::time::Duration;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{PausedBackEnds, RequestedPause};
use proptest::prelude::*;

const ENGINE: u64 = 7;

#[test]
fn only_decimal_seconds_are_accepted() {
    let parse = |text: &str| RequestedPause::parse(text.as_bytes());
    assert_eq!(parse("3"), RequestedPause::For(Duration::from_secs(3)));
    let half = RequestedPause::For(Duration::from_millis(500));
    assert_eq!(parse(" 0.5 "), half);
    assert_eq!(parse("0"), RequestedPause::For(Duration::ZERO));
    for text in ["", "soon", "-1", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        assert_eq!(parse(text), RequestedPause::Unreadable, "{text:?}");
    }
    // A single wrong response must not exclude a back end permanently.
    for text in ["inf", "1e300", "86400"] {
        let max_pause = RequestedPause::For(Duration::from_secs(600));
        assert_eq!(parse(text), max_pause, "{text:?}");
    }
}

#[test]
fn a_pause_ends_no_earlier_than_requested() {
    let mut paused = PausedBackEnds::default();
    let now = Timestamp(1_000);
    assert!(paused.record(now, ENGINE, Duration::from_micros(2_500)));
    assert!(
        !paused.record(now, ENGINE, Duration::ZERO),
        "paused already"
    );
    assert_eq!(
        paused.remaining(now, ENGINE),
        Some(Duration::from_millis(3))
    );
    assert!(paused.remaining(now + 2, ENGINE).is_some());
    assert_eq!(paused.remaining(now + 3, ENGINE), None);
    assert_eq!(paused.remaining(now, ENGINE + 1), None);
}

proptest! {
    /// A back end is paused until the latest end of all pauses that it requested, in whatever
    /// order, and no longer.
    #[test]
    fn the_latest_end_of_all_pauses_counts(
        requests in prop::collection::vec((0_u64..3_000, 0_u64..2, 0_u64..4_000), 1..30),
        checks in prop::collection::vec((0_u64..400, 0_u64..2), 1..30),
    ) {
        let mut paused = PausedBackEnds::default();
        let mut now = Timestamp(0);
        let mut ends = [0_u64; 2];
        for (index, (elapsed, engine, pause)) in requests.into_iter().enumerate() {
            now = now + elapsed;
            paused.record(now, engine, Duration::from_millis(pause));
            let end = &mut ends[engine as usize];
            *end = (*end).max(now.0 + pause);
            let (later, engine) = checks[index % checks.len()];
            let at = now + later;
            let remaining_ms = ends[engine as usize].saturating_sub(at.0);
            let expected = (remaining_ms > 0).then(|| Duration::from_millis(remaining_ms));
            prop_assert_eq!(paused.remaining(at, engine), expected);
        }
    }
}
