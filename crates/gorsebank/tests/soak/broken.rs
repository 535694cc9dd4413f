//! Each checker is seen to fail on a history that breaks its promise, and to pass on the
//! history that it was made from.

use std::time::Duration;

use super::history::{Departed, Done, End, History, Kind, Left, Limited, PauseWanted, Try, What};
use super::promises::{Promise, check};

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn answer(status: u16, body: &str) -> End {
    End::Answer {
        status,
        whole: true,
        seal: Some("seal-i-1-r1".to_owned()),
        body: body.to_owned(),
    }
}

/// One request that one back end ran and answered.
fn sound() -> History {
    let one = Try {
        id: "r1".to_owned(),
        kind: Kind::Mutating,
        process: 1,
        sent: at(1),
        ended: at(2),
        end: answer(200, "done"),
    };
    History {
        tries: vec![one],
        runs: [("r1".to_owned(), vec!["i-1".to_owned()])].into(),
        fences: [("i-1".to_owned(), vec![3, 3, 9])].into(),
        ..History::default()
    }
}

fn broken(history: &History) -> Vec<Promise> {
    check(history)
        .iter()
        .map(|finding| finding.promise)
        .collect()
}

#[test]
fn a_sound_history_breaks_nothing() {
    assert_eq!(broken(&sound()), []);
}

#[test]
fn other_bytes_or_the_seal_of_another_are_seen() {
    let mut history = sound();
    history.tries[0].end = answer(200, "don");
    assert_eq!(broken(&history), [Promise::Whole]);
    let mut history = sound();
    history.runs.insert("r1".to_owned(), vec!["i-2".to_owned()]);
    assert_eq!(broken(&history), [Promise::Whole]);
    let mut history = sound();
    history.tries[0].kind = Kind::Stream;
    history.tries[0].end = answer(200, "id: 1\ndata: t1\n\nid: 3\ndata: t3\n\n");
    assert_eq!(broken(&history), [Promise::Whole], "an event is missing");
}

#[test]
fn a_second_run_is_seen() {
    let mut history = sound();
    let twice = vec!["i-1".to_owned(), "i-2".to_owned()];
    history.runs.insert("r1".to_owned(), twice);
    assert_eq!(broken(&history), [Promise::Once]);
    history.tries[0].kind = Kind::Idempotent;
    assert_eq!(broken(&history), []);
}

#[test]
fn a_refusal_of_what_ran_is_seen() {
    let mut history = sound();
    history.tries[0].end = answer(503, "");
    assert_eq!(broken(&history), [Promise::Truthful]);
    history.runs.clear();
    assert_eq!(broken(&history), []);
}

#[test]
fn a_request_that_a_planned_stop_cuts_is_seen() {
    let mut history = sound();
    history.tries[0].end = End::Closed;
    assert_eq!(broken(&history), []);
    let done = |what| Done {
        from: at(1),
        until: at(3),
        what,
    };
    history.done.push(done(What::Stopped(1)));
    assert_eq!(broken(&history), [Promise::StopCutsNothing]);
    history.done.push(done(What::Killed(1)));
    assert_eq!(broken(&history), [], "it was killed");
}

#[test]
fn work_for_a_back_end_that_left_is_seen() {
    let mut history = sound();
    history.left.push(Left {
        back_end: "i-1".to_owned(),
        said: at(1),
        counted: at(4),
        arrived: 5,
        arrived_in_the_end: 6,
    });
    assert_eq!(broken(&history), [Promise::LeavingLeftAlone]);
    history.done.push(Done {
        from: at(2),
        until: at(3),
        what: What::Table,
    });
    assert_eq!(broken(&history), [], "nobody could be told");
}

#[test]
fn a_request_that_goes_on_ending_back_ends_is_seen() {
    let mut history = sound();
    let mut arrivals = vec![at(1), at(2), at(3), at(4), at(5), at(6)];
    arrivals.extend([at(7), at(8), at(9)]);
    history.endings.insert(b"x".to_vec(), arrivals);
    assert_eq!(
        broken(&history),
        [],
        "three later than the bound are allowed"
    );
    let arrivals = history
        .endings
        .get_mut(b"x".as_slice())
        .expect("it is there");
    arrivals.push(at(10));
    assert_eq!(broken(&history), [Promise::EndingKeptAway]);
}

#[test]
fn more_than_a_back_end_says_it_takes_is_seen() {
    let mut history = sound();
    // Twelve requests within four seconds, once gateways can know of the limit.
    let arrival = |number: u32| (at(5) + Duration::from_millis(300) * number, 1);
    history.limits.push(Limited {
        back_end: "i-1".to_owned(),
        rate: 1.0,
        from: at(1),
        until: at(20),
        arrivals: (0..12).map(arrival).collect(),
    });
    assert_eq!(broken(&history), [Promise::LimitKept]);
    history.limits[0].from = at(4);
    assert_eq!(broken(&history), [], "most came before gateways can know");
    history.limits[0].from = at(1);
    history.done.push(Done {
        from: at(2),
        until: at(3),
        what: What::Paused(1),
    });
    assert_eq!(broken(&history), [], "the process stood still");
    history.done.clear();
    history.limits[0].rate = 1.5;
    assert_eq!(broken(&history), [], "14 are allowed");
}

#[test]
fn work_for_a_back_end_whose_answer_said_that_it_leaves_is_seen() {
    let mut history = sound();
    history.departed.push(Departed {
        back_end: "i-1".to_owned(),
        said: at(1),
    });
    let later = |id: &str, sent| Try {
        id: id.to_owned(),
        sent,
        ended: sent + at(1),
        end: End::Closed,
        ..history.tries[0].clone()
    };
    // The answer was passed on at 2 s.
    let (under_way, late) = (later("r2", at(4)), later("r3", at(5)));
    history.tries.extend([under_way, late]);
    let arrived = vec!["i-1".to_owned()];
    history.runs.insert("r2".to_owned(), arrived.clone());
    assert_eq!(broken(&history), [], "within the bound");
    history.runs.insert("r3".to_owned(), arrived);
    assert_eq!(broken(&history), [Promise::DepartureKept]);
    let done = |what| Done {
        from: at(3),
        until: at(4),
        what,
    };
    history.done.push(done(What::Table));
    assert_eq!(broken(&history), [Promise::DepartureKept], "no excuse");
    history.done.push(done(What::Paused(1)));
    assert_eq!(broken(&history), [], "the process stood still");
    history.done.clear();
    history.tries[2].process = 2;
    assert_eq!(broken(&history), [], "another process was not told");
}

#[test]
fn requests_in_a_pause_that_was_asked_for_are_seen() {
    let mut history = sound();
    let arrival = |millis: u64, process| (at(5) + Duration::from_millis(millis), process);
    history.pauses.push(PauseWanted {
        back_end: "i-1".to_owned(),
        turned_away: vec![arrival(0, 1)],
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
    assert_eq!(broken(&history), [], "two in the rest of the pause");
    history.pauses[0].arrivals.push(arrival(900, 1));
    assert_eq!(broken(&history), [Promise::PauseKept]);
    history.done.push(Done {
        from: at(4),
        until: at(5),
        what: What::BackEndCutOff,
    });
    assert_eq!(broken(&history), [], "the answer may not have come");
}

#[test]
fn an_engine_with_more_models_than_memory_is_seen() {
    let mut history = sound();
    history.most_models.insert("i-1".to_owned(), 2);
    assert_eq!(broken(&history), []);
    history.most_models.insert("i-2".to_owned(), 3);
    assert_eq!(broken(&history), [Promise::Memory]);
}

#[test]
fn orders_of_a_former_holder_are_seen() {
    let mut history = sound();
    history.fences.insert("i-1".to_owned(), vec![3, 9, 3]);
    assert_eq!(broken(&history), [Promise::OneHolder]);
}

#[test]
fn a_gateway_that_does_not_come_back_or_is_behind_is_seen() {
    let mut history = sound();
    history.not_recovered.push("node-1".to_owned());
    history.behind.push("node-2".to_owned());
    assert_eq!(
        broken(&history),
        [Promise::Recovery, Promise::Configuration]
    );
}
