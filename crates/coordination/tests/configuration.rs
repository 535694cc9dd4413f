//! Checks that rows of the configuration never revert, in whatever order they
//! arrive, that deltas are merged completely, and that names are resolved.

use std::sync::Arc;

use gorsebank_contract::Revision;
use gorsebank_coordination::{Configuration, ResolveError};
use gorsebank_world::{Labels, Row, RowKey, RowKind, Spec};
use proptest::prelude::*;
use serde_json::{Value, json};

fn row(revision: u64, name: &str, spec: Value) -> Arc<Row> {
    let spec: Spec = serde_json::from_value(spec).expect("a spec");
    Arc::new(Row {
        key: RowKey {
            kind: spec.kind(),
            name: name.into(),
        },
        revision,
        labels: Labels::default(),
        spec: Some(spec),
    })
}

fn model(revision: u64, name: &str) -> Arc<Row> {
    row(revision, name, json!({"kind": "model", "memory": "1GiB"}))
}

fn model_revisions(configuration: &Configuration) -> Vec<(String, u64)> {
    configuration
        .live_rows(RowKind::Model)
        .map(|row| (row.key.name.to_string(), row.revision))
        .collect()
}

#[test]
fn merge_reports_a_gap_and_keeps_rows_unchanged() {
    let mut configuration = Configuration::default();
    let gap = configuration
        .merge(Revision(3), Revision(4), vec![model(4, "a")])
        .expect_err("rows are missing");
    assert_eq!(gap.complete, Revision(0));
    assert_eq!(model_revisions(&configuration), []);
}

#[test]
fn resolve_maps_names_to_artifacts_or_errors() {
    let mut configuration = Configuration::default();
    let rows = vec![
        row(
            1,
            "all",
            json!({"kind": "deployment", "versions": "stage=stable"}),
        ),
        model(2, "llama"),
        model(3, "other"),
        row(
            4,
            "other+north",
            json!({"kind": "adapter", "model": "other", "memory": "1GiB"}),
        ),
        row(
            5,
            "llama+north",
            json!({"kind": "adapter", "model": "llama", "memory": "1GiB"}),
        ),
        row(
            6,
            "other+south",
            json!({"kind": "adapter", "model": "other", "memory": "1GiB"}),
        ),
    ];
    configuration
        .merge(Revision(0), Revision(6), rows)
        .expect("no gap");
    let resolved = |name: &str| configuration.resolve(name).map(|queue| queue.to_string());
    assert_eq!(resolved("llama"), Ok("llama@1".to_owned()));
    assert_eq!(resolved("llama+north"), Ok("llama@1+north".to_owned()));
    assert_eq!(
        resolved("none"),
        Err(ResolveError::Unknown("none".to_owned()))
    );
    assert_eq!(
        resolved("llama@9"),
        Err(ResolveError::Unknown("llama@9".to_owned()))
    );
    assert!(matches!(
        resolved("llama+south"),
        Err(ResolveError::AdapterOfAnotherModel { .. })
    ));
}

proptest! {
    /// Guards against rows lost between limited deltas: a configuration that is
    /// copied in deltas of limited size is complete at the end.
    #[test]
    fn limited_deltas_copy_the_complete_configuration(
        names in proptest::collection::vec(0..9u8, 1..40),
        limit in 1..7usize,
    ) {
        let mut source = Configuration::default();
        for (index, name) in names.iter().enumerate() {
            let revision = index as u64 + 1;
            let rows = vec![model(revision, &format!("m{name}"))];
            let merged = source.merge(Revision(revision - 1), Revision(revision), rows);
            prop_assert_eq!(merged, Ok(true));
        }
        let mut copy = Configuration::default();
        while copy.complete() < source.complete() {
            let above = copy.complete();
            let (rows, complete) = source.delta_above(above, limit);
            prop_assert!(rows.len() <= limit);
            prop_assert_eq!(copy.merge(above, complete, rows), Ok(true));
        }
        prop_assert_eq!(model_revisions(&copy), model_revisions(&source));
    }

    /// Guards against rows that revert when deltas arrive late or repeatedly:
    /// deltas of one history, delivered in any order and any number of times,
    /// never lower a row's revision, and end in the same state when complete.
    #[test]
    fn rows_never_revert_in_any_delivery_order(
        names in proptest::collection::vec(0..5u8, 1..30),
        deliveries in proptest::collection::vec((0..30usize, 0..30usize), 0..80),
    ) {
        let history: Vec<Arc<Row>> = names
            .iter()
            .enumerate()
            .map(|(index, name)| model(index as u64 + 1, &format!("m{name}")))
            .collect();
        let mut configuration = Configuration::default();
        let mut before = Vec::new();
        for (start, length) in deliveries {
            let above = start.min(history.len());
            let complete = (above + length).min(history.len());
            let rows = history[above..complete].to_vec();
            let _ = configuration.merge(Revision(above as u64), Revision(complete as u64), rows);
            let after = model_revisions(&configuration);
            for (name, revision) in &before {
                let now = after.iter().find(|(other, _)| other == name);
                prop_assert!(now.is_some_and(|(_, now)| now >= revision));
            }
            before = after;
        }
        let length = Revision(history.len() as u64);
        let _ = configuration.merge(Revision(0), length, history.clone());
        let mut complete_copy = Configuration::default();
        let _ = complete_copy.merge(Revision(0), length, history);
        prop_assert_eq!(model_revisions(&configuration), model_revisions(&complete_copy));
    }
}
