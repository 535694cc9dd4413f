//! Tests the estimates of prefill times, the exchange of prefill speeds between gateways, the
//! choice of a back end by them, and the record of cached prefixes.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::choice::{Candidate, cheapest};
use gorsebank_fleet::{CachedPrefixes, PrefillModel, PrefillSpeedRow, Prompt, PromptPart};
use gorsebank_world::{BackEndId, ModelId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time between two events of a stream at an engine of usual speed.
const GAP_MS: f64 = 20.0;
/// Time that the prefill of a token takes at an engine of usual speed.
const PREFILL_MS_PER_TOKEN: f64 = 0.05;

fn part(id: &str, tokens: u32) -> PromptPart {
    PromptPart {
        id: id.to_owned(),
        tokens,
    }
}

/// Returns a healthy, connected back end in the same zone.
fn candidate(running: u32, stall: f64, relative_gap: f64) -> Candidate {
    Candidate {
        running,
        slots: 0,
        is_in_same_zone: true,
        failure_rate: 0.0,
        relative_latency: 1.0,
        has_cached_prefix: false,
        is_connected: true,
        stall,
        relative_gap,
    }
}

const NOW: Timestamp = Timestamp(1_000);

fn engine(number: usize) -> BackEndId {
    BackEndId::from(format!("e{number}").as_str())
}

fn model() -> ModelId {
    ModelId::from("m")
}

/// Returns a model that has observed streams at engines with these relative gaps.
fn trained_model(speeds: &[f64]) -> PrefillModel {
    let mut prefill_model = PrefillModel::default();
    for round in 0..300 {
        let number = round % speeds.len();
        // Every tenth event waits for the prefill of another prompt.
        let wait = if round % 10 == 0 { 90.0 } else { 0.0 };
        let gap = (GAP_MS + wait) * speeds[number];
        prefill_model.record_gap(NOW, &engine(number), &model(), gap);
        let latency = (1_000.0 * PREFILL_MS_PER_TOKEN + wait) * speeds[number];
        prefill_model.record_prefill(NOW, &engine(number), &model(), latency, 1_000);
    }
    prefill_model
}

#[test]
fn a_slow_engine_has_a_longer_expected_prefill_time() {
    let prefill_model = trained_model(&[1.0, 1.3]);
    let time = |number: usize| {
        let time = prefill_model.prefill_time(NOW, &engine(number), &model(), 4_000);
        time.expect("the model has observations")
    };
    assert!((170.0..250.0).contains(&time(0)), "{}", time(0));
    let ratio = time(1) / time(0);
    assert!((1.15..1.45).contains(&ratio), "{ratio}");
}

#[test]
fn an_unknown_engine_is_expected_to_be_as_fast_as_the_others() {
    let prefill_model = trained_model(&[1.0, 1.0]);
    let time = prefill_model.prefill_time(NOW, &engine(7), &model(), 4_000);
    let time = time.expect("the model is known");
    assert!((150.0..300.0).contains(&time), "{time}");
    assert_eq!(
        prefill_model.prefill_time(NOW, &engine(7), &"other".into(), 10),
        None
    );
}

/// Guards against learning only from a gateway's own requests: gateways that had not used a slow
/// engine yet sent it prompts of 4,000 tokens, one after the other.
#[test]
fn a_gateway_knows_a_slow_engine_from_observations_of_others() {
    let mut busy = trained_model(&[1.0, 1.3]);
    let mut other = trained_model(&[1.0, 1.3]);
    let row = PrefillSpeedRow::merge(&[busy.sample(NOW, 9), other.sample(NOW, 9)]);
    let mut new_gateway = PrefillModel::default();
    assert_eq!(
        new_gateway.prefill_time(NOW, &engine(1), &model(), 4_000),
        None
    );
    new_gateway.set_merged(row);
    let time = |number: usize| {
        let time = new_gateway.prefill_time(NOW, &engine(number), &model(), 4_000);
        time.expect("other gateways have sent their speeds")
    };
    let ratio = time(1) / time(0);
    assert!((1.2..1.4).contains(&ratio), "{ratio}");
}

/// A gateway that uses an engine notices first that the engine has become slow.
#[test]
fn recent_own_observations_outweigh_those_of_others() {
    let mut prefill_model = trained_model(&[1.0]);
    let row = PrefillSpeedRow::merge(&[prefill_model.sample(NOW, 9)]);
    prefill_model.set_merged(row.clone());
    let before = prefill_model.prefill_time(NOW, &engine(0), &model(), 4_000);
    for _ in 0..100 {
        prefill_model.record_gap(NOW, &engine(0), &model(), GAP_MS * 3.0);
    }
    let after = prefill_model.prefill_time(NOW, &engine(0), &model(), 4_000);
    assert!(
        after > before.map(|time| time * 2.0),
        "{before:?} {after:?}"
    );
    let later = Timestamp(NOW.0 + 6_000);
    let old = prefill_model.prefill_time(later, &engine(0), &model(), 4_000);
    let mut merged_only = PrefillModel::default();
    merged_only.set_merged(row);
    let merged = merged_only.prefill_time(later, &engine(0), &model(), 4_000);
    assert_eq!(
        old, merged,
        "old observations of the gateway itself no longer count"
    );
}

#[test]
fn a_row_differs_only_if_a_speed_changed_significantly() {
    let mut prefill_model = trained_model(&[1.0, 1.3]);
    let row = PrefillSpeedRow::merge(&[prefill_model.sample(NOW, 9)]);
    assert!(row.differs_from(&PrefillSpeedRow::default()));
    assert!(!row.differs_from(&row));
    let mut slightly_changed = row.clone();
    *slightly_changed
        .engines
        .get_mut(&engine(0))
        .unwrap()
        .get_mut(&model())
        .unwrap() *= 1.05;
    assert!(!slightly_changed.differs_from(&row));
    let mut clearly_changed = row.clone();
    *clearly_changed
        .engines
        .get_mut(&engine(0))
        .unwrap()
        .get_mut(&model())
        .unwrap() *= 1.2;
    assert!(clearly_changed.differs_from(&row));
}

/// A new holder has received few samples, so it keeps the speeds of the previous row, except for
/// engines that no longer exist.
#[test]
fn speeds_without_recent_observations_are_kept_while_the_engine_exists() {
    let mut prefill_model = trained_model(&[1.0, 1.3]);
    let earlier = PrefillSpeedRow::merge(&[prefill_model.sample(NOW, 9)]);
    let mut row = PrefillSpeedRow::default();
    row.fill_from(&earlier, |id| *id == engine(1));
    assert_eq!(row.gap(&engine(0), &model()), None);
    assert_eq!(
        row.gap(&engine(1), &model()),
        earlier.gap(&engine(1), &model())
    );
    assert_eq!(row.gaps_per_token, earlier.gaps_per_token);
    assert!(row.differs_from(&earlier), "an engine was removed");
}

#[test]
fn the_number_of_engines_in_samples_and_rows_is_bounded() {
    let mut prefill_model = PrefillModel::default();
    for number in 0..3_000 {
        prefill_model.record_gap(NOW, &engine(number), &model(), GAP_MS);
    }
    let sample = prefill_model.sample(NOW, 9);
    assert_eq!(sample.engines.len(), 48);
    let one_of_many = prefill_model.sample(NOW, 64);
    assert_eq!(
        one_of_many.engines.len(),
        12,
        "other gateways send the remaining engines"
    );
    assert_eq!(prefill_model.sample(NOW, 1_300).engines.len(), 8);
    let many: Vec<_> = (0..100)
        .map(|gateway| {
            let seen = (0..40).map(|number| {
                let sample = gorsebank_fleet::GapSample {
                    gap: GAP_MS,
                    events: 9,
                };
                (engine(gateway * 40 + number), model(), sample)
            });
            gorsebank_fleet::PrefillSpeedSample::new(9, seen, None)
        })
        .collect();
    let row = PrefillSpeedRow::merge(&many);
    assert_eq!(row.engines.len(), 1_000);
    let text = serde_json::to_string(&row).expect("the row can be encoded");
    assert!(text.len() < 48_000, "{} bytes", text.len());
}

/// Guards against long gaps: prompts of 4,000 tokens stalled all streams of a slow engine for
/// longer than their callers accept.
#[test]
fn a_long_prompt_goes_where_it_stalls_streams_least() {
    let candidate = |running, stall| candidate(running, stall, 1.0);
    let mut random = SmallRng::seed_from_u64(1);
    let busy_but_fast = [candidate(0, 1.05), candidate(2, 0.8)];
    assert_eq!(cheapest(&busy_but_fast, &mut random), Some(1));
    let short = [candidate(0, 0.3), candidate(2, 0.2)];
    assert_eq!(cheapest(&short, &mut random), Some(0));
}

/// Engines run many streams at nearly the speed of a single stream, so a slower engine costs more
/// than a faster one that already runs a request of this gateway.
#[test]
fn a_slower_engine_is_chosen_only_when_the_faster_one_is_busier() {
    let candidate = |running, relative_gap| candidate(running, 0.0, relative_gap);
    let mut random = SmallRng::seed_from_u64(1);
    let fast_runs_one = [candidate(0, 1.3), candidate(1, 1.0)];
    assert_eq!(cheapest(&fast_runs_one, &mut random), Some(1));
    let fast_runs_three = [candidate(0, 1.3), candidate(3, 1.0)];
    assert_eq!(cheapest(&fast_runs_three, &mut random), Some(0));
}

#[test]
fn a_part_is_cached_only_behind_the_same_prefix() {
    let model = ModelId::from("m");
    let mut cached = CachedPrefixes::default();
    let first = Prompt::new(vec![part("a", 100), part("b", 50), part("own", 7)]);
    assert_eq!(cached.uncached_tokens(&model, None, &first), 157);
    cached.record(Timestamp(0), &model, None, &first);
    assert_eq!(cached.uncached_tokens(&model, None, &first), 7);
    let other = Prompt::new(vec![part("c", 100), part("b", 50), part("own", 7)]);
    assert_eq!(cached.uncached_tokens(&model, None, &other), 157);
    let adapter = "x".into();
    assert_eq!(cached.uncached_tokens(&model, Some(&adapter), &first), 157);
}

#[test]
fn prefixes_that_were_not_sent_recently_are_forgotten() {
    let model = ModelId::from("m");
    let mut cached = CachedPrefixes::default();
    let prompt = |number: u32| Prompt::new(vec![part(&format!("p{number}"), 10), part("own", 1)]);
    cached.record(Timestamp(0), &model, None, &prompt(0));
    for number in 1..=600 {
        cached.record(Timestamp(40_000), &model, None, &prompt(number));
    }
    assert_eq!(cached.uncached_tokens(&model, None, &prompt(0)), 11);
    assert_eq!(cached.uncached_tokens(&model, None, &prompt(600)), 1);
}
