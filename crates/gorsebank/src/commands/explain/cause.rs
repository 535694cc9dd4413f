//! Determines from the log lines of a request which decision or failure determined its outcome.
//!
//! In: the request's lines, and the lines about its back ends and model shortly before. Out: the
//! cause, and its description for operators.

use std::fmt;

use crate::commands::logs::LogLine;

/// Events that give the reason why the gateway refused a request: no suitable back end, the
/// caller's key, or the tenant's quota.
const REFUSAL_EVENTS: [&str; 3] = ["refused", "access_denied", "limited"];

/// The decision or failure that determined a request's outcome. The texts are log lines without
/// their first fields, as in [`LogLine::text`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request was served.
    Served,
    /// The log has no end of the request; its last line, if there is one.
    NoEnd(Option<String>),
    /// The gateway refused the request; the line with the reason.
    Refused(String),
    /// An attempt failed and the request was not retried.
    Attempt {
        /// The back end of the attempt.
        back_end: String,
        /// The result of the attempt.
        result: String,
        /// The last line about that back end before the end of the request.
        back_end_state: Option<String>,
        /// The line that says that the budget granted no retry, if it did not.
        denied_retry: Option<String>,
    },
    /// The request ended for another reason; the line of its end.
    Other(String),
}

/// Finds the cause in the request's lines and the lines about its back ends and model.
pub fn find(request_lines: &[&LogLine], context_lines: &[&LogLine]) -> Cause {
    let Some(end) = request_lines
        .iter()
        .rev()
        .find(|line| line.event == "request_end")
    else {
        return Cause::NoEnd(request_lines.last().map(|line| line.text.clone()));
    };
    let outcome = end.field("outcome").unwrap_or("unknown");
    if outcome == "served" {
        return Cause::Served;
    }
    let is_refusal = |line: &&&LogLine| REFUSAL_EVENTS.contains(&line.event.as_str());
    if let Some(refusal) = request_lines.iter().rev().find(is_refusal) {
        return Cause::Refused(refusal.text.clone());
    }
    let attempt = request_lines.iter().find(|line| line.event == "attempt");
    let chosen = request_lines
        .iter()
        .rev()
        .find(|line| line.event == "chosen");
    let (line, result) = match (attempt, chosen) {
        (Some(attempt), _) => (attempt, attempt.field("result").unwrap_or("unknown")),
        (None, Some(chosen)) => (chosen, outcome),
        (None, None) => return Cause::Other(end.text.clone()),
    };
    let back_end = line.field("back_end").unwrap_or("-").to_owned();
    Cause::Attempt {
        back_end_state: last_line_about(&back_end, context_lines),
        denied_retry: denied_retry(request_lines),
        result: result.to_owned(),
        back_end,
    }
}

/// The last line about a retry, if the retry budget did not grant that retry.
fn denied_retry(request_lines: &[&LogLine]) -> Option<String> {
    let last = request_lines
        .iter()
        .rev()
        .find(|line| line.event == "retry")?;
    (last.field("granted") == Some("false")).then(|| last.text.clone())
}

/// The last of the lines about a back end.
fn last_line_about(back_end: &str, context_lines: &[&LogLine]) -> Option<String> {
    let is_about = |line: &&&LogLine| line.field("back_end") == Some(back_end);
    let last = context_lines.iter().rev().find(is_about)?;
    Some(last.text.clone())
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Served => write!(formatter, "it was served"),
            Cause::NoEnd(last) => write!(
                formatter,
                "the log has no end of the request: the process was killed, or the line was dropped; last: {}",
                last.as_deref().unwrap_or("none")
            ),
            Cause::Refused(line) => write!(formatter, "refused by the gateway: {line}"),
            Cause::Attempt {
                back_end,
                result,
                back_end_state,
                denied_retry,
            } => {
                write!(formatter, "the attempt at {back_end} ended with {result}")?;
                match back_end_state {
                    Some(line) => write!(formatter, "; last heard of it: {line}")?,
                    None => write!(formatter, "; no line about it shortly before")?,
                }
                match denied_retry {
                    Some(line) => write!(formatter, "; no retry was left: {line}"),
                    None => Ok(()),
                }
            }
            Cause::Other(line) => write!(formatter, "{line}"),
        }
    }
}
