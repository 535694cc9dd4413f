//! Promises on what back ends say of themselves in their answers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::history::{Departed, End, History, PauseWanted, Try, What};
use super::promises::{Finding, Promise};

/// The pause that back ends want, and as it stands in their answers.
pub const PAUSE: Duration = Duration::from_millis(1_500);
pub const PAUSE_TEXT: &str = "1.5";
/// A process sends nothing new to a back end later than this after it has passed on an answer
/// that says that it leaves.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// What is under way when a pause is asked for arrives within this time.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// So many requests may come in the rest of a pause.
const MOST_IN_A_PAUSE: usize = 2;

/// The table is no excuse: the answer has told the process.
pub fn check_departure(history: &History, departed: &Departed) -> Option<Finding> {
    let seal = format!("seal-{}-", departed.back_end);
    let tells = |one: &&Try| {
        let sealed = |seal_of: &String| seal_of.starts_with(&seal);
        let by_it = matches!(&one.end, End::Answer { seal: Some(seal), .. } if sealed(seal));
        by_it && one.sent >= departed.said
    };
    let mut told: BTreeMap<usize, Duration> = BTreeMap::new();
    for one in history.tries.iter().filter(tells) {
        let known = told.entry(one.process).or_insert(one.ended);
        *known = one.ended.min(*known);
    }
    let is_late = |one: &&Try| {
        let arrived = history.runs.get(&one.id);
        let arrived = arrived.is_some_and(|at| at.contains(&departed.back_end));
        let told = told.get(&one.process);
        let is_late = told.is_some_and(|told| one.sent > *told + DRAIN_BOUND);
        let stood_still = |what| what == What::Paused(one.process);
        arrived && is_late && !history.overlaps(departed.said, one.ended, stood_still)
    };
    let late = history.tries.iter().find(is_late)?;
    let what = format!("{departed:?}, told {told:?}: {late:?}");
    Some(Finding {
        promise: Promise::DepartureKept,
        what,
    })
}

/// A process that stood still or was cut off from the back end may not have its answer.
pub fn check_pauses(history: &History, wanted: &PauseWanted) -> Option<Finding> {
    let in_pause = |(asked, process): &(Duration, usize)| {
        let within = |(at, by): &&(Duration, usize)| {
            by == process && *at > *asked + UNDER_WAY && *at < *asked + PAUSE
        };
        wanted.arrivals.iter().filter(within).count()
    };
    let is_broken = |turned_away: &&(Duration, usize)| {
        let (asked, process) = **turned_away;
        let excuses = |what| match what {
            What::Paused(struck) | What::Killed(struck) | What::Stopped(struck) => {
                struck == process
            }
            What::BackEndCutOff | What::BackEndEnded => true,
            What::Table => false,
        };
        in_pause(turned_away) > MOST_IN_A_PAUSE && !history.overlaps(asked, asked + PAUSE, excuses)
    };
    let broken = wanted.turned_away.iter().find(is_broken)?;
    let what = format!(
        "{} asked process {} at {:?} and got {} in the rest of its pause",
        wanted.back_end,
        broken.1,
        broken.0,
        in_pause(broken)
    );
    Some(Finding {
        promise: Promise::PauseKept,
        what,
    })
}
