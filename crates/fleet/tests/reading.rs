//! How long engines read prompts, and the choice that follows from it.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::choice::{Candidate, cheapest};
use gorsebank_fleet::{CachedPrefixes, PrefillModel, PrefillSpeedRow, Prompt, PromptPart};
use gorsebank_world::{BackEndId, ModelId};
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

/// A well back end near by that is connected to.
fn candidate(in_flight: u32, stall: f64, relative_pace: f64) -> Candidate {
    Candidate {
        running: in_flight,
        slots: 0,
        is_in_same_zone: true,
        failure_rate: 0.0,
        relative_latency: 1.0,
        has_cached_prefix: false,
        is_connected: true,
        stall,
        relative_gap: relative_pace,
    }
}

const NOW: Timestamp = Timestamp(1_000);

fn engine(number: usize) -> BackEndId {
    BackEndId::from(format!("e{number}").as_str())
}

fn model() -> ModelId {
    ModelId::from("m")
}

/// A model that has seen streams at engines of these speeds.
fn learned(speeds: &[f64]) -> PrefillModel {
    let mut reading = PrefillModel::default();
    for round in 0..300 {
        let number = round % speeds.len();
        // Every tenth event waits for the reading of another prompt.
        let waits = if round % 10 == 0 { 90.0 } else { 0.0 };
        let gap = (GAP + waits) * speeds[number];
        reading.record_gap(NOW, &engine(number), &model(), gap);
        let latency = (1_000.0 * READ + waits) * speeds[number];
        reading.record_prefill(NOW, &engine(number), &model(), latency, 1_000);
    }
    reading
}

#[test]
fn a_slow_engine_is_expected_to_read_longer() {
    let reading = learned(&[1.0, 1.3]);
    let time = |number: usize| {
        let time = reading.prefill_time(NOW, &engine(number), &model(), 4_000);
        time.expect("something was learned")
    };
    assert!((170.0..250.0).contains(&time(0)), "{}", time(0));
    let ratio = time(1) / time(0);
    assert!((1.15..1.45).contains(&ratio), "{ratio}");
}

#[test]
fn an_unknown_engine_is_expected_to_be_like_the_others() {
    let reading = learned(&[1.0, 1.0]);
    let time = reading.prefill_time(NOW, &engine(7), &model(), 4_000);
    let time = time.expect("the model is known");
    assert!((150.0..300.0).contains(&time), "{time}");
    assert_eq!(
        reading.prefill_time(NOW, &engine(7), &"other".into(), 10),
        None
    );
}

/// Found on tks-indoor, quiet-1: gateways that had sent nothing to a slow engine
/// sent it prompts of 4,000 tokens, one after the other.
#[test]
fn a_gateway_knows_a_slow_engine_from_what_others_saw() {
    let mut busy = learned(&[1.0, 1.3]);
    let mut other = learned(&[1.0, 1.3]);
    let row = PrefillSpeedRow::merge(&[busy.sample(NOW, 9), other.sample(NOW, 9)]);
    let mut new = PrefillModel::default();
    assert_eq!(new.prefill_time(NOW, &engine(1), &model(), 4_000), None);
    new.set_merged(row);
    let time = |number: usize| {
        let time = new.prefill_time(NOW, &engine(number), &model(), 4_000);
        time.expect("others have told")
    };
    let ratio = time(1) / time(0);
    assert!((1.2..1.4).contains(&ratio), "{ratio}");
}

/// An engine that has just turned slow is known as such by who uses it.
#[test]
fn own_events_of_late_are_believed_more_than_what_others_saw() {
    let mut reading = learned(&[1.0]);
    let told = PrefillSpeedRow::merge(&[reading.sample(NOW, 9)]);
    reading.set_merged(told.clone());
    let before = reading.prefill_time(NOW, &engine(0), &model(), 4_000);
    for _ in 0..100 {
        reading.record_gap(NOW, &engine(0), &model(), GAP * 3.0);
    }
    let after = reading.prefill_time(NOW, &engine(0), &model(), 4_000);
    assert!(
        after > before.map(|time| time * 2.0),
        "{before:?} {after:?}"
    );
    let later = Timestamp(NOW.0 + 6_000);
    let old = reading.prefill_time(later, &engine(0), &model(), 4_000);
    let mut told_only = PrefillModel::default();
    told_only.set_merged(told);
    let told = told_only.prefill_time(later, &engine(0), &model(), 4_000);
    assert_eq!(old, told, "then it counts no more");
}

#[test]
fn a_row_is_news_only_when_it_says_something_else() {
    let mut reading = learned(&[1.0, 1.3]);
    let told = PrefillSpeedRow::merge(&[reading.sample(NOW, 9)]);
    assert!(told.differs_from(&PrefillSpeedRow::default()));
    assert!(!told.differs_from(&told));
    let mut near = told.clone();
    *near
        .engines
        .get_mut(&engine(0))
        .unwrap()
        .get_mut(&model())
        .unwrap() *= 1.05;
    assert!(!near.differs_from(&told));
    let mut far = told.clone();
    *far.engines
        .get_mut(&engine(0))
        .unwrap()
        .get_mut(&model())
        .unwrap() *= 1.2;
    assert!(far.differs_from(&told));
}

/// A holder that has just begun has heard little: what is told stays, but for
/// engines that are gone.
#[test]
fn what_nobody_has_seen_of_late_is_kept_while_the_engine_is_there() {
    let mut reading = learned(&[1.0, 1.3]);
    let earlier = PrefillSpeedRow::merge(&[reading.sample(NOW, 9)]);
    let mut row = PrefillSpeedRow::default();
    row.fill_from(&earlier, |id| *id == engine(1));
    assert_eq!(row.gap(&engine(0), &model()), None);
    assert_eq!(
        row.gap(&engine(1), &model()),
        earlier.gap(&engine(1), &model())
    );
    assert_eq!(row.gaps_per_token, earlier.gaps_per_token);
    assert!(row.differs_from(&earlier), "an engine left");
}

#[test]
fn rows_have_room_for_a_bounded_number_of_engines() {
    let mut reading = PrefillModel::default();
    for number in 0..3_000 {
        reading.record_gap(NOW, &engine(number), &model(), GAP);
    }
    let sample = reading.sample(NOW, 9);
    assert_eq!(sample.engines.len(), 48);
    let one_of_many = reading.sample(NOW, 64);
    assert_eq!(one_of_many.engines.len(), 12, "others tell the rest");
    assert_eq!(reading.sample(NOW, 1_300).engines.len(), 8);
    let many: Vec<_> = (0..100)
        .map(|gateway| {
            let seen = (0..40).map(|number| {
                let sample = gorsebank_fleet::GapSample {
                    gap: GAP,
                    events: 9,
                };
                (engine(gateway * 40 + number), model(), sample)
            });
            gorsebank_fleet::PrefillSpeedSample::new(9, seen, None)
        })
        .collect();
    let row = PrefillSpeedRow::merge(&many);
    assert_eq!(row.engines.len(), 1_000);
    let text = serde_json::to_string(&row).expect("it can be written");
    assert!(text.len() < 48_000, "{} bytes", text.len());
}

/// Found on tks-indoor, quiet-1: prompts of 4,000 tokens made all streams of a
/// slow engine pause for longer than their callers accept.
#[test]
fn a_long_prompt_goes_where_streams_pause_least() {
    let candidate = |in_flight, stall| candidate(in_flight, stall, 1.0);
    let mut random = SmallRng::seed_from_u64(1);
    let busy_but_fast = [candidate(0, 1.05), candidate(2, 0.8)];
    assert_eq!(cheapest(&busy_but_fast, &mut random), Some(1));
    let short = [candidate(0, 0.3), candidate(2, 0.2)];
    assert_eq!(cheapest(&short, &mut random), Some(0));
}

/// Engines run many streams at nearly the speed of one, so a slower engine costs
/// more than a fast one that already runs a request of this gateway.
#[test]
fn a_slower_engine_is_chosen_only_when_the_faster_one_is_busier() {
    let candidate = |in_flight, relative_pace| candidate(in_flight, 0.0, relative_pace);
    let mut random = SmallRng::seed_from_u64(1);
    let fast_runs_one = [candidate(0, 1.3), candidate(1, 1.0)];
    assert_eq!(cheapest(&fast_runs_one, &mut random), Some(1));
    let fast_runs_three = [candidate(0, 1.3), candidate(3, 1.0)];
    assert_eq!(cheapest(&fast_runs_three, &mut random), Some(0));
}

#[test]
fn a_part_counts_as_read_only_behind_all_before_it() {
    let model = ModelId::from("m");
    let mut kept = CachedPrefixes::default();
    let first = Prompt::new(vec![part("a", 100), part("b", 50), part("own", 7)]);
    assert_eq!(kept.uncached_tokens(&model, None, &first), 157);
    kept.record(Timestamp(0), &model, None, &first);
    assert_eq!(kept.uncached_tokens(&model, None, &first), 7);
    let other = Prompt::new(vec![part("c", 100), part("b", 50), part("own", 7)]);
    assert_eq!(kept.uncached_tokens(&model, None, &other), 157);
    let adapter = "x".into();
    assert_eq!(kept.uncached_tokens(&model, Some(&adapter), &first), 157);
}

#[test]
fn parts_that_were_not_sent_for_long_are_forgotten() {
    let model = ModelId::from("m");
    let mut kept = CachedPrefixes::default();
    let prompt = |number: u32| Prompt::new(vec![part(&format!("p{number}"), 10), part("own", 1)]);
    kept.record(Timestamp(0), &model, None, &prompt(0));
    for number in 1..=600 {
        kept.record(Timestamp(40_000), &model, None, &prompt(number));
    }
    assert_eq!(kept.uncached_tokens(&model, None, &prompt(0)), 11);
    assert_eq!(kept.uncached_tokens(&model, None, &prompt(600)), 1);
}
