//! Reports are read, and pairs are compared.

use gorsebank_plays::statistics::Estimate;
use gorsebank_plays::table::Outcomes;
use gorsebank_plays::{Arm, Day, Outcome};

const REPORT: &str = r#"{
    "G": 0.25, "served": 0.6, "fault": null, "short": [], "breaks": {"LIMIT": 2},
    "prices": [["orders", 300.0, 0.0015], ["loads", 40.0, 0.0105]],
    "classes": [{"name": "live", "worth": 0.8}, {"name": "none", "worth": null}]
}"#;

#[test]
fn a_report_gives_figures_and_what_was_broken() {
    let outcome = Outcome::parse(REPORT).unwrap();
    assert_eq!(outcome.figures["worth"], 0.25);
    assert_eq!(outcome.figures["price: loads"], 0.0105);
    assert_eq!(outcome.figures["kind: live"], 0.8);
    assert!(!outcome.figures.contains_key("kind: none"));
    assert_eq!(outcome.broken, ["LIMIT"]);
}

#[test]
fn a_text_that_is_no_report_is_an_error_that_names_the_place() {
    let error = Outcome::parse(r#"{"G": "high"}"#).unwrap_err();
    assert!(error.to_string().contains("line 1"), "{error}");
}

#[test]
fn the_error_of_a_mean_shrinks_with_the_root_of_the_count() {
    let four = Estimate::of(&[1.0, 3.0, 1.0, 3.0]).unwrap();
    assert_eq!(four.mean, 2.0);
    assert!((four.standard_error.unwrap() - 0.577_350).abs() < 1e-5);
    assert_eq!(Estimate::of(&[5.0]).unwrap().standard_error, None);
    assert_eq!(Estimate::of(&[]), None);
}

#[test]
fn pairs_tell_a_difference_that_is_smaller_than_the_spread_of_days() {
    let pairs = [(0.1, 0.2), (0.9, 1.0), (0.5, 0.6)];
    let difference = Estimate::of_differences(&pairs).unwrap();
    assert!((difference.mean - 0.1).abs() < 1e-9);
    assert!(difference.standard_error.unwrap() < 1e-9);
}

#[test]
fn a_play_without_its_pair_counts_for_its_own_mean_only() {
    let arms: Vec<Arm> = ["old=a", "new=b"]
        .iter()
        .map(|text| text.parse().unwrap())
        .collect();
    let day = |seed| Day {
        name: "quiet".to_owned(),
        seed,
    };
    let outcome = |worth: f64| {
        let mut outcome = Outcome::default();
        outcome.figures.insert("worth".to_owned(), worth);
        outcome
    };
    let mut outcomes = Outcomes::default();
    outcomes.insert(0, day(1), outcome(0.5));
    outcomes.insert(1, day(1), outcome(0.75));
    outcomes.insert(1, day(2), outcome(0.25));
    let text = outcomes.render(&arms, &[day(1), day(2)]);
    assert!(text.contains("old 0.5000"), "{text}");
    assert!(text.contains("[+0.2500]"), "{text}");
}

#[test]
fn an_arm_needs_a_name_and_a_directory() {
    assert!("old".parse::<Arm>().is_err());
    assert!("=dir".parse::<Arm>().is_err());
    assert!("old=".parse::<Arm>().is_err());
}
