//! Parsing of reports and comparison of pairs of runs.

use gorsebank_plays::statistics::Estimate;
use gorsebank_plays::table::Outcomes;
use gorsebank_plays::{Outcome, Scenario, Variant};

const REPORT: &str = r#"{
    "G": 0.25, "served": 0.6, "fault": null, "short": [], "breaks": {"LIMIT": 2},
    "prices": [["orders", 300.0, 0.0015], ["loads", 40.0, 0.0105]],
    "classes": [{"name": "live", "worth": 0.8}, {"name": "none", "worth": null}]
}"#;

#[test]
fn a_report_is_parsed_into_metrics_and_failures() {
    let outcome = Outcome::parse(REPORT).unwrap();
    assert_eq!(outcome.metrics["worth"], 0.25);
    assert_eq!(outcome.metrics["price: loads"], 0.0105);
    assert_eq!(outcome.metrics["kind: live"], 0.8);
    assert!(!outcome.metrics.contains_key("kind: none"));
    assert_eq!(outcome.failures, ["LIMIT"]);
}

#[test]
fn the_error_of_an_invalid_report_names_the_line() {
    let error = Outcome::parse(r#"{"G": "high"}"#).unwrap_err();
    assert!(error.to_string().contains("line 1"), "{error}");
}

#[test]
fn the_standard_error_of_a_mean_is_computed_from_at_least_two_values() {
    let four = Estimate::of(&[1.0, 3.0, 1.0, 3.0]).unwrap();
    assert_eq!(four.mean, 2.0);
    assert!((four.standard_error.unwrap() - 0.577_350).abs() < 1e-5);
    assert_eq!(Estimate::of(&[5.0]).unwrap().standard_error, None);
    assert_eq!(Estimate::of(&[]), None);
}

#[test]
fn paired_differences_have_a_smaller_error_than_the_spread_of_scenarios() {
    let pairs = [(0.1, 0.2), (0.9, 1.0), (0.5, 0.6)];
    let difference = Estimate::of_differences(&pairs).unwrap();
    assert!((difference.mean - 0.1).abs() < 1e-9);
    assert!(difference.standard_error.unwrap() < 1e-9);
}

#[test]
fn a_run_without_a_pair_counts_only_for_the_mean_of_its_variant() {
    let variants: Vec<Variant> = ["old=a", "new=b"]
        .iter()
        .map(|text| text.parse().unwrap())
        .collect();
    let scenario = |seed| Scenario {
        name: "quiet".to_owned(),
        seed,
    };
    let outcome = |score: f64| {
        let mut outcome = Outcome::default();
        outcome.metrics.insert("worth".to_owned(), score);
        outcome
    };
    let mut outcomes = Outcomes::default();
    outcomes.insert(0, scenario(1), outcome(0.5));
    outcomes.insert(1, scenario(1), outcome(0.75));
    outcomes.insert(1, scenario(2), outcome(0.25));
    let text = outcomes.render(&variants, &[scenario(1), scenario(2)]);
    assert!(text.contains("old 0.5000"), "{text}");
    assert!(text.contains("[+0.2500]"), "{text}");
}

#[test]
fn a_variant_needs_a_name_and_a_directory() {
    assert!("old".parse::<Variant>().is_err());
    assert!("=dir".parse::<Variant>().is_err());
    assert!("old=".parse::<Variant>().is_err());
}
