//! The checker of each rule reports a history that breaks the rule.

use std::collections::BTreeMap;

use gorsebank_contract::{BackEndPlan, ExecutionStatus, PriorityClass, RefusalReason, RequestId};
use gorsebank_emulator::model::engine::{EngineEvent, EngineRecord};
use gorsebank_replay::checker::{Rule, check};
use gorsebank_replay::history::{
    CallerAttempt, CallerOutcome, CallerRecord, ChangeRecord, ConfigurationReading, DrainRecord,
    EngineHistory, Execution, History, PlanRecord,
};
use gorsebank_world::{Artifact, BackEndId, RowKey, RowKind};

const SECOND: u64 = 1_000_000;

fn artifact() -> Artifact {
    "llama@1".parse().expect("an artifact")
}

fn engine_history(events: &[EngineEvent]) -> History {
    let records = events
        .iter()
        .enumerate()
        .map(|(index, event)| EngineRecord {
            at: 100 * (index as u64 + 1),
            event: event.clone(),
        })
        .collect();
    let engine = EngineHistory {
        memory: 10,
        records,
    };
    History {
        engines: BTreeMap::from([(BackEndId::from("engine"), engine)]),
        end: 100 * SECOND,
        ..History::default()
    }
}

fn plan_record(at: u64, bytes: Option<u64>) -> PlanRecord {
    let mut plan = BackEndPlan {
        capacity: 10,
        ..BackEndPlan::default()
    };
    if let Some(bytes) = bytes {
        plan.reservations.insert(artifact(), bytes);
    }
    PlanRecord {
        at,
        back_end: BackEndId::from("engine"),
        plan,
    }
}

fn load(bytes: u64) -> EngineEvent {
    EngineEvent::LoadStarted {
        artifact: artifact(),
        bytes,
    }
}

fn caller(end: Option<(u64, CallerOutcome)>, received: &[(&str, u64)]) -> CallerRecord {
    CallerRecord {
        target: "llama".to_owned(),
        class: PriorityClass::Interactive,
        deadline: 10 * SECOND,
        key: None,
        repeatable: true,
        attempts: vec![CallerAttempt {
            node: "n1".into(),
            request: Some(RequestId(1, 1)),
            at: SECOND,
            first_event: None,
            received: received
                .iter()
                .map(|(stream, number)| ((*stream).to_owned(), *number))
                .collect(),
            end,
        }],
    }
}

fn with_caller(caller: CallerRecord) -> History {
    History {
        callers: vec![caller],
        end: 100 * SECOND,
        ..History::default()
    }
}

fn execution(at: u64, key: Option<&str>) -> Execution {
    Execution {
        at,
        until: at,
        artifact: None,
        back_end: BackEndId::from("app"),
        request: RequestId(1, 1),
        key: key.map(str::to_owned),
        repeatable: key.is_none(),
    }
}

fn assert_reported(history: &History, rule: Rule) {
    let violations = check(history, &[]);
    assert!(
        violations.iter().any(|violation| violation.rule == rule),
        "no violation of {rule:?} was reported: {violations:?}"
    );
}

#[test]
fn a_valid_history_has_no_violations() {
    let mut history = engine_history(&[EngineEvent::Started, load(5)]);
    history.plans.push(plan_record(50_000, Some(5)));
    let own = format!("{}-1@engine", RequestId(1, 1));
    let end = Some((2 * SECOND, CallerOutcome::Answered { whole: 2 }));
    history
        .callers
        .push(caller(end, &[(own.as_str(), 0), (own.as_str(), 1)]));
    assert_eq!(check(&history, &[]), []);
}

#[test]
fn a_load_that_no_plan_permits_is_reported() {
    assert_reported(&engine_history(&[load(5)]), Rule::Replicas);
}

#[test]
fn a_plan_that_drops_a_held_artifact_is_reported() {
    let mut history = engine_history(&[EngineEvent::Started, load(5)]);
    history.plans.push(plan_record(50_000, Some(5)));
    history.plans.push(plan_record(900_000, None));
    assert_reported(&history, Rule::Replicas);
}

#[test]
fn overcommitted_memory_is_reported() {
    assert_reported(&engine_history(&[load(11)]), Rule::Memory);
    let refused = EngineEvent::OverCommitRefused {
        artifact: artifact(),
    };
    assert_reported(&engine_history(&[refused]), Rule::Memory);
}

#[test]
fn a_plan_that_exceeds_the_engine_memory_is_reported() {
    let mut history = History::default();
    history.plans.push(plan_record(0, Some(11)));
    assert_reported(&history, Rule::Memory);
}

#[test]
fn dropped_and_late_requests_are_reported() {
    assert_reported(&with_caller(caller(None, &[])), Rule::Served);
    let refused = CallerOutcome::Refused {
        reason: RefusalReason::DeadlinePassed,
        ran: ExecutionStatus::No,
        retry_after: None,
    };
    let late = caller(Some((12 * SECOND, refused)), &[]);
    assert_reported(&with_caller(late), Rule::Served);
}

#[test]
fn incomplete_duplicated_and_foreign_events_are_reported() {
    let own = format!("{}-1@engine", RequestId(1, 1));
    let foreign = format!("{}-1@engine", RequestId(2, 2));
    let own = own.as_str();
    for received in [
        &[(own, 0)][..],
        &[(own, 0), (own, 0), (own, 1)][..],
        &[(own, 1), (own, 0)][..],
        &[(own, 0), (foreign.as_str(), 1)][..],
    ] {
        let end = Some((2 * SECOND, CallerOutcome::Answered { whole: 2 }));
        assert_reported(&with_caller(caller(end, received)), Rule::WholeAnswer);
    }
}

#[test]
fn a_false_refusal_is_reported() {
    let refused = CallerOutcome::Refused {
        reason: RefusalReason::RetriesExhausted,
        ran: ExecutionStatus::No,
        retry_after: None,
    };
    let mut history = with_caller(caller(Some((2 * SECOND, refused)), &[]));
    history.executions.push(execution(SECOND, None));
    assert_reported(&history, Rule::Refusal);
}

#[test]
fn a_key_that_ran_twice_is_reported() {
    let mut history = History::default();
    history.executions.push(execution(SECOND, Some("k")));
    history.executions.push(execution(2 * SECOND, Some("k")));
    assert_reported(&history, Rule::Once);
}

#[test]
fn a_late_request_to_a_draining_back_end_is_reported() {
    let mut history = History::default();
    history.drains.push(DrainRecord {
        back_end: BackEndId::from("app"),
        visible: SECOND,
    });
    history.executions.push(execution(7 * SECOND, None));
    assert_reported(&history, Rule::Leaving);
}

#[test]
fn a_request_interrupted_by_a_planned_stop_is_reported() {
    let interrupted = caller(Some((5 * SECOND, CallerOutcome::NodeDied)), &[]);
    let mut history = with_caller(interrupted);
    history.planned_stops.push(("n1".into(), 4 * SECOND));
    assert_reported(&history, Rule::PlannedStop);
}

#[test]
fn reverted_missing_and_doubly_accepted_configuration_is_reported() {
    let key = RowKey {
        kind: RowKind::Model,
        name: "llama".into(),
    };
    let reading = |at: u64, version: u64| ConfigurationReading {
        at: at * SECOND,
        node: "n1".into(),
        incarnation: 1,
        versions: BTreeMap::from([(key.clone(), version)]),
        undisturbed_since: 0,
    };
    let change = |revision: u64| ChangeRecord {
        key: key.clone(),
        accepted: Some((revision, SECOND)),
        error: None,
        labels: BTreeMap::new(),
    };
    let reverted = History {
        readings: vec![reading(1, 5), reading(2, 4)],
        ..History::default()
    };
    assert_reported(&reverted, Rule::Configuration);
    let missing = History {
        changes: vec![change(6)],
        readings: vec![reading(60, 5)],
        ..History::default()
    };
    assert_reported(&missing, Rule::Configuration);
    let doubly = History {
        changes: vec![change(6), change(6)],
        ..History::default()
    };
    assert_reported(&doubly, Rule::Configuration);
}
