//! Promises, checked on a history: what callers and back ends saw, and nothing else.

use std::time::Duration;

use super::gateways::GRACE;
use super::history::{End, History, Kind, Limited, Try, What};
use super::statements;

/// Statuses that promise that the request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// A request that ended so many back ends is kept away from the others ...
const ENDS_TO_BLAME: usize = 3;
/// ... within this time ...
pub const KNOWN_BOUND: Duration = Duration::from_secs(3);
/// ... but for so many sends.
const MOST_LATE_ENDINGS: usize = 3;
/// An engine has memory for so many models of the configuration (200 MB, 70 MB each).
const MOST_MODELS: usize = 2;
/// Within any span of this length ...
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// ... a back end that states a limit gets this many times what it takes ...
const LIMIT_EXCESS: f64 = 1.5;
/// ... and so many requests on top, at most.
const LIMIT_ON_TOP: f64 = 5.0;
/// Events of a stream.
pub const EVENTS: u64 = 5;
/// The body of a plain answer.
pub const PLAIN: &str = "done";

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// A success is whole, and the answer of the back end that ran this very request.
    Whole,
    /// What may not be repeated runs once at most.
    Once,
    /// What is said not to have run did not run.
    Truthful,
    /// A planned stop cuts no request that a back end has.
    StopCutsNothing,
    /// A back end that leaves gets nothing new after the bound on news.
    LeavingLeftAlone,
    /// A request under which three back ends ended is hardly sent to another one.
    EndingKeptAway,
    /// No engine is ordered to hold more than its memory takes.
    Memory,
    /// Orders of a former holder do not follow those of a newer one.
    OneHolder,
    /// A back end that states a limit gets no more, once gateways can know, of all together.
    LimitKept,
    /// A process that has passed on an answer of a back end that leaves sends it nothing new.
    DepartureKept,
    /// A back end gets next to nothing from a process that it asked for a pause.
    PauseKept,
    /// Everything works again in time once all faults are over.
    Recovery,
    /// The last configuration is in force in time.
    Configuration,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Which.
    pub promise: Promise,
    /// What was seen.
    pub what: String,
}

/// All broken promises of a history.
pub fn check(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    for one in &history.tries {
        findings.extend(check_try(history, one));
    }
    let find = |promise, what| Finding { promise, what };
    for left in &history.left {
        let is_excused = history.overlaps(left.said, left.counted, |what| {
            matches!(what, What::Table | What::Paused(_))
        });
        if !is_excused && left.arrived_in_the_end > left.arrived {
            findings.push(find(Promise::LeavingLeftAlone, format!("{left:?}")));
        }
    }
    for (body, arrivals) in &history.endings {
        let late = late_arrivals(arrivals);
        if late > MOST_LATE_ENDINGS {
            let body = String::from_utf8_lossy(body);
            let what = format!("{body}: {late} later than the bound, of {arrivals:?}");
            findings.push(find(Promise::EndingKeptAway, what));
        }
    }
    for (back_end, models) in &history.most_models {
        if *models > MOST_MODELS {
            let what = format!("{back_end} held {models} models at once");
            findings.push(find(Promise::Memory, what));
        }
    }
    for limited in &history.limits {
        findings.extend(check_limit(history, limited));
    }
    for departed in &history.departed {
        findings.extend(statements::check_departure(history, departed));
    }
    for wanted in &history.pauses {
        findings.extend(statements::check_pauses(history, wanted));
    }
    let any_paused = history
        .done
        .iter()
        .any(|done| matches!(done.what, What::Paused(_)));
    for (back_end, fences) in &history.fences {
        // A process that stood still may send what it had checked before.
        if !any_paused && !fences.is_sorted() {
            findings.push(find(Promise::OneHolder, format!("{back_end}: {fences:?}")));
        }
    }
    let missed = |promise| move |name: &String| find(promise, name.clone());
    findings.extend(history.not_recovered.iter().map(missed(Promise::Recovery)));
    findings.extend(history.behind.iter().map(missed(Promise::Configuration)));
    findings
}

/// Requests of processes that were killed or stood still not long before do not count.
fn check_limit(history: &History, limited: &Limited) -> Option<Finding> {
    let since = limited.from + KNOWN_BOUND;
    let counts = |(at, process): &&(Duration, usize)| {
        let excuses = |what| match what {
            What::Killed(struck) | What::Stopped(struck) | What::Paused(struck) => {
                struck == *process
            }
            What::Table | What::BackEndCutOff | What::BackEndEnded => false,
        };
        let until = limited.until + LIMIT_SPAN;
        *at >= since && *at <= limited.until && !history.overlaps(limited.from, until, excuses)
    };
    let arrivals = limited.arrivals.iter().filter(counts);
    let arrivals: Vec<Duration> = arrivals.map(|(at, _)| *at).collect();
    let in_span = |(index, begin): (usize, &Duration)| {
        let within = |at: &&Duration| **at - *begin < LIMIT_SPAN;
        arrivals[index..].iter().filter(within).count()
    };
    let most = arrivals.iter().enumerate().map(in_span).max()?;
    let allowed = limited.rate * LIMIT_SPAN.as_secs_f64() * LIMIT_EXCESS + LIMIT_ON_TOP;
    (most as f64 > allowed).then(|| {
        let (back_end, rate) = (&limited.back_end, limited.rate);
        let what = format!("{back_end} takes {rate} a second and got {most} in four");
        Finding {
            promise: Promise::LimitKept,
            what,
        }
    })
}

/// Arrivals later than the bound on news after the third.
fn late_arrivals(arrivals: &[Duration]) -> usize {
    let Some(third) = arrivals.get(ENDS_TO_BLAME - 1) else {
        return 0;
    };
    let late = arrivals.iter().filter(|at| **at > *third + KNOWN_BOUND);
    late.count()
}

fn check_try(history: &History, one: &Try) -> Option<Finding> {
    let none = Vec::new();
    let runs = history.runs.get(&one.id).unwrap_or(&none);
    let promise = if !is_whole(one, runs) {
        Promise::Whole
    } else if matches!(one.kind, Kind::Mutating | Kind::Stream) && runs.len() > 1 {
        Promise::Once
    } else if !is_truthful(one, runs) {
        Promise::Truthful
    } else if is_cut_by_a_stop(history, one, runs) {
        Promise::StopCutsNothing
    } else {
        return None;
    };
    let what = format!("{one:?}, runs {runs:?}");
    Some(Finding { promise, what })
}

/// Whether a success is what the back end that ran it said.
fn is_whole(one: &Try, runs: &[String]) -> bool {
    let End::Answer {
        status: 200,
        whole,
        seal,
        body,
    } = &one.end
    else {
        return true;
    };
    if !whole {
        // It broke off visibly.
        return true;
    }
    let sealed_by =
        |back_end: &String| seal.as_deref() == Some(format!("seal-{back_end}-{}", one.id).as_str());
    runs.iter().any(sealed_by) && *body == expected_body(one.kind)
}

fn expected_body(kind: Kind) -> String {
    match kind {
        Kind::Idempotent | Kind::Mutating => PLAIN.to_owned(),
        Kind::Stream | Kind::Resumable => (1..=EVENTS).map(event).collect(),
    }
}

/// One event of a stream.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: t{number}\n\n")
}

fn is_truthful(one: &Try, runs: &[String]) -> bool {
    match one.end {
        End::Answer { status, .. } if NOT_RUN.contains(&status) => runs.is_empty(),
        _ => true,
    }
}

/// Whether a back end had it, its process was asked to stop, nothing else happened to
/// either, and the caller has no whole answer.
fn is_cut_by_a_stop(history: &History, one: &Try, runs: &[String]) -> bool {
    let has_answer = matches!(&one.end, End::Answer { whole: true, .. });
    let stops = |what| what == What::Stopped(one.process);
    let excuses = |what| match what {
        What::Killed(process) | What::Paused(process) => process == one.process,
        What::BackEndCutOff | What::BackEndEnded => true,
        What::Stopped(_) | What::Table => false,
    };
    !has_answer
        && !runs.is_empty()
        && history.overlaps(one.sent, one.ended, stops)
        && !history.overlaps(one.sent.saturating_sub(GRACE), one.ended, excuses)
}
