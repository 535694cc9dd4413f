//! Tests of the checkers: each checker reports a history that violates its guarantee and accepts
//! the history from which the test derived it.

use std::time::Duration;

use super::guarantees::{Guarantee, check_guarantees};
use super::history::{
    CallerRequest, Disturbance, DisturbanceKind, History, LimitedBackEnd, Outcome, RequestKind,
    RequestedPauses, ResponseDrain, RowDrain,
};

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn response(status: u16, body: &str) -> Outcome {
    Outcome::Response {
        status,
        is_complete: true,
        seal: Some("seal-i-1-r1".to_owned()),
        body: body.to_owned(),
    }
}

/// Returns a history with one request that one back end ran and answered.
fn sound_history() -> History {
    let request = CallerRequest {
        id: "r1".to_owned(),
        kind: RequestKind::Mutating,
        process: 1,
        sent_at: at(1),
        ended_at: at(2),
        outcome: response(200, "done"),
    };
    History {
        requests: vec![request],
        executions: [("r1".to_owned(), vec!["i-1".to_owned()])].into(),
        fences: [("i-1".to_owned(), vec![3, 3, 9])].into(),
        ..History::default()
    }
}

fn violated_guarantees(history: &History) -> Vec<Guarantee> {
    check_guarantees(history)
        .iter()
        .map(|finding| finding.guarantee)
        .collect()
}

#[test]
fn sound_history_has_no_findings() {
    assert_eq!(violated_guarantees(&sound_history()), []);
}

#[test]
fn wrong_body_or_seal_is_found() {
    let mut history = sound_history();
    history.requests[0].outcome = response(200, "don");
    assert_eq!(violated_guarantees(&history), [Guarantee::Whole]);
    let mut history = sound_history();
    history
        .executions
        .insert("r1".to_owned(), vec!["i-2".to_owned()]);
    assert_eq!(violated_guarantees(&history), [Guarantee::Whole]);
    let mut history = sound_history();
    history.requests[0].kind = RequestKind::Stream;
    history.requests[0].outcome = response(200, "id: 1\ndata: t1\n\nid: 3\ndata: t3\n\n");
    assert_eq!(
        violated_guarantees(&history),
        [Guarantee::Whole],
        "an event is missing"
    );
}

#[test]
fn repeated_execution_is_found() {
    let mut history = sound_history();
    let executed_twice = vec!["i-1".to_owned(), "i-2".to_owned()];
    history.executions.insert("r1".to_owned(), executed_twice);
    assert_eq!(violated_guarantees(&history), [Guarantee::Once]);
    history.requests[0].kind = RequestKind::Idempotent;
    assert_eq!(violated_guarantees(&history), []);
}

#[test]
fn rejection_of_executed_request_is_found() {
    let mut history = sound_history();
    history.requests[0].outcome = response(503, "");
    assert_eq!(violated_guarantees(&history), [Guarantee::Truthful]);
    history.executions.clear();
    assert_eq!(violated_guarantees(&history), []);
}

#[test]
fn request_cut_by_planned_stop_is_found() {
    let mut history = sound_history();
    history.requests[0].outcome = Outcome::Closed;
    assert_eq!(violated_guarantees(&history), []);
    let disturbance = |kind| Disturbance {
        from: at(1),
        until: at(3),
        kind,
    };
    history
        .disturbances
        .push(disturbance(DisturbanceKind::Stopped(1)));
    assert_eq!(violated_guarantees(&history), [Guarantee::StopCutsNothing]);
    history
        .disturbances
        .push(disturbance(DisturbanceKind::Killed(1)));
    assert_eq!(violated_guarantees(&history), [], "the process was killed");
}

#[test]
fn request_to_drained_back_end_is_found() {
    let mut history = sound_history();
    history.row_drains.push(RowDrain {
        back_end: "i-1".to_owned(),
        announced_at: at(1),
        counted_at: at(4),
        arrived_when_counted: 5,
        arrived_in_total: 6,
    });
    assert_eq!(violated_guarantees(&history), [Guarantee::LeavingLeftAlone]);
    history.disturbances.push(Disturbance {
        from: at(2),
        until: at(3),
        kind: DisturbanceKind::Table,
    });
    assert_eq!(
        violated_guarantees(&history),
        [],
        "gateways could not learn of the drain"
    );
}

#[test]
fn late_arrivals_of_crashing_request_are_found() {
    let mut history = sound_history();
    let mut arrivals = vec![at(1), at(2), at(3), at(4), at(5), at(6)];
    arrivals.extend([at(7), at(8), at(9)]);
    history.crash_arrivals.insert(b"x".to_vec(), arrivals);
    assert_eq!(
        violated_guarantees(&history),
        [],
        "three late arrivals are allowed"
    );
    let arrivals = history
        .crash_arrivals
        .get_mut(b"x".as_slice())
        .expect("the body is recorded");
    arrivals.push(at(10));
    assert_eq!(violated_guarantees(&history), [Guarantee::EndingKeptAway]);
}

#[test]
fn excess_over_stated_limit_is_found() {
    let mut history = sound_history();
    // Twelve requests arrive within four seconds, at a time by which gateways know the limit.
    let arrival = |number: u32| (at(5) + Duration::from_millis(300) * number, 1);
    history.limited_back_ends.push(LimitedBackEnd {
        back_end: "i-1".to_owned(),
        rate: 1.0,
        from: at(1),
        until: at(20),
        arrivals: (0..12).map(arrival).collect(),
    });
    assert_eq!(violated_guarantees(&history), [Guarantee::LimitKept]);
    history.limited_back_ends[0].from = at(4);
    assert_eq!(
        violated_guarantees(&history),
        [],
        "most arrived before gateways can know the limit"
    );
    history.limited_back_ends[0].from = at(1);
    history.disturbances.push(Disturbance {
        from: at(2),
        until: at(3),
        kind: DisturbanceKind::Suspended(1),
    });
    assert_eq!(
        violated_guarantees(&history),
        [],
        "the process was suspended"
    );
    history.disturbances.clear();
    history.limited_back_ends[0].rate = 1.5;
    assert_eq!(violated_guarantees(&history), [], "14 requests are allowed");
}

#[test]
fn request_after_drain_in_response_is_found() {
    let mut history = sound_history();
    history.response_drains.push(ResponseDrain {
        back_end: "i-1".to_owned(),
        announced_at: at(1),
    });
    let later = |id: &str, sent| CallerRequest {
        id: id.to_owned(),
        sent_at: sent,
        ended_at: sent + at(1),
        outcome: Outcome::Closed,
        ..history.requests[0].clone()
    };
    // Process 1 received the response that announces the drain at 2 s.
    let (in_flight, late) = (later("r2", at(4)), later("r3", at(5)));
    history.requests.extend([in_flight, late]);
    let received = vec!["i-1".to_owned()];
    history.executions.insert("r2".to_owned(), received.clone());
    assert_eq!(violated_guarantees(&history), [], "within the bound");
    history.executions.insert("r3".to_owned(), received);
    assert_eq!(violated_guarantees(&history), [Guarantee::DepartureKept]);
    let disturbance = |kind| Disturbance {
        from: at(3),
        until: at(4),
        kind,
    };
    history
        .disturbances
        .push(disturbance(DisturbanceKind::Table));
    assert_eq!(
        violated_guarantees(&history),
        [Guarantee::DepartureKept],
        "a faulty table is no excuse"
    );
    history
        .disturbances
        .push(disturbance(DisturbanceKind::Suspended(1)));
    assert_eq!(
        violated_guarantees(&history),
        [],
        "the process was suspended"
    );
    history.disturbances.clear();
    history.requests[2].process = 2;
    assert_eq!(
        violated_guarantees(&history),
        [],
        "another process did not learn of the drain"
    );
}

#[test]
fn requests_during_requested_pause_are_found() {
    let mut history = sound_history();
    let arrival = |offset_ms: u64, process| (at(5) + Duration::from_millis(offset_ms), process);
    history.requested_pauses.push(RequestedPauses {
        back_end: "i-1".to_owned(),
        rejections: vec![arrival(0, 1)],
        arrivals: vec![
            arrival(0, 1),
            arrival(100, 1),
            arrival(400, 1),
            arrival(600, 1),
            arrival(700, 1),
            arrival(800, 2),
            arrival(1_600, 1),
        ],
    });
    assert_eq!(
        violated_guarantees(&history),
        [],
        "two requests are allowed in the rest of the pause"
    );
    history.requested_pauses[0].arrivals.push(arrival(900, 1));
    assert_eq!(violated_guarantees(&history), [Guarantee::PauseKept]);
    history.disturbances.push(Disturbance {
        from: at(4),
        until: at(5),
        kind: DisturbanceKind::BackEndCutOff,
    });
    assert_eq!(
        violated_guarantees(&history),
        [],
        "the response may not have arrived"
    );
}

#[test]
fn engine_over_memory_is_found() {
    let mut history = sound_history();
    history.max_models.insert("i-1".to_owned(), 2);
    assert_eq!(violated_guarantees(&history), []);
    history.max_models.insert("i-2".to_owned(), 3);
    assert_eq!(violated_guarantees(&history), [Guarantee::Memory]);
}

#[test]
fn orders_of_previous_holder_are_found() {
    let mut history = sound_history();
    history.fences.insert("i-1".to_owned(), vec![3, 9, 3]);
    assert_eq!(violated_guarantees(&history), [Guarantee::OneHolder]);
}

#[test]
fn unrecovered_or_outdated_gateway_is_found() {
    let mut history = sound_history();
    history.unrecovered_gateways.push("node-1".to_owned());
    history.outdated_gateways.push("node-2".to_owned());
    assert_eq!(
        violated_guarantees(&history),
        [Guarantee::Recovery, Guarantee::Configuration]
    );
}
