//! The first decision that went wrong, in words.

use std::fmt;

use crate::commands::logs::LogLine;

/// Lines that say why the gateway refused a request: for want of something, by its caller's
/// key, by its tenant's limit.
const REFUSALS: [&str; 3] = ["refused", "access_denied", "limited"];

/// What decided how a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was served.
    Served,
    /// Nothing is known of its end; its last line, if there is one.
    NoEnd(Option<String>),
    /// The gateway refused it, for the reason given.
    Refused(String),
    /// An attempt went wrong and it was not sent again.
    Attempt {
        /// Where.
        back_end: String,
        /// What happened.
        result: String,
        /// What is known of that back end just before.
        because: Option<String>,
        /// The line that says that no retry was left, if that is why.
        no_retry: Option<String>,
    },
    /// It ended for another reason.
    Other(String),
}

/// Finds the cause.
pub fn find(own: &[&LogLine], context: &[&LogLine]) -> Cause {
    let Some(end) = own.iter().rev().find(|line| line.event == "request_end") else {
        return Cause::NoEnd(own.last().map(|line| line.text.clone()));
    };
    let outcome = end.field("outcome").unwrap_or("unknown");
    if outcome == "served" {
        return Cause::Served;
    }
    let refuses = |line: &&&LogLine| REFUSALS.contains(&line.event.as_str());
    if let Some(refused) = own.iter().rev().find(refuses) {
        return Cause::Refused(refused.text.clone());
    }
    let attempt = own.iter().find(|line| line.event == "attempt");
    let chosen = own.iter().rev().find(|line| line.event == "chosen");
    let (at, result) = match (attempt, chosen) {
        (Some(attempt), _) => (attempt, attempt.field("result").unwrap_or("unknown")),
        (None, Some(chosen)) => (chosen, outcome),
        (None, None) => return Cause::Other(end.text.clone()),
    };
    let back_end = at.field("back_end").unwrap_or("-").to_owned();
    Cause::Attempt {
        because: state_of(&back_end, context),
        no_retry: refused_retry(own),
        result: result.to_owned(),
        back_end,
    }
}

/// The budget had no retry left when one was last asked for.
fn refused_retry(own: &[&LogLine]) -> Option<String> {
    let last = own.iter().rev().find(|line| line.event == "retry")?;
    (last.field("granted") == Some("false")).then(|| last.text.clone())
}

fn state_of(back_end: &str, context: &[&LogLine]) -> Option<String> {
    let about = |line: &&&LogLine| line.field("back_end") == Some(back_end);
    let last = context.iter().rev().find(about)?;
    Some(last.text.clone())
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Served => write!(formatter, "it was served"),
            Cause::NoEnd(last) => write!(
                formatter,
                "no line tells its end: the process was killed, or the line was left out; last: {}",
                last.as_deref().unwrap_or("nothing")
            ),
            Cause::Refused(line) => write!(formatter, "refused by the gateway: {line}"),
            Cause::Attempt {
                back_end,
                result,
                because,
                no_retry,
            } => {
                write!(formatter, "the attempt at {back_end} ended with {result}")?;
                match because {
                    Some(line) => write!(formatter, "; last heard of it: {line}")?,
                    None => write!(formatter, "; nothing new was heard of it just before")?,
                }
                match no_retry {
                    Some(line) => write!(formatter, "; no retry was left: {line}"),
                    None => Ok(()),
                }
            }
            Cause::Other(line) => write!(formatter, "{line}"),
        }
    }
}
