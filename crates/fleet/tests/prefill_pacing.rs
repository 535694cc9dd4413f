//! Pacing of prompts at one engine: what spans of a gap objective contain, and who waits.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{LongPause, PrefillPacer, PromptSend, SendTime};
use proptest::prelude::*;

const ENGINE: u64 = 7;
const GAP_MS: u64 = 300;
/// Wait that a request with an objective of less than a second can afford.
const URGENT_WAIT_MS: u64 = 500;
/// Wait that a request with an objective of some seconds can afford.
const PATIENT_WAIT_MS: u64 = 4_500;

fn prompt(tokens: u32, max_wait_ms: u64) -> PromptSend {
    PromptSend {
        engine: ENGINE,
        tokens,
        gap_ms: GAP_MS,
        max_wait_ms,
        has_alternative: false,
    }
}

/// Time to wait of a prompt without an alternative.
fn wait(pacer: &mut PrefillPacer, now: Timestamp, prompt: PromptSend) -> u64 {
    match pacer.assign(now, &prompt) {
        SendTime::In(wait) => wait,
        SendTime::Later(_) => panic!("the prompt has no alternative"),
    }
}

fn pause(pause_ms: u64) -> LongPause {
    LongPause {
        engine: ENGINE,
        pause_ms,
        gap_ms: GAP_MS,
    }
}

/// A pacer whose engine paused while it prefilled `tokens`, and the limit learned from that.
fn limited_pacer(now: Timestamp, tokens: u32) -> (PrefillPacer, f64) {
    let mut pacer = PrefillPacer::default();
    assert_eq!(wait(&mut pacer, now, prompt(tokens, URGENT_WAIT_MS)), 0);
    let limit = pacer.record_pause(now + 400, &pause(350));
    (pacer, limit.expect("the prompt caused the pause"))
}

#[test]
fn engine_without_a_long_pause_has_no_limit() {
    let mut pacer = PrefillPacer::default();
    let waits = (0..100).map(|_| wait(&mut pacer, Timestamp(1_000), prompt(4_000, URGENT_WAIT_MS)));
    assert_eq!(waits.sum::<u64>(), 0);
}

#[test]
fn pause_with_too_few_prompts_sets_no_limit() {
    let mut pacer = PrefillPacer::default();
    wait(&mut pacer, Timestamp(1_000), prompt(700, URGENT_WAIT_MS));
    assert_eq!(pacer.record_pause(Timestamp(1_400), &pause(350)), None);
}

#[test]
fn reports_of_one_pause_by_many_streams_lower_the_limit_once() {
    let (mut pacer, _) = limited_pacer(Timestamp(1_000), 9_000);
    let again = (0..40).filter_map(|_| pacer.record_pause(Timestamp(1_450), &pause(360)));
    assert_eq!(again.count(), 0);
}

#[test]
fn prompt_larger_than_the_limit_is_sent_alone() {
    let (mut pacer, limit) = limited_pacer(Timestamp(1_000), 9_000);
    let large = prompt(limit as u32 * 2, PATIENT_WAIT_MS);
    let now = Timestamp(3_000);
    assert_eq!(wait(&mut pacer, now, large), 0);
    assert!(wait(&mut pacer, now, prompt(100, PATIENT_WAIT_MS)) >= GAP_MS);
}

#[test]
fn prompt_with_an_alternative_is_not_scheduled_if_it_has_to_wait() {
    let (mut pacer, limit) = limited_pacer(Timestamp(1_000), 9_000);
    let now = Timestamp(3_000);
    wait(&mut pacer, now, prompt(limit as u32, URGENT_WAIT_MS));
    let elsewhere = PromptSend {
        has_alternative: true,
        ..prompt(700, URGENT_WAIT_MS)
    };
    assert!(matches!(pacer.assign(now, &elsewhere), SendTime::Later(_)));
    assert_eq!(
        wait(
            &mut pacer,
            now + GAP_MS,
            prompt(limit as u32, URGENT_WAIT_MS)
        ),
        0
    );
}

#[test]
fn pause_of_an_engine_below_its_limit_has_another_cause() {
    let (mut pacer, limit) = limited_pacer(Timestamp(1_000), 9_000);
    wait(
        &mut pacer,
        Timestamp(5_000),
        prompt(limit as u32 / 2, URGENT_WAIT_MS),
    );
    assert_eq!(pacer.record_pause(Timestamp(5_400), &pause(350)), None);
}

#[test]
fn limit_is_dropped_after_a_time_without_pauses_only() {
    let (mut pacer, limit) = limited_pacer(Timestamp(1_000), 9_000);
    let soon = Timestamp(15_000);
    wait(&mut pacer, soon, prompt(2 * limit as u32, URGENT_WAIT_MS));
    assert!(wait(&mut pacer, soon, prompt(100, URGENT_WAIT_MS)) > 0);
    let later = Timestamp(60_000);
    let waits = (0..10).map(|_| wait(&mut pacer, later, prompt(4_000, PATIENT_WAIT_MS)));
    assert_eq!(waits.sum::<u64>(), 0);
}

/// A burst of 20 long summaries meets 10 urgent prompts of 700 tokens, one each 100 ms.
#[test]
fn urgent_prompts_are_in_time_beside_a_burst_of_patient_ones() {
    let (mut pacer, _) = limited_pacer(Timestamp(1_000), 9_000);
    let start = 3_000;
    let summaries =
        (0..20).map(|_| wait(&mut pacer, Timestamp(start), prompt(1_400, PATIENT_WAIT_MS)));
    let longest = summaries.max().expect("there are summaries");
    assert!(
        longest < PATIENT_WAIT_MS,
        "summaries are in time: {longest}"
    );
    for index in 0..10 {
        let now = Timestamp(start + 100 * index);
        let waited = wait(&mut pacer, now, prompt(700, URGENT_WAIT_MS));
        assert!(
            waited < URGENT_WAIT_MS,
            "urgent prompt {index} waits {waited}"
        );
    }
}

proptest! {
    /// No span of a gap objective contains more than the limit, unless a single prompt does or a
    /// prompt could wait no longer.
    #[test]
    fn spans_stay_within_the_limit(
        sends in prop::collection::vec((0_u64..60, 100_u32..4_000, any::<bool>()), 1..80),
    ) {
        let (mut pacer, limit) = limited_pacer(Timestamp(1_000), 9_000);
        let mut now = Timestamp(3_000);
        // Within this time the limit grows by less than a third.
        let bound = limit * 1.33;
        let mut sent: Vec<(u64, u32)> = Vec::new();
        for (pause, tokens, is_patient) in sends {
            now = now + pause;
            let max_wait = if is_patient { 29_000 } else { 1_200 };
            let waited = wait(&mut pacer, now, prompt(tokens, max_wait));
            if waited < max_wait {
                sent.push(((now + waited).0, tokens));
            }
        }
        for (end, _) in &sent {
            let span: Vec<u32> = sent
                .iter()
                .filter(|(at, _)| at <= end && at + GAP_MS > *end)
                .map(|(_, tokens)| *tokens)
                .collect();
            let total: u32 = span.iter().sum();
            prop_assert!(span.len() == 1 || f64::from(total) <= bound, "{total} of {bound}");
        }
    }
}
