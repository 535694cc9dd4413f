//! Checks the parsing and matching of label selectors and the parsing of artifact names.

use gorsebank_world::{Artifact, Labels, QueueKey, Selector};
use proptest::prelude::*;

fn matches(selector: &str, labels: &Labels) -> bool {
    selector
        .parse::<Selector>()
        .unwrap_or_else(|error| panic!("{error}"))
        .matches(labels)
}

#[test]
fn selector_matches_only_if_all_requirements_hold() {
    let labels = Labels::from([("team", "call-centre"), ("stage", "canary")]);
    for selector in [
        "",
        "team",
        "team=call-centre",
        "team==call-centre , stage != stable",
        "stage in (canary, stable)",
        "stage notin (old,retired),!night",
        "missing!=x",
    ] {
        assert!(matches(selector, &labels), "{selector}");
    }
    for selector in [
        "!team",
        "team=x",
        "stage in (stable)",
        "team,night",
        "stage notin (canary)",
    ] {
        assert!(!matches(selector, &labels), "{selector}");
    }
}

#[test]
fn syntax_errors_give_the_selector_and_position() {
    for (selector, expected_position) in [("team=", 5), ("a,,b", 2), ("team in ()", 5), ("a b", 2)]
    {
        let error = selector
            .parse::<Selector>()
            .expect_err("the selector is invalid")
            .to_string();
        assert!(error.contains(selector), "{error}");
        let position: usize = error
            .rsplit(' ')
            .next()
            .and_then(|number| number.parse().ok())
            .expect("the error message ends in a position");
        assert!(
            position.abs_diff(expected_position) <= 1,
            "{error} (about {expected_position})"
        );
    }
}

#[test]
fn invalid_artifact_names_are_rejected() {
    for invalid in ["", "m", "@1", "m@", "m@1+", "+a"] {
        assert!(invalid.parse::<Artifact>().is_err(), "{invalid}");
    }
}

proptest! {
    #[test]
    fn artifact_round_trips_through_text(
        model in "[a-z0-9.-]{1,12}",
        version in "[a-z0-9.]{1,6}",
        adapter in proptest::option::of("[a-z0-9-]{1,12}"),
    ) {
        let text = match &adapter {
            Some(adapter) => format!("{model}@{version}+{adapter}"),
            None => format!("{model}@{version}"),
        };
        let artifact: Artifact = text.parse().expect("the text is a valid artifact name");
        prop_assert_eq!(artifact.to_string(), text);
        let queue = QueueKey::Artifact(artifact.clone());
        prop_assert_eq!(QueueKey::try_from(queue.to_string()), Ok(queue));
        let required = artifact.required();
        prop_assert_eq!(required.last(), Some(&artifact));
    }

    #[test]
    fn parsing_a_selector_never_panics(text in ".{0,40}") {
        let _ = text.parse::<Selector>();
    }
}
