//! How long engines read prompts, and the choice that follows from it.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::choice::{Candidate, cheapest};
use gorsebank_fleet::{KeptParts, Prompt, PromptPart, ReadingModel, Slowness};
use gorsebank_world::ModelId;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time between two events at an engine of usual speed, in milliseconds.
const GAP: f64 = 20.0;
/// Time in which such an engine reads a token, in milliseconds.
const READ: f64 = 0.05;

fn part(id: &str, tokens: u32) -> PromptPart {
    PromptPart {
        id: id.to_owned(),
        tokens,
    }
}

/// A model that has seen streams at engines of these speeds.
fn learned(speeds: &[f64]) -> (ReadingModel, Vec<Slowness>) {
    let model = ModelId::from("m");
    let mut reading = ReadingModel::default();
    let mut engines = vec![Slowness::default(); speeds.len()];
    for round in 0..300 {
        let number = round % speeds.len();
        // Every tenth event waits for the reading of another prompt.
        let waits = if round % 10 == 0 { 90.0 } else { 0.0 };
        let gap = (GAP + waits) * speeds[number];
        reading.note_gap(&model, &mut engines[number], gap);
        let latency = (1_000.0 * READ + waits) * speeds[number];
        reading.note_reading(&model, engines[number], latency, 1_000);
    }
    (reading, engines)
}

#[test]
fn a_slow_engine_is_expected_to_read_longer() {
    let (reading, engines) = learned(&[1.0, 1.3]);
    let model = ModelId::from("m");
    let time = |engine: usize| {
        let time = reading.time(&model, engines[engine], 4_000);
        time.expect("something was learned")
    };
    assert!((170.0..250.0).contains(&time(0)), "{}", time(0));
    let ratio = time(1) / time(0);
    assert!((1.15..1.45).contains(&ratio), "{ratio}");
}

#[test]
fn an_unknown_engine_is_expected_to_be_like_the_others() {
    let (reading, _) = learned(&[1.0, 1.0]);
    let model = ModelId::from("m");
    let time = reading.time(&model, Slowness::default(), 4_000);
    let time = time.expect("the model is known");
    assert!((150.0..300.0).contains(&time), "{time}");
    assert_eq!(reading.time(&"other".into(), Slowness::default(), 10), None);
}

/// Found on tks-indoor, quiet-1: prompts of 4,000 tokens made all streams of a
/// slow engine pause for longer than their callers accept.
#[test]
fn a_long_prompt_goes_where_streams_pause_least() {
    let candidate = |in_flight, stall| Candidate {
        in_flight,
        same_zone: true,
        failure_rate: 0.0,
        relative_latency: 1.0,
        warm_prompt: false,
        connected: true,
        stall,
    };
    let mut random = SmallRng::seed_from_u64(1);
    let busy_but_fast = [candidate(0, 1.05), candidate(2, 0.8)];
    assert_eq!(cheapest(&busy_but_fast, &mut random), Some(1));
    let short = [candidate(0, 0.3), candidate(2, 0.2)];
    assert_eq!(cheapest(&short, &mut random), Some(0));
}

#[test]
fn a_part_counts_as_read_only_behind_all_before_it() {
    let model = ModelId::from("m");
    let mut kept = KeptParts::default();
    let first = Prompt::new(vec![part("a", 100), part("b", 50), part("own", 7)]);
    assert_eq!(kept.fresh_tokens(&model, None, &first), 157);
    kept.note(Timestamp(0), &model, None, &first);
    assert_eq!(kept.fresh_tokens(&model, None, &first), 7);
    let other = Prompt::new(vec![part("c", 100), part("b", 50), part("own", 7)]);
    assert_eq!(kept.fresh_tokens(&model, None, &other), 157);
    let adapter = "x".into();
    assert_eq!(kept.fresh_tokens(&model, Some(&adapter), &first), 157);
}

#[test]
fn parts_that_were_not_sent_for_long_are_forgotten() {
    let model = ModelId::from("m");
    let mut kept = KeptParts::default();
    let prompt = |number: u32| Prompt::new(vec![part(&format!("p{number}"), 10), part("own", 1)]);
    kept.note(Timestamp(0), &model, None, &prompt(0));
    for number in 1..=600 {
        kept.note(Timestamp(40_000), &model, None, &prompt(number));
    }
    assert_eq!(kept.fresh_tokens(&model, None, &prompt(0)), 11);
    assert_eq!(kept.fresh_tokens(&model, None, &prompt(600)), 1);
}
