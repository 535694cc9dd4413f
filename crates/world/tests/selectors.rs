//! Selectors and artifact names, as operators write them.

use gorsebank_world::{Artifact, Labels, QueueKey, Selector};
use proptest::prelude::*;

fn matches(selector: &str, labels: &Labels) -> bool {
    selector
        .parse::<Selector>()
        .unwrap_or_else(|error| panic!("{error}"))
        .matches(labels)
}

#[test]
fn requirements_are_joined() {
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
fn errors_name_the_place() {
    for (selector, place) in [("team=", 5), ("a,,b", 2), ("team in ()", 5), ("a b", 2)] {
        let error = selector
            .parse::<Selector>()
            .expect_err("refused")
            .to_string();
        assert!(error.contains(selector), "{error}");
        let stated: usize = error
            .rsplit(' ')
            .next()
            .and_then(|number| number.parse().ok())
            .expect("the error ends in a position");
        assert!(stated.abs_diff(place) <= 1, "{error} (about {place})");
    }
}

#[test]
fn artifact_names_are_checked() {
    for wrong in ["", "m", "@1", "m@", "m@1+", "+a"] {
        assert!(wrong.parse::<Artifact>().is_err(), "{wrong}");
    }
}

proptest! {
    #[test]
    fn artifacts_survive_their_text(
        model in "[a-z0-9.-]{1,12}",
        version in "[a-z0-9.]{1,6}",
        adapter in proptest::option::of("[a-z0-9-]{1,12}"),
    ) {
        let text = match &adapter {
            Some(adapter) => format!("{model}@{version}+{adapter}"),
            None => format!("{model}@{version}"),
        };
        let artifact: Artifact = text.parse().expect("a name");
        prop_assert_eq!(artifact.to_string(), text);
        let queue = QueueKey::Artifact(artifact.clone());
        prop_assert_eq!(QueueKey::try_from(queue.to_string()), Ok(queue));
        let required = artifact.required();
        prop_assert_eq!(required.last(), Some(&artifact));
    }

    #[test]
    fn any_text_is_read_or_refused(text in ".{0,40}") {
        let _ = text.parse::<Selector>();
    }
}
